package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestOddJobRecords guards against one stored record with impossible steps that ends the process of each owner of its
// partition, or hides the other jobs of the partition.
func TestOddJobRecords(t *testing.T) {
	step := func(change func(st *marshaler.Step)) []marshaler.Step {
		st := marshaler.Step{Tasks: 1, Resources: marshaler.Resources{CPU: 1000}, Estimate: 10}
		change(&st)
		return []marshaler.Step{st}
	}
	cases := []struct {
		name  string
		steps []marshaler.Step
	}{
		{"more tasks than memory", step(func(st *marshaler.Step) { st.Tasks = 1 << 62 })},
		{"too many tasks", step(func(st *marshaler.Step) { st.Tasks = maxTasks + 1 })},
		{"no tasks", step(func(st *marshaler.Step) { st.Tasks = 0 })},
		{"waits for a later step", step(func(st *marshaler.Step) { st.After = []uint64{9} })},
		{"negative resources", step(func(st *marshaler.Step) { st.Resources.CPU = -1 })},
		{"estimate too large", step(func(st *marshaler.Step) { st.Estimate = 1 << 62 })},
	}
	for _, c := range cases {
		f := newFixture()
		f.core.Partitions = 1
		skipped := 0
		f.core.Report = func(e Event) {
			if e.Kind == "skipRecord" && e.Job == "odd" {
				skipped++
			}
		}
		f.core.RenewLease(f.now, f.now+1000)
		good := &marshaler.JobRecord{ID: "good", Queue: "q", Service: "svc", Attempts: 1, Steps: step(func(*marshaler.Step) {})}
		odd := &marshaler.JobRecord{ID: "odd", Queue: "q", Service: "svc", Attempts: 1, Steps: c.steps}
		panicked := func() (v any) {
			defer func() { v = recover() }()
			f.core.AcquirePartition(f.now, marshaler.Partition{Epoch: 3}, []*marshaler.JobRecord{odd, good})
			return nil
		}()
		if panicked != nil || f.core.jobs["good"] == nil || f.core.jobs["odd"] != nil || skipped != 1 {
			t.Errorf("%s: got panic %v, good job restored %t, odd one restored %t, skipped %d, want none, true, false, 1",
				c.name, panicked, f.core.jobs["good"] != nil, f.core.jobs["odd"] != nil, skipped)
		}
	}
}
