// Package encoder defines the messages between crocuslb processes and their binary encoding: a message type number
// followed by fields in the protobuf wire format.
package encoder

import "github.com/crocuslb/crocuslb/timer"

const (
	// StatusDone means that the backend server completed the task successfully.
	StatusDone Status = iota + 1
	// StatusFailed means that the task ran and failed.
	StatusFailed
	// StatusUnknown means that the task was started and its outcome can no longer be determined.
	StatusUnknown
	// StatusNotStarted means that the backend server definitely did not start the task, for example because it
	// refused the connection. The sidecar removes the task key from its started-task table, so the task may be placed
	// again.
	StatusNotStarted
	// StatusRunning means that the task was started and has not ended, or, in a Handover, that it may have been
	// started. It occurs in CensusReply and Handover only.
	StatusRunning
	// StatusRetained means that the task ended and the sidecar still stores its result, which it returns when the start is
	// sent again. It occurs in CensusReply only.
	StatusRetained
)

const (
	// RefusalStaleEpoch means that the start carried another epoch than the one that the sidecar has promised.
	RefusalStaleEpoch RefusalReason = iota + 1
	// RefusalNotOwner means that the sender does not own the submission in the promised roster.
	RefusalNotOwner
	// RefusalDuplicate means that the task key is already in the started-task table.
	RefusalDuplicate
	// RefusalDomainWithdrawn means that the sidecar's failure domain is withdrawn.
	RefusalDomainWithdrawn
	// RefusalLeaseExpired means that the sidecar's freshness lease has expired.
	RefusalLeaseExpired
	// RefusalLeaving means that the sidecar or its backend server is shutting down.
	RefusalLeaving
	// RefusalDeadline means that the task's deadline has passed.
	RefusalDeadline
	// RefusalCanceled means that the task was canceled before it started.
	RefusalCanceled
	// RefusalNoSlot means that all slots were in use and the sidecar's short queue was full.
	RefusalNoSlot
	// RefusalNotAnnounced means that the sidecar is not yet known to every entry of the roster.
	RefusalNotAnnounced
	// RefusalClaimTimeout means that the log did not confirm the claim of a non-repeatable submission in time.
	RefusalClaimTimeout
)

const (
	// RoleEntry is the role of an entry process.
	RoleEntry Role = iota + 1
	// RoleSidecar is the role of a sidecar process.
	RoleSidecar
)

