package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

// starvedCase starves processes and makes an entry lose its callers, twice, while other entries start tasks on the same
// sidecars.
type starvedCase struct {
	name   string
	starve func(w *simulation) // called 300 to 1700 ms before each loss
	lose   func(w *simulation)
	seeds  []uint64
}

func killForGood(w *simulation) { w.killEntry(w.entries[1], 60*timer.Second) }

func disconnectEntry(w *simulation) { w.disconnectCallers(w.entries[1]) }

func loseNothing(*simulation) {}

// starvedCases returns the cases with seeds that fail on the code of the commit that added them.
func starvedCases() []starvedCase {
	return []starvedCase{
		{
			"lateTicks", func(w *simulation) { w.starveSidecars(starvation{minGap: 100, maxGap: 250}) },
			killForGood, []uint64{0, 3, 5},
		},
		{
			"waitingMessages", func(w *simulation) {
				w.starveSidecars(starvation{minGap: 25, maxGap: 25, minWait: 800, maxWait: 900, messagesOnly: true})
			},
			killForGood, []uint64{52},
		},
		{
			"lostSidecar", func(w *simulation) {
				w.starveSidecars(starvation{minGap: 100, maxGap: 250, minWait: 500, maxWait: 900, messagesOnly: true})
			},
			loseNothing, []uint64{20, 40, 58},
		},
		{
			"lateStop", func(w *simulation) {
				w.entries[1].starve(w, starvation{minGap: 100, maxGap: 250, minWait: 500, maxWait: 900})
				w.starveSidecars(starvation{minGap: 25, maxGap: 25, minWait: 500, maxWait: 900, messagesOnly: true})
			},
			disconnectEntry, []uint64{112, 119},
		},
		{
			"staleOutcome", func(w *simulation) {
				w.entries[1].starve(w, starvation{minGap: 100, maxGap: 250, minTurn: 100, maxTurn: 900})
			},
			disconnectEntry, []uint64{413},
		},
		{
			"unsentStop", func(w *simulation) {
				w.entries[1].starve(w, starvation{minGap: 100, maxGap: 250, minTurn: 100, maxTurn: 900})
			},
			disconnectEntry, []uint64{437, 748},
		},
	}
}

// runStarved runs a case while jobs arrive, a third of them long enough to be alive when their callers send them again.
func runStarved(t *testing.T, c starvedCase, seed uint64) {
	w := newSimulation(t, seed, 4, 6)
	w.advance(500)
	w.scheduleLongJobs(0, 6800, 25)
	for _, at := range []timer.Millis{2000, 5000} {
		w.schedule(at-w.between(300, 1700), func() { c.starve(w) })
		w.schedule(at, func() {
			w.faults = append(w.faults, c.name)
			c.lose(w)
		})
	}
	w.advance(8500)
}

// TestConcurrentRunsStarved guards against two concurrent runs of a task while processes are short of processor time. In
// the order of the cases: sidecars keep the runs of a lost entry, because every late tick starts a grace period and other
// entries' starts extend the lease; they keep them because they handle its messages late; an entry takes runs for ended on a
// sidecar that still handles its messages; an entry and a sidecar in turn handle the departure of a caller and the stop
// of its runs late; an entry to which a caller sends a job again takes the outcome of an earlier run for that of the
// new one, because their attempts have the same number; and an entry whose session with a sidecar has ended does not stop
// the runs of a departed caller until the sidecar lists them on a new session.
func TestConcurrentRunsStarved(t *testing.T) {
	for _, c := range starvedCases() {
		t.Run(c.name, func(t *testing.T) {
			for _, seed := range c.seeds {
				runStarved(t, c, seed)
			}
		})
	}
}
