package injector

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

type (
	// Report holds the counts of a run.
	Report struct {
		Seed        uint64
		Jobs        int
		Complete    int
		Failed      int // failed with a known outcome
		Unknown     int // failed, outcome unknown
		NotRun      int // rejected finally, not run
		NoAnswer    int // no final answer before the end of the run
		Requests    int // calls by callers, including resubmissions
		Tasks       int // tasks of complete jobs
		Starts      int
		Faults      map[string]int
		Reasons     map[string]int // failed jobs by reason
		Withdrawals int            // accepted withdrawals

		// The counts below are violations and must be 0.
		StartedTwice             int
		StartedInWithdrawnDomain int // started in a withdrawn failure domain more than 3 s after the withdrawal was accepted
		WrongAnswers             int // not the job's own results, or incomplete ones
		ChangedAnswers           int // two different final answers for the same key
		FalseNotRun              int // reported as not run although a task was started
		InterruptedRequests      int // requests of callers interrupted by a planned stop

		Details []string // the first violations and other details, at most maxDetails
	}
)

const maxDetails = 20

// Violations returns the number of violations.
func (r *Report) Violations() int {
	return r.StartedTwice + r.StartedInWithdrawnDomain + r.WrongAnswers + r.ChangedAnswers + r.FalseNotRun +
		r.InterruptedRequests
}

// String formats the report as text, one count per line.
func (r *Report) String() string {
	var b strings.Builder
	rows := []struct {
		name  string
		count int
	}{
		{"jobs", r.Jobs}, {"complete", r.Complete}, {"failed", r.Failed}, {"unknown", r.Unknown}, {"not run", r.NotRun},
		{"no answer", r.NoAnswer}, {"requests", r.Requests}, {"tasks of complete jobs", r.Tasks}, {"starts", r.Starts},
		{"withdrawals accepted", r.Withdrawals}, {"started twice", r.StartedTwice},
		{"started in a withdrawn domain", r.StartedInWithdrawnDomain}, {"wrong answers", r.WrongAnswers},
		{"changed answers", r.ChangedAnswers}, {"untrue not run", r.FalseNotRun},
		{"cut off by a planned stop", r.InterruptedRequests},
	}
	fmt.Fprintf(&b, "%-30s %d\n", "seed", r.Seed)
	for _, x := range rows {
		fmt.Fprintf(&b, "%-30s %d\n", x.name, x.count)
	}
	for _, name := range faultNames {
		if n := r.Faults[name]; n > 0 {
			fmt.Fprintf(&b, "fault: %-23s %d\n", name, n)
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(&b, "reason: %s: %d\n", reason, r.Reasons[reason])
	}
	for _, d := range r.Details {
		fmt.Fprintln(&b, d)
	}
	return b.String()
}

func (r *Report) addViolation(count *int, format string, args ...any) {
	*count++
	if len(r.Details) < maxDetails {
		r.Details = append(r.Details, "violation: "+fmt.Sprintf(format, args...))
	}
}
