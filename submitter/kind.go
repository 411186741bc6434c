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
	// maxSteps and maxTasks bound a job.
	maxSteps = 100
	maxTasks = 10_000
	// retrySpread is the time over which the return of refused callers is spread.
	retrySpread = 2 * timer.Second
)

// Kind says what a job asks for beyond restartable tasks.
type Kind struct {
	Kept     bool // the job and its state outlive its entry
	Repeats  bool // occurrences at set times
	Lasts    bool // tasks run until the job is cancelled
	Fills    bool // tasks use what the others leave
	Together bool // tasks work only together
}

// malformed returns what is wrong with a job that no entry can pass on, or an empty text.
func (j *Job) malformed() string {
	switch {
	case j.ID == "" || len(j.ID) > maxID || strings.ContainsAny(j.ID, "./"):
		return "the identifier has no or too many bytes, or a dot or slash"
	case len(j.Spec) > marshaler.MaxSpec:
		return "the specification is too long"
	}
	return j.unsoundSteps()
}

// unsupported returns what of the kind is not supported, or an empty text.
func (j *Job) unsupported() string {
	k := &j.Kind
	switch {
	case k.Repeats:
		return "jobs that repeat are not supported"
	case k.Lasts, k.Fills:
		return "tasks that last or fill are not supported"
	case k.Together:
		return "tasks that work only together are not supported"
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
