package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// leaseOnSlowClock is how long a lease takes on a backend server clock that is 2% slow.
func leaseOnSlowClock(lease timer.Millis) timer.Millis { return lease*100/98 + 1 }

// awaitSilent leaves all calls to the backend server without an answer, with a hold that fails every 300 ms, until done reports
// true or the time limit has passed. It returns how long that took.
func (f *fixture) awaitSilent(limit timer.Millis, done func() bool) timer.Millis {
	began := f.now
	for f.now < began+limit {
		f.k.OnMessage(f.now, f.link, &marshaler.Heartbeat{SentAt: f.now})
		if (f.now-began)%300 == 0 {
			f.failHold(false, "timeout")
		}
		f.advance(testTick)
		if done() {
			break
		}
	}
	return f.now - began
}

// TestRunsOfSilentServer guards against runs that a sidecar holds for ever because its backend server is lost for good and its
// address is silent: the job of such a run stands still while other servers are idle. The run may be in any state, and is ended
// only after the latest lease that may have been granted.
func TestRunsOfSilentServer(t *testing.T) {
	cases := []struct {
		name  string
		start func(f *fixture)
	}{
		{"running", func(f *fixture) {
			f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
			f.list([]RunProgress{{Run: firstRun, Percent: 10}})
		}},
		{"confirmed, not listed", func(f *fixture) { f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed}) }},
		{"start unanswered", func(f *fixture) { f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartUnknown}) }},
		{"start call still open", func(*fixture) {}},
		{"being stopped", func(f *fixture) {
			f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
			f.k.OnMessage(f.now, f.link, &marshaler.Stop{Run: firstRun})
		}},
		{"list with an unknown run", func(f *fixture) {
			f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
			f.list([]RunProgress{{Run: firstRun}, {Run: marshaler.RunKey{Job: "unknown", Attempt: 1}}})
		}},
	}
	for _, c := range cases {
		f := newFixture()
		f.advance(testTick)
		f.start(firstRun, 3000)
		c.start(f)
		h, _ := f.k.BeginHold(f.now)
		leaseEnd := timer.Millis(h.LeaseUntil) // on a clock that is right
		took := f.awaitSilent(3*timer.Second, func() bool { return f.k.Running() == 0 })
		if f.k.Running() != 0 || took > 2*timer.Second {
			t.Errorf("%s: got %d runs %s after the last answer, want none after 2 s", c.name, f.k.Running(), took)
			continue
		}
		if f.now < leaseEnd {
			t.Errorf("%s: got the run ended at %d, want the end of the lease at %d", c.name, f.now, leaseEnd)
		}
		if got := f.latestStatus(); got == marshaler.StatusRefused || got == marshaler.StatusDone {
			t.Errorf("%s: got outcome %s, want one that does not deny that the task has run", c.name, got)
		}
		if f.k.free != f.k.backend.Capacity {
			t.Errorf("%s: got free capacity %v, want %v", c.name, f.k.free, f.k.backend.Capacity)
		}
	}
}

// TestRunsWithinLease guards against a run that is taken for ended while a lease may still keep it alive: the server may have
// received each hold and start, although none was answered, and its clock may be 2% slow.
func TestRunsWithinLease(t *testing.T) {
	f := newFixture()
	f.advance(testTick)
	f.start(firstRun, 3000)
	f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
	f.list([]RunProgress{{Run: firstRun}})
	listed := f.now
	alive := timer.Millis(0) // until when the server keeps the run, if it gets all calls
	f.k.Start = func(s marshaler.Start) { alive = max(alive, listed+leaseOnSlowClock(timer.Millis(s.NotAfter)-listed)) }
	for n := uint64(0); f.k.Running() > 0 && f.now < listed+5*timer.Second; n++ {
		f.k.OnMessage(f.now, f.link, &marshaler.Heartbeat{SentAt: f.now})
		f.start(marshaler.RunKey{Job: "other", Index: n, Attempt: 1}, 1)
		h, _ := f.k.BeginHold(f.now)
		alive = max(alive, listed+leaseOnSlowClock(timer.Millis(h.LeaseUntil)-listed))
		f.k.OnHoldFailed(f.now, h, false, "timeout")
		f.advance(testTick)
	}
	if f.k.Running() > 0 || f.now < alive {
		t.Errorf("got %d runs at %d ms after the last list, want none, and not before %d ms", f.k.Running(), f.now-listed, alive-listed)
	}
}

// TestListWithoutAnswer guards against a new process of a sidecar that never tells what runs on its backend server, because the
// server was lost with the process before: entries wait for that list, and the jobs of its runs stand still. It must not come
// before every lease that the former process may have asked for has run out.
func TestListWithoutAnswer(t *testing.T) {
	cases := []struct {
		name      string
		announced bool // the descriptor is known
		refused   bool
	}{
		{"silent", true, false},
		{"connection refused", true, true},
		{"never announced", false, false},
	}
	for _, c := range cases {
		f := &fixture{now: 1000}
		f.k = &Supervisor{Start: func(marshaler.Start) {}, Stop: func(marshaler.RunKey) {}, HoldNow: func() {}}
		f.advance(testTick)
		began := f.now
		if c.announced {
			f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 10, Service: "svc", Capacity: marshaler.Resources{CPU: 10_000}})
		}
		f.connect("entry", 1)
		var census *marshaler.Census
		send := f.link.Send
		f.link.Send = func(m marshaler.Message) {
			if got, ok := m.(*marshaler.Census); ok {
				census = got
			}
			send(m)
		}
		f.k.OnMessage(f.now, f.link, &marshaler.Claim{Partitions: []marshaler.Partition{{Number: 0, Epoch: 7}}})
		for f.now < began+3*timer.Second && len(f.held) == 0 {
			f.k.OnMessage(f.now, f.link, &marshaler.Heartbeat{SentAt: f.now})
			if c.announced {
				f.failHold(c.refused, "no answer")
			}
			f.advance(testTick)
		}
		took := f.now - began
		if len(f.held) != 1 || census == nil || took > 1500 {
			t.Errorf("%s: got %d lists of runs and census %v after %s, want both within 1.5 s", c.name, len(f.held), census, took)
		}
		if earliest := leaseOnSlowClock(maxLease) - testTick; took < earliest {
			t.Errorf("%s: got a list of runs after %s, want none before %s", c.name, took, earliest)
		}
		if ok, _ := f.k.Accepting(); ok {
			t.Errorf("%s: got starts accepted, want none before the server answers", c.name)
		}
	}
}

// TestLateAnswerAfterPause guards against runs that a sidecar takes for ended when it was paused for longer than their lease, before
// it reads the list that shows how they have ended.
func TestLateAnswerAfterPause(t *testing.T) {
	f := newFixture()
	f.advance(testTick)
	f.start(firstRun, 3000)
	f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
	f.list([]RunProgress{{Run: firstRun}})
	f.now += 5 * timer.Second
	f.k.OnMessage(f.now, f.link, &marshaler.Heartbeat{SentAt: f.now})
	f.advance(testTick)
	f.k.OnMessage(f.now, f.link, &marshaler.Heartbeat{SentAt: f.now})
	f.list(nil, EndedRun{1, firstRun, marshaler.StatusDone})
	if got := f.latestStatus(); got != marshaler.StatusDone {
		t.Errorf("got outcome %s, want done", got)
	}
}
