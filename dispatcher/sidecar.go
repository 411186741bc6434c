package dispatcher

import (
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/scheduler"
	"github.com/crocuslb/crocuslb/timer"
)

// sidecar is one incarnation of a sidecar that has or had a session to this entry.
type sidecar struct {
	hello          encoder.Hello
	session        SessionID    // 0 while there is none
	disconnectedAt timer.Millis // when the session ended
	leaving        bool
	running        uint32
	credits        uint32 // as granted, spent and given back; the scheduler decides with its own count
	censusEpoch    uint64 // epoch of the last census that was sent on the session
	reportedDemand int
	configOffset   uint64                   // configuration offset of the last pong
	submissions    map[*submission]struct{} // those with a task that was placed here, until they end
}

// hold notes that a task of s was placed on the sidecar, so that the loss of a sidecar needs no search in all jobs.
func (sc *sidecar) addSubmission(s *submission) {
	if _, ok := sc.submissions[s]; !ok {
		sc.submissions[s] = struct{}{}
		s.sidecars = append(s.sidecars, sc)
	}
}

// release drops s from the lists of its sidecars.
func (s *submission) detachSidecars() {
	for _, sc := range s.sidecars {
		delete(sc.submissions, s)
	}
	s.sidecars = nil
}

// Announce notes a sidecar whose session is about to be accepted.
func (c *Core) RegisterSidecar(now timer.Millis, m encoder.Member) {
	c.now = now
	c.takeover.sidecarSeen(m, now)
}

func (c *Core) sidecarConnected(id SessionID, h encoder.Hello) {
	sc := c.sidecars[h.Member.ID]
	switch {
	case sc != nil && sc.hello.Member.Incarnation > h.Member.Incarnation:
		c.effects = append(c.effects, Effect{Kind: EffectCloseSession, Session: id})
		return
	case sc != nil && sc.hello.Member.Incarnation < h.Member.Incarnation:
		c.sidecarLost(sc)
		sc = nil
	case sc != nil && sc.session != 0:
		// Messages of the replaced session no longer count: a late refusal would look like the answer to a start
		// that was sent again on the new session.
		delete(c.sessions, sc.session)
		c.effects = append(c.effects, Effect{Kind: EffectCloseSession, Session: sc.session})
		c.queue.RemoveSidecar(h.Member.ID)
	}
	if sc == nil {
		sc = &sidecar{submissions: map[*submission]struct{}{}}
		c.sidecars[h.Member.ID] = sc
	}
	sc.hello, sc.session, sc.leaving, sc.credits, sc.censusEpoch, sc.reportedDemand = h, id, false, 0, 0, 0
	c.sessions[id] = &session{id: id, sidecar: sc}
	distance := timer.Millis(0)
	if h.Domain != c.settings.Domain {
		distance = 1
	}
	c.queue.SetSidecar(scheduler.Sidecar{
		ID: h.Member.ID, Domain: h.Domain, Slots: h.Slots, MemoryMB: h.MemoryMB, Kinds: h.Kinds, Distance: distance,
	})
	c.queue.SetDomain(h.Domain, c.inForce(h.Domain))
	c.sendCensus(sc)
	c.resendStarts(sc)
}

// startAgain repeats the starts whose outcome is open. The sidecar's table of started tasks makes that safe.
func (c *Core) resendStarts(sc *sidecar) {
	for s := range sc.submissions {
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.sidecar != sc || t.state != taskStarted && !step(taskChart, &t.state, eventRecover) {
				continue
			}
			t.resent = true
			if s.state == submissionOpen || s.state == submissionClosing {
				c.sendStart(s, i)
			}
		}
	}
}

func (c *Core) sidecarDisconnected(ss *session) {
	sc := ss.sidecar
	if sc.session != ss.id {
		return
	}
	sc.session, sc.disconnectedAt = 0, c.now
	c.queue.RemoveSidecar(sc.hello.Member.ID)
	for s := range sc.submissions {
		for i := range s.tasks {
			if s.tasks[i].sidecar == sc {
				step(taskChart, &s.tasks[i].state, eventLose)
			}
		}
	}
}

