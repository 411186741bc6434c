package dispatcher

import (
	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// domains is what the entry knows of the configuration's failure domains.
type domainState struct {
	offset          uint64
	inForce         func(domain string) bool // nil means that all are in force
	provisional     map[string]provisionalWithdrawal
	recordedOffsets map[string]uint64 // configuration offset at which a provisional withdrawal was recorded
}

// provisional is a withdrawal that is obeyed and not recorded yet.
type provisionalWithdrawal struct {
	author      string // "" when a peer told of it
	startedAt   timer.Millis
	appendTag   uint64 // append that records it; 0 for none
	lastAttempt timer.Millis
}

// Confirmed reports an exchange with the log, begun at the given time, after which the entry has every record of the
// stream.
func (c *Core) StreamConfirmed(now timer.Millis, stream string, begun timer.Millis) {
	c.now = now
	c.confirmations[stream] = max(c.confirmations[stream], begun)
	if stream == StreamRoster {
		c.adopt(c.foldedRoster)
	}
}

// SetConfiguration adopts a configuration. Offset is one more than that of the last record in it.
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

// inForce reports whether work may start in the domain, provisional withdrawals included.
func (c *Core) inForce(domain string) bool {
	if _, ok := c.domainState.provisional[domain]; ok {
		return false
	}
	return c.domainState.inForce == nil || c.domainState.inForce(domain)
}

// confirmedAt is the time at which the entry surely knew the heads of both streams.
func (c *Core) lastConfirmation() timer.Millis {
	return min(c.confirmations[StreamConfiguration], c.confirmations[StreamRoster])
}

// logReachable is the entry's own report about the log.
func (c *Core) logReachable() bool {
	return c.lastConfirmation() != 0 && c.now-c.lastConfirmation() <= logTimeout
}

// attests reports whether a majority of the roster, this entry included, holds the log for unreachable and nobody
// knows newer state. Then no change can be accepted, so the entry's state is current.
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

// mayDecide reports whether at least half of the roster, this entry included, reports the log as reachable. Otherwise
// the rest could attest an outage while this entry changes what is in force.
func (c *Core) hasLogQuorum() bool {
	if !c.joined || !c.logReachable() {
		return false
	}
	return c.confirmedByHalf(func(p *peer) bool { return p.report.LogReachable })
}

// accepted reports whether at least half of the roster, this entry included, has reported the configuration offset.
func (c *Core) isAccepted(offset uint64) bool {
	return c.domainState.offset >= offset && c.confirmedByHalf(func(p *peer) bool { return p.report.ConfigOffset >= offset })
}

func (c *Core) confirmedByHalf(agrees func(p *peer) bool) bool {
	if _, ok := elector.Find(c.roster, c.self.ID); !ok {
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

// pong renews a sidecar's freshness lease with what this entry can attest.
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
		p.Confirmed, p.Age = true, age
	}
	sc.configOffset = p.ConfigOffset
	c.send(sc.session, p)
}
