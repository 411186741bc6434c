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

	// request is what is left of a request for room.
	request struct {
		key      requestKey
		domain   string
		service  string
		room     marshaler.Room
		estimate timer.Millis
		left     uint64       // tasks without a grant
		latest   timer.Millis // latest start within the expected response time
		last     timer.Millis // latest start at all
		late     bool         // it will start after latest, if at all
		started  bool
		arrived  timer.Millis
		granted  []string
		avoid    []string // sidecars that get none of the job, while others serve its service
		bound    binding
	}
)

// insert queues a request by its order. Equal ones keep the order of their arrival.
func (p *Placer) insert(r *request) {
	i, _ := slices.BinarySearchFunc(p.queue, r, func(queued, r *request) int {
		if compare(queued, r) <= 0 {
			return -1
		}
		return 1
	})
	p.queue = slices.Insert(p.queue, i, r)
}

// compare orders requests: those that have started, then those that can start within their expected response time, then
// the late ones; each by the latest useful start.
func compare(a, b *request) int {
	if order := a.rank() - b.rank(); order != 0 {
		return order
	}
	return int(a.due() - b.due())
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

// due returns the latest useful start of a request as it stands.
func (r *request) due() timer.Millis {
	if r.late {
		return r.last
	}
	return r.latest
}

// expire puts requests whose latest useful start has passed behind the others, or refuses them when they have no chance.
func (p *Placer) expire(now timer.Millis) {
	var passed []*request
	for _, r := range p.queue {
		if !r.started && r.due() <= now {
			passed = append(passed, r)
		}
	}
	for _, r := range passed {
		p.drop(r)
		r.late = true
		if wait, ok := p.chance(now, r); !ok {
			p.reject(r, "no room in time", wait)
			continue
		}
		p.byKey[r.key] = r
		p.insert(r)
	}
}

// chance reports whether a late request may still get room, and the time until the requests before it have theirs.
func (p *Placer) chance(now timer.Millis, r *request) (wait timer.Millis, ok bool) {
	wait = p.backlog(r)
	return wait, now+lateMargin*wait < r.last
}

// hopeless returns why a request cannot be served in time, and after how long a later one may be. The reason is empty
// when it can be.
func (p *Placer) hopeless(now timer.Millis, r *request) (reason string, wait timer.Millis) {
	if len(p.queue) >= maxQueued {
		return "queue is full", p.backlog(r)
	}
	if now-p.began < settleTime {
		return "", 0
	}
	service, fits := false, false
	for _, w := range p.order {
		if w.service == r.service {
			service = true
			fits = fits || w.total.Holds(r.room) && r.bound.labelled(w)
		}
	}
	switch {
	case !service:
		return "no backend server of the service is known", timer.Second
	case !fits:
		return "no worker is large enough", timer.Minute
	}
	if wait = p.backlog(r); now+wait <= r.latest {
		return "", 0
	}
	r.late = true
	if wait, ok := p.chance(now, r); !ok {
		return "queue is too long", wait
	}
	return "", 0
}

// backlog estimates how long it takes until the requests that come before r have got their room.
func (p *Placer) backlog(r *request) timer.Millis {
	var capacity, work float64 // thousandths of a core; times milliseconds
	for _, w := range p.order {
		if w.accepting && w.service == r.service && !w.breaker.open {
			capacity += float64(w.total.CPU) * max(w.speed, 1) / 1000
		}
	}
	for _, q := range p.queue {
		if q.service == r.service && compare(q, r) <= 0 {
			work += float64(q.left) * float64(q.room.CPU) * float64(q.estimate)
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

// inputs describes the workers of a request's service as they stand, for logs.
func (p *Placer) inputs(r *request) string {
	var workers, accepting, open, slow, fit int
	var free int64
	usual := p.usualSpeed()
	for _, w := range p.order {
		if w.service != r.service {
			continue
		}
		workers++
		switch {
		case !w.accepting:
			continue
		case w.breaker.open:
			open++
		case w.speed/usual < slowShare:
			slow++
		case w.free.Holds(r.room):
			fit++
		}
		accepting++
		free += w.free.CPU
	}
	return fmt.Sprintf(" (workers %d, accepting %d, breaker open %d, slow %d, with room %d, free cpu %d, wanted %d, queue %d)",
		workers, accepting, open, slow, fit, free, r.room.CPU, len(p.queue))
}

// reject refuses a request of which nothing was granted.
func (p *Placer) reject(r *request, reason string, wait timer.Millis) {
	p.report(Event{Kind: "reject", Job: r.key.job, Entry: r.key.entry, Detail: reason + p.inputs(r), Value: int64(wait)})
	p.Reject(r.key.entry, marshaler.Reject{Job: r.key.job, Step: r.key.step, Reason: reason, RetryAfter: wait})
}
