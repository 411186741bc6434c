package dispatcher

import (
	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	maxSentPings            = 8
	firstContactTimeout     = 3 * timer.Second // time within which a new member must send its first message
	fullSidecarListInterval = 10 * timer.Second
	offerRetryInterval      = timer.Second // time after which a configuration that the peer did not adopt is sent again
)

type (
	// peer is another entry, in whatever incarnation.
	peer struct {
		member                  encoder.Member
		address                 string
		sessions                []SessionID // in the order of opening
		lastHeard               timer.Millis
		reconnecting            bool
		sequence                uint64
		sentPings               [maxSentPings]sentPing
		report                  encoder.PeerPing
		reportBegan             timer.Millis // time at which the ping was sent that report answers; 0 if there is no report
		offeredOffset           uint64       // offset of the configuration last sent to the peer
		offeredAt               timer.Millis // time at which that configuration was sent
		highestEpoch            uint64       // highest epoch reported by any incarnation
		listedSidecars          map[encoder.Member]bool
		lastFullList            timer.Millis
		censusEpoch             uint64       // epoch of the last complete answer to a peer census
		incompleteEpoch         uint64       // epoch of the last such answer by which the peer may not know all sidecars
		lastUnknownSidecarStart timer.Millis // last time at which sidecars unknown to the peer may have started tasks
	}

	sentPing struct {
		sequence uint64
		at       timer.Millis
	}
)

// hasValidReport reports whether the last report is of incarnation m and not older than reportValidity.
func (p *peer) hasValidReport(now timer.Millis, m encoder.Member) bool {
	return p.reportBegan != 0 && p.member == m && now-p.reportBegan < reportValidity
}

// session returns the newest session, or 0 if there is none.
func (p *peer) session() SessionID {
	if len(p.sessions) == 0 {
		return 0
	}
	return p.sessions[len(p.sessions)-1]
}

func (c *Core) getOrAddPeer(id string) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{lastHeard: c.now + firstContactTimeout - peerTimeout, listedSidecars: map[encoder.Member]bool{}}
		c.peers[id] = p
	}
	return p
}

func (c *Core) peerConnected(id SessionID, h encoder.Hello) {
	if h.Member.ID == c.self.ID {
		return
	}
	p := c.getOrAddPeer(h.Member.ID)
	if h.Member.Incarnation < p.member.Incarnation {
		c.effects = append(c.effects, Effect{Kind: EffectCloseSession, Session: id})
		return
	}
	if h.Member != p.member {
		p.member, p.reportBegan, p.censusEpoch, p.incompleteEpoch = h.Member, 0, 0, 0
	}
	p.sessions = append(p.sessions, id)
	p.lastHeard = max(p.lastHeard, c.now)
	clear(p.listedSidecars)
	p.lastFullList = 0
	c.sessions[id] = &session{id: id, peer: p}
	c.pingPeer(p)
	c.sendPeerCensus(p)
	c.retryForwards(p.member.ID)
	c.resendWitness(p.member.ID)
}

func (c *Core) peerDisconnected(s *session) {
	p := s.peer
	for i, id := range p.sessions {
		if id == s.id {
			p.sessions = append(p.sessions[:i], p.sessions[i+1:]...)
			break
		}
	}
	clear(p.listedSidecars)
	p.lastFullList = 0
	c.handleForwardSessionClosed(s.id)
}

func (c *Core) handlePeerMessage(s *session, m encoder.Message) {
	p := s.peer
	p.lastHeard, p.reconnecting = max(p.lastHeard, c.now), false
	switch m := m.(type) {
	case *encoder.PeerPing:
		c.applyPeerReport(p, m)
		c.send(s.id, &encoder.PeerPong{Sequence: m.Sequence, State: c.reportFor(p)})
	case *encoder.PeerPong:
		c.applyPeerReport(p, &m.State)
		for _, sent := range p.sentPings {
			if sent.sequence == m.Sequence && sent.at >= p.reportBegan {
				p.reportBegan, p.report = sent.at, m.State
				p.report.Sidecars = nil
			}
		}
	case *encoder.Forward:
		c.route(waiter{session: s.id, forward: m.ID}, m.Request, m.Job, m.Hops)
		c.placeTasks()
	case *encoder.ForwardAnswer:
		c.handleForwardAnswer(m)
	case *encoder.Witness:
		c.handleWitness(p.member, m.Jobs)
	case *encoder.PeerCensus:
		c.handlePeerCensus(s.id, p, m)
	case *encoder.PeerCensusReply:
		c.handlePeerCensusReply(p, m)
	case *encoder.Handover:
		c.handleHandover(m)
		c.placeTasks()
	default:
		c.counters.Ignored++
	}
}

