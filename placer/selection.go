package placer

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// maxCountedWorkers is the number of workers with free resources up to which a refusal's log line counts them.
const maxCountedWorkers = 32

// selectWorker returns the eligible worker with enough free resources that a task of r should get, or nil.
func (p *Placer) selectWorker(now timer.Millis, r *request) *worker {
	return p.selectAmong(now, r, nil)
}

// selectAmong returns the same among the workers that pass a filter. A nil filter passes all.
func (p *Placer) selectAmong(now timer.Millis, r *request, filter func(*worker) bool) *worker {
	mayRun := func(w *worker) bool { return (!w.slow || p.mayProbe(now, r, w)) && (filter == nil || filter(w)) }
	if w := p.selectByTarget(now, r, mayRun); w != nil {
		return w
	}
	return p.selectFastest(r, mayRun)
}

// selectFastest returns the best eligible worker with enough free resources for a task of r that passes a filter, or nil.
// Within one failure domain and rack the fastest one is the best, so the best of each is found without reading the others.
// A nil filter passes all.
func (p *Placer) selectFastest(r *request, filter func(*worker) bool) *worker {
	s := p.services[r.service]
	if s == nil || s.unfit.covers(r.resources) {
		return nil
	}
	avoids, fits := p.markAvoided(s, r), false
	group := p.group(s, r.constraints.label)
	best, _ := p.fastestByRack(s, group, nil, 0, r, func(k workerKey) bool {
		fits = true
		return p.allows(r, k.w, avoids) && (filter == nil || filter(k.w))
	})
	if group == &s.all && !fits {
		s.unfit = unfitSize{r.resources, true}
	}
	return best
}

// fastestByRack returns the best worker of a group for a task of r with regard to its preferred rack, or nil, and its score.
// kind is the kind whose workers the group holds, or nil. Workers slower than minSpeed with the factor of their rack do not
// count.
func (p *Placer) fastestByRack(s *serviceIndex, group *workerGroup, kind *workerKind, minSpeed float64, r *request, passes func(workerKey) bool) (*worker, float64) {
	rack := r.constraints.rack
	if rack == "" {
		return p.fastest(group, r, 1, minSpeed, passes)
	}
	// The second search may find a worker of the rack again, but no better one than the first search: its score is lower.
	best, score := p.fastest(p.group(s, rack), r, 1, minSpeed, func(k workerKey) bool { return (kind == nil || k.w.kind == kind) && passes(k) })
	remote, remoteScore := p.fastest(group, r, remoteRackFactor, minSpeed, passes)
	if precedes(remote, remoteScore, best, score) {
		return remote, remoteScore
	}
	return best, score
}

// fastest returns the worker of a group with the highest score for a task of r, or nil. factor is the factor on its speed,
// which must be at least minSpeed.
func (p *Placer) fastest(g *workerGroup, r *request, factor, minSpeed float64, passes func(workerKey) bool) (best *worker, score float64) {
	if g == nil {
		return nil, 0
	}
	for _, d := range g.domains {
		h := d.tree.FirstFit(nil, func(free marshaler.Resources) bool { return free.Contains(r.resources) }, passes)
		if h == 0 || d.tree.Key(h).speed*factor < minSpeed {
			continue
		}
		w := d.tree.Key(h).w
		s := w.speed / p.medianSpeed * factor
		if d.domain == r.domain {
			s += sameDomainBonus
		}
		if precedes(w, s, best, score) {
			best, score = w, s
		}
	}
	return best, score
}

// precedes reports whether w is a better choice than another worker, if any. Equal scores go to the first by name.
func precedes(w *worker, score float64, other *worker, otherScore float64) bool {
	switch {
	case w == nil || other == nil:
		return w != nil
	case score != otherScore:
		return score > otherScore
	}
	return w.name < other.name
}

// selectSlowest returns the slowest eligible worker of at least a speed that has enough free resources for a task of r and
// passes a filter, or nil. A nil filter passes all. Of equally fast ones, those in the request's failure domain go first, then the first by name. With a rack preference, only
// workers of the rack count. Slow workers and those with an open breaker do not count.
func (p *Placer) selectSlowest(r *request, minSpeed float64, filter func(*worker) bool) *worker {
	s := p.services[r.service]
	if s == nil {
		return nil
	}
	label := r.constraints.label
	if r.constraints.rack != "" {
		label = r.constraints.rack
	}
	group := p.group(s, label)
	if group == nil {
		return nil
	}
	avoids := p.markAvoided(s, r)
	fits := func(free marshaler.Resources) bool { return free.Contains(r.resources) }
	passes := func(k workerKey) bool {
		return !k.w.slow && !k.w.breaker.open && p.allows(r, k.w, avoids) && (filter == nil || filter(k.w))
	}
	var best *worker
	for _, d := range group.domains {
		h := d.tree.LastFit(func(k workerKey) bool { return k.speed >= minSpeed }, fits, passes)
		if h == 0 {
			continue
		}
		speed := d.tree.Key(h).speed
		w := d.tree.Key(d.tree.FirstFit(func(k workerKey) bool { return k.speed <= speed }, fits, passes)).w
		if best == nil || slowerFirst(r, w, best) {
			best = w
		}
	}
	return best
}

func slowerFirst(r *request, w, other *worker) bool {
	switch {
	case w.speed != other.speed:
		return w.speed < other.speed
	case (w.domain == r.domain) != (other.domain == r.domain):
		return w.domain == r.domain
	}
	return w.name < other.name
}

// markAvoided marks the workers that a request avoids and reports whether they are excluded. If it avoids all accepting
// workers of its service, none is excluded.
func (p *Placer) markAvoided(s *serviceIndex, r *request) bool {
	if len(r.avoided) == 0 {
		return false
	}
	p.avoidMark++
	avoided := 0
	for _, name := range r.avoided {
		w := p.workers[name]
		if w == nil || w.avoidMark == p.avoidMark {
			continue
		}
		w.avoidMark = p.avoidMark
		if w.accepting && w.indexed.service == s {
			avoided++
		}
	}
	return avoided < s.tally.accepting
}

// allows reports whether the constraints of a request and the workers that it avoids permit a worker.
func (p *Placer) allows(r *request, w *worker, avoids bool) bool {
	return (!avoids || w.avoidMark != p.avoidMark) && r.constraints.allows(w) && p.mayServe(r, w)
}

// countWithRoom returns the number of workers with a closed breaker that are not slow and have free resources for a task of
// r, up to maxCountedWorkers.
func (p *Placer) countWithRoom(r *request) int {
	count := 0
	s := p.services[r.service]
	if s == nil {
		return count
	}
	for _, d := range s.all.domains {
		d.tree.FirstFit(nil, func(free marshaler.Resources) bool { return free.Contains(r.resources) }, func(k workerKey) bool {
			if !k.w.slow && !k.w.breaker.open {
				count++
			}
			return count >= maxCountedWorkers
		})
	}
	return min(count, maxCountedWorkers)
}
