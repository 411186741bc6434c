package submitter

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

// TestRunsOnRefusingServer guards against two runs of one task at once when a backend server refuses new connections for some
// milliseconds while its runs go on: the refusal of a hold does not end listed runs, and that of a stop does not end a run
// whose start is carried out late, but before its deadline.
func TestRunsOnRefusingServer(t *testing.T) {
	cases := []struct {
		name      string
		lostShare float64 // of starts and stops, which are carried out late
	}{
		{"calls answered", 0},
		{"orders carried out late", 0.3},
	}
	for _, c := range cases {
		for seed := range uint64(12) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				w := newSimulation(t, 22_000+seed, 2, 4)
				w.advance(500)
				w.lostShare, w.executeLate, w.ordersOnly, w.lateAfter = c.lostShare, true, true, 250
				ids := w.scheduleLongJobs(0, 4000, 25)
				for at := timer.Millis(100); at < 4000; at += w.between(40, 80) {
					s := w.sidecars[w.random.IntN(len(w.sidecars))]
					w.schedule(at, func() { s.backend.refusesUntil = w.now + w.between(5, 15) })
				}
				w.schedule(4500, w.clearFaults)
				w.advance(16_000)
				w.checkAnswers(ids, nil)
			})
		}
	}
}
