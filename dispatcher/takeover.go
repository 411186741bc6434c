package dispatcher

import (
	"slices"
	"strings"

	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// takeoverTimeout is the time after which a sidecar that has not answered the census can no longer start tasks for a
	// former owner: the validity of a peer's report, the freshness lease and a margin.
	takeoverTimeout     = reportValidity + leaseDuration + leaseMargin
	censusRetryInterval = timer.Second
	// claimDelayMargin is an upper bound of the time that a claim takes to reach the other entries while the log is
	// reachable.
	claimDelayMargin = 5 * timer.Second
)

// unknownSidecars stands for sidecars that may have started tasks but may be unknown to every remaining member of the
// roster.
var unknownSidecars = encoder.Member{ID: "unknown sidecars"}

type (
	// takeover is the state of the keys that this entry gained, and the evidence of which of their tasks were started.
	takeover struct {
		state            string
		unsettledRosters []encoder.Roster // former rosters since the ownership of the keys was last settled
		pastRosters      []pastRoster     // former rosters within the retention
		adoptedAt        timer.Millis
		supersededAt     timer.Millis                    // when formerRostersSuperseded first held
		lastCensus       timer.Millis                    // when the census was last sent to all
		answeredEpochs   map[encoder.Member]uint64       // sidecars that answered; epoch of the last complete answer
		peerSidecars     map[encoder.Member]timer.Millis // sidecars known here or to peers; time of the last report
		reportedSidecars map[encoder.Member]timer.Millis // sidecars in peer census replies; last time with a session
		missingEvidence  map[encoder.Member]timer.Millis // sidecars without evidence; time of the last possible start
		leftEntries      map[encoder.Member]timer.Millis // entries that left by their own leave record; time of the leave
		reportedKeys     map[string]reportedKey          // keys that peers reported
		handovers        map[string]handoverRecord       // submissions handed over by leaving entries
		evidence         map[string]*evidence
	}

	// reportedKey describes a key that a peer reported. firstSeen is the earliest time at which a peer saw it.
	reportedKey struct{ firstSeen, reportedAt timer.Millis }

	// handoverRecord lists the indices of the tasks of a submission that its former owner may have started. No other tasks
	// were started.
	handoverRecord struct {
		receivedAt timer.Millis
		started    []uint32
	}

	pastRoster struct {
		roster     encoder.Roster
		replacedAt timer.Millis
	}

	// evidence lists the tasks of a submission that are known to be started.
	evidence struct {
		updatedAt timer.Millis
		tasks     []startedTask
	}

	startedTask struct {
		index   uint32
		status  encoder.Status
		sidecar *encoder.Member // nil if reported by the former owner
		body    []byte
		reason  string
	}
)

// beginTakeover begins a takeover after the roster prev was replaced. Submissions that another entry owned at any time since
// the last settled roster are held until the census is complete.
func (c *Core) beginTakeover(prev encoder.Roster) {
	t := &c.takeover
	t.pastRosters = append(t.pastRosters, pastRoster{prev, c.now})
	t.unsettledRosters = append(t.unsettledRosters, prev)
	t.adoptedAt, t.lastCensus = c.now, c.now
	step(takeoverChart, &t.state, eventChange)
	c.counters.Takeovers++
	if c.draining && !c.joined {
		c.handOverAnswers()
	}
	for key := range t.handovers {
		if !c.isOwner(c.roster, key) {
			delete(t.handovers, key)
		}
	}
	for _, s := range c.submissions {
		owned := c.isOwner(c.roster, s.key)
		if (!owned || c.ownedByOther(s.key)) && s.state != submissionEnded {
			c.moveSubmission(s)
		}
	}
	if !c.joined {
		return
	}
	for _, sc := range c.sidecars {
		c.sendCensus(sc)
	}
	for _, p := range c.peers {
		c.sendPeerCensus(p)
	}
	c.tickTakeover()
}

