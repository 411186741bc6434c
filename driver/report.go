package driver

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Report is what a run measured.
type Report struct {
	Plan    Plan
	Owner   string // name of the owner entry
	Samples Samples
	Direct  []time.Duration  // calls straight to a backend server
	Usage   map[string]Usage // by process name: processor time of the run, memory at its end
}

// String formats the report as text, one measure a line.
func (r *Report) String() string {
	var b strings.Builder
	p, s := &r.Plan, &r.Samples
	jobs, tasks := len(s.Responses), len(s.Responses)*p.Tasks
	kind := fmt.Sprintf("%d sidecars with backend servers", p.Backends)
	if p.StandIns > 0 {
		kind = fmt.Sprintf("%d stand-in sidecars without backend servers", p.StandIns)
	}
	fmt.Fprintf(&b, "seed %d, %d entries, %s, %d slots each, %d connections\n", p.Seed, p.Entries, kind, p.Slots, p.Connections)
	fmt.Fprintf(&b, "jobs: %d complete, %d failed, %d dropped, of %d tasks of %d ms, in %.2f s\n",
		jobs, s.Failed, s.Dropped, p.Tasks, p.RunTime, s.Took.Seconds())
	if s.Reason != "" {
		fmt.Fprintf(&b, "one failure: %s\n", s.Reason)
	}
	fmt.Fprintf(&b, "rate: %.0f jobs/s, %.0f tasks/s\n", float64(jobs)/s.Took.Seconds(), float64(tasks)/s.Took.Seconds())
	run := p.RunTime.Duration()
	fmt.Fprintf(&b, "response beyond the run time: %s\n", quantiles(s.Responses, run))
	if len(r.Direct) > 0 {
		fmt.Fprintf(&b, "backend server alone, beyond the run time: %s\n", quantiles(r.Direct, run))
	}
	var owner, other, sidecars time.Duration
	for name, u := range r.Usage {
		switch {
		case name == r.Owner:
			owner = u.Processor
		case strings.HasPrefix(name, "entry"):
			other += u.Processor
		default:
			sidecars += u.Processor
		}
	}
	fmt.Fprintf(&b, "processor time per task: owner entry %s, other entries %s, sidecars %s\n",
		perTask(owner, tasks), perTask(other, tasks), perTask(sidecars, tasks))
	for _, name := range sortedNames(r.Usage) {
		fmt.Fprintf(&b, "memory of %s: %.1f MB\n", name, float64(r.Usage[name].Resident)/1e6)
	}
	return b.String()
}

func perTask(d time.Duration, tasks int) string {
	return fmt.Sprintf("%.1f us", float64(d.Microseconds())/float64(max(1, tasks)))
}

// quantiles formats the quantiles of durations less a fixed part.
func quantiles(list []time.Duration, less time.Duration) string {
	if len(list) == 0 {
		return "no samples"
	}
	sorted := slices.Sorted(slices.Values(list))
	at := func(q float64) float64 {
		return float64((sorted[int(q*float64(len(sorted)-1))] - less).Microseconds()) / 1000
	}
	return fmt.Sprintf("p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, highest %.2f ms", at(0.5), at(0.99), at(0.999), at(1))
}
