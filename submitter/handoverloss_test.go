package submitter

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestHandoverUnansweredStops guards against runs that are alive when the callers of a lost entry send their jobs again. The entry
// had handed the jobs over, its machine is lost, so that its sessions go silent, and backend servers leave starts and stops
// unanswered meanwhile. All processes are on time, and no clock is slow.
func TestHandoverUnansweredStops(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for seed := range uint64(24) {
			t.Run(fmt.Sprintf("silent %v/%d", silent, seed), func(t *testing.T) {
				w := newHandoverSimulation(t, 30_000+seed, 3, 12)
				w.advance(4000)
				w.executeLate, w.ordersOnly = true, true
				for n := range 12 {
					w.schedule(timer.Millis(100*n), func() { w.submit(w.entries[0], fmt.Sprintf("job-%d", n), 1, 3600) })
				}
				w.advance(1500 + timer.Millis(7*seed))
				w.lostShare = 1
				for _, l := range w.peerLinks {
					if silent {
						l.cutUntil = w.now + 3000
					}
				}
				handed := w.entries[0].core.HandedOverJobs()
				w.killEntry(w.entries[0], 5000)
				w.advance(resubmitDelay)
				alive := 0
				for _, n := range marshaler.SortedByKey(w.activeRuns) {
					if n > 0 {
						alive++
					}
				}
				if alive > 0 {
					t.Errorf("got %d runs of %d handed over jobs alive when their callers send again, want none", alive, handed)
				}
			})
		}
	}
}
