package starter

import (
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

type (
	// sentPing is a sent ping, recorded so that a pong extends the lease from the send time of its ping.
	sentPing struct {
		sequence uint64
		sentAt   timer.Millis
	}

	// domainReport is the latest report of an entry about the sidecar's failure domain.
	domainReport struct {
		pongSequence uint64 // 0 if there was no pong yet
		offset       uint64
		inForce      bool
	}
)

// sendPing sends a heartbeat to e and records its send time.
func (c *Core) sendPing(now timer.Millis, e *entry) {
	if e.session == 0 {
		return
	}
	e.pingSequence++
	e.pings[e.pingSequence%uint64(len(e.pings))] = sentPing{e.pingSequence, now}
	c.send(e, &encoder.Ping{Sequence: e.pingSequence, Running: uint32(len(c.running)), Leaving: c.leaving, Epoch: c.roster.Epoch})
}

// pingIntervalFor returns the interval between pings to e. The owner of the cell is pinged every pingInterval. The
// other entries renew the lease if the owner cannot. Together they get about two pings per pingInterval, so that the
// load of a sidecar does not grow with the roster until maxPingInterval is reached.
func (c *Core) pingIntervalFor(e *entry) timer.Millis {
	if e.member == c.cellOwner {
		return pingInterval
	}
	return min(max(pingInterval*timer.Millis(len(c.roster.Entries)/2), nonOwnerPingInterval), maxPingInterval)
}

// handlePong adopts newer state from a pong and extends the freshness lease.
func (c *Core) handlePong(now timer.Millis, e *entry, m *encoder.Pong) {
	sent := e.pings[m.Sequence%uint64(len(e.pings))]
	if m.Sequence == 0 || sent.sequence != m.Sequence {
		return // forged, or too old to extend the lease
	}
	c.adoptRoster(m.Roster)
	c.configOffset = max(c.configOffset, m.ConfigOffset)
	if m.Sequence > e.domainReport.pongSequence {
		e.domainReport = domainReport{m.Sequence, m.ConfigOffset, m.DomainInForce}
	}
	c.updateDomain()
	if !m.Confirmed || m.ConfirmationAge < 0 || m.Roster.Epoch == 0 {
		return
	}
	// An attested outage means that no newer epoch or offset can exist, so a known newer one invalidates it.
	if !m.LogReachable && (m.Roster.Epoch < c.roster.Epoch || m.ConfigOffset < c.configOffset) {
		return
	}
	until := sent.sentAt - m.ConfirmationAge + leaseDuration
	if until > c.leaseEnd && until > now {
		c.leaseEnd = until
		c.leaseState = nextState(leaseChart, c.leaseState, eventRenew)
	}
	if m.LogReachable {
		e.outageUntil = 0
	} else {
		e.outageUntil = max(e.outageUntil, until)
	}
}

// updateDomain derives the state of the sidecar's failure domain from the reports at the latest configuration offset.
// The domain is withdrawn if any of them says so, because a provisional withdrawal may be known to one entry only and
// cannot be recorded during a log outage.
func (c *Core) updateDomain() {
	known, inForce := false, true
	for _, e := range c.entries {
		if r := e.domainReport; r.pongSequence != 0 && r.offset == c.configOffset {
			known, inForce = true, inForce && r.inForce
		}
	}
	switch {
	case !known: // no entry has reported at this offset; keep the last known state
	case !inForce:
		c.domainState = nextState(domainChart, c.domainState, eventWithdraw)
	default:
		c.domainState = nextState(domainChart, c.domainState, eventEnforce)
	}
}
