package placer

import (
	"github.com/crocuslb/crocuslb/indexer"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// defaultSpeed is the speed of a worker before its first report, and the usual speed without accepting workers, in
	// thousandths of the speed that run time estimates assume.
	defaultSpeed = 1000
	// maxSpeed bounds reported speeds. Up to it, different speeds have different scores despite rounding, so the order by
	// speed is the order by score.
	maxSpeed = 1e9
)

type (
	// speedTree orders workers by speed.
	speedTree = indexer.Tree[workerKey, struct{}]

	// speedGroup holds the accepting workers by speed. The zero value is ready to use.
	speedGroup struct{ tree speedTree }
)

// update adds, moves or removes a worker according to its speed and to whether it accepts starts.
func (g *speedGroup) update(w *worker) {
	h := w.indexed.speed
	if h != 0 && w.accepting && g.tree.Key(h).speed == w.speed {
		return
	}
	g.remove(w)
	if !w.accepting {
		return
	}
	if g.tree.Compare == nil {
		g.tree.Compare, g.tree.Merge = compareWorkers, func(a, _ struct{}) struct{} { return a }
	}
	w.indexed.speed = g.tree.Insert(workerKey{w.speed, w}, struct{}{})
}

func (g *speedGroup) remove(w *worker) {
	if w.indexed.speed != 0 {
		g.tree.Remove(w.indexed.speed)
		w.indexed.speed = 0
	}
}

// median returns the median speed.
func (g *speedGroup) median() float64 {
	n := g.tree.Len()
	if n == 0 {
		return defaultSpeed
	}
	return max(g.tree.Key(g.tree.At(n-1-n/2)).speed, 1) // the tree is ordered by falling speed
}

// reclassify calls changed for the workers whose slow state is not as isSlow tells. Faster workers must not be slow where
// slower ones are not, so these workers lie on both sides of the first slow one.
func (g *speedGroup) reclassify(isSlow func(*worker) bool, changed func(*worker)) {
	firstSlow := g.tree.Seek(func(k workerKey) bool { return isSlow(k.w) })
	for h := firstSlow; h != 0 && !g.tree.Key(h).w.slow; h = g.tree.Next(h) {
		changed(g.tree.Key(h).w)
	}
	h := g.tree.At(g.tree.Len() - 1)
	if firstSlow != 0 {
		h = g.tree.Previous(firstSlow)
	}
	for ; h != 0 && g.tree.Key(h).w.slow; h = g.tree.Previous(h) {
		changed(g.tree.Key(h).w)
	}
}

// isSlow reports whether a worker is so much slower than usual that it gets one task at a time, as a probe.
func (p *Placer) isSlow(w *worker) bool { return w.speed/p.medianSpeed < slowSpeedRatio }

// updateMedianSpeed recomputes the median speed if it is due, and which workers are slow.
func (p *Placer) updateMedianSpeed(now timer.Millis) {
	if p.medianSpeed != 0 && now-p.medianSpeedAt < medianSpeedInterval {
		return
	}
	p.medianSpeedAt = now
	median := p.speeds.median()
	if median == p.medianSpeed {
		return
	}
	p.medianSpeed = median
	p.speeds.reclassify(p.isSlow, p.updateIndex)
}
