package watcher

import (
	"math/bits"
	"math/rand/v2"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	defaultProbeInterval = 500
	// syncPeriods is the number of probe intervals between two requests for a page of another member's records. This
	// anti-entropy repairs what gossip missed, and reaches members that were declared dead across a partition.
	syncPeriods = 20
	// deadRetention is how long the record of a dead member is kept. It exceeds the usual partitions of about an hour,
	// so that both sides find each other again.
	deadRetention = 6 * 60 * timer.Minute
	// indirectProbes is the number of members that are asked for an indirect probe.
	indirectProbes = 3
	// maxRelays bounds the indirect probes in progress for other members.
	maxRelays = 64
	// maxGossipBytes bounds the size of the updates that are piggybacked on a packet.
	maxGossipBytes = 512
	// packetOverhead bounds the size of a packet without its members, cursor and updates, but with its MAC.
	packetOverhead = 64
	// fullSync is the sequence number of a sync that requests all pages, one after another.
	fullSync = 1
	// maxMembers bounds the memory for records, also when a faulty member announces many. 1,700 workers are required.
	maxMembers = 16384
)

type (
	// Core is the failure detector without clock, input and output. Set the exported fields before the first call. It is
	// not safe for concurrent use.
	Core struct {
		Self             Member
		Seed             uint64       // of the random number generator
		ProbeInterval    timer.Millis // between two probes; 0 means 500 ms
		ProbeTimeout     timer.Millis // of a direct probe, less than ProbeInterval; 0 means a third of ProbeInterval
		SuspicionTimeout timer.Millis // until a suspect is declared dead; 0 means 3 probe intervals times the decimal digits of the member count

		rng          *rand.Rand
		records      map[string]*record
		probeOrder   []*record // shuffled after each round
		nextProbe    int
		sortedIDs    []string // for pages; nil when out of date
		gossipQueue  []*record
		suspects     []*record // in the order of stateSince
		dead         []*record // in the order of stateSince
		currentProbe probe
		relays       []relay
		sequence     uint64
		nextPeriod   timer.Millis // start of the next probe interval
		lastTick     timer.Millis
		started      bool
		periodCount  int
		leaving      bool
		output       Output
	}

	// Output holds the datagrams to send and the changes to report after a call of Core. It is valid until the next call.
	Output struct {
		Send    []Datagram
		Changes []Update
	}

	// Datagram is a packet with the address of its receiver.
	Datagram struct {
		To     string
		Packet Packet
	}

	// probe is the probe of the current probe interval.
	probe struct {
		target   *record
		member   Member // as of the start of the probe
		sequence uint64
		indirect bool         // indirect probes were requested
		deadline timer.Millis // of the direct probe
	}

	// relay is an indirect probe for another member.
	relay struct {
		sequence          uint64
		requester         string
		requesterSequence uint64
		targetID          string
	}
)

// Join requests the member list of the process at an address. Repeat it until Members is not empty.
func (c *Core) Join(address string) Output {
	c.beginCall()
	c.send(address, Packet{Kind: KindSync, Sequence: fullSync})
	return c.output
}

// Leave announces to some random members that this member leaves, as its death. Reports of its death are not refuted
// from then on.
func (c *Core) Leave() Output {
	c.beginCall()
	c.leaving = true
	for _, r := range c.randomAlive(2*indirectProbes, "") {
		c.send(r.member.Address, Packet{Kind: KindPage, Updates: []Update{{c.Self, StateDead}}})
	}
	return c.output
}

// Members returns all other members in no particular order.
func (c *Core) Members() []Update {
	list := make([]Update, 0, len(c.probeOrder))
	for _, r := range c.probeOrder {
		list = append(list, Update{r.member, r.state})
	}
	return list
}

// NextTick returns the time at which Tick is due.
func (c *Core) NextTick() timer.Millis {
	next := c.nextPeriod
	if c.currentProbe.target != nil && !c.currentProbe.indirect {
		next = min(next, c.currentProbe.deadline)
	}
	return next
}

