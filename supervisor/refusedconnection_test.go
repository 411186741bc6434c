package supervisor

import (
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestRefutedExit guards against two runs of one task that leave no record: the event says that a backend server answers
// after its runs were taken for ended, unless it has restarted.
func TestRefutedExit(t *testing.T) {
	cases := []struct {
		name      string
		startTime uint64 // in the hold response that follows
		want      []int64
	}{
		{"same incarnation", 10, []int64{1}},
		{"next incarnation", 20, nil},
	}
	for _, c := range cases {
		f := newFixture()
		var got []int64
		f.k.Report = func(e Event) {
			if e.Kind == "backendAlive" {
				got = append(got, e.Value)
			}
		}
		f.start(firstRun, 3000)
		f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
		f.list([]RunProgress{{Run: firstRun}})
		f.failHold(true, "refused")
		f.failHold(true, "refused")
		for range 2 {
			h, _ := f.k.BeginHold(f.now)
			f.k.OnHoldResponse(f.now, HoldResponse{Number: h.Number, StartTime: c.startTime, Clock: int64(f.now)})
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got backendAlive with values %v, want %v", c.name, got, c.want)
		}
	}
}

// TestRefusedConnection guards against two runs of one task at once because a refused connection is taken for the end of the
// backend server, which refuses connections for a moment while its runs continue or a start is still to be carried out.
func TestRefusedConnection(t *testing.T) {
	confirm := func(f *fixture) { f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed}) }
	list := func(f *fixture) { f.list([]RunProgress{{Run: firstRun}}) }
	refuseHold := func(f *fixture) { f.failHold(true, "refused") }
	loseStart := func(f *fixture) { f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartUnknown}) }
	refuseStop := func(f *fixture) { f.k.OnStopped(firstRun, false) }
	answerStop := func(f *fixture) { f.k.OnStopped(firstRun, true) }
	cutHold := func(f *fixture) { f.failHold(false, "timeout") }
	restart := func(f *fixture) {
		f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 20, Sequence: 1, Service: "svc", Capacity: marshaler.Resources{CPU: 10_000}})
	}
	cases := []struct {
		name   string
		events []func(f *fixture)
		want   marshaler.Status // 0 while the run may be active
	}{
		{"one hold", []func(f *fixture){confirm, list, refuseHold}, 0},
		{"two holds", []func(f *fixture){confirm, list, refuseHold, refuseHold}, marshaler.StatusCrashed},
		{"a list between two holds", []func(f *fixture){confirm, list, refuseHold, list, refuseHold}, 0},
		{"an unanswered hold between two holds", []func(f *fixture){confirm, list, refuseHold, cutHold, refuseHold}, 0},
		{"a confirmed start between two holds", []func(f *fixture){refuseHold, confirm, refuseHold}, 0},
		{"an answered stop between two holds", []func(f *fixture){loseStart, refuseHold, answerStop, refuseHold}, 0},
		{"two holds, run not listed", []func(f *fixture){confirm, refuseHold, refuseHold}, marshaler.StatusCrashed},
		{"two holds, start pending", []func(f *fixture){refuseHold, refuseHold}, 0},
		{"stops of an unanswered start", []func(f *fixture){loseStart, refuseStop, refuseStop}, 0},
		{"stop of an unanswered start and one hold", []func(f *fixture){loseStart, refuseStop, refuseHold}, 0},
		{"stop of an unanswered start and two holds", []func(f *fixture){loseStart, refuseStop, refuseHold, refuseHold}, marshaler.StatusLost},
		{"stop of an earlier incarnation", []func(f *fixture){loseStart, restart, refuseStop}, 0},
		{"one hold before and one after a restart", []func(f *fixture){loseStart, refuseHold, restart, refuseHold}, 0},
	}
	for _, c := range cases {
		f := newFixture()
		f.start(firstRun, 3000)
		for _, event := range c.events {
			event(f)
		}
		if got := f.latestStatus(); got != c.want {
			t.Errorf("%s: got outcome %s, want %s", c.name, got, c.want)
		}
	}
}

// TestParallelRefusedHolds guards against a backend server that is taken for ended by two holds which were refused at the same
// moment, because the second one began before the refusal of the first was known.
func TestParallelRefusedHolds(t *testing.T) {
	f := newFixture()
	f.start(firstRun, 3000)
	f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
	f.list([]RunProgress{{Run: firstRun}})
	first, _ := f.k.BeginHold(f.now)
	second, _ := f.k.BeginHold(f.now)
	f.k.OnHoldFailed(f.now, first, true, "refused")
	f.k.OnHoldFailed(f.now, second, true, "refused")
	if got := f.latestStatus(); got != 0 {
		t.Errorf("got outcome %s, want none", got)
	}
}
