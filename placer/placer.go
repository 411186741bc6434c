// Package placer implements the scheduling policy of the placing entry: which queued request is granted resources next, on
// which worker, and which requests are refused because they cannot be served in time. It uses no clock and no I/O, and is
// not safe for concurrent use.
package placer

import (
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// maxBlockedRequests is the number of requests that fit on no worker after which Place stops. Requests differ little in
	// size, so the ones behind them rarely fit.
	maxBlockedRequests = 8
	// startupGrace is the time after the first request in which no request is refused for lack of workers. All sidecars
	// report within it.
	startupGrace = timer.Second
	// medianSpeedInterval is the interval at which the workers' median speed is recomputed. It follows a change of their
	// speeds within 150 ms.
	medianSpeedInterval = 50 * timer.Millisecond
	// maxQueued is the maximum number of queued requests.
	maxQueued = 20_000
	// lateWaitFactor is the factor on the estimated wait of a late request. It accounts for requests that arrive in the
	// meantime, are not late and therefore go first.
	lateWaitFactor = 2
	// ReasonMoved is the reason for rejecting a request that is to be sent to another placing entry instead.
	ReasonMoved = "moved"
)

type (
	// Placer is the state of a placing entry. Set the exported functions before the first call; they must only queue their
	// arguments. The zero value of the other fields is ready to use.
	Placer struct {
		Grant  func(entry string, g marshaler.Grant)
		Reject func(entry string, r marshaler.Reject)
		Report func(e Event)

		workers        map[string]*worker
		workersByName  []*worker // sorted by name
		queue          []*request
		requests       map[requestKey]*request
		firstRequestAt timer.Millis // 0 before the first request
		medianSpeed    float64      // of the accepting workers, computed at medianSpeedAt
		medianSpeedAt  timer.Millis
	}

	// Event describes a decision for logs and metrics.
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
		i, _ := slices.BinarySearchFunc(p.workersByName, name, func(w *worker, n string) int {
			if w.name < n {
				return -1
			}
			return 1
		})
		p.workersByName = slices.Insert(p.workersByName, i, w)
	}
	w.domain, w.service, w.labels, w.total = domain, b.Service, b.Labels, b.Capacity
}

// RemoveWorker removes a worker.
func (p *Placer) RemoveWorker(name string) {
	delete(p.workers, name)
	p.workersByName = slices.DeleteFunc(p.workersByName, func(w *worker) bool { return w.name == name })
}

// SetAccepting sets whether a worker accepts starts. Its next load report overrides it.
func (p *Placer) SetAccepting(name string, accepting bool) {
	if w := p.workers[name]; w != nil {
		w.accepting = accepting
	}
}

// OnLoad processes a worker's load report.
func (p *Placer) OnLoad(now timer.Millis, name string, l *marshaler.Load) {
	w := p.workers[name]
	if w == nil {
		return
	}
	for _, job := range l.HandledStarts {
		w.releaseReservation(job)
	}
	w.reportedFree, w.accepting, w.speed, w.loadAt = l.Free, l.Accepting, float64(l.Speed), now
	w.updateFree()
	for _, s := range l.CompletedRuns {
		p.recordOutcome(now, w, s)
	}
}

// Request queues or refuses a resource request. A repeated request adds its tasks to the queued one and replaces its
// constraints.
func (p *Placer) Request(now timer.Millis, entry, domain string, a *marshaler.ResourceRequest) {
	key := requestKey{entry, a.Job, a.Step}
	if r := p.requests[key]; r != nil {
		p.dequeue(r)
		r.remaining += a.Tasks
		r.started = r.started || a.Started
		r.avoided, r.constraints = a.Avoid, newConstraints(a)
		p.requests[key] = r
		p.enqueue(r)
		return
	}
	r := &request{
		key: key, domain: domain, service: a.Service, resources: a.Resources, estimate: a.Estimate, remaining: a.Tasks,
		softDeadline: now + a.Slack, hardDeadline: now + max(a.Slack, a.MaxWait), started: a.Started, arrived: now, avoided: a.Avoid,
		constraints: newConstraints(a),
	}
	if p.firstRequestAt == 0 {
		p.firstRequestAt = now
	}
	if reason, wait := p.rejectReason(now, r); reason != "" && !r.started {
		p.reject(r, reason, wait)
		return
	}
	if p.requests == nil {
		p.requests = map[requestKey]*request{}
	}
	p.requests[key] = r
	p.enqueue(r)
}

