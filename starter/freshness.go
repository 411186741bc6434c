package starter

import (
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

type (
	// sentPing is the time at which a ping was sent.
	sentPing struct {
		sequence uint64
		at       timer.Millis
	}

	// statement is the newest word of an entry on the sidecar's failure domain.
	statement struct {
		sequence uint64 // of the pong; 0 for none
		offset   uint64
		inForce  bool
	}
)

// ping sends a heartbeat to e and remembers its time.
func (c *Core) ping(now timer.Millis, e *entry) {
	if e.session == 0 {
		return
	}
	e.sequence++
	e.pings[e.sequence%uint64(len(e.pings))] = sentPing{e.sequence, now}
	c.send(e, &encoder.Ping{Sequence: e.sequence, Running: uint32(len(c.running)), Leaving: c.leaving, Epoch: c.roster.Epoch})
}

// pingPeriodOf returns the time between two pings to e. The owner of the cell is pinged at the full rate. The others
// renew the lease when the owner cannot; together they get about two pings a period, so that a larger roster does not cost a
// sidecar more.
func (c *Core) pingPeriodOf(e *entry) timer.Millis {
	if e.member == c.home {
		return pingPeriod
	}
	return min(max(pingPeriod*timer.Millis(len(c.roster.Entries)/2), otherPingPeriod), maxPingPeriod)
}

// pong takes over newer state and extends the freshness lease.
func (c *Core) pong(now timer.Millis, e *entry, m *encoder.Pong) {
	sent := e.pings[m.Sequence%uint64(len(e.pings))]
	if m.Sequence == 0 || sent.sequence != m.Sequence {
		return // forged, or so old that it could renew nothing
	}
	c.adopt(m.Roster)
	c.offset = max(c.offset, m.ConfigOffset)
	if m.Sequence > e.statement.sequence {
		e.statement = statement{m.Sequence, m.ConfigOffset, m.DomainInForce}
	}
	c.judgeDomain()
	if !m.Confirmed || m.Age < 0 || m.Roster.Epoch == 0 {
		return
	}
	// An attestation ends with the first newer epoch or offset: it says that there can be none.
	if !m.LogReachable && (m.Roster.Epoch < c.roster.Epoch || m.ConfigOffset < c.offset) {
		return
	}
	until := sent.at - m.Age + leaseTime
	if until > c.lease && until > now {
		c.lease = until
		c.leaseState = step(leaseChart, c.leaseState, eventRenew)
	}
	if m.LogReachable {
		e.outage = 0
	} else {
		e.outage = max(e.outage, until)
	}
}

// judgeDomain derives the state of the own failure domain from the statements at the newest configuration offset. One
// entry that reports the domain as withdrawn is enough there: it may know of a withdrawal that cannot be recorded now.
func (c *Core) judgeDomain() {
	known, inForce := false, true
	for _, e := range c.entries {
		if s := e.statement; s.sequence != 0 && s.offset == c.offset {
			known, inForce = true, inForce && s.inForce
		}
	}
	switch {
	case !known: // the state at this offset was learnt before; it stays
	case !inForce:
		c.domain = step(domainChart, c.domain, eventWithdraw)
	default:
		c.domain = step(domainChart, c.domain, eventEnforce)
	}
}
