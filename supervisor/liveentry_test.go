package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestIdleEntryBecomesActive guards against an entry that is taken for lost although it is alive, because its idle session
// becomes active by a message that does not count as a sign of life. The last heartbeat is then up to 600 ms old.
func TestIdleEntryBecomesActive(t *testing.T) {
	cases := []struct {
		name    string
		message marshaler.Message
	}{
		{"subscription", &marshaler.LoadSubscription{Enabled: true}},
		{"claim", &marshaler.Claim{Partitions: []marshaler.Partition{{Number: 1, Epoch: 1}}}},
		{"heartbeat", &marshaler.Heartbeat{}},
	}
	for _, reconnects := range []bool{false, true} {
		for _, c := range cases {
			f := newFixture()
			f.k.Partitions = 8
			f.advance(testTick)
			f.k.OnMessage(f.now, f.link, &marshaler.Heartbeat{SentAt: f.now})
			f.advance(550) // below the idle heartbeat interval
			if reconnects {
				f.k.OnDisconnect(f.link)
				f.connect("entry", 1)
			}
			f.k.OnMessage(f.now, f.link, c.message)
			closed := f.closed
			f.advance(testTick)
			if got := f.closed - closed; got != 0 {
				t.Errorf("%s, reconnects %v: got %d closed sessions one tick after a message of the entry, want 0", c.name, reconnects, got)
			}
		}
	}
}

// TestLateRefusedHold guards against runs of a restarted backend server that are reported as lost, and started again elsewhere,
// because the failure of a hold that its previous incarnation refused is handled late.
func TestLateRefusedHold(t *testing.T) {
	f := newFixture()
	f.advance(testTick)
	refused, _ := f.k.BeginHold(f.now)
	// The hold is refused, because the backend server restarts. Its failure waits for the event loop.
	f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 20, Sequence: 1, Service: "svc", Capacity: marshaler.Resources{CPU: 10_000, MemoryMB: 100}})
	list := func(running []RunProgress) {
		h, _ := f.k.BeginHold(f.now)
		f.k.OnHoldResponse(f.now, HoldResponse{Number: h.Number, StartTime: 20, Clock: int64(f.now), Running: running})
	}
	list(nil)
	f.start(firstRun, 3000)
	f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
	list([]RunProgress{{Run: firstRun, Percent: 1}})
	f.k.OnHoldFailed(f.now, refused, true, "connection refused")
	if got := f.latestStatus(); got != 0 {
		t.Errorf("got outcome %s of a run that the present incarnation lists, want none", got)
	}
}

// TestRestartInFlightStart guards against a restarted sidecar that tells an entry that a task does not run, while a start of the
// previous process may still be carried out: it was sent, and its time limit has not passed.
func TestRestartInFlightStart(t *testing.T) {
	const startTTL = 400 * timer.Millisecond // of the submitter
	f := newFixture()                        // the backend server has not read the start; the previous process ended right now
	f.k.startsSettle, f.k.settleHold, f.k.settled, f.held = 0, 0, false, nil
	f.k.Tick(f.now)
	f.connect("second", 1)
	f.list(nil)
	restartedAt := f.now
	f.advance(startTTL - 2*testTick)
	reported := len(f.held)
	f.list([]RunProgress{{Run: firstRun, Percent: 1}}) // carried out within its time limit
	if reported > 0 {
		t.Errorf("got a list of runs within %s of the restart, without a run that is listed later, want it after the %s of the last start",
			f.now-restartedAt, startTTL)
	}
}
