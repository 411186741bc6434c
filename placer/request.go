package placer

import (
	"fmt"

	"github.com/crocuslb/crocuslb/indexer"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// Ranks in the queue order.
const (
	rankStarted = iota
	rankInTime
	rankLate
)

type (
	requestKey struct {
		entry, job string
		step       uint64
	}

	// request is a queued resource request.
	request struct {
		key          requestKey
		domain       string
		service      string
		resources    marshaler.Resources
		estimate     timer.Millis
		remaining    uint64       // number of tasks not granted yet
		softDeadline timer.Millis // latest start that meets the expected response time
		hardDeadline timer.Millis // latest start for which the request may wait
		late         bool         // softDeadline cannot be met
		targetEnd    timer.Millis // end that meets the expected response time; 0 if not stated
		lastEnd      timer.Millis // latest useful end; 0 if not stated
		started      bool
		arrived      timer.Millis
		granted      []string
		cost         requestCost
		passed       bool     // it was in a pass of the shedder
		avoided      []string // workers that get none of its tasks while others serve its service
		constraints  placementConstraints
		queued       indexer.Handle // in the queue, or 0
		released     bool
		// unservable is set while no worker is large enough for a task, whatever its load. The request then does not delay
		// others.
		unservable bool
	}
)

func newRequest(now timer.Millis, entry, domain string, a *marshaler.ResourceRequest) *request {
	r := &request{}
	r.set(now, entry, domain, a)
	return r
}

// set replaces the request.
func (r *request) set(now timer.Millis, entry, domain string, a *marshaler.ResourceRequest) {
	*r = request{
		key: requestKey{entry, a.Job, a.Step}, domain: domain, service: a.Service, resources: a.Resources, estimate: a.Estimate, remaining: a.Tasks,
		softDeadline: now + a.Slack, hardDeadline: now + max(a.Slack, a.MaxWait), started: a.Started, arrived: now, avoided: a.Avoid,
		constraints: newConstraints(a), cost: requestCost{queue: a.Queue, priority: a.Priority},
	}
	r.setEnds(now, a)
}

// unusedRequest returns a request to be set.
func (p *Placer) unusedRequest() *request {
	last := len(p.unused) - 1
	if last < 0 || p.deciding > 0 {
		return &request{}
	}
	r := p.unused[last]
	p.unused[last] = nil
	p.unused = p.unused[:last]
	return r
}

// release makes a request that is not queued any more available for reuse. Its fields remain valid until the decisions in
// progress end, which may still refer to it: a grant or refusal may cancel other requests and lead to new ones.
func (p *Placer) release(r *request) {
	if !r.released {
		r.released = true
		p.unused = append(p.unused, r)
	}
}

// compareRequests defines the queue order: requests of jobs that have started, then requests that can meet their expected
// response time, then late ones, each by deadline.
func compareRequests(a, b *request) int {
	if order := a.rank() - b.rank(); order != 0 {
		return order
	}
	return int(a.deadline() - b.deadline())
}

func (r *request) rank() int {
	switch {
	case r.started:
		return rankStarted
	case !r.late:
		return rankInTime
	}
	return rankLate
}

// maxWork bounds the work of a request, so that sums over the queue do not overflow.
const maxWork = 1 << 46

// work returns the work of the tasks that are not granted yet, in millicores times milliseconds. It is 0 while no worker can
// run them.
func (r *request) work() int64 {
	if r.unservable {
		return 0
	}
	return int64(min(float64(r.remaining)*float64(r.resources.CPU)*float64(r.estimate), maxWork))
}

// deadline returns the latest useful start of a request, which moves to the hard deadline once the request is late.
func (r *request) deadline() timer.Millis {
	if r.late {
		return r.hardDeadline
	}
	return r.softDeadline
}

// lastStart returns the latest start of a request, on time or late.
func (r *request) lastStart() timer.Millis { return r.hardDeadline }

// expireRequests marks requests late whose deadline has passed, which moves them behind the others. It refuses those that
// cannot be expected to be granted before their hard deadline.
func (p *Placer) expireRequests(now timer.Millis, deadline func(r *request) timer.Millis) {
	p.expired = p.queue.appendExpired(p.expired, now, deadline)
	for _, r := range p.expired {
		if !p.queued(r) {
			continue // canceled because another step of the job was refused
		}
		p.dequeue(r)
		if p.isConfined(r) {
			p.reject(now, r, reasonConfined, confinedRetryAfter)
			continue
		}
		r.late = true
		if wait, ok := p.lateWait(now, r); !ok {
			if !p.grantOnSlow(now, r) {
				p.reject(now, r, reasonExpired, wait)
			}
			continue
		}
		p.requests[r.key] = r
		p.queue.insert(r)
	}
	clear(p.expired)
	p.expired = p.expired[:0]
}

// lateWait returns the estimated wait of a late request and whether it ends before the request's hard deadline.
func (p *Placer) lateWait(now timer.Millis, r *request) (wait timer.Millis, ok bool) {
	if l := p.loads[r.service]; p.costDecides(now, l) {
		work := p.queue.workBefore(r)
		return l.forecast.Wait(work), now+l.forecast.LateWait(now, work) < r.hardDeadline
	}
	wait = p.estimateWait(r)
	return wait, now+lateWaitFactor*wait < r.hardDeadline
}

// estimateWait estimates how long it takes to serve the queued requests that are ordered before r.
func (p *Placer) estimateWait(r *request) timer.Millis {
	capacity := float64(p.tallyOf(r.service).capacity) / 1000 // in millicores
	work := p.queue.workBefore(r)
	if work == 0 {
		return 0
	}
	if capacity == 0 {
		return timer.Minute
	}
	return timer.Millis(work / capacity)
}

// describeWorkers summarizes the current state of the workers of a request's service for logs.
func (p *Placer) describeWorkers(r *request) string {
	t := p.tallyOf(r.service)
	return fmt.Sprintf(" (workers %d, accepting %d, breaker open %d, slow %d, with room %d, free cpu %d, wanted %d, queue %d)",
		t.workers, t.accepting, t.open, t.slow, p.countWithRoom(r), t.freeCPU, r.resources.CPU, p.queue.length())
}

// reject refuses a request that has no grants and is not queued, and releases it.
func (p *Placer) reject(now timer.Millis, r *request, reason string, wait timer.Millis) {
	size := "unknown"
	if r.cost.counted {
		size = r.cost.size.String()
		p.load(r.service).floor.Shed(now, r.cost.groups, float64(r.cost.work))
	}
	p.report(Event{
		Kind: "reject", Job: r.key.job, Entry: r.key.entry, Detail: reason + p.describeWorkers(r), Value: int64(wait), Took: now - r.arrived,
		Refusal: Refusal{Reason: reason, Priority: r.cost.priority, Size: size},
	})
	p.Reject(r.key.entry, marshaler.Reject{Job: r.key.job, Step: r.key.step, Reason: reason, RetryAfter: wait})
	p.release(r)
}
