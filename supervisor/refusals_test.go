package supervisor

import (
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestRefusalWhileTaskRuns guards against two runs of one task at once: an entry that gets a refusal starts the task on
// another sidecar immediately, so it must not get one, nor a list of its runs that omits the start, while the other run of the
// task may be active.
func TestRefusalWhileTaskRuns(t *testing.T) {
	cases := []struct {
		name   string
		second marshaler.RunKey
		refuse func(f *fixture) // a further reason to refuse the start
		entry  string
	}{
		{"same attempt of another entry", firstRun, func(*fixture) {}, "second"},
		{"later attempt of another entry", marshaler.RunKey{Job: "job", Index: 0, Attempt: 3}, func(*fixture) {}, "second"},
		{"sidecar is stopping", firstRun, func(f *fixture) { f.k.Drain(f.now) }, "second"},
		{"run is being stopped", firstRun, func(f *fixture) { f.k.OnMessage(f.now, f.link, &marshaler.Stop{Run: firstRun}) }, "second"},
		{"later attempt of the same entry", marshaler.RunKey{Job: "job", Index: 0, Attempt: 3}, func(*fixture) {}, "entry"},
	}
	for _, c := range cases {
		f := newFixture()
		f.start(firstRun, 3000)
		f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
		f.list([]RunProgress{{Run: firstRun}})
		c.refuse(f)
		f.connect(c.entry, 1)
		f.start(c.second, 3000)
		if len(f.starts) != 1 || len(f.outcomes) != 0 {
			t.Errorf("%s: got starts %v and outcomes %v while the task runs, want one start and no outcome", c.name, f.starts, f.outcomes)
		}
		f.k.OnDisconnect(f.link)
		f.connect(c.entry, 1)
		want := []marshaler.RunKey{c.second}
		if c.entry == "entry" {
			want = []marshaler.RunKey{firstRun, c.second}
		}
		if got := f.held[len(f.held)-1]; !slices.Equal(got, want) {
			t.Errorf("%s: got the runs %v on the next session, want %v", c.name, got, want)
		}
		f.outcomes = nil
		f.list(nil, EndedRun{1, firstRun, marshaler.StatusDone})
		var got []marshaler.Outcome
		for _, o := range f.outcomes {
			if o.Status == marshaler.StatusRefused {
				got = append(got, o)
			}
		}
		if len(got) != 1 || got[0].Run != c.second {
			t.Errorf("%s: got refusals %v after the end of the other run, want one of %v", c.name, got, c.second)
		}
	}
}

// TestRefusalAfterTimeout guards against an entry that is sent its list of runs without a deferred refusal, because it was
// declared lost in between.
func TestRefusalAfterTimeout(t *testing.T) {
	f := newFixture()
	f.start(firstRun, 3000)
	f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
	f.list([]RunProgress{{Run: firstRun}})
	first := f.link
	f.connect("second", 1)
	f.start(firstRun, 3000)
	for range 40 {
		f.k.OnMessage(f.now, first, &marshaler.Heartbeat{})
		f.advance(25)
	}
	if f.closed != 1 {
		t.Errorf("got %d closed sessions after 1 s of silence, want 1: an entry that waits for a refusal is active", f.closed)
	}
	f.connect("second", 1)
	if got, want := f.held[len(f.held)-1], []marshaler.RunKey{firstRun}; !slices.Equal(got, want) {
		t.Errorf("got the runs %v on the next session, want %v", got, want)
	}
}
