package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// resendDelay is how long a caller waits before it sends a job again after its connection ended.
	resendDelay = 1300 * timer.Millisecond
	// stopDuration is the longest time that a backend server needs to end a run that is stopped.
	stopDuration = 50 * timer.Millisecond
	// handlingDelay is the time within which a process handles what it has read. The guarantee leaves that much for it.
	handlingDelay = 36 * timer.Millisecond
	// longRun is a run time that exceeds resendDelay.
	longRun = 2700 * timer.Millisecond
)

// lostEntryFixture feeds a Supervisor that has a run of an entry which is lost, and measures until when the run may be alive on
// the backend server. The server's lease is extended by holds and by starts, and its clock is 2% slow.
type lostEntryFixture struct {
	*fixture
	other        *marshaler.Link // session of an entry that goes on starting runs
	startedAt    timer.Millis
	leaseUntil   timer.Millis
	attempt      uint64
	stopsIgnored bool
	lapsedAt     timer.Millis // when the lease ended the run; 0 while it has not
}

func newLostEntryFixture() *lostEntryFixture {
	v := &lostEntryFixture{fixture: newFixture()}
	lost := v.link
	v.connect("other", 1)
	v.other, v.link = v.link, lost
	v.k.Start = func(s marshaler.Start) { v.extendLease(s.NotAfter) }
	v.advance(25)
	v.startedAt = v.now
	v.k.OnMessage(v.now, v.link, &marshaler.Start{Run: firstRun, Estimate: longRun, NotAfter: int64(v.now) + 400})
	v.k.OnStarted(v.now, StartResult{Run: firstRun, Status: StartConfirmed})
	v.hold()
	return v
}

// extendLease extends the lease of all runs until a time on the backend server's clock.
func (v *lostEntryFixture) extendLease(until int64) {
	if remaining := timer.Millis(until) - v.now; remaining > 0 {
		v.leaseUntil = max(v.leaseUntil, v.now+min(remaining, maxLease)*102/100)
	}
}

// hold makes a hold call, whose response lists the run while it may be alive.
func (v *lostEntryFixture) hold() {
	h, ok := v.k.BeginHold(v.now)
	if !ok {
		return
	}
	if h.LeaseUntil > 0 {
		v.extendLease(h.LeaseUntil)
	}
	if v.leaseUntil > 0 && v.now >= v.leaseUntil && v.lapsedAt == 0 {
		v.lapsedAt = v.leaseUntil
	}
	var running []RunProgress
	if (len(v.stops) == 0 || v.stopsIgnored) && v.lapsedAt == 0 {
		running = []RunProgress{{Run: firstRun, Percent: int((v.now - v.startedAt) * 100 / longRun)}}
	}
	v.k.OnHoldResponse(v.now, HoldResponse{Number: h.Number, StartTime: 10, Clock: int64(v.now), Running: running})
}

// startOther lets the other entry start a run, which is refused or ends at once.
func (v *lostEntryFixture) startOther() {
	v.attempt++
	run := marshaler.RunKey{Job: "other", Attempt: v.attempt}
	v.k.OnMessage(v.now, v.other, &marshaler.Start{Run: run, Estimate: 10, NotAfter: int64(v.now) + 400})
	v.k.OnStarted(v.now, StartResult{Run: run, Status: StartRefused})
}

// aliveUntil returns the time until which the run may be alive.
func (v *lostEntryFixture) aliveUntil(stoppedAt timer.Millis) timer.Millis {
	end := v.leaseUntil
	if v.lapsedAt > 0 {
		end = v.lapsedAt
	}
	if stoppedAt == 0 || v.stopsIgnored {
		return end
	}
	return min(end, stoppedAt+stopDuration)
}

// TestRunOutlivesLostEntry guards against a run that is still alive when the caller of its lost entry sends the job again
// to another entry, because its sidecar gets processor time late or handles the lost entry's last messages late.
func TestRunOutlivesLostEntry(t *testing.T) {
	cases := []struct {
		name    string
		tick    timer.Millis // time between two ticks of the sidecar
		delay   timer.Millis // of the lost entry's messages
		starts  bool         // another entry starts runs all the time
		session bool         // the session to the lost entry ends at once
		ignored bool         // the backend server ignores stops, so that only the end of the lease ends the run
	}{
		{"calm", 25, 0, true, true, false},
		{"silent connection", 25, 0, true, false, false},
		{"late ticks", 120, 0, false, true, false},
		{"late ticks, other starts", 120, 0, true, true, false},
		{"late ticks, other starts, silent connection", 120, 0, true, false, false},
		{"late messages", 25, 800, false, false, false},
		{"late messages, other starts", 25, 800, true, false, false},
		{"late ticks and messages, other starts", 120, 300, true, false, false},
		{"long pauses, other starts", 400, 0, true, true, false},
		{"stops are ignored", 25, 0, false, true, true},
		{"stops are ignored, other starts", 25, 0, true, true, true},
		{"stops are ignored, late ticks, other starts", 120, 0, true, false, true},
	}
	for _, c := range cases {
		v := newLostEntryFixture()
		lostAt := v.now
		v.stopsIgnored = c.ignored
		if c.session {
			v.k.OnDisconnect(v.link)
		}
		var stoppedAt timer.Millis
		for nextTick := v.now; v.now < lostAt+3000; v.now += 20 {
			if v.now <= lostAt+c.delay && !c.session {
				v.k.OnMessage(v.now, v.link, v.heartbeat(v.now-c.delay))
			}
			v.k.OnMessage(v.now, v.other, v.heartbeat(v.now))
			if c.starts {
				v.startOther()
			}
			if v.now < nextTick {
				continue
			}
			v.k.Tick(v.now)
			v.hold()
			nextTick += c.tick
			if len(v.stops) > 0 && stoppedAt == 0 {
				stoppedAt = v.now
			}
		}
		if got, limit := v.aliveUntil(stoppedAt)-lostAt, resendDelay-handlingDelay; got > limit {
			t.Errorf("%s: got a run that may be alive %s after its entry was lost, want at most %s", c.name, got, limit)
		}
	}
}

// heartbeat returns a heartbeat that an entry sent at the given time.
func (v *lostEntryFixture) heartbeat(at timer.Millis) *marshaler.Heartbeat {
	return &marshaler.Heartbeat{SentAt: at}
}
