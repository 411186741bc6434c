package projector

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

func job(steps ...uint64) *marshaler.JobRecord {
	j := &marshaler.JobRecord{ID: "job", Attempts: 2}
	for _, n := range steps {
		j.Steps = append(j.Steps, marshaler.Step{Tasks: n})
	}
	return j
}

func end(step, index int, attempt uint64, s marshaler.Status) *marshaler.EndRecord {
	return &marshaler.EndRecord{Run: marshaler.RunKey{Job: "job", Index: marshaler.TaskIndex(step, index), Attempt: attempt}, Status: s}
}

// TestProjection checks the state computed from a job's records. A wrong state would make a new owner regard an unfinished
// job as finished, or run a finished job again.
func TestProjection(t *testing.T) {
	done, failed := marshaler.StatusDone, marshaler.StatusFailed
	cases := []struct {
		name     string
		records  []marshaler.Message
		want     State
		failures uint64 // of the first recorded task
	}{
		{"accepted", []marshaler.Message{job(1)}, Open, 0},
		{"done", []marshaler.Message{job(1), end(0, 0, 1, done)}, Succeeded, 0},
		{"one of two tasks", []marshaler.Message{job(2), end(0, 1, 1, done)}, Open, 0},
		{"one of two steps", []marshaler.Message{job(1, 1), end(0, 0, 1, done)}, Open, 0},
		{"both steps", []marshaler.Message{job(1, 1), end(1, 0, 1, done), end(0, 0, 1, done)}, Succeeded, 0},
		{"failed once", []marshaler.Message{job(1), end(0, 0, 1, failed)}, Open, 1},
		{"duplicate record of a failure", []marshaler.Message{job(1), end(0, 0, 1, failed), end(0, 0, 1, failed)}, Open, 1},
		{"failed twice", []marshaler.Message{job(1), end(0, 0, 1, failed), end(0, 0, 2, failed)}, Failed, 2},
		{"failures out of order", []marshaler.Message{job(1), end(0, 0, 2, failed), end(0, 0, 1, failed)}, Failed, 2},
		{"repeated failure out of order", []marshaler.Message{job(1), end(0, 0, 2, failed), end(0, 0, 2, failed)}, Open, 1},
		{"done after the failure of a previous owner's later attempt", []marshaler.Message{job(1), end(0, 0, 5, failed), end(0, 0, 2, done)}, Succeeded, 1},
		{"failure of an earlier attempt after the success", []marshaler.Message{job(1), end(0, 0, 2, done), end(0, 0, 1, failed)}, Succeeded, 1},
		{"failed, then done", []marshaler.Message{job(1), end(0, 0, 1, failed), end(0, 0, 2, done)}, Succeeded, 1},
		{"cancelled", []marshaler.Message{job(1), &marshaler.CancelRecord{Job: "job"}}, Cancelled, 0},
		{"cancelled after the end of the job", []marshaler.Message{job(1), end(0, 0, 1, done), &marshaler.CancelRecord{Job: "job"}}, Succeeded, 0},
		{"end after the cancellation", []marshaler.Message{job(1), &marshaler.CancelRecord{Job: "job"}, end(0, 0, 1, done)}, Cancelled, 0},
		{"records of an unknown job", []marshaler.Message{end(0, 0, 1, done), &marshaler.CancelRecord{Job: "job"}, job(1)}, Open, 0},
	}
	for _, c := range cases {
		var a Projection
		for _, m := range c.records {
			if err := a.Apply(marshaler.Append(nil, m)); err != nil {
				t.Fatalf("%s: %v", c.name, err)
			}
		}
		jobs := a.Jobs()
		if len(jobs) != 1 || StateOf(jobs[0]) != c.want {
			t.Errorf("%s: got %d jobs, state %d, want one in state %d", c.name, len(jobs), StateOf(jobs[0]), c.want)
			continue
		}
		if len(jobs[0].Tasks) > 0 && jobs[0].Tasks[0].Failures != c.failures {
			t.Errorf("%s: got %d failures, want %d", c.name, jobs[0].Tasks[0].Failures, c.failures)
		}
	}
}

// TestPreviousEpoch checks that the previous epoch is that of the immediate predecessor. Sidecars use it to detect that
// they missed an owner in between.
func TestPreviousEpoch(t *testing.T) {
	cases := []struct {
		epochs []uint64
		want   uint64
	}{
		{nil, 0}, {[]uint64{3}, 0}, {[]uint64{3, 5}, 3}, {[]uint64{3, 5, 9}, 5}, {[]uint64{3, 5, 5}, 3},
	}
	for _, c := range cases {
		var a Projection
		for _, epoch := range c.epochs {
			if err := a.Apply(marshaler.Append(nil, &marshaler.OwnerRecord{Epoch: epoch})); err != nil {
				t.Fatal(err)
			}
		}
		if got := a.PreviousEpoch(); got != c.want {
			t.Errorf("owners %v: got %d, want %d", c.epochs, got, c.want)
		}
	}
}

// TestUnexpectedRecords checks that records of other writers are rejected and leave the archive unchanged.
func TestUnexpectedRecords(t *testing.T) {
	for _, body := range [][]byte{nil, {0xff}, []byte("text"), marshaler.Append(nil, &marshaler.Heartbeat{})} {
		var a Projection
		if err := a.Apply(body); err == nil || len(a.Jobs()) != 0 {
			t.Errorf("%q: got error %v, %d jobs, want an error and none", body, err, len(a.Jobs()))
		}
	}
}

// TestCrashes guards against a new owner that starts a task again although backend servers have crashed under it as often
// as allowed.
func TestCrashes(t *testing.T) {
	job := &marshaler.JobRecord{ID: "job", Attempts: 3, Steps: []marshaler.Step{{Tasks: 2}}}
	run, next := marshaler.RunKey{Job: "job", Index: 1, Attempt: 1}, marshaler.RunKey{Job: "job", Index: 1, Attempt: 2}
	cases := []struct {
		name    string
		records []marshaler.Message
		want    State
		crashes int
	}{
		{"two crashes", []marshaler.Message{&marshaler.CrashRecord{Run: run}, &marshaler.CrashRecord{Run: next}}, Open, 2},
		{"one crash recorded twice", []marshaler.Message{&marshaler.CrashRecord{Run: run}, &marshaler.CrashRecord{Run: run}}, Open, 1},
		{"given up", []marshaler.Message{&marshaler.CrashRecord{Run: run}, &marshaler.CrashRecord{Run: next, GivenUp: true}}, Failed, 2},
	}
	for _, c := range cases {
		var a Projection
		for _, m := range append([]marshaler.Message{job}, c.records...) {
			if err := a.Apply(marshaler.Append(nil, m)); err != nil {
				t.Fatal(err)
			}
		}
		// The full record that a later owner writes again holds the crashes, too.
		var later Projection
		if err := later.Apply(marshaler.Append(nil, a.Jobs()[0])); err != nil {
			t.Fatal(err)
		}
		for _, j := range []*marshaler.JobRecord{a.Jobs()[0], later.Jobs()[0]} {
			if got := StateOf(j); got != c.want {
				t.Errorf("%s: got state %d, want %d", c.name, got, c.want)
			}
			if got := len(j.Tasks[0].Crashes); got != c.crashes {
				t.Errorf("%s: got %d crashes, want %d", c.name, got, c.crashes)
			}
		}
	}
}
