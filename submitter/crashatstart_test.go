package submitter

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestCrashBeforeAnswer guards against a task of a durable job that crashes each backend server before the start is answered,
// and is started without end because such crashes are not counted.
func TestCrashBeforeAnswer(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			const id = "crashing"
			w := newDurableSimulation(t, 9900+seed, 3, 6)
			w.addCrashingJobs(0, id)
			w.crashing.unanswered = true
			w.advance(2500)
			w.durable.tasks[id] = 1
			w.schedule(0, func() {
				w.submitDurable(id, []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000, MemoryMB: 64}, Estimate: 150}}, maxSubmissions)
			})
			w.advance(40_000)
			if got := w.crashing.excess[id]; got > 2 {
				t.Errorf("got %d starts after three crashes, want at most 2; crashes: %d", got, w.crashing.crashes[id])
			}
		})
	}
}