// Cancel removes a request from the queue. Grants already made stay valid.
func (p *Placer) Cancel(entry, job string, step uint64) {
	if r := p.requests[requestKey{entry, job, step}]; r != nil {
		p.dequeue(r)
	}
}

// RemoveEntry removes all requests of an entry from the queue.
func (p *Placer) RemoveEntry(entry string) {
	for _, r := range slices.Clone(p.queue) {
		if r.key.entry == entry {
			p.dequeue(r)
		}
	}
}

// RejectAll rejects all queued requests with ReasonMoved, so that the entries send them to another placing entry.
func (p *Placer) RejectAll() {
	for _, r := range slices.Clone(p.queue) {
		p.dequeue(r)
		p.Reject(r.key.entry, marshaler.Reject{Job: r.key.job, Step: r.key.step, Reason: ReasonMoved})
	}
}

// QueueLen returns the number of queued requests.
func (p *Placer) QueueLen() int { return len(p.queue) }

func (p *Placer) dequeue(r *request) {
	delete(p.requests, r.key)
	p.queue = slices.DeleteFunc(p.queue, func(o *request) bool { return o == r })
}

// Place refuses requests that can no longer be served in time and grants free resources to the others.
func (p *Placer) Place(now timer.Millis) {
	for _, w := range p.workersByName {
		w.expireReservations(now)
	}
	p.expireRequests(now)
	if len(p.queue) == 0 {
		return
	}
	if p.medianSpeed == 0 || now-p.medianSpeedAt >= medianSpeedInterval {
		p.medianSpeed, p.medianSpeedAt = p.computeMedianSpeed(), now
	}
	blocked := 0
	var served []*request
	for _, r := range p.queue {
		if r.late && !r.started && blocked > 0 {
			break // late requests get only resources that no other request waits for
		}
		for r.remaining > 0 {
			w := p.selectWorker(now, r)
			if w == nil {
				blocked++
				break
			}
			w.reserve(now, r.key.job, r.resources)
			if w.breaker.open {
				w.breaker.probeAt = now + maxProbeDelay
			}
			r.remaining--
			r.constraints.countPlaced(w.name)
			r.granted = append(r.granted, w.name)
		}
		if len(r.granted) > 0 {
			served = append(served, r)
		}
		if blocked >= maxBlockedRequests {
			break
		}
	}
	p.sendGrants(served)
}

// sendGrants sends the grants to the entries and dequeues the requests that are fully granted.
// Partially granted ones count as started and move to the front.
func (p *Placer) sendGrants(served []*request) {
	needsSort := false
	for _, r := range served {
		p.Grant(r.key.entry, marshaler.Grant{Job: r.key.job, Step: r.key.step, Sidecars: r.granted})
		r.granted = nil
		if r.remaining == 0 {
			p.dequeue(r)
		} else if !r.started {
			r.started, needsSort = true, true
		}
	}
	if needsSort {
		slices.SortStableFunc(p.queue, compareRequests)
	}
}

// selectWorker returns the best eligible worker with enough free resources for a task of r, or nil.
func (p *Placer) selectWorker(now timer.Millis, r *request) *worker {
	var best *worker
	var bestScore float64
	for _, w := range p.workersByName {
		if !w.free.Contains(r.resources) || !p.eligible(now, r, w) {
			continue
		}
		score := w.speed / p.medianSpeed * r.constraints.rackFactor(w)
		if w.domain == r.domain {
			score += sameDomainBonus
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// eligible reports whether a worker may get a task of a request, regardless of its free resources.
func (p *Placer) eligible(now timer.Millis, r *request, w *worker) bool {
	if !w.accepting || w.service != r.service || !w.breakerAllows(now) || p.excludes(r, w) || !r.constraints.allows(w) {
		return false
	}
	return w.speed/p.medianSpeed >= slowSpeedRatio || !w.busy()
}

// excludes reports whether a request avoids a worker. If it avoids all accepting workers of its service, none is excluded.
func (p *Placer) excludes(r *request, w *worker) bool {
	if !slices.Contains(r.avoided, w.name) {
		return false
	}
	return slices.ContainsFunc(p.workersByName, func(o *worker) bool {
		return o.accepting && o.service == r.service && !slices.Contains(r.avoided, o.name)
	})
}

// computeMedianSpeed returns the median speed of the accepting workers.
func (p *Placer) computeMedianSpeed() float64 {
	var speeds []float64
	for _, w := range p.workersByName {
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
