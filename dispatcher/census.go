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

// handleCensusReply merges the started tasks that a sidecar reports. Replies to the census of another epoch are ignored,
// because they cover other keys.
func (c *Core) handleCensusReply(sc *sidecar, m *encoder.CensusReply) {
	if m.Epoch != c.roster.Epoch {
		c.counters.Ignored++
		return
	}
	t := &c.takeover
	for i := range m.Started {
		s := &m.Started[i]
		if j := c.submissions[s.Task.Job]; j != nil && (j.state == submissionOpen || j.state == submissionClosing) {
			continue // this entry started it
		}
		if _, ok := c.answerCache.byKey[s.Task.Job]; !ok {
			t.addEvidence(s, &sc.hello.Member, c.now)
		}
	}
	if !m.Last {
		return
	}
	if t.answeredEpochs == nil {
		t.answeredEpochs = map[encoder.Member]uint64{}
	}
	for old := range t.answeredEpochs {
		if old.ID == sc.hello.Member.ID {
			delete(t.answeredEpochs, old)
		}
	}
	t.answeredEpochs[sc.hello.Member] = m.Epoch
	delete(t.missingEvidence, sc.hello.Member)
	c.tickTakeover()
}

func (t *takeover) addEvidence(s *encoder.StartedTask, from *encoder.Member, now timer.Millis) {
	if t.evidence == nil {
		t.evidence = map[string]*evidence{}
	}
	e := t.evidence[s.Task.Job]
	if e == nil {
		e = &evidence{}
		t.evidence[s.Task.Job] = e
	}
	e.updatedAt = now
	task := startedTask{s.Task.Index, s.Status, from, s.Body, s.Reason}
	if old := e.find(s.Task.Index); old == nil {
		e.tasks = append(e.tasks, task)
	} else if old.status != encoder.StatusDone && old.status != encoder.StatusFailed {
		*old = task
	}
}

// find returns the evidence of a task, or nil. Sidecars report tasks in index order, so the search from the end is short.
func (e *evidence) find(index uint32) *startedTask {
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

// resume continues a submission of which a former owner may have started tasks. Known results are used, running tasks are
// awaited, and tasks without evidence are queued only if no evidence can be missing.
func (c *Core) resume(s *submission) {
	if !step(submissionChart, &s.state, eventAdmit) {
		return
	}
	c.queueClaim(s.key)
	c.resetStarts(s)
	known := c.takeover.evidence[s.key]
	delete(c.takeover.evidence, s.key)
	complete := c.hasCompleteEvidence(s.key)
	c.recoverStarts(s, known)
	for i := 0; i < len(s.tasks); i++ {
		if e := known.find(uint32(i)); e != nil && e.status == encoder.StatusDone {
			c.taskEnded(s, i, c.findSidecar(e.sidecar), e.status, e.body, e.reason, 0)
		}
	}
	for i := 0; i < len(s.tasks); i++ {
		if s.tasks[i].state != taskQueued {
			continue
		}
		e := known.find(uint32(i))
		switch {
		case e != nil && e.status == encoder.StatusFailed:
			c.taskEnded(s, i, c.findSidecar(e.sidecar), e.status, nil, e.reason, 0)
		case e != nil && e.status != encoder.StatusNotStarted:
			reason := e.reason
			if reason == "" {
				reason = "the worker that had started the task was lost"
			}
			c.taskEnded(s, i, c.findSidecar(e.sidecar), encoder.StatusUnknown, nil, reason, 0)
		case e == nil && !complete && c.takeover.mayHaveStarted(s.key, uint32(i)):
			c.taskEnded(s, i, nil, encoder.StatusUnknown, nil, "it is not known whether the task was started before", 0)
		}
	}
	// This entry starts tasks itself from now on, so the former owner's list of started tasks is outdated.
	delete(c.takeover.handovers, s.key)
	switch {
	case s.state != submissionOpen:
		return
	case s.code != 0:
		c.fail(s, s.code, s.reason)
		return
	case s.unfinished == 0:
		c.endIfFinished(s)
		return
	}
	for i := range s.tasks {
		if s.tasks[i].state == taskQueued {
			c.queue.Push(c.schedulerTask(s, i))
		}
	}
}

// mayHaveStarted reports whether a former owner may have started the task. A task that is missing in the owner's handover
// was not started; without a handover every task may have been.
func (t *takeover) mayHaveStarted(key string, index uint32) bool {
	handover, ok := t.handovers[key]
	return !ok || slices.Contains(handover.started, index)
}

// resetStarts returns the tasks that this entry started before it lost the key to the queued state. All sidecars that
// received these starts have answered the census or count as missing, so their evidence is authoritative.
func (c *Core) resetStarts(s *submission) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if step(taskChart, &t.state, eventRewind) {
			s.running--
			c.queue.TaskRefused(t.sidecar.hello.Member.ID, c.schedulerTask(s, i), encoder.RefusalCanceled)
			t.sidecar, t.resent = nil, false
		}
	}
}

