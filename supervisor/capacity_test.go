package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestChangedCapacity guards against starts that bring a backend server over the capacity that it announced last, which
// may be smaller than its runs use, and against capacity that is not used again once it has grown. Runs that are being
// stopped count, also those that this process does not know.
func TestChangedCapacity(t *testing.T) {
	stopped := marshaler.RunKey{Job: "stopped", Attempt: 1}
	announce := func(f *fixture, sequence uint64, cpu int64) {
		f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 10, Sequence: sequence, Service: "svc", Capacity: marshaler.Resources{CPU: cpu, MemoryMB: 100}})
	}
	cases := []struct {
		name    string
		prepare func(f *fixture)
		free    int64
		started bool // a run of 3000
	}{
		{"shrunk below its runs", func(f *fixture) { announce(f, 2, 4000) }, -2000, false},
		{"shrunk, too little left", func(f *fixture) { announce(f, 2, 8000) }, 2000, false},
		{"shrunk, enough left", func(f *fixture) { announce(f, 2, 9000) }, 3000, true},
		{"grown again", func(f *fixture) { announce(f, 2, 4000); announce(f, 3, 9000) }, 3000, true},
		{"late announcement of a larger capacity", func(f *fixture) { announce(f, 3, 4000); announce(f, 2, 9000) }, -2000, false},
		{"run being stopped", func(f *fixture) {
			announce(f, 2, 7000)
			f.k.OnMessage(f.now, f.link, &marshaler.Stop{Run: stopped})
		}, 1000, false},
		{"stopped run has ended", func(f *fixture) {
			announce(f, 2, 7000)
			f.k.OnMessage(f.now, f.link, &marshaler.Stop{Run: stopped})
			f.list(nil, EndedRun{1, stopped, marshaler.StatusStopped})
		}, 7000, true},
		{"unknown run being stopped", func(f *fixture) {
			f.list([]RunProgress{{Run: stopped}, {Run: marshaler.RunKey{Job: "unknown", Attempt: 1}}})
		}, 4000, false},
		{"unknown run has ended", func(f *fixture) {
			f.list([]RunProgress{{Run: stopped}, {Run: marshaler.RunKey{Job: "unknown", Attempt: 1}}})
			f.list([]RunProgress{{Run: stopped}})
		}, 4000, true},
	}
	for _, c := range cases {
		f := newFixture()
		f.start(stopped, 6000)
		f.k.OnStarted(f.now, StartResult{Run: stopped, Status: StartConfirmed})
		c.prepare(f)
		if got := f.k.free.CPU; got != c.free {
			t.Errorf("%s: got %d free, want %d", c.name, got, c.free)
		}
		f.starts = nil
		f.start(firstRun, 3000)
		if started := len(f.starts) > 0; started != c.started {
			t.Errorf("%s: got started %t, want %t", c.name, started, c.started)
		}
	}
}
