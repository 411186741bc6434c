package submitter

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// lostPeerTime is how long after its last message another entry without a session counts as one that may run the job. Cuts between
// entries are shorter; an entry that was removed for good must not make all later cancellations fail.
const lostPeerTime = 10 * timer.Second

type (
	// cancellation is a caller's cancellation of a job that this entry does not know. A restartable job is known only to the entry that
	// runs it, so all of them are asked.
	cancellation struct {
		op     *operation
		open   int  // entries that have not answered
		unsure bool // an entry cannot be asked, was lost before it answered, or does not know the question
		ended  bool // the caller has its answer
		// durableInUse is whether durable jobs were in use when the entries were asked.
		durableInUse bool
	}

	// cancelCall is the part of a cancellation that one entry is asked for.
	cancelCall struct {
		cancellation *cancellation
		entry        string
	}
)

// Cancel cancels a job, whichever entry has it.
func (s *Submitter) Cancel(now timer.Millis, queue, id string, answer func(a Answer)) {
	s.setNow(now)
	if s.abortRestartable(id) {
		answer(Answer{Kind: AnswerCancelled})
		return
	}
	op := &operation{verb: marshaler.VerbCancel, job: Job{ID: id}, queue: queue, expiresAt: now + routeTimeout}
	op.respond = func(a Answer) {
		if a.Kind != AnswerNotFound {
			answer(a)
			return
		}
		s.cancelElsewhere(&operation{verb: marshaler.VerbAbort, job: op.job, queue: queue, respond: answer, expiresAt: op.expiresAt})
	}
	s.routeExisting(op)
}

// abortRestartable ends a restartable job that this entry runs or has handed over. It returns false if there is none.
func (s *Submitter) abortRestartable(id string) bool {
	if j := s.jobs[id]; (j == nil || j.durability.partition != nil) && s.handover.jobs[id] == nil {
		return false
	}
	return s.Abort(s.now, id, "cancelled by the caller")
}

// cancelElsewhere asks all other entries to end a restartable job.
func (s *Submitter) cancelElsewhere(op *operation) {
	c := &cancellation{op: op, durableInUse: s.durable.use.inUse}
	for name, p := range marshaler.SortedByKey(s.peers) {
		if p.link == nil {
			c.unsure = c.unsure || s.now-p.lastReceived < lostPeerTime
			continue
		}
		c.open++
		s.durable.lastCall++
		s.cancelCalls[s.durable.lastCall] = cancelCall{c, name}
		p.send(s.now, &marshaler.Call{Number: s.durable.lastCall, Verb: marshaler.VerbAbort, Job: op.job.ID, Queue: op.queue})
	}
	s.endCancellation(c)
}

// onCancelReply handles an entry's answer to a cancelCall. It returns false if the reply answers another call.
func (s *Submitter) onCancelReply(m *marshaler.Reply) bool {
	call, ok := s.cancelCalls[m.Number]
	if !ok {
		return false
	}
	delete(s.cancelCalls, m.Number)
	c := call.cancellation
	c.open--
	switch AnswerKind(m.Kind) {
	case AnswerCancelled:
		s.answerCancellation(c, Answer{Kind: AnswerCancelled})
	case AnswerNotFound:
	default: // an entry of a former version
		c.unsure = true
	}
	s.endCancellation(c)
	return true
}

// dropCancelCalls ends the cancelCalls that a lost entry has not answered.
func (s *Submitter) dropCancelCalls(entry string) {
	for number, call := range marshaler.SortedByKey(s.cancelCalls) {
		if call.entry == entry {
			delete(s.cancelCalls, number)
			call.cancellation.open--
			call.cancellation.unsure = true
			s.endCancellation(call.cancellation)
		}
	}
}

// expireCancelCalls ends the cancellations that not all entries have answered in time.
func (s *Submitter) expireCancelCalls() {
	for number, call := range marshaler.SortedByKey(s.cancelCalls) {
		if s.now >= call.cancellation.op.expiresAt {
			delete(s.cancelCalls, number)
			s.failCancellation(call.cancellation)
		}
	}
}

// endCancellation answers a cancellation once all entries have answered.
func (s *Submitter) endCancellation(c *cancellation) {
	switch {
	case c.open > 0 || c.ended:
	case c.unsure:
		s.failCancellation(c)
	case !c.durableInUse && s.durable.use.inUse: // an entry has announced durable jobs before it answered
		c.ended = true
		s.route(&operation{verb: marshaler.VerbCancel, job: c.op.job, queue: c.op.queue, respond: c.op.answer, expiresAt: c.op.expiresAt})
	default:
		s.answerCancellation(c, Answer{Kind: AnswerNotFound, Reason: "no such job"})
	}
}

func (s *Submitter) failCancellation(c *cancellation) {
	a := Answer{Kind: AnswerNotRun, Reason: "not all entries could be asked for the job", RetryAfter: ownerRetryAfter}
	if !c.ended {
		s.report(Event{Kind: "unanswered", Job: c.op.job.ID, Queue: c.op.queue, Detail: a.Kind.String() + " " + a.Reason})
	}
	s.answerCancellation(c, a)
}

func (s *Submitter) answerCancellation(c *cancellation, a Answer) {
	if !c.ended {
		c.ended = true
		c.op.answer(a)
	}
}
