package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// twoSteps returns a durable job with a step of one task and one of several tasks behind it.
func twoSteps(tasks uint64) *marshaler.JobRecord {
	room := marshaler.Resources{CPU: 3000}
	return &marshaler.JobRecord{ID: "job", Attempts: 3, Steps: []marshaler.Step{
		{Tasks: 1, Resources: room, Estimate: 100}, {Tasks: tasks, Resources: room, Estimate: 100, After: []uint64{0}},
	}}
}

func census(runs []marshaler.RunKey, ends ...marshaler.Outcome) *marshaler.Census {
	return &marshaler.Census{Partition: marshaler.Partition{Epoch: 3}, Runs: runs, Ends: ends}
}

// TestAdoptedStep guards against accepted jobs that stand still for good: an entry takes a job over, gets a run of the second
// step before the last end of the first one, and does not request the tasks of the second step that were queued.
func TestAdoptedStep(t *testing.T) {
	run := marshaler.RunKey{Job: "job", Index: marshaler.TaskIndex(1, 0), Attempt: 1}
	end := marshaler.Outcome{Run: marshaler.RunKey{Job: "job", Attempt: 1}, Status: marshaler.StatusDone, Number: 5}
	cases := []struct {
		name  string
		order func(f *durableFixture)
	}{
		{"run before the end", func(f *durableFixture) {
			f.core.OnMessage(f.now, f.links["side-a"], census([]marshaler.RunKey{run}))
			f.core.OnMessage(f.now, f.links["side-b"], census(nil, end))
		}},
		{"end before the run", func(f *durableFixture) {
			f.core.OnMessage(f.now, f.links["side-b"], census(nil, end))
			f.core.OnMessage(f.now, f.links["side-a"], census([]marshaler.RunKey{run}))
		}},
	}
	for _, c := range cases {
		f := newDurableFixture(twoSteps(3))
		f.core.applyHandover(f.core.durable.owned[0], &marshaler.Handover{Tasks: []marshaler.RunKey{{Job: "job"}, {Job: "job", Index: run.Index}}})
		c.order(f)
		f.advance(200)
		started := map[uint64]bool{}
		for _, s := range f.starts {
			started[s.run.Index] = true
		}
		for _, index := range []uint64{marshaler.TaskIndex(1, 1), marshaler.TaskIndex(1, 2)} {
			if !started[index] {
				t.Errorf("%s: got starts %v, want one of task %d", c.name, f.starts, index)
			}
		}
	}
}
