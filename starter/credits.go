package starter

import "github.com/crocuslb/crocuslb/encoder"

// committedCredits returns the number of credits that entries hold or have spent on tasks that have not ended.
func (c *Core) committedCredits() uint32 {
	n := uint32(len(c.running) + len(c.waiting))
	for _, e := range c.entries {
		n += e.credits
	}
	return n
}

// creditLimit returns the maximum number of committed credits. It is 0 while all starts would be refused.
func (c *Core) creditLimit() uint32 {
	switch {
	case c.leaving || !c.announced || c.leaseState != leaseHeld:
		return 0
	case c.domainState == domainInForce:
		return c.Slots + c.ExtraCredits
	case c.domainState == domainReturning:
		return 1
	}
	return 0
}

// grantCredits grants the free credits to the owner of the cell. If answered is the owner, it returns the number of
// granted credits instead of sending a Grant, so that the caller can include them in its answer.
func (c *Core) grantCredits(answered *entry) uint32 {
	limit, committed := c.creditLimit(), c.committedCredits()
	if committed >= limit {
		return 0
	}
	for _, e := range c.entries {
		if e.session == 0 || e.idle || e.member != c.cellOwner {
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

// recallCredits requests the return of credits from entries that no longer own the cell, and from all entries while the
// failure domain is withdrawn.
func (c *Core) recallCredits() {
	for _, e := range c.entries {
		if e.credits > 0 && !e.recallPending && e.session != 0 && (c.domainState == domainWithdrawn || e.member != c.cellOwner) {
			e.recallPending, e.recalled = true, e.credits
			c.send(e, &encoder.Recall{Credits: e.credits})
		}
	}
}

// handleRelease takes back the credits that e returns. An entry answers each Recall with one Release. The starts that
// it sent before the Release have arrived by then, so it holds none of the recalled credits any more, even if it
// returns fewer than expected. A Release without a Recall means that e does not need the credits; it is granted new
// ones once it has queued tasks again.
func (c *Core) handleRelease(e *entry, n uint32) {
	e.idle = !e.recallPending && n > 0
	e.credits -= min(max(n, e.recalled), e.credits)
	e.recallPending, e.recalled = false, 0
}

// voidCredits invalidates the credits of e.
func (e *entry) voidCredits() { e.credits, e.recallPending, e.recalled = 0, false, 0 }
