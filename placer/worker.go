package placer

import (
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// reservationTTL is how long granted resources stay reserved if the sidecar does not report the start.
	reservationTTL = 300 * timer.Millisecond
	// maxReservations bounds the starts on their way to a worker. Tasks that declare no resources have no other bound, and
	// thousands of starts at once keep the sidecar and the entries from their heartbeats. Up to freelyReserved, jobs are not
	// compared.
	maxReservations = 256
	freelyReserved  = 32
	// breakerThreshold is the number of consecutive jobs with failed tasks on a worker that opens its circuit breaker.
	// Several failures of one job count once, so that a job that fails everywhere does not open breakers.
	breakerThreshold = 2
	// minProbeDelay is the delay before the first probe of an open breaker. Each failed probe doubles it up to
	// maxProbeDelay.
	minProbeDelay = 300 * timer.Millisecond
	maxProbeDelay = 1200 * timer.Millisecond
	// workersPerOpenBreaker limits open breakers to one in workersPerOpenBreaker workers. When more workers fail, the cause
	// is more likely in the jobs.
	workersPerOpenBreaker = 3
	// slowSpeedRatio is the ratio to the usual speed of a worker's kind below which a worker gets one task at a time, as a probe.
	slowSpeedRatio = 0.35
	// recoveredSpeedRatio is the same ratio from which on a slow worker is not slow any more.
	recoveredSpeedRatio = 0.8
	// sameDomainBonus is added to the relative speed of a worker in the requesting entry's failure domain.
	sameDomainBonus = 0.06
)

type (
	// worker is the placing entry's view of a backend server and its sidecar.
	worker struct {
		name         string
		domain       string
		service      string
		kind         *workerKind
		labels       []string
		total        marshaler.Resources
		reportedFree marshaler.Resources // free resources in the latest load report
		accepting    bool
		speed        float64 // thousandths of the speed that run time estimates assume
		reservations []reservation
		free         marshaler.Resources // reportedFree minus reservations
		breaker      breaker
		slow         bool // so much slower than usual that it gets one task at a time; see updateSlow
		// slowReportedAt is the time at which the worker was last reported as slow; 0 if never.
		slowReportedAt timer.Millis
		avoidMark      uint64
		suspectRuns    uint64       // active runs of suspect tasks in the latest load report
		confined       bool         // it serves the confined queues of its service, if there are any
		loadAt         timer.Millis // time of the latest load report
		indexed        indexed
	}

	// expirationQueue holds the grants in order of time whose reservations may have to expire.
	expirationQueue struct {
		grants []expiration
		next   int // index of the first grant that is left
	}

	expiration struct {
		at timer.Millis
		w  *worker
	}

	// reservation is an amount of granted resources that the sidecar's reports do not reflect yet.
	reservation struct {
		job       string
		resources marshaler.Resources
		grantedAt timer.Millis
		suspect   bool
	}

	// breaker is the circuit breaker of a worker whose tasks fail or stall. The zero value is closed.
	breaker struct {
		open       bool
		failedJobs int
		lastJob    string
		probeDelay timer.Millis
		probeAt    timer.Millis
	}
)

func (w *worker) updateFree() {
	w.free = w.reportedFree
	for _, r := range w.reservations {
		w.free = w.free.Sub(r.resources)
	}
}

// mayReserve reports whether the worker may get one more task of a job before it has reported the starts of others. A job leaves
// as many reservations free as it has, so that one with very many tasks leaves some to the others. A distrusted one has one.
func (w *worker) mayReserve(job string, distrusted bool) bool {
	if len(w.reservations) < freelyReserved && !distrusted {
		return true
	}
	own := 0
	for i := range w.reservations {
		if w.reservations[i].job == job {
			own++
		}
	}
	return own < (maxReservations-len(w.reservations))/2 && (own == 0 || !distrusted)
}

func (w *worker) reserve(now timer.Millis, job string, resources marshaler.Resources, suspect bool) {
	w.reservations = append(w.reservations, reservation{job, resources, now, suspect})
	w.free = w.free.Sub(resources)
}

// releaseReservation removes the oldest reservation of a job, because the sidecar has handled a start of it.
func (w *worker) releaseReservation(job string) {
	i := slices.IndexFunc(w.reservations, func(r reservation) bool { return r.job == job })
	if i >= 0 {
		w.reservations = slices.Delete(w.reservations, i, i+1)
	}
}

