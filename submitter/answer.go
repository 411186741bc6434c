package submitter

import "github.com/crocuslb/crocuslb/timer"

const (
	// AnswerDone means that all tasks succeeded.
	AnswerDone AnswerKind = iota + 1
	// AnswerFailed means that a task failed as many times as its queue allows, or was given up because backend servers
	// crashed under it.
	AnswerFailed
	// AnswerNotRun means that no task of the job ran or will run.
	AnswerNotRun
	// AnswerNoQueue means that the configuration has no such queue. No task ran.
	AnswerNoQueue
	// AnswerAborted means that the job was aborted because its deadline passed, it was cancelled or its caller
	// disconnected; all its runs are being stopped. It also stands for an unknown outcome, when an entry or the store
	// did not answer.
	AnswerAborted
	// AnswerMalformed means that the job is invalid. No task ran.
	AnswerMalformed
	// AnswerAccepted means that a durable job is in the store.
	AnswerAccepted
	// AnswerPending means that no task of a durable job has started.
	AnswerPending
	// AnswerRunning means that a task of a durable job has started.
	AnswerRunning
	// AnswerCancelled means that the job is cancelled or had ended before.
	AnswerCancelled
	// AnswerNotFound means that the job does not exist.
	AnswerNotFound
	// AnswerNotOwner is only sent between entries: the receiver of the request does not own the job.
	AnswerNotOwner
	// AnswerUnknown means that the entry that the job was handed over to was lost before it answered. The job may have
	// run, and its runs are being stopped. The caller gets no response: its connection ends.
	AnswerUnknown
)

type (
	// AnswerKind classifies an Answer.
	AnswerKind uint8

	// Answer is the result of a request on a job.
	Answer struct {
		Kind       AnswerKind
		Reason     string
		RetryAfter timer.Millis // with AnswerNotRun
	}
)

// String returns the name of the kind as used in logs.
func (k AnswerKind) String() string {
	names := [...]string{
		"none", "done", "failed", "notRun", "noQueue", "gaveUp", "malformed", "accepted", "pending", "running", "cancelled", "gone", "elsewhere",
		"unknownOutcome",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}
