package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestListAfterRestart guards against a list of runs that entries take for complete while the backend server may still admit a
// start of the previous sidecar process, and against starts and outcomes that wait for that list.
func TestListAfterRestart(t *testing.T) {
	late := []RunProgress{{Run: marshaler.RunKey{Job: "late", Attempt: 1}}}
	cases := []struct {
		name  string
		after []RunProgress // runs that the first hold after maxStartAge lists
		lists int           // lists of runs that were sent by then
	}{
		{"no late start", nil, 1},
		{"a late start", late, 0},
	}
	for _, c := range cases {
		f := newFixture()
		f.k.startsSettle, f.k.settleHold, f.k.settled = 0, 0, false // as after a restart
		f.k.Tick(f.now)
		f.connect("second", 1)
		f.held = nil
		f.list(nil)
		f.start(firstRun, 3000)
		f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
		f.list(nil, EndedRun{1, firstRun, marshaler.StatusDone})
		if len(f.starts) != 1 || f.latestStatus() != marshaler.StatusDone || len(f.held) != 0 {
			t.Errorf("%s: got %d starts, outcome %s and %d lists right after the restart, want 1, done, 0", c.name, len(f.starts), f.latestStatus(), len(f.held))
		}
		f.advance(maxStartAge - 25)
		f.list(nil)
		if len(f.held) != 0 {
			t.Errorf("%s: got %d lists before %s, want 0", c.name, len(f.held), maxStartAge)
		}
		f.advance(50)
		f.list(c.after)
		if len(f.held) != c.lists {
			t.Errorf("%s: got %d lists after %s, want %d", c.name, len(f.held), maxStartAge, c.lists)
		}
		f.list(nil)
		if len(f.held) != 1 {
			t.Errorf("%s: got %d lists after the late start has ended, want 1", c.name, len(f.held))
		}
	}
}
