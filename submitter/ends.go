package submitter

import (
	"slices"

	"github.com/crocuslb/crocuslb/archiver"
	"github.com/crocuslb/crocuslb/marshaler"
)

// onKeptEnd takes an end of a run of a kept job that its sidecar lists until it is recorded.
func (s *Submitter) onKeptEnd(sc *sidecar, o *marshaler.Outcome) {
	p := s.kept.owned[s.partitionOf(o.Run.Job)]
	if p == nil {
		return // the sidecar offers it to the owner
	}
	j := s.jobs[o.Run.Job]
	if j == nil || j.keeping.partition == nil { // over, not known, or a restartable job of which nothing is kept
		s.note(sc.name, o, s.overlooked(o))
		return
	}
	step, index := o.Run.Task()
	if step >= len(j.steps) || index >= len(j.steps[step].tasks) {
		s.note(sc.name, o, false)
		return
	}
	key := noteKey{o.Run, sc.name}
	if j.keeping.noting[key] {
		return
	}
	t := &j.steps[step].tasks[index]
	if o.Stale && t.ordered == 0 && t.state != taskDone && o.Status == marshaler.StatusDone {
		// An earlier owner may have started the task again, and this one cannot know.
		t.attempt = max(t.attempt, o.Run.Attempt)
		s.note(sc.name, o, true)
		return
	}
	if t.takes(sc.name, o.Run.Attempt) {
		s.recordEnd(sc, j, o)
		return
	}
	s.note(sc.name, o, o.Status == marshaler.StatusDone && t.recorded != o.Run.Attempt)
}

// takes reports whether an end of an attempt counts: it is the current one, or the latest of a task that nothing was
// started of since.
func (t *task) takes(sidecar string, attempt uint64) bool {
	switch t.state {
	case taskPlaced:
		return t.attempt == attempt && t.sidecar == sidecar
	case taskQueued, taskUnknown, taskEnded:
		return attempt >= t.ordered && attempt > t.recorded
	}
	return false
}

// overlooked reports whether an end of a job that is over contradicts what is recorded of it.
func (s *Submitter) overlooked(o *marshaler.Outcome) bool {
	over := s.kept.over[o.Run.Job]
	if over == nil || o.Status != marshaler.StatusDone {
		return false
	}
	return slices.ContainsFunc(over.record.Tasks, func(t marshaler.TaskRecord) bool {
		return t.Index == o.Run.Index && t.Attempt != o.Run.Attempt
	})
}

// recordEnd applies an end and hands it to the store.
func (s *Submitter) recordEnd(sc *sidecar, j *job, o *marshaler.Outcome) {
	key := noteKey{o.Run, sc.name}
	j.keeping.noting[key] = true
	j.keeping.unstored++
	end := &marshaler.EndRecord{Run: o.Run, Status: o.Status}
	archiver.AddEnd(j.keeping.record, end)
	s.record(j, marshaler.Append(nil, end), func(uint64) {
		delete(j.keeping.noting, key)
		j.keeping.unstored--
		s.note(sc.name, o, false)
		s.settleKept(j)
	})
	s.applyEnd(sc, j, o)
}

// applyEnd applies an end with success or failure to the task in memory.
func (s *Submitter) applyEnd(sc *sidecar, j *job, o *marshaler.Outcome) {
	delete(sc.placed, o.Run)
	step, index := o.Run.Task()
	t := &j.steps[step].tasks[index]
	if t.state == taskPlaced {
		j.unsettled--
	}
	j.ran = true
	t.attempt, t.recorded = o.Run.Attempt, o.Run.Attempt
	if t.state == taskEnded { // the job is being cancelled; the end counts if the cancellation gets lost
		return
	}
	if o.Status == marshaler.StatusDone {
		s.taskIsDone(j, step, t)
		return
	}
	j.avoidSidecar(sc.name)
	t.failures++
	if t.failures >= max(j.Queue.Attempts, 1) {
		t.state = taskEnded
		return
	}
	if t.state == taskUnknown {
		return // the owner before may have started the next attempt
	}
	s.requeue(sc, j, o)
}

// note tells a sidecar that an end is recorded, or void.
func (s *Submitter) note(name string, o *marshaler.Outcome, void bool) {
	sc := s.sidecars[name]
	if void {
		s.report(Event{Kind: "void", Job: o.Run.Job, Peer: name, Detail: "the task was started again", Value: int64(o.Run.Index)})
	}
	if sc != nil && sc.link != nil {
		sc.link.Send(&marshaler.Noted{Number: o.Number, Run: o.Run, Void: void})
	}
}

// settleKept ends a kept job whose end is in the store.
func (s *Submitter) settleKept(j *job) {
	state := archiver.StateOf(j.keeping.record)
	if s.jobs[j.ID] != j || j.keeping.unstored > 0 || state == archiver.Open {
		return
	}
	s.kept.over[j.ID] = &overJob{record: j.keeping.record, state: state, since: s.now, offset: j.keeping.offset}
	delete(s.jobs, j.ID)
	s.stopAll(j)
	j.answerAll(Answer{Kind: AnswerAccepted})
	s.answerStates(j, true)
	s.report(Event{Kind: "kept", Job: j.ID, Queue: j.Queue.Name, Detail: stateAnswer(state).String(), Value: int64(j.done), Took: s.now - j.arrived})
}
