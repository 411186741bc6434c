package submitter

import (
	"flag"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

// refusedSeeds is more in long runs by hand.
var (
	refusedSeeds     = flag.Uint64("refusedSeeds", 1, "number of further seeds of TestRefusedJobRuns")
	firstRefusedSeed = flag.Uint64("firstRefusedSeed", 0, "first of these seeds")
)

// TestRefusedJobRuns guards against durable jobs that run although each submission was refused: an entry forwards a submission to the
// owner of its partition, their session is lost after the owner has stored the job, and a former owner that still takes itself for
// the owner refuses the same submission.
func TestRefusedJobRuns(t *testing.T) {
	series := []struct {
		lostShare float64
		failed    []uint64 // seeds that have failed
	}{{0, []uint64{37, 202}}, {0.2, []uint64{18, 55, 92}}}
	for _, c := range series {
		t.Run(fmt.Sprintf("lost answers %.1f", c.lostShare), func(t *testing.T) {
			var stored, refused, open atomic.Int64
			t.Cleanup(func() {
				t.Logf("answers to submissions: %d stored, %d never runs, %d not known", stored.Load(), refused.Load(), open.Load())
			})
			seeds := c.failed
			for n := range *refusedSeeds {
				seeds = append(seeds, *firstRefusedSeed+n)
			}
			for _, seed := range seeds {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					w := playChangingOwners(t, seed, c.lostShare)
					stored.Add(int64(w.durable.answers[AnswerAccepted]))
					refused.Add(int64(w.durable.answers[AnswerNotRun]))
					open.Add(int64(w.durable.answers[AnswerAborted]))
				})
			}
		})
	}
}

// playChangingOwners plays dense submissions of durable jobs while all partitions are reassigned at once again and again, each time
// shortly before the sessions between entries are reset.
func playChangingOwners(t *testing.T, seed uint64, lostShare float64) *simulation {
	w := newDurableSimulation(t, 80_000+seed, 3, 4)
	w.advance(2500)
	ids := w.scheduleDurableJobs(0, 4000, 12)
	w.store.lostShare = lostShare
	for at := timer.Millis(200); at < 4000; at += 450 {
		w.schedule(at, func() {
			w.store.reassignAtOnce(w.random.IntN(3))
			w.schedule(timer.Millis(w.random.IntN(300)), func() {
				for _, l := range w.peerLinks {
					l.end(errConnectionCut)
				}
			})
		})
	}
	w.schedule(4500, func() {
		w.clearFaults()
		w.store.lostShare = 0
	})
	w.advance(16_000)
	w.checkDurable(ids)
	return w
}
