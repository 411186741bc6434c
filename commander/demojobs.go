package commander

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	demoMinRunTime = 50 * timer.Millisecond
	demoMaxRunTime = timer.Second
	demoMaxTasks   = 20
	// demoAgain is the share of jobs that are submitted again, to another entry.
	demoResubmitShare = 0.15
)

type (
	// demoJob is one job of the demo. Times are relative to the start of the load.
	demoJob struct {
		key           string
		arrival       timer.Millis
		runTimes      []timer.Millis
		once          bool
		entry         int          // entry that gets the submission
		resubmitEntry int          // entry that gets it again; -1 for none
		resubmitDelay timer.Millis // delay of the second submission
	}

	// outage is the time in which some of the slots start nothing.
	outage struct {
		from, to timer.Millis
		slots    int
	}
)

// demoMix returns n jobs that arrive over the span at random times, sorted by arrival. The run times are spread evenly
// on a logarithmic scale, and most jobs are small. The job in the middle is a non-repeatable one.
func generateDemoJobs(seed uint64, n, entries int, duration timer.Millis) []demoJob {
	rng := rand.New(rand.NewPCG(seed, seed))
	jobs := make([]demoJob, n)
	for i := range jobs {
		j := &jobs[i]
		j.arrival, j.entry, j.resubmitEntry = timer.Millis(rng.Int64N(int64(duration))), rng.IntN(entries), -1
		u := rng.Float64()
		for range 1 + int(u*u*demoMaxTasks) {
			ratio := float64(demoMaxRunTime) / float64(demoMinRunTime)
			j.runTimes = append(j.runTimes, timer.Millis(float64(demoMinRunTime)*math.Pow(ratio, rng.Float64())))
		}
		if rng.Float64() < demoResubmitShare {
			j.resubmitEntry, j.resubmitDelay = (j.entry+1+rng.IntN(entries-1))%entries, timer.Millis(rng.Int64N(int64(timer.Second)))
		}
	}
	slices.SortStableFunc(jobs, func(a, b demoJob) int { return cmp.Compare(a.arrival, b.arrival) })
	for i := range jobs {
		jobs[i].key = fmt.Sprintf("demo-%d-%04d", seed, i)
	}
	onceJob := &jobs[n/2]
	onceJob.once, onceJob.resubmitEntry, onceJob.resubmitDelay = true, (onceJob.entry+1)%entries, 20
	return jobs
}

// idealResponses returns the response time of each job when one queue in order of arrival feeds all slots without any
// delay and with complete knowledge of the run times.
func idealResponses(jobs []demoJob, slots int, withdrawal outage) []timer.Millis {
	freeAt := make([]timer.Millis, slots)
	responses := make([]timer.Millis, len(jobs))
	for i, j := range jobs {
		for _, run := range j.runTimes {
			bestSlot, bestStart := 0, timer.Millis(math.MaxInt64)
			for s := range freeAt {
				at := max(freeAt[s], j.arrival)
				if s < withdrawal.slots && at >= withdrawal.from && at < withdrawal.to {
					at = withdrawal.to
				}
				// Slots outside the outage come last and win at equal times, so that the others stay free for it.
				if at <= bestStart {
					bestSlot, bestStart = s, at
				}
			}
			freeAt[bestSlot] = bestStart + run
			responses[i] = max(responses[i], freeAt[bestSlot]-j.arrival)
		}
	}
	return responses
}

// quantile returns the q-quantile of values, which it sorts. It is 0 without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
