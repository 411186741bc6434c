package marshaler

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// VerbSubmit submits a durable job.
	VerbSubmit Verb = iota + 1
	// VerbState queries the state of a durable job.
	VerbState
	// VerbCancel cancels a durable job.
	VerbCancel
	// VerbAbort ends a restartable job if the receiver runs it.
	VerbAbort
)

type (
	// Verb is the operation that a Call requests.
	Verb uint8

	// Step is a group of identical tasks of a job.
	Step struct {
		Tasks     uint64
		Resources Resources    // of each task
		Estimate  timer.Millis // of each task's run time
		// After lists the indexes of earlier steps whose tasks must all be done before a task of this step starts.
		After []uint64
		// Label is the required label of the backend server; empty for none.
		Label string
		// Rack is the rack on which the tasks run fastest; empty for none.
		Rack string
		// ServerTaskLimit is the maximum number of tasks of the step on one backend server; 0 means no limit.
		ServerTaskLimit uint64
	}

	// JobRecord is the complete state of a durable job in the store. It is written when the job is accepted, and again
	// before the job's records expire.
	JobRecord struct {
		ID        string
		Queue     string
		Service   string
		Attempts  uint64 // number of failed attempts of one task after which the job fails
		Priority  uint64
		Spec      string
		Steps     []Step
		Tasks     []TaskRecord // tasks with a recorded end
		Cancelled bool
	}

	// TaskRecord is the recorded state of a task.
	TaskRecord struct {
		Index    uint64
		Attempt  uint64 // that succeeded; otherwise the highest one that has failed
		Failures uint64
		// FailedAttempts lists the attempts that have failed, in the order in which they were recorded. A record of a former
		// version lists fewer than Failures.
		FailedAttempts []uint64
		Done           bool
		Crashes        []TaskCrash
		GivenUp        bool // it is not started again because backend servers crashed under it
	}

	// TaskCrash identifies the crash of a backend server under an attempt of a task.
	TaskCrash struct {
		Attempt uint64
		Sidecar string // of the backend server
	}

	// EndRecord records the end of a run of a durable job, with StatusDone or StatusFailed.
	EndRecord struct {
		Run    RunKey
		Status Status
	}

	// CrashRecord records that a backend server crashed under a task of a durable job. Processes of a former version skip
	// it.
	CrashRecord struct {
		Run     RunKey
		Sidecar string
		GivenUp bool // the task is not started again
	}

	// OwnerRecord marks the point in a partition's records at which a new owner takes over.
	OwnerRecord struct{ Epoch uint64 }

	// CancelRecord records the cancellation of a durable job.
	CancelRecord struct{ Job string }

	// Partition identifies a partition of the durable jobs and the epoch under which an entry owns it. The epoch increases
	// with each change of the owner.
	Partition struct {
		Number   uint64
		Epoch    uint64
		Previous uint64 // epoch of the previous owner; 0 if unknown
	}

	// OwnedPartitions lists the partitions that the sender owns. It is sent to the other entries when a session opens and after each
	// change.
	OwnedPartitions struct{ Partitions []Partition }

	// Claim tells a sidecar which partitions the sender owns. The sidecar transfers the runs of earlier owners to the sender
	// and replies with one report per partition.
	Claim struct{ Partitions []Partition }

	// Release tells a sidecar that the sender no longer owns a partition. Runs that no other entry claims soon are stopped.
	Release struct{ Partition Partition }

	// Handover is sent by an owner that gave up a partition. It tells the other entries which of its tasks may be running or
	// have an end that is not recorded. Attempts are not set.
	Handover struct {
		Partition Partition
		Tasks     []RunKey
	}

	// Census reports a sidecar's runs of a partition and the ends that no entry has recorded yet.
	Census struct {
		Partition Partition
		Runs      []RunKey
		Ends      []Outcome
		Crashes   []Outcome // recent ends with StatusCrashed, which an earlier owner may not have recorded
	}

	// OutcomeAck acknowledges an end: it is recorded and need not be listed again. Void means that the end must not count: the
	// task was started again because its end could not be determined.
	OutcomeAck struct {
		Number uint64
		Run    RunKey
		Void   bool
	}

	// Call forwards a caller's request to the entry that owns the job's partition.
	Call struct {
		Number uint64
		Verb   Verb
		Job    string
		Queue  string
		Body   []byte // encoded JobRecord, for VerbSubmit
		Epoch  uint64 // epoch under which the receiver claims the partition; 0 if the sender is of a former version
	}

	// Reply is the response to a Call.
	Reply struct {
		Number     uint64
		Kind       uint8 // an AnswerKind of package submitter
		Reason     string
		RetryAfter timer.Millis
	}

	// QueueBacklog tells another entry how many durable jobs of a queue have not started yet at the sender.
	QueueBacklog struct {
		Queue string
		Jobs  uint64
	}
)

// FailureLimit returns the number of failed attempts of one task after which the job fails.
func (m *JobRecord) FailureLimit() uint64 { return max(m.Attempts, 1) }

// Task returns the recorded state of a task, which is empty if the task has none.
func (m *JobRecord) Task(index uint64) TaskRecord {
	i, ok := slices.BinarySearchFunc(m.Tasks, index, func(t TaskRecord, index uint64) int { return cmp.Compare(t.Index, index) })
	if !ok {
		return TaskRecord{Index: index}
	}
	return m.Tasks[i]
}

// HasFailed reports whether the failure of an attempt is recorded. Former versions recorded failures in the order of their
// attempts and did not list them.
func (t *TaskRecord) HasFailed(attempt uint64) bool {
	if slices.Contains(t.FailedAttempts, attempt) {
		return true
	}
	return uint64(len(t.FailedAttempts)) < t.Failures && attempt <= t.Attempt
}

// PartitionOf maps a durable job to one of count partitions by the hash of its identifier.
func PartitionOf(job string, count uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(job)) // never returns an error
	return h.Sum64() % max(count, 1)
}
