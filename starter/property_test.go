package starter

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// A fixed seed makes runs repeatable; -rapid.seed tries others.
var _ = flag.Set("rapid.seed", "1")

// world feeds a core with drawn messages and keeps its own account of what the core may do.
type world struct {
	*rapid.T
	core              Core
	sessions          map[uint64]*peer
	roster            encoder.Roster // the newest that the core was told
	known             map[encoder.Member]bool
	now, lease        timer.Millis // lease is its latest possible end
	last, offset      uint64       // newest session; newest configuration offset that the core was told
	outage            map[encoder.Member]timer.Millis
	word              map[encoder.Member]statement
	leaving           bool
	running, canceled map[encoder.TaskKey]bool
	ends              map[encoder.TaskKey]encoder.Status
	ran               map[encoder.TaskKey]int // runs that were not reported as not started
	waiting           map[encoder.TaskKey]delivery
}

// peer is an entry with a session.
type peer struct {
	id         uint64
	member     encoder.Member
	ping       sentPing // the newest
	held, owed uint32   // credits, and those of them that the answer to a Recall will return
	asked      bool     // by a Recall
}

func (p *peer) void() { p.held, p.owed, p.asked = 0, 0, false }

// delivery is a start that the core was given.
type delivery struct {
	session  uint64
	start    encoder.Start
	deadline timer.Millis
}

// The default of 100 sequences is too few: some faults show only in one of thousands. The command line goes first.
func init() { _ = flag.Set("rapid.checks", "3000") }

// TestSafety guards the start gate over drawn sequences of messages, ends, lost sessions and pauses: a second run of a
// key, a run against any condition, a start without an answer or with two, and too many credits all fail it.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			T: t, core: Core{ID: idAt(roster(5, five...), task(0)), Slots: 2, Extra: 1}, now: 1000,
			sessions: map[uint64]*peer{}, known: map[encoder.Member]bool{}, outage: map[encoder.Member]timer.Millis{}, word: map[encoder.Member]statement{},
			canceled: map[encoder.TaskKey]bool{}, ran: map[encoder.TaskKey]int{}, running: map[encoder.TaskKey]bool{},
			ends: map[encoder.TaskKey]encoder.Status{}, waiting: map[encoder.TaskKey]delivery{},
		}
		w.learn(roster(5, five...))
		for _, m := range five {
			w.connect(m)
		}
		actions := []func(){w.start, w.start, w.start, w.start, w.pong, w.pong, w.pong, w.end, w.end, w.pass, w.control, w.change}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action")()
			w.check()
		}
	})
}

func (w *world) odds(percent int, label string) bool {
	return rapid.IntRange(1, 100).Draw(w.T, label) <= percent
}

// session returns any session, or nil when there is none.
func (w *world) session() *peer {
	if len(w.sessions) == 0 {
		return nil
	}
	return w.sessions[rapid.SampledFrom(slices.Sorted(maps.Keys(w.sessions))).Draw(w.T, "session")]
}

func (w *world) sessionOf(m encoder.Member) *peer {
	for _, p := range w.sessions {
		if p.member == m {
			return p
		}
	}
	return nil
}

func (w *world) owner(t encoder.TaskKey) encoder.Member {
	o, _ := elector.Owner(w.roster, t.Job)
	return o.Member
}

// learn notes a roster that the core is told.
func (w *world) learn(r encoder.Roster) {
	if r.Epoch <= w.roster.Epoch {
		return
	}
	w.roster = r
	for _, p := range w.sessions {
		if e, ok := elector.Find(r, p.member.ID); !ok || e.Member != p.member {
			p.void()
		}
	}
}

func (w *world) connect(m encoder.Member) {
	if old := w.sessionOf(m); old != nil {
		w.lose(old)
	}
	w.last++
	w.sessions[w.last], w.known[m] = &peer{id: w.last, member: m}, true
	w.apply(w.core.Connected(w.now, w.last, &encoder.HelloAck{Member: m, Roster: w.roster}), nil)
}

func (w *world) lose(p *peer) {
	delete(w.sessions, p.id)
	maps.DeleteFunc(w.waiting, func(_ encoder.TaskKey, d delivery) bool { return d.session == p.id })
}

