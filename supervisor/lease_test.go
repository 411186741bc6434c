package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	testTick = 25 * timer.Millisecond
	// testLease is the longest duration of a lease on a backend server clock that is 2% slow.
	testLease = LeaseDuration * 102 / 100
)

// TestUnconfirmedStop guards against runs that outlive the resend delay of their caller because the backend server leaves
// their stops unanswered while the lease of all runs is renewed, by holds or by the starts of other entries.
func TestUnconfirmedStop(t *testing.T) {
	cases := []struct {
		name  string
		cause func(f *fixture) // ends the caller's connection
		pause bool             // of the sidecar, just before the entry would time out
	}{
		{"entry is lost", func(f *fixture) { f.k.OnDisconnect(f.link) }, false},
		{"entry is lost and the sidecar pauses", func(f *fixture) { f.k.OnDisconnect(f.link) }, true},
		{"entry restarts", func(f *fixture) { f.connect("entry", 2) }, false},
		{"caller has left", func(f *fixture) { f.k.OnMessage(f.now, f.link, &marshaler.Stop{Run: firstRun}) }, false},
		{"start is unanswered, then the entry is lost", func(f *fixture) {
			f.k.OnDisconnect(f.link)
			f.advance(300)
			f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartUnknown})
		}, false},
	}
	for _, c := range cases {
		f := newFixture()
		f.advance(testTick)
		f.start(firstRun, 3000)
		row := []RunProgress{{Run: firstRun}}
		if c.name != "start is unanswered, then the entry is lost" {
			f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
			f.list(row)
		}
		began := f.now
		c.cause(f)
		leaving := f.link
		f.connect("other", 1)
		var leaseEnd int64
		f.k.Start = func(s marshaler.Start) {
			f.starts = append(f.starts, s.Run)
			leaseEnd = max(leaseEnd, s.NotAfter)
		}
		for n := uint64(0); f.now < began+resendDelay; n++ {
			if c.pause && f.now == began+425 {
				f.now += 110
			}
			f.advance(testTick)
			if c.name == "caller has left" || c.name == "entry restarts" {
				f.k.OnMessage(f.now, leaving, &marshaler.Heartbeat{})
			}
			h, _ := f.k.BeginHold(f.now)
			leaseEnd = max(leaseEnd, h.LeaseUntil)
			f.k.OnHoldResponse(f.now, HoldResponse{Number: h.Number, StartTime: 10, Clock: int64(f.now), Running: row})
			before := len(f.starts)
			other := marshaler.RunKey{Job: "other", Index: n, Attempt: 1}
			if f.start(other, 1); len(f.starts) > before {
				f.k.OnStarted(f.now, StartResult{Run: other, Status: StartConfirmed})
				row = append(row, RunProgress{Run: other, Percent: 100})
			}
		}
		// The lease of 700 ms on a slow clock takes 14 ms more.
		if got, limit := timer.Millis(leaseEnd)+testLease-LeaseDuration+stopDuration-began, resendDelay; got >= limit {
			t.Errorf("%s: got runs that end %d ms after the loss, want less than %d", c.name, got, limit)
		}
	}
}

// TestLeaseAfterStop guards against a lease that is left to lapse although all runs that were being stopped have ended, and
// against holds that are repeated at each message meanwhile.
func TestLeaseAfterStop(t *testing.T) {
	f := newFixture()
	f.start(firstRun, 3000)
	f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
	row := []RunProgress{{Run: firstRun}}
	f.list(row)
	f.k.OnMessage(f.now, f.link, &marshaler.Stop{Run: firstRun})
	if h, _ := f.k.BeginHold(f.now); h.LeaseUntil == 0 {
		t.Error("right after the stop: got a hold that does not renew the lease, want a renewal")
	}
	f.advance(400)
	polls := 0
	f.k.HoldNow = func() { polls++ }
	for range 5 {
		f.k.OnMessage(f.now, f.link, &marshaler.Heartbeat{})
		if h, _ := f.k.BeginHold(f.now); h.LeaseUntil != 0 {
			t.Errorf("400 ms after the stop: got a lease to %d, want none", h.LeaseUntil)
		}
	}
	if polls != 0 {
		t.Errorf("got %d immediate holds while the stop is unconfirmed, want 0", polls)
	}
	f.list(nil, EndedRun{1, firstRun, marshaler.StatusStopped})
	if h, _ := f.k.BeginHold(f.now); h.LeaseUntil == 0 {
		t.Error("after the end: got a hold that does not renew the lease, want a renewal")
	}
}

// TestLeaseOfUnknownRuns guards against runs of a previous sidecar process that outlive their callers' resend delay because
// the new process renews their lease while the backend server leaves their stops unanswered.
func TestLeaseOfUnknownRuns(t *testing.T) {
	f := newFixture()
	unknown := []RunProgress{{Run: marshaler.RunKey{Job: "stranger", Attempt: 1}}}
	f.list(unknown)
	if h, _ := f.k.BeginHold(f.now); h.LeaseUntil != 0 {
		t.Errorf("got a lease to %d for an unknown run, want none", h.LeaseUntil)
	}
	f.list(nil)
	if h, _ := f.k.BeginHold(f.now); h.LeaseUntil == 0 {
		t.Error("after its end: got a hold that does not renew the lease, want a renewal")
	}
}
