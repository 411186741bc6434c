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
	// demoResubmitShare is the share of jobs that are submitted a second time, to another entry.
	demoResubmitShare = 0.15
)

type (
	// demoJob is one job of the demo. Times are relative to the start of the load.
	demoJob struct {
		key           string
		arrival       timer.Millis
		runTimes      []timer.Millis
		once          bool
		entry         int          // index of the entry to which the job is submitted
		resubmitEntry int          // index of the entry to which it is submitted again; -1 for none
		resubmitDelay timer.Millis // delay of the second submission
	}

	// outage is a period in which the first slots of the cluster do not start tasks.
	outage struct {
		from, to timer.Millis
		slots    int
	}
)

// generateDemoJobs returns n jobs sorted by arrival, which is uniformly distributed over the duration. The run times of
// tasks follow a log-uniform distribution, and most jobs have few tasks. The middle job is submitted as a once job, whose
// tasks must not be started again.
func generateDemoJobs(seed uint64, n, entries int, duration timer.Millis) []demoJob {
	rng := rand.New(rand.NewPCG(seed, seed))
	jobs := make([]demoJob, n)
	for i := range jobs {
		j := &jobs[i]
		j.arrival, j.entry, j.resubmitEntry = timer.Millis(rng.Int64N(int64(duration))), rng.IntN(entries), -1
		skew := rng.Float64()
		for range 1 + int(skew*skew*demoMaxTasks) {
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

// idealResponses returns the response time of each job under an ideal scheduler: a single FIFO queue feeds all slots
// without any delay and with complete knowledge of the run times.
func idealResponses(jobs []demoJob, slots int, withdrawal outage) []timer.Millis {
	freeAt := make([]timer.Millis, slots)
	responses := make([]timer.Millis, len(jobs))
	for i, j := range jobs {
		for _, runTime := range j.runTimes {
			bestSlot, bestStart := 0, timer.Millis(math.MaxInt64)
			for s := range freeAt {
				at := max(freeAt[s], j.arrival)
				if s < withdrawal.slots && at >= withdrawal.from && at < withdrawal.to {
					at = withdrawal.to
				}
				// Of slots that are free at the same time, the last one is chosen, so that slots that are subject to
				// the outage, which come first, are used last.
				if at <= bestStart {
					bestSlot, bestStart = s, at
				}
			}
			freeAt[bestSlot] = bestStart + runTime
			responses[i] = max(responses[i], freeAt[bestSlot]-j.arrival)
		}
	}
	return responses
}

// quantile returns the q-quantile of values, or 0 if there are none. It sorts values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
