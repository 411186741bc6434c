package submitter

import (
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// step is a step in work.
type step struct {
	marshaler.Step
	tasks   []task
	done    int
	begun   bool // room was requested
	asked   int  // tasks with an open request
	askedAt string
	since   timer.Millis // of the latest request
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

// queued returns the number of tasks that are not placed.
func (st *step) queued() (n int) {
	for i := range st.tasks {
		if st.tasks[i].state == taskQueued {
			n++
		}
	}
	return n
}

// placed returns the sidecars that have a task of a step whose number on one backend server is bounded, one element for
// each task.
func (st *step) placed() (names []string) {
	if st.PerServer == 0 {
		return nil
	}
	for i := range st.tasks {
		if st.tasks[i].state == taskPlaced {
			names = append(names, st.tasks[i].sidecar)
		}
	}
	return names
}

// ready reports whether all steps that a step waits for are done.
func (j *job) ready(n int) bool {
	return !slices.ContainsFunc(j.steps[n].After, func(before uint64) bool {
		return j.steps[before].done < len(j.steps[before].tasks)
	})
}

// asking reports whether a request for room is open.
func (j *job) asking() bool {
	return slices.ContainsFunc(j.steps, func(st step) bool { return st.asked > 0 })
}

// longestChain returns the estimated run time of the longest chain of steps that wait for each other.
func (j *Job) longestChain() (longest timer.Millis) {
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

// unsoundSteps returns what is wrong with the steps of a job, or an empty text.
func (j *Job) unsoundSteps() string {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return "the job has no or too many steps"
	}
	var tasks uint64
	for n := range j.Steps {
		st := &j.Steps[n]
		tasks += min(st.Tasks, maxTasks+1)
		switch {
		case st.Tasks == 0 || tasks > maxTasks:
			return "a step has no tasks, or the job has too many"
		case st.Room.CPU < 0 || st.Room.MemoryMB < 0 || st.Room.Accelerators < 0:
			return "a task asks for less than nothing"
		case st.Estimate < 0 || st.Estimate > maxEstimate:
			return "the estimated run time is out of range"
		case len(st.Label) > marshaler.MaxName || len(st.Rack) > marshaler.MaxName:
			return "a label is too long"
		case slices.ContainsFunc(st.After, func(before uint64) bool { return before >= uint64(n) }):
			return "a step waits for one that does not come before it"
		}
	}
	return ""
}
