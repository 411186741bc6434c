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

// maxStartAfterWithdrawal is the required bound between the acceptance of a withdrawal and the last start in the domain.
const maxStartAfterWithdrawal = 3 * timer.Second

type (
	// simulation runs entry cores, sidecar cores and a log in virtual time. rapid draws the events.
	simulation struct {
		t                    *rapid.T
		now                  timer.Millis
		entries              map[string]*simEntry
		sidecars             map[string]*simSidecar
		links                []*simLink
		lastLink             SessionID
		log                  map[string][]logRecord
		appends              []*pendingAppend
		logOutage            bool
		separated            map[string]bool // processes on the other side of the partition
		startCounts          map[encoder.TaskKey]int
		jobs                 map[string]*simJob
		lastRequest          uint64
		withdrawalAcceptedAt timer.Millis // acceptance of the withdrawal of the first sidecar's domain; 0 while in force
		pendingRequests      map[uint64]string
		outcomeCounts        map[string]int
	}

	simEntry struct {
		id             string
		core           *Core
		alive          bool
		paused         bool
		logUnreachable bool
		incarnation    uint64
		dialed         map[string]bool
		nextOffset     map[string]int
	}

	// simSidecar is a sidecar core with a simulated backend server, whose tasks end when the test calls finishTask.
	simSidecar struct {
		id          string
		incarnation uint64
		alive       bool
		core        *starter.Core
		started     map[encoder.TaskKey]bool // started tasks; true while running
	}

	// simLink is a session with a FIFO queue of messages per direction. The first endpoint is the dialing one.
	simLink struct {
		id          SessionID
		endpoints   [2]string
		queues      [2][]encoder.Message
		silentSince timer.Millis // when it began to drop messages; 0 if it does not
		closed      bool
	}

	logRecord struct {
		change    elector.Change
		claims    elector.Claims
		withdrawn bool // configuration only: the domain of the first sidecar is withdrawn
	}

	pendingAppend struct {
		entry  *simEntry
		core   *Core
		effect Effect
	}

	simJob struct {
		job             encoder.Job
		pendingRequests int
		lastNotRun      bool // the outcome of the last answer was "not run"
		startedBy       encoder.Member
	}
)

func newSimulation(t *rapid.T, entries, sidecars int) *simulation {
	sm := &simulation{
		t: t, now: timer.Minute, entries: map[string]*simEntry{}, sidecars: map[string]*simSidecar{}, log: map[string][]logRecord{},
		startCounts: map[encoder.TaskKey]int{}, jobs: map[string]*simJob{}, pendingRequests: map[uint64]string{},
		outcomeCounts: map[string]int{}, separated: map[string]bool{},
	}
	for i := range entries {
		sm.entries["e"+strconv.Itoa(i)] = &simEntry{id: "e" + strconv.Itoa(i)}
	}
	for i := range sidecars {
		sm.sidecars["s"+strconv.Itoa(i)] = &simSidecar{id: "s" + strconv.Itoa(i)}
	}
	for _, n := range sm.sortedEntries() {
		sm.startEntry(n)
	}
	for _, s := range sm.sortedSidecars() {
		sm.startSidecar(s)
	}
	return sm
}

// sortedEntries and sortedSidecars return the processes in a fixed order, which runs of the same seed require.
func (sm *simulation) sortedEntries() []*simEntry {
	var list []*simEntry
	for _, id := range slices.Sorted(maps.Keys(sm.entries)) {
		list = append(list, sm.entries[id])
	}
	return list
}

func (sm *simulation) sortedSidecars() []*simSidecar {
	var list []*simSidecar
	for _, id := range slices.Sorted(maps.Keys(sm.sidecars)) {
		list = append(list, sm.sidecars[id])
	}
	return list
}

func (sm *simulation) startEntry(n *simEntry) {
	n.incarnation += 1000
	sm.logf("start entry %s/%d", n.id, n.incarnation)
	n.alive, n.paused, n.dialed, n.nextOffset = true, false, map[string]bool{}, map[string]int{}
	n.core = New(Settings{
		Member: encoder.Member{ID: n.id, Incarnation: n.incarnation}, Address: n.id,
		WithdrawRecord: func(string, string) []byte { return []byte{1} },
	})
}

func (sm *simulation) startSidecar(s *simSidecar) {
	s.incarnation++
	sm.logf("start sidecar %s/%d", s.id, s.incarnation)
	s.alive, s.started = true, map[encoder.TaskKey]bool{}
	s.core = &starter.Core{ID: s.id, Slots: 2}
}

