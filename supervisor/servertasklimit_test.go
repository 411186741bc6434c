package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestServerTaskLimit guards against more tasks of a step on one backend server than the step allows, started by entries that
// do not know of each other's starts.
func TestServerTaskLimit(t *testing.T) {
	run := func(job string, step, index int) marshaler.RunKey {
		return marshaler.RunKey{Job: job, Index: marshaler.TaskIndex(step, index), Attempt: 1}
	}
	cases := []struct {
		name    string
		limit   uint64
		started []marshaler.RunKey
		end     func(f *fixture, r marshaler.RunKey) // of the last of them
		want    bool
	}{
		{"no limit", 0, []marshaler.RunKey{run("job", 1, 1), run("job", 1, 2)}, nil, true},
		{"below the limit", 2, []marshaler.RunKey{run("job", 1, 1)}, nil, true},
		{"at the limit", 2, []marshaler.RunKey{run("job", 1, 1), run("job", 1, 2)}, nil, false},
		{"another step", 1, []marshaler.RunKey{run("job", 0, 1)}, nil, true},
		{"another job", 1, []marshaler.RunKey{run("other", 1, 1)}, nil, true},
		{"start without an answer", 1, []marshaler.RunKey{run("job", 1, 1)}, func(f *fixture, r marshaler.RunKey) {
			f.k.OnStarted(f.now, StartResult{Run: r, Status: StartUnknown})
		}, false},
		{"ended", 1, []marshaler.RunKey{run("job", 1, 1)}, func(f *fixture, r marshaler.RunKey) {
			f.k.OnStarted(f.now, StartResult{Run: r, Status: StartConfirmed})
			f.list(nil, EndedRun{1, r, marshaler.StatusFailed})
		}, true},
	}
	for _, c := range cases {
		f := newFixture()
		for _, r := range c.started {
			f.start(r, 1000)
		}
		if c.end != nil {
			c.end(f, c.started[len(c.started)-1])
		}
		f.connect("second", 1)
		f.k.OnMessage(f.now, f.link, &marshaler.Start{
			Run: run("job", 1, 0), Resources: marshaler.Resources{CPU: 1000}, Estimate: 100, NotAfter: int64(f.now) + 400, ServerTaskLimit: c.limit,
		})
		if got := len(f.starts) > len(c.started); got != c.want {
			t.Errorf("%s: got started %v, want %v", c.name, got, c.want)
		}
	}
}
