package submitter

import "github.com/crocuslb/crocuslb/timer"

const (
	// AnswerDone means that all tasks ended with success.
	AnswerDone AnswerKind = iota + 1
	// AnswerFailed means that a task failed as often as its queue allows.
	AnswerFailed
	// AnswerNotRun means that nothing of the job ran or will run.
	AnswerNotRun
	// AnswerNoQueue means that the configuration has no such queue; nothing ran.
	AnswerNoQueue
	// AnswerGaveUp means that the job did not end in time. All its runs are being stopped.
	AnswerGaveUp
	// AnswerMalformed means that the job cannot be understood; nothing ran.
	AnswerMalformed
	// AnswerAccepted means that a kept job is in the store.
	AnswerAccepted
	// AnswerPending means that a kept job has not begun.
	AnswerPending
	// AnswerRunning means that a kept job has begun.
	AnswerRunning
	// AnswerCancelled means that a job is cancelled, or had ended before.
	AnswerCancelled
	// AnswerGone means that there is no such job.
	AnswerGone
	// AnswerElsewhere is an answer between entries: the one that was asked does not own the job.
	AnswerElsewhere
)

type (
	// AnswerKind is the kind of an answer.
	AnswerKind uint8

	// Answer is the final answer to a job.
	Answer struct {
		Kind       AnswerKind
		Reason     string
		RetryAfter timer.Millis // with AnswerNotRun
	}
)

// String names the kind as logs show it.
func (k AnswerKind) String() string {
	names := [...]string{
		"none", "done", "failed", "notRun", "noQueue", "gaveUp", "malformed", "accepted", "pending", "running", "cancelled", "gone", "elsewhere",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}
