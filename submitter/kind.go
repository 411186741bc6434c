package submitter

import (
	"hash/fnv"
	"strings"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// UnreadyRetry is the time after which a caller may come back to an entry that has no configuration yet.
	UnreadyRetry = timer.Second
	// unsupportedRetry keeps callers of jobs that are not supported from coming back soon.
	unsupportedRetry = timer.Minute
	// maxID is the longest identifier of a job in bytes. Callers use 16.
	maxID = 64
	// maxEstimate bounds the estimated run time of a task.
	maxEstimate = 24 * 60 * timer.Minute
	// retrySpread is the time over which the return of refused callers is spread.
	retrySpread = 2 * timer.Second
)

// Kind says what a job asks for beyond restartable tasks of one step.
type Kind struct {
	Kept      bool // the job and its state outlive its entry
	Steps     int  // number of steps
	Repeats   bool // occurrences at set times
	Lasts     bool // tasks run until the job is cancelled
	Fills     bool // tasks use what the others leave
	Together  bool // tasks work only together
	Label     string
	PerServer int // most tasks of the step on one backend server; 0 for any number
}

// malformed returns what is wrong with a job that no entry can pass on, or an empty text.
func (j *Job) malformed() string {
	switch {
	case j.ID == "" || len(j.ID) > maxID || strings.ContainsAny(j.ID, "./"):
		return "the identifier has no or too many bytes, or a dot or slash"
	case len(j.Spec) > marshaler.MaxSpec:
		return "the specification is too long"
	case j.Room.CPU < 0 || j.Room.MemoryMB < 0 || j.Room.Accelerators < 0:
		return "a task asks for less than nothing"
	case j.Estimate < 0 || j.Estimate > maxEstimate:
		return "the estimated run time is out of range"
	}
	return ""
}

// unsupported returns what of the kind is not supported, or an empty text.
func (j *Job) unsupported() string {
	k := &j.Kind
	switch {
	case k.Kept:
		return "jobs that are kept are not supported"
	case k.Steps > 1:
		return "jobs of several steps are not supported"
	case k.Repeats:
		return "jobs that repeat are not supported"
	case k.Lasts, k.Fills:
		return "tasks that last or fill are not supported"
	case k.Together:
		return "tasks that work only together are not supported"
	case k.Label != "", k.PerServer > 0:
		return "tasks that are bound to backend servers are not supported"
	case j.Queue.Advised:
		return "queues with an advice service are not supported"
	}
	return ""
}

// spread returns a part of retrySpread that differs between jobs.
func spread(id string) timer.Millis {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash accepts all bytes
	return timer.Millis(h.Sum32() % uint32(retrySpread))
}
