package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// maxSlowCandidates bounds the late requests that one call of Place considers for slow workers.
const maxSlowCandidates = 64

// setEnds sets the ends that a request states.
func (r *request) setEnds(now timer.Millis, a *marshaler.ResourceRequest) {
	r.queueName = a.Queue
	if a.TargetEnd > 0 {
		r.targetEnd = now + a.TargetEnd
	}
	if a.LastUsefulEnd > 0 {
		r.lastEnd = now + a.LastUsefulEnd
	}
}

// endsUsefully reports whether a task of a request is expected to end on a worker while its answer is still of use to the
// caller.
func (p *Placer) endsUsefully(now timer.Millis, r *request, w *worker) bool {
	return r.lastEnd > 0 && now+p.expectedRun(r, w) <= r.lastEnd
}

// mayProbe reports whether a request may run a task on an idle slow worker. A request that can still meet its target may
// only if it meets it there; otherwise the probe would make its answer late.
func (p *Placer) mayProbe(now timer.Millis, r *request, w *worker) bool {
	return now >= r.targetEnd || now+p.expectedRun(r, w) <= r.targetEnd
}

// slowSlots returns the slow workers that may run tasks of a request, the fastest first, with one element for each task
// that fits, up to the number of tasks that are not granted yet.
func (p *Placer) slowSlots(now timer.Millis, r *request) (slots []*worker) {
	var candidates []*worker
	for _, w := range p.workersByName {
		if w.free.Contains(r.resources) && p.isSlow(w) && p.allowed(now, r, w) && p.endsUsefully(now, r, w) {
			candidates = append(candidates, w)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int {
		return cmp.Compare(b.speed*r.constraints.rackFactor(b), a.speed*r.constraints.rackFactor(a))
	})
	for _, w := range candidates {
		n := min(tasksThatFit(w.free, r.resources), r.constraints.tasksLeft(w), r.remaining-uint64(len(slots)))
		if w.breaker.open {
			n = min(n, 1)
		}
		slots = append(slots, slices.Repeat([]*worker{w}, int(n))...)
	}
	return slots
}

// tasksThatFit returns how many tasks fit into free resources.
func tasksThatFit(free, task marshaler.Resources) uint64 {
	n := uint64(math.MaxInt32)
	for _, d := range [...][2]int64{{free.CPU, task.CPU}, {free.MemoryMB, task.MemoryMB}, {free.Accelerators, task.Accelerators}} {
		if d[1] > 0 {
			n = min(n, uint64(max(d[0], 0)/d[1]))
		}
	}
	return n
}

// assignSlow assigns all tasks of a request to slow workers. It assigns none if they do not all fit: the rest would go
// before the tasks of jobs that can still be in time.
func (p *Placer) assignSlow(now timer.Millis, r *request) bool {
	slots := p.slowSlots(now, r)
	if len(slots) == 0 || uint64(len(slots)) < r.remaining {
		return false
	}
	for _, w := range slots {
		assignTask(now, r, w)
	}
	return true
}

// grantOnSlow grants all tasks of a request that is about to be refused on slow workers. It returns false if the request
// cannot be served there. The request must not be queued.
func (p *Placer) grantOnSlow(now timer.Millis, r *request) bool {
	if !p.assignSlow(now, r) {
		return false
	}
	p.reportSlow(r, "refusal averted")
	p.Grant(r.key.entry, marshaler.Grant{Job: r.key.job, Step: r.key.step, Sidecars: r.granted})
	r.granted = nil
	return true
}

// placeOnSlow assigns late requests to slow workers, and returns them. Short tasks go first, because more of them end in
// time there. Place calls it when the other workers have been assigned. A job that has begun waits for another worker,
// because it is first in line.
func (p *Placer) placeOnSlow(now timer.Millis) (served []*request) {
	if !slices.ContainsFunc(p.workersByName, func(w *worker) bool { return w.accepting && w.free.CPU > 0 && p.isSlow(w) }) {
		return nil
	}
	var candidates []*request
	for _, r := range p.queue {
		if r.late && !r.started && r.lastEnd > 0 && len(r.granted) == 0 && r.remaining > 0 {
			candidates = append(candidates, r)
		}
		if len(candidates) == maxSlowCandidates {
			break
		}
	}
	slices.SortStableFunc(candidates, func(a, b *request) int { return cmp.Compare(a.estimate, b.estimate) })
	for _, r := range candidates {
		if p.assignSlow(now, r) {
			p.reportSlow(r, "late")
			served = append(served, r)
		}
	}
	return served
}

func (p *Placer) reportSlow(r *request, why string) {
	p.report(Event{Kind: "slowGrant", Job: r.key.job, Worker: r.granted[0], Detail: why, Value: int64(len(r.granted))})
}
