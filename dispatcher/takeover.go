package dispatcher

import (
	"slices"
	"strings"

	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// takeoverWait is the time after which no sidecar that has not answered can start anything for a former owner:
	// the validity of a peer's report, the freshness lease and a margin.
	takeoverTimeout     = reportValidity + leaseDuration + leaseMargin
	censusRetryInterval = timer.Second
	// seenMargin is longer than a claim takes to reach the other entries while the log is reachable.
	claimDelayMargin = 5 * timer.Second
)

// unknownSidecars stands for sidecars that started tasks and that no remaining member of the roster may know.
var unlistedSidecars = encoder.Member{ID: "unknown sidecars"}

type (
	// takeover is the state of the keys that this entry gained and the evidence about them.
	takeover struct {
		state            string
		unsettledRosters []encoder.Roster // former rosters under which the keys were not settled yet
		pastRosters      []pastRoster     // former rosters within the retention
		adoptedAt        timer.Millis
		supersededAt     timer.Millis
		lastCensus       timer.Millis
		answeredEpochs   map[encoder.Member]uint64       // sidecar to the epoch of its last complete answer
		peerSidecars     map[encoder.Member]timer.Millis // sidecars that peers know, with the time when they were told of
		reportedSidecars map[encoder.Member]timer.Millis // sidecars that peers knew, too, by the answers to the peer census
		missingEvidence  map[encoder.Member]timer.Millis // sidecars whose evidence is lost, with the last time they could start
		leftEntries      map[encoder.Member]timer.Millis // entries that left the roster at their own request
		reportedKeys     map[string]reportedKey          // keys that peers reported
		handovers        map[string]handoverRecord       // submissions that leaving entries handed over
		evidence         map[string]*evidence
	}

	// reportedKey is a key that a peer reported. First is the earliest time at which a peer saw it.
	reportedKey struct{ firstSeen, reportedAt timer.Millis }

	// handed lists the tasks of a submission that its former owner may have started, by index. It started no others.
	handoverRecord struct {
		receivedAt timer.Millis
		started    []uint32
	}

	pastRoster struct {
		roster     encoder.Roster
		replacedAt timer.Millis
	}

	// evidence lists the started tasks of a submission.
	evidence struct {
		updatedAt timer.Millis
		tasks     []startedTask
	}

	startedTask struct {
		index   uint32
		status  encoder.Status
		sidecar *encoder.Member // nil when the former owner told of it
		body    []byte
		reason  string
	}
)

// change begins a takeover after the roster prev was replaced. Submissions that another entry owned at any time since
// are held until the census is done.
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
		mine := c.isOwner(c.roster, s.key)
		if (!mine || c.ownedByOther(s.key)) && s.state != submissionEnded {
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

// gained reports whether another entry or incarnation owned the key since the keys were last settled.
func (c *Core) ownedByOther(key string) bool {
	for _, r := range c.takeover.unsettledRosters {
		if !c.isOwner(r, key) {
			return true
		}
	}
	return false
}

// settled reports whether this entry may start work for a key that it owns.
func (c *Core) isSettled(key string) bool {
	return c.joined && (len(c.takeover.unsettledRosters) == 0 || !c.ownedByOther(key))
}

// known reports whether a former owner may have started tasks of the key.
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

// complete reports whether every sidecar that can have started tasks of the key has told so. A sidecar that was lost
// before the key was first seen cannot have started any.
func (c *Core) hasCompleteEvidence(key string) bool {
	owners, ok := c.knownOwners[key]
	firstSeen := owners.firstSeen
	if k, reported := c.takeover.reportedKeys[key]; reported && (!ok || k.firstSeen < firstSeen) {
		firstSeen = k.firstSeen
	}
	for _, lost := range c.takeover.missingEvidence {
		if lost+claimDelayMargin >= firstSeen {
			return false
		}
	}
	return true
}

// move hands the callers of a submission over to its owner. The tasks stay as evidence for the case that the key comes
// back.
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
		// After a removal another entry may have started tasks since, so only a leaver can be certain.
		c.handOverSubmission(s, job, !held && c.leftVoluntarily)
	}
	if len(waiters) == 0 && c.isOwner(c.roster, s.key) {
		waiters = []waiter{{}} // nobody waits, but the job goes on
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
	if _, listed := elector.Find(c.roster, p.member.ID); !listed || !c.joined || p.censusEpoch >= c.roster.Epoch {
		return
	}
	if id := p.session(); id != 0 {
		c.send(id, &encoder.PeerCensus{Roster: c.roster})
	}
}

