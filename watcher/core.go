package watcher

import (
	"math/bits"
	"math/rand/v2"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	defaultPeriod = 500
	// syncPeriods is the number of periods between two requests for a page of another member's records. They repair
	// what rumors missed, and reach members that were declared dead across a partition.
	syncPeriods = 20
	// forgetAfter is longer than the usual partitions of about an hour, so that both sides find each other again.
	forgetAfter = 6 * 60 * timer.Minute
	// indirect is the number of members that are asked to probe on behalf of another one.
	indirect = 3
	// maxRelays bounds the probes that run on behalf of others.
	maxRelays = 64
	// maxRumorBytes bounds the updates on a packet other than a page.
	maxRumorBytes = 512
	// headerBytes bounds the size of a packet without members, cursor and updates, and with its seal.
	headerBytes = 64
	// wholeList is the sequence number of a sync that goes on until the last page.
	wholeList = 1
	// maxMembers bounds the memory that members, or a faulty one, can claim. 1,700 workers are required.
	maxMembers = 16384
)

type (
	// Core is the pure part of failure detection: it has no clock and does no input or output. Set the exported fields
	// before the first call. It is not safe for concurrent use.
	Core struct {
		Self      Member
		Seed      uint64       // of the random choices
		Period    timer.Millis // between probes; 0 means 500
		Timeout   timer.Millis // of a direct probe, less than Period; 0 means a third of Period
		Suspicion timer.Millis // until a suspect is declared dead; 0 means 3 periods times the decimal digits of the member count

		random   *rand.Rand
		rows     map[string]*row
		order    []*row // probe order
		position int
		sorted   []string // identifiers in order, for pages; nil when out of date
		rumors   []*row
		suspects []*row // in the order of since
		dead     []*row // in the order of since
		probe    probe
		relays   []relay
		sequence uint64
		next     timer.Millis // start of the next period
		last     timer.Millis // time of the last tick
		started  bool
		periods  int
		leaving  bool
		out      Output
	}

	// Output is what a call of Core asks for. It is valid until the next call.
	Output struct {
		Send    []Datagram
		Changes []Update
	}

	// Datagram is a packet to an address.
	Datagram struct {
		To     string
		Packet Packet
	}

	// probe is the probe of the current period.
	probe struct {
		target   *row
		member   Member // the version that was probed
		sequence uint64
		asked    bool         // others were asked
		deadline timer.Millis // of the direct probe
	}

	// relay is a probe on behalf of another member.
	relay struct {
		sequence uint64
		to       string
		original uint64
		target   string
	}
)

// Join asks the process at an address for its members. Repeat it until Members is not empty.
func (c *Core) Join(address string) Output {
	c.begin()
	c.send(address, Packet{Kind: KindSync, Sequence: wholeList})
	return c.out
}

// Leave declares this member dead by its own wish, and tells some members at once. It does not refute from then on.
func (c *Core) Leave() Output {
	c.begin()
	c.leaving = true
	for _, r := range c.pick(2*indirect, "") {
		c.send(r.member.Address, Packet{Kind: KindPage, Updates: []Update{{c.Self, StateDead}}})
	}
	return c.out
}

// Members returns the records of all other members, in no order.
func (c *Core) Members() []Update {
	list := make([]Update, 0, len(c.order))
	for _, r := range c.order {
		list = append(list, Update{r.member, r.state})
	}
	return list
}

// Next returns the time at which Tick has something to do.
func (c *Core) Next() timer.Millis {
	next := c.next
	if c.probe.target != nil && !c.probe.asked {
		next = min(next, c.probe.deadline)
	}
	return next
}

