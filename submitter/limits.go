package submitter

import "github.com/crocuslb/crocuslb/timer"

const (
	// responseWaitShare is the share of the expected response time that a job may wait for its first start. The rest
	// covers its run and estimates that are off by 40%. A caller that is refused within this time can still retry
	// elsewhere.
	responseWaitShare = 0.35
	// deadlineWaitShare is the share of a caller's deadline that a job may wait for its first start. A caller prefers
	// an answer after the expected response time to a refusal, and after a refusal within this time it still has most
	// of its deadline to retry elsewhere.
	deadlineWaitShare = 0.4
	// maxStartWait bounds the wait of jobs with long deadlines.
	maxStartWait = 2 * timer.Second
	// usefulResponseFactor is the multiple of the expected response time after which an answer is useless to a caller.
	usefulResponseFactor = 3
	// lateRunFactor is the multiple of a job's estimated run time that must remain before its deadline at a late start.
	lateRunFactor = 1.4
	// maxDeadline bounds the deadlines set by callers, so that sums with them do not overflow.
	maxDeadline = 60 * timer.Minute
	// defaultDeadline applies to jobs whose callers set no deadline.
	defaultDeadline = 30 * timer.Second
	// patienceTTL is how long after a caller with the full time limit of a queue the limit counts as usual for its callers.
	patienceTTL = 10 * timer.Second
)

// setLimits sets the arrival of a new job and the times until which starts and answers are useful. They count from the
// time at which its caller first sent it. When the expected response time has passed, the job ranks behind those that can
// still meet theirs. When no useful answer is possible any more, only the caller's deadline limits its wait.
func (s *Submitter) setLimits(j *job) {
	wait := min(j.Deadline, maxDeadline)
	if wait <= 0 {
		wait = defaultDeadline
	}
	j.waiters = []func(a Answer){j.Answer}
	j.arrived, j.priorWait = s.now-j.Waited, s.priorWait(&j.Job)
	j.expiresAt = j.arrived + wait
	sent, response := j.arrived-j.priorWait, float64(j.expectedResponse())
	j.targetStart = sent + timer.Millis(responseWaitShare*response)
	useful := sent + timer.Millis(usefulResponseFactor*response)
	run := timer.Millis(lateRunFactor * float64(j.criticalPath()))
	if j.priorWait > 0 && useful < s.now+run {
		useful = j.expiresAt
	}
	j.targetEnd, j.lastUsefulEnd = sent+timer.Millis(response), min(useful, j.expiresAt)
	j.latestStart = max(j.targetStart, min(j.arrived+StartWaitLimit(j.Deadline), j.lastUsefulEnd-run))
}

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

// expectedResponse returns the response time that the job's queue promises for its estimated run time.
func (j *Job) expectedResponse() timer.Millis {
	return timer.Millis(j.Queue.Stretch*float64(j.criticalPath())) + j.Queue.ResponseAllowance
}

// StartWaitLimit returns how long a job may wait for its first start, given its caller's deadline; 0 means unset.
func StartWaitLimit(deadline timer.Millis) timer.Millis {
	if deadline <= 0 {
		return maxStartWait
	}
	return min(timer.Millis(deadlineWaitShare*float64(deadline)), maxStartWait)
}
