package submitter

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestTasksAfterPlainCrash guards against durable jobs that wait for seconds beside free capacity, because each of their tasks
// ran on a backend server that crashed once for a reason of its own and counts as suspect ever after.
func TestTasksAfterPlainCrash(t *testing.T) {
	const (
		estimate    = 3000
		restartTime = 3000
		// longestRun is that of a run in the simulation, of which some fail and are repeated.
		longestRun = estimate * 13 / 10
		// maxIdle is how long users accept that a task waits beside free capacity.
		maxIdle = 3000
	)
	cases := []struct {
		name    string
		servers int
		tasks   uint64
	}{
		{"few tasks", 3, 2},
		{"many tasks", 3, 18}, // 18 of the 30 that three servers have room for
	}
	for _, c := range cases {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				w := newDurableSimulation(t, seed, 2, c.servers)
				w.advance(2500)
				room := marshaler.Resources{CPU: 3000, MemoryMB: 64}
				w.durable.tasks["job"] = int(c.tasks)
				w.submitDurable("job", []marshaler.Step{{Tasks: c.tasks, Resources: room, Estimate: estimate}}, maxSubmissions)
				w.advance(1000)
				for _, s := range w.sidecars {
					s.backend.crash()
					w.schedule(restartTime, s.backend.restart)
				}
				took := timer.Millis(0)
				for got := AnswerRunning; got == AnswerRunning && took < 60_000; took += 100 {
					w.advance(100)
					w.entries[0].core.State(w.now, testQueue.Name, "job", func(a Answer) { got = a.Kind })
				}
				if want := timer.Millis(restartTime + 2*longestRun + maxIdle); took > want {
					t.Errorf("got the job done %s after the crash, want within %s", took, want)
				}
			})
		}
	}
}
