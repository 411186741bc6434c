// Package archiver folds the records of kept jobs in one partition of the store into the jobs as they stand. It is pure.
package archiver

import (
	"cmp"
	"slices"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/marshaler"
)

// State is what is known of a kept job.
type State uint8

const (
	// Open means that some tasks have not ended for good.
	Open State = iota + 1
	// Succeeded means that all tasks are done.
	Succeeded
	// Failed means that a task has failed as often as its queue allows.
	Failed
	// Cancelled means that a caller cancelled the job before it had ended.
	Cancelled
)

// Archive has the kept jobs of one partition. The zero value is an empty one.
type Archive struct {
	jobs            map[string]*marshaler.JobRecord
	epoch, previous uint64 // of the latest owner and the one before
}

// Add applies the next record. A record of a job that is not known is left out: the job's own record has expired, or
// another writer made it. The error says what cannot be read; the archive is unchanged then.
func (a *Archive) Add(body []byte) error {
	m, err := marshaler.Decode(body)
	if err != nil {
		return trace.BadParameter("record of a kept job: %v", err)
	}
	if a.jobs == nil {
		a.jobs = map[string]*marshaler.JobRecord{}
	}
	switch m := m.(type) {
	case *marshaler.JobRecord:
		a.jobs[m.ID] = m
	case *marshaler.EndRecord:
		if j := a.jobs[m.Run.Job]; j != nil {
			AddEnd(j, m)
		}
	case *marshaler.OwnerRecord:
		if m.Epoch != a.epoch {
			a.epoch, a.previous = m.Epoch, a.epoch
		}
	case *marshaler.CancelRecord:
		if j := a.jobs[m.Job]; j != nil && StateOf(j) == Open {
			j.Cancelled = true
		}
	default:
		return trace.BadParameter("record of a kept job: unexpected %T", m)
	}
	return nil
}

// Previous returns the epoch of the owner before the latest one, 0 for none that is known.
func (a *Archive) Previous() uint64 { return a.previous }

// Jobs returns the jobs in the order of their identifiers.
func (a *Archive) Jobs() []*marshaler.JobRecord {
	var jobs []*marshaler.JobRecord
	for _, j := range marshaler.SortedByKey(a.jobs) {
		jobs = append(jobs, j)
	}
	return jobs
}

// AddEnd applies the end of a run to its job. An end that is recorded already changes nothing.
func AddEnd(j *marshaler.JobRecord, e *marshaler.EndRecord) {
	i, ok := slices.BinarySearchFunc(j.Tasks, e.Run.Index, func(t marshaler.TaskRecord, index uint64) int {
		return cmp.Compare(t.Index, index)
	})
	if !ok {
		j.Tasks = slices.Insert(j.Tasks, i, marshaler.TaskRecord{Index: e.Run.Index})
	}
	t := &j.Tasks[i]
	if t.Done || e.Run.Attempt <= t.Attempt {
		return
	}
	t.Attempt = e.Run.Attempt
	if e.Status == marshaler.StatusDone {
		t.Done = true
	} else {
		t.Failures++
	}
}

// StateOf returns the state of a job.
func StateOf(j *marshaler.JobRecord) State {
	var done, tasks uint64
	for i := range j.Steps {
		tasks += j.Steps[i].Tasks
	}
	failed := false
	for i := range j.Tasks {
		if j.Tasks[i].Done {
			done++
		}
		failed = failed || !j.Tasks[i].Done && j.Tasks[i].Failures >= max(j.Attempts, 1)
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
