package supervisor

import (
	"slices"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// fixture is a Supervisor with an entry session, which records the messages and requests that the Supervisor sends.
type fixture struct {
	k           *Supervisor
	now         timer.Millis
	link        *marshaler.Link
	outcomes    []marshaler.Outcome
	held        [][]marshaler.RunKey
	loadReports int
	starts      []marshaler.RunKey
	stops       []marshaler.RunKey
	closed      int
}

func newFixture() *fixture {
	f := &fixture{now: 1000}
	f.k = &Supervisor{
		Start:   func(s marshaler.Start) { f.starts = append(f.starts, s.Run) },
		Stop:    func(r marshaler.RunKey) { f.stops = append(f.stops, r) },
		HoldNow: func() {},
	}
	f.k.startsSettle = f.now // the process has run for maxStartAge
	f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 10, Sequence: 1, Service: "svc", Capacity: marshaler.Resources{CPU: 10_000, MemoryMB: 100}})
	f.connect("entry", 1)
	f.list(nil)
	return f
}

func (f *fixture) connect(name string, incarnation uint64) {
	f.link = &marshaler.Link{
		Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: name, Incarnation: incarnation}, Close: func(error) { f.closed++ },
		Send: func(m marshaler.Message) {
			switch m := m.(type) {
			case *marshaler.Outcome:
				f.outcomes = append(f.outcomes, *m)
			case *marshaler.ActiveRuns:
				f.held = append(f.held, m.Runs)
			case *marshaler.Load:
				f.loadReports++
			}
		},
	}
	f.k.OnConnect(f.now, f.link)
}

func (f *fixture) list(running []RunProgress, ended ...EndedRun) {
	h, _ := f.k.BeginHold(f.now)
	f.k.OnHoldResponse(f.now, HoldResponse{Number: h.Number, StartTime: 10, Clock: int64(f.now), Running: running, Ended: ended})
}

// failHold reports the failure of a hold.
func (f *fixture) failHold(gone bool, reason string) {
	h, _ := f.k.BeginHold(f.now)
	f.k.OnHoldFailed(f.now, h, gone, reason)
}

// advance moves the time on by length, with a Tick every 25 ms as in a process that is not paused.
func (f *fixture) advance(length timer.Millis) {
	for end := f.now + length; f.now < end; {
		f.now += 25
		f.k.Tick(f.now)
	}
}

func (f *fixture) start(r marshaler.RunKey, room int64) {
	f.k.OnMessage(f.now, f.link, &marshaler.Start{Run: r, Resources: marshaler.Resources{CPU: room}, Estimate: 100, NotAfter: int64(f.now) + 400})
}

func (f *fixture) latestStatus() marshaler.Status {
	if len(f.outcomes) == 0 {
		return 0
	}
	return f.outcomes[len(f.outcomes)-1].Status
}

var firstRun = marshaler.RunKey{Job: "job", Index: 0, Attempt: 1}

