package submitter

import "github.com/crocuslb/crocuslb/timer"

// patienceTTL is how long after a caller with the full time limit of a queue the limit counts as usual for its callers.
const patienceTTL = 10 * timer.Second

// priorWait returns the time that a job's caller has waited at least before it sent the job to this entry. Callers whose
// connection broke send their job again with the rest of their deadline, so one with less time left than the queue's
// time limit has waited for the difference. It is 0 for a queue whose callers usually have less time than its limit.
func (s *Submitter) priorWait(j *Job) timer.Millis {
	limit := j.Queue.Timeout
	if limit <= 0 || j.Deadline <= 0 || j.Kind.Durable {
		return 0
	}
	if s.patientAt == nil {
		s.patientAt = map[string]timer.Millis{}
	}
	if j.Deadline >= limit {
		s.patientAt[j.Queue.Name] = s.now
		return 0
	}
	at, known := s.patientAt[j.Queue.Name]
	if !known || s.now-at > patienceTTL {
		return 0
	}
	return limit - j.Deadline
}

// setStartLimits sets the latest starts of a job from the time at which its caller first sent it. When the expected
// response time has passed by then, the job ranks behind the jobs that can still meet theirs. When no useful answer is
// possible any more, the caller's deadline is the only limit left.
func (j *job) setStartLimits(now, priorWait timer.Millis) {
	sent := j.arrived - priorWait
	response := j.expectedResponse()
	j.targetStart = sent + timer.Millis(responseWaitShare*float64(response))
	useful := sent + timer.Millis(usefulResponseFactor*float64(response))
	run := timer.Millis(lateRunFactor * float64(j.criticalPath()))
	if priorWait > 0 && useful < now+run {
		useful = j.expiresAt
	}
	j.latestStart = max(j.targetStart, min(j.arrived+StartWaitLimit(j.Deadline), min(useful, j.expiresAt)-run))
}