type (
	// Status is the state of a task as reported by a sidecar.
	Status uint8

	// RefusalReason is the reason why a sidecar did not start a task. A refusal guarantees that the Start message it
	// answers did not start the task.
	RefusalReason uint8

	// Role is the kind of a process.
	Role uint8

	// Message is a pointer to one of the message types of this package.
	Message any

	// Member identifies one incarnation of a process. A restarted process has a larger incarnation.
	Member struct {
		ID          string
		Incarnation uint64
	}

	// RosterEntry is an entry process in a roster, with the address of its QUIC listener.
	RosterEntry struct {
		Member  Member
		Address string
	}

	// Roster is the set of entries among which the ownership of submissions is divided, as of an epoch.
	Roster struct {
		Epoch   uint64
		Entries []RosterEntry
	}

	// TaskKey identifies one task of a submission.
	TaskKey struct {
		Job   string
		Index uint32
	}

	// Hello opens a session. The accepting side answers with HelloAck.
	Hello struct {
		Role    Role
		Member  Member
		Address string
		// The fields below are set by sidecars only.
		Domain   string
		Worker   string
		Slots    uint32
		MemoryMB uint64
		Kinds    []string
	}

	// HelloAck accepts a session.
	HelloAck struct {
		Member Member
		Roster Roster
	}

	// Ping is the heartbeat of a sidecar. Entries answer it from their control goroutine. Epoch is the epoch of the
	// roster that the sidecar knows.
	Ping struct {
		Sequence uint64
		Running  uint32
		Leaving  bool
		Epoch    uint64
	}

	// Pong answers a Ping and renews the sidecar's freshness lease. ConfirmationAge is the time since the entry sent the log request
	// that confirmed Roster and ConfigOffset. Roster has no entries if the Ping carried the same epoch. Confirmed is
	// false if the entry has no confirmed state to report; the lease is then not renewed.
	Pong struct {
		Sequence        uint64
		Confirmed       bool
		ConfirmationAge timer.Millis
		Roster          Roster
		ConfigOffset    uint64
		DomainInForce   bool
		LogReachable    bool
	}

	// Start asks a sidecar to start one task. It consumes one credit. Once marks a non-repeatable submission, and Claimed
	// says that its claim is already in the log.
	Start struct {
		Task     TaskKey
		Epoch    uint64
		Owner    Member
		Kind     string
		Payload  []byte
		Deadline timer.Millis // time left until the deadline, 0 for none
		RunLimit timer.Millis // longest run time before the outcome counts as unknown
		Once     bool
		Claimed  bool
	}

	// Claimed notifies a sidecar that the claim of a non-repeatable submission is in the log.
	Claimed struct{ Job string }

	// Result reports the end of a started task. Credits is the number of credits granted along with it.
	Result struct {
		Task    TaskKey
		Status  Status
		Body    []byte
		Reason  string
		RunTime timer.Millis
		Credits uint32
	}

	// Refusal reports that a Start did not start the task. Epoch is the epoch that the sidecar promised.
	Refusal struct {
		Task    TaskKey
		Reason  RefusalReason
		Epoch   uint64
		Credits uint32
	}

	// Grant gives an entry credits to start tasks on the sending sidecar.
	Grant struct{ Credits uint32 }

	// Recall asks an entry to return unused credits.
	Recall struct{ Credits uint32 }

	// Release returns unused credits to a sidecar.
	Release struct{ Credits uint32 }

	// Demand tells a sidecar how many tasks an entry has queued.
	Demand struct{ Queued uint32 }

	// Cancel asks a sidecar to drop tasks that it has not started, and to stop running ones where possible.
	Cancel struct{ Tasks []TaskKey }

	// Collected acknowledges that the owner received the results of tasks. The sidecar may then evict these results when
	// it needs space; the task keys stay in the started-task table.
	Collected struct{ Tasks []TaskKey }

	// Census asks a sidecar to promise the roster's epoch and to list the started tasks that the sender owns under it.
	Census struct{ Roster Roster }

	// StartedTask is an element of a CensusReply or a Handover.
	StartedTask struct {
		Task   TaskKey
		Status Status
		Body   []byte
		Reason string
	}

	// CensusReply lists started tasks. A reply has one or more parts; Last marks the final one.
	CensusReply struct {
		Epoch   uint64
		Started []StartedTask
		Last    bool
	}

	// Leaving notifies entries that the sidecar starts no more tasks. All credits for it become invalid.
	Leaving struct{}

	// PeerPing is the heartbeat between entries. WithdrawnDomains lists the failure domains that are provisionally withdrawn.
	PeerPing struct {
		Sequence         uint64
		Epoch            uint64
		ConfigOffset     uint64
		LogReachable     bool
		WithdrawnDomains []string
		Sidecars         []Member
		ConfigConfirmed  bool
	}

	// PeerPong answers a PeerPing and carries the sender's own state.
	PeerPong struct {
		Sequence uint64
		State    PeerPing
	}

	// JobTask is one task of a submitted job.
	JobTask struct {
		Kind     string
		Payload  []byte
		RunTime  timer.Millis // declared run time, a hint; 0 when unknown
		MemoryMB uint64       // declared memory, a hint; 0 when unknown
	}

	// Job is a submission. Deadline is the time left at the time of sending. Once marks a job that is not repeatable.
	Job struct {
		Key      string
		Team     string
		Tasks    []JobTask
		Deadline timer.Millis
		Once     bool
	}

	// Outcome says whether tasks of a failed job ran.
	Outcome uint8

	// JobState is the state of a submission.
	JobState uint8

	// TaskResult is the result of one task.
	TaskResult struct{ Body []byte }

	// Answer is the state of a submission: complete with one result per task in order, failed with a reason,
	// or running without results.
	Answer struct {
		Key        string
		State      JobState
		Outcome    Outcome
		Code       FailureCode
		Reason     string
		Results    []TaskResult
		RetryAfter timer.Millis
	}

	// FailureCode classifies failures for HTTP status codes and metrics.
	FailureCode uint8

	// Request is the kind of a request that an entry forwards to the owner of a submission.
	Request uint8

	// Forward carries a caller's request from the entry that received it to the owner. Hops counts forwards to prevent
	// loops while entries disagree on the roster.
	Forward struct {
		ID      uint64
		Request Request
		Hops    uint32
		Job     Job
	}

	// ForwardAnswer answers the Forward with the same ID. A complete answer that does not fit into a frame is split: Total
	// is then the number of its results, and Answer holds those from index First on. Total is 0 for an unsplit answer.
	ForwardAnswer struct {
		ID     uint64
		Answer Answer
		First  uint32
		Total  uint32
	}

	// Witness informs a peer of submission keys that the sender owns, so that the peer can report them in a
	// PeerCensusReply.
	Witness struct{ Jobs []string }

	// PeerCensus asks a peer for the submission keys that the sender owns under the roster and that the peer forwarded or
	// received in a Witness, and for the sidecars that the peer knows.
	PeerCensus struct{ Roster Roster }

	// KnownJob is a submission key and the time since the sender first received it.
	KnownJob struct {
		Key string
		Age timer.Millis
	}

	// KnownSidecar is a sidecar and the time since the sender lost contact with it, 0 while the sender has a session to
	// it.
	KnownSidecar struct {
		Member Member
		Lost   timer.Millis
	}

	// PeerCensusReply answers a PeerCensus. A reply has one or more parts; Last marks the final one.
	PeerCensusReply struct {
		Epoch    uint64
		Jobs     []KnownJob
		Sidecars []KnownSidecar
		Last     bool
	}

	// PeerConfiguration sends a newer configuration, as a checkpoint record, to a peer that cannot read the log.
	PeerConfiguration struct{ Checkpoint []byte }

	// Handover transfers a submission of a leaving entry to its next owner. Started lists the tasks that are done, and, with
	// StatusRunning, those that may have been started. StartedComplete means that no other task of the job was started.
	Handover struct {
		Job             Job
		Started         []StartedTask
		Answer          Answer
		StartedComplete bool
	}
)