// TestStartAdmission guards against starts that a sidecar must refuse and that reach the backend server.
func TestStartAdmission(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *fixture)
		started bool
	}{
		{"admitted", func(*fixture) {}, true},
		{"insufficient resources", func(f *fixture) { f.start(marshaler.RunKey{Job: "other", Attempt: 1}, 9000) }, false},
		{"resources of a stopping run", func(f *fixture) {
			other := marshaler.RunKey{Job: "other", Attempt: 1}
			f.start(other, 9000)
			f.k.OnStarted(f.now, StartResult{Run: other, Status: StartConfirmed})
			f.k.OnMessage(f.now, f.link, &marshaler.Stop{Run: other})
			f.k.OnStopped(other, true)
		}, false},
		{"resources of an ended run", func(f *fixture) {
			other := marshaler.RunKey{Job: "other", Attempt: 1}
			f.start(other, 9000)
			f.k.OnStarted(f.now, StartResult{Run: other, Status: StartConfirmed})
			f.list(nil, EndedRun{1, other, marshaler.StatusDone})
		}, true},
		{"draining", func(f *fixture) {
			f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 10, Sequence: 2, Service: "svc", Capacity: marshaler.Resources{CPU: 10_000}, Draining: true})
		}, false},
		{"delayed announcement from before draining", func(f *fixture) {
			f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 10, Sequence: 5, Service: "svc", Capacity: marshaler.Resources{CPU: 10_000}, Draining: true})
			f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 10, Sequence: 4, Service: "svc", Capacity: marshaler.Resources{CPU: 10_000}})
		}, false},
		{"announcement of a previous incarnation", func(f *fixture) {
			f.k.Announce(f.now, Backend{ID: "i-0", StartTime: 9, Sequence: 50, Service: "svc", Draining: true})
		}, true},
		{"deregistered", func(f *fixture) { f.k.OnDeregistered(f.now, "i-1") }, false},
		{"withdrawn domain", func(f *fixture) { f.k.SetOffset(f.now, 5, true) }, false},
		{"domain is returned", func(f *fixture) { f.k.SetOffset(f.now, 5, true); f.k.SetOffset(f.now, 6, false) }, true},
		{"stopping", func(f *fixture) { f.k.Drain(f.now) }, false},
		{"new incarnation without a hold response", func(f *fixture) {
			f.k.Announce(f.now, Backend{ID: "i-2", StartTime: 11, Sequence: 1, Service: "svc", Capacity: marshaler.Resources{CPU: 10_000}})
		}, false},
		{"one lost response", func(f *fixture) { f.now += 100; f.failHold(false, "timeout") }, true},
		{"unresponsive", func(f *fixture) { f.now += 500; f.failHold(false, "timeout") }, false},
		{"no listener", func(f *fixture) { f.failHold(true, "refused") }, false},
		{"unknown run is active", func(f *fixture) {
			f.k.Announce(f.now, Backend{ID: "i-2", StartTime: 10, Sequence: 1, Service: "svc", Capacity: marshaler.Resources{CPU: 10_000}})
			f.list([]RunProgress{{Run: marshaler.RunKey{Job: "stranger", Attempt: 1}}})
		}, false},
	}
	for _, c := range cases {
		f := newFixture()
		c.prepare(f)
		before := len(f.starts)
		f.start(firstRun, 3000)
		if got := len(f.starts) > before; got != c.started {
			t.Errorf("%s: got started %v, want %v", c.name, got, c.started)
		}
		if !c.started && f.latestStatus() != marshaler.StatusRefused {
			t.Errorf("%s: got outcome %s, want refused", c.name, f.latestStatus())
		}
	}
}

