// Package placer implements the scheduling policy of the placing entry: which queued request is granted resources next, on
// which worker, and which requests are refused because they cannot be served in time. It uses no clock and no I/O, and is
// not safe for concurrent use.
package placer

import (
	"maps"
	"slices"

	"github.com/crocuslb/crocuslb/estimator"
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
	// medianSpeedInterval is the interval at which the workers' usual speeds are recomputed. It follows a change of their
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
		// Admission is the policy for overload.
		Admission Admission

		workers        map[string]*worker
		workersByName  []*worker // sorted by name
		queue          requestQueue
		kinds          map[string]*workerKind
		services       map[string]*serviceIndex
		speeds         speedGroup
		refusals       map[string]refusalCount // by job
		openBreakers   []*worker
		expirations    expirationQueue
		avoidMark      uint64       // of the workers that the latest request avoids
		placedAt       timer.Millis // time of the latest call of Place
		requests       map[requestKey]*request
		unservable     unservableCheck
		unused         []*request   // for reuse
		deciding       int          // number of calls in progress that refer to requests and may call Grant or Reject
		expired        []*request   // buffer of expireRequests
		served         []*request   // buffer of grantQueued
		firstRequestAt timer.Millis // 0 before the first request
		medianSpeed    float64      // of the accepting workers, computed at medianSpeedAt
		medianSpeedAt  timer.Millis
		loads          map[string]*serviceLoad // by service; used by AdmissionCost
		placed         bool                    // no capacity was freed since the latest Place
		runTimes       estimator.Estimator
		// runTimesReportedAt is the time of the latest report of the learned run times.
		runTimesReportedAt timer.Millis
		waitedAt           map[string]timer.Millis // when a request of a service last found no worker
		confinements       map[string]*confinement // by service
		heldFree           map[string]heldWorker   // by service
	}

	// Event describes a decision for logs and metrics.
	Event struct {
		Kind   string
		Job    string
		Entry  string
		Worker string
		Detail string
		Value  int64
		Took   timer.Millis // time since the arrival of the request
		// Refusal is set with the kind "reject".
		Refusal Refusal
	}

	// Refusal classifies a refused request for metrics.
	Refusal struct {
		Reason   string
		Priority uint64
		// Size is small, medium or large, compared with the mean of the queue. It is unknown with AdmissionDeadline and for
		// requests that no worker can run.
		Size string
	}
)

// SetWorker adds a worker or replaces its description.
func (p *Placer) SetWorker(name, domain string, b *marshaler.Backend) {
	if p.workers == nil {
		p.workers = map[string]*worker{}
	}
	w := p.workers[name]
	if w == nil {
		w = &worker{name: name, speed: defaultSpeed}
		p.workers[name] = w
		i, _ := slices.BinarySearchFunc(p.workersByName, name, func(w *worker, n string) int {
			if w.name < n {
				return -1
			}
			return 1
		})
		p.workersByName = slices.Insert(p.workersByName, i, w)
	}
	p.unservable.sizesChanged = true
	p.unservable.shrunk = p.unservable.shrunk || w.service == b.Service && !b.Capacity.Contains(w.total)
	p.unindexWorker(w)
	w.domain, w.service, w.labels, w.total = domain, b.Service, b.Labels, b.Capacity
	w.kind = p.kindOf(b)
	p.indexWorker(w)
	p.assignConfined()
}

// RemoveWorker removes a worker.
func (p *Placer) RemoveWorker(name string) {
	w := p.workers[name]
	if w == nil {
		return
	}
	p.unservable.sizesChanged = true
	p.unindexWorker(w)
	w.breaker = breaker{}
	p.listBreaker(w)
	delete(p.workers, name)
	maps.DeleteFunc(p.heldFree, func(_ string, h heldWorker) bool { return h.worker == w })
	p.workersByName = slices.DeleteFunc(p.workersByName, func(o *worker) bool { return o == w })
	p.assignConfined()
}

// SetAccepting sets whether a worker accepts starts. Its next load report overrides it.
func (p *Placer) SetAccepting(name string, accepting bool) {
	if w := p.workers[name]; w != nil {
		w.accepting = accepting
		p.updateIndex(w)
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
	p.placed = false
	w.reportedFree, w.accepting, w.speed, w.loadAt = l.Free, l.Accepting, float64(min(l.Speed, maxSpeed)), now
	w.suspectRuns = l.SuspectRuns
	w.updateFree()
	p.updateSlow(w)
	for _, s := range l.CompletedRuns {
		p.recordOutcome(now, w, s)
		p.learnRunTime(now, w, s)
	}
	p.updateIndex(w)
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
		r.setEnds(now, a)
		p.setUnservable(r)
		p.requests[key] = r
		p.queue.insert(r)
		return
	}
	r := p.unusedRequest()
	r.set(now, entry, domain, a)
	p.deciding++
	defer p.endDecision()
	if p.firstRequestAt == 0 {
		p.firstRequestAt = now
	}
	p.checkUnservable(now)
	p.setCost(now, r)
	p.setUnservable(r)
	d := p.assess(now, r)
	if p.Admission == AdmissionCost && !d.unservable {
		r.cost.counted = !r.started
		defer p.load(r.service).observeArrival(now, r) // decisions about r rely on the arrivals before it
	}
	if d.verdict == refused && !r.started {
		if !p.grantOnSlow(now, r) {
			p.reject(now, r, d.reason, d.wait)
		}
		return
	}
	r.late = d.verdict == delayed
	if p.requests == nil {
		p.requests = map[requestKey]*request{}
	}
	p.requests[key] = r
	p.queue.insert(r)
	if d.verdict == contested {
		p.contest(now, r)
	}
}

