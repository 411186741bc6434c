package dispatcher

import (
	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// domainState is the state of the failure domains according to the configuration and provisional withdrawals.
type domainState struct {
	offset          uint64
	inForce         func(domain string) bool // nil means that all domains are in force
	provisional     map[string]provisionalWithdrawal
	recordedOffsets map[string]uint64 // configuration offset at which the provisional withdrawal of a domain was found recorded
}

// provisionalWithdrawal is a withdrawal that is in effect but not recorded in the log yet.
type provisionalWithdrawal struct {
	author      string // "" if it was reported by a peer
	startedAt   timer.Millis
	appendTag   uint64 // tag of the append that records it; 0 if none is in flight
	lastAttempt timer.Millis
}

// StreamConfirmed handles a read of the log, begun at the given time, after which the entry has every record of the stream.
func (c *Core) StreamConfirmed(now timer.Millis, stream string, begun timer.Millis) {
	c.now = now
	c.confirmations[stream] = max(c.confirmations[stream], begun)
	if stream == StreamRoster {
		c.adopt(c.foldedRoster)
	}
}

// SetConfiguration adopts a configuration. offset is the offset of the last record in it plus 1. An older configuration is
// ignored.
func (c *Core) SetConfiguration(now timer.Millis, offset uint64, inForce func(domain string) bool) {
	c.now = now
	if offset < c.domainState.offset {
		return
	}
	c.domainState.offset, c.domainState.inForce = offset, inForce
	for d := range c.domainState.provisional {
		if inForce != nil && !inForce(d) {
			c.endProvisional(d)
		}
	}
	c.applyDomains()
	c.placeTasks()
}

func (c *Core) applyDomains() {
	for _, sc := range c.sidecars {
		c.queue.SetDomain(sc.hello.Domain, c.inForce(sc.hello.Domain))
	}
}

// inForce reports whether tasks may start in the domain, taking provisional withdrawals into account.
func (c *Core) inForce(domain string) bool {
	if _, ok := c.domainState.provisional[domain]; ok {
		return false
	}
	return c.domainState.inForce == nil || c.domainState.inForce(domain)
}

// lastConfirmation returns the last time at which the entry is certain to have known the heads of both streams, or 0.
func (c *Core) lastConfirmation() timer.Millis {
	return min(c.confirmations[StreamConfiguration], c.confirmations[StreamRoster])
}

// logReachable reports whether this entry can reach the log.
func (c *Core) logReachable() bool {
	return c.lastConfirmation() != 0 && c.now-c.lastConfirmation() <= logTimeout
}

// attestsLogOutage reports whether a majority of the roster, this entry included, reports the log as unreachable and no
// valid report has a newer epoch or configuration. Then no change can be accepted, so this entry's state is current.
func (c *Core) attestsLogOutage() bool {
	if !c.joined || c.logReachable() {
		return false
	}
	count := 1
	for _, e := range c.roster.Entries {
		p := c.peers[e.Member.ID]
		if e.Member == c.self || p == nil || !p.hasValidReport(c.now, e.Member) {
			continue
		}
		if p.report.Epoch > c.roster.Epoch || p.report.ConfigOffset > c.domainState.offset {
			return false
		}
		if !p.report.LogReachable {
			count++
		}
	}
	return 2*count > len(c.roster.Entries)
}

// hasLogQuorum reports whether at least half of the roster, this entry included, reports the log as reachable. Without
// that, the other members could attest a log outage while this entry changes the configuration or the roster.
func (c *Core) hasLogQuorum() bool {
	if !c.joined || !c.logReachable() {
		return false
	}
	return c.confirmedByHalf(func(p *peer) bool { return p.report.LogReachable })
}

// isAccepted reports whether at least half of the roster, this entry included, has reported the configuration offset.
func (c *Core) isAccepted(offset uint64) bool {
	return c.domainState.offset >= offset && c.confirmedByHalf(func(p *peer) bool { return p.report.ConfigOffset >= offset })
}

func (c *Core) confirmedByHalf(agrees func(p *peer) bool) bool {
	if _, ok := elector.FindEntry(c.roster, c.self.ID); !ok {
		return false
	}
	count := 0
	for _, e := range c.roster.Entries {
		p := c.peers[e.Member.ID]
		if e.Member == c.self || p != nil && p.hasValidReport(c.now, e.Member) && agrees(p) {
			count++
		}
	}
	return 2*count >= len(c.roster.Entries)
}

// sendPong answers a sidecar's ping. It renews the sidecar's freshness lease if the entry's state is confirmed by the log or
// by an attested log outage.
func (c *Core) sendPong(sc *sidecar, m *encoder.Ping) {
	p := &encoder.Pong{
		Sequence: m.Sequence, Roster: c.roster, ConfigOffset: c.domainState.offset,
		DomainInForce: c.inForce(sc.hello.Domain), LogReachable: true,
	}
	if m.Epoch == c.roster.Epoch {
		p.Roster.Entries = nil // the sidecar has them; with 12 entries they would be most of its control traffic
	}
	age := c.now - c.lastConfirmation()
	switch {
	case c.attestsLogOutage():
		p.Confirmed, p.LogReachable = true, false
	case c.lastConfirmation() != 0 && age < leaseDuration:
		p.Confirmed, p.ConfirmationAge = true, age
	}
	sc.configOffset = p.ConfigOffset
	c.send(sc.session, p)
}
