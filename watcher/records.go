package watcher

import (
	"slices"

	"github.com/crocuslb/crocuslb/timer"
)

// applyUpdate merges an update into the records.
func (c *Core) applyUpdate(now timer.Millis, u Update) {
	if u.Member.ID == c.Self.ID {
		c.refute(u)
		return
	}
	r := c.records[u.Member.ID]
	if r == nil {
		// The death of an unknown member is ignored; members that dropped its record would otherwise gossip it to each
		// other forever.
		if u.State == StateDead || len(c.probeOrder) >= maxMembers {
			return
		}
		r = c.insertRecord(u.Member)
		if u.State == StateAlive {
			r.stateSince = now
			c.enqueueGossip(r)
			c.reportChange(r)
			return
		}
	} else if !u.overrides(r) {
		return
	}
	before := r.state
	newer := u.Member.newer(r.member)
	r.member = u.Member
	r.applyEvent(events[u.State])
	c.afterTransition(now, r, before != r.state || newer)
}

// refute answers a suspicion or death of this process with a newer version of Self, which overrides it.
func (c *Core) refute(u Update) {
	if c.leaving || u.State == StateAlive || u.Member.Incarnation != c.Self.Incarnation || c.Self.newer(u.Member) {
		return
	}
	c.Self.Refutations = u.Member.Refutations + 1
}

// afterTransition updates the suspect and dead lists, gossips the record and reports it, if its state or version changed.
func (c *Core) afterTransition(now timer.Millis, r *record, changed bool) {
	if !changed {
		return
	}
	r.stateSince = now
	same := func(other *record) bool { return other == r }
	c.suspects, c.dead = slices.DeleteFunc(c.suspects, same), slices.DeleteFunc(c.dead, same)
	switch r.state {
	case StateSuspect:
		c.suspects = append(c.suspects, r)
	case StateDead:
		c.dead = append(c.dead, r)
	}
	c.enqueueGossip(r)
	c.reportChange(r)
}

func (c *Core) reportChange(r *record) {
	c.output.Changes = append(c.output.Changes, Update{r.member, r.state})
}

// insertRecord adds a member at a random position of the probe order, so that it is probed within one round on average.
func (c *Core) insertRecord(m Member) *record {
	r := &record{member: m, state: StateAlive, index: len(c.probeOrder)}
	c.records[m.ID] = r
	c.probeOrder = append(c.probeOrder, r)
	c.swapProbeOrder(r.index, c.rng.IntN(len(c.probeOrder)))
	c.sortedIDs = nil
	return r
}

func (c *Core) removeRecord(r *record) {
	c.swapProbeOrder(r.index, len(c.probeOrder)-1)
	c.probeOrder[len(c.probeOrder)-1] = nil
	c.probeOrder = c.probeOrder[:len(c.probeOrder)-1]
	delete(c.records, r.member.ID)
	c.sortedIDs = nil
	if i := slices.Index(c.gossipQueue, r); i >= 0 {
		c.gossipQueue = slices.Delete(c.gossipQueue, i, i+1)
	}
}

func (c *Core) swapProbeOrder(i, j int) {
	c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i]
	c.probeOrder[i].index, c.probeOrder[j].index = i, j
}

// expireRecords declares suspects dead after the suspicion timeout and drops dead members after deadRetention.
func (c *Core) expireRecords(now timer.Millis) {
	for len(c.suspects) > 0 && now-c.suspects[0].stateSince >= c.suspicionTimeoutOrDefault() {
		r := c.suspects[0]
		r.applyEvent("expired")
		c.afterTransition(now, r, true)
	}
	for len(c.dead) > 0 && now-c.dead[0].stateSince >= deadRetention {
		r := c.dead[0]
		r.applyEvent("forgotten")
		c.dead = slices.Delete(c.dead, 0, 1)
		c.removeRecord(r)
	}
}

// sendPage answers a sync with as many of the records after the cursor as fit into a datagram.
func (c *Core) sendPage(to string, request *Packet) {
	if c.sortedIDs == nil {
		c.sortedIDs = make([]string, 0, len(c.records))
		for id := range c.records {
			c.sortedIDs = append(c.sortedIDs, id)
		}
		slices.Sort(c.sortedIDs)
	}
	page := Packet{Kind: KindPage, Sequence: request.Sequence, Updates: c.refutableUpdate(request.From.ID)}
	available := MaxDatagramLen - packetOverhead - MaxNameLen - (&Update{Member: c.Self}).maxEncodedSize()
	for i := range page.Updates {
		available -= page.Updates[i].maxEncodedSize()
	}
	i, found := slices.BinarySearch(c.sortedIDs, request.Cursor)
	if found {
		i++
	}
	for ; i < len(c.sortedIDs); i++ {
		r := c.records[c.sortedIDs[i]]
		u := Update{r.member, r.state}
		if available -= u.maxEncodedSize(); available < 0 || len(page.Updates) == maxUpdates {
			page.Cursor = c.sortedIDs[i-1]
			break
		}
		page.Updates = append(page.Updates, u)
	}
	c.send(to, page)
}

// requestSync requests a page from a random member, possibly a dead one, with the identifier of a random member as cursor.
func (c *Core) requestSync() {
	if len(c.probeOrder) == 0 {
		return
	}
	peer, cursor := c.probeOrder[c.rng.IntN(len(c.probeOrder))], c.probeOrder[c.rng.IntN(len(c.probeOrder))]
	c.send(peer.member.Address, Packet{Kind: KindSync, Cursor: cursor.member.ID, Updates: c.refutableUpdate(peer.member.ID)})
}