// Tick probes, suspects and declares dead as the time demands. Late calls are harmless: a pause of this process does not
// count against the others.
func (c *Core) Tick(now timer.Millis) Output {
	c.begin()
	if !c.started {
		c.started, c.next, c.last = true, now, now
	}
	if pause := now - c.last; pause > 2*c.period() {
		c.probe = probe{}
		for _, r := range c.suspects {
			r.since += pause
		}
		c.next = now
	}
	c.last = now
	if p := &c.probe; p.target != nil && !p.asked && now >= p.deadline {
		p.asked = true
		for _, r := range c.pick(indirect, p.target.member.ID) {
			c.send(r.member.Address, Packet{Kind: KindRequest, Sequence: p.sequence, Target: p.target.member})
		}
	}
	c.expire(now)
	if now >= c.next {
		c.next = now + c.period()
		c.conclude(now)
		c.startProbe(now)
		if c.periods++; c.periods%syncPeriods == 0 {
			c.sync()
		}
	}
	return c.out
}

// Receive handles a packet from an address.
func (c *Core) Receive(now timer.Millis, from string, p *Packet) Output {
	c.begin()
	if p.From.ID == c.Self.ID {
		return c.out // an echo, or a former incarnation of this process
	}
	c.apply(now, Update{p.From, StateAlive})
	for _, u := range p.Updates {
		c.apply(now, u)
	}
	switch p.Kind {
	case KindPing:
		// Another process may have taken over the address of the target.
		if p.Target.ID == c.Self.ID {
			c.send(from, Packet{Kind: KindAck, Sequence: p.Sequence, Target: p.Target, Updates: c.news(p.From.ID)})
		}
	case KindAck:
		c.acknowledge(p)
	case KindRequest:
		c.relay(from, p)
	case KindSync:
		c.page(from, p)
	case KindPage:
		if p.Cursor != "" && p.Sequence == wholeList {
			c.send(from, Packet{Kind: KindSync, Sequence: wholeList, Cursor: p.Cursor})
		}
	}
	return c.out
}

func (c *Core) begin() {
	if c.random == nil {
		c.random = rand.New(rand.NewPCG(c.Seed, 0))
		c.rows = map[string]*row{}
	}
	clear(c.out.Send)
	c.out.Send, c.out.Changes = c.out.Send[:0], c.out.Changes[:0]
}

// send adds rumors to a packet and queues it.
func (c *Core) send(to string, p Packet) {
	p.From = c.Self
	if p.Kind == KindPing || p.Kind == KindAck || p.Kind == KindRequest {
		p.Updates = c.gossip(p.Updates)
	}
	c.out.Send = append(c.out.Send, Datagram{to, p})
}

// news returns the record of the receiver if others believe that it fails, so that it can refute.
func (c *Core) news(id string) []Update {
	if r := c.rows[id]; r != nil && r.state != StateAlive {
		return []Update{{r.member, r.state}}
	}
	return nil
}

// gossip appends the rumors that were told least often. Each is told a number of times that grows with the logarithm of
// the member count.
func (c *Core) gossip(list []Update) []Update {
	limit := uint8(3 * bits.Len(uint(len(c.order)+1)))
	size := 0
	for range len(c.rumors) {
		r := c.rumors[0]
		u := Update{r.member, r.state}
		if size += u.size(); size > maxRumorBytes {
			break
		}
		c.rumors = c.rumors[1:]
		list = append(list, u)
		if r.sent++; r.sent < limit {
			c.rumors = append(c.rumors, r)
		} else {
			r.queued = false
		}
	}
	return list
}

// spread queues the present state of a row as a rumor, before the older ones.
func (c *Core) spread(r *row) {
	r.sent = 0
	if !r.queued {
		r.queued = true
		c.rumors = append(c.rumors, nil)
		copy(c.rumors[1:], c.rumors)
		c.rumors[0] = r
	}
}

func (c *Core) period() timer.Millis {
	if c.Period > 0 {
		return c.Period
	}
	return defaultPeriod
}

func (c *Core) timeout() timer.Millis {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return c.period() / 3
}

func (c *Core) suspicion() timer.Millis {
	if c.Suspicion > 0 {
		return c.Suspicion
	}
	digits := 1
	for n := len(c.order) + 1; n >= 10; n /= 10 {
		digits++
	}
	return timer.Millis(3*digits) * c.period()
}
