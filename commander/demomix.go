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
	demoShortest = 50 * timer.Millisecond
	demoLongest  = timer.Second
	demoMaxTasks = 20
	// demoAgain is the share of jobs that are submitted again, to another entry.
	demoAgain = 0.15
)

type (
	// demoJob is one job of the demo. Times are relative to the start of the load.
	demoJob struct {
		key   string
		at    timer.Millis
		tasks []timer.Millis
		once  bool
		entry int          // entry that gets the submission
		other int          // entry that gets it again; -1 for none
		after timer.Millis // delay of the second submission
	}

	// outage is the time in which some of the slots start nothing.
	outage struct {
		from, to timer.Millis
		slots    int
	}
)

// demoMix returns n jobs that arrive over the span at random times, sorted by arrival. The run times are spread evenly
// on a logarithmic scale, and most jobs are small. The job in the middle is a non-repeatable one.
func demoMix(seed uint64, n, entries int, span timer.Millis) []demoJob {
	r := rand.New(rand.NewPCG(seed, seed))
	jobs := make([]demoJob, n)
	for i := range jobs {
		j := &jobs[i]
		j.at, j.entry, j.other = timer.Millis(r.Int64N(int64(span))), r.IntN(entries), -1
		u := r.Float64()
		for range 1 + int(u*u*demoMaxTasks) {
			ratio := float64(demoLongest) / float64(demoShortest)
			j.tasks = append(j.tasks, timer.Millis(float64(demoShortest)*math.Pow(ratio, r.Float64())))
		}
		if r.Float64() < demoAgain {
			j.other, j.after = (j.entry+1+r.IntN(entries-1))%entries, timer.Millis(r.Int64N(int64(timer.Second)))
		}
	}
	slices.SortStableFunc(jobs, func(a, b demoJob) int { return cmp.Compare(a.at, b.at) })
	for i := range jobs {
		jobs[i].key = fmt.Sprintf("demo-%d-%04d", seed, i)
	}
	middle := &jobs[n/2]
	middle.once, middle.other, middle.after = true, (middle.entry+1)%entries, 20
	return jobs
}

// idealResponses returns the response time of each job when one queue in order of arrival feeds all slots without any
// delay and with complete knowledge of the run times.
func idealResponses(jobs []demoJob, slots int, out outage) []timer.Millis {
	free := make([]timer.Millis, slots)
	responses := make([]timer.Millis, len(jobs))
	for i, j := range jobs {
		for _, run := range j.tasks {
			best, start := 0, timer.Millis(math.MaxInt64)
			for s := range free {
				at := max(free[s], j.at)
				if s < out.slots && at >= out.from && at < out.to {
					at = out.to
				}
				// Slots outside the outage come last and win at equal times, so that the others stay free for it.
				if at <= start {
					best, start = s, at
				}
			}
			free[best] = start + run
			responses[i] = max(responses[i], free[best]-j.at)
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