// applyPeerReport applies the parts of a report that do not expire: epoch, sidecars and provisional withdrawals.
func (c *Core) applyPeerReport(p *peer, s *encoder.PeerPing) {
	p.highestEpoch = max(p.highestEpoch, s.Epoch)
	for _, m := range s.Sidecars {
		c.takeover.sidecarSeen(m, c.now)
	}
	for _, d := range s.WithdrawnDomains {
		c.adoptProvisional(d, s.ConfigOffset)
	}
	c.offerConfiguration(p, s)
}

// offerConfiguration sends the configuration to a peer that has an older one and cannot reach the log.
func (c *Core) offerConfiguration(p *peer, s *encoder.PeerPing) {
	id, offset := p.session(), c.domainState.offset
	if id == 0 || s.LogReachable || s.ConfigOffset >= offset ||
		p.offeredOffset == offset && c.now-p.offeredAt < offerRetryInterval {
		return
	}
	p.offeredOffset, p.offeredAt = offset, c.now
	c.effects = append(c.effects, Effect{Kind: EffectSendConfiguration, Session: id})
}

// reportFor returns this entry's report to p. It lists the sidecars that p was not told of yet, and every
// fullSidecarListInterval all of them.
func (c *Core) reportFor(p *peer) encoder.PeerPing {
	s := encoder.PeerPing{
		Epoch: c.roster.Epoch, ConfigOffset: c.domainState.offset, LogReachable: c.logReachable(),
		ConfigConfirmed: c.confirmations[StreamConfiguration] != 0 && c.now-c.confirmations[StreamConfiguration] <= logTimeout,
	}
	for d := range c.domainState.provisional {
		s.WithdrawnDomains = append(s.WithdrawnDomains, d)
	}
	if c.now-p.lastFullList >= fullSidecarListInterval {
		clear(p.listedSidecars)
		p.lastFullList = c.now
	}
	for _, sc := range c.sidecars {
		if !p.listedSidecars[sc.hello.Member] {
			p.listedSidecars[sc.hello.Member] = true
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
	p.sentPings[p.sequence%maxSentPings] = sentPing{p.sequence, c.now}
	ping := c.reportFor(p)
	ping.Sequence = p.sequence
	c.send(id, &ping)
}

// tickPeers sends heartbeats, reconnects to silent peers and removes failed peers from the roster.
func (c *Core) tickPeers() {
	sinceLastTick := c.now - c.lastTick
	c.lastTick = c.now
	for _, e := range c.roster.Entries {
		if e.Member.ID == c.self.ID {
			continue
		}
		p := c.getOrAddPeer(e.Member.ID)
		if sinceLastTick > pauseThreshold {
			// This entry itself was paused, so the silence does not indicate a failure of its peers.
			p.lastHeard = max(p.lastHeard, c.now)
		}
		silence := c.now - p.lastHeard
		if silence > reconnectTimeout && !p.reconnecting && len(p.sessions) > 0 {
			p.reconnecting = true
			c.effects = append(c.effects, Effect{Kind: EffectCloseSession, Session: p.session()})
			c.pingPeer(p)
		}
		if silence > peerTimeout {
			c.appendRemoval(e)
		}
	}
	if c.now-c.lastPeerPing < heartbeatInterval {
		return
	}
	c.lastPeerPing = c.now
	for _, p := range c.peers {
		c.pingPeer(p)
	}
}

// appendRemoval appends the removal of a failed member. The record has no effect if the member has a new incarnation by
// then.
func (c *Core) appendRemoval(e encoder.RosterEntry) {
	if !c.hasLogQuorum() || c.draining {
		return
	}
	if at, ok := c.removalAttempts[e.Member]; ok && c.now-at < membershipRetryInterval {
		return
	}
	c.removalAttempts[e.Member] = c.now
	c.appendRecord(StreamRoster, elector.AppendChange(nil, elector.Change{
		Kind: elector.ChangeRemove, Base: c.roster.Epoch, Entry: e,
	}))
}