const (
	// JobRunning means that the submission has no final answer yet.
	JobRunning JobState = iota + 1
	// JobComplete means that all tasks of the submission succeeded.
	JobComplete
	// JobFailed means that the submission failed or was rejected.
	JobFailed
)

const (
	// OutcomeNotRun means that no task of the submission was started.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeRan means that at least one task was started, and the outcome of each started task is known.
	OutcomeRan
	// OutcomeUnknown means that a task may have run, and the record of whether it did is lost.
	OutcomeUnknown
)

const (
	// RequestSubmit submits a job and waits for its answer.
	RequestSubmit Request = iota + 1
	// RequestGet asks for the state of a submission.
	RequestGet
	// RequestCancel cancels a submission.
	RequestCancel
)

const (
	// CodeTaskFailed means that a task ran and failed.
	CodeTaskFailed FailureCode = iota + 1
	// CodeUnknown means that the record of whether a task ran is lost.
	CodeUnknown
	// CodeDeadline means that the deadline passed.
	CodeDeadline
	// CodeCanceled means that the caller canceled the submission.
	CodeCanceled
	// CodeOverload means that the queue is too long for the deadline.
	CodeOverload
	// CodeQuota means that the team's quota is exhausted.
	CodeQuota
	// CodeUnplaceable means that no worker can run a task of the job.
	CodeUnplaceable
	// CodeConflict means that the key is already used by a submission with different content.
	CodeConflict
	// CodeUnavailable means that no owner can currently accept the submission.
	CodeUnavailable
	// CodeNotFound means that the owner does not know the key.
	CodeNotFound
	// CodeInvalid means that the request is malformed.
	CodeInvalid
)
