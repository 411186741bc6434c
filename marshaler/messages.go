// Package marshaler defines the messages that entries and sidecars exchange about restartable and durable jobs, the
// records of durable jobs in the store, and the binary encoding of both.
package marshaler

import "github.com/crocuslb/crocuslb/timer"

const (
	// RoleEntry is a process that accepts jobs from callers.
	RoleEntry Role = iota + 1
	// RoleSidecar is a process that runs next to a backend server and starts its tasks.
	RoleSidecar
)

const (
	// StatusDone means that the run succeeded.
	StatusDone Status = iota + 1
	// StatusFailed means that the task or the backend server reported a failure.
	StatusFailed
	// StatusStopped means that the run was stopped on request and is known to have ended.
	StatusStopped
	// StatusLost means that the run is known to have ended without a result, because the backend server restarted or its
	// lease expired.
	StatusLost
	// StatusStalled means that the sidecar stopped the run because it made no progress. The run is known to have ended.
	StatusStalled
	// StatusRefused means that the run was not started and will not be.
	StatusRefused
	// StatusSuperseded means that the run was not started because the backend server has already seen this attempt of the task or
	// a later one.
	StatusSuperseded
	// StatusCrashed means that the backend server crashed while the run was active or may have been. Any run that was
	// active may have caused it.
	StatusCrashed
)

const (
	// SuspicionNone is the suspicion of a task under which no backend server has crashed.
	SuspicionNone Suspicion = iota
	// SuspicionPossible is the suspicion of a task under which one backend server has crashed. At most one such task runs
	// on a backend server, so that a second crash tells it from its neighbors.
	SuspicionPossible
	// SuspicionStrong is the suspicion of a task under which several backend servers have crashed. It runs alone.
	SuspicionStrong
)

const (
	// BlameNone means that other runs may as well have caused a crash.
	BlameNone Blame = iota
	// BlamePossible means that the run was the only active one of a suspect task, and the latest to start.
	BlamePossible
	// BlameProbable means that no other run started shortly before it either.
	BlameProbable
	// BlameCertain means that no other run was active.
	BlameCertain
)

// Field limits, enforced when decoding.
const (
	// MaxNameLen is the maximum length in bytes of a name, address, label or reason.
	MaxNameLen = 255
	// MaxSpecLen is the maximum length of a task specification in bytes.
	MaxSpecLen = 64 << 10
	// MaxListLen is the maximum number of elements in a list.
	MaxListLen = 16384
)

