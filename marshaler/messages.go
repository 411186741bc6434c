// Package marshaler defines the messages between entries and sidecars on the path of restartable jobs and maps them to
// bytes.
package marshaler

import "github.com/crocuslb/crocuslb/timer"

const (
	// RoleEntry is a process that accepts jobs from callers.
	RoleEntry Role = iota + 1
	// RoleSidecar is the process beside a backend server.
	RoleSidecar
)

const (
	// StatusDone means that the run ended with success.
	StatusDone Status = iota + 1
	// StatusFailed means that the run ended with a failure of its own or of the backend server.
	StatusFailed
	// StatusStopped means that the run was stopped on request and has surely ended.
	StatusStopped
	// StatusLost means that the run has surely ended without a result: the backend server restarted or its lease lapsed.
	StatusLost
	// StatusStalled means that the sidecar stopped the run because it made no progress. It has surely ended.
	StatusStalled
	// StatusRefused means that the run did not start and never will.
	StatusRefused
	// StatusOld is a refusal because the backend server knows this or a later attempt of the task.
	StatusOld
)

// Limits of the fields of all messages.
const (
	// MaxName is the longest name of a process, job, failure domain, service or label, in bytes.
	MaxName = 255
	// MaxSpec is the longest specification of a task, in bytes.
	MaxSpec = 64 << 10
	// MaxList is the largest number of elements in a list.
	MaxList = 16384
)

type (
	// Role is the kind of a process.
	Role uint8

	// Status says how an attempt to run a task ended. Every status is certain: the attempt does not run any more.
	Status uint8

	// Message is a pointer to one of the message types of this package.
	Message any

	// Room is an amount of a worker's resources.
	Room struct {
		CPU          int64 // thousandths of a core
		MemoryMB     int64
		Accelerators int64
	}

	// RunKey names one attempt of one task.
	RunKey struct {
		Job     string
		Index   uint64 // of the task, as TaskIndex returns it
		Attempt uint64
	}

	// Peer is an entry process and the address at which other processes reach it.
	Peer struct {
		Name        string
		Address     string
		Incarnation uint64
	}

	// Hello opens a session in both directions.
	Hello struct {
		Role        Role
		Name        string
		Incarnation uint64
		Domain      string
		Address     string // of an entry's listener; empty for sidecars
		Weight      uint64 // thousandths of a core that the process may use
		Session     uint64 // rises with each session that the process opens
	}

	// Beat shows that the sender is alive.
	Beat struct {
		Offset  uint64 // position of the sender's configuration in the store
		Leaving bool   // the sender takes no new work
		// Kept says that kept jobs are in use, or that the sender does not know yet.
		Kept bool
	}

	// Peers lists the entries that the sender knows.
	Peers struct{ Peers []Peer }

	// Configuration passes on a configuration to a process that has an older one.
	Configuration struct{ Body []byte }

	// Backend describes the sidecar's backend server. It is sent when a session opens and when a field changes.
	Backend struct {
		ID      string
		Born    uint64 // start of the backend server, Unix milliseconds
		Service string
		Labels  []string
		Total   Room
	}

	// Load is a sidecar's current room. It also serves as the sidecar's heartbeat.
	Load struct {
		Offset    uint64
		Accepting bool
		Free      Room
		Clock     int64 // the backend server's clock in milliseconds
		Speed     uint64
		Seen      []string // job of each start that was handled since the last Load on this session
		Settled   []Settled
	}

	// Settled is the end of a run, for the learning of run times and failures.
	Settled struct {
		Job      string
		Status   Status
		Ran      timer.Millis
		Estimate timer.Millis
		Room     Room
	}

	// Start orders a sidecar to run a task.
	Start struct {
		Run      RunKey
		Spec     string
		Room     Room
		Estimate timer.Millis
		// NotAfter is the time on the backend server's clock, in milliseconds, after which it refuses the start.
		NotAfter int64
		// Epoch is the one under which the sender owns the job's partition; 0 for a job that is not kept.
		Epoch uint64
	}

	// Stop orders a sidecar to end a run.
	Stop struct{ Run RunKey }

	// Outcome reports the end of an attempt to the entry that ordered it.
	Outcome struct {
		Run    RunKey
		Status Status
		Reason string
		Ran    timer.Millis
		// Number is the end's number on the backend server, which lists it until the entry has sent Noted. 0 when no Noted
		// is needed.
		Number uint64
		// Stale says that the sidecar was out of touch with the job's owner since the end, so that the owner may have started
		// the task again.
		Stale bool
	}

	// Held lists the entry's attempts that the sidecar still has, when a session opens. Attempts that the entry ordered on
	// earlier sessions and that are not listed have surely ended.
	Held struct{ Runs []RunKey }

	// Subscribe asks a sidecar for a Load at each end of a run instead of one at each heartbeat.
	Subscribe struct{ On bool }

	// Ask requests room for tasks of a job from the placing entry.
	Ask struct {
		Job      string
		Service  string
		Queue    string
		Tasks    uint64
		Room     Room
		Estimate timer.Millis
		Slack    timer.Millis // time left until the latest useful start
		Priority uint64
		Started  bool     // some of the job has started, so the request is not refused
		Avoid    []string // sidecars that failed a task of the job or that the asking entry does not reach
		Step     uint64   // of the job
		Label    string   // that the backend server must have; empty for none
		Rack     string   // on which the tasks run fastest; empty for none
		// PerServer is the most tasks of the step on one backend server, 0 for any number. Placed has the sidecars that
		// have some already, with one element for each task.
		PerServer uint64
		Placed    []string
		// Patience is the time for which the request may wait once it is too late for its expected response time. It is at
		// least Slack; 0 stands for Slack.
		Patience timer.Millis
	}

	// Withdraw takes back what is left of a request for room.
	Withdraw struct {
		Job  string
		Step uint64
	}

	// Grant names the sidecars on which tasks of a job's step may start, one name for each task.
	Grant struct {
		Job      string
		Sidecars []string
		Step     uint64
	}

	// Reject refuses a request for room. Nothing was granted on it.
	Reject struct {
		Job        string
		Reason     string
		RetryAfter timer.Millis
		Step       uint64
	}
)

// stepShift separates the number of the step from that of the task within it.
const stepShift = 32

// TaskIndex returns the index of a task among all tasks of its job.
func TaskIndex(step, index int) uint64 { return uint64(step)<<stepShift | uint64(index) }

// Task returns the numbers of the run's step and of its task within it.
func (r RunKey) Task() (step, index int) {
	return int(r.Index >> stepShift), int(r.Index & (1<<stepShift - 1))
}

// Add returns the sum of r and o.
func (r Room) Add(o Room) Room {
	return Room{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r less o.
func (r Room) Sub(o Room) Room {
	return Room{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Holds reports whether o fits into r.
func (r Room) Holds(o Room) bool {
	return r.CPU >= o.CPU && r.MemoryMB >= o.MemoryMB && r.Accelerators >= o.Accelerators
}

// String names the status as logs show it.
func (s Status) String() string {
	names := [...]string{"none", "done", "failed", "stopped", "lost", "stalled", "refused", "old"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}