// push adds a grant. It moves the grants to the front of their array when at least half of it is unused.
func (q *expirationQueue) push(at timer.Millis, w *worker) {
	if len(q.grants) == cap(q.grants) && q.next > len(q.grants)/2 {
		left := copy(q.grants, q.grants[q.next:])
		clear(q.grants[left:])
		q.grants, q.next = q.grants[:left], 0
	}
	q.grants = append(q.grants, expiration{at, w})
}

// pop returns the worker of the first grant if it expires at or before a time, and nil otherwise.
func (q *expirationQueue) pop(until timer.Millis) *worker {
	if q.next == len(q.grants) || q.grants[q.next].at > until {
		return nil
	}
	w := q.grants[q.next].w
	q.grants[q.next].w = nil
	q.next++
	return w
}

// reserve reserves resources on a worker for a task of r.
func (p *Placer) reserve(now timer.Millis, w *worker, r *request) {
	resources := r.resources
	if r.constraints.suspicion >= marshaler.SuspicionStrong {
		resources = w.free
	}
	w.reserve(now, r.key.job, resources, r.constraints.suspicion > marshaler.SuspicionNone)
	p.expirations.push(now+reservationTTL+1, w)
	if w.breaker.open {
		w.breaker.probeAt = now + maxProbeDelay
	}
	p.updateIndex(w)
}

// expireReservations removes reservations whose starts the sidecars did not report in time.
func (p *Placer) expireReservations(now timer.Millis) {
	for w := p.expirations.pop(now); w != nil; w = p.expirations.pop(now) {
		w.expireReservations(now)
		p.updateIndex(w)
	}
}

// updateProbes offers the workers for a probe whose open breaker is due for one.
func (p *Placer) updateProbes(now timer.Millis) {
	p.placedAt = now
	for _, w := range p.openBreakers {
		if w.indexed.probeDue != (now >= w.breaker.probeAt) {
			p.updateIndex(w)
		}
	}
}

// expireReservations removes reservations whose starts the sidecar did not report in time. They are sorted by time.
func (w *worker) expireReservations(now timer.Millis) {
	expired := 0
	for expired < len(w.reservations) && now-w.reservations[expired].grantedAt > reservationTTL {
		expired++
	}
	if expired > 0 {
		w.reservations = slices.Delete(w.reservations, 0, expired)
		w.updateFree()
	}
}

// busy reports whether the worker has running tasks or reservations.
func (w *worker) busy() bool { return w.free != w.total }

// recordOutcome updates the worker's breaker after a run has ended.
func (p *Placer) recordOutcome(now timer.Millis, w *worker, s marshaler.CompletedRun) {
	p.recordRefusal(now, s)
	b := &w.breaker
	if s.Blame > marshaler.BlameNone {
		p.blame(now, w, s.Queue)
	}
	switch s.Status {
	case marshaler.StatusDone:
		*b = breaker{}
	case marshaler.StatusFailed, marshaler.StatusStalled:
		if b.lastJob != s.Job {
			b.failedJobs++
		}
		b.lastJob = s.Job
		if s.Status == marshaler.StatusStalled {
			b.failedJobs = max(b.failedJobs, breakerThreshold)
		}
		switch {
		case b.open:
			b.probeDelay = min(2*b.probeDelay, maxProbeDelay)
			b.probeAt = now + b.probeDelay
		case b.failedJobs >= breakerThreshold && p.mayOpenBreaker():
			b.open, b.probeDelay, b.probeAt = true, minProbeDelay, now+minProbeDelay
			p.report(Event{Kind: "breakerOpen", Worker: w.name, Detail: s.Status.String(), Value: int64(b.failedJobs)})
		}
	}
	p.listBreaker(w)
}

// listBreaker adds a worker to the list of open breakers or removes it.
func (p *Placer) listBreaker(w *worker) {
	switch {
	case w.breaker.open == w.indexed.open:
		return
	case w.breaker.open:
		p.openBreakers = append(p.openBreakers, w)
	default:
		p.openBreakers = slices.DeleteFunc(p.openBreakers, func(o *worker) bool { return o == w })
	}
	w.indexed.open = w.breaker.open
}

// mayOpenBreaker reports whether workersPerOpenBreaker permits one more open breaker.
func (p *Placer) mayOpenBreaker() bool {
	return (len(p.openBreakers)+1)*workersPerOpenBreaker <= len(p.workers)
}

// breakerAllows reports whether the breaker is closed or due for a probe. A worker is busy while its probe runs, so a
// probe that ends without a result, or whose start was lost, is followed by another one.
func (w *worker) breakerAllows(now timer.Millis) bool {
	return !w.breaker.open || now >= w.breaker.probeAt && !w.busy()
}
