package submitter

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

// These numbers are higher in long runs by hand.
var (
	pairSeeds       = flag.Uint64("pairSeeds", 1, "number of seeds with which TestDurableJobFaults plays each pair of faults")
	mixtureSeeds    = flag.Uint64("mixtureSeeds", 40, "number of seeds of TestDurableJobMixtures")
	firstMixture    = flag.Uint64("firstMixture", 0, "first seed of TestDurableJobMixtures")
	membershipSeeds = flag.Uint64("membershipSeeds", 2, "number of seeds with which TestMembershipFaults plays each pair of faults")
)

// durableSeries is a way to play faults among durable jobs.
type durableSeries struct {
	every  int // mean time between two submissions, in ms
	faults int // number of faults in 4 s
	pick   func(w *simulation) fault
}

// membershipFaults has the names of the faults that change which entry owns a partition, or who knows it.
var membershipFaults = []string{
	"entry killed", "entry paused", "store down", "answers of the store lost", "partitions dealt anew", "sessions of entries reset", "link between entries cut",
	"store turns an entry away", "partitions dealt anew at once", "partitions dealt away and back at once",
}

// durableFaults returns all kinds of fault among durable jobs. The number of the first ones, from which the seeds of "mixed" draw, and
// their order is part of the seeds that have failed.
func durableFaults() (kinds []fault, first int) {
	common := commonFaults(2500, 3000, 4000)
	kinds = []fault{
		{"none", func(*simulation) {}}, common["entry killed"], common["sidecar killed"], common["entry paused"], common["sidecar paused"],
		common["backend server crashed"],
		{"store down", func(w *simulation) { w.store.downUntil = w.now + timer.Millis(w.random.IntN(3000)) }},
		{"answers of the store lost", func(w *simulation) { w.store.lostShare = 0.2 }},
		{"partitions dealt anew", func(w *simulation) { w.store.assignPartitions(1 + w.random.IntN(2)) }},
		common["link cut"], common["sessions reset"],
		{"orders carried out late", func(w *simulation) { w.lostShare, w.executeLate = 0.05, true }},
		{"all killed", func(w *simulation) {
			for _, e := range w.entries {
				w.killEntry(e, timer.Millis(100+w.random.IntN(600)))
			}
			for _, s := range w.sidecars {
				w.killSidecar(s, timer.Millis(100+w.random.IntN(600)))
			}
		}},
	}
	first = len(kinds)
	for _, k := range handoverFaults() {
		if k.name == "sessions of entries reset" || k.name == "link between entries cut" {
			kinds = append(kinds, k)
		}
	}
	kinds = append(append(kinds, lostServerFaults()...), storeFaults()...)
	return append(kinds, fault{"queue moved to another service and back", (*simulation).moveQueue}), first
}

// playDurable plays a series of faults, and checks all jobs after calm has returned.
func playDurable(t *testing.T, seed uint64, series durableSeries) {
	w := newDrawnSimulation(t, seed, 3, 4)
	w.advance(2500)
	ids := append(w.scheduleDurableJobs(0, 4000, series.every), w.scheduleDurableJobs(8000, 9000, 50)...)
	w.schedule(4500, func() {
		w.clearFaults()
		w.store.lostShare = 0
	})
	w.schedule(calmAfter, w.checkStanding)
	for n := range series.faults {
		w.schedule(timer.Millis(200+4000*n/series.faults), func() {
			k := series.pick(w)
			w.faults = append(w.faults, fmt.Sprintf("%s at %d", k.name, w.now))
			k.inject(w)
		})
	}
	w.advance(16_000)
	w.awaitLabelled(ids)
	w.checkDurable(ids)
}

// taking returns faults in turn.
func taking(faults ...fault) func(*simulation) fault {
	turn := 0
	return func(*simulation) fault {
		turn++
		return faults[turn%len(faults)]
	}
}

// TestDurableJobFaults injects faults into entries, sidecars, backend servers, sessions and the store. It guards against
// tasks of durable jobs that run twice at once or after their success was recorded, accepted jobs that are lost, and
// refused jobs that run.
func TestDurableJobFaults(t *testing.T) {
	kinds, mixedKinds := durableFaults()
	for i := range kinds {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%s/%d", kinds[i].name, seed), func(t *testing.T) {
				t.Parallel()
				playDurable(t, 900*uint64(i)+seed, durableSeries{25, 3, taking(kinds[i])})
			})
		}
	}
	runPair := func(first, second int, seed uint64) {
		t.Run(fmt.Sprintf("%s, %s/%d", kinds[first].name, kinds[second].name, seed), func(t *testing.T) {
			t.Parallel()
			playDurable(t, 100_000+10_000*uint64(first)+500*uint64(second)+seed, durableSeries{25, 8, taking(kinds[first], kinds[second])})
		})
	}
	for i := range kinds[1:] {
		for j := range i {
			first, second := 1+j, 1+i
			for seed := range *pairSeeds {
				runPair(first, second, seed)
			}
		}
	}
	// These seeds have failed: run numbers given out by two owners, and jobs that stand still after a change of the owner.
	runPair(8, 9, 5)
	runPair(4, 8, 8)
	runPair(7, 8, 147)
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("mixed/%d", seed), func(t *testing.T) {
			t.Parallel()
			playDurable(t, 70_000+seed, durableSeries{25, 9, func(w *simulation) fault { return kinds[w.random.IntN(mixedKinds)] }})
		})
	}
}

// TestDurableJobMixtures injects twelve faults of all kinds, with submissions under way at each of them. It guards against what
// TestDurableJobFaults does, where three kinds or more meet.
func TestDurableJobMixtures(t *testing.T) {
	kinds, _ := durableFaults()
	for n := range *mixtureSeeds {
		seed := *firstMixture + n
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playDurable(t, 1_000_000+seed, durableSeries{12, 12, func(w *simulation) fault { return kinds[w.random.IntN(len(kinds))] }})
		})
	}
}

// TestMembershipFaults plays pairs of faults that change the owners of partitions, or who knows them, with submissions under way at each
// of them. It guards against what TestDurableJobFaults does.
func TestMembershipFaults(t *testing.T) {
	all, _ := durableFaults()
	kinds := slices.DeleteFunc(all, func(k fault) bool { return !slices.Contains(membershipFaults, k.name) })
	for i := range kinds {
		for j := range i {
			for seed := range *membershipSeeds {
				t.Run(fmt.Sprintf("%s, %s/%d", kinds[j].name, kinds[i].name, seed), func(t *testing.T) {
					t.Parallel()
					playDurable(t, 2_000_000+10_000*uint64(i)+500*uint64(j)+seed, durableSeries{12, 10, taking(kinds[j], kinds[i])})
				})
			}
		}
	}
}
