package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"pgregory.net/rapid"

	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/starter"
	"github.com/crocuslb/crocuslb/timer"
)

// withdrawalBound is the requirement for the last start after a withdrawal was accepted.
const withdrawalBound = 3 * timer.Second

type (
	// world holds entry cores, fake sidecars and a log in virtual time. rapid draws what happens next.
	world struct {
		t        *rapid.T
		now      timer.Millis
		entries  map[string]*node
		sidecars map[string]*fake
		links    []*link
		lastLink SessionID
		log      map[string][]logRecord
		appends  []*pendingAppend
		outage   bool
		far      map[string]bool // processes on the far side of a partition
		starts   map[encoder.TaskKey]int
		jobs     map[string]*caller
		request  uint64
		accepted timer.Millis // when the withdrawal of the first sidecar's domain was accepted; 0 while it is in force
		asked    map[uint64]string
		outcomes map[string]int
	}

	node struct {
		id          string
		core        *Core
		alive       bool
		paused      bool
		cut         bool // the log cannot be reached from here
		incarnation uint64
		dials       map[string]bool
		read        map[string]int
	}

	// fake is a sidecar's core with a backend server whose runs end when the test says so.
	fake struct {
		id          string
		incarnation uint64
		alive       bool
		core        *starter.Core
		ran         map[encoder.TaskKey]bool // the started tasks; true while they run
	}

	// link is a session. Messages wait in order, per direction; the first end is the dialing one.
	link struct {
		id     SessionID
		ends   [2]string
		queues [2][]encoder.Message
		silent timer.Millis // when it went silent; 0 for never
		down   bool
	}

	logRecord struct {
		change elector.Change
		claims elector.Claims
		out    bool // configuration: the domain of the first sidecar is withdrawn
	}

	pendingAppend struct {
		by   *node
		core *Core
		f    Effect
	}

	caller struct {
		job     encoder.Job
		open    int
		refused bool // the last answer said "not run"
		starter encoder.Member
	}
)

func newWorld(t *rapid.T, entries, sidecars int) *world {
	w := &world{
		t: t, now: timer.Minute, entries: map[string]*node{}, sidecars: map[string]*fake{}, log: map[string][]logRecord{},
		starts: map[encoder.TaskKey]int{}, jobs: map[string]*caller{}, asked: map[uint64]string{}, outcomes: map[string]int{},
		far: map[string]bool{},
	}
	for i := range entries {
		w.entries["e"+strconv.Itoa(i)] = &node{id: "e" + strconv.Itoa(i)}
	}
	for i := range sidecars {
		w.sidecars["s"+strconv.Itoa(i)] = &fake{id: "s" + strconv.Itoa(i)}
	}
	for _, n := range w.nodes() {
		w.boot(n)
	}
	for _, s := range w.fakes() {
		w.bootSidecar(s)
	}
	return w
}

// nodes and fakes return the processes in a fixed order, so that a seed always gives the same run.
func (w *world) nodes() []*node {
	var list []*node
	for _, id := range slices.Sorted(maps.Keys(w.entries)) {
		list = append(list, w.entries[id])
	}
	return list
}

func (w *world) fakes() []*fake {
	var list []*fake
	for _, id := range slices.Sorted(maps.Keys(w.sidecars)) {
		list = append(list, w.sidecars[id])
	}
	return list
}

func (w *world) boot(n *node) {
	n.incarnation += 1000
	w.logf("boot %s/%d", n.id, n.incarnation)
	n.alive, n.paused, n.dials, n.read = true, false, map[string]bool{}, map[string]int{}
	n.core = New(Settings{
		Member: encoder.Member{ID: n.id, Incarnation: n.incarnation}, Address: n.id,
		WithdrawRecord: func(string, string) []byte { return []byte{1} },
	})
}

