package submitter

import (
	"hash/fnv"
	"strings"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// NotReadyRetryAfter is the retry delay sent to callers of an entry that has no configuration yet.
	NotReadyRetryAfter = timer.Second
	// unsupportedRetryAfter is long because an unsupported job will not succeed on a retry soon.
	unsupportedRetryAfter = timer.Minute
	// maxIDLength bounds the length of a job ID in bytes. Callers use 16.
	maxIDLength = 64
	// maxEstimate bounds the estimated run time of a task.
	maxEstimate = 24 * 60 * timer.Minute
	// MaxSteps and maxTasks bound the size of a job.
	MaxSteps = 100
	maxTasks = 10_000
	// retryJitter is the interval over which the retries of refused callers are spread.
	retryJitter = 2 * timer.Second
)

// Kind holds the features that a job requests beyond restartable tasks.
type Kind struct {
	Durable        bool // the job and its state survive the loss of its entry
	Recurring      bool // recurs at scheduled times
	UntilCancelled bool // tasks run until the job is cancelled
	SpareCapacity  bool // tasks use only capacity that no other task needs
	Coscheduled    bool // gang scheduling: tasks only work if all of them run
}

// invalidReason returns why a job is invalid, or "". An invalid job must not be forwarded to other entries.
func (j *Job) invalidReason() string {
	switch {
	case j.ID == "" || len(j.ID) > maxIDLength || strings.ContainsAny(j.ID, "./"):
		return "the identifier has no or too many bytes, or a dot or slash"
	case len(j.Spec) > marshaler.MaxSpecLen:
		return "the specification is too long"
	}
	return j.invalidStepsReason()
}

// unsupportedReason returns which requested feature is not supported, or "".
func (j *Job) unsupportedReason() string {
	k := &j.Kind
	switch {
	case k.Recurring:
		return "jobs that repeat are not supported"
	case k.UntilCancelled, k.SpareCapacity:
		return "tasks that last or fill are not supported"
	case k.Coscheduled:
		return "tasks that work only together are not supported"
	case j.Queue.UsesAdvice:
		return "queues with an advice service are not supported"
	}
	return ""
}

// jitter returns a delay below retryJitter that is derived from the job ID.
func jitter(id string) timer.Millis {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // hash.Hash never returns an error
	return timer.Millis(h.Sum32() % uint32(retryJitter))
}
