package placer

import (
	"math"
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
)

// remoteRackFactor is the factor on the speed of a worker outside the rack that holds the step's data. Tasks take 1.5 to
// 3 times as long there.
const remoteRackFactor = 0.5

// placementConstraints are the placement constraints and the rack preference of a step. The zero value allows all workers
// and ranks them equally.
type placementConstraints struct {
	label     string         // required; empty for none
	rack      string         // preferred; empty for none
	perServer int            // maximum number of tasks on one worker; 0 for no limit
	placed    map[string]int // number of tasks by worker, if perServer is set
	suspicion marshaler.Suspicion
}

func newConstraints(a *marshaler.ResourceRequest) placementConstraints {
	c := placementConstraints{label: a.Label, rack: a.Rack, perServer: int(a.ServerTaskLimit), suspicion: a.Suspicion}
	if c.perServer > 0 {
		c.placed = map[string]int{}
		for _, name := range a.Placed {
			c.placed[name]++
		}
	}
	return c
}

// countPlaced counts a task granted on the worker.
func (c *placementConstraints) countPlaced(worker string) {
	if c.perServer > 0 {
		c.placed[worker]++
	}
}

func (c *placementConstraints) matchesLabel(w *worker) bool {
	return c.label == "" || slices.Contains(w.labels, c.label)
}

func (c *placementConstraints) allows(w *worker) bool {
	return c.matchesLabel(w) && (c.perServer == 0 || c.placed[w.name] < c.perServer) && w.maySeparate(c.suspicion)
}

// tasksLeft returns how many more tasks the step may have on the worker.
func (c *placementConstraints) tasksLeft(w *worker) uint64 {
	if c.perServer == 0 {
		return math.MaxInt32
	}
	return uint64(max(c.perServer-c.placed[w.name], 0))
}

// rackFactor returns the factor on the worker's speed for its distance from the step's data.
func (c *placementConstraints) rackFactor(w *worker) float64 {
	if c.rack == "" || slices.Contains(w.labels, c.rack) {
		return 1
	}
	return remoteRackFactor
}
