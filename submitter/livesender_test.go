package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/supervisor"
	"github.com/crocuslb/crocuslb/timer"
)

// newSidecarWithEntry returns a sidecar with a listed backend server, a session of an entry and a function that makes a hold call.
func newSidecarWithEntry(now timer.Millis, onStop func()) (k *supervisor.Supervisor, link *marshaler.Link, closed *int, hold func(now timer.Millis, rows ...supervisor.RunProgress) int64) {
	k = &supervisor.Supervisor{Start: func(marshaler.Start) {}, Stop: func(marshaler.RunKey) { onStop() }, HoldNow: func() {}}
	k.Announce(now, supervisor.Backend{ID: "i-1", StartTime: 10, Sequence: 1, Service: "svc", Capacity: marshaler.Resources{CPU: 9000}})
	closed = new(int)
	link = &marshaler.Link{
		Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: "entry", Incarnation: 1},
		Send:   func(marshaler.Message) {}, Close: func(error) { *closed++ },
	}
	k.OnConnect(now, link)
	hold = func(now timer.Millis, rows ...supervisor.RunProgress) int64 {
		h, _ := k.BeginHold(now)
		k.OnHoldResponse(now, supervisor.HoldResponse{Number: h.Number, StartTime: 10, Clock: int64(now), Running: rows})
		return h.LeaseUntil
	}
	hold(now)
	return k, link, closed, hold
}

// TestSteadyQueueDelay guards against an entry that is taken for lost although its heartbeats arrive on time, because all
// messages wait in its own event queue and its estimate of the sidecar's clock is early by that time.
func TestSteadyQueueDelay(t *testing.T) {
	for _, delay := range []timer.Millis{0, 100, 200, 250, 300, 350} {
		now := timer.Millis(5000)
		stops := 0
		k, link, closed, hold := newSidecarWithEntry(now, func() { stops++ })
		var clock remoteClock
		observe := func() { // a report of the sidecar that waited for delay in the event queue
			m := &marshaler.Load{Time: now - delay}
			marshaler.AddWait(m, delay)
			clock.observe(now, m.Time)
		}
		now += delay
		observe()
		key := marshaler.RunKey{Job: "job", Attempt: 1}
		k.Tick(now)
		k.OnMessage(now, link, &marshaler.Start{Run: key, Estimate: 5000, NotAfter: int64(now) + 400, SentAt: clock.at(now)})
		k.OnStarted(now, supervisor.StartResult{Run: key, Status: supervisor.StartConfirmed})
		for n := range 80 {
			now += 25
			if n%6 == 5 { // every 150 ms; the reports of the sidecar wait for delay each
				k.OnMessage(now, link, &marshaler.Heartbeat{SentAt: clock.at(now)})
				observe()
			}
			hold(now, supervisor.RunProgress{Run: key, Percent: n})
			k.Tick(now)
		}
		if stops > 0 || *closed > 0 {
			t.Errorf("event queue delay %s: got %d stops and %d closed sessions of an entry that sends heartbeats every 150 ms, want 0 and 0", delay, stops, *closed)
		}
	}
}

// TestSuspendedRemote guards against a remote clock estimate that is late, so that waiting messages count as fresh, after the
// virtual machine of the other process was suspended, which its clock does not count.
func TestSuspendedRemote(t *testing.T) {
	const suspension = 2 * timer.Second
	var clock remoteClock
	clock.observe(1000, 5000)
	late := timer.Millis(0)
	for now := timer.Millis(1150) + suspension; now < 40_000; now += 150 {
		remote := now + 4000 - suspension
		clock.observe(now, remote)
		if clock.at(now) > remote {
			late = now - 1000 - suspension
		}
	}
	if late > 0 {
		t.Errorf("got an estimate that is late for %s after the suspension, want none", late)
	}
}

// TestHandoverStopBound guards against a run of a job that was handed over which outlives the resend delay of the caller of the
// lost sender, although every process is on time, because the backend server leaves the stops unanswered. The receiver notices
// the loss HeartbeatTimeout after it, and its heartbeats keep the lease until then.
func TestHandoverStopBound(t *testing.T) {
	const (
		resend   = 1300 * timer.Millisecond
		stopTime = 50 * timer.Millisecond
	)
	lostAt := timer.Millis(5000)
	k, link, _, hold := newSidecarWithEntry(lostAt, func() {})
	key := marshaler.RunKey{Job: "job", Attempt: 1}
	k.OnMessage(lostAt, link, &marshaler.Start{Run: key, Estimate: 5000, NotAfter: int64(lostAt) + 400, SentAt: lostAt})
	k.OnStarted(lostAt, supervisor.StartResult{Run: key, Status: supervisor.StartConfirmed})
	leaseEnd := timer.Millis(0)
	for now := lostAt; now < lostAt+resend; now += 25 {
		if now == lostAt+HeartbeatTimeout {
			k.OnMessage(now, link, &marshaler.Stop{Run: key})
		}
		k.OnMessage(now, link, &marshaler.Heartbeat{SentAt: now})
		if until := hold(now, supervisor.RunProgress{Run: key}); until > 0 {
			leaseEnd = now + (timer.Millis(until)-now)*102/100
		}
		k.Tick(now)
	}
	if got := leaseEnd + stopTime - lostAt; got > resend {
		t.Errorf("got a run that may be alive %s after the sender was lost, want at most %s", got, resend)
	}
}

