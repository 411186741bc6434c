// Package placer decides which queued job gets room next, on which worker, and which jobs are refused because they
// cannot be served in time. It is pure: it has no clock and no I/O, and one goroutine calls it.
package placer

import (
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// maxBlocked is the number of requests without fitting room after which placing gives up for now. Requests differ
	// little in size, so the ones behind them rarely fit.
	maxBlocked = 8
	// settleTime is the time after the first request in which none is refused for want of workers: sidecars report
	// within it.
	settleTime = timer.Second
	// usualPeriod is the time between two computations of the workers' usual speed, which follows theirs within 150 ms.
	usualPeriod = 50 * timer.Millisecond
	// maxQueued bounds the queue.
	maxQueued = 20_000
	// lateMargin is the factor on the expected wait of a late request: requests that are not late and come meanwhile go
	// before it.
	lateMargin = 2
	// ReasonMoved is the reason of a Reject that only sends the request to another placing entry.
	ReasonMoved = "moved"
)

type (
	// Placer is the state of a placing entry. Set the exported fields before the first call; they only queue what they
	// are given. The zero value of the rest is ready to use.
	Placer struct {
		Grant  func(entry string, g marshaler.Grant)
		Reject func(entry string, r marshaler.Reject)
		Report func(e Event)

		workers map[string]*worker
		order   []*worker // by name
		queue   []*request
		byKey   map[requestKey]*request
		began   timer.Millis // of the first request; 0 before it
		usual   float64      // median speed of the workers, as of usualAt
		usualAt timer.Millis
	}

	// Event is a decision, for logs and counters.
	Event struct {
		Kind   string
		Job    string
		Entry  string
		Worker string
		Detail string
		Value  int64
	}
)

// SetWorker adds a worker or replaces its description.
func (p *Placer) SetWorker(name, domain string, b *marshaler.Backend) {
	if p.workers == nil {
		p.workers = map[string]*worker{}
	}
	w := p.workers[name]
	if w == nil {
		w = &worker{name: name, speed: 1000}
		p.workers[name] = w
		i, _ := slices.BinarySearchFunc(p.order, name, func(w *worker, n string) int {
			if w.name < n {
				return -1
			}
			return 1
		})
		p.order = slices.Insert(p.order, i, w)
	}
	w.domain, w.service, w.labels, w.total = domain, b.Service, b.Labels, b.Total
}

// RemoveWorker forgets a worker.
func (p *Placer) RemoveWorker(name string) {
	delete(p.workers, name)
	p.order = slices.DeleteFunc(p.order, func(w *worker) bool { return w.name == name })
}

// SetAccepting says whether a worker takes starts, until its next Load.
func (p *Placer) SetAccepting(name string, accepting bool) {
	if w := p.workers[name]; w != nil {
		w.accepting = accepting
	}
}

// OnLoad takes a worker's report.
func (p *Placer) OnLoad(now timer.Millis, name string, l *marshaler.Load) {
	w := p.workers[name]
	if w == nil {
		return
	}
	for _, job := range l.Seen {
		w.seen(job)
	}
	w.reported, w.accepting, w.speed = l.Free, l.Accepting, float64(l.Speed)
	w.account()
	for _, s := range l.Settled {
		p.settle(now, w, s)
	}
}

// Ask queues a request for room or refuses it.
func (p *Placer) Ask(now timer.Millis, entry, domain string, a *marshaler.Ask) {
	key := requestKey{entry, a.Job, a.Step}
	if r := p.byKey[key]; r != nil {
		p.drop(r)
		r.left += a.Tasks
		r.started = r.started || a.Started
		r.avoid, r.bound = a.Avoid, bind(a)
		p.byKey[key] = r
		p.insert(r)
		return
	}
	r := &request{
		key: key, domain: domain, service: a.Service, room: a.Room, estimate: a.Estimate, left: a.Tasks,
		latest: now + a.Slack, last: now + max(a.Slack, a.Patience), started: a.Started, arrived: now, avoid: a.Avoid,
		bound: bind(a),
	}
	if p.began == 0 {
		p.began = now
	}
	if reason, wait := p.hopeless(now, r); reason != "" && !r.started {
		p.reject(r, reason, wait)
		return
	}
	if p.byKey == nil {
		p.byKey = map[requestKey]*request{}
	}
	p.byKey[key] = r
	p.insert(r)
}

