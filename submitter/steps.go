package submitter

import (
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// step is the state of one step of an active job.
type step struct {
	marshaler.Step
	tasks         []task
	done          int
	requested     int // tasks with an open capacity request
	requestedFrom string
	requestedAt   timer.Millis // time of the latest request
	// requestedSuspicion is the suspicion that the latest request stated.
	requestedSuspicion marshaler.Suspicion
	hasCrashed         bool // a backend server has crashed under one of the tasks
}

func newSteps(steps []marshaler.Step) []step {
	all := make([]step, len(steps))
	for n := range steps {
		all[n] = step{Step: steps[n], tasks: make([]task, steps[n].Tasks)}
		for i := range all[n].tasks {
			all[n].tasks[i].state = taskQueued
		}
	}
	return all
}

// queuedTasks returns the number of tasks that wait for a grant.
func (st *step) queuedTasks() (n int) {
	for i := range st.tasks {
		if st.tasks[i].state == taskQueued {
			n++
		}
	}
	return n
}

// assignedSidecars returns the sidecar of each running task of a step that has a limit of tasks per backend server. A
// sidecar occurs once for each task.
func (st *step) assignedSidecars() (names []string) {
	if st.ServerTaskLimit == 0 {
		return nil
	}
	for i := range st.tasks {
		if st.tasks[i].state == taskAssigned {
			names = append(names, st.tasks[i].sidecar)
		}
	}
	return names
}

// isFull reports whether the step has as many tasks on a sidecar as its limit allows. The placing entry does not know of the
// tasks that it has granted shortly before a request was sent.
func (st *step) isFull(sidecar string) bool {
	if st.ServerTaskLimit == 0 {
		return false
	}
	assigned := uint64(0)
	for i := range st.tasks {
		if t := &st.tasks[i]; t.state == taskAssigned && t.sidecar == sidecar {
			assigned++
		}
	}
	return assigned >= st.ServerTaskLimit
}

// stepReady reports whether all steps that step n depends on are done.
func (j *job) stepReady(n int) bool {
	return !slices.ContainsFunc(j.steps[n].After, func(before uint64) bool {
		return j.steps[before].done < len(j.steps[before].tasks)
	})
}

// hasOpenRequest reports whether a capacity request is open.
func (j *job) hasOpenRequest() bool {
	return slices.ContainsFunc(j.steps, func(st step) bool { return st.requested > 0 })
}

// criticalPath returns the estimated run time of the longest chain of dependent steps.
func (j *Job) criticalPath() (longest timer.Millis) {
	ends := make([]timer.Millis, len(j.Steps))
	for n := range j.Steps {
		for _, before := range j.Steps[n].After {
			ends[n] = max(ends[n], ends[before])
		}
		ends[n] += j.Steps[n].Estimate
		longest = max(longest, ends[n])
	}
	return longest
}

// remainingPath returns the estimated run time of the longest chain of steps that follow step n.
func (j *Job) remainingPath(n int) (longest timer.Millis) {
	ends := map[uint64]timer.Millis{uint64(n): 0} // of step n and the steps that depend on it, relative to the end of step n
	for m := n + 1; m < len(j.Steps); m++ {
		for _, before := range j.Steps[m].After {
			if end, ok := ends[before]; ok {
				ends[uint64(m)] = max(ends[uint64(m)], end+j.Steps[m].Estimate)
				longest = max(longest, ends[uint64(m)])
			}
		}
	}
	return longest
}

// invalidStepsReason returns why the steps of a job are invalid, or "".
func (j *Job) invalidStepsReason() string {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return "the job has no or too many steps"
	}
	var tasks uint64
	for n := range j.Steps {
		st := &j.Steps[n]
		tasks += min(st.Tasks, maxTasks+1)
		switch {
		case st.Tasks == 0 || tasks > maxTasks:
			return "a step has no tasks, or the job has too many"
		case st.Resources.CPU < 0 || st.Resources.MemoryMB < 0 || st.Resources.Accelerators < 0:
			return "a task asks for less than nothing"
		case st.Estimate < 0 || st.Estimate > maxEstimate:
			return "the estimated run time is out of range"
		case len(st.Label) > marshaler.MaxNameLen || len(st.Rack) > marshaler.MaxNameLen:
			return "a label is too long"
		case slices.ContainsFunc(st.After, func(before uint64) bool { return before >= uint64(n) }):
			return "a step waits for one that does not come before it"
		}
	}
	return ""
}