// start delivers a start: mostly a proper one by the owner.
func (w *world) start() {
	t := task(rapid.IntRange(0, 23).Draw(w.T, "task"))
	s := w.sessionOf(w.owner(t))
	if s == nil || w.odds(10, "any session") {
		if s = w.session(); s == nil {
			return
		}
	}
	m := encoder.Start{Task: t, Epoch: w.roster.Epoch, Owner: s.member}
	m.Once, m.Claimed = w.odds(25, "once"), w.odds(30, "claimed")
	if w.odds(10, "other epoch") {
		m.Epoch = rapid.Uint64Range(3, w.roster.Epoch+2).Draw(w.T, "epoch")
	}
	d := delivery{session: s.id, start: m}
	if w.odds(20, "deadline") {
		m.Deadline = timer.Millis(rapid.SampledFrom([]int{-1, 1, 50, 500}).Draw(w.T, "left"))
		d.deadline = w.now + m.Deadline
	}
	_, waits := w.waiting[t]
	if w.ran[t] == 0 && !waits && s.held > 0 {
		s.held--
		s.owed -= min(s.owed, 1) // it was sent before the Recall came
	}
	w.apply(w.core.Receive(w.now, s.id, &m), &d)
}

func (w *world) pong() {
	s := w.session()
	if s == nil || s.ping.sequence == 0 {
		return
	}
	m := encoder.Pong{
		Sequence: s.ping.sequence, Confirmed: !w.odds(15, "unconfirmed"), Age: timer.Millis(rapid.IntRange(0, 900).Draw(w.T, "age")),
		Roster: w.roster, ConfigOffset: max(w.offset, 1) - 1 + rapid.Uint64Range(0, 2).Draw(w.T, "offset"),
		DomainInForce: !w.odds(15, "withdrawn"), LogReachable: !w.odds(20, "outage"),
	}
	if w.odds(15, "next epoch") {
		m.Roster = w.nextRoster()
	} else if w.odds(10, "old epoch") {
		m.Roster = roster(4, five[:3]...)
	}
	from, sent := s.member, s.ping.at
	w.learn(m.Roster)
	w.offset = max(w.offset, m.ConfigOffset)
	if m.Sequence > w.word[from].sequence {
		w.word[from] = statement{m.Sequence, m.ConfigOffset, m.DomainInForce}
	}
	if m.Confirmed && (m.LogReachable || m.ConfigOffset == w.offset && m.Roster.Epoch == w.roster.Epoch) {
		w.lease = max(w.lease, sent-m.Age+leaseTime)
		w.outage[from] = max(w.outage[from], sent-m.Age+leaseTime)
		if m.LogReachable {
			w.outage[from] = 0
		}
	}
	w.apply(w.core.Receive(w.now, s.id, &m), nil)
}

// nextRoster removes an entry, or adds a new incarnation of one. A removed incarnation never comes back.
func (w *world) nextRoster() encoder.Roster {
	m := encoder.Member{ID: rapid.SampledFrom(five).Draw(w.T, "entry").ID, Incarnation: w.roster.Epoch}
	next := roster(w.roster.Epoch + 1)
	for _, e := range w.roster.Entries {
		if e.Member.ID != m.ID {
			next.Entries = append(next.Entries, e)
		}
	}
	if len(next.Entries) < 3 || w.odds(60, "add") {
		next.Entries = append(next.Entries, encoder.RosterEntry{Member: m})
	}
	return next
}

func (w *world) end() {
	for i := range 24 {
		if t := task((i + 5) % 24); w.running[t] {
			status := encoder.Status(rapid.IntRange(int(encoder.StatusDone), int(encoder.StatusNotStarted)).Draw(w.T, "status"))
			delete(w.running, t)
			w.ends[t] = status
			if status == encoder.StatusNotStarted {
				w.ran[t] = 0
			}
			w.apply(w.core.Ended(w.now, t, Outcome{Status: status, Body: fmt.Append(nil, t)}), nil)
			return
		}
	}
}

// pass lets time pass; some steps are pauses of the process.
func (w *world) pass() {
	w.now += timer.Millis(rapid.SampledFrom([]int{1, 20, 100, 300, 300, 900, 2500}).Draw(w.T, "ms"))
	w.apply(w.core.Tick(w.now), nil)
}

// control delivers the other messages of an entry.
func (w *world) control() {
	t := task(rapid.IntRange(0, 23).Draw(w.T, "task"))
	s := w.sessionOf(w.owner(t))
	if s == nil {
		return
	}
	var m encoder.Message
	switch rapid.IntRange(0, 4).Draw(w.T, "message") {
	case 0:
		for k, d := range w.waiting {
			d.start.Claimed = d.start.Claimed || k.Job == t.Job
			w.waiting[k] = d
		}
		m = &encoder.Claimed{Job: t.Job}
	case 1:
		w.canceled[t] = true
		m = &encoder.Cancel{Tasks: []encoder.TaskKey{t}}
	case 2:
		m = &encoder.Collected{Tasks: []encoder.TaskKey{t}}
	case 3:
		r := w.nextRoster()
		w.learn(r)
		m = &encoder.Census{Roster: r}
	case 4:
		n := s.owed
		if !s.asked {
			n = min(s.held, 1)
		}
		s.held, s.owed, s.asked = s.held-n, 0, false
		m = &encoder.Release{Credits: n}
	}
	w.apply(w.core.Receive(w.now, s.id, m), nil)
}

