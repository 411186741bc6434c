package watcher

import (
	"slices"

	"github.com/crocuslb/crocuslb/timer"
)

// startProbe pings the next member that is not dead. Each round visits the members in a new random order.
func (c *Core) startProbe(now timer.Millis) {
	for range c.probeOrder {
		if c.nextProbe >= len(c.probeOrder) {
			c.nextProbe = 0
			c.rng.Shuffle(len(c.probeOrder), c.swapProbeOrder)
		}
		r := c.probeOrder[c.nextProbe]
		c.nextProbe++
		if r.state == StateDead {
			continue
		}
		c.sequence++
		c.currentProbe = probe{target: r, member: r.member, sequence: c.sequence, deadline: now + c.probeTimeoutOrDefault()}
		c.send(r.member.Address, Packet{
			Kind: KindPing, Sequence: c.sequence, Target: r.member, Updates: c.refutableUpdate(r.member.ID),
		})
		return
	}
}

// finishProbe ends the probe of the previous probe interval. Its target becomes suspect unless it answered or announced
// a newer version.
func (c *Core) finishProbe(now timer.Millis) {
	r, probed := c.currentProbe.target, c.currentProbe.member
	c.currentProbe = probe{}
	if r == nil || r.state == StateDead || r.member.newer(probed) {
		return
	}
	before := r.state
	r.applyEvent("probeFailed")
	c.afterTransition(now, r, before != r.state)
}

// handleAck ends the current probe, or forwards the ack of an indirect probe to the member that requested it.
func (c *Core) handleAck(p *Packet) {
	if t := c.currentProbe.target; t != nil && p.Sequence == c.currentProbe.sequence && p.Target.ID == t.member.ID {
		c.currentProbe = probe{}
		return
	}
	i := slices.IndexFunc(c.relays, func(r relay) bool { return r.sequence == p.Sequence && r.targetID == p.From.ID })
	if i < 0 {
		return
	}
	r := c.relays[i]
	c.relays = slices.Delete(c.relays, i, i+1)
	c.send(r.requester, Packet{Kind: KindAck, Sequence: r.requesterSequence, Target: p.From})
}

// relayProbe pings the target of a ping request. Beyond maxRelays, the oldest relay is dropped.
func (c *Core) relayProbe(from string, p *Packet) {
	if p.Target.ID == "" || p.Target.ID == c.Self.ID {
		return
	}
	if len(c.relays) == maxRelays {
		c.relays = slices.Delete(c.relays, 0, 1)
	}
	c.sequence++
	c.relays = append(c.relays, relay{c.sequence, from, p.Sequence, p.Target.ID})
	c.send(p.Target.Address, Packet{
		Kind: KindPing, Sequence: c.sequence, Target: p.Target, Updates: c.refutableUpdate(p.Target.ID),
	})
}

// randomAlive returns up to n distinct members in StateAlive, without the member except.
func (c *Core) randomAlive(n int, except string) []*record {
	var list []*record
	// Bounded attempts keep the cost independent of the number of dead members.
	for range 4 * n {
		if len(c.probeOrder) == 0 || len(list) == n {
			break
		}
		r := c.probeOrder[c.rng.IntN(len(c.probeOrder))]
		if r.state == StateAlive && r.member.ID != except && !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	return list
}
