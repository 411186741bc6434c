package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestRunsWithoutMemory guards against more runs than the sidecar has memory for, against entries that are not told and go on
// sending starts, and against a sidecar that refuses starts for good.
func TestRunsWithoutMemory(t *testing.T) {
	const limit = 16
	f := newFixture()
	reserved := 0
	f.k.ReserveRun = func() bool {
		if reserved == limit {
			return false
		}
		reserved++
		return true
	}
	f.k.ReleaseRun = func() { reserved-- }
	key := func(n int) marshaler.RunKey { return marshaler.RunKey{Job: "job", Index: uint64(n), Attempt: 1} }
	for n := range limit {
		f.start(key(n), 0)
		f.k.OnStarted(f.now, StartResult{Run: key(n), Status: StartConfirmed})
	}
	loads := f.loadReports
	f.start(key(limit), 0)
	if got := f.latestStatus(); got != marshaler.StatusRefused || f.loadReports == loads {
		t.Errorf("got status %v and %d load reports for a start without memory, want %v and a report", got, f.loadReports-loads, marshaler.StatusRefused)
	}
	if ok, reason := f.k.Accepting(); ok || reason != noMemoryReason {
		t.Errorf("got accepting %v (%s), want false (%s)", ok, reason, noMemoryReason)
	}
	end := func(n int) {
		f.k.OnStarted(f.now, StartResult{Run: key(n), Status: StartSuperseded, Reason: "ended"})
	}
	for n := range limit / freedRunsDivisor {
		if ok, _ := f.k.Accepting(); ok {
			t.Errorf("got starts admitted after %d ends, want none", n)
		}
		end(n)
		f.advance(30)
	}
	if ok, reason := f.k.Accepting(); !ok {
		t.Errorf("got no starts admitted (%s) after an eighth of the runs has ended, want them", reason)
	}
	for n := range limit {
		end(n)
	}
	if reserved != 0 || f.k.Running() != 0 {
		t.Errorf("got %d runs charged and %d running, want none", reserved, f.k.Running())
	}
	f.k.ReserveRun = func() bool { return false } // other clients hold the memory
	f.start(key(99), 0)
	f.advance(30)
	if ok, reason := f.k.Accepting(); !ok {
		t.Errorf("got no starts admitted (%s) while none runs, want them", reason)
	}
}
