package dispatcher

import (
	"slices"

	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	maxHandovers     = 10_000
	maxHandoverBytes = 8 << 20
)

// censusReply merges a sidecar's evidence. Replies to the census of another epoch list other keys and do not count.
func (c *Core) censusReply(sc *sidecar, m *encoder.CensusReply) {
	if m.Epoch != c.roster.Epoch {
		c.counters.Ignored++
		return
	}
	t := &c.takeover
	for i := range m.Started {
		s := &m.Started[i]
		if j := c.jobs[s.Task.Job]; j != nil && (j.state == stateOpen || j.state == stateClosing) {
			continue // this entry started it
		}
		if _, ok := c.kept.byKey[s.Task.Job]; !ok {
			t.add(s, &sc.hello.Member, c.now)
		}
	}
	if !m.Last {
		return
	}
	if t.answered == nil {
		t.answered = map[encoder.Member]uint64{}
	}
	for old := range t.answered {
		if old.ID == sc.hello.Member.ID {
			delete(t.answered, old)
		}
	}
	t.answered[sc.hello.Member] = m.Epoch
	delete(t.missing, sc.hello.Member)
	c.tickTakeover()
}

func (t *takeover) add(s *encoder.StartedTask, from *encoder.Member, now timer.Millis) {
	if t.evidence == nil {
		t.evidence = map[string]*evidence{}
	}
	e := t.evidence[s.Task.Job]
	if e == nil {
		e = &evidence{}
		t.evidence[s.Task.Job] = e
	}
	e.at = now
	row := started{s.Task.Index, s.Status, from, s.Body, s.Reason}
	if old := e.find(s.Task.Index); old == nil {
		e.tasks = append(e.tasks, row)
	} else if old.status != encoder.StatusDone && old.status != encoder.StatusFailed {
		*old = row
	}
}

// find returns what is known of a task, or nil. Sidecars report tasks in the order of the index, so the search is short.
func (e *evidence) find(index uint32) *started {
	if e == nil {
		return nil
	}
	for i := len(e.tasks) - 1; i >= 0; i-- {
		if e.tasks[i].index == index {
			return &e.tasks[i]
		}
	}
	return nil
}

// resume goes on with a submission that a former owner may have worked on. Known results are used, running tasks are
// awaited, and tasks without evidence are queued only when no evidence can be missing.
func (c *Core) resume(s *submission) {
	if !step(submissionChart, &s.state, eventAdmit) {
		return
	}
	c.claim(s.key)
	c.rewind(s)
	found := c.takeover.evidence[s.key]
	delete(c.takeover.evidence, s.key)
	complete := c.complete(s.key)
	c.recover(s, found)
	for i := 0; i < len(s.tasks); i++ {
		if e := found.find(uint32(i)); e != nil && e.status == encoder.StatusDone {
			c.taskEnded(s, i, c.sidecarOf(e.sidecar), e.status, e.body, e.reason, 0)
		}
	}
	for i := 0; i < len(s.tasks); i++ {
		if s.tasks[i].state != taskQueued {
			continue
		}
		e := found.find(uint32(i))
		switch {
		case e != nil && e.status == encoder.StatusFailed:
			c.taskEnded(s, i, c.sidecarOf(e.sidecar), e.status, nil, e.reason, 0)
		case e != nil && e.status != encoder.StatusNotStarted:
			reason := e.reason
			if reason == "" {
				reason = "the worker that had started the task was lost"
			}
			c.taskEnded(s, i, c.sidecarOf(e.sidecar), encoder.StatusUnknown, nil, reason, 0)
		case e == nil && !complete && c.takeover.maybeStarted(s.key, uint32(i)):
			c.taskEnded(s, i, nil, encoder.StatusUnknown, nil, "it is not known whether the task was started before", 0)
		}
	}
	// From here on this entry starts tasks itself, so the list of the former owner is out of date.
	delete(c.takeover.handed, s.key)
	switch {
	case s.state != stateOpen:
		return
	case s.code != 0:
		c.fail(s, s.code, s.reason)
		return
	case s.left == 0:
		c.endWhenDone(s)
		return
	}
	for i := range s.tasks {
		if s.tasks[i].state == taskQueued {
			c.queue.Push(c.queued(s, i))
		}
	}
}

