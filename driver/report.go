package driver

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Report holds the measurements of a run.
type Report struct {
	Plan            Plan
	Owner           string // name of the entry that owns the job keys
	Result          LoadResult
	DirectLatencies []time.Duration  // latencies of requests sent directly to a backend server
	Usage           map[string]Usage // by process name: CPU time of the run and memory at its end
}

// String formats the report as text with one measurement per line.
func (r *Report) String() string {
	var b strings.Builder
	p, s := &r.Plan, &r.Result
	jobs, tasks := len(s.Latencies), len(s.Latencies)*p.TasksPerJob
	sidecarKind := fmt.Sprintf("%d sidecars with backend servers", p.Backends)
	if p.SimulatedSidecars > 0 {
		sidecarKind = fmt.Sprintf("%d simulated sidecars without backend servers", p.SimulatedSidecars)
	}
	fmt.Fprintf(&b, "seed %d, %d entries, %s, %d slots each, %d connections\n", p.Seed, p.Entries, sidecarKind, p.Slots, p.Connections)
	fmt.Fprintf(&b, "jobs: %d complete, %d failed, %d dropped, of %d tasks of %d ms, in %.2f s\n",
		jobs, s.Failed, s.Dropped, p.TasksPerJob, p.RunTime, s.Elapsed.Seconds())
	if s.FailureReason != "" {
		fmt.Fprintf(&b, "example failure: %s\n", s.FailureReason)
	}
	fmt.Fprintf(&b, "rate: %.0f jobs/s, %.0f tasks/s\n", float64(jobs)/s.Elapsed.Seconds(), float64(tasks)/s.Elapsed.Seconds())
	runTime := p.RunTime.Duration()
	fmt.Fprintf(&b, "latency minus run time: %s\n", formatQuantiles(s.Latencies, runTime))
	if len(r.DirectLatencies) > 0 {
		fmt.Fprintf(&b, "direct backend latency minus run time: %s\n", formatQuantiles(r.DirectLatencies, runTime))
	}
	var owner, other, sidecars time.Duration
	for name, u := range r.Usage {
		switch {
		case name == r.Owner:
			owner = u.CPUTime
		case strings.HasPrefix(name, "entry"):
			other += u.CPUTime
		default:
			sidecars += u.CPUTime
		}
	}
	fmt.Fprintf(&b, "CPU time per task: owner entry %s, other entries %s, sidecars %s\n",
		formatPerTask(owner, tasks), formatPerTask(other, tasks), formatPerTask(sidecars, tasks))
	for _, name := range sortedNames(r.Usage) {
		fmt.Fprintf(&b, "memory of %s: %.1f MB\n", name, float64(r.Usage[name].ResidentBytes)/1e6)
	}
	return b.String()
}

func formatPerTask(d time.Duration, tasks int) string {
	return fmt.Sprintf("%.1f us", float64(d.Microseconds())/float64(max(1, tasks)))
}

// formatQuantiles formats the quantiles of the durations after subtracting baseline from each.
func formatQuantiles(durations []time.Duration, baseline time.Duration) string {
	if len(durations) == 0 {
		return "no samples"
	}
	sorted := slices.Sorted(slices.Values(durations))
	quantileMs := func(q float64) float64 {
		return float64((sorted[int(q*float64(len(sorted)-1))] - baseline).Microseconds()) / 1000
	}
	return fmt.Sprintf("p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, max %.2f ms", quantileMs(0.5), quantileMs(0.99), quantileMs(0.999), quantileMs(1))
}
