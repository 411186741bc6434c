package starter

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// world feeds a core with drawn messages and keeps its own account of what the core may do.
type world struct {
	*rapid.T
	core     Core
	sessions map[uint64]encoder.Member
	last     uint64
	offset   uint64              // the newest that the core was told
	pinged   map[uint64]sentPing // session to newest ping

	roster   encoder.Roster // the newest that the core was told
	known    map[encoder.Member]bool
	now      timer.Millis
	lease    timer.Millis // its latest possible end
	outage   map[encoder.Member]timer.Millis
	word     map[encoder.Member]statement
	leaving  bool
	canceled map[encoder.TaskKey]bool
	running  map[encoder.TaskKey]bool
	ends     map[encoder.TaskKey]encoder.Status
	ran      map[encoder.TaskKey]int // runs that were not reported as not started
	waiting  map[encoder.TaskKey]delivery
	held     map[uint64]uint32 // credits by session
	asked    map[uint64]uint32 // of those, what the answer to a Recall will return
}

// delivery is a start that the core was given.
type delivery struct {
	session  uint64
	start    encoder.Start
	deadline timer.Millis
	claimed  bool
}

// The default of 100 sequences is too few: some faults show only in one of thousands. The command line goes first.
func init() { _ = flag.Set("rapid.checks", "3000") }

// TestSafety guards the start gate over drawn sequences of messages, ends, lost sessions and pauses: a second run of a
// key, a run against any condition, a start without an answer or with two, and too many credits all fail it.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			T: t, now: 1000, sessions: map[uint64]encoder.Member{}, pinged: map[uint64]sentPing{},
			known: map[encoder.Member]bool{}, outage: map[encoder.Member]timer.Millis{}, word: map[encoder.Member]statement{},
			canceled: map[encoder.TaskKey]bool{}, ran: map[encoder.TaskKey]int{}, running: map[encoder.TaskKey]bool{},
			ends:    map[encoder.TaskKey]encoder.Status{},
			waiting: map[encoder.TaskKey]delivery{}, held: map[uint64]uint32{}, asked: map[uint64]uint32{},
		}
		w.core = Core{ID: idAt(roster(5, five...), task(0)), Slots: 2, Extra: 1}
		w.learn(roster(5, five...))
		for _, m := range five {
			w.connect(m)
		}
		actions := []func(){
			w.start, w.start, w.start, w.start, w.pong, w.pong, w.pong, w.end, w.end, w.pass, w.control, w.change,
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action")()
			w.check()
		}
	})
}

func (w *world) odds(percent int, label string) bool {
	return rapid.IntRange(1, 100).Draw(w.T, label) <= percent
}

func (w *world) task() encoder.TaskKey { return task(rapid.IntRange(0, 23).Draw(w.T, "task")) }

func (w *world) session() (s uint64) {
	all := make([]uint64, 0, len(w.sessions))
	for n := range w.sessions {
		all = append(all, n)
	}
	slices.Sort(all)
	if len(all) > 0 {
		s = rapid.SampledFrom(all).Draw(w.T, "session")
	}
	return s
}

func (w *world) sessionOf(m encoder.Member) (s uint64) {
	for n, other := range w.sessions {
		if other == m {
			s = n
		}
	}
	return s
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
	for s, m := range w.sessions {
		if e, ok := elector.Find(r, m.ID); !ok || e.Member != m {
			delete(w.held, s)
			delete(w.asked, s)
		}
	}
}

func (w *world) connect(m encoder.Member) {
	if old := w.sessionOf(m); old != 0 {
		w.lose(old)
	}
	w.last++
	w.sessions[w.last], w.known[m] = m, true
	w.apply(w.core.Connected(w.now, w.last, &encoder.HelloAck{Member: m, Roster: w.roster}), nil)
}

func (w *world) lose(s uint64) {
	delete(w.sessions, s)
	delete(w.held, s)
	delete(w.asked, s)
	for k, d := range w.waiting {
		if d.session == s {
			delete(w.waiting, k)
		}
	}
}

// start delivers a start: mostly a proper one by the owner.
func (w *world) start() {
	t := w.task()
	s := w.sessionOf(w.owner(t))
	if s == 0 || w.odds(10, "any session") {
		s = w.session()
	}
	m := encoder.Start{Task: t, Epoch: w.roster.Epoch, Owner: w.sessions[s]}
	m.Once, m.Claimed = w.odds(25, "once"), w.odds(30, "claimed")
	if w.odds(10, "other epoch") {
		m.Epoch = rapid.Uint64Range(3, w.roster.Epoch+2).Draw(w.T, "epoch")
	}
	d := delivery{session: s, start: m, claimed: m.Claimed}
	if w.odds(20, "deadline") {
		m.Deadline = timer.Millis(rapid.SampledFrom([]int{-1, 1, 50, 500}).Draw(w.T, "left"))
		d.deadline = w.now + m.Deadline
	}
	_, waits := w.waiting[t]
	if w.ran[t] == 0 && !waits && w.held[s] > 0 {
		w.held[s]--
		if w.asked[s] > 0 {
			w.asked[s]-- // it was sent before the Recall came
		}
	}
	if s != 0 {
		w.apply(w.core.Receive(w.now, s, &m), &d)
	}
}