// recoverStarts resends the starts of tasks that a present sidecar is running or holds the results of. The sidecar then
// sends the results to this entry.
func (c *Core) recoverStarts(s *submission, known *evidence) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if e := known.find(uint32(i)); e != nil && t.state == taskQueued &&
			(e.status == encoder.StatusRunning || e.status == encoder.StatusRetained) {
			sc := c.findSidecar(e.sidecar)
			if sc == nil || !step(taskChart, &t.state, eventRecover) {
				continue
			}
			t.sidecar, t.resent = sc, true
			sc.addSubmission(s)
			s.running++
			if sc.session == 0 {
				step(taskChart, &t.state, eventLose)
			} else {
				c.sendStart(s, i)
			}
		}
	}
}

// findSidecar returns the sidecar, or nil if this incarnation of it is not present.
func (c *Core) findSidecar(m *encoder.Member) *sidecar {
	if m == nil {
		return nil
	}
	if sc := c.sidecars[m.ID]; sc != nil && sc.hello.Member == *m {
		return sc
	}
	return nil
}

// handlePeerCensus replies to a peer with the sidecars that this entry knows, and with those keys now owned by the peer
// that this entry forwarded to other owners, witnessed or owned.
func (c *Core) handlePeerCensus(id SessionID, p *peer, m *encoder.PeerCensus) {
	if m.Roster.Epoch > c.roster.Epoch && c.confirmations[StreamRoster] != 0 {
		c.adoptRosterAfterGap(m.Roster)
	}
	p.highestEpoch = max(p.highestEpoch, m.Roster.Epoch)
	c.tickTakeover()
	reply := &encoder.PeerCensusReply{Epoch: m.Roster.Epoch}
	for _, sc := range c.sidecars {
		lost := timer.Millis(0)
		if sc.session == 0 {
			lost = c.now - sc.disconnectedAt
		}
		reply.Sidecars = append(reply.Sidecars, encoder.KnownSidecar{Member: sc.hello.Member, Lost: lost})
	}
	for _, list := range []map[encoder.Member]timer.Millis{c.lostSidecars, c.takeover.missingEvidence} {
		for m, at := range list {
			if m != unknownSidecars {
				reply.Sidecars = append(reply.Sidecars, encoder.KnownSidecar{Member: m, Lost: c.now - at})
			}
		}
	}
	if lastStart, mayMiss := c.mayMissSidecars(); mayMiss {
		reply.Sidecars = append(reply.Sidecars, encoder.KnownSidecar{Member: unknownSidecars, Lost: c.now - lastStart})
	}
	add := func(key string, first timer.Millis) {
		newOwner, ok := elector.Owner(m.Roster, key)
		if !ok || newOwner.Member != p.member {
			return
		}
		if reply.Jobs = append(reply.Jobs, encoder.KnownJob{Key: key, Age: c.now - first}); len(reply.Jobs) == maxKeysPerMessage {
			c.send(id, reply)
			reply = &encoder.PeerCensusReply{Epoch: m.Roster.Epoch}
		}
	}
	for key, owner := range c.knownOwners {
		if c.mayHaveOtherOwner(key, p.member) {
			add(key, owner.firstSeen)
		}
	}
	for key, s := range c.submissions {
		if s.state != submissionHeld {
			add(key, s.firstSeen)
		}
	}
	for key := range c.answerCache.byKey {
		if !c.claims.loggedKeys.has(c.hashKey(key)) {
			add(key, 0) // the peer knows all other keys from the claims stream
		}
	}
	reply.Last = true
	c.send(id, reply)
}

