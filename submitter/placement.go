package submitter

import (
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/placer"
)

// placingEntry returns the name of the entry that currently schedules jobs: of the live entries the one with the
// most CPU, then the oldest. Entries that have stepped down are considered only if there is no other. Entries may
// disagree for a short time; this is safe because sidecars refuse starts that exceed their capacity.
func (s *Submitter) placingEntry() string {
	if name, ok := s.highestRanked(false); ok {
		return name
	}
	name, _ := s.highestRanked(true)
	return name
}

// highestRanked returns the live entry that ranks highest, and whether there is one; this entry's name if there is none.
func (s *Submitter) highestRanked(orSteppedDown bool) (name string, found bool) {
	best := marshaler.Hello{Name: s.Name, Incarnation: s.Incarnation, Weight: s.Weight}
	found = !s.leaving && (orSteppedDown || !s.load.steppedDown)
	for _, p := range marshaler.SortedByKey(s.peers) {
		if !s.isLive(p) || !orSteppedDown && p.load != nil && p.load.SteppedDown {
			continue
		}
		if !found || outranks(&p.hello, &best) {
			best, found = p.hello, true
		}
	}
	return best.Name, found
}

func outranks(a, b *marshaler.Hello) bool {
	switch {
	case a.Weight != b.Weight:
		return a.Weight > b.Weight
	case a.Incarnation != b.Incarnation:
		return a.Incarnation < b.Incarnation
	}
	return a.Name < b.Name
}

// requestReadySteps requests the missing capacity of all steps of a job.
func (s *Submitter) requestReadySteps(j *job) {
	for n := range j.steps {
		s.requestMissing(j, n)
	}
}

// requestMissing requests capacity for the queued tasks of a step that have no open request, once the steps before it are
// done. It must be called whenever a task is queued, a request is closed or a step is completed: a queued task of a ready step
// without an open request would wait for ever.
func (s *Submitter) requestMissing(j *job, step int) {
	st := &j.steps[step]
	if missing := st.queuedTasks() - st.requested; missing > 0 && j.stepReady(step) {
		s.requestCapacity(j, step, missing)
	}
}

// requestCapacity requests capacity for further tasks of a step.
func (s *Submitter) requestCapacity(j *job, step, tasks int) {
	st := &j.steps[step]
	m := &marshaler.ResourceRequest{
		Job: j.ID, Step: uint64(step), Service: j.Queue.Service, Queue: j.Queue.Name, Tasks: uint64(tasks), Resources: st.Resources, Estimate: st.Estimate,
		Slack: max(j.targetStart-s.now, 0), MaxWait: max(j.latestStart-s.now, 0), Priority: j.Queue.Priority, Started: j.committed(), Avoid: j.avoidedSidecars,
		Label: st.Label, Rack: st.Rack, ServerTaskLimit: st.ServerTaskLimit, Placed: st.assignedSidecars(),
		Suspicion: st.suspicion(),
		TargetEnd: max(j.targetEnd-j.remainingPath(step)-s.now, 1), LastUsefulEnd: max(j.lastUsefulEnd-j.remainingPath(step)-s.now, 1),
	}
	at := s.placingEntry()
	if st.requested > 0 && at != st.requestedFrom {
		// The previous placing entry may still grant its requests, so the new one only gets the remaining tasks.
		s.report(Event{Kind: "askElsewhere", Job: j.ID, Peer: at, Value: int64(tasks)})
	}
	st.requested += tasks
	st.requestedFrom, st.requestedAt, st.requestedSuspicion = at, s.now, m.Suspicion
	if at == s.Name {
		s.subscribeAll()
		s.placer.Request(s.now, s.Name, s.Domain, m)
		return
	}
	p := s.peers[at]
	p.requestedAt = s.now
	p.activate(s.now)
	p.send(s.now, m)
}

// withdrawRequest withdraws the open request of a step.
func (s *Submitter) withdrawRequest(j *job, step int) {
	st := &j.steps[step]
	if st.requested == 0 {
		return
	}
	st.requested = 0
	if st.requestedFrom == s.Name {
		s.placer.Cancel(s.Name, j.ID, uint64(step))
	} else if p := s.peers[st.requestedFrom]; p != nil && p.link != nil {
		p.send(s.now, &marshaler.CancelResourceRequest{Job: j.ID, Step: uint64(step)})
	}
}