// Tick starts and finishes probes and applies the timeouts that are due. After a pause of this process of more than two
// probe intervals, it discards the probe in progress and extends the suspicions by the pause, because acks and
// refutations may still wait in the socket.
func (c *Core) Tick(now timer.Millis) Output {
	c.beginCall()
	if !c.started {
		c.started, c.nextPeriod, c.lastTick = true, now, now
	}
	if gap := now - c.lastTick; gap > 2*c.probeIntervalOrDefault() {
		c.currentProbe = probe{}
		for _, r := range c.suspects {
			r.stateSince += gap
		}
		c.nextPeriod = now
	}
	c.lastTick = now
	if current := &c.currentProbe; current.target != nil && !current.indirect && now >= current.deadline {
		current.indirect = true
		for _, r := range c.randomAlive(indirectProbes, current.target.member.ID) {
			c.send(r.member.Address, Packet{Kind: KindPingRequest, Sequence: current.sequence, Target: current.target.member})
		}
	}
	c.expireRecords(now)
	if now >= c.nextPeriod {
		c.nextPeriod = now + c.probeIntervalOrDefault()
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
		return c.output // reflected packet, or one of an earlier incarnation of this process
	}
	c.applyUpdate(now, Update{p.From, StateAlive})
	for _, u := range p.Updates {
		c.applyUpdate(now, u)
	}
	switch p.Kind {
	case KindPing:
		// A ping for another identifier was meant for a process that used this address before.
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

// beginCall initializes the core on the first call and clears the output of the previous one.
func (c *Core) beginCall() {
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(c.Seed, 0))
		c.records = map[string]*record{}
	}
	clear(c.output.Send)
	c.output.Send, c.output.Changes = c.output.Send[:0], c.output.Changes[:0]
}

// send adds a packet to the output, with gossip unless it is a sync or a page.
func (c *Core) send(to string, p Packet) {
	p.From = c.Self
	if p.Kind == KindPing || p.Kind == KindAck || p.Kind == KindPingRequest {
		p.Updates = c.appendGossip(p.Updates)
	}
	c.output.Send = append(c.output.Send, Datagram{to, p})
}

// refutableUpdate returns the record of a member if it is suspect or dead, to be sent to that member so that it can
// refute it.
func (c *Core) refutableUpdate(id string) []Update {
	if r := c.records[id]; r != nil && r.state != StateAlive {
		return []Update{{r.member, r.state}}
	}
	return nil
}

// appendGossip appends queued updates up to maxGossipBytes. Each update is sent a number of times that grows with the
// logarithm of the member count; after each time it goes to the end of the queue.
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

// enqueueGossip puts the record at the front of the gossip queue. A record that is queued already keeps its position, but
// its transmissions are counted anew.
func (c *Core) enqueueGossip(r *record) {
	r.transmissions = 0
	if !r.queued {
		r.queued = true
		c.gossipQueue = append(c.gossipQueue, nil)
		copy(c.gossipQueue[1:], c.gossipQueue)
		c.gossipQueue[0] = r
	}
}

func (c *Core) probeIntervalOrDefault() timer.Millis {
	if c.ProbeInterval > 0 {
		return c.ProbeInterval
	}
	return defaultProbeInterval
}

func (c *Core) probeTimeoutOrDefault() timer.Millis {
	if c.ProbeTimeout > 0 {
		return c.ProbeTimeout
	}
	return c.probeIntervalOrDefault() / 3
}

func (c *Core) suspicionTimeoutOrDefault() timer.Millis {
	if c.SuspicionTimeout > 0 {
		return c.SuspicionTimeout
	}
	digits := 1
	for n := len(c.probeOrder) + 1; n >= 10; n /= 10 {
		digits++
	}
	return timer.Millis(3*digits) * c.probeIntervalOrDefault()
}
