package submitter

import (
	"fmt"
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/projector"
)

const (
	// crashLimit is the number of backend servers that may crash under a task before it is given up.
	crashLimit = 3
	// crashLimitBlamed is the same number if the task is to blame for the latest crash. Two are required, because a backend
	// server may crash for a reason of its own.
	crashLimitBlamed = 2
)

// suspicion returns how likely the task is to crash its backend server.
func (t *task) suspicion() marshaler.Suspicion {
	return marshaler.Suspicion(min(len(t.crashes), int(marshaler.SuspicionStrong)))
}

// suspicion returns the highest suspicion of the queued tasks of a step, which one request places.
func (st *step) suspicion() (highest marshaler.Suspicion) {
	if !st.hasCrashed {
		return marshaler.SuspicionNone
	}
	for i := range st.tasks {
		if t := &st.tasks[i]; t.state == taskQueued {
			highest = max(highest, t.suspicion())
		}
	}
	return highest
}

// nextQueued returns the index of the queued task that the next grant is for, or the number of tasks if there is none.
// Suspect tasks go first, because the other tasks of the step are placed apart from others until they have started. No task
// before the given one is queued and not suspect.
func (st *step) nextQueued(from int) int {
	if s := st.suspicion(); s > marshaler.SuspicionNone {
		return slices.IndexFunc(st.tasks, func(t task) bool { return t.state == taskQueued && t.suspicion() == s })
	}
	for from < len(st.tasks) && st.tasks[from].state != taskQueued {
		from++
	}
	return from
}

// updateSuspicion replaces the open request of a step once its most suspect tasks have started.
func (s *Submitter) updateSuspicion(j *job, step int) {
	st := &j.steps[step]
	if st.requested == 0 || st.suspicion() == st.requestedSuspicion {
		return
	}
	s.withdrawRequest(j, step)
	s.requestMissing(j, step)
}

// onCrash counts the crash of a backend server under a task, and queues the task again or gives it up.
func (s *Submitter) onCrash(sc *sidecar, j *job, o *marshaler.Outcome) {
	step, index := o.Run.Task()
	t := &j.steps[step].tasks[index]
	givenUp := s.countCrash(sc, j, o)
	switch {
	case j.Kind.Durable:
		t.state = taskAwaitsRecord
		if givenUp {
			t.state = taskAborted
		}
		s.recordCrash(sc, j, t, o, givenUp)
	case givenUp:
		t.state = taskDone
		s.finish(j, Answer{Kind: AnswerFailed, Reason: fmt.Sprintf("%d backend servers crashed under a task", len(t.crashes))})
	default:
		s.requeue(sc, j, o)
	}
}

// onReportedCrash counts a crash that a sidecar reports to a new owner of the job, unless the former owner has stored it.
func (s *Submitter) onReportedCrash(sc *sidecar, o *marshaler.Outcome) {
	j := s.jobs[o.Run.Job]
	step, index := o.Run.Task()
	if j == nil || j.durability.partition == nil || step >= len(j.steps) || index >= len(j.steps[step].tasks) {
		return
	}
	t := &j.steps[step].tasks[index]
	switch {
	case t.state == taskDone || slices.Contains(t.crashes, marshaler.TaskCrash{Attempt: o.Run.Attempt, Sidecar: sc.name}):
		return
	case t.state == taskAssigned && t.attempt == o.Run.Attempt && t.sidecar == sc.name:
		s.onOutcome(sc, o)
		return
	}
	t.attempt = max(t.attempt, o.Run.Attempt)
	givenUp := s.countCrash(sc, j, o)
	if givenUp && t.state != taskAssigned { // a run ends with the job, once the record is stored
		t.state = taskAborted
	}
	s.recordCrash(sc, j, t, o, givenUp)
}

// countCrash counts the crash of a backend server under a task, and reports whether the task is to be given up.
func (s *Submitter) countCrash(sc *sidecar, j *job, o *marshaler.Outcome) (givenUp bool) {
	step, index := o.Run.Task()
	st := &j.steps[step]
	t := &st.tasks[index]
	t.crashes = append(t.crashes, marshaler.TaskCrash{Attempt: o.Run.Attempt, Sidecar: sc.name})
	st.hasCrashed = true
	// A task of a durable job is given up only if it is certain that it causes the crashes: its caller cannot send it again.
	sure := marshaler.BlameProbable
	if j.Kind.Durable {
		sure = marshaler.BlameCertain
	}
	crashes := len(t.crashes)
	givenUp = crashes >= crashLimit || o.Blame >= sure && crashes >= crashLimitBlamed
	if givenUp {
		s.report(Event{Kind: "crashLimit", Job: j.ID, Queue: j.Queue.Name, Peer: sc.name, Detail: fmt.Sprintf("blame %d", o.Blame), Value: int64(o.Run.Index), Count: int64(crashes)})
	}
	return givenUp
}

// recordCrash applies a crash to the record of a durable job and writes it to the store. The task is queued again only once
// the record is stored, so that no later owner starts it without counting the crash.
func (s *Submitter) recordCrash(sc *sidecar, j *job, t *task, o *marshaler.Outcome, givenUp bool) {
	c := &marshaler.CrashRecord{Run: o.Run, Sidecar: sc.name, GivenUp: givenUp}
	projector.ApplyCrash(j.durability.record, c)
	j.durability.pendingWrites++
	s.appendRecord(j, marshaler.Append(nil, c), func(uint64) {
		j.durability.pendingWrites--
		if s.jobs[j.ID] == j && t.state == taskAwaitsRecord {
			s.requeue(sc, j, o)
		}
		s.finishDurable(j)
	})
}