// sidecarGone ends the tasks of a sidecar that cannot answer any more. They are never placed again.
func (c *Core) sidecarLost(sc *sidecar) {
	c.lostSidecars[sc.hello.Member] = c.now
	if c.sidecars[sc.hello.Member.ID] == sc {
		delete(c.sidecars, sc.hello.Member.ID)
	}
	if sc.session != 0 {
		delete(c.sessions, sc.session)
		c.effects = append(c.effects, Effect{Kind: EffectCloseSession, Session: sc.session})
		sc.session = 0
		c.queue.RemoveSidecar(sc.hello.Member.ID)
	}
	for s := range sc.submissions {
		for i := 0; i < len(s.tasks); i++ {
			if t := &s.tasks[i]; t.sidecar == sc && (t.state == taskStarted || t.state == taskInDoubt) {
				c.taskEnded(s, i, sc, encoder.StatusUnknown, nil, "the worker that had started the task was lost", 0)
			}
		}
	}
}

func (c *Core) removeLostSidecars() {
	for _, sc := range c.sidecars {
		if sc.session == 0 && c.now-sc.disconnectedAt > c.settings.SidecarTimeout {
			c.sidecarLost(sc)
		}
	}
	for m, at := range c.lostSidecars {
		if c.now-at > c.settings.KeyRetention {
			delete(c.lostSidecars, m)
		}
	}
	limit := c.settings.RunLimit + runLimitMargin
	for _, s := range c.submissions {
		if s.running == 0 || c.now-s.lastStart < limit {
			continue
		}
		for i := 0; i < len(s.tasks); i++ {
			if t := &s.tasks[i]; t.state == taskStarted {
				c.taskEnded(s, i, t.sidecar, encoder.StatusUnknown, nil, "a started task sent no result", 0)
			}
		}
	}
}

func (c *Core) handleSidecarMessage(sc *sidecar, m encoder.Message) {
	switch m := m.(type) {
	case *encoder.Ping:
		sc.running = m.Running
		if m.Leaving {
			c.sidecarLeaving(sc)
		}
		c.sendPong(sc, m)
	case *encoder.Result:
		c.handleResult(sc, m)
	case *encoder.Refusal:
		c.handleRefusal(sc, m)
	case *encoder.Grant:
		c.addCredits(sc, m.Credits)
	case *encoder.Recall:
		// The sidecar asks again only after an answer, so it gets one even when nothing is left to give back.
		taken := c.queue.Recall(sc.hello.Member.ID, m.Credits)
		sc.credits -= min(taken, sc.credits)
		c.send(sc.session, &encoder.Release{Credits: taken})
	case *encoder.CensusReply:
		c.handleCensusReply(sc, m)
	case *encoder.Leaving:
		c.sidecarLeaving(sc)
	default:
		c.counters.Ignored++
	}
}

func (c *Core) addCredits(sc *sidecar, credits uint32) {
	if credits > 0 && !sc.leaving {
		sc.credits += credits
		c.queue.Grant(sc.hello.Member.ID, credits)
	}
}

func (c *Core) sidecarLeaving(sc *sidecar) {
	if !sc.leaving {
		sc.leaving, sc.credits = true, 0
		c.queue.SetLeaving(sc.hello.Member.ID)
	}
}

// tellDemand reports the length of the queue to the sidecars when it changed from or to empty, or doubled.
func (c *Core) sendDemand() {
	queued := c.queue.Queued()
	if queued == 0 && c.totalReportedDemand == 0 {
		return
	}
	c.totalReportedDemand = 0
	for _, sc := range c.sidecars {
		if sc.session == 0 || sc.leaving {
			continue
		}
		if (queued == 0) != (sc.reportedDemand == 0) || queued > 2*sc.reportedDemand {
			sc.reportedDemand = queued
			c.send(sc.session, &encoder.Demand{Queued: uint32(queued)})
		}
		c.totalReportedDemand += sc.reportedDemand
	}
}
