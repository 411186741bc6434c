package injector

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

type (
	// Report counts what a run saw.
	Report struct {
		Seed      uint64
		Jobs      int
		Complete  int
		Failed    int // failed with a known outcome
		Unknown   int // failed, outcome unknown
		NotRun    int // refused for good, not run
		NoAnswer  int // no final answer before the end of the run
		Requests  int // calls of callers, resubmissions included
		Tasks     int // tasks of complete jobs
		Starts    int
		Faults    map[string]int
		Reasons   map[string]int // of failed jobs
		Withdrawn int            // withdrawals accepted

		// The counts below are violations; each must be 0.
		StartedTwice    int
		StartedInDomain int // started in a withdrawn failure domain more than 3 s after the withdrawal was accepted
		WrongAnswers    int // not the job's own results, or a partial answer
		ChangedAnswers  int // two final answers to the same key
		UntrueNotRun    int // answered "not run" though a task was started
		CutOff          int // a caller's request cut off by a planned stop

		Details []string // at most a few of the violations
	}
)

const maxDetails = 20

// Violations returns the number of broken promises.
func (r *Report) Violations() int {
	return r.StartedTwice + r.StartedInDomain + r.WrongAnswers + r.ChangedAnswers + r.UntrueNotRun + r.CutOff
}

// String formats the report as text, one count a line.
func (r *Report) String() string {
	var b strings.Builder
	rows := []struct {
		name  string
		count int
	}{
		{"jobs", r.Jobs}, {"complete", r.Complete}, {"failed", r.Failed}, {"unknown", r.Unknown}, {"not run", r.NotRun},
		{"no answer", r.NoAnswer}, {"requests", r.Requests}, {"tasks of complete jobs", r.Tasks}, {"starts", r.Starts},
		{"withdrawals accepted", r.Withdrawn}, {"started twice", r.StartedTwice},
		{"started in a withdrawn domain", r.StartedInDomain}, {"wrong answers", r.WrongAnswers},
		{"changed answers", r.ChangedAnswers}, {"untrue not run", r.UntrueNotRun}, {"cut off by a planned stop", r.CutOff},
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

func (r *Report) violation(count *int, format string, args ...any) {
	*count++
	if len(r.Details) < maxDetails {
		r.Details = append(r.Details, "violation: "+fmt.Sprintf(format, args...))
	}
}