// rerouteRequests sends the open requests at a lost placing entry to the current one.
func (s *Submitter) rerouteRequests(lost string) {
	for _, j := range marshaler.SortedByKey(s.jobs) {
		for n := range j.steps {
			if st := &j.steps[n]; st.requested > 0 && st.requestedFrom == lost {
				st.requested = 0
				s.requestMissing(j, n)
			}
		}
	}
}

// repeatRequests repeats requests that have long been open, for jobs that can no longer be refused. Avoided sidecars
// are allowed again, as they may have recovered.
func (s *Submitter) repeatRequests() {
	for _, j := range marshaler.SortedByKey(s.jobs) {
		for n := range j.steps {
			if st := &j.steps[n]; st.requested > 0 && j.committed() && s.now-st.requestedAt >= requestRepeatInterval {
				s.report(Event{Kind: "askAgain", Job: j.ID, Queue: j.Queue.Name, Peer: st.requestedFrom, Value: int64(st.requested)})
				s.withdrawRequest(j, n)
				j.avoidedSidecars = nil
				s.requestMissing(j, n)
			}
		}
	}
}

// sendGrant delivers a grant of the local placer.
func (s *Submitter) sendGrant(entry string, g marshaler.Grant) {
	if entry == s.Name {
		s.onGrant(&g)
	} else if p := s.peers[entry]; p != nil && p.link != nil {
		p.send(s.now, &g)
	}
}

// sendReject delivers a refusal of the local placer.
func (s *Submitter) sendReject(entry string, r marshaler.Reject) {
	if entry == s.Name {
		s.onReject(&r)
	} else if p := s.peers[entry]; p != nil && p.link != nil {
		p.send(s.now, &r)
	}
}

// onGrant starts a queued task on each granted sidecar. A grant of a former request may arrive after this entry has lost the
// job and taken it over again, when it does not know yet that the steps before are done.
func (s *Submitter) onGrant(g *marshaler.Grant) {
	j := s.jobs[g.Job]
	if j == nil || g.Step >= uint64(len(j.steps)) || !j.stepReady(int(g.Step)) {
		return
	}
	if j.Kind.Durable && !j.durability.stored {
		s.storeJob(j, g)
		return
	}
	if s.holdGrant(j, g) {
		return
	}
	st := &j.steps[g.Step]
	if j.grantedAt == 0 {
		j.grantedAt = s.now
		s.report(Event{Kind: "grant", Job: j.ID, Queue: j.Queue.Name, Peer: g.Sidecars[0], Value: int64(len(g.Sidecars)), Took: s.now - j.arrived})
	}
	st.requested = max(st.requested-len(g.Sidecars), 0)
	next := 0
	for _, name := range g.Sidecars {
		if next = st.nextQueued(next); next == len(st.tasks) {
			break // a repeated request may be granted twice
		}
		if st.isFull(name) {
			s.report(Event{Kind: "serverFull", Job: j.ID, Queue: j.Queue.Name, Peer: name, Value: int64(st.ServerTaskLimit)})
		} else {
			s.startTask(j, int(g.Step), next, name)
		}
	}
	s.requestMissing(j, int(g.Step))
	s.updateSuspicion(j, int(g.Step))
}

// startTask starts a task on a sidecar. The task stays queued if the sidecar is unreachable.
func (s *Submitter) startTask(j *job, step, index int, name string) {
	sc := s.sidecars[name]
	if sc == nil || sc.link == nil || sc.clockAt == 0 {
		s.report(Event{Kind: "unreachable", Job: j.ID, Peer: name})
		j.avoidSidecar(name)
		return
	}
	st := &j.steps[step]
	t := &st.tasks[index]
	key := marshaler.RunKey{Job: j.ID, Index: marshaler.TaskIndex(step, index), Attempt: max(t.attempt+1, j.durability.firstAttempt)}
	// A run of the same job that was submitted before, or of a previous owner, must not be taken for this one.
	for sc.unwantedRuns[key] || j.hasFailed(key) {
		key.Attempt++
	}
	t.attempt, t.issuedAttempt = key.Attempt, key.Attempt
	t.state, t.sidecar, t.sidecarIncarnation = taskAssigned, name, sc.incarnation
	j.assigned++
	sc.assignedRuns[key] = sc.session
	sc.activate(s.now)
	sc.lastSent, sc.keepaliveAt = s.now, s.now // the start also serves as a heartbeat
	var epoch uint64
	if j.durability.partition != nil {
		epoch = j.durability.partition.epoch
	}
	sc.link.Send(&marshaler.Start{
		Run: key, Epoch: epoch, Spec: j.Spec, Resources: st.Resources, Estimate: st.Estimate, NotAfter: sc.clock + int64(s.now-sc.clockAt+startTTL),
		Queue: j.Queue.Name, SentAt: sc.remote.at(s.now), Suspicion: t.suspicion(),
		ServerTaskLimit: st.ServerTaskLimit, Service: j.Queue.Service, Label: st.Label,
	})
}

