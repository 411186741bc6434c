package placer

import (
	"github.com/crocuslb/crocuslb/estimator"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// scarcityWindow is how long capacity counts as scarce after a request has waited.
	scarcityWindow = 200 * timer.Millisecond
	// normalSpeed is the speed that stated run times assume.
	normalSpeed = 1000
)

// choice says which worker a task of a request should get.
type choice struct {
	// slowestKind selects the slowest kind of workers of which one has at least minSpeed, and the fastest worker if there is
	// none. Within a kind, the fastest worker is selected: one that is slower than others of its kind may be faulty.
	slowestKind bool
	// minSpeed is the lowest speed at which the task meets its target if its run time is as stated.
	minSpeed float64
}

// choose returns the choice for a task of a request. While capacity is scarce, a task goes to the slowest kind of workers on
// which it meets its target, so that tasks with less time left find fast workers free.
func choose(now timer.Millis, r *request, scarce bool) choice {
	left := r.targetEnd - now
	if !scarce || r.targetEnd == 0 || left <= 0 {
		return choice{}
	}
	return choice{slowestKind: true, minSpeed: normalSpeed * float64(r.estimate) / float64(left)}
}

// setScarce records that a request found no worker.
func (p *Placer) setScarce(now timer.Millis, r *request) {
	if p.waitedAt == nil {
		p.waitedAt = map[string]timer.Millis{}
	}
	p.waitedAt[r.service] = now
}

// scarce reports whether a request of the same service has waited recently.
func (p *Placer) scarce(now timer.Millis, r *request) bool {
	at, waited := p.waitedAt[r.service]
	return waited && now-at <= scarcityWindow
}

// selectByTarget returns the fastest worker of the slowest kind that is fast enough for a task of r while capacity is
// scarce. It returns nil if there is none, or only one kind.
func (p *Placer) selectByTarget(now timer.Millis, r *request, filter func(*worker) bool) (best *worker) {
	s := p.services[r.service]
	if s == nil || len(s.kinds) < 2 || s.unfit.covers(r.resources) {
		return nil
	}
	c := choose(now, r, p.scarce(now, r))
	if !c.slowestKind {
		return nil
	}
	avoids, bestScore := p.markAvoided(s, r), 0.0
	passes := func(k workerKey) bool { return p.allows(r, k.w, avoids) && filter(k.w) }
	for i, k := range s.kinds {
		if best != nil && k.usual(p.medianSpeed) > s.kinds[i-1].usual(p.medianSpeed) {
			return best
		}
		// Of the learned run times, the 95th percentile counts, because a job ends with its longest task.
		minSpeed := c.minSpeed * p.runTimes.Ratio(r.cost.queue, k.name).High
		if w, score := p.fastestByRack(s, &k.workers, k, minSpeed, r, passes); precedes(w, score, best, bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}

// expectedRun returns the expected run time of a task of a request on a worker.
func (p *Placer) expectedRun(r *request, w *worker) timer.Millis {
	speed := max(w.speed*r.constraints.rackFactor(w), 1)
	return timer.Millis(float64(r.estimate) * p.ratio(r, w).Mean * normalSpeed / speed)
}

func (p *Placer) ratio(r *request, w *worker) estimator.Ratio {
	return p.runTimes.Ratio(r.cost.queue, w.kind.name)
}

// learnRunTime learns from a run that has ended. Runs on slow workers do not count, because their speed has changed
// meanwhile.
func (p *Placer) learnRunTime(now timer.Millis, w *worker, s marshaler.CompletedRun) {
	if s.Status == marshaler.StatusDone && s.Queue != "" && s.Estimate > 0 && !p.isSlow(w) {
		p.runTimes.Add(now, s.Queue, w.kind.name, float64(s.RunTime)*w.speed/normalSpeed/float64(s.Estimate))
	}
}