// ownedByOther reports whether another entry or incarnation has owned the key since ownership was last settled.
func (c *Core) ownedByOther(key string) bool {
	for _, r := range c.takeover.unsettledRosters {
		if !c.isOwner(r, key) {
			return true
		}
	}
	return false
}

// isSettled reports whether this entry may start tasks of a key that it owns.
func (c *Core) isSettled(key string) bool {
	return c.joined && (len(c.takeover.unsettledRosters) == 0 || !c.ownedByOther(key))
}

// formerOwnerMayHaveStarted reports whether a former owner may have started tasks of the key.
func (c *Core) formerOwnerMayHaveStarted(key string) bool {
	ownedByOther := false
	for i := range c.takeover.pastRosters {
		ownedByOther = ownedByOther || !c.isOwner(c.takeover.pastRosters[i].roster, key)
	}
	if !ownedByOther {
		return false
	}
	if c.mayHaveOtherOwner(key, c.self) {
		return true
	}
	if _, ok := c.takeover.reportedKeys[key]; ok || c.takeover.evidence[key] != nil {
		return true
	}
	s := c.submissions[key]
	return c.claims.loggedKeys.has(c.hashKey(key)) || s != nil && s.ownedElsewhere
}

// hasCompleteEvidence reports whether every sidecar that may have started tasks of the key has answered the census. A
// sidecar that was lost before the key was first seen cannot have started any.
func (c *Core) hasCompleteEvidence(key string) bool {
	owners, ok := c.knownOwners[key]
	firstSeen := owners.firstSeen
	if k, reported := c.takeover.reportedKeys[key]; reported && (!ok || k.firstSeen < firstSeen) {
		firstSeen = k.firstSeen
	}
	for _, lastStart := range c.takeover.missingEvidence {
		if lastStart+claimDelayMargin >= firstSeen {
			return false
		}
	}
	return true
}

// moveSubmission routes the callers of a submission to its new owner. The tasks are kept as evidence in case the key returns
// to this entry.
func (c *Core) moveSubmission(s *submission) {
	held := s.state == submissionHeld
	if !step(submissionChart, &s.state, eventMove) {
		return
	}
	c.queue.CancelJob(s.key)
	s.ownedElsewhere, s.movedAt = true, c.now
	waiters := s.waiters
	s.waiters = nil
	job := encoder.Job{Key: s.key, Team: s.team, Tasks: s.specs, Once: s.once}
	if s.deadline != 0 {
		job.Deadline = max(1, s.deadline-c.now)
	}
	if c.draining && !c.joined {
		// After a removal, another entry may have started tasks in the meantime. Only an entry that left by its own leave
		// record knows all starts.
		c.handOverSubmission(s, job, !held && c.leftVoluntarily)
	}
	if len(waiters) == 0 && c.isOwner(c.roster, s.key) {
		waiters = []waiter{{}} // no caller waits, but the job continues
	}
	for _, w := range waiters {
		c.route(w, encoder.RequestSubmit, job, 0)
	}
}

func (c *Core) sendCensus(sc *sidecar) {
	if sc.session == 0 || !c.joined || c.takeover.answeredEpochs[sc.hello.Member] >= c.roster.Epoch {
		return
	}
	sc.censusEpoch = c.roster.Epoch
	c.send(sc.session, &encoder.Census{Roster: c.roster})
}

func (c *Core) sendPeerCensus(p *peer) {
	if _, listed := elector.FindEntry(c.roster, p.member.ID); !listed || !c.joined || p.censusEpoch >= c.roster.Epoch {
		return
	}
	if id := p.session(); id != 0 {
		c.send(id, &encoder.PeerCensus{Roster: c.roster})
	}
}

