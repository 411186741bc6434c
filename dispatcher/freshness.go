package dispatcher

import (
	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// domains is what the entry knows of the configuration's failure domains.
type domains struct {
	offset      uint64
	inForce     func(domain string) bool // nil means that all are in force
	provisional map[string]provisional
	resolved    map[string]uint64 // configuration offset at which a provisional withdrawal was recorded
}

// provisional is a withdrawal that is obeyed and not recorded yet.
type provisional struct {
	author string // "" when a peer told of it
	since  timer.Millis
	tag    uint64 // append that records it; 0 for none
	tried  timer.Millis
}

// Confirmed reports an exchange with the log, begun at the given time, after which the entry has every record of the
// stream.
func (c *Core) Confirmed(now timer.Millis, stream string, begun timer.Millis) {
	c.now = now
	c.confirmed[stream] = max(c.confirmed[stream], begun)
	if stream == StreamRoster {
		c.adopt(c.folded)
	}
}

// SetConfiguration adopts a configuration. Offset is one more than that of the last record in it.
func (c *Core) SetConfiguration(now timer.Millis, offset uint64, inForce func(domain string) bool) {
	c.now = now
	if offset < c.domains.offset {
		return
	}
	c.domains.offset, c.domains.inForce = offset, inForce
	for d := range c.domains.provisional {
		if inForce != nil && !inForce(d) {
			c.resolveProvisional(d)
		}
	}
	c.applyDomains()
	c.place()
}

func (c *Core) applyDomains() {
	for _, sc := range c.sidecars {
		c.queue.SetDomain(sc.hello.Domain, c.inForce(sc.hello.Domain))
	}
}

// inForce reports whether work may start in the domain, provisional withdrawals included.
func (c *Core) inForce(domain string) bool {
	if _, ok := c.domains.provisional[domain]; ok {
		return false
	}
	return c.domains.inForce == nil || c.domains.inForce(domain)
}

// confirmedAt is the time at which the entry surely knew the heads of both streams.
func (c *Core) confirmedAt() timer.Millis {
	return min(c.confirmed[StreamConfiguration], c.confirmed[StreamRoster])
}

// logReachable is the entry's own report about the log.
func (c *Core) logReachable() bool {
	return c.confirmedAt() != 0 && c.now-c.confirmedAt() <= logSilence
}

// attests reports whether a majority of the roster, this entry included, holds the log for unreachable and nobody
// knows newer state. Then no change can be accepted, so the entry's state is current.
func (c *Core) attests() bool {
	if !c.joined || c.logReachable() {
		return false
	}
	count := 1
	for _, e := range c.roster.Entries {
		p := c.peers[e.Member.ID]
		if e.Member == c.self || p == nil || !p.valid(c.now, e.Member) {
			continue
		}
		if p.report.Epoch > c.roster.Epoch || p.report.ConfigOffset > c.domains.offset {
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
func (c *Core) mayDecide() bool {
	if !c.joined || !c.logReachable() {
		return false
	}
	return c.atLeastHalf(func(p *peer) bool { return p.report.LogReachable })
}

// accepted reports whether at least half of the roster, this entry included, has reported the configuration offset.
func (c *Core) accepted(offset uint64) bool {
	return c.domains.offset >= offset && c.atLeastHalf(func(p *peer) bool { return p.report.ConfigOffset >= offset })
}

func (c *Core) atLeastHalf(agrees func(p *peer) bool) bool {
	if _, ok := elector.Find(c.roster, c.self.ID); !ok {
		return false
	}
	count := 0
	for _, e := range c.roster.Entries {
		p := c.peers[e.Member.ID]
		if e.Member == c.self || p != nil && p.valid(c.now, e.Member) && agrees(p) {
			count++
		}
	}
	return 2*count >= len(c.roster.Entries)
}

// pong renews a sidecar's freshness lease with what this entry can attest.
func (c *Core) pong(sc *sidecar, m *encoder.Ping) {
	p := &encoder.Pong{
		Sequence: m.Sequence, Roster: c.roster, ConfigOffset: c.domains.offset,
		DomainInForce: c.inForce(sc.hello.Domain), LogReachable: true,
	}
	if m.Epoch == c.roster.Epoch {
		p.Roster.Entries = nil // the sidecar has them; with 12 entries they would be most of its control traffic
	}
	age := c.now - c.confirmedAt()
	switch {
	case c.attests():
		p.Confirmed, p.LogReachable = true, false
	case c.confirmedAt() != 0 && age < leaseTime:
		p.Confirmed, p.Age = true, age
	}
	sc.offset = p.ConfigOffset
	c.send(sc.session, p)
}