// avoidSidecar excludes a sidecar that failed a task or is unreachable from further tasks of the job.
func (j *job) avoidSidecar(name string) {
	if !slices.Contains(j.avoidedSidecars, name) {
		j.avoidedSidecars = append(j.avoidedSidecars, name)
	}
}

// onReject answers a refused job, or repeats the request if the job can no longer be refused.
func (s *Submitter) onReject(r *marshaler.Reject) {
	j := s.jobs[r.Job]
	if j == nil || r.Step >= uint64(len(j.steps)) {
		return
	}
	st := &j.steps[r.Step]
	st.requested = 0
	if r.Reason == placer.ReasonMoved || j.committed() {
		s.requestMissing(j, int(r.Step))
		return
	}
	s.finish(j, Answer{Kind: AnswerNotRun, Reason: r.Reason, RetryAfter: r.RetryAfter})
}

// onOutcome handles the guaranteed end of an attempt.
func (s *Submitter) onOutcome(sc *sidecar, o *marshaler.Outcome) {
	delete(sc.unwantedRuns, o.Run)
	if o.Number > 0 {
		s.onDurableEnd(sc, o)
		return
	}
	delete(sc.assignedRuns, o.Run)
	j := s.jobs[o.Run.Job]
	if j == nil {
		return
	}
	step, index := o.Run.Task()
	if step >= len(j.steps) || index >= len(j.steps[step].tasks) {
		return
	}
	t := &j.steps[step].tasks[index]
	if t.state != taskAssigned || t.attempt != o.Run.Attempt || t.sidecar != sc.name {
		return
	}
	j.assigned--
	j.hasRun = j.hasRun || o.Status != marshaler.StatusRefused && o.Status != marshaler.StatusSuperseded
	switch o.Status {
	case marshaler.StatusDone:
		s.completeTask(j, step, t)
		return
	case marshaler.StatusStalled:
		j.avoidSidecar(sc.name)
	case marshaler.StatusFailed:
		j.avoidSidecar(sc.name)
		t.failures++
		if t.failures >= j.Queue.AttemptLimit {
			t.state = taskDone
			s.finish(j, Answer{Kind: AnswerFailed, Reason: "a task failed as often as its queue allows"})
			return
		}
	case marshaler.StatusCrashed:
		s.onCrash(sc, j, o)
		return
	case marshaler.StatusSuperseded:
		t.attempt += attemptGap
	}
	s.requeue(sc, j, o)
}

// completeTask marks a task as done, and requests capacity for the steps that depended on it.
func (s *Submitter) completeTask(j *job, step int, t *task) {
	t.state = taskDone
	st := &j.steps[step]
	if st.done++; !st.isComplete() {
		return
	}
	if j.done++; j.done < len(j.steps) {
		s.requestReadySteps(j)
	} else if !j.Kind.Durable { // a durable job ends once its last end is in the store
		s.finish(j, Answer{Kind: AnswerDone})
	}
}

// requeue requests capacity for a task whose attempt has ended.
func (s *Submitter) requeue(sc *sidecar, j *job, o *marshaler.Outcome) {
	step, index := o.Run.Task()
	j.steps[step].tasks[index].state = taskQueued
	s.report(Event{
		Kind: "requeue", Job: j.ID, Queue: j.Queue.Name, Peer: sc.name, Detail: o.Status.String() + " " + o.Reason,
		Value: int64(o.Run.Index), Took: o.RunTime,
	})
	s.requestMissing(j, step)
}