// tickTakeover repeats the census while it is incomplete, and advances the takeover when its conditions hold.
func (c *Core) tickTakeover() {
	t := &c.takeover
	c.removeExpiredEvidence()
	if t.state == takeoverPartial && len(t.missingEvidence) == 0 {
		step(takeoverChart, &t.state, eventAnswered)
	}
	if len(t.unsettledRosters) == 0 || !c.joined {
		return
	}
	if c.now-t.lastCensus >= censusRetryInterval {
		t.lastCensus = c.now
		for _, sc := range c.sidecars {
			c.sendCensus(sc)
		}
		for _, p := range c.peers {
			c.sendPeerCensus(p)
		}
	}
	if t.state == takeoverWaiting && c.formerRostersSuperseded() && step(takeoverChart, &t.state, eventMajority) {
		t.supersededAt = c.now
	}
	if t.state != takeoverAsking {
		return
	}
	pending, unanswered := c.unansweredSidecars()
	switch {
	case !c.allPeersAnswered():
		return
	case pending == 0 && len(unanswered) == 0:
		step(takeoverChart, &t.state, eventAnswered)
	case (pending == 0 || c.now-t.supersededAt >= takeoverTimeout) && c.confirmations[StreamClaims] >= t.adoptedAt:
		step(takeoverChart, &t.state, eventExpire)
		if t.missingEvidence == nil {
			t.missingEvidence = map[encoder.Member]timer.Millis{}
		}
		for m, at := range unanswered {
			t.missingEvidence[m] = at
		}
	default:
		return
	}
	t.unsettledRosters = nil
	for _, s := range c.submissions {
		if s.state == submissionHeld && c.isOwner(c.roster, s.key) {
			c.admit(s)
		}
	}
	c.placeTasks()
}

// formerRostersSuperseded reports whether at least half of each former roster has left or has reported the epoch of the next
// roster. The rest can then form no majority that attests a log outage under the former roster.
func (c *Core) formerRostersSuperseded() bool {
	t := &c.takeover
	for i, r := range t.unsettledRosters {
		epoch := c.roster.Epoch
		if i+1 < len(t.unsettledRosters) {
			epoch = t.unsettledRosters[i+1].Epoch
		}
		count := 0
		for _, e := range r.Entries {
			_, left := t.leftEntries[e.Member]
			p := c.peers[e.Member.ID]
			if e.Member.ID == c.self.ID || left || p != nil && p.highestEpoch >= epoch {
				count++
			}
		}
		if 2*count < len(r.Entries) {
			return false
		}
	}
	return true
}

// unansweredSidecars returns the sidecars without evidence, with the last time at which each may have started a task, and
// the number of those whose answer has to be awaited.
func (c *Core) unansweredSidecars() (pending int, unanswered map[encoder.Member]timer.Millis) {
	t := &c.takeover
	unanswered = map[encoder.Member]timer.Millis{}
	check := func(m encoder.Member, last timer.Millis) {
		if t.answeredEpochs[m] < c.roster.Epoch {
			unanswered[m] = max(unanswered[m], last)
		}
	}
	for _, sc := range c.sidecars {
		last := c.now
		if sc.session == 0 {
			last = sc.disconnectedAt
		}
		check(sc.hello.Member, last)
	}
	for m, at := range c.lostSidecars {
		check(m, at)
	}
	for m, at := range t.peerSidecars {
		check(m, at)
	}
	if _, mayMiss := c.mayMissSidecars(); mayMiss {
		for m, at := range t.reportedSidecars {
			check(m, at)
		}
	}
	if last, ok := c.lastUnknownSidecarStart(); ok {
		check(unknownSidecars, last)
	}
	for m, last := range unanswered {
		current := c.sidecars[m.ID]
		replaced := current != nil && current.hello.Member.Incarnation > m.Incarnation
		if !replaced && c.now-last < lostSidecarWait {
			pending++
		}
	}
	return pending, unanswered
}

// allPeersAnswered reports whether all other members have answered the peer census completely.
func (c *Core) allPeersAnswered() bool {
	for _, e := range c.roster.Entries {
		if p := c.peers[e.Member.ID]; e.Member.ID != c.self.ID && (p == nil || p.censusEpoch < c.roster.Epoch) {
			return false
		}
	}
	return true
}

