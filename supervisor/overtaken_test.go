package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestOvertakenList guards against runs that look unknown, so that starts are refused and the lease is withheld, because a list
// from before their end is handled after the list with the end.
func TestOvertakenList(t *testing.T) {
	f := newFixture()
	f.start(firstRun, 3000)
	f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
	older, _ := f.k.BeginHold(f.now)
	newer, _ := f.k.BeginHold(f.now)
	f.k.OnHoldResponse(f.now, HoldResponse{Number: newer.Number, StartTime: 10, Clock: 1020, Ended: []EndedRun{{1, firstRun, marshaler.StatusDone}}})
	f.k.OnHoldResponse(f.now, HoldResponse{Number: older.Number, StartTime: 10, Clock: 1010, Running: []RunProgress{{Run: firstRun}}})
	if ok, reason := f.k.Accepting(); !ok {
		t.Errorf("got no starts admitted (%s) after an overtaken list, want starts admitted", reason)
	}
	if got := len(f.stops); got != 0 {
		t.Errorf("got %d stops of runs in an overtaken list, want none", got)
	}
}
