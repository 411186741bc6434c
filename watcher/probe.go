package watcher

import (
	"slices"

	"github.com/crocuslb/crocuslb/timer"
)

// startProbe pings the next member that is not dead. Each round visits every member once, in a new random order.
func (c *Core) startProbe(now timer.Millis) {
	for range c.order {
		if c.position >= len(c.order) {
			c.position = 0
			c.random.Shuffle(len(c.order), c.swap)
		}
		r := c.order[c.position]
		c.position++
		if r.state == StateDead {
			continue
		}
		c.sequence++
		c.probe = probe{target: r, member: r.member, sequence: c.sequence, deadline: now + c.timeout()}
		c.send(r.member.Address, Packet{
			Kind: KindPing, Sequence: c.sequence, Target: r.member, Updates: c.news(r.member.ID),
		})
		return
	}
}

// conclude ends the probe of the past period.
func (c *Core) conclude(now timer.Millis) {
	r, probed := c.probe.target, c.probe.member
	c.probe = probe{}
	if r == nil || r.state == StateDead || r.member.newer(probed) {
		return
	}
	before := r.state
	r.step("probeFailed")
	c.entered(now, r, before != r.state)
}

// acknowledge ends the own probe, or one that runs on behalf of another member.
func (c *Core) acknowledge(p *Packet) {
	if t := c.probe.target; t != nil && p.Sequence == c.probe.sequence && p.Target.ID == t.member.ID {
		c.probe = probe{}
		return
	}
	i := slices.IndexFunc(c.relays, func(r relay) bool { return r.sequence == p.Sequence && r.target == p.From.ID })
	if i < 0 {
		return
	}
	r := c.relays[i]
	c.relays = slices.Delete(c.relays, i, i+1)
	c.send(r.to, Packet{Kind: KindAck, Sequence: r.original, Target: p.From})
}

// relay pings the target of a request. The oldest relay is dropped when there are too many.
func (c *Core) relay(from string, p *Packet) {
	if p.Target.ID == "" || p.Target.ID == c.Self.ID {
		return
	}
	if len(c.relays) == maxRelays {
		c.relays = slices.Delete(c.relays, 0, 1)
	}
	c.sequence++
	c.relays = append(c.relays, relay{c.sequence, from, p.Sequence, p.Target.ID})
	c.send(p.Target.Address, Packet{
		Kind: KindPing, Sequence: c.sequence, Target: p.Target, Updates: c.news(p.Target.ID),
	})
}

// pick returns up to n different live members other than the one named.
func (c *Core) pick(n int, except string) []*row {
	var list []*row
	// The attempts are bounded, so that the cost does not grow with the number of dead members.
	for range 4 * n {
		if len(c.order) == 0 || len(list) == n {
			break
		}
		r := c.order[c.random.IntN(len(c.order))]
		if r.state == StateAlive && r.member.ID != except && !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	return list
}
