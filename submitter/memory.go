package submitter

import "github.com/crocuslb/crocuslb/timer"

const (
	// jobBytes, taskBytes and finishedTaskBytes are what a job, a task of an active job and one of a finished durable job hold,
	// with their messages and the runs at their sidecars.
	jobBytes          = 4 << 10
	taskBytes         = 1 << 10
	finishedTaskBytes = 256
	// memoryRetryAfter is the retry delay of a job for which there is no memory. Jobs end and free theirs within seconds.
	memoryRetryAfter = timer.Second
	memoryReason     = "memory of the jobs is used up"
)

// MemoryBudget is the memory that jobs share with all else that clients make the process hold. The zero value has no limit.
type MemoryBudget struct {
	// Reserve charges memory and reports whether there is room.
	Reserve func(bytes int64) bool
	// Take charges memory that cannot be refused.
	Take func(bytes int64)
	// Release returns charged memory.
	Release func(bytes int64)
}

func (b *MemoryBudget) reserve(bytes int64) bool { return b.Reserve == nil || b.Reserve(bytes) }

func (b *MemoryBudget) take(bytes int64) {
	if b.Take != nil {
		b.Take(bytes)
	}
}

func (b *MemoryBudget) release(bytes int64) {
	if b.Release != nil {
		b.Release(bytes)
	}
}

// memoryNeed returns what the job holds while it is active, in bytes.
func (j *Job) memoryNeed() int64 {
	bytes := int64(jobBytes + len(j.Spec))
	for n := range j.Steps {
		bytes += int64(min(j.Steps[n].Tasks, maxTasks)) * taskBytes
	}
	return bytes
}

// finishedMemoryNeed returns what a durable job holds after its end, in bytes.
func (j *Job) finishedMemoryNeed() int64 { return j.memoryNeed() * finishedTaskBytes / taskBytes }

// reserveMemory charges a new job, or refuses it.
func (s *Submitter) reserveMemory(j *Job) bool {
	if s.Memory.reserve(j.memoryNeed()) {
		return true
	}
	s.report(Event{Kind: eventRefuse, Job: j.ID, Queue: j.Queue.Name, Detail: memoryReason, Value: j.memoryNeed()})
	j.Answer(Answer{Kind: AnswerNotRun, Reason: memoryReason, RetryAfter: memoryRetryAfter + jitter(j.ID)})
	return false
}

// releaseMemory returns what was charged for a job that is not active any more.
func (s *Submitter) releaseMemory(j *job) {
	s.Memory.release(j.memory)
	j.memory = 0
}

// forget removes a finished job.
func (s *Submitter) forget(id string, f *finishedJob) {
	s.Memory.release(f.memory)
	delete(s.durable.finished, id)
}
