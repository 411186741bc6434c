// Package encoder defines the messages between crocuslb processes and maps them to bytes.
package encoder

import "github.com/crocuslb/crocuslb/timer"

const (
	// StatusDone means that the backend server answered the task with success.
	StatusDone Status = iota + 1
	// StatusFailed means that the task ran and failed.
	StatusFailed
	// StatusUnknown means that the task was started and its outcome cannot be learnt any more.
	StatusUnknown
	// StatusNotStarted means that the backend server surely did not start the task, for example because it
	// refused the connection. The sidecar forgets the task key, so the task may be placed again.
	StatusNotStarted
	// StatusRunning is used in census replies only: the task was started and has not ended.
	StatusRunning
	// StatusKept is used in census replies only: the task ended, and the sidecar keeps its result. A repeated start of
	// the task gets it.
	StatusKept
)

const (
	// RefusalStaleEpoch means that the start carried an older epoch than the sidecar promised.
	RefusalStaleEpoch RefusalReason = iota + 1
	// RefusalNotOwner means that the sender does not own the submission in the promised roster.
	RefusalNotOwner
	// RefusalDuplicate means that the task key is in the started table already.
	RefusalDuplicate
	// RefusalDomainWithdrawn means that the sidecar's failure domain is withdrawn.
	RefusalDomainWithdrawn
	// RefusalLeaseExpired means that the sidecar's freshness lease has run out.
	RefusalLeaseExpired
	// RefusalLeaving means that the sidecar or its backend server is leaving.
	RefusalLeaving
	// RefusalDeadline means that the task's deadline has passed.
	RefusalDeadline
	// RefusalCanceled means that the task was canceled before it started.
	RefusalCanceled
	// RefusalNoSlot means that no slot and no place in the short queue was free.
	RefusalNoSlot
	// RefusalNotAnnounced means that not every entry of the roster knows the sidecar yet.
	RefusalNotAnnounced
	// RefusalClaimTimeout means that the claim of a non-repeatable submission did not arrive in time.
	RefusalClaimTimeout
)

const (
	// RoleEntry is the role of an entry process.
	RoleEntry Role = iota + 1
	// RoleSidecar is the role of a sidecar process.
	RoleSidecar
)

