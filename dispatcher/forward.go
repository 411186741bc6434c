package dispatcher

import (
	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

type (
	// forward is a caller's request that was forwarded to the owner of its key. It is kept until the answer arrives and
	// resent when the owner changes, which is safe because submission is idempotent.
	forward struct {
		id       uint64
		waiter   waiter
		request  encoder.Request
		job      encoder.Job
		deadline timer.Millis // absolute time; 0 means none
		hops     uint32
		session  SessionID // session on which it was sent; 0 while there is none to the owner
		retryAt  timer.Millis
		// Parts received of an answer that does not fit into one frame.
		results  []encoder.TaskResult
		received []bool
		missing  int
	}

	// knownOwner is the owner to which a submission was forwarded, or which sent the key to this entry as its witness.
	knownOwner struct {
		owner      encoder.Member
		multiple   bool         // there were other owners before owner
		recordedAt timer.Millis // when the key first reached this entry
		firstSeen  timer.Millis // earliest time at which the submission can have existed; 0 if unknown
	}
)

func (c *Core) recordOwner(key string, owner encoder.Member) {
	p, ok := c.knownOwners[key]
	if !ok {
		p = knownOwner{owner: owner, recordedAt: c.now, firstSeen: c.firstSeen(key)}
	}
	p.multiple = p.multiple || p.owner != owner
	p.owner = owner
	c.knownOwners[key] = p
}

// firstSeen returns the earliest time at which a submission that arrives now can have existed, or 0 if that is unknown. A
// submission that reached another entry before has a claim in the log, unless the log was unreachable.
func (c *Core) firstSeen(key string) timer.Millis {
	if s := c.submissions[key]; s != nil {
		return s.firstSeen
	}
	if k, ok := c.takeover.reportedKeys[key]; ok {
		return min(k.firstSeen, c.now)
	}
	if _, ok := c.answerCache.byKey[key]; ok || c.takeover.evidence[key] != nil {
		return 0
	}
	claimsCurrent := c.now-c.confirmations[StreamClaims] <= logTimeout && c.now-c.lastOutage > claimRecoveryTime
	if !claimsCurrent || c.claims.loggedKeys.has(c.hashKey(key)) {
		return 0
	}
	return c.now
}

// mayHaveOtherOwner reports whether this entry forwarded the submission to an owner other than m, or was its witness for
// one.
func (c *Core) mayHaveOtherOwner(key string, m encoder.Member) bool {
	p, ok := c.knownOwners[key]
	return ok && (p.multiple || p.owner != m)
}

func (c *Core) forward(w waiter, r encoder.Request, job encoder.Job, hops uint32) {
	if len(c.forwards) >= c.settings.MaxJobs || len(c.knownOwners) >= c.settings.MaxKeys {
		c.answer(w, failedAnswer(job.Key, encoder.CodeOverload, encoder.OutcomeUnknown, "too many forwarded requests"))
		return
	}
	c.lastForwardID++
	f := &forward{id: c.lastForwardID, waiter: w, request: r, job: job, hops: hops}
	if job.Deadline > 0 {
		f.deadline = c.now + job.Deadline
	}
	c.forwards[f.id] = f
	c.counters.Forwarded++
	c.sendForward(f)
}

// sendForward sends the request to the owner of its key. If this entry has become the owner, it serves the request itself;
// if there is no session to the owner, the request is retried later.
func (c *Core) sendForward(f *forward) {
	f.session = 0
	f.retryAt = c.now + forwardRetryInterval
	owner, ok := elector.Owner(c.roster, f.job.Key)
	if !ok {
		return
	}
	job := f.job
	if f.deadline != 0 {
		if f.deadline <= c.now {
			return // tickForwards answers it
		}
		job.Deadline = f.deadline - c.now
	}
	if owner.Member == c.self {
		delete(c.forwards, f.id)
		c.route(f.waiter, f.request, job, f.hops)
		return
	}
	p := c.peers[owner.Member.ID]
	if p == nil || p.member != owner.Member || p.session() == 0 {
		return
	}
	if f.hops >= maxHops {
		// The entries disagree on the roster. The request is retried after forwardRetryInterval.
		f.hops = 0
		return
	}
	f.session = p.session()
	if f.request == encoder.RequestSubmit {
		c.recordOwner(job.Key, owner.Member)
	}
	c.send(f.session, &encoder.Forward{ID: f.id, Request: f.request, Hops: f.hops + 1, Job: job})
}

func (c *Core) handleForwardAnswer(m *encoder.ForwardAnswer) {
	f := c.forwards[m.ID]
	if f == nil || f.job.Key != m.Answer.Key {
		c.counters.Ignored++ // a duplicate answer, or the answer to another request
		return
	}
	if m.Total != 0 && !f.addPart(m) {
		return
	}
	delete(c.forwards, f.id)
	c.answer(f.waiter, m.Answer)
}

// addPart stores a part of an answer. When all parts have arrived, it sets the results of m to the complete list and returns
// true. Parts may arrive in any order, and may be repeated after a session was lost.
func (f *forward) addPart(m *encoder.ForwardAnswer) bool {
	if m.Total > encoder.MaxTasks || int(m.First)+len(m.Answer.Results) > int(m.Total) {
		return false // malformed: this version does not send such an answer
	}
	if len(f.results) != int(m.Total) {
		f.results, f.received, f.missing = make([]encoder.TaskResult, m.Total), make([]bool, m.Total), int(m.Total)
	}
	for i, r := range m.Answer.Results {
		at := int(m.First) + i
		if !f.received[at] {
			f.received[at] = true
			f.missing--
		}
		f.results[at] = r
	}
	if f.missing > 0 {
		return false
	}
	m.Answer.Results = f.results
	return true
}

// handleForwardSessionClosed resends the requests that were sent on a closed session, and drops those received on it.
func (c *Core) handleForwardSessionClosed(id SessionID) {
	for _, f := range c.forwards {
		switch id {
		case f.waiter.session:
			delete(c.forwards, f.id) // the peer resends it on its next session
		case f.session:
			c.sendForward(f)
		}
	}
}

func (c *Core) forwardNotSent(id uint64) {
	if f := c.forwards[id]; f != nil {
		f.session, f.retryAt = 0, c.now+forwardRetryInterval
	}
}

// retryForwards sends the requests that are waiting for a session to the given entry.
func (c *Core) retryForwards(owner string) {
	for _, f := range c.forwards {
		if f.session != 0 {
			continue
		}
		if o, ok := elector.Owner(c.roster, f.job.Key); ok && o.Member.ID == owner {
			c.sendForward(f)
		}
	}
}

// redirectForwards resends the requests whose owner changed with the new roster.
func (c *Core) redirectForwards() {
	for _, f := range c.forwards {
		owner, ok := elector.Owner(c.roster, f.job.Key)
		p := c.peers[owner.Member.ID]
		if !ok || f.session == 0 || p == nil || p.member != owner.Member || c.sessions[f.session] == nil ||
			c.sessions[f.session].peer != p {
			c.sendForward(f)
		}
	}
}

// tickForwards answers the requests whose deadline has passed and retries those that wait for a session. The outcome of an
// expired request is unknown, because another entry may have run the job.
func (c *Core) tickForwards() {
	for _, f := range c.forwards {
		switch {
		case f.deadline != 0 && f.deadline+leaseMargin <= c.now:
			delete(c.forwards, f.id)
			c.answer(f.waiter, failedAnswer(f.job.Key, encoder.CodeDeadline, encoder.OutcomeUnknown,
				"the owner of the submission did not answer in time"))
		case f.session == 0 && f.retryAt <= c.now:
			c.sendForward(f)
		}
	}
}

func (c *Core) removeExpiredOwners() {
	for key, p := range c.knownOwners {
		if p.recordedAt+c.settings.KeyRetention < c.now ||
			p.recordedAt+knownOwnerRetention < c.now && c.claims.loggedKeys.has(c.hashKey(key)) {
			delete(c.knownOwners, key)
		}
	}
}

// sendWitness sends a key that only this entry knows to the entry that would own it next, its witness.
func (c *Core) sendWitness(key string) {
	next, ok := elector.Successor(c.roster, key)
	if !ok {
		return
	}
	if p := c.peers[next.Member.ID]; p != nil && p.session() != 0 {
		c.send(p.session(), &encoder.Witness{Jobs: []string{key}})
	}
}

// resendWitness repeats the Witness messages to a peer, because those on its former session may have been lost.
func (c *Core) resendWitness(id string) {
	var keys []string
	for _, s := range c.submissions {
		if !s.receivedHere || s.state == submissionMoved {
			continue
		}
		if next, ok := elector.Successor(c.roster, s.key); ok && next.Member.ID == id {
			keys = append(keys, s.key)
		}
	}
	for len(keys) > 0 {
		n := min(len(keys), maxKeysPerMessage)
		c.send(c.peers[id].session(), &encoder.Witness{Jobs: keys[:n]})
		keys = keys[n:]
	}
}

func (c *Core) handleWitness(owner encoder.Member, keys []string) {
	for _, key := range keys {
		if len(key) <= c.settings.MaxKeyLength && len(c.knownOwners) < c.settings.MaxKeys {
			c.recordOwner(key, owner)
		}
	}
}
