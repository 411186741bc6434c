package submitter

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/projector"
)

// onDurableEnd handles the end of a run of a durable job. The sidecar lists it until it is acknowledged.
func (s *Submitter) onDurableEnd(sc *sidecar, o *marshaler.Outcome) {
	if s.durable.owned[s.partitionOf(o.Run.Job)] == nil {
		return // the sidecar reports it to the owner
	}
	j := s.jobs[o.Run.Job]
	if j == nil || j.durability.partition == nil { // finished, unknown, or restartable
		s.onFinishedEnd(sc, o)
		return
	}
	step, index := o.Run.Task()
	if step >= len(j.steps) || index >= len(j.steps[step].tasks) {
		s.acknowledgeEnd(sc.name, o, false)
		return
	}
	if j.durability.recordingEnds[endKey{o.Run, sc.name}] {
		return
	}
	t := &j.steps[step].tasks[index]
	switch j.history(o.Run.Index).verdict(sc.name, o) {
	case endCounted:
		s.recordEnd(sc, j, o)
	case endKnown:
		s.acknowledgeEnd(sc.name, o, false)
	case endVoid:
		if t.issuedAttempt == 0 { // attempts of this entry have to be later ones
			t.attempt = max(t.attempt, o.Run.Attempt)
		}
		s.acknowledgeEnd(sc.name, o, true)
	}
}

// onFinishedEnd handles the end of a run of a durable job that has ended. The end does not change the job, but it must not
// be acknowledged as valid if that contradicts a start of the task. A failure counts for the decision on later ones.
func (s *Submitter) onFinishedEnd(sc *sidecar, o *marshaler.Outcome) {
	finished := s.durable.finished[o.Run.Job]
	if finished == nil {
		s.acknowledgeEnd(sc.name, o, false)
		return
	}
	verdict := finished.history(o.Run.Index).verdict(sc.name, o)
	if verdict == endCounted && o.Status == marshaler.StatusFailed {
		projector.ApplyEnd(finished.record, &marshaler.EndRecord{Run: o.Run, Status: o.Status})
	}
	s.acknowledgeEnd(sc.name, o, verdict == endVoid)
}

// recordEnd applies an end and writes it to the store.
func (s *Submitter) recordEnd(sc *sidecar, j *job, o *marshaler.Outcome) {
	key := endKey{o.Run, sc.name}
	j.durability.recordingEnds[key] = true
	j.durability.pendingWrites++
	end := &marshaler.EndRecord{Run: o.Run, Status: o.Status}
	projector.ApplyEnd(j.durability.record, end)
	s.appendRecord(j, marshaler.Append(nil, end), func(uint64) {
		delete(j.durability.recordingEnds, key)
		j.durability.pendingWrites--
		s.acknowledgeEnd(sc.name, o, false)
		s.finishDurable(j)
	})
	s.applyEnd(sc, j, o)
}

// applyEnd applies a success or failure to the in-memory task. The failure may be one of an earlier run.
func (s *Submitter) applyEnd(sc *sidecar, j *job, o *marshaler.Outcome) {
	delete(sc.assignedRuns, o.Run)
	step, index := o.Run.Task()
	t := &j.steps[step].tasks[index]
	j.hasRun = true
	if t.state != taskAssigned {
		t.attempt = max(t.attempt, o.Run.Attempt)
	}
	if t.state == taskAborted && (j.isCancelled() || o.Status != marshaler.StatusDone) {
		return // a recorded end counts if the cancellation is lost
	}
	ofCurrentRun := t.state == taskAssigned && t.issued() == issuedRun{o.Run.Attempt, sc.name}
	if ofCurrentRun {
		j.assigned--
	}
	if o.Status == marshaler.StatusDone {
		s.completeTask(j, step, t)
		return
	}
	j.avoidSidecar(sc.name)
	t.failures++
	switch {
	case t.state == taskDone:
	case t.failures >= max(j.Queue.AttemptLimit, 1):
		t.state = taskAborted
	case ofCurrentRun:
		s.requeue(sc, j, o)
	}
}

// isCancelled reports whether the job is cancelled or its cancellation is being stored.
func (j *job) isCancelled() bool {
	return j.durability.record.Cancelled || len(j.durability.cancelRequests) > 0
}

// acknowledgeEnd tells a sidecar that an end is recorded or void.
func (s *Submitter) acknowledgeEnd(name string, o *marshaler.Outcome, void bool) {
	sc := s.sidecars[name]
	if void {
		s.report(Event{Kind: "void", Job: o.Run.Job, Peer: name, Detail: o.Status.String() + ", the task may have been started again", Value: int64(o.Run.Index)})
	}
	if sc != nil && sc.link != nil {
		sc.link.Send(&marshaler.OutcomeAck{Number: o.Number, Run: o.Run, Void: void})
	}
}

// finishDurable removes a durable job from the active jobs once its final state is in the store.
func (s *Submitter) finishDurable(j *job) {
	state := projector.StateOf(j.durability.record)
	if s.jobs[j.ID] != j || j.durability.pendingWrites > 0 || state == projector.Open {
		return
	}
	s.durable.finished[j.ID] = &finishedJob{
		record: j.durability.record, state: state, since: s.now, offset: j.durability.offset, issued: j.issuedRuns(), memory: j.finishedMemoryNeed(),
	}
	delete(s.jobs, j.ID)
	s.Memory.take(j.finishedMemoryNeed())
	s.releaseMemory(j)
	s.stopTasks(j)
	j.answerWaiters(Answer{Kind: AnswerAccepted})
	s.answerStateRequests(j, true)
	s.report(Event{Kind: "kept", Job: j.ID, Queue: j.Queue.Name, Detail: stateAnswer(state).String(), Value: int64(j.done), Took: s.now - j.arrived})
}
