package dispatcher

import (
	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	pingsKept    = 8
	firstContact = 3 * timer.Second // time that a new member has to be heard for the first time
	fullListEach = 10 * timer.Second
	offerAgain   = timer.Second // time until a configuration that was not adopted is sent again
)

type (
	// peer is another entry, under any incarnation.
	peer struct {
		member   encoder.Member
		address  string
		sessions []SessionID // the newest last
		heard    timer.Millis
		redialed bool
		sequence uint64
		pings    [pingsKept]sentPing
		report   encoder.PeerPing
		begun    timer.Millis // begin of the exchange that brought the report; 0 for none
		offset   uint64       // configuration offset that was sent to the peer
		offered  timer.Millis // when it was sent
		epoch    uint64       // highest epoch that any incarnation has reported
		told     map[encoder.Member]bool
		toldAll  timer.Millis
		census   uint64       // epoch of the last complete answer to a peer census
		doubts   uint64       // epoch of the last such answer that left sidecars open which it may not know
		doubted  timer.Millis // last time at which sidecars that the peer does not know can have started tasks
	}

	sentPing struct {
		sequence uint64
		at       timer.Millis
	}
)

// valid reports whether the last report of this incarnation still counts.
func (p *peer) valid(now timer.Millis, m encoder.Member) bool {
	return p.begun != 0 && p.member == m && now-p.begun < reportValid
}

// session returns the newest session, 0 when there is none.
func (p *peer) session() SessionID {
	if len(p.sessions) == 0 {
		return 0
	}
	return p.sessions[len(p.sessions)-1]
}

func (c *Core) peerOf(id string) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{heard: c.now + firstContact - silentAfter, told: map[encoder.Member]bool{}}
		c.peers[id] = p
	}
	return p
}

func (c *Core) peerUp(id SessionID, h encoder.Hello) {
	if h.Member.ID == c.self.ID {
		return
	}
	p := c.peerOf(h.Member.ID)
	if h.Member.Incarnation < p.member.Incarnation {
		c.out = append(c.out, Effect{Kind: EffectClose, Session: id})
		return
	}
	if h.Member != p.member {
		p.member, p.begun, p.census, p.doubts = h.Member, 0, 0, 0
	}
	p.sessions = append(p.sessions, id)
	p.heard = max(p.heard, c.now)
	clear(p.told)
	p.toldAll = 0
	c.sessions[id] = &session{id: id, peer: p}
	c.pingPeer(p)
	c.askPeer(p)
	c.retryForwards(p.member.ID)
	c.witnessAgain(p.member.ID)
}

func (c *Core) peerDown(s *session) {
	p := s.peer
	for i, id := range p.sessions {
		if id == s.id {
			p.sessions = append(p.sessions[:i], p.sessions[i+1:]...)
			break
		}
	}
	clear(p.told)
	p.toldAll = 0
	c.forwardsLost(s.id)
}

func (c *Core) fromPeer(s *session, m encoder.Message) {
	p := s.peer
	p.heard, p.redialed = max(p.heard, c.now), false
	switch m := m.(type) {
	case *encoder.PeerPing:
		c.peerState(p, m)
		c.send(s.id, &encoder.PeerPong{Sequence: m.Sequence, State: c.state(p)})
	case *encoder.PeerPong:
		c.peerState(p, &m.State)
		for _, sent := range p.pings {
			if sent.sequence == m.Sequence && sent.at >= p.begun {
				p.begun, p.report = sent.at, m.State
				p.report.Sidecars = nil
			}
		}
	case *encoder.Forward:
		c.route(waiter{session: s.id, forward: m.ID}, m.Request, m.Job, m.Hops)
		c.place()
	case *encoder.ForwardAnswer:
		c.forwardAnswer(m)
	case *encoder.Witness:
		c.witnessed(p.member, m.Jobs)
	case *encoder.PeerCensus:
		c.peerCensus(s.id, p, m)
	case *encoder.PeerCensusReply:
		c.peerCensusReply(p, m)
	case *encoder.Handover:
		c.takeHandover(m)
		c.place()
	default:
		c.counters.Ignored++
	}
}

