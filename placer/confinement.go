package placer

import (
	"maps"
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// blameLimit is the number of crashes within blameWindow after which a queue is confined, until it has not been blamed for
	// blameWindow. Single crashes may have other causes than the task that is blamed.
	blameLimit  = 3
	blameWindow = 5 * timer.Second
	// workersPerConfined is the number of workers of a service per worker that serves its confined queues.
	workersPerConfined = 4
	// confinedRetryAfter is the time after which callers of a confined queue may try again. A backend server that has crashed
	// is back after some seconds.
	confinedRetryAfter = 2 * timer.Second

	reasonConfined = "tasks of the queue crash backend servers, and the few that it may use are busy or down"
)

// confinement limits what tasks that crash backend servers can do to a service. Queues whose tasks are blamed for several
// crashes get only some of its workers, and the other queues the rest. A task that none of these can run may use the others.
type confinement struct {
	queues map[string]*blamedQueue
	active bool // a queue is confined
}

// blamedQueue is a queue whose tasks are blamed for crashes.
type blamedQueue struct {
	crashes  []timer.Millis // within blameWindow of the latest one
	confined bool
}

// blame counts a crash of a worker's backend server against the queue of the only suspect task that ran there.
func (p *Placer) blame(now timer.Millis, w *worker, queue string) {
	if queue == "" {
		return
	}
	c := p.confinementOf(w.service)
	q := c.queues[queue]
	if q == nil {
		q = &blamedQueue{}
		c.queues[queue] = q
	}
	q.crashes = slices.DeleteFunc(q.crashes, func(at timer.Millis) bool { return now-at > blameWindow })
	q.crashes = append(q.crashes, now)
	if q.confined || len(q.crashes) < blameLimit {
		return
	}
	q.confined, c.active = true, true
	p.report(Event{Kind: "confine", Worker: w.name, Detail: queue, Value: int64(len(q.crashes))})
}

func (p *Placer) confinementOf(service string) *confinement {
	if p.confinements == nil {
		p.confinements = map[string]*confinement{}
	}
	c := p.confinements[service]
	if c == nil {
		c = &confinement{queues: map[string]*blamedQueue{}}
		p.confinements[service] = c
	}
	return c
}

// endConfinements ends the confinement of queues whose tasks are no longer blamed for crashes.
func (p *Placer) endConfinements(now timer.Millis) {
	for service, c := range marshaler.SortedByKey(p.confinements) {
		c.active = false
		for name, q := range marshaler.SortedByKey(c.queues) {
			if now-q.crashes[len(q.crashes)-1] > blameWindow {
				delete(c.queues, name)
				if q.confined {
					p.report(Event{Kind: "confinementEnded", Detail: name})
				}
				continue
			}
			c.active = c.active || q.confined
		}
		if len(c.queues) == 0 {
			delete(p.confinements, service)
		}
	}
}

// assignConfined chooses the workers that serve the confined queues of each service: every fourth by name, which spreads
// them over the failure domains. A service with a single worker has none.
func (p *Placer) assignConfined() {
	counts := map[string]int{}
	for _, w := range p.workersByName {
		w.confined = counts[w.service]%workersPerConfined == 1
		counts[w.service]++
	}
}

// isConfined reports whether the queue of a request is confined.
func (p *Placer) isConfined(r *request) bool {
	c := p.confinements[r.service]
	if c == nil || !c.active {
		return false
	}
	q := c.queues[r.cost.queue]
	return q != nil && q.confined
}

// confinementAllows reports whether the confinement of queues permits a worker for a request.
func (p *Placer) confinementAllows(r *request, w *worker) bool {
	c := p.confinements[r.service]
	if c == nil || !c.active {
		return true
	}
	confined := p.isConfined(r)
	return w.confined == confined || !p.hasWorkerFor(r, confined)
}

// hasWorkerFor reports whether any of the workers that serve the confined queues, or of the others, can run a task of a
// request, whatever its load.
func (p *Placer) hasWorkerFor(r *request, confined bool) bool {
	return slices.ContainsFunc(p.workersByName, func(w *worker) bool {
		return w.confined == confined && w.service == r.service && r.constraints.matchesLabel(w) && w.total.Contains(r.resources)
	})
}

// hasConfinedWorker reports whether a worker that serves the confined queues of a service accepts starts.
func (p *Placer) hasConfinedWorker(service string) bool {
	return slices.ContainsFunc(p.workersByName, func(w *worker) bool { return w.confined && w.accepting && w.service == service })
}

// clone returns a copy for a trial.
func (c *confinement) clone() *confinement {
	return &confinement{queues: maps.Clone(c.queues), active: c.active}
}