func (sm *simulation) logf(format string, args ...any) {
	sm.t.Logf("%v "+format, append([]any{sm.now}, args...)...)
}

func (sm *simulation) killProcess(id string) {
	sm.logf("kill %s", id)
	if n := sm.entries[id]; n != nil {
		n.alive = false
	} else {
		sm.sidecars[id].alive = false
	}
	for _, l := range sm.links {
		if l.endpoints[0] == id || l.endpoints[1] == id {
			sm.closeLink(l)
		}
	}
}

func (sm *simulation) closeLink(l *simLink) {
	if l.closed {
		return
	}
	l.closed = true
	l.queues = [2][]encoder.Message{}
	for _, id := range l.endpoints {
		if n := sm.entries[id]; n != nil && n.alive {
			n.core.SessionClosed(sm.now, l.id)
		} else if s := sm.sidecars[id]; s != nil && s.alive {
			sm.performSidecar(s, s.core.Disconnected(sm.now, uint64(l.id)))
		}
	}
}

// openMissingLinks opens the sessions that should exist and do not.
func (sm *simulation) openMissingLinks() {
	for _, n := range sm.sortedEntries() {
		for _, to := range slices.Sorted(maps.Keys(n.dialed)) {
			if o := sm.entries[to]; n.alive && !n.paused && o != nil && o.alive && !o.paused && sm.canOpenLink(n.id, to) {
				l := sm.addLink(n.id, to)
				n.core.SessionOpened(sm.now, l.id, encoder.Hello{Role: encoder.RoleEntry, Member: o.core.Self(), Address: to})
				o.core.SessionOpened(sm.now, l.id, encoder.Hello{Role: encoder.RoleEntry, Member: n.core.Self(), Address: n.id})
			}
		}
		for _, s := range sm.sortedSidecars() {
			if s.alive && n.alive && !n.paused && sm.canOpenLink(s.id, n.id) {
				l := sm.addLink(s.id, n.id)
				n.core.RegisterSidecar(sm.now, encoder.Member{ID: s.id, Incarnation: s.incarnation})
				h := hello(s.id, s.incarnation)
				h.Domain = s.id
				n.core.SessionOpened(sm.now, l.id, h)
				ack := encoder.HelloAck{Member: n.core.Self(), Roster: n.core.Roster()}
				sm.performSidecar(s, s.core.Connected(sm.now, uint64(l.id), &ack))
			}
		}
	}
}

// canOpenLink reports whether two processes are on the same side of the partition and have no session yet.
func (sm *simulation) canOpenLink(from, to string) bool {
	return sm.separated[from] == sm.separated[to] &&
		!slices.ContainsFunc(sm.links, func(l *simLink) bool { return !l.closed && l.endpoints == [2]string{from, to} })
}

// tryMoveAcrossPartition moves a process to the other side of the partition if evidence of every start remains.
func (sm *simulation) tryMoveAcrossPartition(id string) {
	sm.separated[id] = !sm.separated[id]
	ok := sm.evidenceRemainsWithout(id)
	sm.separated[id] = !sm.separated[id]
	if ok {
		sm.moveAcrossPartition(id)
	}
}

// moveAcrossPartition moves a process to the other side of the partition. Sessions across the partition become silent.
func (sm *simulation) moveAcrossPartition(id string) {
	sm.logf("%s is moved across the partition", id)
	sm.separated[id] = !sm.separated[id]
	for _, l := range sm.links {
		if l.silentSince == 0 && sm.separated[l.endpoints[0]] != sm.separated[l.endpoints[1]] {
			l.silentSince = sm.now
		}
	}
}

func (sm *simulation) addLink(from, to string) *simLink {
	sm.lastLink++
	l := &simLink{id: sm.lastLink, endpoints: [2]string{from, to}}
	sm.links = append(sm.links, l)
	return l
}

func (sm *simulation) enqueue(l *simLink, from int, m encoder.Message) {
	if l.silentSince == 0 && !l.closed {
		l.queues[from] = append(l.queues[from], m)
	}
}

