package dispatcher

import (
	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// RosterRecord folds a record of the roster stream. The result is adopted only after the stream was first confirmed,
// because earlier records are history.
func (c *Core) RosterRecord(now timer.Millis, offset uint64, change elector.Change) {
	c.now = now
	if offset < c.foldedRoster.Epoch {
		return
	}
	next, err := elector.Apply(c.foldedRoster, offset, change)
	if err != nil {
		return // every reader rejects the same record
	}
	c.foldedRoster = next
	if change.Kind == elector.ChangeLeave {
		c.takeover.entryLeft(change.Entry.Member, now)
		c.leftVoluntarily = c.leftVoluntarily || change.Entry.Member == c.self
	}
	if c.confirmations[StreamRoster] != 0 {
		c.adopt(next)
	}
}

// RosterGap sets the roster after records of the stream were missed.
func (c *Core) RosterGap(now timer.Millis, r encoder.Roster) {
	c.now = now
	if r.Epoch <= c.foldedRoster.Epoch {
		return
	}
	if c.confirmations[StreamRoster] != 0 {
		c.adoptRosterAfterGap(r)
	}
	c.foldedRoster = r
}

// adopt makes r the roster that the entry acts on, and starts the takeover of the keys that it gains.
func (c *Core) adopt(r encoder.Roster) {
	if r.Epoch <= c.roster.Epoch {
		return
	}
	prev := c.roster
	c.roster = r
	self, listed := elector.FindEntry(r, c.self.ID)
	wasJoined := c.joined
	c.joined = listed && self.Member == c.self
	if wasJoined && !c.joined && !c.draining || listed && self.Member.Incarnation > c.self.Incarnation {
		c.startNewIncarnation(max(self.Member.Incarnation, c.self.Incarnation) + 1)
	}
	c.updatePeerConnections(prev)
	c.beginTakeover(prev)
	c.redirectForwards()
	for m := range c.removalAttempts {
		if e, ok := elector.FindEntry(r, m.ID); !ok || e.Member != m {
			delete(c.removalAttempts, m)
		}
	}
	for _, e := range r.Entries {
		if e.Member.ID != c.self.ID {
			c.resendWitness(e.Member.ID)
		}
	}
	c.placeTasks()
}

// startNewIncarnation gives the entry a new incarnation after its removal from the roster. It closes all sessions, so that
// every peer and sidecar learns the new incarnation from the next Hello.
func (c *Core) startNewIncarnation(incarnation uint64) {
	c.self.Incarnation = incarnation
	c.leftVoluntarily = false
	c.lastMembershipAppend = 0
	c.effects = append(c.effects, Effect{Kind: EffectNewIncarnation, Member: c.self})
	for id := range c.sessions {
		c.effects = append(c.effects, Effect{Kind: EffectCloseSession, Session: id})
	}
}

// updatePeerConnections opens connections to new members of the roster and closes those to former members.
func (c *Core) updatePeerConnections(prev encoder.Roster) {
	for _, e := range prev.Entries {
		if current, ok := elector.FindEntry(c.roster, e.Member.ID); !ok || current.Address != e.Address {
			c.effects = append(c.effects, Effect{Kind: EffectDisconnect, Address: e.Address})
		}
	}
	for _, e := range c.roster.Entries {
		if e.Member.ID == c.self.ID {
			continue
		}
		p := c.getOrAddPeer(e.Member.ID)
		p.address = e.Address
		if old, ok := elector.FindEntry(prev, e.Member.ID); !ok || old != e {
			p.lastHeard = max(p.lastHeard, c.now+firstContactTimeout-peerTimeout)
			c.effects = append(c.effects, Effect{Kind: EffectDial, Address: e.Address})
		}
	}
}

// tickRoster appends a join record while the entry is not in the roster, or a leave record while it is draining.
func (c *Core) tickRoster() {
	if c.joined != c.draining || c.confirmations[StreamRoster] == 0 || !c.logReachable() {
		return
	}
	if c.lastMembershipAppend != 0 && c.now-c.lastMembershipAppend < membershipRetryInterval {
		return
	}
	c.lastMembershipAppend = c.now
	if c.draining {
		c.appendChange(elector.ChangeLeave)
	} else {
		c.appendChange(elector.ChangeJoin)
	}
}

func (c *Core) appendChange(kind elector.ChangeKind) {
	c.appendRecord(StreamRoster, elector.AppendChange(nil, elector.Change{
		Kind: kind, Base: c.roster.Epoch, Entry: encoder.RosterEntry{Member: c.self, Address: c.settings.Address},
	}))
}

// Drain refuses new submissions and starts leaving the roster. Submissions move to their next owners once the leave record
// is in the log.
func (c *Core) Drain(now timer.Millis) {
	c.now = now
	if c.draining {
		return
	}
	c.draining, c.lastMembershipAppend = true, 0
	c.tickRoster()
}

// Idle reports whether no caller is waiting at this entry and it owns no submission.
func (c *Core) Idle() bool {
	for _, f := range c.forwards {
		if f.waiter != (waiter{}) {
			return false
		}
	}
	for _, s := range c.submissions {
		if s.state != submissionMoved {
			return false
		}
	}
	return true
}
