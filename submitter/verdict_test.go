package submitter

import (
	"slices"
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

// TestFailureVerdict guards against failures that are acknowledged but not counted, so that a task is started after as many
// failures as its queue allows, and against failures that are void for no reason.
func TestFailureVerdict(t *testing.T) {
	issued := issuedRun{9, "side-a"}
	failed := func(attempts ...uint64) marshaler.TaskRecord {
		return marshaler.TaskRecord{Attempt: slices.Max(append(attempts, 0)), Failures: uint64(len(attempts)), FailedAttempts: attempts}
	}
	done := failed(1, 2)
	done.Done, done.Attempt = true, 3
	formerVersion := marshaler.TaskRecord{Attempt: 5, Failures: 2}
	cases := []struct {
		name    string
		history taskHistory
		attempt uint64
		stale   bool
		want    endVerdict
	}{
		{"latest run", taskHistory{issued: issued, record: failed(1, 2)}, 9, false, endCounted},
		{"repeated", taskHistory{issued: issued, record: failed(1, 2)}, 2, false, endKnown},
		{"repeated to a new owner", taskHistory{record: failed(1, 2)}, 2, true, endKnown},
		{"earlier run below the limit", taskHistory{issued: issued, record: failed(2)}, 1, true, endCounted},
		{"earlier run that reaches the limit before the latest start", taskHistory{issued: issued, record: failed(2, 3)}, 1, true, endVoid},
		{"earlier run that reaches the limit with the latest run", taskHistory{issued: issued, record: failed(2, 9)}, 1, true, endCounted},
		{"earlier run beyond the limit with the latest run", taskHistory{issued: issued, record: failed(2, 3, 9), ended: true}, 1, true, endVoid},
		{"run of a previous owner with a higher attempt, below the limit", taskHistory{issued: issued, record: failed(2)}, 12, true, endCounted},
		{"run of a previous owner", taskHistory{}, 1, false, endCounted},
		{"runs of a previous owner out of order", taskHistory{record: failed(4, 3)}, 2, false, endCounted},
		{"run of a previous owner that may not have received the end", taskHistory{record: failed(1)}, 2, true, endVoid},
		{"task done after failures below the limit by one", taskHistory{record: done, ended: true}, 4, true, endVoid},
		{"task done after fewer failures", taskHistory{record: marshaler.TaskRecord{Attempt: 3, Done: true}, ended: true}, 1, true, endCounted},
		{"job ended, below the limit", taskHistory{record: failed(2), ended: true}, 1, true, endCounted},
		{"job ended, at the limit", taskHistory{record: failed(2, 3), ended: true}, 1, true, endVoid},
		{"recorded by a former version", taskHistory{record: formerVersion}, 4, false, endKnown},
		{"later than what a former version recorded", taskHistory{record: formerVersion}, 6, false, endCounted},
	}
	for _, c := range cases {
		c.history.failureLimit = 3
		o := &marshaler.Outcome{Run: marshaler.RunKey{Job: "job", Attempt: c.attempt}, Status: marshaler.StatusFailed, Number: 1, Stale: c.stale}
		if got := c.history.verdict("side-a", o); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// TestFailuresOutOfOrder guards against a task that is started more often than its queue allows: an outage of the store keeps
// its failures from being recorded, and the next owner gets them from the sidecars in any order.
func TestFailuresOutOfOrder(t *testing.T) {
	for _, order := range [][]uint64{{1, 2, 3}, {3, 2, 1}, {2, 3, 1}} {
		f := newDurableFixture(&marshaler.JobRecord{ID: "job", Attempts: 3, Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 100}}})
		for i, attempt := range order {
			run := marshaler.RunKey{Job: "job", Attempt: attempt}
			f.core.OnMessage(f.now, f.links["side-a"], &marshaler.Census{
				Partition: marshaler.Partition{Epoch: 3}, Ends: []marshaler.Outcome{{Run: run, Status: marshaler.StatusFailed, Number: uint64(5 + i)}},
			})
		}
		f.advance(4000)
		if len(f.starts) > 0 || f.core.jobs["job"] != nil {
			t.Errorf("failures in the order %v: got starts %v, job open %v, want none and an ended job", order, f.starts, f.core.jobs["job"] != nil)
		}
		for i, ack := range f.acks {
			if ack.Void {
				t.Errorf("failures in the order %v: end %d is void, want all counted", order, i)
			}
		}
	}
}
