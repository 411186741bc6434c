// Package projector folds the records of the durable jobs in one partition of the store into the current state of the
// jobs. It has no side effects.
package projector

import (
	"cmp"
	"slices"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/marshaler"
)

// State is the state of a durable job.
type State uint8

const (
	// Open means that some tasks have neither succeeded nor failed permanently.
	Open State = iota + 1
	// Succeeded means that all tasks succeeded.
	Succeeded
	// Failed means that a task has reached the maximum number of failed attempts of its queue, or was given up because
	// backend servers crashed under it.
	Failed
	// Cancelled means that a caller cancelled the job before it ended.
	Cancelled
)

// Projection contains the durable jobs of one partition. The zero value is empty and ready to use.
type Projection struct {
	jobs                 map[string]*marshaler.JobRecord
	epoch, previousEpoch uint64 // epochs of the latest owner and the one before it
}

// Apply applies the next record. Records of unknown jobs are ignored: the record of the job itself has expired, or the
// record comes from another writer. If the record cannot be decoded or has an unexpected type, Apply returns an error and
// leaves the archive unchanged.
func (a *Projection) Apply(body []byte) error {
	m, err := marshaler.Decode(body)
	if err != nil {
		return trace.BadParameter("durable job record: %v", err)
	}
	if a.jobs == nil {
		a.jobs = map[string]*marshaler.JobRecord{}
	}
	switch m := m.(type) {
	case *marshaler.JobRecord:
		a.jobs[m.ID] = m
	case *marshaler.EndRecord:
		if j := a.jobs[m.Run.Job]; j != nil {
			ApplyEnd(j, m)
		}
	case *marshaler.CrashRecord:
		if j := a.jobs[m.Run.Job]; j != nil {
			ApplyCrash(j, m)
		}
	case *marshaler.OwnerRecord:
		if m.Epoch > a.epoch { // an owner also confirms its epoch
			a.epoch, a.previousEpoch = m.Epoch, a.epoch
		}
	case *marshaler.CancelRecord:
		if j := a.jobs[m.Job]; j != nil && StateOf(j) == Open {
			j.Cancelled = true
		}
	default:
		return trace.BadParameter("durable job record: unexpected %T", m)
	}
	return nil
}

// PreviousEpoch returns the epoch of the owner before the latest one, or 0 if unknown.
func (a *Projection) PreviousEpoch() uint64 { return a.previousEpoch }

// Jobs returns the jobs sorted by identifier.
func (a *Projection) Jobs() []*marshaler.JobRecord {
	var jobs []*marshaler.JobRecord
	for _, j := range marshaler.SortedByKey(a.jobs) {
		jobs = append(jobs, j)
	}
	return jobs
}

// ApplyEnd applies the end of a run to its job. Failures may be recorded in another order than that of their attempts. It
// ignores further successes of a task, and failures that are recorded already.
func ApplyEnd(j *marshaler.JobRecord, e *marshaler.EndRecord) {
	t := taskRecord(j, e.Run.Index)
	switch {
	case e.Status == marshaler.StatusDone:
		if !t.Done {
			t.Done, t.Attempt = true, e.Run.Attempt
		}
	case !t.HasFailed(e.Run.Attempt):
		t.Failures++
		t.FailedAttempts = append(t.FailedAttempts, e.Run.Attempt)
		if !t.Done {
			t.Attempt = max(t.Attempt, e.Run.Attempt)
		}
	}
}

// ApplyCrash applies the crash of a backend server to the task that ran there. It ignores tasks that the job does not have and
// crashes that it has applied.
func ApplyCrash(j *marshaler.JobRecord, c *marshaler.CrashRecord) {
	if !hasTask(j, c.Run.Index) {
		return
	}
	t := taskRecord(j, c.Run.Index)
	if crash := (marshaler.TaskCrash{Attempt: c.Run.Attempt, Sidecar: c.Sidecar}); !slices.Contains(t.Crashes, crash) {
		t.Crashes = append(t.Crashes, crash)
	}
	t.GivenUp = t.GivenUp || c.GivenUp
}

// taskRecord returns the record of a task, which it adds if there is none.
func taskRecord(j *marshaler.JobRecord, index uint64) *marshaler.TaskRecord {
	i, ok := slices.BinarySearchFunc(j.Tasks, index, func(t marshaler.TaskRecord, index uint64) int {
		return cmp.Compare(t.Index, index)
	})
	if !ok {
		j.Tasks = slices.Insert(j.Tasks, i, marshaler.TaskRecord{Index: index})
	}
	return &j.Tasks[i]
}

// hasTask reports whether a job has a task with the given index.
func hasTask(j *marshaler.JobRecord, index uint64) bool {
	step, task := (marshaler.RunKey{Index: index}).Task()
	return step < len(j.Steps) && uint64(task) < j.Steps[step].Tasks
}

// StateOf computes the state of a job from its recorded ends and cancellation.
func StateOf(j *marshaler.JobRecord) State {
	var done, tasks uint64
	for i := range j.Steps {
		tasks += j.Steps[i].Tasks
	}
	failed := false
	for i := range j.Tasks {
		if !hasTask(j, j.Tasks[i].Index) {
			continue // recorded by another writer
		}
		if j.Tasks[i].Done {
			done++
		}
		failed = failed || !j.Tasks[i].Done && (j.Tasks[i].GivenUp || j.Tasks[i].Failures >= j.FailureLimit())
	}
	switch {
	case j.Cancelled:
		return Cancelled
	case done == tasks:
		return Succeeded
	case failed:
		return Failed
	}
	return Open
}