// TestUnwantedRunOnNewSession guards against a run whose caller has left and whose stop was lost with a session, but which the
// heartbeats of the entry on the sessions that follow keep alive, because they precede the stop. Sessions that end again and
// again keep it alive without bound.
func TestUnwantedRunOnNewSession(t *testing.T) {
	s := &Submitter{Name: "entry", Incarnation: 1, Weight: 1}
	now := timer.Millis(1000)
	s.SetSnapshot(now, testSnapshot())
	var session uint64
	var leftAt, keptAlive timer.Millis // keptAlive is the time of the latest heartbeat without a stop before it on the session
	stopped := false
	connect := func() *marshaler.Link {
		session++
		stopped = false
		link := &marshaler.Link{
			Remote: marshaler.Hello{Role: marshaler.RoleSidecar, Name: "side", Incarnation: 1, Session: session}, Close: func(error) {},
			Send: func(m marshaler.Message) {
				switch m.(type) {
				case *marshaler.Stop:
					stopped = true
				case *marshaler.Heartbeat:
					if leftAt > 0 && !stopped {
						keptAlive = now
					}
				}
			},
		}
		s.OnConnect(now, link)
		return link
	}
	load := &marshaler.Load{Accepting: true, Free: marshaler.Resources{CPU: 9000}, Clock: 5, Speed: 1000, Time: 1}
	link := connect()
	s.OnMessage(now, link, &marshaler.Backend{ID: "i", Service: "svc", Capacity: marshaler.Resources{CPU: 9000}})
	s.OnMessage(now, link, load)
	s.Tick(now)
	s.Submit(now, Job{
		ID: "job", Queue: testQueue, Deadline: 20_000, Answer: func(Answer) {},
		Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 3000}},
	})
	s.Flush(now)
	if got := len(s.sidecars["side"].assignedRuns); got != 1 {
		t.Fatalf("got %d runs, want 1", got)
	}
	leftAt = now
	s.Abort(now, "job", "caller left") // the stop is lost with the session
	for range 4 {
		s.OnDisconnect(now, link, errConnectionCut)
		link = connect()
		for range 10 {
			now += 25
			s.Tick(now) // the sidecar's list of runs waits until the session ends
		}
	}
	if got := keptAlive - leftAt; got > 0 {
		t.Errorf("got a heartbeat without a stop %s after the caller left, want none", got)
	}
}

// TestOverloadedSender guards against a job that is dropped, with an unknown outcome for its caller, because the entry that handed
// it over is overloaded: its heartbeats arrive on time, but its estimate of the receiver's clock is early by the delay of its event queue.
func TestOverloadedSender(t *testing.T) {
	for _, delay := range []timer.Millis{0, 200, 300, 350} {
		f := newFixture()
		f.core.Handover = true
		f.core.Tick(f.now)
		var answers []AnswerKind
		link := &marshaler.Link{Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: "peer", Incarnation: 2}, Close: func(error) {}, Send: func(m marshaler.Message) {
			if m, ok := m.(*marshaler.JobAnswer); ok {
				answers = append(answers, AnswerKind(m.Kind))
			}
		}}
		f.core.OnConnect(f.now, link)
		var clock remoteClock // of the receiver, whose heartbeats wait for delay in the sender's event queue
		heartbeat := func() {
			m := &marshaler.Heartbeat{Time: f.now - delay}
			marshaler.AddWait(m, delay)
			clock.observe(f.now, m.Time)
			f.core.OnMessage(f.now, link, &marshaler.Heartbeat{Time: f.now, SentAt: clock.at(f.now)})
		}
		heartbeat()
		f.core.OnMessage(f.now, link, &marshaler.JobHandover{
			Number: 1, Job: "job", Queue: "q", Deadline: 9000, SentAt: clock.at(f.now),
			Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 1}, Estimate: 50}},
		})
		for n := range 60 {
			f.now += 25
			if n%6 == 5 {
				heartbeat()
			}
			f.load("side-a")
			f.core.Tick(f.now)
		}
		if len(answers) > 0 {
			t.Errorf("event queue delay %s: got answers %v to a job whose sender sends heartbeats every 150 ms, want none", delay, answers)
		}
	}
}
