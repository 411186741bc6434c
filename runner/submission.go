package runner

import (
	"github.com/crocuslb/crocuslb/submitter"
	"github.com/crocuslb/crocuslb/timer"
)

// submission is a job on its way from a caller to the core. Its methods are called by the event loop, in any order.
type submission struct {
	entry     *Entry
	job       submitter.Job
	postedAt  timer.Millis
	submitted bool // the core has the job, or has answered it
	abandoned bool // the caller left
}

// run passes the job to the core unless the caller has left. If the core panics, it may have the job already. A restartable
// job then ends, because its caller is told so.
func (s *submission) run(now timer.Millis) {
	if s.abandoned {
		return
	}
	s.submitted = true
	s.job.Waited += max(now-s.postedAt, 0)
	if !s.entry.runRecovering(s.job.Answer, func() { s.entry.core.Submit(now, s.job) }) && !s.job.Kind.Durable {
		s.entry.runRecovering(s.job.Answer, func() { s.entry.core.Abort(now, s.job.ID, "internal error") })
	}
}

// abandon ends the job of a caller that left. If the job is still queued, the core never gets it: the same job of another
// caller goes on.
func (s *submission) abandon(now timer.Millis) {
	s.abandoned = true
	if !s.submitted {
		s.job.Answer(submitter.Answer{Kind: submitter.AnswerAborted, Reason: "caller left"})
		return
	}
	s.entry.runRecovering(s.job.Answer, func() { s.entry.core.Abort(now, s.job.ID, "caller left") })
}