// Cancel removes a request from the queue. Grants already made stay valid.
func (p *Placer) Cancel(entry, job string, step uint64) {
	if r := p.requests[requestKey{entry, job, step}]; r != nil {
		p.dequeue(r)
		p.release(r)
	}
}

// RemoveEntry removes all requests of an entry from the queue.
func (p *Placer) RemoveEntry(entry string) {
	for _, r := range p.queue.snapshot() {
		if r.key.entry == entry {
			p.dequeue(r)
			p.release(r)
		}
	}
}

// RejectAll rejects all queued requests with ReasonMoved, so that the entries send them to another placing entry.
func (p *Placer) RejectAll() {
	p.deciding++
	defer p.endDecision()
	for _, r := range p.queue.snapshot() {
		p.dequeue(r)
		p.Reject(r.key.entry, marshaler.Reject{Job: r.key.job, Step: r.key.step, Reason: ReasonMoved})
		p.release(r)
	}
}

// QueueLen returns the number of queued requests.
func (p *Placer) QueueLen() int { return p.queue.length() }

func (p *Placer) dequeue(r *request) {
	if p.queued(r) {
		delete(p.requests, r.key)
	}
	p.queue.remove(r)
}

// queued reports whether a request is still queued. A grant or refusal may cancel other requests of the job.
func (p *Placer) queued(r *request) bool { return p.requests[r.key] == r }

func (p *Placer) endDecision() { p.deciding-- }

// Place grants free resources to queued requests and refuses requests that can no longer be served in time.
func (p *Placer) Place(now timer.Millis) {
	p.deciding++
	defer p.endDecision()
	p.expireReservations(now)
	p.updateProbes(now)
	p.endConfinements(now)
	p.checkUnservable(now)
	if p.Admission == AdmissionCost {
		p.expireRequests(now, (*request).lastStart) // requests that resources are free for are served also if they are late
		p.grantQueued(now)
	}
	p.expireRequests(now, (*request).deadline)
	if p.Admission == AdmissionDeadline {
		p.grantQueued(now)
		return
	}
	p.observeGrants(now)
	p.shed(now)
}

// grantQueued grants free resources to the queued requests in order.
func (p *Placer) grantQueued(now timer.Millis) {
	p.placed = true
	if p.queue.length() == 0 {
		return
	}
	p.updateSpeeds(now)
	blocked, separated := 0, 0
	for r := range p.queue.all() {
		if p.isSeparated(r) {
			if separated < maxBlockedRequests && !p.grantSeparated(now, r) {
				separated++
			}
			continue
		}
		if r.late && !r.started && blocked > 0 {
			break // late requests get only resources that no other request waits for
		}
		if !p.grantTasks(now, r) && !r.unservable {
			blocked++
			p.noteBlocked(r)
			p.setScarce(now, r)
		}
		if len(r.granted) > 0 {
			p.served = append(p.served, r)
		}
		if blocked >= maxBlockedRequests {
			break
		}
	}
	p.placeOnSlow(now)
	p.sendGrants(p.served)
	clear(p.served)
	p.served = p.served[:0]
}

// grantTasks reserves free resources for tasks of a request. It returns false if some tasks fit on no worker.
func (p *Placer) grantTasks(now timer.Millis, r *request) bool {
	for r.remaining > 0 {
		w := p.selectWorker(now, r)
		if w == nil {
			return false
		}
		p.assignTask(now, r, w)
		p.noteGranted(r)
	}
	return true
}

// assignTask reserves a worker's resources for a task of a request.
func (p *Placer) assignTask(now timer.Millis, r *request, w *worker) {
	p.reserve(now, w, r)
	r.remaining--
	r.constraints.countPlaced(w.name)
	r.granted = append(r.granted, w.name)
}

// sendGrants sends the grants to the entries and dequeues the requests that are fully granted.
// Partially granted ones count as started and move to the front.
func (p *Placer) sendGrants(served []*request) {
	for _, r := range served {
		p.Grant(r.key.entry, marshaler.Grant{Job: r.key.job, Step: r.key.step, Sidecars: r.granted})
		r.granted = nil
		switch {
		case r.remaining == 0:
			p.dequeue(r)
			p.release(r)
		case !p.queued(r):
		case r.started:
			p.queue.updateWork(r)
		default:
			p.queue.remove(r)
			r.started = true
			p.queue.insert(r)
		}
	}
}

func (p *Placer) report(e Event) {
	if p.Report != nil {
		p.Report(e)
	}
}
