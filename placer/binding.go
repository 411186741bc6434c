package placer

import (
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
)

// farFactor is what a worker outside the rack of a step's data counts for beside one within it. Tasks take 1.5 to 3
// times as long there.
const farFactor = 0.5

// binding restricts and ranks the workers for the tasks of a step. The zero value leaves all alike.
type binding struct {
	label     string // that a worker must have; empty for none
	rack      string // preferred; empty for none
	perServer int    // most tasks on one worker; 0 for any number
	placed    map[string]int
}

func bind(a *marshaler.Ask) binding {
	b := binding{label: a.Label, rack: a.Rack, perServer: int(a.PerServer)}
	if b.perServer > 0 {
		b.placed = map[string]int{}
		for _, name := range a.Placed {
			b.placed[name]++
		}
	}
	return b
}

// place counts a granted task.
func (b *binding) place(worker string) {
	if b.perServer > 0 {
		b.placed[worker]++
	}
}

func (b *binding) labelled(w *worker) bool {
	return b.label == "" || slices.Contains(w.labels, b.label)
}

func (b *binding) allows(w *worker) bool {
	return b.labelled(w) && (b.perServer == 0 || b.placed[w.name] < b.perServer)
}

// factor weighs a worker's speed by its distance from the step's data.
func (b *binding) factor(w *worker) float64 {
	if b.rack == "" || slices.Contains(w.labels, b.rack) {
		return 1
	}
	return farFactor
}