type (
	// Status is the state of a task as a sidecar knows it.
	Status uint8

	// RefusalReason says why a sidecar did not start a task. Every refusal is definite: the task was not started
	// by this start message.
	RefusalReason uint8

	// Role is the kind of a process.
	Role uint8

	// Message is a pointer to one of the message types of this package.
	Message any

	// Member names one incarnation of a process. A restarted process has a larger incarnation.
	Member struct {
		ID          string
		Incarnation uint64
	}

	// RosterEntry is an entry process in a roster, with the address of its QUIC listener.
	RosterEntry struct {
		Member  Member
		Address string
	}

	// Roster is the set of entries that share the ownership of submissions from an epoch on.
	Roster struct {
		Epoch   uint64
		Entries []RosterEntry
	}

	// TaskKey names one task of a submission.
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

	// Ping is the heartbeat of a sidecar. Entries answer it from their control goroutine. Epoch is that of the roster
	// that the sidecar knows.
	Ping struct {
		Sequence uint64
		Running  uint32
		Leaving  bool
		Epoch    uint64
	}

	// Pong answers a Ping and renews the sidecar's freshness lease. Age is the time since the entry began the
	// exchange with the log that confirmed Roster and ConfigOffset. Roster has no entries when the ping named its epoch.
	// Confirmed is false when the entry has nothing to
	// attest; the lease is then not renewed.
	Pong struct {
		Sequence      uint64
		Confirmed     bool
		Age           timer.Millis
		Roster        Roster
		ConfigOffset  uint64
		DomainInForce bool
		LogReachable  bool
	}

	// Start asks a sidecar to start one task. It spends one credit.
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

	// Claimed tells a sidecar that the claim of a non-repeatable submission is in the log.
	Claimed struct{ Job string }

	// Result reports the end of a started task. Credits is the number of credits granted along with it.
	Result struct {
		Task    TaskKey
		Status  Status
		Body    []byte
		Reason  string
		Ran     timer.Millis
		Credits uint32
	}

	// Refusal reports that a Start did not start the task. Epoch is the epoch that the sidecar promised.
	Refusal struct {
		Task    TaskKey
		Reason  RefusalReason
		Epoch   uint64
		Credits uint32
	}

	// Grant gives an entry credits for starts on the sending sidecar.
	Grant struct{ Credits uint32 }

	// Recall asks an entry to give back unused credits.
	Recall struct{ Credits uint32 }

	// Release gives unused credits back to a sidecar.
	Release struct{ Credits uint32 }

	// Demand tells a sidecar how many tasks an entry has queued.
	Demand struct{ Queued uint32 }

	// Cancel asks a sidecar not to start tasks that it has not started, and to stop running ones where possible.
	Cancel struct{ Tasks []TaskKey }

	// Collected tells a sidecar that the owner has the results. The sidecar keeps them while it has room, and the task
	// keys stay in the started-task table.
	Collected struct{ Tasks []TaskKey }

	// Census asks a sidecar to promise the roster's epoch and to list the started tasks that the sender owns under it.
	Census struct{ Roster Roster }

	// StartedTask is one row of a CensusReply.
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

	// Leaving tells entries that the sidecar starts nothing new. Its credits are void.
	Leaving struct{}

	// PeerPing is the heartbeat between entries. Domains lists provisional withdrawals.
	PeerPing struct {
		Sequence        uint64
		Epoch           uint64
		ConfigOffset    uint64
		LogReachable    bool
		Domains         []string
		Sidecars        []Member
		ConfigConfirmed bool
	}

	// PeerPong answers a PeerPing. It carries the sender's own state, too.
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

	// Job is a submission. Deadline and Age are durations at the time of sending.
	Job struct {
		Key      string
		Team     string
		Tasks    []JobTask
		Deadline timer.Millis
		Once     bool
	}

	// Outcome says what a failed job may have done.
	Outcome uint8

	// JobState is the state of a submission.
	JobState uint8

	// TaskResult is the answer of one task.
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

	// Request is what an entry asks the owner of a submission.
	Request uint8

	// Forward carries a caller's request from the entry that received it to the owner. Hops bounds forwarding
	// while entries disagree on the roster.
	Forward struct {
		ID      uint64
		Request Request
		Hops    uint32
		Job     Job
	}

	// ForwardAnswer answers a Forward of the same ID. A complete answer that would not fit a frame comes in parts: Total
	// is then the number of its results, and Answer holds those from index First on. Total is 0 for a whole answer.
	ForwardAnswer struct {
		ID     uint64
		Answer Answer
		First  uint32
		Total  uint32
	}

	// Witness tells a peer about submission keys that the sender owns.
	Witness struct{ Jobs []string }

	// PeerCensus asks a peer for the submission keys that it forwarded or witnessed and that the sender owns under
	// the roster, and for the sidecars it knows.
	PeerCensus struct{ Roster Roster }

	// KnownJob is a submission key and the time since the sender first saw it.
	KnownJob struct {
		Key string
		Age timer.Millis
	}

	// KnownSidecar is a sidecar and the time since the sender lost it, 0 while the sender has a session to it.
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

	// PeerConfiguration gives a peer that cannot read the log a later configuration, as a checkpoint record.
	PeerConfiguration struct{ Checkpoint []byte }

	// Handover gives submissions of a leaving entry to their next owner. Started lists tasks that are done, and tasks that
	// may have been started as running. Certain means that no other task of the job was started.
	Handover struct {
		Job     Job
		Started []StartedTask
		Answer  Answer
		Certain bool
	}
)

const (
	// JobRunning is a submission without an answer yet.
	JobRunning JobState = iota + 1
	// JobComplete is a submission whose tasks all succeeded.
	JobComplete
	// JobFailed is a submission with a failed or refused task.
	JobFailed
)

const (
	// OutcomeNotRun means that no task of the submission was started.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeRan means that at least one task was started, and the outcome of each started task is known.
	OutcomeRan
	// OutcomeUnknown means that a task may have run and the evidence is lost.
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
	// CodeTask means that a task ran and failed.
	CodeTask FailureCode = iota + 1
	// CodeUnknown means that evidence is lost.
	CodeUnknown
	// CodeDeadline means that the deadline passed.
	CodeDeadline
	// CodeCanceled means that the caller canceled.
	CodeCanceled
	// CodeOverload means that the queue is too long for the deadline.
	CodeOverload
	// CodeQuota means that the team's quota is used up.
	CodeQuota
	// CodeUnplaceable means that no worker can run a task of the job.
	CodeUnplaceable
	// CodeConflict means that the key is in use with other content.
	CodeConflict
	// CodeUnavailable means that no owner can take the submission now.
	CodeUnavailable
	// CodeNotFound means that the owner does not know the key.
	CodeNotFound
	// CodeInvalid means that the request is malformed.
	CodeInvalid
)
