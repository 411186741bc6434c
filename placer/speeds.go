package placer

import "github.com/crocuslb/crocuslb/indexer"

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

// update adds, moves or removes a worker according to its speed and to whether it accepts starts. h is its place.
func (g *speedGroup) update(w *worker, h *indexer.Handle) {
	if *h != 0 && w.accepting && g.tree.Key(*h).speed == w.speed {
		return
	}
	g.remove(h)
	if !w.accepting {
		return
	}
	if g.tree.Compare == nil {
		g.tree.Compare, g.tree.Merge = compareWorkers, func(a, _ struct{}) struct{} { return a }
	}
	*h = g.tree.Insert(workerKey{w.speed, w}, struct{}{})
}

func (g *speedGroup) remove(h *indexer.Handle) {
	if *h != 0 {
		g.tree.Remove(*h)
		*h = 0
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

// reclassify calls changed for the workers that may become slow or cease to be slow because the usual speed changes: those
// between the limits of the former and the current one.
func (g *speedGroup) reclassify(former, current float64, changed func(*worker)) {
	below := func(ratio, usual float64) func(workerKey) bool {
		return func(k workerKey) bool { return k.speed/usual < ratio }
	}
	isSlow, wasSlow := below(slowSpeedRatio, current), below(slowSpeedRatio, former)
	for h := g.tree.Seek(isSlow); h != 0 && !wasSlow(g.tree.Key(h)); h = g.tree.Next(h) {
		changed(g.tree.Key(h).w)
	}
	isBelow, wasBelow := below(recoveredSpeedRatio, current), below(recoveredSpeedRatio, former)
	for h := g.tree.Seek(wasBelow); h != 0 && !isBelow(g.tree.Key(h)); h = g.tree.Next(h) {
		changed(g.tree.Key(h).w)
	}
}
