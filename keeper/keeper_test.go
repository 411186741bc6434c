package keeper

import (
	"slices"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// desk is a keeper with what it sends and orders.
type fixture struct {
	k           *Keeper
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
	d := &fixture{now: 1000}
	d.k = &Keeper{
		Start: func(s marshaler.Start) { d.starts = append(d.starts, s.Run) },
		Stop:  func(r marshaler.RunKey) { d.stops = append(d.stops, r) },
		Look:  func() {},
	}
	d.k.Announce(d.now, Backend{ID: "i-1", Born: 10, Sequence: 1, Service: "svc", Total: marshaler.Room{CPU: 10_000, MemoryMB: 100}})
	d.connect("entry", 1)
	d.list(nil)
	return d
}

func (d *fixture) connect(name string, incarnation uint64) {
	d.link = &marshaler.Link{
		Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: name, Incarnation: incarnation}, Close: func(error) { d.closed++ },
		Send: func(m marshaler.Message) {
			switch m := m.(type) {
			case *marshaler.Outcome:
				d.outcomes = append(d.outcomes, *m)
			case *marshaler.Held:
				d.held = append(d.held, m.Runs)
			case *marshaler.Load:
				d.loadReports++
			}
		},
	}
	d.k.OnUp(d.now, d.link)
}

func (d *fixture) list(running []Row, ended ...End) {
	h, _ := d.k.BeginHold(d.now)
	d.k.OnListing(d.now, Listing{Number: h.Number, Born: 10, Clock: int64(d.now), Running: running, Ended: ended})
}

// run ticks for a time, as a process does that is not paused.
func (d *fixture) advance(length timer.Millis) {
	for end := d.now + length; d.now < end; {
		d.now += 25
		d.k.Tick(d.now)
	}
}

func (d *fixture) start(r marshaler.RunKey, room int64) {
	d.k.OnMessage(d.now, d.link, &marshaler.Start{Run: r, Room: marshaler.Room{CPU: room}, Estimate: 100, NotAfter: int64(d.now) + 400})
}

func (d *fixture) latestStatus() marshaler.Status {
	if len(d.outcomes) == 0 {
		return 0
	}
	return d.outcomes[len(d.outcomes)-1].Status
}

var firstRun = marshaler.RunKey{Job: "job", Index: 0, Attempt: 1}

