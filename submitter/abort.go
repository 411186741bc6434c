package submitter

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// Abort aborts a job whose caller disconnected or cancelled it. It returns false if the job is unknown or its record was
// handed to the store.
func (s *Submitter) Abort(now timer.Millis, id, reason string) bool {
	s.setNow(now)
	if h := s.handover.jobs[id]; h != nil {
		s.cancelHandover(h, Answer{Kind: AnswerAborted, Reason: reason})
		return true
	}
	j := s.jobs[id]
	if j == nil || j.durability.storeRequested {
		return false
	}
	s.finish(j, Answer{Kind: AnswerAborted, Reason: reason})
	return true
}

// AbortAll aborts all jobs because the entry shuts down.
func (s *Submitter) AbortAll(now timer.Millis, reason string) {
	for id := range marshaler.SortedByKey(s.jobs) {
		s.Abort(now, id, reason)
	}
	for id := range marshaler.SortedByKey(s.handover.jobs) {
		s.Abort(now, id, reason)
	}
}
