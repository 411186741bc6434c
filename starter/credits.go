package starter

import "github.com/crocuslb/crocuslb/encoder"

// committed returns the credits that are granted or spent on tasks that have not ended.
func (c *Core) committed() uint32 {
	n := uint32(len(c.running) + len(c.waiting))
	for _, e := range c.entries {
		n += e.credits
	}
	return n
}

// limit returns how many credits may be committed. It is 0 while starts would be refused.
func (c *Core) limit() uint32 {
	switch {
	case c.leaving || !c.announced || c.leaseState != leaseHeld:
		return 0
	case c.domain == domainInForce:
		return c.Slots + c.Extra
	case c.domain == domainReturning:
		return 1
	}
	return 0
}

// deal grants the free credits to the owner of the cell. When that is the answered entry, they are returned instead, to
// travel with the answer.
func (c *Core) deal(answered *entry) uint32 {
	limit, committed := c.limit(), c.committed()
	if committed >= limit {
		return 0
	}
	for _, e := range c.entries {
		if e.session == 0 || e.idle || e.member != c.home {
			continue
		}
		e.credits += limit - committed
		if e == answered {
			return limit - committed
		}
		c.send(e, &encoder.Grant{Credits: limit - committed})
		break
	}
	return 0
}

// recall asks for the credits of entries that stopped owning the cell, and for all while the domain is withdrawn.
func (c *Core) recall() {
	for _, e := range c.entries {
		if e.credits > 0 && !e.asked && e.session != 0 && (c.domain == domainWithdrawn || e.member != c.home) {
			e.asked, e.recalled = true, e.credits
			c.send(e, &encoder.Recall{Credits: e.credits})
		}
	}
}

// release takes back credits that e returns. An entry answers each Recall with one Release. Starts that it sent before
// have arrived by then, so it holds none of the recalled credits any more, even when it returns fewer than expected. A
// Release without a Recall means that it has no use for the credits; it gets new ones when it has a queue again.
func (c *Core) release(e *entry, n uint32) {
	e.idle = !e.asked && n > 0
	e.credits -= min(max(n, e.recalled), e.credits)
	e.asked, e.recalled = false, 0
}

// void drops the credits of e.
func (e *entry) void() { e.credits, e.asked, e.recalled = 0, false, 0 }