// TestRunEnds guards against outcomes that are reported while the run may still be active.
func TestRunEnds(t *testing.T) {
	row := []RunProgress{{Run: firstRun, Percent: 10}}
	unknown := StartResult{Run: firstRun, Status: StartUnknown}
	done := StartResult{Run: firstRun, Status: StartConfirmed}
	cases := []struct {
		name   string
		events func(f *fixture)
		want   marshaler.Status // 0 while the run may be active
	}{
		{"refused", func(f *fixture) { f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartRefused}) }, marshaler.StatusRefused},
		{"superseded", func(f *fixture) { f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartSuperseded}) }, marshaler.StatusSuperseded},
		{"no response", func(f *fixture) { f.k.OnStarted(f.now, unknown) }, 0},
		{"no response, listed", func(f *fixture) { f.list(row); f.k.OnStarted(f.now, unknown) }, 0},
		{"no response, not listed before the stop", func(f *fixture) { f.k.OnStarted(f.now, unknown); f.list(nil) }, 0},
		{"no response, stopped, not listed", func(f *fixture) {
			f.k.OnStarted(f.now, unknown)
			f.k.OnStopped(firstRun, true)
			f.list(nil)
		}, marshaler.StatusRefused},
		{"no response, stopped, listed", func(f *fixture) {
			f.k.OnStarted(f.now, unknown)
			f.k.OnStopped(firstRun, true)
			f.list(row)
		}, 0},
		{"no response to the start and the stop", func(f *fixture) {
			f.k.OnStarted(f.now, unknown)
			f.k.OnStopped(firstRun, false)
			f.list(nil)
		}, 0},
		{"no response, no listener", func(f *fixture) {
			f.k.OnStarted(f.now, unknown)
			f.k.OnStopped(firstRun, false)
			f.failHold(true, "refused")
			f.failHold(true, "refused")
		}, marshaler.StatusLost},
		{"done", func(f *fixture) { f.k.OnStarted(f.now, done); f.list(nil, EndedRun{1, firstRun, marshaler.StatusDone}) }, marshaler.StatusDone},
		{"done before the response to the start", func(f *fixture) { f.list(nil, EndedRun{1, firstRun, marshaler.StatusDone}) }, marshaler.StatusDone},
		{"end of an earlier attempt", func(f *fixture) {
			f.k.OnStarted(f.now, done)
			f.list(row, EndedRun{1, marshaler.RunKey{Job: "job"}, marshaler.StatusDone})
		}, 0},
		{"stopped by the entry", func(f *fixture) {
			f.k.OnStarted(f.now, done)
			f.k.OnMessage(f.now, f.link, &marshaler.Stop{Run: firstRun})
		}, 0},
		{"stopped and listed as stopped", func(f *fixture) {
			f.k.OnStarted(f.now, done)
			f.k.OnMessage(f.now, f.link, &marshaler.Stop{Run: firstRun})
			f.list(nil, EndedRun{1, firstRun, marshaler.StatusStopped})
		}, marshaler.StatusStopped},
		{"restart of a listed run", func(f *fixture) { f.list(row); f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 11, Service: "svc"}) }, marshaler.StatusCrashed},
		{"restart during the start", func(f *fixture) {
			f.k.OnStarted(f.now, done)
			f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 11, Service: "svc"})
		}, 0},
		{"no listener, listed run", func(f *fixture) { f.list(row); f.failHold(true, "refused"); f.failHold(true, "refused") }, marshaler.StatusCrashed},
		{"no listener, start pending", func(f *fixture) { f.failHold(true, "refused"); f.failHold(true, "refused") }, 0},
		{"no longer listed", func(f *fixture) { f.k.OnStarted(f.now, done); f.list(row); f.list(nil) }, marshaler.StatusLost},
		{"no progress", func(f *fixture) {
			f.k.OnStarted(f.now, done)
			f.list(row)
			f.now += 200
			f.list(row)
			f.list(nil, EndedRun{1, firstRun, marshaler.StatusStopped})
		}, marshaler.StatusStalled},
	}
	for _, c := range cases {
		f := newFixture()
		f.start(firstRun, 3000)
		c.events(f)
		if got := f.latestStatus(); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

// TestEntryTimeout guards against runs that outlive their entry for longer than a caller waits before it resubmits a job.
func TestEntryTimeout(t *testing.T) {
	const resubmitDelay = 1300 * timer.Millisecond
	const stopTime = 50
	if sum := EntryTimeout + LeaseDuration*102/100 + stopTime; sum >= resubmitDelay {
		t.Errorf("got %s from the loss of an entry to the end of its runs, want less than %s", sum, resubmitDelay)
	}
	f := newFixture()
	f.start(firstRun, 3000)
	f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
	f.k.OnDisconnect(f.link)
	for range 17 {
		f.now += 25
		f.k.Tick(f.now)
	}
	if len(f.stops) != 0 {
		t.Errorf("got %d stops %d ms after the disconnect, want 0 before %s", len(f.stops), f.now-1000, EntryTimeout)
	}
	f.now += 50
	f.k.Tick(f.now)
	if !slices.Contains(f.stops, firstRun) {
		t.Errorf("got stops %v %d ms after the disconnect, want %v", f.stops, f.now-1000, firstRun)
	}
}

// TestPause guards against runs that are stopped because this process was paused and could not read their entries'
// messages, and against a lease that is renewed for runs whose entry is silent.
func TestPause(t *testing.T) {
	cases := []struct {
		name         string
		pause        timer.Millis
		messageAfter timer.Millis // of the entry, after the pause; 0 for never
		stoppedAfter timer.Millis // of the runs, after the pause; 0 for never
	}{
		{"entry is connected", 500, 10, 0},
		{"entry reconnects", 500, 150, 0},
		{"entry is lost", 500, 0, resumeGracePeriod},
		{"not paused", 25, 0, EntryTimeout - 25},
	}
	for _, c := range cases {
		f := newFixture()
		polls := 0
		f.k.HoldNow = func() { polls++ }
		f.advance(25)
		f.start(firstRun, 3000)
		f.k.OnMessage(f.now, f.link, &marshaler.Heartbeat{})
		f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
		f.list([]RunProgress{{Run: firstRun}})
		f.now += c.pause
		resumed := f.now
		var stopped timer.Millis
		for f.now < resumed+1000 {
			silent := c.messageAfter == 0 || f.now < resumed+c.messageAfter
			h, _ := f.k.BeginHold(f.now)
			if renewed := h.LeaseUntil > 0; silent && c.pause >= EntryTimeout && renewed && len(f.stops) == 0 {
				t.Fatalf("%s: got a lease to %d while the entry is silent, want none", c.name, h.LeaseUntil)
			}
			if !silent {
				f.k.OnMessage(f.now, f.link, &marshaler.Heartbeat{})
			}
			f.k.OnHoldResponse(f.now, HoldResponse{Number: h.Number, StartTime: 10, Clock: int64(f.now), Running: []RunProgress{{Run: firstRun, Percent: 100}}})
			f.k.Tick(f.now)
			if len(f.stops) > 0 && stopped == 0 {
				stopped = max(f.now-resumed, 1)
			}
			f.now += 25
		}
		if diff := stopped - c.stoppedAfter; diff < 0 || diff > 25 || c.stoppedAfter == 0 && stopped != 0 {
			t.Errorf("%s: got a stop after %d ms, want %d", c.name, stopped, c.stoppedAfter)
		}
		if want := c.messageAfter > 0; (polls > 0) != want {
			t.Errorf("%s: got %d immediate holds, want some: %v", c.name, polls, want)
		}
	}
}

// TestSessions guards against entries that do not get the outcomes of their runs after a reconnect.
func TestSessions(t *testing.T) {
	cases := []struct {
		name        string
		incarnation uint64
		pause       timer.Millis
		held        int // runs in the list on the new session
		stopped     bool
	}{
		{"same incarnation, immediately", 1, 50, 1, false},
		{"same incarnation, after its runs were stopped", 1, 600, 1, true},
		{"new incarnation", 2, 50, 0, true},
	}
	for _, c := range cases {
		f := newFixture()
		f.start(firstRun, 3000)
		f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
		f.list([]RunProgress{{Run: firstRun}})
		f.k.OnDisconnect(f.link)
		f.advance(c.pause)
		f.connect("entry", c.incarnation)
		if got := len(f.held[len(f.held)-1]); got != c.held {
			t.Errorf("%s: got %d runs held, want %d", c.name, got, c.held)
		}
		if got := len(f.stops) > 0; got != c.stopped {
			t.Errorf("%s: got stopped %v, want %v", c.name, got, c.stopped)
		}
	}
	f := newFixture()
	f.start(firstRun, 3000)
	f.k.OnDisconnect(f.link)
	f.list(nil, EndedRun{1, firstRun, marshaler.StatusDone})
	f.connect("entry", 1)
	if f.latestStatus() != marshaler.StatusDone {
		t.Errorf("end while disconnected: got outcome %s on the next session, want done", f.latestStatus())
	}
}

// TestSessionSync guards against entries that never get outcomes because their session is not synced: that happens with
// the first hold response, also while starts are refused. Soak test seed 218 found the fault.
func TestSessionSync(t *testing.T) {
	cases := []struct {
		name   string
		refuse func(f *fixture)
	}{
		{"accepting", func(*fixture) {}}, {"withdrawn domain", func(f *fixture) { f.k.SetOffset(f.now, 5, true) }},
		{"stopping", func(f *fixture) { f.k.Drain(f.now) }},
	}
	for _, c := range cases {
		f := newFixture()
		f.k.Announce(f.now, Backend{ID: "i-2", StartTime: 10, Sequence: 1, Service: "svc", Capacity: marshaler.Resources{CPU: 10_000}})
		c.refuse(f)
		f.held = nil
		f.connect("entry", 1)
		if len(f.held) != 0 {
			t.Errorf("%s: got %d lists of runs before the first hold response, want 0", c.name, len(f.held))
		}
		f.list(nil)
		if len(f.held) != 1 {
			t.Errorf("%s: got %d lists of runs after it, want 1", c.name, len(f.held))
		}
	}
}

// TestForeignAnnouncements guards against announcements of other software that entries cannot decode.
func TestForeignAnnouncements(t *testing.T) {
	long := strings.Repeat("x", marshaler.MaxNameLen+1)
	cases := []struct {
		name string
		b    Backend
	}{
		{"no identifier", Backend{StartTime: 11}}, {"long identifier", Backend{ID: long, StartTime: 11}}, {"long service", Backend{ID: "i-2", StartTime: 11, Service: long}},
		{"long label", Backend{ID: "i-2", StartTime: 11, Labels: []string{long}}}, {"negative capacity", Backend{ID: "i-2", StartTime: 11, Capacity: marshaler.Resources{CPU: -1}}},
	}
	for _, c := range cases {
		f := newFixture()
		if f.k.Announce(f.now, c.b) || f.k.Backend().ID != "i-1" {
			t.Errorf("%s: got backend server %+v, want i-1 as before", c.name, f.k.Backend())
		}
	}
}

// TestReportedStarts guards against a placing entry that counts a start twice: as its own reservation and in the reduced
// free resources that the sidecar reports.
func TestReportedStarts(t *testing.T) {
	f := newFixture()
	var seen []string
	placing := &marshaler.Link{
		Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: "placing", Incarnation: 1}, Close: func(error) {},
		Send: func(m marshaler.Message) {
			if l, ok := m.(*marshaler.Load); ok {
				seen = append(seen, l.HandledStarts...)
			}
		},
	}
	f.k.OnConnect(f.now, placing)
	f.start(firstRun, 3000)
	f.advance(100)
	f.k.OnMessage(f.now, placing, &marshaler.LoadSubscription{Enabled: true}) // sent before the start
	if !slices.Equal(seen, []string{firstRun.Job}) {
		t.Errorf("got starts %v in the reports to a placing entry that did not request them, want %v", seen, []string{firstRun.Job})
	}
	seen = nil
	second := marshaler.RunKey{Job: "second", Attempt: 1}
	f.start(second, 3000)
	f.advance(HeartbeatInterval)
	if !slices.Equal(seen, []string{second.Job}) {
		t.Errorf("got starts %v in the reports to the placing entry, want %v", seen, []string{second.Job})
	}
}