func (w *world) bootSidecar(s *fake) {
	s.incarnation++
	w.logf("boot %s/%d", s.id, s.incarnation)
	s.alive, s.ran = true, map[encoder.TaskKey]bool{}
	s.core = &starter.Core{ID: s.id, Slots: 2}
}

func (w *world) logf(format string, args ...any) {
	w.t.Logf("%v "+format, append([]any{w.now}, args...)...)
}

func (w *world) kill(id string) {
	w.logf("kill %s", id)
	if n := w.entries[id]; n != nil {
		n.alive = false
	} else {
		w.sidecars[id].alive = false
	}
	for _, l := range w.links {
		if l.ends[0] == id || l.ends[1] == id {
			w.breakLink(l)
		}
	}
}

func (w *world) breakLink(l *link) {
	if l.down {
		return
	}
	l.down = true
	l.queues = [2][]encoder.Message{}
	for _, id := range l.ends {
		if n := w.entries[id]; n != nil && n.alive {
			n.core.Down(w.now, l.id)
		} else if s := w.sidecars[id]; s != nil && s.alive {
			w.performSidecar(s, s.core.Disconnected(w.now, uint64(l.id)))
		}
	}
}

// connect opens the sessions that are wanted and not there.
func (w *world) connect() {
	for _, n := range w.nodes() {
		for _, to := range slices.Sorted(maps.Keys(n.dials)) {
			if o := w.entries[to]; n.alive && !n.paused && o != nil && o.alive && !o.paused && w.reaches(n.id, to) {
				l := w.link(n.id, to)
				n.core.Up(w.now, l.id, encoder.Hello{Role: encoder.RoleEntry, Member: o.core.Self(), Address: to})
				o.core.Up(w.now, l.id, encoder.Hello{Role: encoder.RoleEntry, Member: n.core.Self(), Address: n.id})
			}
		}
		for _, s := range w.fakes() {
			if s.alive && n.alive && !n.paused && w.reaches(s.id, n.id) {
				l := w.link(s.id, n.id)
				n.core.Announce(w.now, encoder.Member{ID: s.id, Incarnation: s.incarnation})
				h := hello(s.id, s.incarnation)
				h.Domain = s.id
				n.core.Up(w.now, l.id, h)
				ack := encoder.HelloAck{Member: n.core.Self(), Roster: n.core.Roster()}
				w.performSidecar(s, s.core.Connected(w.now, uint64(l.id), &ack))
			}
		}
	}
}

// reaches reports whether a session between the two can and should be opened.
func (w *world) reaches(from, to string) bool {
	return w.far[from] == w.far[to] &&
		!slices.ContainsFunc(w.links, func(l *link) bool { return !l.down && l.ends == [2]string{from, to} })
}

// part puts a process on the other side of the partition when that spares a trace of every start.
func (w *world) part(id string) {
	w.far[id] = !w.far[id]
	ok := w.spared(id)
	w.far[id] = !w.far[id]
	if ok {
		w.cross(id)
	}
}

// cross puts a process on the other side of the partition. Sessions across it go silent.
func (w *world) cross(id string) {
	w.logf("%s is moved across the partition", id)
	w.far[id] = !w.far[id]
	for _, l := range w.links {
		if l.silent == 0 && w.far[l.ends[0]] != w.far[l.ends[1]] {
			l.silent = w.now
		}
	}
}

func (w *world) link(from, to string) *link {
	w.lastLink++
	l := &link{id: w.lastLink, ends: [2]string{from, to}}
	w.links = append(w.links, l)
	return l
}

func (w *world) push(l *link, from int, m encoder.Message) {
	if l.silent == 0 && !l.down {
		l.queues[from] = append(l.queues[from], m)
	}
}

