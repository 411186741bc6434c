package submitter

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// cutSidecar cuts a sidecar off from all entries for a time.
func (w *simulation) cutSidecar(name string, length timer.Millis) {
	for _, l := range w.links {
		if l.sidecar == name {
			l.cutUntil = w.now + length
		}
	}
}

// TestCancelBehindCut guards against successes that count although their task was started again: callers cancel jobs that take
// too long because a sidecar is cut off and its tasks are started elsewhere.
func TestCancelBehindCut(t *testing.T) {
	const taskTime, patience, cutTime, cutInterval = 1500, 3800, 5500, 7000
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newDurableSimulation(t, 12_000+seed, 3, 4)
			w.advance(2500)
			var ids []string
			for n := range 300 {
				id := fmt.Sprintf("kept-%d", n)
				ids = append(ids, id)
				w.durable.tasks[id] = 2
				steps := []marshaler.Step{{Tasks: 2, Resources: marshaler.Resources{CPU: 3000, MemoryMB: 64}, Estimate: taskTime}}
				at := timer.Millis(70 * n)
				w.schedule(at, func() { w.submitDurable(id, steps, maxSubmissions) })
				w.schedule(at+patience, func() { w.cancelDurable(id) })
			}
			for n := range 3 {
				w.schedule(timer.Millis(1500+cutInterval*n), func() { w.cutSidecar(w.sidecars[w.random.IntN(len(w.sidecars))].name, cutTime) })
			}
			w.advance(35_000)
			w.checkDurable(ids)
		})
	}
}
