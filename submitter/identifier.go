package submitter

const identifierReason = "the identifier belongs to another job"

// refusesIdentifier refuses a job whose identifier belongs to a job of another queue or kind: active, if there is one, or a durable
// job that has ended. Taken for the same job, its caller would get the answer of the other one.
func (s *Submitter) refusesIdentifier(j *Job, active *job) bool {
	finished := s.durable.finished[j.ID]
	switch {
	case active != nil && (active.Queue.Name != j.Queue.Name || active.Kind.Durable != j.Kind.Durable):
	case j.Kind.Durable && finished != nil && finished.record.Queue != j.Queue.Name:
	default:
		return false
	}
	s.report(Event{Kind: eventRefuse, Job: j.ID, Queue: j.Queue.Name, Detail: "submitter " + identifierReason})
	j.Answer(Answer{Kind: AnswerNotRun, Reason: identifierReason, RetryAfter: stateRetention})
	return true
}
