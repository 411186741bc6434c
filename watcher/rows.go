package watcher

import (
	"slices"

	"github.com/crocuslb/crocuslb/timer"
)

// apply merges an update into the records.
func (c *Core) apply(now timer.Millis, u Update) {
	if u.Member.ID == c.Self.ID {
		c.refute(u)
		return
	}
	r := c.rows[u.Member.ID]
	if r == nil {
		// The death of an unknown member is no news, and telling it on would never end.
		if u.State == StateDead || len(c.order) >= maxMembers {
			return
		}
		r = c.insert(u.Member)
		if u.State == StateAlive {
			r.since = now
			c.spread(r)
			c.changed(r)
			return
		}
	} else if !u.overrides(r) {
		return
	}
	before := r.state
	newer := u.Member.newer(r.member)
	r.member = u.Member
	r.step(events[u.State])
	c.entered(now, r, before != r.state || newer)
}

// refute contradicts a suspicion or a death of this process with a version that overrides it.
func (c *Core) refute(u Update) {
	if c.leaving || u.State == StateAlive || u.Member.Incarnation != c.Self.Incarnation || c.Self.newer(u.Member) {
		return
	}
	c.Self.Refutations = u.Member.Refutations + 1
}

// entered keeps the lists up to date after a row took a state or a version.
func (c *Core) entered(now timer.Millis, r *row, news bool) {
	if !news {
		return
	}
	r.since = now
	is := func(w *row) bool { return w == r }
	c.suspects, c.dead = slices.DeleteFunc(c.suspects, is), slices.DeleteFunc(c.dead, is)
	switch r.state {
	case StateSuspect:
		c.suspects = append(c.suspects, r)
	case StateDead:
		c.dead = append(c.dead, r)
	}
	c.spread(r)
	c.changed(r)
}

func (c *Core) changed(r *row) { c.out.Changes = append(c.out.Changes, Update{r.member, r.state}) }

// insert adds a row at a random place of the probe order, so that it is found within one round on average.
func (c *Core) insert(m Member) *row {
	r := &row{member: m, state: StateAlive, at: len(c.order)}
	c.rows[m.ID] = r
	c.order = append(c.order, r)
	c.swap(r.at, c.random.IntN(len(c.order)))
	c.sorted = nil
	return r
}

func (c *Core) remove(r *row) {
	c.swap(r.at, len(c.order)-1)
	c.order[len(c.order)-1] = nil
	c.order = c.order[:len(c.order)-1]
	delete(c.rows, r.member.ID)
	c.sorted = nil
	if i := slices.Index(c.rumors, r); i >= 0 {
		c.rumors = slices.Delete(c.rumors, i, i+1)
	}
}

func (c *Core) swap(i, j int) {
	c.order[i], c.order[j] = c.order[j], c.order[i]
	c.order[i].at, c.order[j].at = i, j
}

// expire declares suspects dead and forgets members that died long ago.
func (c *Core) expire(now timer.Millis) {
	for len(c.suspects) > 0 && now-c.suspects[0].since >= c.suspicion() {
		r := c.suspects[0]
		r.step("expired")
		c.entered(now, r, true)
	}
	for len(c.dead) > 0 && now-c.dead[0].since >= forgetAfter {
		r := c.dead[0]
		r.step("forgotten")
		c.dead = slices.Delete(c.dead, 0, 1)
		c.remove(r)
	}
}

// page answers a sync with the records that follow the cursor, as many as fit into a datagram.
func (c *Core) page(to string, p *Packet) {
	if c.sorted == nil {
		c.sorted = make([]string, 0, len(c.rows))
		for id := range c.rows {
			c.sorted = append(c.sorted, id)
		}
		slices.Sort(c.sorted)
	}
	answer := Packet{Kind: KindPage, Sequence: p.Sequence, Updates: c.news(p.From.ID)}
	budget := MaxDatagram - headerBytes - MaxName - (&Update{Member: c.Self}).size()
	for i := range answer.Updates {
		budget -= answer.Updates[i].size()
	}
	i, found := slices.BinarySearch(c.sorted, p.Cursor)
	if found {
		i++
	}
	for ; i < len(c.sorted); i++ {
		r := c.rows[c.sorted[i]]
		u := Update{r.member, r.state}
		if budget -= u.size(); budget < 0 || len(answer.Updates) == maxUpdates {
			answer.Cursor = c.sorted[i-1]
			break
		}
		answer.Updates = append(answer.Updates, u)
	}
	c.send(to, answer)
}

// sync asks a random member, possibly a dead one, for a page that begins at a random place.
func (c *Core) sync() {
	if len(c.order) == 0 {
		return
	}
	to, after := c.order[c.random.IntN(len(c.order))], c.order[c.random.IntN(len(c.order))]
	c.send(to.member.Address, Packet{Kind: KindSync, Cursor: after.member.ID, Updates: c.news(to.member.ID)})
}
