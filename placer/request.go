package placer

import (
	"fmt"
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
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
		queueName    string
		started      bool
		arrived      timer.Millis
		granted      []string
		avoided      []string // workers that get none of its tasks while others serve its service
		constraints  placementConstraints
	}
)

// enqueue inserts a request in queue order. Requests that compare equal keep their order of arrival.
func (p *Placer) enqueue(r *request) {
	i, _ := slices.BinarySearchFunc(p.queue, r, func(queued, r *request) int {
		if compareRequests(queued, r) <= 0 {
			return -1
		}
		return 1
	})
	p.queue = slices.Insert(p.queue, i, r)
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
		return 0
	case !r.late:
		return 1
	}
	return 2
}

// deadline returns the latest useful start of a request, which moves to the hard deadline once the request is late.
func (r *request) deadline() timer.Millis {
	if r.late {
		return r.hardDeadline
	}
	return r.softDeadline
}

// expireRequests marks requests late whose deadline has passed, which moves them behind the others. It refuses those that
// cannot be expected to be granted before their hard deadline.
func (p *Placer) expireRequests(now timer.Millis) {
	var expired []*request
	for _, r := range p.queue {
		if !r.started && r.deadline() <= now {
			expired = append(expired, r)
		}
	}
	for _, r := range expired {
		p.dequeue(r)
		r.late = true
		if wait, ok := p.lateWait(now, r); !ok {
			if p.grantOnSlow(now, r) {
				continue
			}
			p.reject(r, "no room in time", wait)
			continue
		}
		p.requests[r.key] = r
		p.enqueue(r)
	}
}

// lateWait returns the estimated wait of a late request and whether it ends before the request's hard deadline.
func (p *Placer) lateWait(now timer.Millis, r *request) (wait timer.Millis, ok bool) {
	wait = p.estimateWait(r)
	return wait, now+lateWaitFactor*wait < r.hardDeadline
}

// rejectReason returns why a request cannot be served in time and the time after which a retry may be. The reason is empty
// if the request can be served. It marks the request late if the soft deadline cannot be met.
func (p *Placer) rejectReason(now timer.Millis, r *request) (reason string, wait timer.Millis) {
	if len(p.queue) >= maxQueued {
		return "queue is full", p.estimateWait(r)
	}
	if now-p.firstRequestAt < startupGrace {
		return "", 0
	}
	service, fits := false, false
	for _, w := range p.workersByName {
		if w.service == r.service {
			service = true
			fits = fits || w.total.Contains(r.resources) && r.constraints.matchesLabel(w)
		}
	}
	switch {
	case !service:
		return "no backend server of the service is known", timer.Second
	case !fits:
		return "no worker is large enough", timer.Minute
	}
	if wait = p.estimateWait(r); now+wait <= r.softDeadline {
		return "", 0
	}
	r.late = true
	if wait, ok := p.lateWait(now, r); !ok {
		return "queue is too long", wait
	}
	return "", 0
}

// estimateWait estimates how long it takes to serve the queued requests that are ordered before r.
func (p *Placer) estimateWait(r *request) timer.Millis {
	var capacity, work float64 // in millicores, and in millicores times milliseconds
	for _, w := range p.workersByName {
		if w.accepting && w.service == r.service && !w.breaker.open {
			capacity += float64(w.total.CPU) * max(w.speed, 1) / 1000
		}
	}
	for _, q := range p.queue {
		if q.service == r.service && compareRequests(q, r) <= 0 {
			work += float64(q.remaining) * float64(q.resources.CPU) * float64(q.estimate)
		}
	}
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
	var workers, accepting, open, slow, withRoom int
	var free int64
	for _, w := range p.workersByName {
		if w.service != r.service {
			continue
		}
		workers++
		switch {
		case !w.accepting:
			continue
		case w.breaker.open:
			open++
		case p.isSlow(w):
			slow++
		case w.free.Contains(r.resources):
			withRoom++
		}
		accepting++
		free += w.free.CPU
	}
	return fmt.Sprintf(" (workers %d, accepting %d, breaker open %d, slow %d, with room %d, free cpu %d, wanted %d, queue %d)",
		workers, accepting, open, slow, withRoom, free, r.resources.CPU, len(p.queue))
}

// reject refuses a request that has no grants.
func (p *Placer) reject(r *request, reason string, wait timer.Millis) {
	p.report(Event{Kind: "reject", Job: r.key.job, Entry: r.key.entry, Detail: reason + p.describeWorkers(r), Value: int64(wait)})
	p.Reject(r.key.entry, marshaler.Reject{Job: r.key.job, Step: r.key.step, Reason: reason, RetryAfter: wait})
}
