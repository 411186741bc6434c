package marshaler

import (
	"hash/fnv"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// VerbSubmit hands a kept job in.
	VerbSubmit Verb = iota + 1
	// VerbState asks for a kept job's state.
	VerbState
	// VerbCancel cancels a kept job.
	VerbCancel
)

type (
	// Verb is what a Call asks for.
	Verb uint8

	// Step is a group of like tasks of a job.
	Step struct {
		Tasks    uint64
		Room     Room         // of each task
		Estimate timer.Millis // of each task's run time
		// After has the numbers of the earlier steps whose tasks must all be done before a task of this one starts.
		After []uint64
		// Label is one that the backend server must have; empty for none.
		Label string
		// Rack is the one on which the tasks run fastest; empty for none.
		Rack string
		// PerServer is the most tasks of the step on one backend server, 0 for any number.
		PerServer uint64
	}

	// JobRecord is the whole of a kept job in the store, when it is accepted and when it is written again before its
	// records expire.
	JobRecord struct {
		ID        string
		Queue     string
		Service   string
		Attempts  uint64 // failed attempts of one task after which the job has failed
		Priority  uint64
		Spec      string
		Steps     []Step
		Tasks     []TaskRecord // those of which an end is recorded
		Cancelled bool
	}

	// TaskRecord is what is recorded of a task.
	TaskRecord struct {
		Index    uint64
		Attempt  uint64 // the highest one that is recorded
		Failures uint64
		Done     bool
	}

	// EndRecord is the end of a run of a kept job, with StatusDone or StatusFailed.
	EndRecord struct {
		Run    RunKey
		Status Status
	}

	// OwnerRecord begins the time of an owner of a partition.
	OwnerRecord struct{ Epoch uint64 }

	// CancelRecord is the cancellation of a kept job.
	CancelRecord struct{ Job string }

	// Partition names a partition of the kept jobs and the epoch under which an entry owns it. Epochs rise with each owner.
	Partition struct {
		Number   uint64
		Epoch    uint64
		Previous uint64 // epoch of the owner before; 0 for none that is known
	}

	// Owned lists the partitions that an entry owns. It is sent to the other entries when a session opens and at each change.
	Owned struct{ Partitions []Partition }

	// Claim tells a sidecar which partitions the entry owns. The sidecar hands over the runs of earlier owners, and answers
	// with a Census for each.
	Claim struct{ Partitions []Partition }

	// Release tells a sidecar that the entry does not own a partition any more. Runs that no other entry claims soon are
	// stopped.
	Release struct{ Partition Partition }

	// Handover tells the other entries which tasks of a partition that its owner gave up may run, or have an end that is
	// not recorded. Attempts are left out.
	Handover struct {
		Partition Partition
		Tasks     []RunKey
	}

	// Census lists what a sidecar has of a partition: its runs, and ends that no entry has recorded.
	Census struct {
		Partition Partition
		Runs      []RunKey
		Ends      []Outcome
	}

	// Noted tells a sidecar that an end is recorded and need not be listed again. Void says that it must not count: the
	// task was started again, because the end could not be known.
	Noted struct {
		Number uint64
		Run    RunKey
		Void   bool
	}

	// Call passes a caller's request on to the entry that owns the job's partition.
	Call struct {
		Number uint64
		Verb   Verb
		Job    string
		Queue  string
		Body   []byte // an encoded JobRecord with VerbSubmit
	}

	// Reply is the answer to a Call.
	Reply struct {
		Number     uint64
		Kind       uint8 // an answer's kind, or a state, of package submitter
		Reason     string
		RetryAfter timer.Millis
	}

	// Waiting tells another entry how many of a queue's kept jobs at the sender have not begun.
	Waiting struct {
		Queue string
		Jobs  uint64
	}
)

// PartitionOf returns the partition of a kept job among count ones.
func PartitionOf(job string, count uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(job)) // a hash accepts all bytes
	return h.Sum64() % max(count, 1)
}