// perform carries out the effects of an entry's core.
func (sm *simulation) perform(n *simEntry) {
	for _, p := range n.core.TakePublished() {
		log := sm.log[StreamConfiguration]
		sm.logf("publication of %s: %+v", n.id, p.Publication)
		if p.Publication.State == PublicationAccepted && p.Publication.Offset+1 == uint64(len(log)) && log[len(log)-1].withdrawn {
			sm.withdrawalAcceptedAt = sm.now
			sm.outcomeCounts["withdrawals"]++
		}
	}
	for effects := slices.Clone(n.core.TakeEffects()); len(effects) > 0; effects = slices.Clone(n.core.TakeEffects()) {
		for _, f := range effects {
			switch f.Kind {
			case EffectSend:
				if l := sm.findLink(f.Session); l == nil || l.closed {
					n.core.MessageNotSent(sm.now, f.Session, f.Message)
				} else if l.endpoints[0] == n.id {
					sm.enqueue(l, 0, f.Message)
				} else {
					sm.enqueue(l, 1, f.Message)
				}
			case EffectAnswer:
				sm.checkAnswer(f.Request, f.Answer)
			case EffectAppend:
				sm.appends = append(sm.appends, &pendingAppend{n, n.core, f})
			case EffectDial:
				n.dialed[f.Address] = true
			case EffectDisconnect:
				delete(n.dialed, f.Address)
			case EffectCloseSession:
				if l := sm.findLink(f.Session); l != nil {
					sm.closeLink(l)
				}
			}
		}
	}
}

func (sm *simulation) findLink(id SessionID) *simLink {
	for _, l := range sm.links {
		if l.id == id {
			return l
		}
	}
	return nil
}

// deliver delivers up to count queued messages of one direction.
func (sm *simulation) deliver(l *simLink, from, count int) {
	to := l.endpoints[1-from]
	n, s := sm.entries[to], sm.sidecars[to]
	for ; count > 0 && len(l.queues[from]) > 0 && !l.closed; count-- {
		if n != nil && (!n.alive || n.paused) {
			return
		}
		m := l.queues[from][0]
		l.queues[from] = l.queues[from][1:]
		if n != nil {
			n.core.HandleMessage(sm.now, l.id, m)
			sm.perform(n)
		} else {
			sm.performSidecar(s, s.core.Receive(sm.now, uint64(l.id), m))
		}
	}
}

// performSidecar carries out the effects of a sidecar's core. It checks that no task starts twice, after the answer "not
// run", or too long after a withdrawal.
func (sm *simulation) performSidecar(s *simSidecar, effects []starter.Effect) {
	for _, f := range slices.Clone(effects) {
		switch l := sm.findLink(SessionID(f.Session)); f.Kind {
		case starter.EffectSend:
			if l != nil {
				sm.enqueue(l, 0, f.Message)
			}
		case starter.EffectReset:
			if l != nil {
				sm.closeLink(l)
			}
		case starter.EffectRun:
			task := f.Run.Task
			s.started[task] = true
			sm.startCounts[task]++
			sm.logf("start of %v at %s in epoch %d", task, s.id, s.core.Roster().Epoch)
			if s.id == "s0" && sm.withdrawalAcceptedAt != 0 && sm.now-sm.withdrawalAcceptedAt > maxStartAfterWithdrawal {
				sm.t.Fatalf("start of %v %v after the withdrawal was accepted", task, sm.now-sm.withdrawalAcceptedAt)
			}
			if sm.startCounts[task] > 1 {
				sm.t.Fatalf("task %v started twice", task)
			}
			c := sm.jobs[task.Job]
			if c.lastNotRun && c.pendingRequests == 0 {
				sm.t.Fatalf("task %v started after the answer \"not run\"", task)
			}
			owner, _ := elector.Owner(s.core.Roster(), task.Job)
			c.startedBy = owner.Member
		}
	}
}

func expectedResult(k encoder.TaskKey) []byte { return fmt.Appendf(nil, "%s/%d", k.Job, k.Index) }

