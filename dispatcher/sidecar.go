package dispatcher

import (
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/scheduler"
	"github.com/crocuslb/crocuslb/timer"
)

// sidecar is an incarnation of a sidecar that has or had a session to this entry.
type sidecar struct {
	hello          encoder.Hello
	session        SessionID    // 0 while there is none
	disconnectedAt timer.Millis // when the session ended
	leaving        bool
	running        uint32
	credits        uint32 // granted minus spent and returned, for the status; the scheduler has its own count
	censusEpoch    uint64 // epoch of the last census sent on the session
	reportedDemand int
	configOffset   uint64                   // configuration offset in the last pong sent
	submissions    map[*submission]struct{} // submissions with a task placed on this sidecar, until they end
}

// addSubmission records that a task of s was placed on the sidecar. Because of this index, the loss of a sidecar needs no
// search through all submissions.
func (sc *sidecar) addSubmission(s *submission) {
	if _, ok := sc.submissions[s]; !ok {
		sc.submissions[s] = struct{}{}
		s.sidecars = append(s.sidecars, sc)
	}
}

// detachSidecars removes s from the submissions of its sidecars.
func (s *submission) detachSidecars() {
	for _, sc := range s.sidecars {
		delete(sc.submissions, s)
	}
	s.sidecars = nil
}

// RegisterSidecar records a sidecar whose session is about to be accepted, so that the next takeover takes it into account.
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
		// Messages of the replaced session are ignored from now on: a late refusal would be taken for the answer to a
		// start that was resent on the new session.
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
		ID: h.Member.ID, Domain: h.Domain, Slots: h.Slots, MemoryMB: h.MemoryMB, Kinds: h.Kinds, Latency: distance,
	})
	c.queue.SetDomain(h.Domain, c.inForce(h.Domain))
	c.sendCensus(sc)
	c.resendStarts(sc)
}

// resendStarts repeats the starts whose outcome is not known. The sidecar's started-task table makes this idempotent.
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

// sidecarLost ends the tasks of a sidecar that cannot send results any more with the status unknown. They are never placed
// again.
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
		// The sidecar sends no further Recall before it has an answer, so it gets one even if no credits are returned.
		returned := c.queue.RevokeCredits(sc.hello.Member.ID, m.Credits)
		sc.credits -= min(returned, sc.credits)
		c.send(sc.session, &encoder.Release{Credits: returned})
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
		c.queue.AddCredits(sc.hello.Member.ID, credits)
	}
}

func (c *Core) sidecarLeaving(sc *sidecar) {
	if !sc.leaving {
		sc.leaving, sc.credits = true, 0
		c.queue.SetLeaving(sc.hello.Member.ID)
	}
}

// sendDemand reports the length of the queue to the sidecars when it has become empty or non-empty, or more than doubled
// since the last report.
func (c *Core) sendDemand() {
	queued := c.queue.QueueLen()
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