func (c *Core) handlePeerCensusReply(p *peer, m *encoder.PeerCensusReply) {
	if m.Epoch != c.roster.Epoch {
		c.counters.Ignored++
		return
	}
	t := &c.takeover
	if t.reportedKeys == nil {
		t.reportedKeys, t.reportedSidecars = map[string]reportedKey{}, map[encoder.Member]timer.Millis{}
	}
	for _, k := range m.Jobs {
		// The peer measured the age after this entry had adopted the roster, so the key is not older than this.
		first := t.adoptedAt - k.Age
		if old, ok := t.reportedKeys[k.Key]; ok {
			first = min(first, old.firstSeen)
		}
		t.reportedKeys[k.Key] = reportedKey{firstSeen: first, reportedAt: c.now}
	}
	for _, sc := range m.Sidecars {
		if sc.Member == unknownSidecars {
			p.incompleteEpoch, p.lastUnknownSidecarStart = m.Epoch, c.now-sc.Lost
		} else {
			t.reportedSidecars[sc.Member] = max(t.reportedSidecars[sc.Member], c.now-sc.Lost)
		}
	}
	if m.Last {
		p.censusEpoch = m.Epoch
		c.tickTakeover()
	}
}

// adoptRosterAfterGap adopts a roster that this entry did not fold record by record, for example one from a peer.
// Intermediate rosters may have been missed, so every key counts as owned by another entry in the meantime.
func (c *Core) adoptRosterAfterGap(r encoder.Roster) {
	c.takeover.pastRosters = append(c.takeover.pastRosters, pastRoster{encoder.Roster{}, c.now})
	c.takeover.unsettledRosters = append(c.takeover.unsettledRosters, encoder.Roster{Epoch: c.roster.Epoch})
	c.takeover.handovers = nil
	c.foldedRoster = r
	c.adopt(r)
}

// handOverSubmission sends a submission of this leaving entry to its next owner. If certain is true, no tasks other than
// the listed ones can have been started.
func (c *Core) handOverSubmission(s *submission, job encoder.Job, certain bool) {
	owner, ok := elector.Owner(c.roster, s.key)
	if !ok {
		return
	}
	p := c.peers[owner.Member.ID]
	if p == nil || p.session() == 0 {
		return
	}
	m := &encoder.Handover{Job: job, StartedComplete: certain}
	for i := range s.tasks {
		t := &s.tasks[i]
		started := encoder.StartedTask{Task: encoder.TaskKey{Job: s.key, Index: uint32(i)}, Status: encoder.StatusRunning}
		switch t.state {
		case taskDone:
			started.Status, started.Body = encoder.StatusDone, t.body
		case taskStarted, taskInDoubt:
		default:
			continue
		}
		m.Started = append(m.Started, started)
	}
	c.send(p.session(), m)
}

// handOverAnswers sends the newest cached answers to the next owners of their keys.
func (c *Core) handOverAnswers() {
	order := c.answerCache.order
	bytes := 0
	for i := len(order) - 1; i >= 0 && i >= len(order)-maxHandovers; i-- {
		k := c.answerCache.byKey[order[i].key]
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

// handleHandover continues a submission of a leaving entry, or caches its answer.
func (c *Core) handleHandover(m *encoder.Handover) {
	key := m.Job.Key
	if m.Answer.State == encoder.JobComplete || m.Answer.State == encoder.JobFailed {
		if _, ok := c.answerCache.byKey[key]; !ok && c.submissions[key] == nil {
			c.cacheAnswer(0, m.Answer) // digest 0: the content of the job is unknown and cannot be compared
		}
		return
	}
	if c.submissions[key] == nil {
		record := handoverRecord{receivedAt: c.now}
		for i := range m.Started {
			if m.Started[i].Status == encoder.StatusRunning {
				record.started = append(record.started, m.Started[i].Task.Index)
			} else {
				c.takeover.addEvidence(&m.Started[i], nil, c.now)
			}
		}
		certain := m.StartedComplete && c.isOwner(c.roster, key)
		if certain && c.takeover.handovers == nil {
			c.takeover.handovers = map[string]handoverRecord{}
		}
		if certain {
			c.takeover.handovers[key] = record
		}
	}
	c.route(waiter{}, encoder.RequestSubmit, m.Job, 0)
}
