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
	s := p.services[r.service]
	if s == nil || r.lastEnd < now {
		return nil
	}
	avoids := p.markAvoided(s, r)
	var candidates []*worker
	tasks, tooSlow := uint64(0), p.uselessSpeed(now, s, r)
	fits := func(free marshaler.Resources) bool { return free.Contains(r.resources) }
	s.slow.FirstFit(nil, fits, func(k workerKey) bool {
		if k.speed <= tooSlow {
			return true // the remaining ones are slower
		}
		if p.allows(r, k.w, avoids) && p.endsUsefully(now, r, k.w) {
			candidates = append(candidates, k.w)
			tasks += r.slowTasks(k.w)
		}
		return r.constraints.rack == "" && tasks >= r.remaining
	})
	slices.SortFunc(candidates, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.speed*r.constraints.rackFactor(b), a.speed*r.constraints.rackFactor(a)), cmp.Compare(a.name, b.name))
	})
	for _, w := range candidates {
		n := min(r.slowTasks(w), r.remaining-uint64(len(slots)))
		slots = append(slots, slices.Repeat([]*worker{w}, int(n))...)
	}
	return slots
}

// uselessSpeed returns a speed at and below which no worker of a service ends a task of a request in useful time.
func (p *Placer) uselessSpeed(now timer.Millis, s *serviceIndex, r *request) float64 {
	ratio := math.Inf(1)
	for _, k := range s.kinds {
		ratio = min(ratio, p.runTimes.Ratio(r.cost.queue, k.name).Mean)
	}
	speed := normalSpeed * float64(r.estimate) * ratio / float64(r.lastEnd-now+1)
	if speed < 1 {
		return -1 // lower speeds count as 1
	}
	return speed
}

// slowTasks returns how many tasks of a request a slow worker may run.
func (r *request) slowTasks(w *worker) uint64 {
	n := min(tasksThatFit(w.free, r.resources), r.constraints.tasksLeft(w))
	if w.breaker.open {
		return min(n, 1)
	}
	return n
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
		p.assignTask(now, r, w)
	}
	return true
}

// fitsOnSlow reports whether all tasks of a request fit on slow workers.
func (p *Placer) fitsOnSlow(now timer.Millis, r *request) bool {
	slots := p.slowSlots(now, r)
	return len(slots) > 0 && uint64(len(slots)) >= r.remaining
}

// grantOnSlow grants all tasks of a request that is about to be refused on slow workers. It returns false if the request
// cannot be served there. The request must not be queued, and is released if it is granted.
func (p *Placer) grantOnSlow(now timer.Millis, r *request) bool {
	if !p.assignSlow(now, r) {
		return false
	}
	p.reportSlow(r, "refusal averted")
	p.Grant(r.key.entry, marshaler.Grant{Job: r.key.job, Step: r.key.step, Sidecars: r.granted})
	r.granted = nil
	p.release(r)
	return true
}

// placeOnSlow assigns late requests to slow workers. Short tasks go first, because more of them end in time there. It is
// called when the other workers have been assigned. A job that has begun waits for another worker, because it is first in
// line.
func (p *Placer) placeOnSlow(now timer.Millis) {
	if !p.slowHaveRoom() {
		return
	}
	var candidates []*request
	for r := range p.queue.late() {
		if r.lastEnd > 0 && len(r.granted) == 0 && r.remaining > 0 {
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
			p.served = append(p.served, r)
		}
	}
}

// slowHaveRoom reports whether a slow worker has free processors.
func (p *Placer) slowHaveRoom() bool {
	for _, s := range p.services {
		if s.slow.Sum().CPU > 0 {
			return true
		}
	}
	return false
}

func (p *Placer) reportSlow(r *request, why string) {
	p.report(Event{Kind: "slowGrant", Job: r.key.job, Worker: r.granted[0], Detail: why, Value: int64(len(r.granted))})
}
