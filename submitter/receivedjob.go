package submitter

import (
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// handoverRetryAfter is the retry delay of jobs that were handed over and refused before they were admitted.
	handoverRetryAfter = timer.Second
	// pausedHandoverTime is how long after a pause no jobs are taken. Jobs that arrived during the pause are handled within
	// this time; their senders may have given up on them.
	pausedHandoverTime = 200 * timer.Millisecond
)

// receivedJob is a job that another entry handed over to this one.
type receivedJob struct {
	job    string
	number uint64
	from   *peer
	link   *marshaler.Link
	ended  bool // answered or withdrawn
}

// ReceivedJobs returns the number of unanswered jobs that other entries have handed over to this one.
func (s *Submitter) ReceivedJobs() (n int) {
	for _, p := range s.peers {
		n += len(p.received)
	}
	return n
}

// HandedOverJobs returns the number of unanswered jobs that this entry has handed over.
func (s *Submitter) HandedOverJobs() int { return len(s.handover.jobs) }

// onJobHandover accepts a job of another entry like that of a caller of this entry.
func (s *Submitter) onJobHandover(p *peer, link *marshaler.Link, m *marshaler.JobHandover) {
	p.requestedAt = s.now
	p.activate(s.now)
	sentAt := marshaler.TimeSent(s.now, m.SentAt)
	p.aliveAt = max(p.aliveAt, sentAt)
	r := &receivedJob{job: m.Job, number: m.Number, from: p, link: link}
	if a := s.refuseHandover(p, link, m, sentAt); a.Kind != 0 {
		s.report(Event{Kind: "handOverRefused", Job: m.Job, Queue: m.Queue, Peer: p.hello.Name, Detail: a.Kind.String() + " " + a.Reason})
		s.answerReceived(r, a)
		return
	}
	if p.received == nil {
		p.received = map[uint64]*receivedJob{}
	}
	p.received[m.Number] = r
	queues := s.snapshot.Queues()
	queue := queues[slices.IndexFunc(queues, func(q router.Queue) bool { return q.Name == m.Queue })]
	s.report(Event{Kind: "handOverReceived", Job: m.Job, Queue: m.Queue, Peer: p.hello.Name, Took: m.Waited})
	s.submit(Job{
		ID: m.Job, Queue: queue, Spec: m.Spec, Steps: m.Steps, Deadline: m.Deadline, Waited: max(m.Waited, 0),
		Answer: func(a Answer) { s.answerReceived(r, a) },
	}, true)
}

// refuseHandover returns the answer to a job that this entry does not take, or the zero Answer. No task of it has run
// here.
func (s *Submitter) refuseHandover(p *peer, link *marshaler.Link, m *marshaler.JobHandover, sentAt timer.Millis) Answer {
	refusal := Answer{Kind: AnswerNotRun, RetryAfter: handoverRetryAfter + jitter(m.Job)}
	switch {
	case !s.Handover:
		refusal.Reason = "handover is off"
	case link != p.link || link == p.closed:
		refusal.Reason = "the session has ended"
	case s.handover.pausedAt != 0 && s.now-s.handover.pausedAt < pausedHandoverTime:
		refusal.Reason = "the entry was paused"
	case s.now-sentAt >= HeartbeatTimeout:
		refusal.Reason = "the handover arrived late"
	case len(p.received) >= maxOpenHandovers:
		refusal.Reason = "too many jobs are handed over"
	case s.handover.jobs[m.Job] != nil:
		// The same job was submitted here, too, and is handed over already. It may run there.
		return Answer{Kind: AnswerUnknown, Reason: "the job is handed over to another entry"}
	case !slices.ContainsFunc(s.snapshot.Queues(), func(q router.Queue) bool { return q.Name == m.Queue }):
		return Answer{Kind: AnswerNoQueue, Reason: "no such queue"}
	default:
		return Answer{}
	}
	return refusal
}

// answerReceived sends the answer to the entry that handed the job over, on the session that carried the job.
func (s *Submitter) answerReceived(r *receivedJob, a Answer) {
	if r.ended {
		return
	}
	r.end(s.now)
	if r.link == r.from.link {
		r.from.lastSent = s.now // the answer also serves as a heartbeat
	}
	r.link.Send(&marshaler.JobAnswer{Number: r.number, Job: r.job, Kind: uint8(a.Kind), Reason: truncateReason(a.Reason), RetryAfter: a.RetryAfter})
}

// end removes a received job from the open ones.
func (r *receivedJob) end(now timer.Millis) {
	r.ended = true
	if r.from.received[r.number] == r {
		delete(r.from.received, r.number)
	}
	r.from.requestedAt = now
}

// onCancelJobHandover handles the withdrawal of a job that another entry handed over.
func (s *Submitter) onCancelJobHandover(p *peer, link *marshaler.Link, m *marshaler.CancelJobHandover) {
	if r := p.received[m.Number]; r != nil && r.link == link && r.job == m.Job {
		s.withdrawReceived(r, "the handing entry withdrew it")
	}
}

// dropReceived ends the jobs that a peer handed over and tells the peer, which may be alive, that their outcome is unknown.
func (s *Submitter) dropReceived(p *peer, cause string) {
	for _, r := range marshaler.SortedByKey(p.received) {
		s.withdrawReceived(r, cause)
		r.link.Send(&marshaler.JobAnswer{Number: r.number, Job: r.job, Kind: uint8(AnswerUnknown), Reason: cause})
	}
}

// withdrawReceived ends a received job without an answer. Its runs are stopped unless callers of this entry wait for the
// same job.
func (s *Submitter) withdrawReceived(r *receivedJob, cause string) {
	r.end(s.now)
	s.report(Event{Kind: "handOverWithdrawn", Job: r.job, Peer: r.from.hello.Name, Detail: cause})
	j := s.jobs[r.job]
	if j == nil {
		return
	}
	if j.leftWaiters++; j.leftWaiters >= len(j.waiters) {
		s.finish(j, Answer{Kind: AnswerAborted, Reason: cause})
	}
}