// perform carries out the effects of a core.
func (w *world) perform(n *node) {
	for _, p := range n.core.Published() {
		log := w.log[StreamConfiguration]
		w.logf("publication of %s: %+v", n.id, p.Publication)
		if p.Publication.State == PublicationAccepted && p.Publication.Offset+1 == uint64(len(log)) && log[len(log)-1].out {
			w.accepted = w.now
			w.outcomes["withdrawals"]++
		}
	}
	for effects := slices.Clone(n.core.Take()); len(effects) > 0; effects = slices.Clone(n.core.Take()) {
		for _, f := range effects {
			switch f.Kind {
			case EffectSend:
				if l := w.find(f.Session); l == nil || l.down {
					n.core.Unsent(w.now, f.Session, f.Message)
				} else if l.ends[0] == n.id {
					w.push(l, 0, f.Message)
				} else {
					w.push(l, 1, f.Message)
				}
			case EffectAnswer:
				w.answered(f.Request, f.Answer)
			case EffectAppend:
				w.appends = append(w.appends, &pendingAppend{n, n.core, f})
			case EffectDial:
				n.dials[f.Address] = true
			case EffectHangUp:
				delete(n.dials, f.Address)
			case EffectClose:
				if l := w.find(f.Session); l != nil {
					w.breakLink(l)
				}
			}
		}
	}
}

func (w *world) find(id SessionID) *link {
	for _, l := range w.links {
		if l.id == id {
			return l
		}
	}
	return nil
}

// deliver hands over the first messages of a direction.
func (w *world) deliver(l *link, from, count int) {
	to := l.ends[1-from]
	n, s := w.entries[to], w.sidecars[to]
	for ; count > 0 && len(l.queues[from]) > 0 && !l.down; count-- {
		if n != nil && (!n.alive || n.paused) {
			return
		}
		m := l.queues[from][0]
		l.queues[from] = l.queues[from][1:]
		if n != nil {
			n.core.Message(w.now, l.id, m)
			w.perform(n)
		} else {
			w.performSidecar(s, s.core.Receive(w.now, uint64(l.id), m))
		}
	}
}

// performSidecar carries out the effects of a sidecar's core. It checks that no task starts twice.
func (w *world) performSidecar(s *fake, effects []starter.Effect) {
	for _, f := range slices.Clone(effects) {
		switch l := w.find(SessionID(f.Session)); f.Kind {
		case starter.EffectSend:
			if l != nil {
				w.push(l, 0, f.Message)
			}
		case starter.EffectReset:
			if l != nil {
				w.breakLink(l)
			}
		case starter.EffectRun:
			task := f.Run.Task
			s.ran[task] = true
			w.starts[task]++
			w.logf("start of %v at %s in epoch %d", task, s.id, s.core.Roster().Epoch)
			if s.id == "s0" && w.accepted != 0 && w.now-w.accepted > withdrawalBound {
				w.t.Fatalf("start of %v %v after the withdrawal was accepted", task, w.now-w.accepted)
			}
			if w.starts[task] > 1 {
				w.t.Fatalf("task %v started twice", task)
			}
			c := w.jobs[task.Job]
			if c.refused && c.open == 0 {
				w.t.Fatalf("task %v started after the answer \"not run\"", task)
			}
			owner, _ := elector.Owner(s.core.Roster(), task.Job)
			c.starter = owner.Member
		}
	}
}

func resultOf(k encoder.TaskKey) []byte { return fmt.Appendf(nil, "%s/%d", k.Job, k.Index) }

