package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestEndOfGivenUpTask guards against a durable job that stays open for ever: the end of a run is listed after its task was
// given up, because the backend server was taken for crashed, and before that was stored.
func TestEndOfGivenUpTask(t *testing.T) {
	cases := []struct {
		name   string
		status marshaler.Status // of the end that is listed
		starts int              // of the second step
	}{
		{"done", marshaler.StatusDone, 1},
		{"failed", marshaler.StatusFailed, 0},
	}
	for _, c := range cases {
		f := newFixture()
		var stored []func()
		f.core.Record = func(_, _ uint64, _ []byte, done func(now timer.Millis, offset uint64)) {
			stored = append(stored, func() { done(f.now, 1) })
		}
		f.core.Partitions = 1
		f.core.RenewLease(f.now, f.now+100_000)
		task := marshaler.Step{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 100}
		next := task
		next.After = []uint64{0}
		f.core.AcquirePartition(f.now, marshaler.Partition{Epoch: 3}, []*marshaler.JobRecord{{
			ID: "job", Queue: testQueue.Name, Service: "svc", Attempts: 3, Steps: []marshaler.Step{task, next},
			Tasks: []marshaler.TaskRecord{{Crashes: make([]marshaler.TaskCrash, crashLimit-1)}},
		}})
		for range 90 {
			f.now += 25
			f.load("side-a")
			f.load("side-b")
			f.core.Tick(f.now)
		}
		if len(f.starts) != 1 {
			t.Fatalf("%s: got %d starts, want 1", c.name, len(f.starts))
		}
		first := f.starts[0]
		f.core.OnMessage(f.now, f.links[first.sidecar], &marshaler.Outcome{Run: first.run, Status: marshaler.StatusCrashed})
		f.core.OnMessage(f.now, f.links[first.sidecar], &marshaler.Census{
			Partition: marshaler.Partition{Epoch: 3}, Ends: []marshaler.Outcome{{Run: first.run, Status: c.status, Number: 5, Stale: true}},
		})
		for _, done := range stored {
			done()
		}
		f.load("side-a")
		f.load("side-b")
		f.core.Flush(f.now)
		if got := len(f.starts) - 1; got != c.starts {
			t.Errorf("%s: got %d starts of the next step, want %d", c.name, got, c.starts)
		}
		if open := f.core.jobs["job"] != nil; open != (c.starts > 0) {
			t.Errorf("%s: got open %v, want %v", c.name, open, c.starts > 0)
		}
	}
}
