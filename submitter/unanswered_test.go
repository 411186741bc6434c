package submitter

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

// TestUnansweredStops guards against two runs of one task at once when backend servers leave a share of starts and stops
// unanswered and carry them out late, while entries are killed whose tasks last longer than their callers' resend delay.
func TestUnansweredStops(t *testing.T) {
	for _, percent := range []int{15, 50, 80, 90} {
		lapsed, started := 0, 0
		for seed := range uint64(12) {
			t.Run(fmt.Sprintf("%d/%d", percent, seed), func(t *testing.T) {
				w := newSimulation(t, 20_000+seed, 3, 4)
				w.advance(500)
				w.executeLate, w.ordersOnly = true, true
				for n := range 40 {
					e := w.entries[w.random.IntN(len(w.entries))]
					w.schedule(timer.Millis(100*n), func() { w.submit(e, fmt.Sprintf("job-%d", n), 1, timer.Millis(1800+w.random.IntN(800))) })
				}
				for n := range 3 {
					w.schedule(timer.Millis(1200+1500*n), func() {
						w.lostShare = float64(percent) / 100
						w.killEntry(w.entries[n], 300)
						w.schedule(resubmitDelay, func() { w.lostShare = 0 }) // the next attempts start
					})
				}
				w.schedule(7000, w.clearFaults)
				w.advance(16_000)
				for _, s := range w.sidecars {
					lapsed += s.backend.lapsedRuns
				}
				for _, n := range w.startedRuns {
					started += n
				}
			})
		}
		t.Logf("share %d%%: %d of %d runs ended with the lease", percent, lapsed, started)
	}
}

// TestStartAfterSidecarRestart guards against two runs of one task at once when the backend server carries out a start late, but
// before its deadline, and the sidecar that sent it has been restarted meanwhile: a list of runs that omits the start does not
// prove that it will not be executed.
func TestStartAfterSidecarRestart(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newSimulation(t, 21_000+seed, 2, 3)
			w.advance(500)
			w.executeLate, w.ordersOnly, w.lateAfter = true, true, 250
			ids := w.scheduleJobs(0, 3000, 25)
			for n := range 8 {
				w.schedule(timer.Millis(100+350*n), func() {
					w.lostShare = 0.5
					w.schedule(20, func() {
						w.lostShare = 0
						w.killSidecar(w.sidecars[n%3], 20)
					})
				})
			}
			w.schedule(3500, w.clearFaults)
			w.advance(12_000)
			w.checkAnswers(ids, nil)
		})
	}
}