type (
	// Role identifies the kind of process that opened a session.
	Role uint8

	// Status is the final status of an attempt to run a task. Every status implies that the attempt is no longer running.
	Status uint8

	// Suspicion says how likely a task is to crash its backend server.
	Suspicion uint8

	// Blame says how sure it is that a run of a suspect task has caused the crash of its backend server.
	Blame uint8

	// Message is a pointer to one of this package's message types.
	Message any

	// Resources is an amount of resources of a worker or a task.
	Resources struct {
		CPU          int64 // millicores
		MemoryMB     int64
		Accelerators int64
	}

	// RunKey identifies one attempt to run one task.
	RunKey struct {
		Job     string
		Index   uint64 // step and task, as encoded by TaskIndex
		Attempt uint64
	}

	// Peer is an entry process and the address that other processes connect to.
	Peer struct {
		Name        string
		Address     string
		Incarnation uint64
	}

	// Hello is the first message that each side sends on a session.
	Hello struct {
		Role        Role
		Name        string
		Incarnation uint64
		Domain      string
		Address     string // of the entry's listener; empty for a sidecar
		Weight      uint64 // CPU limit of the process in millicores
		Session     uint64 // increases with each session that the process opens
	}

	// Heartbeat is a heartbeat.
	Heartbeat struct {
		Offset  uint64 // store offset of the sender's configuration
		Leaving bool   // the sender is shutting down and accepts no new work
		// DurableInUse is set when durable jobs are in use or when the sender does not know yet whether they are.
		DurableInUse bool
		// LoadClass is the class of the sender's load, a gauger.Class. It is 0 if the sender does not take jobs of other
		// entries; the other load fields are 0 then.
		LoadClass      uint8
		ProcessorUse   uint64 // thousandths of the sender's processor share
		LoopDelay      timer.Millis
		BytesPerSecond uint64 // sent to other processes
		MemoryBytes    uint64
		SteppedDown    bool // the sender is overloaded and does not want to be the placing entry
		// Time is the time on the sender's clock. Only entries state it to each other; a sidecar states its own with Load.
		Time timer.Millis
		// SentAt is the time of sending on the receiver's clock, as estimated by the sender. It is never late by more than the
		// drift of the clocks. 0 if the sender has no estimate.
		SentAt timer.Millis
	}

	// Peers lists the entries known to the sender.
	Peers struct{ Peers []Peer }

	// Configuration forwards a configuration to a process that has an older one.
	Configuration struct{ Body []byte }

	// Backend describes the sidecar's backend server. It is sent when a session opens and whenever a field changes.
	Backend struct {
		ID        string
		StartTime uint64 // start time of the backend server in Unix milliseconds
		Service   string
		Labels    []string
		Capacity  Resources
	}

	// Load reports a sidecar's free resources and the runs that ended. It also serves as the sidecar's heartbeat.
	Load struct {
		Offset        uint64
		Accepting     bool
		Free          Resources
		Clock         int64    // the backend server's clock in milliseconds
		Speed         uint64   // thousandths of the speed that run time estimates assume
		HandledStarts []string // job of each start handled since the previous report on this session
		CompletedRuns []CompletedRun
		Time          timer.Millis // on the sidecar's clock
		SuspectRuns   uint64       // active runs of tasks that may crash the backend server
	}

	// CompletedRun describes a run that ended. Receivers use it to track failures and run times.
	CompletedRun struct {
		Job       string
		Status    Status
		RunTime   timer.Millis
		Estimate  timer.Millis
		Resources Resources
		Queue     string // empty if the start did not state it
		Blame     Blame  // with StatusCrashed
	}

	// Start tells a sidecar to run a task.
	Start struct {
		Run       RunKey
		Spec      string
		Resources Resources
		Estimate  timer.Millis
		// NotAfter is the time on the backend server's clock, in milliseconds, after which the start is refused.
		NotAfter int64
		// Epoch is the epoch under which the sender owns the job's partition; 0 for a job that is not durable.
		Epoch uint64
		Queue string // of the job; optional
		// SentAt is the time of sending on the sidecar's clock, as in Heartbeat.
		SentAt    timer.Millis
		Suspicion Suspicion
		// ServerTaskLimit is the maximum number of tasks of the step on one backend server; 0 means no limit.
		ServerTaskLimit uint64
		// Service and Label are what the backend server was granted for: the service of the job's queue, and the label that the
		// step requires. A start with an empty one is admitted on any.
		Service string
		Label   string
	}

	// Stop tells a sidecar to stop a run.
	Stop struct{ Run RunKey }

	// Outcome reports the end of an attempt to the entry that requested it.
	Outcome struct {
		Run     RunKey
		Status  Status
		Reason  string
		RunTime timer.Millis
		// Number is the number that the backend server gave to this end. The backend server lists the end until the entry
		// has acknowledged it. It is 0 when no acknowledgement is needed.
		Number uint64
		// Stale means that the sidecar has been disconnected from the job's owner since the end, so the owner may have started
		// the task again.
		Stale bool
		Blame Blame // with StatusCrashed
	}

	// ActiveRuns lists the receiving entry's attempts that the sidecar still has. It is sent when a session opens.
	// Attempts from earlier sessions that are not listed are known to have ended.
	ActiveRuns struct{ Runs []RunKey }

	// LoadSubscription asks a sidecar to report its load whenever a run ends instead of only with each heartbeat.
	LoadSubscription struct{ Enabled bool }

	// ResourceRequest requests resources for tasks of one step of a job from the placing entry.
	ResourceRequest struct {
		Job       string
		Service   string
		Queue     string
		Tasks     uint64
		Resources Resources
		Estimate  timer.Millis
		Slack     timer.Millis // time until the latest start that meets the expected response time
		Priority  uint64
		Started   bool     // a task of the job has started, so the request is not refused
		Avoid     []string // sidecars that failed a task of the job or that the requesting entry cannot reach
		Step      uint64   // index of the step within the job
		Label     string   // required label of the backend server; empty for none
		Rack      string   // rack on which the tasks run fastest; empty for none
		// ServerTaskLimit is the maximum number of tasks of the step on one backend server; 0 means no limit. Placed lists the
		// sidecars of tasks that are already placed, with one element per task.
		ServerTaskLimit uint64
		Placed          []string
		// MaxWait is the maximum time that the request may wait when the expected response time can no longer be met. It is
		// at least Slack; 0 means Slack.
		MaxWait timer.Millis
		// TargetEnd is the time until the end of the step that meets the expected response time, and LastUsefulEnd the time
		// until the latest end that is still of use to the caller. At least 1; 0 means not stated.
		TargetEnd     timer.Millis
		LastUsefulEnd timer.Millis
		Suspicion     Suspicion // of the step's tasks
	}

	// CancelResourceRequest cancels the part of a resource request that is not granted yet.
	CancelResourceRequest struct {
		Job  string
		Step uint64
	}

	// Grant lists the sidecars on which tasks of a step may start, with one element per task.
	Grant struct {
		Job      string
		Sidecars []string
		Step     uint64
	}

	// Reject refuses a resource request of which nothing was granted.
	Reject struct {
		Job        string
		Reason     string
		RetryAfter timer.Millis
		Step       uint64
	}
)

// stepShift is the bit position of the step index in a task index; the lower bits are the task's index in the step.
const stepShift = 32

// TaskIndex encodes a step index and the index of a task in that step as an index that is unique in the job.
func TaskIndex(step, index int) uint64 { return uint64(step)<<stepShift | uint64(index) }

// Task returns the step index and the index of the task in that step.
func (r RunKey) Task() (step, index int) {
	return int(r.Index >> stepShift), int(r.Index & (1<<stepShift - 1))
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Contains reports whether r has at least the resources o.
func (r Resources) Contains(o Resources) bool {
	return r.CPU >= o.CPU && r.MemoryMB >= o.MemoryMB && r.Accelerators >= o.Accelerators
}

// String returns the name that logs use.
func (s Status) String() string {
	names := [...]string{"none", "done", "failed", "stopped", "lost", "stalled", "refused", "old", "crashed"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}
