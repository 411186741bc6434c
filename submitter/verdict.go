package submitter

import "github.com/crocuslb/crocuslb/marshaler"

const (
	// endCounted means that the end is applied to its task.
	endCounted endVerdict = iota + 1
	// endKnown means that the end is recorded already, or changes nothing.
	endKnown
	// endVoid means that the end must not count: the task was, or may have been, started again after it.
	endVoid
)

type (
	// endVerdict is the decision on the end of a run of a durable job. An end that a sidecar may acknowledge to its backend
	// server as valid has to be counted; all others have to be void.
	endVerdict uint8

	// issuedRun is the latest run of a task that an entry has started or adopted. The attempt is 0 if there is none.
	issuedRun struct {
		attempt uint64
		sidecar string
	}

	// taskHistory is what the owner of a durable job knows about the runs of one of its tasks, whether or not the job has
	// ended.
	taskHistory struct {
		issued       issuedRun
		record       marshaler.TaskRecord
		failureLimit uint64 // number of failures after which the task is not started again
		ended        bool   // the task is not started again, whatever its ends are
	}
)

// verdict decides on the end of a run on a sidecar.
func (h *taskHistory) verdict(sidecar string, o *marshaler.Outcome) endVerdict {
	if o.Status == marshaler.StatusDone {
		return h.successVerdict(sidecar, o)
	}
	return h.failureVerdict(sidecar, o)
}

// failureVerdict decides on a failure. It counts unless a start may have followed as many counted failures as the limit.
func (h *taskHistory) failureVerdict(sidecar string, o *marshaler.Outcome) endVerdict {
	switch {
	case h.record.HasFailed(o.Run.Attempt):
		return endKnown
	case !h.mayHaveLaterStart(sidecar, o):
		return endCounted
	case h.issued.attempt == 0 && !o.Stale: // previous owners have counted it before a later start
		return endCounted
	case h.issued.attempt == 0 && !h.ended:
		return endVoid
	}
	before := h.record.Failures // that may precede the latest start, apart from this one
	if h.issued.attempt != 0 && h.record.HasFailed(h.issued.attempt) {
		before--
	}
	if before+1 >= h.failureLimit {
		return endVoid
	}
	return endCounted
}

// successVerdict decides on a success. It counts only if no start followed it.
func (h *taskHistory) successVerdict(sidecar string, o *marshaler.Outcome) endVerdict {
	switch {
	case h.record.Done && h.record.Attempt == o.Run.Attempt:
		return endKnown
	case h.record.Done || h.mayHaveLaterStart(sidecar, o):
		return endVoid
	}
	return endCounted
}

// mayHaveLaterStart reports whether the task may have been started after the run. Without a run of its own, the entry knows
// of the starts of previous owners only by their recorded ends, and by the sidecar: an end is stale if the owner at that time
// may not have received it.
func (h *taskHistory) mayHaveLaterStart(sidecar string, o *marshaler.Outcome) bool {
	if h.issued.attempt != 0 {
		return h.issued != issuedRun{o.Run.Attempt, sidecar}
	}
	return o.Stale || o.Run.Attempt < h.record.Attempt
}

// history returns what is known about the runs of a task of an active durable job.
func (j *job) history(index uint64) *taskHistory {
	step, task := (marshaler.RunKey{Index: index}).Task()
	t := &j.steps[step].tasks[task]
	return &taskHistory{
		issued: t.issued(), record: j.durability.record.Task(index), failureLimit: j.durability.record.FailureLimit(),
		ended: t.state == taskDone || t.state == taskAborted,
	}
}

// issued returns the latest run of the task.
func (t *task) issued() issuedRun { return issuedRun{t.issuedAttempt, t.sidecar} }

// issuedRuns returns the latest run of each task that this entry has started or adopted, by task index.
func (j *job) issuedRuns() map[uint64]issuedRun {
	runs := map[uint64]issuedRun{}
	for n := range j.steps {
		for i := range j.steps[n].tasks {
			if r := j.steps[n].tasks[i].issued(); r.attempt != 0 {
				runs[marshaler.TaskIndex(n, i)] = r
			}
		}
	}
	return runs
}

// history returns what is known about the runs of a task of a durable job that has ended.
func (f *finishedJob) history(index uint64) *taskHistory {
	return &taskHistory{issued: f.issued[index], record: f.record.Task(index), failureLimit: f.record.FailureLimit(), ended: true}
}

// hasFailed reports whether the failure of a run of a durable job is recorded.
func (j *job) hasFailed(key marshaler.RunKey) bool {
	if j.durability.record == nil {
		return false
	}
	t := j.durability.record.Task(key.Index)
	return t.HasFailed(key.Attempt)
}
