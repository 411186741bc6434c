package watcher

import (
	"math/bits"
	"math/rand/v2"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	defaultProbeInterval = 500
	// syncPeriods is the number of periods between two requests for a page of another member's records. They repair
	// what rumors missed, and reach members that were declared dead across a partition.
	syncPeriods = 20
	// forgetAfter is longer than the usual partitions of about an hour, so that both sides find each other again.
	deadRetention = 6 * 60 * timer.Minute
	// indirect is the number of members that are asked to probe on behalf of another one.
	indirectProbes = 3
	// maxRelays bounds the probes that run on behalf of others.
	maxRelays = 64
	// maxRumorBytes bounds the updates on a packet other than a page.
	maxGossipBytes = 512
	// headerBytes bounds the size of a packet without members, cursor and updates, and with its seal.
	packetOverhead = 64
	// wholeList is the sequence number of a sync that goes on until the last page.
	fullSync = 1
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

		rng          *rand.Rand
		records      map[string]*record
		probeOrder   []*record // probe order
		nextProbe    int
		sortedIDs    []string // identifiers in order, for pages; nil when out of date
		gossipQueue  []*record
		suspects     []*record // in the order of since
		dead         []*record // in the order of since
		currentProbe probe
		relays       []relay
		sequence     uint64
		nextPeriod   timer.Millis // start of the next period
		lastTick     timer.Millis // time of the last tick
		started      bool
		periodCount  int
		leaving      bool
		output       Output
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
		target   *record
		member   Member // the version that was probed
		sequence uint64
		indirect bool         // others were asked
		deadline timer.Millis // of the direct probe
	}

	// relay is a probe on behalf of another member.
	relay struct {
		sequence          uint64
		requester         string
		requesterSequence uint64
		targetID          string
	}
)

// Join asks the process at an address for its members. Repeat it until Members is not empty.
func (c *Core) Join(address string) Output {
	c.beginCall()
	c.send(address, Packet{Kind: KindSync, Sequence: fullSync})
	return c.output
}

// Leave declares this member dead by its own wish, and tells some members at once. It does not refute from then on.
func (c *Core) Leave() Output {
	c.beginCall()
	c.leaving = true
	for _, r := range c.randomAlive(2*indirectProbes, "") {
		c.send(r.member.Address, Packet{Kind: KindPage, Updates: []Update{{c.Self, StateDead}}})
	}
	return c.output
}

// Members returns the records of all other members, in no order.
func (c *Core) Members() []Update {
	list := make([]Update, 0, len(c.probeOrder))
	for _, r := range c.probeOrder {
		list = append(list, Update{r.member, r.state})
	}
	return list
}

// Next returns the time at which Tick has something to do.
func (c *Core) Next() timer.Millis {
	next := c.nextPeriod
	if c.currentProbe.target != nil && !c.currentProbe.indirect {
		next = min(next, c.currentProbe.deadline)
	}
	return next
}

// Tick probes, suspects and declares dead as the time demands. Late calls are harmless: a pause of this process does not
// count against the others.
func (c *Core) Tick(now timer.Millis) Output {
	c.beginCall()
	if !c.started {
		c.started, c.nextPeriod, c.lastTick = true, now, now
	}
	if gap := now - c.lastTick; gap > 2*c.probeInterval() {
		c.currentProbe = probe{}
		for _, r := range c.suspects {
			r.stateSince += gap
		}
		c.nextPeriod = now
	}
	c.lastTick = now
	if probe := &c.currentProbe; probe.target != nil && !probe.indirect && now >= probe.deadline {
		probe.indirect = true
		for _, r := range c.randomAlive(indirectProbes, probe.target.member.ID) {
			c.send(r.member.Address, Packet{Kind: KindPingRequest, Sequence: probe.sequence, Target: probe.target.member})
		}
	}
	c.expireRecords(now)
	if now >= c.nextPeriod {
		c.nextPeriod = now + c.probeInterval()
		c.finishProbe(now)
		c.startProbe(now)
		if c.periodCount++; c.periodCount%syncPeriods == 0 {
			c.requestSync()
		}
	}
	return c.output
}

// Receive handles a packet from an address.
func (c *Core) Receive(now timer.Millis, from string, p *Packet) Output {
	c.beginCall()
	if p.From.ID == c.Self.ID {
		return c.output // an echo, or a former incarnation of this process
	}
	c.applyUpdate(now, Update{p.From, StateAlive})
	for _, u := range p.Updates {
		c.applyUpdate(now, u)
	}
	switch p.Kind {
	case KindPing:
		// Another process may have taken over the address of the target.
		if p.Target.ID == c.Self.ID {
			c.send(from, Packet{Kind: KindAck, Sequence: p.Sequence, Target: p.Target, Updates: c.refutableUpdate(p.From.ID)})
		}
	case KindAck:
		c.handleAck(p)
	case KindPingRequest:
		c.relayProbe(from, p)
	case KindSync:
		c.sendPage(from, p)
	case KindPage:
		if p.Cursor != "" && p.Sequence == fullSync {
			c.send(from, Packet{Kind: KindSync, Sequence: fullSync, Cursor: p.Cursor})
		}
	}
	return c.output
}

func (c *Core) beginCall() {
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(c.Seed, 0))
		c.records = map[string]*record{}
	}
	clear(c.output.Send)
	c.output.Send, c.output.Changes = c.output.Send[:0], c.output.Changes[:0]
}

// send adds rumors to a packet and queues it.
func (c *Core) send(to string, p Packet) {
	p.From = c.Self
	if p.Kind == KindPing || p.Kind == KindAck || p.Kind == KindPingRequest {
		p.Updates = c.appendGossip(p.Updates)
	}
	c.output.Send = append(c.output.Send, Datagram{to, p})
}

// news returns the record of the receiver if others believe that it fails, so that it can refute.
func (c *Core) refutableUpdate(id string) []Update {
	if r := c.records[id]; r != nil && r.state != StateAlive {
		return []Update{{r.member, r.state}}
	}
	return nil
}

// gossip appends the rumors that were told least often. Each is told a number of times that grows with the logarithm of
// the member count.
func (c *Core) appendGossip(list []Update) []Update {
	limit := uint8(3 * bits.Len(uint(len(c.probeOrder)+1)))
	size := 0
	for range len(c.gossipQueue) {
		r := c.gossipQueue[0]
		u := Update{r.member, r.state}
		if size += u.maxEncodedSize(); size > maxGossipBytes {
			break
		}
		c.gossipQueue = c.gossipQueue[1:]
		list = append(list, u)
		if r.transmissions++; r.transmissions < limit {
			c.gossipQueue = append(c.gossipQueue, r)
		} else {
			r.queued = false
		}
	}
	return list
}

// spread queues the present state of a row as a rumor, before the older ones.
func (c *Core) enqueueGossip(r *record) {
	r.transmissions = 0
	if !r.queued {
		r.queued = true
		c.gossipQueue = append(c.gossipQueue, nil)
		copy(c.gossipQueue[1:], c.gossipQueue)
		c.gossipQueue[0] = r
	}
}

func (c *Core) probeInterval() timer.Millis {
	if c.Period > 0 {
		return c.Period
	}
	return defaultProbeInterval
}

func (c *Core) probeTimeout() timer.Millis {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return c.probeInterval() / 3
}

func (c *Core) suspicionTimeout() timer.Millis {
	if c.Suspicion > 0 {
		return c.Suspicion
	}
	digits := 1
	for n := len(c.probeOrder) + 1; n >= 10; n /= 10 {
		digits++
	}
	return timer.Millis(3*digits) * c.probeInterval()
}