// evidenceRemainsWithout reports whether evidence of every started task remains without the given process: in the
// started-task table of a sidecar that every entry can reach, in the claims, or at a running member of the roster. Once all
// of these are lost, the guarantee that no task starts twice does not hold.
func (sm *simulation) evidenceRemainsWithout(excluded string) bool {
	known := map[string]bool{}
	for _, r := range sm.log[StreamClaims] {
		for _, key := range r.claims.Keys {
			known[key] = true
		}
	}
	var roster encoder.Roster
	for i, r := range sm.log[StreamRoster] {
		roster, _ = elector.Apply(roster, uint64(i), r.change)
	}
	for _, n := range sm.entries {
		listed, _ := elector.FindEntry(roster, n.id)
		if !n.alive || n.paused || n.id == excluded || listed.Member != n.core.Self() {
			continue
		}
		for key, c := range sm.jobs {
			p := n.core.knownOwners[key]
			_, kept := n.core.answerCache.byKey[key]
			known[key] = known[key] || p.multiple || p.owner == c.startedBy || kept || n.core.formerOwnerMayHaveStarted(key) ||
				n.core.submissions[key] != nil && n.core.Self() == c.startedBy
		}
	}
	for task, count := range sm.startCounts {
		remains := known[task.Job] || count == 0
		for _, s := range sm.sidecars {
			separated := slices.ContainsFunc(sm.sortedEntries(), func(n *simEntry) bool {
				return sm.separated[n.id] != sm.separated[s.id]
			})
			_, ran := s.started[task]
			remains = remains || s.alive && !separated && s.id != excluded && ran
		}
		if !remains {
			return false
		}
	}
	return true
}

// finishTask ends a running task with the given status.
func (sm *simulation) finishTask(s *simSidecar, task encoder.TaskKey, status encoder.Status) {
	s.started[task] = false
	if status == encoder.StatusNotStarted {
		delete(s.started, task)
		sm.startCounts[task]--
	}
	sm.performSidecar(s, s.core.RunEnded(sm.now, task, starter.Outcome{Status: status, Body: expectedResult(task), RunTime: 1}))
}

func (sm *simulation) submit(n *simEntry, key string) {
	c := sm.jobs[key]
	c.pendingRequests++
	sm.lastRequest++
	sm.logf("submit %s to %s, request %d", key, n.id, sm.lastRequest)
	sm.pendingRequests[sm.lastRequest] = key
	n.core.Submit(sm.now, sm.lastRequest, c.job)
	sm.perform(n)
}

// checkAnswer checks that an answer is complete or failed, and that "not run" is true.
func (sm *simulation) checkAnswer(request uint64, a encoder.Answer) {
	key, ok := sm.pendingRequests[request]
	if !ok {
		sm.t.Fatalf("answer to request %d, which was already answered or never sent", request)
	}
	delete(sm.pendingRequests, request)
	sm.logf("answer to request %d: %+v", request, a)
	c := sm.jobs[key]
	c.pendingRequests--
	c.lastNotRun = a.Outcome == encoder.OutcomeNotRun
	sm.outcomeCounts[fmt.Sprintf("state %d outcome %d", a.State, a.Outcome)]++
	if a.Key != key || a.State == encoder.JobRunning {
		sm.t.Fatalf("request for %q got %+v", key, a)
	}
	ran := 0
	for i := range c.job.Tasks {
		ran += sm.startCounts[encoder.TaskKey{Job: key, Index: uint32(i)}]
	}
	switch {
	case a.State == encoder.JobComplete:
		if len(a.Results) != len(c.job.Tasks) || ran != len(a.Results) {
			sm.t.Fatalf("%q has %d results of %d tasks, %d started", key, len(a.Results), len(c.job.Tasks), ran)
		}
		for i, r := range a.Results {
			if got, want := string(r.Body), string(expectedResult(encoder.TaskKey{Job: key, Index: uint32(i)})); got != want {
				sm.t.Fatalf("result %d of %q is %q", i, key, got)
			}
		}
	case len(a.Results) > 0:
		sm.t.Fatalf("failed answer with results: %+v", a)
	case a.Outcome == encoder.OutcomeNotRun && ran > 0:
		sm.t.Fatalf("%q was answered \"not run\" (code %d, %s), but %d tasks started", key, a.Code, a.Reason, ran)
	}
}

// advance advances the virtual time, and runs the ticks of all processes that are not paused.
func (sm *simulation) advance(d timer.Millis) {
	sm.now += d
	for _, l := range sm.links {
		if l.silentSince != 0 && sm.now-l.silentSince > timer.Second {
			sm.closeLink(l)
		}
	}
	sm.links = slices.DeleteFunc(sm.links, func(l *simLink) bool { return l.closed })
	sm.openMissingLinks()
	for _, s := range sm.sortedSidecars() {
		if s.alive {
			sm.performSidecar(s, s.core.Tick(sm.now))
		}
	}
	for _, n := range sm.sortedEntries() {
		if n.alive && !n.paused {
			sm.readLog(n)
			n.core.Tick(sm.now)
			sm.perform(n)
		}
	}
}