// TestOrders guards against starts that a sidecar must not pass on.
func TestStartAdmission(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(d *fixture)
		started bool
	}{
		{"sound", func(*fixture) {}, true},
		{"no room", func(d *fixture) { d.start(marshaler.RunKey{Job: "other", Attempt: 1}, 9000) }, false},
		{"room of what is being stopped", func(d *fixture) {
			other := marshaler.RunKey{Job: "other", Attempt: 1}
			d.start(other, 9000)
			d.k.OnStarted(d.now, Started{Run: other, Status: StartDone})
			d.k.OnMessage(d.now, d.link, &marshaler.Stop{Run: other})
			d.k.OnStopped(d.now, other, true, false)
		}, false},
		{"room of what has ended", func(d *fixture) {
			other := marshaler.RunKey{Job: "other", Attempt: 1}
			d.start(other, 9000)
			d.k.OnStarted(d.now, Started{Run: other, Status: StartDone})
			d.list(nil, End{1, other, marshaler.StatusDone})
		}, true},
		{"task runs already", func(d *fixture) { d.start(marshaler.RunKey{Job: "job", Index: 0, Attempt: 3}, 100) }, false},
		{"draining", func(d *fixture) {
			d.k.Announce(d.now, Backend{ID: "i-1", Born: 10, Sequence: 2, Service: "svc", Total: marshaler.Room{CPU: 10_000}, Draining: true})
		}, false},
		{"late announcement of before the draining", func(d *fixture) {
			d.k.Announce(d.now, Backend{ID: "i-1", Born: 10, Sequence: 5, Service: "svc", Total: marshaler.Room{CPU: 10_000}, Draining: true})
			d.k.Announce(d.now, Backend{ID: "i-1", Born: 10, Sequence: 4, Service: "svc", Total: marshaler.Room{CPU: 10_000}})
		}, false},
		{"announcement of an earlier life", func(d *fixture) {
			d.k.Announce(d.now, Backend{ID: "i-0", Born: 9, Sequence: 50, Service: "svc", Draining: true})
		}, true},
		{"deregistered", func(d *fixture) { d.k.Leaves(d.now, "i-1") }, false},
		{"withdrawn domain", func(d *fixture) { d.k.SetOffset(d.now, 5, true) }, false},
		{"domain is back", func(d *fixture) { d.k.SetOffset(d.now, 5, true); d.k.SetOffset(d.now, 6, false) }, true},
		{"stopping", func(d *fixture) { d.k.Leave(d.now) }, false},
		{"new life without a listing", func(d *fixture) {
			d.k.Announce(d.now, Backend{ID: "i-2", Born: 11, Sequence: 1, Service: "svc", Total: marshaler.Room{CPU: 10_000}})
		}, false},
		{"one lost answer", func(d *fixture) { d.now += 100; d.k.OnHoldFailed(d.now, false, "timeout") }, true},
		{"silent", func(d *fixture) { d.now += 500; d.k.OnHoldFailed(d.now, false, "timeout") }, false},
		{"no listener", func(d *fixture) { d.k.OnHoldFailed(d.now, true, "refused") }, false},
		{"strangers run", func(d *fixture) {
			d.k.Announce(d.now, Backend{ID: "i-2", Born: 10, Sequence: 1, Service: "svc", Total: marshaler.Room{CPU: 10_000}})
			d.list([]Row{{Run: marshaler.RunKey{Job: "stranger", Attempt: 1}}})
		}, false},
	}
	for _, c := range cases {
		d := newFixture()
		c.prepare(d)
		before := len(d.starts)
		d.start(firstRun, 3000)
		if got := len(d.starts) > before; got != c.started {
			t.Errorf("%s: got started %v, want %v", c.name, got, c.started)
		}
		if !c.started && d.latestStatus() != marshaler.StatusRefused {
			t.Errorf("%s: got outcome %s, want refused", c.name, d.latestStatus())
		}
	}
}

