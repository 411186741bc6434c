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

// TestStepOrderAfterTakeover guards against tasks that start before the steps that they depend on are done: an entry adopts a run
// of the second step and does not know of the end of the first one, whose task has to run again.
func TestStepOrderAfterTakeover(t *testing.T) {
	run := marshaler.RunKey{Job: "job", Index: marshaler.TaskIndex(1, 0), Attempt: 1}
	cases := []struct {
		name  string
		event func(f *durableFixture)
	}{
		{"grant of an earlier ownership", func(f *durableFixture) {
			f.core.onGrant(&marshaler.Grant{Job: "job", Step: 1, Sidecars: []string{"side-a", "side-b"}})
		}},
		{"end of the adopted run", func(f *durableFixture) {
			f.core.OnMessage(f.now, f.links["side-a"], &marshaler.Outcome{Run: run, Status: marshaler.StatusLost})
		}},
		{"refused request", func(f *durableFixture) { f.core.onReject(&marshaler.Reject{Job: "job", Step: 1}) }},
	}
	for _, c := range cases {
		f := newDurableFixture(twoSteps(2))
		f.core.OnMessage(f.now, f.links["side-a"], census([]marshaler.RunKey{run}))
		f.advance(runExpiry + 100)
		c.event(f)
		f.advance(500)
		for _, s := range f.starts {
			if step, _ := s.run.Task(); step == 1 {
				t.Errorf("%s: got a start of task %d before the first step is done", c.name, s.run.Index)
			}
		}
		if len(f.starts) != 1 {
			t.Errorf("%s: got starts %v, want one of the first step", c.name, f.starts)
			continue
		}
		f.core.OnMessage(f.now, f.links[f.starts[0].sidecar], &marshaler.Outcome{Run: f.starts[0].run, Status: marshaler.StatusDone, Number: 6})
		f.advance(200)
		if len(f.starts) < 2 {
			t.Errorf("%s: got no start of the second step after the first one is done", c.name)
		}
	}
}