// maybeStarted reports whether a former owner may have started the task, going by what it handed over.
func (t *takeover) maybeStarted(key string, index uint32) bool {
	h, ok := t.handed[key]
	return !ok || slices.Contains(h.started, index)
}

// rewind forgets which starts this entry made itself before it lost the key. All sidecars that made them have answered
// the census or count as missing, so their evidence decides.
func (c *Core) rewind(s *submission) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if step(taskChart, &t.state, eventRewind) {
			s.started--
			c.queue.Refused(t.sidecar.hello.Member.ID, c.queued(s, i), encoder.RefusalCanceled)
			t.sidecar, t.resent = nil, false
		}
	}
}

// recover repeats the starts of tasks that a known sidecar runs or whose results it keeps. It then sends the results to
// this entry.
func (c *Core) recover(s *submission, found *evidence) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if e := found.find(uint32(i)); e != nil && t.state == taskQueued &&
			(e.status == encoder.StatusRunning || e.status == encoder.StatusKept) {
			sc := c.sidecarOf(e.sidecar)
			if sc == nil || !step(taskChart, &t.state, eventRecover) {
				continue
			}
			t.sidecar, t.resent = sc, true
			sc.hold(s)
			s.started++
			if sc.session == 0 {
				step(taskChart, &t.state, eventLose)
			} else {
				c.sendStart(s, i)
			}
		}
	}
}

// sidecarOf returns the sidecar when this very incarnation is present.
func (c *Core) sidecarOf(m *encoder.Member) *sidecar {
	if m == nil {
		return nil
	}
	if sc := c.sidecars[m.ID]; sc != nil && sc.hello.Member == *m {
		return sc
	}
	return nil
}

// peerCensus answers a peer with the keys of its share that this entry forwarded elsewhere, witnessed or owned.
func (c *Core) peerCensus(id SessionID, p *peer, m *encoder.PeerCensus) {
	if m.Roster.Epoch > c.roster.Epoch && c.confirmed[StreamRoster] != 0 {
		c.adoptFromPeer(m.Roster)
	}
	p.epoch = max(p.epoch, m.Roster.Epoch)
	c.tickTakeover()
	reply := &encoder.PeerCensusReply{Epoch: m.Roster.Epoch}
	for _, sc := range c.sidecars {
		lost := timer.Millis(0)
		if sc.session == 0 {
			lost = c.now - sc.down
		}
		reply.Sidecars = append(reply.Sidecars, encoder.KnownSidecar{Member: sc.hello.Member, Lost: lost})
	}
	for _, list := range []map[encoder.Member]timer.Millis{c.gone, c.takeover.missing} {
		for m, at := range list {
			if m != unknownSidecars {
				reply.Sidecars = append(reply.Sidecars, encoder.KnownSidecar{Member: m, Lost: c.now - at})
			}
		}
	}
	if last, doubts := c.doubts(); doubts {
		reply.Sidecars = append(reply.Sidecars, encoder.KnownSidecar{Member: unknownSidecars, Lost: c.now - last})
	}
	add := func(key string, first timer.Millis) {
		owner, ok := elector.Owner(m.Roster, key)
		if !ok || owner.Member != p.member {
			return
		}
		if reply.Jobs = append(reply.Jobs, encoder.KnownJob{Key: key, Age: c.now - first}); len(reply.Jobs) == keysPerMessage {
			c.send(id, reply)
			reply = &encoder.PeerCensusReply{Epoch: m.Roster.Epoch}
		}
	}
	for key, passed := range c.passed {
		if c.passedBeside(key, p.member) {
			add(key, passed.at)
		}
	}
	for key, s := range c.jobs {
		if s.state != stateHeld {
			add(key, s.first)
		}
	}
	for key := range c.kept.byKey {
		if !c.claims.seen.has(c.hash(key)) {
			add(key, 0) // the others learn of the older keys from the claims
		}
	}
	reply.Last = true
	c.send(id, reply)
}

