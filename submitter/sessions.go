package submitter

import (
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

var errSilent = trace.ConnectionProblem(nil, "the other end is silent")

// OnUp takes a new session of a sidecar or of another entry.
func (s *Submitter) OnUp(now timer.Millis, link *marshaler.Link) {
	s.at(now)
	if link.Remote.Role == marshaler.RoleEntry {
		s.onPeerUp(link)
		return
	}
	h := link.Remote
	sc := s.sidecars[h.Name]
	if sc == nil {
		sc = &sidecar{name: h.Name, placed: map[marshaler.RunKey]uint64{}}
		s.sidecars[h.Name] = sc
	}
	if sc.incarnation == h.Incarnation && h.Session < sc.remote {
		link.Close(trace.CompareFailed("a later session of %s is known", h.Name))
		return
	}
	sc.remote = h.Session
	if sc.link != nil {
		sc.link.Close(trace.ConnectionProblem(nil, "replaced by a newer session"))
	}
	sc.session++
	sc.link, sc.incarnation, sc.domain, sc.heard, sc.sent, sc.clockAt, sc.subscribed = link, h.Incarnation, h.Domain, now, 0, 0, false
	s.report(Event{Kind: "sidecarUp", Peer: h.Name})
	s.relay.Up(now, h.Name)
	if len(s.kept.owned) > 0 {
		link.Send(&marshaler.Claim{Partitions: s.ownedPartitions()})
	}
	if s.placing() == s.Name {
		s.subscribe(sc)
	}
}

func (s *Submitter) onPeerUp(link *marshaler.Link) {
	h := link.Remote
	p := s.peers[h.Name]
	if p != nil && p.hello.Incarnation > h.Incarnation {
		link.Close(trace.CompareFailed("a later life of %s is known", h.Name))
		return
	}
	if p != nil && p.hello.Incarnation < h.Incarnation {
		s.losePeer(p, "restarted")
	}
	if p == nil || p.hello.Incarnation < h.Incarnation {
		p = &peer{}
		s.peers[h.Name] = p
	}
	// Two entries may dial each other at the same time. The newest session is used for sending; both are read.
	p.hello, p.link, p.heard, p.leaving, p.suspect = h, link, s.now, false, false
	s.report(Event{Kind: "entryUp", Peer: h.Name})
	s.relay.Up(s.now, h.Name)
	p.send(s.now, s.newBeat())
	if s.kept.inUse {
		p.send(s.now, &marshaler.Owned{Partitions: s.ownedPartitions()})
	}
}

// newBeat returns a sign of life.
func (s *Submitter) newBeat() *marshaler.Beat {
	return &marshaler.Beat{Offset: s.snapshot.Offset, Leaving: s.leaving, Kept: s.mayKeep()}
}

// OnDown takes the end of a session.
func (s *Submitter) OnDown(now timer.Millis, link *marshaler.Link, cause error) {
	s.at(now)
	if link.Remote.Role == marshaler.RoleEntry {
		if p := s.peers[link.Remote.Name]; p != nil && p.link == link {
			s.losePeer(p, cause.Error())
		}
		return
	}
	if sc := s.sidecars[link.Remote.Name]; sc != nil && sc.link == link {
		s.loseSidecar(sc, cause.Error())
	}
}

// losePeer takes the loss of another entry. Its requests are dropped, and requests that it held go to the next one.
func (s *Submitter) losePeer(p *peer, cause string) {
	p.link, p.owned, p.waiting = nil, nil, nil
	s.relay.Down(p.hello.Name)
	s.report(Event{Kind: "entryLost", Peer: p.hello.Name, Detail: cause})
	s.placer.Forget(p.hello.Name)
	s.askAgain(p.hello.Name)
	s.loseCalls(p.hello.Name)
}

// loseSidecar takes the loss of a session with a sidecar. What was placed there is settled by the next session, or by
// time.
func (s *Submitter) loseSidecar(sc *sidecar, cause string) {
	sc.link, sc.clockAt = nil, 0
	s.relay.Down(sc.name)
	if !sc.doubtful {
		sc.doubtful, sc.certainAt = true, sc.expected()+certainAfter
	}
	s.placer.SetAccepting(sc.name, false)
	s.report(Event{Kind: "sidecarLost", Peer: sc.name, Detail: cause, Value: int64(len(sc.placed))})
}

// checkSilence ends sessions without a sign of life, and settles runs on lost sidecars.
func (s *Submitter) checkSilence() {
	for _, p := range marshaler.InOrder(s.peers) {
		if p.link != nil && p.silence(s.now) >= p.silenceLimit() {
			link := p.link
			s.losePeer(p, "silent")
			link.Close(errSilent)
		} else if p.link != nil && !p.suspect && p.active && p.silence(s.now) >= suspectLimit {
			p.suspect = true
			s.report(Event{Kind: "entrySuspect", Peer: p.hello.Name, Value: int64(s.now - p.heard)})
			s.askAgain(p.hello.Name)
		}
	}
	for name, sc := range marshaler.InOrder(s.sidecars) {
		if sc.link != nil && sc.silence(s.now) >= sc.silenceLimit() {
			link := sc.link
			s.loseSidecar(sc, "silent")
			link.Close(errSilent)
		}
		if sc.link == nil && s.now >= sc.certainAt {
			delete(s.sidecars, name)
			s.placer.RemoveWorker(name)
			s.settle(sc, "sidecar was lost")
		}
	}
}

// settle ends all attempts on a sidecar that surely do not run any more.
func (s *Submitter) settle(sc *sidecar, reason string) {
	for _, key := range marshaler.RunsInOrder(sc.placed) {
		s.onOutcome(sc, &marshaler.Outcome{Run: key, Status: marshaler.StatusLost, Reason: reason})
	}
}

// OnMessage takes a message of a session.
func (s *Submitter) OnMessage(now timer.Millis, link *marshaler.Link, m marshaler.Message) {
	s.at(now)
	if link.Remote.Role == marshaler.RoleEntry {
		if p := s.peers[link.Remote.Name]; p != nil && p.hello.Incarnation == link.Remote.Incarnation {
			s.onPeerMessage(p, link, m)
		}
		return
	}
	if sc := s.sidecars[link.Remote.Name]; sc != nil && sc.link == link {
		sc.heard = now
		s.onSidecarMessage(sc, m)
	}
}

func (s *Submitter) onPeerMessage(p *peer, link *marshaler.Link, m marshaler.Message) {
	p.heard, p.suspect = s.now, false
	if p.link == nil {
		p.link = link
	}
	switch m := m.(type) {
	case *marshaler.Beat:
		p.offset, p.mayKeep = m.Offset, m.Kept
		if m.Leaving && !p.leaving {
			s.report(Event{Kind: "entryLeaving", Peer: p.hello.Name})
		}
		p.leaving = m.Leaving
	case *marshaler.Ask:
		p.askedAt = s.now
		p.wake(s.now)
		s.subscribeAll()
		s.placer.Ask(s.now, p.hello.Name, p.hello.Domain, m)
	case *marshaler.Withdraw:
		s.placer.Withdraw(p.hello.Name, m.Job, m.Step)
	case *marshaler.Grant:
		if len(m.Sidecars) > 0 {
			s.onGrant(m)
		}
	case *marshaler.Reject:
		s.onReject(m)
	case *marshaler.Owned:
		s.onOwned(p, m)
	case *marshaler.Handover:
		s.onHandover(m)
	case *marshaler.Call:
		s.onCall(p, m)
	case *marshaler.Reply:
		s.onReply(m)
	case *marshaler.Waiting:
		if p.waiting == nil {
			p.waiting = map[string]uint64{}
		}
		p.waiting[m.Queue] = m.Jobs
	}
}

func (s *Submitter) onSidecarMessage(sc *sidecar, m marshaler.Message) {
	switch m := m.(type) {
	case *marshaler.Backend:
		sc.backend = m
		s.placer.SetWorker(sc.name, sc.domain, m)
	case *marshaler.Load:
		sc.offset = m.Offset
		if m.Clock != 0 {
			sc.clock, sc.clockAt = m.Clock, s.now
		}
		s.placer.OnLoad(s.now, sc.name, m)
	case *marshaler.Outcome:
		s.onOutcome(sc, m)
	case *marshaler.Held:
		s.onHeld(sc, m)
	case *marshaler.Census:
		s.onCensus(sc, m)
	}
}

// onHeld compares what a sidecar has with what was ordered there on earlier sessions. Orders of this session may be on
// their way.
func (s *Submitter) onHeld(sc *sidecar, m *marshaler.Held) {
	sc.doubtful = false
	held := map[marshaler.RunKey]bool{}
	for _, key := range m.Runs {
		held[key] = true
		if sc.placed[key] == 0 {
			sc.link.Send(&marshaler.Stop{Run: key})
		}
	}
	for _, key := range marshaler.RunsInOrder(sc.placed) {
		if !held[key] && sc.placed[key] < sc.session && !s.isKept(key.Job) { // a Census tells of kept jobs
			s.onOutcome(sc, &marshaler.Outcome{Run: key, Status: marshaler.StatusLost, Reason: "not held by the sidecar"})
		}
	}
}

// subscribeAll asks all sidecars for prompt reports, because this entry places.
func (s *Submitter) subscribeAll() {
	for _, sc := range marshaler.InOrder(s.sidecars) {
		s.subscribe(sc)
	}
}

func (s *Submitter) subscribe(sc *sidecar) {
	if sc.link != nil && !sc.subscribed {
		sc.subscribed = true
		sc.wake(s.now)
		sc.link.Send(&marshaler.Subscribe{On: true})
	}
}

// unsubscribe ends prompt reports once another entry places and nothing is queued here.
func (s *Submitter) unsubscribe() {
	for _, sc := range marshaler.InOrder(s.sidecars) {
		if sc.link != nil && sc.subscribed {
			sc.subscribed = false
			sc.link.Send(&marshaler.Subscribe{})
		}
	}
}

// Leave makes the entry refuse to place, hand its queue over, and ask callers to go elsewhere.
func (s *Submitter) Leave(now timer.Millis) {
	s.at(now)
	s.leaving = true
	s.beatAll()
	s.placer.Leave()
}

func (s *Submitter) beat() {
	if s.placing() != s.Name && s.placer.Queued() == 0 && s.now-s.ticked >= timer.Second {
		s.ticked = s.now
		s.unsubscribe()
	}
	for _, sc := range marshaler.InOrder(s.sidecars) {
		if sc.link != nil && s.now-sc.sent >= sc.beatPeriod() {
			s.beatSidecar(sc)
		}
	}
	for _, p := range marshaler.InOrder(s.peers) {
		if p.link != nil && s.now-p.sent >= p.beatPeriod() {
			s.beatPeer(p)
		}
	}
}

func (s *Submitter) beatAll() {
	for _, sc := range marshaler.InOrder(s.sidecars) {
		if sc.link != nil {
			s.beatSidecar(sc)
		}
	}
	for _, p := range marshaler.InOrder(s.peers) {
		if p.link != nil {
			s.beatPeer(p)
		}
	}
}

// beatSidecar sends a sign of life, and the configuration to a process that has had an older one for a while.
func (s *Submitter) beatSidecar(sc *sidecar) {
	if sc.offset < s.snapshot.Offset && s.relay.Due(s.now, s.Name, sc.name, sc.offset == 0) {
		sc.link.Send(&marshaler.Configuration{Body: s.snapshot.Append(nil)})
	}
	sc.sent = s.now
	sc.link.Send(s.newBeat())
}

func (s *Submitter) beatPeer(p *peer) {
	if p.offset < s.snapshot.Offset && s.relay.Due(s.now, s.Name, p.hello.Name, p.offset == 0) {
		p.link.Send(&marshaler.Configuration{Body: s.snapshot.Append(nil)})
	}
	p.send(s.now, s.newBeat())
}

func (p *peer) send(now timer.Millis, m marshaler.Message) {
	p.sent = now
	if p.link != nil {
		p.link.Send(m)
	}
}