// TestEnds guards against outcomes that are reported before they are certain.
func TestRunEnds(t *testing.T) {
	row := []Row{{Run: firstRun, Percent: 10}}
	unknown := Started{Run: firstRun, Status: StartUnknown}
	done := Started{Run: firstRun, Status: StartDone}
	cases := []struct {
		name   string
		events func(d *fixture)
		want   marshaler.Status // 0 while the run may go on
	}{
		{"refused", func(d *fixture) { d.k.OnStarted(d.now, Started{Run: firstRun, Status: StartRefused}) }, marshaler.StatusRefused},
		{"old", func(d *fixture) { d.k.OnStarted(d.now, Started{Run: firstRun, Status: StartOld}) }, marshaler.StatusOld},
		{"no answer", func(d *fixture) { d.k.OnStarted(d.now, unknown) }, 0},
		{"no answer, listed", func(d *fixture) { d.list(row); d.k.OnStarted(d.now, unknown) }, 0},
		{"no answer, not listed before the stop", func(d *fixture) { d.k.OnStarted(d.now, unknown); d.list(nil) }, 0},
		{"no answer, stopped, not listed", func(d *fixture) {
			d.k.OnStarted(d.now, unknown)
			d.k.OnStopped(d.now, firstRun, true, false)
			d.list(nil)
		}, marshaler.StatusRefused},
		{"no answer, stopped, listed", func(d *fixture) {
			d.k.OnStarted(d.now, unknown)
			d.k.OnStopped(d.now, firstRun, true, false)
			d.list(row)
		}, 0},
		{"no answer to the stop either", func(d *fixture) {
			d.k.OnStarted(d.now, unknown)
			d.k.OnStopped(d.now, firstRun, false, false)
			d.list(nil)
		}, 0},
		{"no answer, no listener", func(d *fixture) { d.k.OnStarted(d.now, unknown); d.k.OnStopped(d.now, firstRun, false, true) }, marshaler.StatusLost},
		{"done", func(d *fixture) { d.k.OnStarted(d.now, done); d.list(nil, End{1, firstRun, marshaler.StatusDone}) }, marshaler.StatusDone},
		{"done before the answer to the start", func(d *fixture) { d.list(nil, End{1, firstRun, marshaler.StatusDone}) }, marshaler.StatusDone},
		{"end of an earlier attempt", func(d *fixture) {
			d.k.OnStarted(d.now, done)
			d.list(row, End{1, marshaler.RunKey{Job: "job"}, marshaler.StatusDone})
		}, 0},
		{"stopped by the entry", func(d *fixture) {
			d.k.OnStarted(d.now, done)
			d.k.OnMessage(d.now, d.link, &marshaler.Stop{Run: firstRun})
		}, 0},
		{"stopped and listed as such", func(d *fixture) {
			d.k.OnStarted(d.now, done)
			d.k.OnMessage(d.now, d.link, &marshaler.Stop{Run: firstRun})
			d.list(nil, End{1, firstRun, marshaler.StatusStopped})
		}, marshaler.StatusStopped},
		{"restart of a listed run", func(d *fixture) { d.list(row); d.k.Announce(d.now, Backend{ID: "i-1", Born: 11, Service: "svc"}) }, marshaler.StatusLost},
		{"restart around the start", func(d *fixture) {
			d.k.OnStarted(d.now, done)
			d.k.Announce(d.now, Backend{ID: "i-1", Born: 11, Service: "svc"})
		}, 0},
		{"no listener, listed run", func(d *fixture) { d.list(row); d.k.OnHoldFailed(d.now, true, "refused") }, marshaler.StatusLost},
		{"no listener, order under way", func(d *fixture) { d.k.OnHoldFailed(d.now, true, "refused") }, 0},
		{"not listed any more", func(d *fixture) { d.k.OnStarted(d.now, done); d.list(row); d.list(nil) }, marshaler.StatusLost},
		{"no progress", func(d *fixture) {
			d.k.OnStarted(d.now, done)
			d.list(row)
			d.now += 200
			d.list(row)
			d.list(nil, End{1, firstRun, marshaler.StatusStopped})
		}, marshaler.StatusStalled},
	}
	for _, c := range cases {
		d := newFixture()
		d.start(firstRun, 3000)
		c.events(d)
		if got := d.latestStatus(); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

// TestVouch guards against runs that outlive their entry for longer than a caller waits before it sends a job again.
func TestEntryTimeout(t *testing.T) {
	const resend = 1300 * timer.Millisecond
	const stopTime = 50
	if sum := VouchLimit + LeaseTerm*102/100 + stopTime; sum >= resend {
		t.Errorf("got %s from the loss of an entry to the end of its runs, want less than %s", sum, resend)
	}
	d := newFixture()
	d.start(firstRun, 3000)
	d.k.OnStarted(d.now, Started{Run: firstRun, Status: StartDone})
	d.k.OnDown(d.link)
	for range 17 {
		d.now += 25
		d.k.Tick(d.now)
	}
	if len(d.stops) != 0 {
		t.Errorf("got %d stops %d ms after the loss, want 0 before %s", len(d.stops), d.now-1000, VouchLimit)
	}
	d.now += 50
	d.k.Tick(d.now)
	if !slices.Contains(d.stops, firstRun) {
		t.Errorf("got stops %v %d ms after the loss, want %v", d.stops, d.now-1000, firstRun)
	}
}

// TestPause guards against runs that are given up because this process stood still and could not hear their entries, and
// against a lease that is extended for runs that nobody vouches for.
func TestPause(t *testing.T) {
	cases := []struct {
		name    string
		pause   timer.Millis
		heard   timer.Millis // after the pause; 0 for never
		stopped timer.Millis // after the pause; 0 for never
	}{
		{"entry is there", 500, 10, 0},
		{"entry comes back with a new session", 500, 150, 0},
		{"entry is lost", 500, 0, resumeGracePeriod},
		{"not paused", 25, 0, VouchLimit - 25},
	}
	for _, c := range cases {
		d := newFixture()
		looks := 0
		d.k.Look = func() { looks++ }
		d.advance(25)
		d.start(firstRun, 3000)
		d.k.OnMessage(d.now, d.link, &marshaler.Beat{})
		d.k.OnStarted(d.now, Started{Run: firstRun, Status: StartDone})
		d.list([]Row{{Run: firstRun}})
		d.now += c.pause
		resumed := d.now
		var stopped timer.Millis
		for d.now < resumed+1000 {
			silent := c.heard == 0 || d.now < resumed+c.heard
			h, _ := d.k.BeginHold(d.now)
			if extended := h.Until > 0; silent && c.pause >= VouchLimit && extended && len(d.stops) == 0 {
				t.Fatalf("%s: got a lease to %d while the entry is silent, want none", c.name, h.Until)
			}
			if !silent {
				d.k.OnMessage(d.now, d.link, &marshaler.Beat{})
			}
			d.k.Tick(d.now)
			if len(d.stops) > 0 && stopped == 0 {
				stopped = max(d.now-resumed, 1)
			}
			d.now += 25
		}
		if diff := stopped - c.stopped; diff < 0 || diff > 25 || c.stopped == 0 && stopped != 0 {
			t.Errorf("%s: got a stop after %d ms, want %d", c.name, stopped, c.stopped)
		}
		if want := c.heard > 0; (looks > 0) != want {
			t.Errorf("%s: got %d holds out of turn, want some: %v", c.name, looks, want)
		}
	}
}

// TestSessions guards against entries that do not learn what became of their runs.
func TestSessions(t *testing.T) {
	cases := []struct {
		name        string
		incarnation uint64
		pause       timer.Millis
		held        int // runs in the list on the new session
		stopped     bool
	}{
		{"same life at once", 1, 50, 1, false},
		{"same life after its runs were stopped", 1, 600, 1, true},
		{"another life", 2, 50, 0, true},
	}
	for _, c := range cases {
		d := newFixture()
		d.start(firstRun, 3000)
		d.k.OnStarted(d.now, Started{Run: firstRun, Status: StartDone})
		d.list([]Row{{Run: firstRun}})
		d.k.OnDown(d.link)
		d.advance(c.pause)
		d.connect("entry", c.incarnation)
		if got := len(d.held[len(d.held)-1]); got != c.held {
			t.Errorf("%s: got %d runs held, want %d", c.name, got, c.held)
		}
		if got := len(d.stops) > 0; got != c.stopped {
			t.Errorf("%s: got stopped %v, want %v", c.name, got, c.stopped)
		}
	}
	d := newFixture()
	d.start(firstRun, 3000)
	d.k.OnDown(d.link)
	d.list(nil, End{1, firstRun, marshaler.StatusDone})
	d.connect("entry", 1)
	if d.latestStatus() != marshaler.StatusDone {
		t.Errorf("end without a session: got outcome %s on the next one, want done", d.latestStatus())
	}
}

// TestGreeting guards against entries that never get outcomes: they are greeted with the first listing, also while no
// starts are taken. Found by seed 218 of the soak.
func TestSessionSync(t *testing.T) {
	cases := []struct {
		name   string
		refuse func(d *fixture)
	}{
		{"accepting", func(*fixture) {}}, {"withdrawn domain", func(d *fixture) { d.k.SetOffset(d.now, 5, true) }},
		{"stopping", func(d *fixture) { d.k.Leave(d.now) }},
	}
	for _, c := range cases {
		d := newFixture()
		d.k.Announce(d.now, Backend{ID: "i-2", Born: 10, Sequence: 1, Service: "svc", Total: marshaler.Room{CPU: 10_000}})
		c.refuse(d)
		d.held = nil
		d.connect("entry", 1)
		if len(d.held) != 0 {
			t.Errorf("%s: got %d greetings before the first listing, want 0", c.name, len(d.held))
		}
		d.list(nil)
		if len(d.held) != 1 {
			t.Errorf("%s: got %d greetings after it, want 1", c.name, len(d.held))
		}
	}
}

// TestForeignAnnouncements guards against announcements of other writers that entries cannot read.
func TestForeignAnnouncements(t *testing.T) {
	long := strings.Repeat("x", marshaler.MaxName+1)
	cases := []struct {
		name string
		b    Backend
	}{
		{"no identifier", Backend{Born: 11}}, {"long identifier", Backend{ID: long, Born: 11}}, {"long service", Backend{ID: "i-2", Born: 11, Service: long}},
		{"long label", Backend{ID: "i-2", Born: 11, Labels: []string{long}}}, {"negative room", Backend{ID: "i-2", Born: 11, Total: marshaler.Room{CPU: -1}}},
	}
	for _, c := range cases {
		d := newFixture()
		if d.k.Announce(d.now, c.b) || d.k.Backend().ID != "i-1" {
			t.Errorf("%s: got backend server %+v, want i-1 as before", c.name, d.k.Backend())
		}
	}
}

// TestSeen guards against a placing entry that counts a start twice: as reserved and as missing from the reported room.
func TestReportedStarts(t *testing.T) {
	d := newFixture()
	var seen []string
	placing := &marshaler.Link{
		Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: "placing", Incarnation: 1}, Close: func(error) {},
		Send: func(m marshaler.Message) {
			if l, ok := m.(*marshaler.Load); ok {
				seen = append(seen, l.Seen...)
			}
		},
	}
	d.k.OnUp(d.now, placing)
	d.start(firstRun, 3000)
	d.advance(100)
	d.k.OnMessage(d.now, placing, &marshaler.Subscribe{On: true}) // it was sent before the start
	if !slices.Equal(seen, []string{firstRun.Job}) {
		t.Errorf("got starts %v in the reports to an entry that places and did not order them, want %v", seen, []string{firstRun.Job})
	}
	seen = nil
	second := marshaler.RunKey{Job: "second", Attempt: 1}
	d.start(second, 3000)
	d.advance(BeatPeriod)
	if !slices.Equal(seen, []string{second.Job}) {
		t.Errorf("got starts %v in the reports to an entry that places, want %v", seen, []string{second.Job})
	}
}

// TestIdleSessions guards against heartbeats whose number grows with entries times sidecars, and against a run whose entry
// is lost late because its session was idle before.
func TestIdleSessions(t *testing.T) {
	d := newFixture()
	d.advance(marshaler.IdleBeatPeriod)
	before := d.loadReports
	for range 10 {
		d.k.OnMessage(d.now, d.link, &marshaler.Beat{})
		d.advance(marshaler.IdleBeatPeriod)
	}
	if got := d.loadReports - before; got != 10 {
		t.Errorf("got %d reports in 10 idle periods, want 10", got)
	}
	d.advance(VouchLimit)
	if d.closed != 0 {
		t.Errorf("got the end of an idle session after %s without a sign of life, want none", VouchLimit)
	}
	before = d.loadReports
	d.start(firstRun, 3000)
	d.k.OnStarted(d.now, Started{Run: firstRun, Status: StartDone})
	ordered := d.now
	for len(d.stops) == 0 && d.now < ordered+1000 {
		d.advance(25)
	}
	if got := d.now - ordered; got < VouchLimit || got > VouchLimit+25 {
		t.Errorf("got a stop %s after the order, the last sign of life, want %s", got, VouchLimit)
	}
	if got := d.loadReports - before; got < 2 {
		t.Errorf("got %d reports while a run was there, want one each %s", got, BeatPeriod)
	}
}