// spared reports whether a trace of every started task is left without the given process: in the table of a sidecar that
// every entry can reach, in the claims, or at a member of the roster that runs. The promise that no task starts twice
// ends where all are lost.
func (w *world) spared(without string) bool {
	known := map[string]bool{}
	for _, r := range w.log[StreamClaims] {
		for _, key := range r.claims.Keys {
			known[key] = true
		}
	}
	var roster encoder.Roster
	for i, r := range w.log[StreamRoster] {
		roster, _ = elector.Apply(roster, uint64(i), r.change)
	}
	for _, n := range w.entries {
		listed, _ := elector.Find(roster, n.id)
		if !n.alive || n.paused || n.id == without || listed.Member != n.core.Self() {
			continue
		}
		for key, c := range w.jobs {
			p := n.core.passed[key]
			_, kept := n.core.kept.byKey[key]
			known[key] = known[key] || p.several || p.owner == c.starter || kept || n.core.known(key) ||
				n.core.jobs[key] != nil && n.core.Self() == c.starter
		}
	}
	for task, count := range w.starts {
		held := known[task.Job] || count == 0
		for _, s := range w.sidecars {
			apart := slices.ContainsFunc(w.nodes(), func(n *node) bool { return w.far[n.id] != w.far[s.id] })
			_, ran := s.ran[task]
			held = held || s.alive && !apart && s.id != without && ran
		}
		if !held {
			return false
		}
	}
	return true
}

// finish ends a running task.
func (w *world) finish(s *fake, task encoder.TaskKey, status encoder.Status) {
	s.ran[task] = false
	if status == encoder.StatusNotStarted {
		delete(s.ran, task)
		w.starts[task]--
	}
	w.performSidecar(s, s.core.Ended(w.now, task, starter.Outcome{Status: status, Body: resultOf(task), Ran: 1}))
}

func (w *world) submit(n *node, key string) {
	c := w.jobs[key]
	c.open++
	w.request++
	w.logf("submit %s to %s, request %d", key, n.id, w.request)
	w.asked[w.request] = key
	n.core.Submit(w.now, w.request, c.job)
	w.perform(n)
}

// answered checks that an answer is whole or failed and that "not run" is true.
func (w *world) answered(request uint64, a encoder.Answer) {
	key, ok := w.asked[request]
	if !ok {
		w.t.Fatalf("answer to request %d, which has one or never was", request)
	}
	delete(w.asked, request)
	w.logf("answer to request %d: %+v", request, a)
	c := w.jobs[key]
	c.open--
	c.refused = a.Outcome == encoder.OutcomeNotRun
	w.outcomes[fmt.Sprintf("state %d outcome %d", a.State, a.Outcome)]++
	if a.Key != key || a.State == encoder.JobRunning {
		w.t.Fatalf("request for %q got %+v", key, a)
	}
	ran := 0
	for i := range c.job.Tasks {
		ran += w.starts[encoder.TaskKey{Job: key, Index: uint32(i)}]
	}
	switch {
	case a.State == encoder.JobComplete:
		if len(a.Results) != len(c.job.Tasks) || ran != len(a.Results) {
			w.t.Fatalf("%q has %d results of %d tasks, %d started", key, len(a.Results), len(c.job.Tasks), ran)
		}
		for i, r := range a.Results {
			if got, want := string(r.Body), string(resultOf(encoder.TaskKey{Job: key, Index: uint32(i)})); got != want {
				w.t.Fatalf("result %d of %q is %q", i, key, got)
			}
		}
	case len(a.Results) > 0:
		w.t.Fatalf("failed answer with results: %+v", a)
	case a.Outcome == encoder.OutcomeNotRun && ran > 0:
		w.t.Fatalf("%q is said not to have run (code %d, %s), but %d tasks started", key, a.Code, a.Reason, ran)
	}
}

// pass lets time pass. Processes that are not paused do what time brings about.
func (w *world) pass(d timer.Millis) {
	w.now += d
	for _, l := range w.links {
		if l.silent != 0 && w.now-l.silent > timer.Second {
			w.breakLink(l)
		}
	}
	w.links = slices.DeleteFunc(w.links, func(l *link) bool { return l.down })
	w.connect()
	for _, s := range w.fakes() {
		if s.alive {
			w.performSidecar(s, s.core.Tick(w.now))
		}
	}
	for _, n := range w.nodes() {
		if n.alive && !n.paused {
			w.readLog(n)
			n.core.Tick(w.now)
			w.perform(n)
		}
	}
}