func (c *Core) peerCensusReply(p *peer, m *encoder.PeerCensusReply) {
	if m.Epoch != c.roster.Epoch {
		c.counters.Ignored++
		return
	}
	t := &c.takeover
	if t.keys == nil {
		t.keys, t.reported = map[string]reportedKey{}, map[encoder.Member]timer.Millis{}
	}
	for _, k := range m.Jobs {
		// The peer measured the age after this entry adopted the roster, so the key is no older than this.
		first := t.adopted - k.Age
		if old, ok := t.keys[k.Key]; ok {
			first = min(first, old.first)
		}
		t.keys[k.Key] = reportedKey{first: first, at: c.now}
	}
	for _, sc := range m.Sidecars {
		if sc.Member == unknownSidecars {
			p.doubts, p.doubted = m.Epoch, c.now-sc.Lost
		} else {
			t.reported[sc.Member] = max(t.reported[sc.Member], c.now-sc.Lost)
		}
	}
	if m.Last {
		p.census = m.Epoch
		c.tickTakeover()
	}
}

// adoptFromPeer takes over a roster that the log has not shown to this entry yet. Rosters between may have been missed,
// so every key counts as owned by another entry in the meantime.
func (c *Core) adoptFromPeer(r encoder.Roster) {
	c.takeover.past = append(c.takeover.past, pastRoster{encoder.Roster{}, c.now})
	c.takeover.chain = append(c.takeover.chain, encoder.Roster{Epoch: c.roster.Epoch})
	c.takeover.handed = nil
	c.folded = r
	c.adopt(r)
}

// handOver gives a submission of this leaving entry to its next owner.
func (c *Core) handOver(s *submission, job encoder.Job, certain bool) {
	owner, ok := elector.Owner(c.roster, s.key)
	if !ok {
		return
	}
	p := c.peers[owner.Member.ID]
	if p == nil || p.session() == 0 {
		return
	}
	m := &encoder.Handover{Job: job, Certain: certain}
	for i := range s.tasks {
		t := &s.tasks[i]
		started := encoder.StartedTask{Task: encoder.TaskKey{Job: s.key, Index: uint32(i)}, Status: encoder.StatusRunning}
		switch t.state {
		case taskDone:
			started.Status, started.Body = encoder.StatusDone, t.body
		case taskStarted, taskDoubt:
		default:
			continue
		}
		m.Started = append(m.Started, started)
	}
	c.send(p.session(), m)
}

// handOverAnswers gives the newest kept answers to the next owners of their keys.
func (c *Core) handOverAnswers() {
	order := c.kept.order
	bytes := 0
	for i := len(order) - 1; i >= 0 && i >= len(order)-maxHandovers; i-- {
		k := c.kept.byKey[order[i].key]
		if bytes += k.size; bytes > maxHandoverBytes {
			return
		}
		if owner, ok := elector.Owner(c.roster, order[i].key); ok {
			if p := c.peers[owner.Member.ID]; p != nil && p.session() != 0 {
				c.send(p.session(), &encoder.Handover{Job: encoder.Job{Key: order[i].key}, Answer: k.answer})
			}
		}
	}
}

// takeHandover goes on with a submission of a leaving entry, or keeps its answer.
func (c *Core) takeHandover(m *encoder.Handover) {
	key := m.Job.Key
	if m.Answer.State == encoder.JobComplete || m.Answer.State == encoder.JobFailed {
		if _, ok := c.kept.byKey[key]; !ok && c.jobs[key] == nil {
			c.keep(0, m.Answer) // without the job its content cannot be compared
		}
		return
	}
	if c.jobs[key] == nil {
		h := handed{at: c.now}
		for i := range m.Started {
			if m.Started[i].Status == encoder.StatusRunning {
				h.started = append(h.started, m.Started[i].Task.Index)
			} else {
				c.takeover.add(&m.Started[i], nil, c.now)
			}
		}
		certain := m.Certain && c.owns(c.roster, key)
		if certain && c.takeover.handed == nil {
			c.takeover.handed = map[string]handed{}
		}
		if certain {
			c.takeover.handed[key] = h
		}
	}
	c.route(waiter{}, encoder.RequestSubmit, m.Job, 0)
}
