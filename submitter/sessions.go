package submitter

import (
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

var errHeartbeatTimeout = trace.ConnectionProblem(nil, "heartbeat timeout: no message from the peer")

// OnConnect handles a new session of a sidecar or of another entry.
func (s *Submitter) OnConnect(now timer.Millis, link *marshaler.Link) {
	s.setNow(now)
	if link.Remote.Role == marshaler.RoleEntry {
		s.onPeerSession(link)
		return
	}
	h := link.Remote
	sc := s.sidecars[h.Name]
	if sc == nil {
		sc = &sidecar{name: h.Name, assignedRuns: map[marshaler.RunKey]uint64{}}
		s.sidecars[h.Name] = sc
	}
	if sc.incarnation == h.Incarnation && h.Session < sc.remoteSession {
		link.Close(trace.CompareFailed("a newer session of %s exists", h.Name))
		return
	}
	if sc.incarnation != h.Incarnation {
		sc.remote, sc.unwantedRuns = remoteClock{}, nil
	}
	for _, key := range marshaler.SortedRunKeys(sc.unwantedRuns) {
		link.Send(&marshaler.Stop{Run: key})
	}
	sc.remoteSession = h.Session
	if sc.link != nil {
		sc.link.Close(trace.ConnectionProblem(nil, "replaced by a newer session"))
	}
	sc.session++
	sc.link, sc.incarnation, sc.domain, sc.lastReceived, sc.lastSent, sc.clockAt, sc.subscribed = link, h.Incarnation, h.Domain, now, 0, 0, false
	s.report(Event{Kind: "sidecarUp", Peer: h.Name})
	s.relay.OnConnect(now, h.Name)
	if len(s.durable.owned) > 0 {
		link.Send(&marshaler.Claim{Partitions: s.ownedPartitions()})
	}
	if s.placingEntry() == s.Name {
		s.subscribe(sc)
	}
}

func (s *Submitter) onPeerSession(link *marshaler.Link) {
	h := link.Remote
	p := s.peers[h.Name]
	if p != nil && p.hello.Incarnation > h.Incarnation {
		link.Close(trace.CompareFailed("a newer incarnation of %s exists", h.Name))
		return
	}
	if p != nil && p.link != nil && p.hello.Incarnation == h.Incarnation && h.Session < p.hello.Session {
		return // an older session that was handled late; it is read, but its end must not count as the loss of the entry
	}
	if p != nil && p.hello.Incarnation < h.Incarnation {
		s.onPeerLost(p, "restarted")
	}
	if p == nil || p.hello.Incarnation < h.Incarnation {
		p = &peer{}
		s.peers[h.Name] = p
	}
	// Two entries may dial each other at the same time. The newest session is used for sending; both are read.
	p.hello, p.link, p.lastReceived, p.aliveAt, p.leaving, p.suspect, p.reported = h, link, s.now, s.now, false, false, false
	s.endHandovers(p, "the session was replaced")
	s.report(Event{Kind: "entryUp", Peer: h.Name})
	s.relay.OnConnect(s.now, h.Name)
	p.send(s.now, s.newPeerHeartbeat(p))
	if s.durable.use.inUse {
		p.send(s.now, &marshaler.OwnedPartitions{Partitions: s.ownedPartitions()})
	}
}

// newHeartbeat returns a heartbeat message.
func (s *Submitter) newHeartbeat() *marshaler.Heartbeat {
	return &marshaler.Heartbeat{Offset: s.snapshot.Offset, Leaving: s.leaving, DurableInUse: s.mayHaveDurable()}
}

// OnDisconnect handles the end of a session.
func (s *Submitter) OnDisconnect(now timer.Millis, link *marshaler.Link, cause error) {
	s.setNow(now)
	if link.Remote.Role == marshaler.RoleEntry {
		if p := s.peers[link.Remote.Name]; p != nil && p.link == link {
			s.onPeerLost(p, cause.Error())
		}
		return
	}
	if sc := s.sidecars[link.Remote.Name]; sc != nil && sc.link == link {
		s.onSidecarLost(sc, cause.Error())
	}
}

// onPeerLost handles the loss of another entry. Its requests are dropped, and requests that it held go to the next
// placing entry.
func (s *Submitter) onPeerLost(p *peer, cause string) {
	p.closed, p.link, p.load, p.ownedEpochs, p.waitingJobs = p.link, nil, nil, nil, nil
	s.endHandovers(p, "the session ended: "+cause)
	s.relay.OnDisconnect(p.hello.Name)
	s.report(Event{Kind: "entryLost", Peer: p.hello.Name, Detail: cause})
	s.placer.RemoveEntry(p.hello.Name)
	s.rerouteRequests(p.hello.Name)
	s.rerouteCalls(p.hello.Name)
	s.dropCancelCalls(p.hello.Name)
}

// onSidecarLost handles the loss of a session with a sidecar. The fate of its runs is settled by the next session or by
// runExpiry.
func (s *Submitter) onSidecarLost(sc *sidecar, cause string) {
	sc.link, sc.clockAt = nil, 0
	s.relay.OnDisconnect(sc.name)
	if !sc.runsUnconfirmed {
		sc.runsUnconfirmed, sc.runsExpireAt = true, sc.heartbeatDueSince()+runExpiry
	}
	sc.runsExpireAt = max(sc.runsExpireAt, sc.keepaliveAt+keepaliveExpiry)
	s.placer.SetAccepting(sc.name, false)
	s.report(Event{Kind: "sidecarLost", Peer: sc.name, Detail: cause, Value: int64(len(sc.assignedRuns))})
}

// checkTimeouts closes sessions whose heartbeat timeout has expired, and ends the runs on lost sidecars once they have
// expired.
func (s *Submitter) checkTimeouts() {
	for _, p := range marshaler.SortedByKey(s.peers) {
		if p.link != nil && p.silence(s.now) >= p.heartbeatTimeout() {
			link := p.link
			s.onPeerLost(p, "silent")
			link.Close(errHeartbeatTimeout)
			continue
		}
		if len(p.received) > 0 && s.now-p.aliveAt >= senderTimeout {
			s.dropReceived(p, "the entry that handed the job over is silent")
		}
		if p.link != nil && !p.suspect && p.active && p.silence(s.now) >= suspectTimeout {
			p.suspect = true
			s.report(Event{Kind: "entrySuspect", Peer: p.hello.Name, Value: int64(s.now - p.lastReceived)})
			s.rerouteRequests(p.hello.Name)
		}
	}
	for name, sc := range marshaler.SortedByKey(s.sidecars) {
		if sc.link != nil && sc.silence(s.now) >= sc.heartbeatTimeout() {
			link := sc.link
			s.onSidecarLost(sc, "silent")
			link.Close(errHeartbeatTimeout)
		}
		if sc.link == nil && s.now >= sc.runsExpireAt {
			delete(s.sidecars, name)
			s.placer.RemoveWorker(name)
			s.endLostRuns(sc, "sidecar was lost")
		}
	}
}

// endLostRuns ends all attempts on a sidecar whose runs are guaranteed to have ended.
func (s *Submitter) endLostRuns(sc *sidecar, reason string) {
	for _, key := range marshaler.SortedRunKeys(sc.assignedRuns) {
		s.onOutcome(sc, &marshaler.Outcome{Run: key, Status: marshaler.StatusLost, Reason: reason})
	}
}

// OnMessage handles a message of a session.
func (s *Submitter) OnMessage(now timer.Millis, link *marshaler.Link, m marshaler.Message) {
	s.setNow(now)
	if link.Remote.Role == marshaler.RoleEntry {
		if p := s.peers[link.Remote.Name]; p != nil && p.hello.Incarnation == link.Remote.Incarnation {
			s.onPeerMessage(p, link, m)
		}
		return
	}
	if sc := s.sidecars[link.Remote.Name]; sc != nil && sc.link == link {
		sc.lastReceived = now
		s.onSidecarMessage(sc, m)
	}
}

func (s *Submitter) onPeerMessage(p *peer, link *marshaler.Link, m marshaler.Message) {
	p.lastReceived, p.suspect = s.now, false
	if !p.remote.known { // a process of a former release does not state times
		p.aliveAt = s.now
	}
	if p.link == nil {
		p.link = link
	}
	switch m := m.(type) {
	case *marshaler.Heartbeat:
		if m.Time != 0 {
			p.remote.observe(s.now, m.Time)
		}
		p.aliveAt = max(p.aliveAt, marshaler.TimeSent(s.now, m.SentAt))
		p.offset, p.mayHaveDurable, p.reported = m.Offset, m.DurableInUse, true
		p.setLoad(s.now, m)
		if m.Leaving && !p.leaving {
			s.report(Event{Kind: "entryLeaving", Peer: p.hello.Name})
		}
		p.leaving = m.Leaving
	case *marshaler.ResourceRequest:
		p.requestedAt = s.now
		p.activate(s.now)
		s.subscribeAll()
		s.placer.Request(s.now, p.hello.Name, p.hello.Domain, m)
	case *marshaler.CancelResourceRequest:
		s.placer.Cancel(p.hello.Name, m.Job, m.Step)
	case *marshaler.Grant:
		if len(m.Sidecars) > 0 {
			s.onGrant(m)
		}
	case *marshaler.Reject:
		s.onReject(m)
	case *marshaler.OwnedPartitions:
		s.onOwned(p, m)
	case *marshaler.Handover:
		s.onHandover(m)
	case *marshaler.Call:
		s.onCall(p, m)
	case *marshaler.Reply:
		s.onReply(m)
	case *marshaler.Question:
		s.onQuestion(p, m)
	case *marshaler.Explanation:
		s.onExplanation(p, m)
	case *marshaler.QueueBacklog:
		if p.waitingJobs == nil {
			p.waitingJobs = map[string]uint64{}
		}
		p.waitingJobs[m.Queue] = m.Jobs
	case *marshaler.JobHandover:
		s.onJobHandover(p, link, m)
	case *marshaler.JobAnswer:
		s.onJobAnswer(link, m)
	case *marshaler.CancelJobHandover:
		s.onCancelJobHandover(p, link, m)
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
		if m.Time != 0 {
			sc.remote.observe(s.now, m.Time)
		}
		s.placer.OnLoad(s.now, sc.name, m)
	case *marshaler.Outcome:
		s.onOutcome(sc, m)
	case *marshaler.ActiveRuns:
		s.onHeld(sc, m)
	case *marshaler.Census:
		s.onCensus(sc, m)
	}
}

// onHeld compares the runs that a sidecar lists with those started on earlier sessions. Starts of the current session
// may still be in flight.
func (s *Submitter) onHeld(sc *sidecar, m *marshaler.ActiveRuns) {
	sc.runsUnconfirmed = false
	sc.unwantedRuns = map[marshaler.RunKey]bool{}
	listed := map[marshaler.RunKey]bool{}
	for _, key := range m.Runs {
		listed[key] = true
		if sc.assignedRuns[key] == 0 {
			sc.unwantedRuns[key] = true
			sc.link.Send(&marshaler.Stop{Run: key})
		}
	}
	for _, key := range marshaler.SortedRunKeys(sc.assignedRuns) {
		if !listed[key] && sc.assignedRuns[key] < sc.session && !s.isDurable(key.Job) { // a Census covers durable jobs
			s.onOutcome(sc, &marshaler.Outcome{Run: key, Status: marshaler.StatusLost, Reason: "not held by the sidecar"})
		}
	}
}

// subscribeAll subscribes to the load reports of all sidecars, because this entry schedules.
func (s *Submitter) subscribeAll() {
	for _, sc := range marshaler.SortedByKey(s.sidecars) {
		s.subscribe(sc)
	}
}

func (s *Submitter) subscribe(sc *sidecar) {
	if sc.link != nil && !sc.subscribed {
		sc.subscribed = true
		sc.activate(s.now)
		sc.link.Send(&marshaler.LoadSubscription{Enabled: true})
	}
}

// unsubscribe ends the subscriptions. It is called when another entry schedules and the local queue is empty.
func (s *Submitter) unsubscribe() {
	for _, sc := range marshaler.SortedByKey(s.sidecars) {
		if sc.link != nil && sc.subscribed {
			sc.subscribed = false
			sc.link.Send(&marshaler.LoadSubscription{})
		}
	}
}

// Drain drains the entry: it stops scheduling, hands its queue over and directs callers to other entries.
func (s *Submitter) Drain(now timer.Millis) {
	s.setNow(now)
	s.leaving = true
	s.sendAllHeartbeats()
	s.placer.RejectAll()
}

func (s *Submitter) sendDueHeartbeats() {
	if s.placingEntry() != s.Name && s.placer.QueueLen() == 0 && s.now-s.subscriptionsCheckedAt >= timer.Second {
		s.subscriptionsCheckedAt = s.now
		s.unsubscribe()
	}
	for _, sc := range marshaler.SortedByKey(s.sidecars) {
		if sc.link != nil && s.now-sc.lastSent >= sc.heartbeatInterval() {
			s.sendSidecarHeartbeat(sc)
		}
	}
	for _, p := range marshaler.SortedByKey(s.peers) {
		if p.link != nil && (s.now-p.lastSent >= p.heartbeatInterval() || s.loadReportDue(p) || s.senderHeartbeatDue(p)) {
			s.sendPeerHeartbeat(p)
		}
	}
}

func (s *Submitter) sendAllHeartbeats() {
	for _, sc := range marshaler.SortedByKey(s.sidecars) {
		if sc.link != nil {
			s.sendSidecarHeartbeat(sc)
		}
	}
	s.sendPeerHeartbeats()
}

// sendSidecarHeartbeat sends a heartbeat, and the configuration if the sidecar has had an older one for a while.
func (s *Submitter) sendSidecarHeartbeat(sc *sidecar) {
	if sc.offset < s.snapshot.Offset && s.relay.ShouldSend(s.now, s.Name, sc.name, sc.offset == 0) {
		sc.link.Send(&marshaler.Configuration{Body: s.snapshot.Append(nil)})
	}
	sc.lastSent, sc.keepaliveAt = s.now, s.now
	m := s.newHeartbeat()
	m.SentAt = sc.remote.at(s.now)
	sc.link.Send(m)
}

func (s *Submitter) sendPeerHeartbeat(p *peer) {
	if p.offset < s.snapshot.Offset && s.relay.ShouldSend(s.now, s.Name, p.hello.Name, p.offset == 0) {
		p.link.Send(&marshaler.Configuration{Body: s.snapshot.Append(nil)})
	}
	p.loadSentAt = s.now
	p.send(s.now, s.newPeerHeartbeat(p))
}

// newPeerHeartbeat returns a heartbeat for another entry.
func (s *Submitter) newPeerHeartbeat(p *peer) *marshaler.Heartbeat {
	m := s.addLoad(s.newHeartbeat())
	m.Time, m.SentAt = s.now, p.remote.at(s.now)
	return m
}

func (p *peer) send(now timer.Millis, m marshaler.Message) {
	p.lastSent = now
	if p.link != nil {
		p.link.Send(m)
	}
}
