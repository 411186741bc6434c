package submitter

import (
	"github.com/crocuslb/crocuslb/gauger"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// maxOpenHandovers is the maximum number of unanswered jobs that an entry hands over to one peer.
	maxOpenHandovers = 64
	// handoverRate and handoverBurst bound how many jobs an entry hands over, per second and at once.
	handoverRate  = 400
	handoverBurst = 40
	// handoverProcessor is the processor capacity, in millicores, by which a handover reduces the spare capacity of its
	// receiver until the receiver's next report.
	handoverProcessor = 10
)

type (
	// handoverState holds the jobs that this entry has handed over to others. The jobs are not in Submitter.jobs, so that
	// no grant starts their tasks here.
	handoverState struct {
		jobs       map[string]*handedJob // by ID
		lastNumber uint64
		permits    float64 // handovers that handoverRate allows now
		permitsAt  timer.Millis
		pausedAt   timer.Millis // time of the latest detected pause of this process
		late       bool         // the event loop is late (SetLoopDelay)
	}

	// handedJob is a job that another entry runs for this one.
	handedJob struct {
		job    *job
		number uint64
		to     *peer
		link   *marshaler.Link // session that carried it; the handover ends with it
	}
)

// acceptRestartable hands a new job over, refuses it or admits it, depending on the load of this entry. A received job
// is not handed over again.
func (s *Submitter) acceptRestartable(j Job, received bool) {
	if !s.reserveMemory(&j) {
		return
	}
	n := &job{Job: j, steps: newSteps(j.Steps), memory: j.memoryNeed()}
	if !s.Handover || s.load.own.Class <= gauger.Normal {
		s.admit(n)
		return
	}
	s.setLimits(n)
	if p := s.handoverTarget(); !received && p != nil {
		s.handOver(n, p)
		return
	}
	if s.load.own.Class == gauger.Overloaded && s.now+s.load.own.LoopDelay > n.latestStart {
		s.finish(n, Answer{Kind: AnswerNotRun, Reason: "the entry is overloaded", RetryAfter: max(s.load.own.LoopDelay, timer.Second)})
		return
	}
	s.admit(n)
}

// handoverTarget returns the entry that a new job is handed over to, or nil. The placing entry hands over while it is
// busy, so that it keeps its processors for placing. Soon after a long pause the caller of a job may have left, and the
// other entry would start the job at once.
func (s *Submitter) handoverTarget() (best *peer) {
	if s.now < s.resume.until {
		return nil
	}
	if s.load.own.Class < gauger.Overloaded && s.placingEntry() != s.Name || !s.handoverPermitted() {
		return nil
	}
	for _, p := range marshaler.SortedByKey(s.peers) {
		if !s.isNormal(p) || p.offset < s.snapshot.Offset || len(p.handedOver) >= maxOpenHandovers || p.spareProcessor() <= 0 {
			continue
		}
		if best == nil || p.spareProcessor() > best.spareProcessor() {
			best = p
		}
	}
	return best
}

// handoverPermitted reports whether the rate limit allows a handover.
func (s *Submitter) handoverPermitted() bool {
	earned := float64(s.now-s.handover.permitsAt) * handoverRate / float64(timer.Second)
	s.handover.permits, s.handover.permitsAt = min(s.handover.permits+earned, handoverBurst), s.now
	return s.handover.permits >= 1
}