// change replaces or ends a session, or changes whether the sidecar leaves.
func (w *world) change() {
	switch rapid.IntRange(0, 3).Draw(w.T, "change") {
	case 0:
		if s := w.session(); s != nil {
			w.lose(s)
			w.apply(w.core.Disconnected(w.now, s.id), nil)
		}
	case 1:
		w.leaving = !w.leaving
		for _, p := range w.sessions {
			p.void()
		}
		w.apply(w.core.SetLeaving(w.now, w.leaving), nil)
	default:
		for _, e := range w.roster.Entries {
			if w.sessionOf(e.Member) == nil {
				w.connect(e.Member)
			}
		}
	}
}

// apply accounts for the effects of a call. d is the start that the call delivered, or nil.
func (w *world) apply(effects []Effect, d *delivery) {
	answers := 0
	for _, e := range effects {
		p := w.sessions[e.Session]
		switch m := e.Message.(type) {
		case *encoder.Ping:
			p.ping = sentPing{m.Sequence, w.now}
		case *encoder.Grant:
			p.held += m.Credits
		case *encoder.Recall:
			p.owed, p.asked = m.Credits, true
		case *encoder.Result:
			p.held += m.Credits
			if m.Status != w.ends[m.Task] || m.Status != encoder.StatusNotStarted && string(m.Body) != fmt.Sprint(m.Task) {
				w.Fatalf("the result of %v is %v %s, want %v", m.Task, m.Status, m.Body, w.ends[m.Task])
			}
			if d != nil && m.Task == d.start.Task {
				answers++
			}
		case *encoder.Refusal:
			p.held += m.Credits
			if d != nil && m.Task == d.start.Task && e.Session == d.session {
				answers++
			} else if was, ok := w.waiting[m.Task]; !ok || was.session != e.Session {
				w.Fatalf("refusal %d of %v on session %d answers no start", m.Reason, m.Task, e.Session)
			} else {
				delete(w.waiting, m.Task)
			}
		}
		if e.Kind == EffectRun {
			was, ok := w.waiting[e.Run.Task]
			if !ok && d != nil && d.start.Task == e.Run.Task {
				was, ok = *d, true
				answers++
			}
			if !ok {
				w.Fatalf("run of %v without a start", e.Run.Task)
			}
			delete(w.waiting, e.Run.Task)
			w.ran[e.Run.Task]++
			w.running[e.Run.Task] = true
			w.checkRun(e.Run, was)
		}
	}
	if d != nil && answers == 0 {
		w.waiting[d.start.Task] = *d
	} else if d != nil && answers != 1 {
		w.Fatalf("start of %v has %d answers", d.start.Task, answers)
	}
}

func (w *world) checkRun(r Run, d delivery) {
	inForce := true
	for _, e := range w.core.entries {
		word := w.word[e.member]
		inForce = inForce && (word.sequence == 0 || word.offset != w.offset || word.inForce)
	}
	announced := true
	for _, e := range w.roster.Entries {
		announced = announced && w.known[e.Member]
	}
	for text, broken := range map[string]bool{
		"the task ran before":                w.ran[r.Task] != 1,
		"the lease has ended":                w.now >= w.lease || r.NotAfter > w.lease,
		"the domain is withdrawn":            !inForce,
		"the epoch is stale":                 d.start.Epoch != w.roster.Epoch,
		"the sender is not the owner":        w.owner(r.Task) != d.start.Owner || w.sessions[d.session].member != d.start.Owner,
		"the sidecar is leaving":             w.leaving,
		"an entry does not know the sidecar": !announced,
		"the deadline has passed":            d.deadline != 0 && (w.now >= d.deadline || r.NotAfter > d.deadline),
		"the task is canceled":               w.canceled[r.Task],
		"the claim is missing":               d.start.Once && !d.start.Claimed && w.now >= w.outage[d.start.Owner],
	} {
		if broken {
			w.Fatalf("run of %v at %v although %s", r.Task, w.now, text)
		}
	}
}

func (w *world) check() {
	held := uint32(0)
	for _, p := range w.sessions {
		held += p.held
	}
	got := fmt.Sprint(len(w.core.running), len(w.core.waiting), held)
	if want := fmt.Sprint(len(w.running), len(w.waiting), w.core.committed()-uint32(len(w.running)+len(w.waiting))); got != want {
		w.Fatalf("running, waiting and credits: got %s, want %s", got, want)
	}
	if n := held + uint32(len(w.running)+len(w.waiting)); n > 3 || len(w.running) > 2 {
		w.Fatalf("%d credits and tasks are committed, %d of them run", n, len(w.running))
	}
}