// lastUnknownSidecarStart returns the last time at which a sidecar that no member knows any more may have started tasks
// under the former rosters. ok is false if there is no such sidecar: a sidecar accepts starts only if each member knows it,
// so one remaining member of each roster that is certain to know all sidecars is sufficient.
func (c *Core) lastUnknownSidecarStart() (last timer.Millis, ok bool) {
	for _, r := range c.takeover.unsettledRosters {
		rosterLast, incomplete := c.now, len(r.Entries) > 0
		for _, e := range r.Entries {
			current, listed := elector.FindEntry(c.roster, e.Member.ID)
			if !listed || current.Member != e.Member {
				continue
			}
			at, mayMiss := c.takeover.missingEvidence[unknownSidecars]
			if e.Member != c.self {
				p := c.peers[e.Member.ID]
				if p == nil || p.censusEpoch != c.roster.Epoch {
					continue
				}
				at, mayMiss = p.lastUnknownSidecarStart, p.incompleteEpoch == c.roster.Epoch
			}
			rosterLast, incomplete = min(rosterLast, at), incomplete && mayMiss
		}
		if incomplete {
			last, ok = max(last, rosterLast), true
		}
	}
	return last, ok
}

// mayMissSidecars reports whether sidecars unknown to this entry may have accepted starts under the former rosters, and the
// last time at which they may have started tasks.
func (c *Core) mayMissSidecars() (last timer.Millis, ok bool) {
	for _, r := range c.takeover.unsettledRosters {
		if self, listed := elector.FindEntry(r, c.self.ID); len(r.Entries) > 0 && (!listed || self.Member != c.self) {
			return c.now, true
		}
	}
	if !c.joined {
		return c.now, true
	}
	last, ok = c.takeover.missingEvidence[unknownSidecars]
	return last, ok
}

// missingSummary describes the sidecars without evidence for the log line, or returns "".
func (t *takeover) missingSummary() string {
	if len(t.missingEvidence) == 0 {
		return ""
	}
	names := make([]string, 0, len(t.missingEvidence))
	for m := range t.missingEvidence {
		names = append(names, m.ID)
	}
	slices.Sort(names)
	return "; without the evidence of " + strings.Join(names, ", ")
}

func (c *Core) removeExpiredEvidence() {
	t := &c.takeover
	cutoff := c.now - c.settings.KeyRetention
	for len(t.pastRosters) > 0 && t.pastRosters[0].replacedAt < cutoff {
		t.pastRosters = t.pastRosters[1:]
	}
	if c.now != c.lastCleanup {
		return
	}
	for key, s := range c.submissions {
		if s.state == submissionMoved && s.movedAt < cutoff && step(submissionChart, &s.state, eventEnd) {
			delete(c.submissions, key)
			s.detachSidecars()
		}
	}
	for _, list := range []map[encoder.Member]timer.Millis{t.peerSidecars, t.reportedSidecars, t.missingEvidence, t.leftEntries} {
		for m, at := range list {
			if at < cutoff {
				delete(list, m)
			}
		}
	}
	for key, k := range t.reportedKeys {
		if k.reportedAt < cutoff {
			delete(t.reportedKeys, key)
		}
	}
	for key, h := range t.handovers {
		if h.receivedAt < cutoff {
			delete(t.handovers, key)
		}
	}
	for key, e := range t.evidence {
		if e.updatedAt < cutoff {
			delete(t.evidence, key)
		}
	}
}

// sidecarSeen records a sidecar that this entry or a peer has a session to.
func (t *takeover) sidecarSeen(m encoder.Member, now timer.Millis) {
	if t.peerSidecars == nil {
		t.peerSidecars = map[encoder.Member]timer.Millis{}
	}
	t.peerSidecars[m] = now
}

// entryLeft records an entry that left the roster by its own leave record and starts no tasks any more.
func (t *takeover) entryLeft(m encoder.Member, now timer.Millis) {
	if t.leftEntries == nil {
		t.leftEntries = map[encoder.Member]timer.Millis{}
	}
	t.leftEntries[m] = now
}