// TestIdleSessions guards against a heartbeat rate that grows with entries times sidecars, and against a run whose entry
// times out late because its session was idle before.
func TestIdleSessions(t *testing.T) {
	f := newFixture()
	f.advance(marshaler.IdleHeartbeatInterval)
	before := f.loadReports
	for range 10 {
		f.k.OnMessage(f.now, f.link, &marshaler.Heartbeat{})
		f.advance(marshaler.IdleHeartbeatInterval)
	}
	if got := f.loadReports - before; got != 10 {
		t.Errorf("got %d reports in 10 idle periods, want 10", got)
	}
	f.advance(EntryTimeout)
	if f.closed != 0 {
		t.Errorf("got an idle session closed after %s without a message, want it open", EntryTimeout)
	}
	before = f.loadReports
	f.list(nil)
	f.start(firstRun, 3000)
	f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
	startedAt := f.now
	for len(f.stops) == 0 && f.now < startedAt+1000 {
		f.list([]RunProgress{{Run: firstRun, Percent: 100}})
		f.advance(25)
	}
	if got := f.now - startedAt; got < EntryTimeout || got > EntryTimeout+25 {
		t.Errorf("got a stop %s after the start, the last message, want %s", got, EntryTimeout)
	}
	if got := f.loadReports - before; got < 2 {
		t.Errorf("got %d reports while a run was active, want one per %s", got, HeartbeatInterval)
	}
}