// Withdraw drops what is left of a request.
func (p *Placer) Withdraw(entry, job string, step uint64) {
	if r := p.byKey[requestKey{entry, job, step}]; r != nil {
		p.drop(r)
	}
}

// Forget drops all requests of an entry.
func (p *Placer) Forget(entry string) {
	for _, r := range slices.Clone(p.queue) {
		if r.key.entry == entry {
			p.drop(r)
		}
	}
}

// Leave sends all queued requests to another placing entry.
func (p *Placer) Leave() {
	for _, r := range slices.Clone(p.queue) {
		p.drop(r)
		p.Reject(r.key.entry, marshaler.Reject{Job: r.key.job, Step: r.key.step, Reason: ReasonMoved})
	}
}

// Queued returns the number of requests that wait for room.
func (p *Placer) Queued() int { return len(p.queue) }

func (p *Placer) drop(r *request) {
	delete(p.byKey, r.key)
	p.queue = slices.DeleteFunc(p.queue, func(o *request) bool { return o == r })
}

// Place refuses what can no longer be served in time and grants the free room.
func (p *Placer) Place(now timer.Millis) {
	for _, w := range p.order {
		w.expire(now)
	}
	p.expire(now)
	if len(p.queue) == 0 {
		return
	}
	if p.usual == 0 || now-p.usualAt >= usualPeriod {
		p.usual, p.usualAt = p.usualSpeed(), now
	}
	blocked := 0
	var served []*request
	for _, r := range p.queue {
		if r.late && !r.started && blocked > 0 {
			break // late ones take only room that nobody else waits for
		}
		for r.left > 0 {
			w := p.pick(now, r)
			if w == nil {
				blocked++
				break
			}
			w.reserve(now, r.key.job, r.room)
			if w.breaker.open {
				w.breaker.probing = true
				w.breaker.probeAt = now + lastProbe
			}
			r.left--
			r.bound.place(w.name)
			r.granted = append(r.granted, w.name)
		}
		if len(r.granted) > 0 {
			served = append(served, r)
		}
		if blocked >= maxBlocked {
			break
		}
	}
	p.send(served)
}

// send tells the entries what was granted.
func (p *Placer) send(served []*request) {
	resort := false
	for _, r := range served {
		p.Grant(r.key.entry, marshaler.Grant{Job: r.key.job, Step: r.key.step, Sidecars: r.granted})
		r.granted = nil
		if r.left == 0 {
			p.drop(r)
		} else if !r.started {
			r.started, resort = true, true
		}
	}
	if resort {
		slices.SortStableFunc(p.queue, compare)
	}
}

// pick returns the best worker with room for a task of r, or nil.
func (p *Placer) pick(now timer.Millis, r *request) *worker {
	var best *worker
	var bestScore float64
	for _, w := range p.order {
		if !w.free.Holds(r.room) || !p.suits(now, r, w) {
			continue
		}
		score := w.speed / p.usual * r.bound.factor(w)
		if w.domain == r.domain {
			score += nearBonus
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// suits reports whether a worker may get a task of a request, its free room aside.
func (p *Placer) suits(now timer.Millis, r *request, w *worker) bool {
	if !w.accepting || w.service != r.service || !w.allows(now) || p.avoids(r, w) || !r.bound.allows(w) {
		return false
	}
	return w.speed/p.usual >= slowShare || !w.busy()
}

// avoids reports whether a request leaves out a worker. One that leaves out all of its service leaves out none.
func (p *Placer) avoids(r *request, w *worker) bool {
	if !slices.Contains(r.avoid, w.name) {
		return false
	}
	return slices.ContainsFunc(p.order, func(o *worker) bool {
		return o.accepting && o.service == r.service && !slices.Contains(r.avoid, o.name)
	})
}

// usualSpeed returns the median speed of the workers.
func (p *Placer) usualSpeed() float64 {
	var speeds []float64
	for _, w := range p.order {
		if w.accepting {
			speeds = append(speeds, w.speed)
		}
	}
	if len(speeds) == 0 {
		return 1000
	}
	slices.Sort(speeds)
	return max(speeds[len(speeds)/2], 1)
}

func (p *Placer) report(e Event) {
	if p.Report != nil {
		p.Report(e)
	}
}
