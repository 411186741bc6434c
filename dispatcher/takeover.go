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
	takeoverWait = reportValid + leaseTime + leaseMargin
	askAgain     = timer.Second
	// seenMargin is longer than a claim takes to reach the other entries while the log is reachable.
	seenMargin = 5 * timer.Second
)

// unknownSidecars stands for sidecars that started tasks and that no remaining member of the roster may know.
var unknownSidecars = encoder.Member{ID: "unknown sidecars"}

type (
	// takeover is the state of the keys that this entry gained and the evidence about them.
	takeover struct {
		state    string
		chain    []encoder.Roster // former rosters under which the keys were not settled yet
		past     []pastRoster     // former rosters within the retention
		adopted  timer.Millis
		majority timer.Millis
		asked    timer.Millis
		answered map[encoder.Member]uint64       // sidecar to the epoch of its last complete answer
		others   map[encoder.Member]timer.Millis // sidecars that peers know, with the time when they were told of
		reported map[encoder.Member]timer.Millis // sidecars that peers knew, too, by the answers to the peer census
		missing  map[encoder.Member]timer.Millis // sidecars whose evidence is lost, with the last time they could start
		stopped  map[encoder.Member]timer.Millis // entries that left the roster at their own request
		keys     map[string]reportedKey          // keys that peers reported
		handed   map[string]handed               // submissions that leaving entries handed over
		evidence map[string]*evidence
	}

	// reportedKey is a key that a peer reported. First is the earliest time at which a peer saw it.
	reportedKey struct{ first, at timer.Millis }

	// handed lists the tasks of a submission that its former owner may have started, by index. It started no others.
	handed struct {
		at      timer.Millis
		started []uint32
	}

	pastRoster struct {
		roster encoder.Roster
		until  timer.Millis
	}

	// evidence lists the started tasks of a submission.
	evidence struct {
		at    timer.Millis
		tasks []started
	}

	started struct {
		index   uint32
		status  encoder.Status
		sidecar *encoder.Member // nil when the former owner told of it
		body    []byte
		reason  string
	}
)

// change begins a takeover after the roster prev was replaced. Submissions that another entry owned at any time since
// are held until the census is done.
func (c *Core) change(prev encoder.Roster) {
	t := &c.takeover
	t.past = append(t.past, pastRoster{prev, c.now})
	t.chain = append(t.chain, prev)
	t.adopted, t.asked = c.now, c.now
	step(takeoverChart, &t.state, eventChange)
	c.counters.Takeovers++
	if c.draining && !c.joined {
		c.handOverAnswers()
	}
	for key := range t.handed {
		if !c.owns(c.roster, key) {
			delete(t.handed, key)
		}
	}
	for _, s := range c.jobs {
		mine := c.owns(c.roster, s.key)
		if (!mine || c.gained(s.key)) && s.state != stateEnded {
			c.move(s)
		}
	}
	if !c.joined {
		return
	}
	for _, sc := range c.sidecars {
		c.askSidecar(sc)
	}
	for _, p := range c.peers {
		c.askPeer(p)
	}
	c.tickTakeover()
}

// gained reports whether another entry or incarnation owned the key since the keys were last settled.
func (c *Core) gained(key string) bool {
	for _, r := range c.takeover.chain {
		if !c.owns(r, key) {
			return true
		}
	}
	return false
}

// settled reports whether this entry may start work for a key that it owns.
func (c *Core) settled(key string) bool {
	return c.joined && (len(c.takeover.chain) == 0 || !c.gained(key))
}

// known reports whether a former owner may have started tasks of the key.
func (c *Core) known(key string) bool {
	formerly := false
	for i := range c.takeover.past {
		formerly = formerly || !c.owns(c.takeover.past[i].roster, key)
	}
	if !formerly {
		return false
	}
	if c.passedBeside(key, c.self) {
		return true
	}
	if _, ok := c.takeover.keys[key]; ok || c.takeover.evidence[key] != nil {
		return true
	}
	s := c.jobs[key]
	return c.claims.seen.has(c.hash(key)) || s != nil && s.regained
}

// complete reports whether every sidecar that can have started tasks of the key has told so. A sidecar that was lost
// before the key was first seen cannot have started any.
func (c *Core) complete(key string) bool {
	passed, ok := c.passed[key]
	first := passed.at
	if k, reported := c.takeover.keys[key]; reported && (!ok || k.first < first) {
		first = k.first
	}
	for _, lost := range c.takeover.missing {
		if lost+seenMargin >= first {
			return false
		}
	}
	return true
}

