package submitter

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestCrashCountOfLostOwner guards against crashes that are not counted against a task, because the owner of its job is lost
// before it has stored them. The other owners that start the task are in touch all the time.
func TestCrashCountOfLostOwner(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			const id = "crashing"
			w := newDurableSimulation(t, 8800+seed, 3, 6)
			w.addCrashingJobs(30, id)
			w.crashing.onCrash = func() {
				w.schedule(timer.Millis(w.random.IntN(60)), func() { w.killEntry(w.entries[w.random.IntN(len(w.entries))], 500) })
			}
			w.advance(2500)
			w.durable.tasks[id] = 1
			w.schedule(0, func() {
				w.submitDurable(id, []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000, MemoryMB: 64}, Estimate: 150}}, maxSubmissions)
			})
			w.advance(60_000)
			if got := w.crashing.excess[id]; got > 2 {
				t.Errorf("got %d starts after three crashes, want at most 2; crashes: %d", got, w.crashing.crashes[id])
			}
		})
	}
}
