package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestSuccessVerdict guards against successes that count although the task was, or may have been, started again after them,
// and against successes that are void for no reason, which costs the backend server its runs.
func TestSuccessVerdict(t *testing.T) {
	issued := func(attempt uint64) issuedRun { return issuedRun{attempt, "side-a"} }
	failed := marshaler.TaskRecord{Attempt: 3, Failures: 1}
	done := marshaler.TaskRecord{Attempt: 3, Done: true}
	cases := []struct {
		name    string
		history taskHistory
		attempt uint64
		stale   bool
		want    endVerdict
	}{
		{"latest run", taskHistory{issued: issued(2)}, 2, false, endCounted},
		{"latest run, found after its owner was lost", taskHistory{issued: issued(2)}, 2, true, endCounted},
		{"latest attempt on another sidecar", taskHistory{issued: issuedRun{2, "side-b"}}, 2, false, endVoid},
		{"run before the latest one", taskHistory{issued: issued(2)}, 1, false, endVoid},
		{"run of a previous owner with a higher attempt than the latest run", taskHistory{issued: issued(2)}, 9, false, endVoid},
		{"repeated", taskHistory{issued: issued(3), record: done}, 3, false, endKnown},
		{"repeated to a new owner", taskHistory{record: done}, 3, true, endKnown},
		{"second success", taskHistory{record: done}, 4, false, endVoid},
		{"run of a previous owner", taskHistory{}, 1, false, endCounted},
		{"run of a previous owner that may not have received the end", taskHistory{}, 1, true, endVoid},
		{"run of a previous owner after a recorded failure", taskHistory{record: failed}, 4, false, endCounted},
		{"run of a previous owner before a recorded failure", taskHistory{record: failed}, 2, false, endVoid},
	}
	for _, c := range cases {
		o := &marshaler.Outcome{Run: marshaler.RunKey{Job: "job", Attempt: c.attempt}, Status: marshaler.StatusDone, Number: 1, Stale: c.stale}
		if got := c.history.verdict("side-a", o); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}