// move hands the callers of a submission over to its owner. The tasks stay as evidence for the case that the key comes
// back.
func (c *Core) move(s *submission) {
	held := s.state == stateHeld
	if !step(submissionChart, &s.state, eventMove) {
		return
	}
	c.queue.CancelJob(s.key)
	s.regained, s.moved = true, c.now
	waiters := s.waiters
	s.waiters = nil
	job := encoder.Job{Key: s.key, Team: s.team, Tasks: s.specs, Once: s.once}
	if s.deadline != 0 {
		job.Deadline = max(1, s.deadline-c.now)
	}
	if c.draining && !c.joined {
		// After a removal another entry may have started tasks since, so only a leaver can be certain.
		c.handOver(s, job, !held && c.left)
	}
	if len(waiters) == 0 && c.owns(c.roster, s.key) {
		waiters = []waiter{{}} // nobody waits, but the job goes on
	}
	for _, w := range waiters {
		c.route(w, encoder.RequestSubmit, job, 0)
	}
}

func (c *Core) askSidecar(sc *sidecar) {
	if sc.session == 0 || !c.joined || c.takeover.answered[sc.hello.Member] >= c.roster.Epoch {
		return
	}
	sc.asked = c.roster.Epoch
	c.send(sc.session, &encoder.Census{Roster: c.roster})
}

func (c *Core) askPeer(p *peer) {
	if _, listed := elector.Find(c.roster, p.member.ID); !listed || !c.joined || p.census >= c.roster.Epoch {
		return
	}
	if id := p.session(); id != 0 {
		c.send(id, &encoder.PeerCensus{Roster: c.roster})
	}
}

// tickTakeover moves the takeover on when its conditions hold.
func (c *Core) tickTakeover() {
	t := &c.takeover
	c.sweepTakeover()
	if t.state == takeoverPartial && len(t.missing) == 0 {
		step(takeoverChart, &t.state, eventAnswered)
	}
	if len(t.chain) == 0 || !c.joined {
		return
	}
	if c.now-t.asked >= askAgain {
		t.asked = c.now
		for _, sc := range c.sidecars {
			c.askSidecar(sc)
		}
		for _, p := range c.peers {
			c.askPeer(p)
		}
	}
	if t.state == takeoverWaiting && c.leftBehind() && step(takeoverChart, &t.state, eventMajority) {
		t.majority = c.now
	}
	if t.state != takeoverAsking {
		return
	}
	pending, lost := c.unanswered()
	switch {
	case !c.peersAnswered():
		return
	case pending == 0 && len(lost) == 0:
		step(takeoverChart, &t.state, eventAnswered)
	case (pending == 0 || c.now-t.majority >= takeoverWait) && c.confirmed[StreamClaims] >= t.adopted:
		step(takeoverChart, &t.state, eventExpire)
		if t.missing == nil {
			t.missing = map[encoder.Member]timer.Millis{}
		}
		for m, at := range lost {
			t.missing[m] = at
		}
	default:
		return
	}
	t.chain = nil
	for _, s := range c.jobs {
		if s.state == stateHeld && c.owns(c.roster, s.key) {
			c.admit(s)
		}
	}
	c.place()
}