func (w *world) pong() {
	s := w.session()
	m := encoder.Pong{
		Sequence: w.pinged[s].sequence, Confirmed: !w.odds(15, "unconfirmed"), Age: timer.Millis(rapid.IntRange(0, 900).Draw(w.T, "age")),
		Roster: w.roster, ConfigOffset: max(w.offset, 1) - 1 + rapid.Uint64Range(0, 2).Draw(w.T, "offset"),
		DomainInForce: !w.odds(15, "withdrawn"), LogReachable: !w.odds(20, "outage"),
	}
	if s == 0 || m.Sequence == 0 {
		return
	}
	if w.odds(15, "next epoch") {
		m.Roster = w.nextRoster()
	} else if w.odds(10, "old epoch") {
		m.Roster = roster(4, five[:3]...)
	}
	from, sent := w.sessions[s], w.pinged[s].at
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
	w.apply(w.core.Receive(w.now, s, &m), nil)
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
	t := w.task()
	s := w.sessionOf(w.owner(t))
	if s == 0 {
		return
	}
	tasks := []encoder.TaskKey{t}
	switch rapid.IntRange(0, 4).Draw(w.T, "message") {
	case 0:
		for k, d := range w.waiting {
			d.claimed = d.claimed || k.Job == t.Job
			w.waiting[k] = d
		}
		w.apply(w.core.Receive(w.now, s, &encoder.Claimed{Job: t.Job}), nil)
	case 1:
		w.canceled[t] = true
		w.apply(w.core.Receive(w.now, s, &encoder.Cancel{Tasks: tasks}), nil)
	case 2:
		w.apply(w.core.Receive(w.now, s, &encoder.Collected{Tasks: tasks}), nil)
	case 3:
		r := w.nextRoster()
		w.learn(r)
		w.apply(w.core.Receive(w.now, s, &encoder.Census{Roster: r}), nil)
	case 4:
		n, asked := w.asked[s]
		if !asked {
			n = min(w.held[s], 1)
		}
		delete(w.asked, s)
		w.held[s] -= n
		w.apply(w.core.Receive(w.now, s, &encoder.Release{Credits: n}), nil)
	}
}

// change replaces or ends a session, or changes whether the sidecar leaves.
func (w *world) change() {
	switch rapid.IntRange(0, 3).Draw(w.T, "change") {
	case 0:
		if s := w.session(); s != 0 {
			w.lose(s)
			w.apply(w.core.Disconnected(w.now, s), nil)
		}
	case 1:
		w.leaving = !w.leaving
		clear(w.held)
		clear(w.asked)
		w.apply(w.core.SetLeaving(w.now, w.leaving), nil)
	default:
		for _, e := range w.roster.Entries {
			if w.sessionOf(e.Member) == 0 {
				w.connect(e.Member)
			}
		}
	}
}

// apply accounts for the effects of a call. d is the start that the call delivered, or nil.
func (w *world) apply(effects []Effect, d *delivery) {
	answers := 0
	for _, e := range effects {
		switch m := e.Message.(type) {
		case *encoder.Ping:
			w.pinged[e.Session] = sentPing{m.Sequence, w.now}
		case *encoder.Grant:
			w.held[e.Session] += m.Credits
		case *encoder.Recall:
			w.asked[e.Session] = m.Credits
		case *encoder.Result:
			w.held[e.Session] += m.Credits
			if m.Status != w.ends[m.Task] || m.Status != encoder.StatusNotStarted && string(m.Body) != fmt.Sprint(m.Task) {
				w.Fatalf("the result of %v is %v %s, want %v", m.Task, m.Status, m.Body, w.ends[m.Task])
			}
			if d != nil && m.Task == d.start.Task {
				answers++
			}
		case *encoder.Refusal:
			w.held[e.Session] += m.Credits
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
	for _, tt := range []struct {
		broken bool
		text   string
	}{
		{w.ran[r.Task] != 1, "the task ran before"},
		{w.now >= w.lease || r.NotAfter > w.lease, "the lease has ended"},
		{!inForce, "the domain is withdrawn"},
		{d.start.Epoch != w.roster.Epoch, "the epoch is stale"},
		{w.owner(r.Task) != d.start.Owner || w.sessions[d.session] != d.start.Owner, "the sender is not the owner"},
		{w.leaving, "the sidecar is leaving"},
		{!announced, "an entry does not know the sidecar"},
		{d.deadline != 0 && (w.now >= d.deadline || r.NotAfter > d.deadline), "the deadline has passed"},
		{w.canceled[r.Task], "the task is canceled"},
		{d.start.Once && !d.claimed && w.now >= w.outage[d.start.Owner], "the claim is missing"},
	} {
		if tt.broken {
			w.Fatalf("run of %v at %v although %s", r.Task, w.now, tt.text)
		}
	}
}

func (w *world) check() {
	held := uint32(0)
	for _, n := range w.held {
		held += n
	}
	got := fmt.Sprint(len(w.core.running), len(w.core.waiting), held)
	if want := fmt.Sprint(len(w.running), len(w.waiting), w.core.committed()-uint32(len(w.running)+len(w.waiting))); got != want {
		w.Fatalf("running, waiting and credits: got %s, want %s", got, want)
	}
	if n := held + uint32(len(w.running)+len(w.waiting)); n > 3 || len(w.running) > 2 {
		w.Fatalf("%d credits and tasks are committed, %d of them run", n, len(w.running))
	}
}
