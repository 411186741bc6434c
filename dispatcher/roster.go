package dispatcher

import (
	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// RosterRecord folds a record of the roster stream. Until the first confirmation of the stream the records are history.
func (c *Core) RosterRecord(now timer.Millis, offset uint64, change elector.Change) {
	c.now = now
	if offset < c.folded.Epoch {
		return
	}
	next, err := elector.Apply(c.folded, offset, change)
	if err != nil {
		return // every reader refuses the same record
	}
	c.folded = next
	if change.Kind == elector.ChangeLeave {
		c.takeover.left(change.Entry.Member, now)
		c.left = c.left || change.Entry.Member == c.self
	}
	if c.confirmed[StreamRoster] != 0 {
		c.adopt(next)
	}
}

// RosterGap takes the roster after records of the stream were missed.
func (c *Core) RosterGap(now timer.Millis, r encoder.Roster) {
	c.now = now
	if r.Epoch <= c.folded.Epoch {
		return
	}
	if c.confirmed[StreamRoster] != 0 {
		c.adoptFromPeer(r)
	}
	c.folded = r
}

// adopt makes r the roster that the entry works under.
func (c *Core) adopt(r encoder.Roster) {
	if r.Epoch <= c.roster.Epoch {
		return
	}
	prev := c.roster
	c.roster = r
	me, listed := elector.Find(r, c.self.ID)
	was := c.joined
	c.joined = listed && me.Member == c.self
	if was && !c.joined && !c.draining || listed && me.Member.Incarnation > c.self.Incarnation {
		c.renew(max(me.Member.Incarnation, c.self.Incarnation) + 1)
	}
	c.meetPeers(prev)
	c.change(prev)
	c.redirectForwards()
	for m := range c.removals {
		if e, ok := elector.Find(r, m.ID); !ok || e.Member != m {
			delete(c.removals, m)
		}
	}
	for _, e := range r.Entries {
		if e.Member.ID != c.self.ID {
			c.witnessAgain(e.Member.ID)
		}
	}
	c.place()
}

// renew gives the entry a new incarnation after it was removed. All sessions start anew, so that every process sees it.
func (c *Core) renew(incarnation uint64) {
	c.self.Incarnation = incarnation
	c.left = false
	c.joinTried = 0
	c.out = append(c.out, Effect{Kind: EffectIncarnation, Member: c.self})
	for id := range c.sessions {
		c.out = append(c.out, Effect{Kind: EffectClose, Session: id})
	}
}

// meetPeers asks for connections to the members of the roster and ends those to former members.
func (c *Core) meetPeers(prev encoder.Roster) {
	for _, e := range prev.Entries {
		if now, ok := elector.Find(c.roster, e.Member.ID); !ok || now.Address != e.Address {
			c.out = append(c.out, Effect{Kind: EffectHangUp, Address: e.Address})
		}
	}
	for _, e := range c.roster.Entries {
		if e.Member.ID == c.self.ID {
			continue
		}
		p := c.peerOf(e.Member.ID)
		p.address = e.Address
		if old, ok := elector.Find(prev, e.Member.ID); !ok || old != e {
			p.heard = max(p.heard, c.now+firstContact-silentAfter)
			c.out = append(c.out, Effect{Kind: EffectDial, Address: e.Address})
		}
	}
}

// tickRoster joins the roster as long as the entry is not in it, and leaves it when the entry drains.
func (c *Core) tickRoster() {
	if c.joined != c.draining || c.confirmed[StreamRoster] == 0 || !c.logReachable() {
		return
	}
	if c.joinTried != 0 && c.now-c.joinTried < joinPeriod {
		return
	}
	c.joinTried = c.now
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

// Drain stops the acceptance of new submissions and asks to leave the roster. Submissions move to their next owners
// when the leave is in the log.
func (c *Core) Drain(now timer.Millis) {
	c.now = now
	if c.draining {
		return
	}
	c.draining, c.joinTried = true, 0
	c.tickRoster()
}

// Idle reports whether no caller waits at this entry and it owns no submission.
func (c *Core) Idle() bool {
	for _, f := range c.forwards {
		if f.waiter != (waiter{}) {
			return false
		}
	}
	for _, s := range c.jobs {
		if s.state != stateMoved {
			return false
		}
	}
	return true
}