// peerState takes the facts of a report that stay true: epochs, sidecars and provisional withdrawals.
func (c *Core) peerState(p *peer, s *encoder.PeerPing) {
	p.epoch = max(p.epoch, s.Epoch)
	for _, m := range s.Sidecars {
		c.takeover.heard(m, c.now)
	}
	for _, d := range s.Domains {
		c.adoptProvisional(d, s.ConfigOffset)
	}
	c.offerConfiguration(p, s)
}

// offerConfiguration sends the configuration to a peer that has an older one and cannot read the log.
func (c *Core) offerConfiguration(p *peer, s *encoder.PeerPing) {
	id, offset := p.session(), c.domains.offset
	if id == 0 || s.LogReachable || s.ConfigOffset >= offset || p.offset == offset && c.now-p.offered < offerAgain {
		return
	}
	p.offset, p.offered = offset, c.now
	c.out = append(c.out, Effect{Kind: EffectConfiguration, Session: id})
}

// state is the entry's own report to p.
func (c *Core) state(p *peer) encoder.PeerPing {
	s := encoder.PeerPing{
		Epoch: c.roster.Epoch, ConfigOffset: c.domains.offset, LogReachable: c.logReachable(),
		ConfigConfirmed: c.confirmed[StreamConfiguration] != 0 && c.now-c.confirmed[StreamConfiguration] <= logSilence,
	}
	for d := range c.domains.provisional {
		s.Domains = append(s.Domains, d)
	}
	if c.now-p.toldAll >= fullListEach {
		clear(p.told)
		p.toldAll = c.now
	}
	for _, sc := range c.sidecars {
		if !p.told[sc.hello.Member] {
			p.told[sc.hello.Member] = true
			s.Sidecars = append(s.Sidecars, sc.hello.Member)
		}
	}
	return s
}

func (c *Core) pingPeer(p *peer) {
	id := p.session()
	if id == 0 {
		return
	}
	p.sequence++
	p.pings[p.sequence%pingsKept] = sentPing{p.sequence, c.now}
	ping := c.state(p)
	ping.Sequence = p.sequence
	c.send(id, &ping)
}

// tickPeers sends heartbeats, replaces silent sessions and removes dead peers from the roster.
func (c *Core) tickPeers() {
	gap := c.now - c.lastTick
	c.lastTick = c.now
	for _, e := range c.roster.Entries {
		if e.Member.ID == c.self.ID {
			continue
		}
		p := c.peerOf(e.Member.ID)
		if gap > ownPause {
			// This entry itself was paused, so the silence says nothing about its peers.
			p.heard = max(p.heard, c.now)
		}
		silence := c.now - p.heard
		if silence > redialAfter && !p.redialed && len(p.sessions) > 0 {
			p.redialed = true
			c.out = append(c.out, Effect{Kind: EffectClose, Session: p.session()})
			c.pingPeer(p)
		}
		if silence > silentAfter {
			c.remove(e)
		}
	}
	if c.now-c.lastPeers < peerPeriod {
		return
	}
	c.lastPeers = c.now
	for _, p := range c.peers {
		c.pingPeer(p)
	}
}

// remove appends the removal of a dead member. The fold ignores it when the member has a new incarnation by then.
func (c *Core) remove(e encoder.RosterEntry) {
	if !c.mayDecide() || c.draining {
		return
	}
	if at, ok := c.removals[e.Member]; ok && c.now-at < joinPeriod {
		return
	}
	c.removals[e.Member] = c.now
	c.appendRecord(StreamRoster, elector.AppendChange(nil, elector.Change{
		Kind: elector.ChangeRemove, Base: c.roster.Epoch, Entry: e,
	}))
}
