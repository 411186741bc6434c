package submitter

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const noAnswerReason = "the job's owner did not answer"

// operation is a caller's request on a durable job.
type operation struct {
	verb      marshaler.Verb
	job       Job // only the ID is set, except with VerbSubmit
	queue     string
	respond   func(a Answer) // to the caller; only answer may call it
	expiresAt timer.Millis
	heldAt    timer.Millis // when it was held back until the ownership is verified
	sentTo    string       // name of the entry that it was sent to
	sentEpoch uint64       // epoch under which that entry claimed the job's partition
	// decidedEpoch is the epoch of the owner that decides on the operation, or 0.
	decidedEpoch uint64
	// openEpoch is the highest epoch of the owners that got the operation and did not answer, or 0. They may have executed it.
	openEpoch uint64
}

// answer answers the caller. All answers to an operation pass here, so that a refusal is sent only if it is certain.
func (op *operation) answer(a Answer) { op.respond(op.certain(a)) }

// certain returns an answer as its caller may get it. The answer that a job never runs becomes an open one if an owner that did not
// answer may have stored the job. Only an owner of a higher epoch refuses with certainty: it has read all records of the former owners
// before it decided, and the store rejects their later ones.
func (op *operation) certain(a Answer) Answer {
	if !a.Kind.isRefusal() || op.openEpoch == 0 || op.decidedEpoch > op.openEpoch {
		return a
	}
	return Answer{Kind: AnswerAborted, Reason: noAnswerReason}
}

// noteUnanswered notes that the entry that the operation was sent to may have executed it and will not answer.
func (op *operation) noteUnanswered() { op.openEpoch = max(op.openEpoch, op.sentEpoch) }

// isRefusal reports whether the answer to a submission says that the job never runs.
func (k AnswerKind) isRefusal() bool {
	return k == AnswerNotRun || k == AnswerNoQueue || k == AnswerMalformed
}
