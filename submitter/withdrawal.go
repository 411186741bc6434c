package submitter

import "github.com/crocuslb/crocuslb/timer"

const (
	// withdrawalRetention is how long an entry refuses a job after it has answered its cancellation with "no such job". Submissions
	// that are under way arrive seconds later at most.
	withdrawalRetention = 15 * timer.Second
	// maxWithdrawals bounds the cancellations that are kept. Each takes about 100 bytes.
	maxWithdrawals = 10_000

	cancelledReason = "the job was cancelled before it was accepted"
)

type (
	// withdrawals holds the jobs that were cancelled before they were accepted. The zero value is empty.
	withdrawals struct {
		times map[withdrawnJob]timer.Millis
		order []withdrawnJob // oldest cancellation first
	}

	// withdrawnJob names a job by its queue, too: whoever may cancel the jobs of one queue must not refuse those of another.
	withdrawnJob struct{ queue, id string }
)

// add notes the cancellation of a job.
func (l *withdrawals) add(now timer.Millis, j withdrawnJob) {
	if l.times == nil {
		l.times = map[withdrawnJob]timer.Millis{}
	}
	if _, known := l.times[j]; known {
		return
	}
	l.times[j] = now
	if l.order = append(l.order, j); len(l.order) > maxWithdrawals {
		l.removeOldest()
	}
}

func (l *withdrawals) contains(j withdrawnJob) bool {
	_, ok := l.times[j]
	return ok
}

// expire forgets old cancellations.
func (l *withdrawals) expire(now timer.Millis) {
	for len(l.order) > 0 && now-l.times[l.order[0]] >= withdrawalRetention {
		l.removeOldest()
	}
}

func (l *withdrawals) removeOldest() {
	delete(l.times, l.order[0])
	l.order = l.order[1:]
}

// withdraw makes sure that a job whose cancellation is answered with "no such job" is not accepted afterwards: it may wait for
// capacity, or its submission may be under way.
func (s *Submitter) withdraw(op *operation) {
	s.durable.withdrawn.add(s.now, withdrawnJob{op.queue, op.job.ID})
	j := s.jobs[op.job.ID]
	if j == nil || j.durability.partition == nil || j.Queue.Name != op.queue {
		return
	}
	s.finish(j, Answer{Kind: AnswerNotRun, Reason: cancelledReason})
}