// tickTakeover moves the takeover on when its conditions hold.
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
	pending, lost := c.unansweredSidecars()
	switch {
	case !c.allPeersAnswered():
		return
	case pending == 0 && len(lost) == 0:
		step(takeoverChart, &t.state, eventAnswered)
	case (pending == 0 || c.now-t.supersededAt >= takeoverTimeout) && c.confirmations[StreamClaims] >= t.adoptedAt:
		step(takeoverChart, &t.state, eventExpire)
		if t.missingEvidence == nil {
			t.missingEvidence = map[encoder.Member]timer.Millis{}
		}
		for m, at := range lost {
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

// leftBehind reports whether at least half of each former roster has reported the roster after it, so that the rest can
// form no majority that attests a log outage under the former one.
func (c *Core) formerRostersSuperseded() bool {
	t := &c.takeover
	for i, r := range t.unsettledRosters {
		epoch := c.roster.Epoch
		if i+1 < len(t.unsettledRosters) {
			epoch = t.unsettledRosters[i+1].Epoch
		}
		count := 0
		for _, e := range r.Entries {
			_, stopped := t.leftEntries[e.Member]
			p := c.peers[e.Member.ID]
			if e.Member.ID == c.self.ID || stopped || p != nil && p.highestEpoch >= epoch {
				count++
			}
		}
		if 2*count < len(r.Entries) {
			return false
		}
	}
	return true
}

// unanswered counts the sidecars whose answer has to be awaited, and returns all whose evidence is lacking with the last
// time at which they can have started a task.
func (c *Core) unansweredSidecars() (pending int, lost map[encoder.Member]timer.Millis) {
	t := &c.takeover
	lost = map[encoder.Member]timer.Millis{}
	check := func(m encoder.Member, last timer.Millis) {
		if t.answeredEpochs[m] < c.roster.Epoch {
			lost[m] = max(lost[m], last)
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
	if last, ok := c.lastUnlistedStart(); ok {
		check(unlistedSidecars, last)
	}
	for m, last := range lost {
		current := c.sidecars[m.ID]
		replaced := current != nil && current.hello.Member.Incarnation > m.Incarnation
		if !replaced && c.now-last < lostSidecarWait {
			pending++
		}
	}
	return pending, lost
}

// peersAnswered reports whether the other members told the keys and sidecars that they know.
func (c *Core) allPeersAnswered() bool {
	for _, e := range c.roster.Entries {
		if p := c.peers[e.Member.ID]; e.Member.ID != c.self.ID && (p == nil || p.censusEpoch < c.roster.Epoch) {
			return false
		}
	}
	return true
}

// unknown returns the last time at which a sidecar that nobody knows any more can have started tasks under the former
// rosters. ok is false when there is none: a sidecar accepts starts only when each member knows it, so one member without
// doubts that remains of each roster knows all of them.
func (c *Core) lastUnlistedStart() (last timer.Millis, ok bool) {
	for _, r := range c.takeover.unsettledRosters {
		rosterLast, incomplete := c.now, len(r.Entries) > 0
		for _, e := range r.Entries {
			current, listed := elector.Find(c.roster, e.Member.ID)
			if !listed || current.Member != e.Member {
				continue
			}
			at, mayMiss := c.takeover.missingEvidence[unlistedSidecars]
			if e.Member != c.self {
				p := c.peers[e.Member.ID]
				if p == nil || p.censusEpoch != c.roster.Epoch {
					continue
				}
				at, mayMiss = p.lastUnlistedStart, p.incompleteEpoch == c.roster.Epoch
			}
			rosterLast, incomplete = min(rosterLast, at), incomplete && mayMiss
		}
		if incomplete {
			last, ok = max(last, rosterLast), true
		}
	}
	return last, ok
}

// doubts reports whether there may be sidecars that accepted starts under the former rosters and that this entry does
// not know, and the last time at which they can have started tasks.
func (c *Core) mayMissSidecars() (last timer.Millis, ok bool) {
	for _, r := range c.takeover.unsettledRosters {
		if self, listed := elector.Find(r, c.self.ID); len(r.Entries) > 0 && (!listed || self.Member != c.self) {
			return c.now, true
		}
	}
	if !c.joined {
		return c.now, true
	}
	last, ok = c.takeover.missingEvidence[unlistedSidecars]
	return last, ok
}

// lost describes the sidecars whose evidence is missing, for the log.
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
	old := c.now - c.settings.KeyRetention
	for len(t.pastRosters) > 0 && t.pastRosters[0].replacedAt < old {
		t.pastRosters = t.pastRosters[1:]
	}
	if c.now != c.lastSweep {
		return
	}
	for key, s := range c.submissions {
		if s.state == submissionMoved && s.movedAt < old && step(submissionChart, &s.state, eventEnd) {
			delete(c.submissions, key)
			s.detachSidecars()
		}
	}
	for _, list := range []map[encoder.Member]timer.Millis{t.peerSidecars, t.reportedSidecars, t.missingEvidence, t.leftEntries} {
		for m, at := range list {
			if at < old {
				delete(list, m)
			}
		}
	}
	for key, k := range t.reportedKeys {
		if k.reportedAt < old {
			delete(t.reportedKeys, key)
		}
	}
	for key, h := range t.handovers {
		if h.receivedAt < old {
			delete(t.handovers, key)
		}
	}
	for key, e := range t.evidence {
		if e.updatedAt < old {
			delete(t.evidence, key)
		}
	}
}

// heard notes a sidecar that a peer has a session to.
func (t *takeover) sidecarSeen(m encoder.Member, now timer.Millis) {
	if t.peerSidecars == nil {
		t.peerSidecars = map[encoder.Member]timer.Millis{}
	}
	t.peerSidecars[m] = now
}

// left notes an entry that has left the roster at its own request and starts nothing any more.
func (t *takeover) entryLeft(m encoder.Member, now timer.Millis) {
	if t.leftEntries == nil {
		t.leftEntries = map[encoder.Member]timer.Millis{}
	}
	t.leftEntries[m] = now
}