// leftBehind reports whether at least half of each former roster has reported the roster after it, so that the rest can
// form no majority that attests a log outage under the former one.
func (c *Core) leftBehind() bool {
	t := &c.takeover
	for i, r := range t.chain {
		epoch := c.roster.Epoch
		if i+1 < len(t.chain) {
			epoch = t.chain[i+1].Epoch
		}
		count := 0
		for _, e := range r.Entries {
			_, stopped := t.stopped[e.Member]
			p := c.peers[e.Member.ID]
			if e.Member.ID == c.self.ID || stopped || p != nil && p.epoch >= epoch {
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
func (c *Core) unanswered() (pending int, lost map[encoder.Member]timer.Millis) {
	t := &c.takeover
	lost = map[encoder.Member]timer.Millis{}
	check := func(m encoder.Member, last timer.Millis) {
		if t.answered[m] < c.roster.Epoch {
			lost[m] = max(lost[m], last)
		}
	}
	for _, sc := range c.sidecars {
		last := c.now
		if sc.session == 0 {
			last = sc.down
		}
		check(sc.hello.Member, last)
	}
	for m, at := range c.gone {
		check(m, at)
	}
	for m, at := range t.others {
		check(m, at)
	}
	if _, doubts := c.doubts(); doubts {
		for m, at := range t.reported {
			check(m, at)
		}
	}
	if last, ok := c.unknown(); ok {
		check(unknownSidecars, last)
	}
	for m, last := range lost {
		now := c.sidecars[m.ID]
		replaced := now != nil && now.hello.Member.Incarnation > m.Incarnation
		if !replaced && c.now-last < lostWait {
			pending++
		}
	}
	return pending, lost
}

// peersAnswered reports whether the other members told the keys and sidecars that they know.
func (c *Core) peersAnswered() bool {
	for _, e := range c.roster.Entries {
		if p := c.peers[e.Member.ID]; e.Member.ID != c.self.ID && (p == nil || p.census < c.roster.Epoch) {
			return false
		}
	}
	return true
}

// unknown returns the last time at which a sidecar that nobody knows any more can have started tasks under the former
// rosters. ok is false when there is none: a sidecar accepts starts only when each member knows it, so one member without
// doubts that remains of each roster knows all of them.
func (c *Core) unknown() (last timer.Millis, ok bool) {
	for _, r := range c.takeover.chain {
		doubt, doubted := c.now, len(r.Entries) > 0
		for _, e := range r.Entries {
			now, listed := elector.Find(c.roster, e.Member.ID)
			if !listed || now.Member != e.Member {
				continue
			}
			at, doubts := c.takeover.missing[unknownSidecars]
			if e.Member != c.self {
				p := c.peers[e.Member.ID]
				if p == nil || p.census != c.roster.Epoch {
					continue
				}
				at, doubts = p.doubted, p.doubts == c.roster.Epoch
			}
			doubt, doubted = min(doubt, at), doubted && doubts
		}
		if doubted {
			last, ok = max(last, doubt), true
		}
	}
	return last, ok
}

// doubts reports whether there may be sidecars that accepted starts under the former rosters and that this entry does
// not know, and the last time at which they can have started tasks.
func (c *Core) doubts() (last timer.Millis, ok bool) {
	for _, r := range c.takeover.chain {
		if me, listed := elector.Find(r, c.self.ID); len(r.Entries) > 0 && (!listed || me.Member != c.self) {
			return c.now, true
		}
	}
	if !c.joined {
		return c.now, true
	}
	last, ok = c.takeover.missing[unknownSidecars]
	return last, ok
}

// lost describes the sidecars whose evidence is missing, for the log.
func (t *takeover) lost() string {
	if len(t.missing) == 0 {
		return ""
	}
	names := make([]string, 0, len(t.missing))
	for m := range t.missing {
		names = append(names, m.ID)
	}
	slices.Sort(names)
	return "; without the evidence of " + strings.Join(names, ", ")
}

func (c *Core) sweepTakeover() {
	t := &c.takeover
	old := c.now - c.settings.KeyRetention
	for len(t.past) > 0 && t.past[0].until < old {
		t.past = t.past[1:]
	}
	if c.now != c.lastSweep {
		return
	}
	for key, s := range c.jobs {
		if s.state == stateMoved && s.moved < old && step(submissionChart, &s.state, eventEnd) {
			delete(c.jobs, key)
			s.release()
		}
	}
	for _, list := range []map[encoder.Member]timer.Millis{t.others, t.reported, t.missing, t.stopped} {
		for m, at := range list {
			if at < old {
				delete(list, m)
			}
		}
	}
	for key, k := range t.keys {
		if k.at < old {
			delete(t.keys, key)
		}
	}
	for key, h := range t.handed {
		if h.at < old {
			delete(t.handed, key)
		}
	}
	for key, e := range t.evidence {
		if e.at < old {
			delete(t.evidence, key)
		}
	}
}

// heard notes a sidecar that a peer has a session to.
func (t *takeover) heard(m encoder.Member, now timer.Millis) {
	if t.others == nil {
		t.others = map[encoder.Member]timer.Millis{}
	}
	t.others[m] = now
}

// left notes an entry that has left the roster at its own request and starts nothing any more.
func (t *takeover) left(m encoder.Member, now timer.Millis) {
	if t.stopped == nil {
		t.stopped = map[encoder.Member]timer.Millis{}
	}
	t.stopped[m] = now
}
