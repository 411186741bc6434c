package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestRefutedCrash guards against a crash that is counted against a task whose start was not answered, because its backend
// server refused connections for a moment or had crashed before.
func TestRefutedCrash(t *testing.T) {
	cases := []struct {
		name      string
		startTime uint64 // in the hold responses that follow
		want      marshaler.Status
	}{
		{"same incarnation", 10, marshaler.StatusRefused},
		{"next incarnation", 20, marshaler.StatusRefused},
	}
	for _, c := range cases {
		f := newFixture()
		list := func() {
			h, _ := f.k.BeginHold(f.now)
			f.k.OnHoldResponse(f.now, HoldResponse{Number: h.Number, StartTime: c.startTime, Clock: int64(f.now)})
		}
		f.start(firstRun, 3000)
		f.crash()
		f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartUnknown})
		list()
		f.k.OnStopped(firstRun, true)
		list()
		if got := f.latestStatus(); got != c.want {
			t.Errorf("%s: got outcome %s, want %s", c.name, got, c.want)
		}
	}
}
