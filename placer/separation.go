package placer

import (
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// holdFreeTime is how long a worker is kept free of other tasks after the latest request for a worker without tasks.
const holdFreeTime = 300 * timer.Millisecond

// heldWorker is the worker of a service that gets no other tasks until a time, so that a task can run there alone.
type heldWorker struct {
	worker *worker
	until  timer.Millis
}

// isSeparated reports whether the tasks of a request must be kept apart from others. Requests that wait for that do not count
// as blocked, since resources are free for the requests behind them.
func (p *Placer) isSeparated(r *request) bool {
	return r.constraints.suspicion > marshaler.SuspicionNone || p.isConfined(r)
}

// grantSeparated grants resources to a request whose tasks must be kept apart. It returns false if some tasks fit on no
// worker.
func (p *Placer) grantSeparated(now timer.Millis, r *request) bool {
	fits := p.grantTasks(now, r)
	if len(r.granted) > 0 {
		p.served = append(p.served, r)
	}
	if !fits && r.constraints.suspicion >= marshaler.SuspicionStrong {
		p.holdFree(now, r)
	}
	return fits
}

// mayServe reports whether a worker may get tasks of a request: the confinement of queues permits it, and the worker is not
// held free for a task that must run alone.
func (p *Placer) mayServe(r *request, w *worker) bool {
	if h, ok := p.heldFree[r.service]; ok && h.worker == w && p.placedAt <= h.until && r.constraints.suspicion < marshaler.SuspicionStrong {
		return false
	}
	return w.mayReserve(r.key.job, p.distrusts(r.key.job)) && p.confinementAllows(r, w)
}

// holdFree keeps other tasks off the worker that has the most free processors, so that a task of a request can run there
// alone.
func (p *Placer) holdFree(now timer.Millis, r *request) {
	h := p.heldFree[r.service]
	if w := h.worker; w == nil || now > h.until || p.workers[w.name] != w || !w.accepting {
		h.worker = p.mostFree(r)
	}
	if h.worker == nil {
		return
	}
	if p.heldFree == nil {
		p.heldFree = map[string]heldWorker{}
	}
	h.until = now + holdFreeTime
	p.heldFree[r.service] = h
}

// mostFree returns the worker with the most free processors of those that can run a task of a request alone, or nil.
func (p *Placer) mostFree(r *request) (best *worker) {
	for _, w := range p.workersByName {
		if w.service != r.service || !w.accepting || !r.constraints.matchesLabel(w) || !p.confinementAllows(r, w) || !w.total.Contains(r.resources) {
			continue
		}
		if best == nil || w.free.CPU > best.free.CPU {
			best = w
		}
	}
	return best
}

// maySeparate reports whether a task with a suspicion can be kept apart from the tasks of a worker as required.
func (w *worker) maySeparate(s marshaler.Suspicion) bool {
	switch s {
	case marshaler.SuspicionNone:
		return true
	case marshaler.SuspicionPossible:
		return w.suspectRuns == 0 && !slices.ContainsFunc(w.reservations, func(r reservation) bool { return r.suspect })
	}
	return !w.busy()
}