// handOver sends a job to another entry.
func (s *Submitter) handOver(j *job, p *peer) {
	s.handover.permits--
	s.handover.lastNumber++
	h := &handedJob{job: j, number: s.handover.lastNumber, to: p, link: p.link}
	if s.handover.jobs == nil {
		s.handover.jobs = map[string]*handedJob{}
	}
	if p.handedOver == nil {
		p.handedOver = map[string]*handedJob{}
	}
	s.handover.jobs[j.ID], p.handedOver[j.ID] = h, h
	p.handedSince++
	p.requestedAt = s.now
	p.activate(s.now)
	s.report(Event{Kind: "handOver", Job: j.ID, Queue: j.Queue.Name, Peer: p.hello.Name, Detail: s.load.own.Class.String(), Value: p.spareProcessor()})
	p.send(s.now, &marshaler.JobHandover{
		Number: h.number, Job: j.ID, Queue: j.Queue.Name, Spec: j.Spec, Steps: j.Steps, Deadline: j.Deadline, Waited: s.now - j.arrived,
		SentAt: p.remote.at(s.now),
	})
}

// senderHeartbeatDue reports whether a peer that has jobs of this entry must get a heartbeat although other messages were sent,
// because these do not show when they were sent.
func (s *Submitter) senderHeartbeatDue(p *peer) bool {
	return len(p.handedOver) > 0 && s.now-p.loadSentAt >= heartbeatInterval
}

// endHandover removes a handover and answers its callers.
func (s *Submitter) endHandover(h *handedJob, a Answer) {
	j := h.job
	delete(s.handover.jobs, j.ID)
	delete(h.to.handedOver, j.ID)
	s.releaseMemory(j)
	h.to.requestedAt = s.now
	s.report(Event{
		Kind: "handOverEnd", Job: j.ID, Queue: j.Queue.Name, Peer: h.to.hello.Name, Detail: a.Kind.String() + " " + a.Reason, Took: s.now - j.arrived,
		Expected: j.expectedResponse(), Deadline: j.Deadline,
	})
	j.answerWaiters(a)
}

// cancelHandover ends a handover whose answer is not needed any more.
func (s *Submitter) cancelHandover(h *handedJob, a Answer) {
	h.to.send(s.now, &marshaler.CancelJobHandover{Number: h.number, Job: h.job.ID})
	s.endHandover(h, a)
}

// onJobAnswer passes the answer of another entry on. A refusal is true: the receiver started no task.
func (s *Submitter) onJobAnswer(link *marshaler.Link, m *marshaler.JobAnswer) {
	h := s.handover.jobs[m.Job]
	if h == nil || h.number != m.Number || h.link != link {
		return
	}
	a := Answer{Kind: AnswerKind(m.Kind), Reason: m.Reason, RetryAfter: m.RetryAfter}
	switch a.Kind {
	case AnswerDone, AnswerFailed, AnswerNotRun, AnswerNoQueue, AnswerMalformed, AnswerAborted, AnswerUnknown:
	default:
		a = Answer{Kind: AnswerUnknown, Reason: "unexpected answer " + a.Kind.String()}
	}
	s.endHandover(h, a)
}

// endHandovers ends the handovers in both directions that depend on a session with a peer other than the current one.
// The outcome of those that this entry handed over is unknown, because the receiver may have started tasks. The receiver
// stops them when it detects the end of the session, at the latest one heartbeat timeout after this entry; the caller
// sends the job again after that. If the receiver noticed two concurrent sessions in another order, the older one goes on
// there, so the withdrawal is sent on it.
func (s *Submitter) endHandovers(p *peer, cause string) {
	for _, h := range marshaler.SortedByKey(p.handedOver) {
		if h.link != p.link {
			h.link.Send(&marshaler.CancelJobHandover{Number: h.number, Job: h.job.ID})
			s.endHandover(h, Answer{Kind: AnswerUnknown, Reason: cause})
		}
	}
	for _, r := range marshaler.SortedByKey(p.received) {
		if r.link != p.link {
			s.withdrawReceived(r, cause)
		}
	}
}

// expireHandovers ends the handovers whose deadline has passed.
func (s *Submitter) expireHandovers() {
	for _, h := range marshaler.SortedByKey(s.handover.jobs) {
		if s.now >= h.job.expiresAt {
			s.cancelHandover(h, Answer{Kind: AnswerAborted, Reason: "deadline passed"})
		}
	}
}
