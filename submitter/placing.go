package submitter

import (
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/placer"
)

// placing returns the name of the entry that places jobs at present: of the live entries the one with the most
// processor, then the oldest. Entries may disagree for a moment; sidecars refuse what has no room.
func (s *Submitter) placing() string {
	best := marshaler.Hello{Name: s.Name, Incarnation: s.Incarnation, Weight: s.Weight}
	found := !s.leaving
	for _, p := range marshaler.InOrder(s.peers) {
		if p.link == nil || p.leaving || p.suspect || p.active && p.silence(s.now) >= suspectLimit {
			continue
		}
		if !found || before(&p.hello, &best) {
			best, found = p.hello, true
		}
	}
	return best.Name
}

func before(a, b *marshaler.Hello) bool {
	switch {
	case a.Weight != b.Weight:
		return a.Weight > b.Weight
	case a.Incarnation != b.Incarnation:
		return a.Incarnation < b.Incarnation
	}
	return a.Name < b.Name
}

// askReady requests room for the steps whose turn has come.
func (s *Submitter) askReady(j *job) {
	for n := range j.steps {
		st := &j.steps[n]
		if !st.begun && j.ready(n) {
			st.begun = true
			s.ask(j, n, len(st.tasks))
		}
	}
}

// ask requests room for more tasks of a step.
func (s *Submitter) ask(j *job, step, tasks int) {
	st := &j.steps[step]
	m := &marshaler.Ask{
		Job: j.ID, Step: uint64(step), Service: j.Queue.Service, Queue: j.Queue.Name, Tasks: uint64(tasks), Room: st.Room, Estimate: st.Estimate,
		Slack: max(j.latest-s.now, 0), Patience: max(j.last-s.now, 0), Priority: j.Queue.Priority, Started: j.committed(), Avoid: j.avoid,
		Label: st.Label, Rack: st.Rack, PerServer: st.PerServer, Placed: st.placed(),
	}
	at := s.placing()
	if st.asked > 0 && at != st.askedAt {
		// The earlier placing entry may still grant what it was asked for, so the new one is asked only for the rest.
		s.report(Event{Kind: "askElsewhere", Job: j.ID, Peer: at, Value: int64(tasks)})
	}
	st.asked += tasks
	st.askedAt, st.since = at, s.now
	if at == s.Name {
		s.subscribeAll()
		s.placer.Ask(s.now, s.Name, s.Domain, m)
		return
	}
	p := s.peers[at]
	p.askedAt = s.now
	p.wake(s.now)
	p.send(s.now, m)
}

// withdraw takes back the open request of a step.
func (s *Submitter) withdraw(j *job, step int) {
	st := &j.steps[step]
	if st.asked == 0 {
		return
	}
	st.asked = 0
	if st.askedAt == s.Name {
		s.placer.Withdraw(s.Name, j.ID, uint64(step))
	} else if p := s.peers[st.askedAt]; p != nil && p.link != nil {
		p.send(s.now, &marshaler.Withdraw{Job: j.ID, Step: uint64(step)})
	}
}

// askAgain repeats the open requests that went to a placing entry that is lost.
func (s *Submitter) askAgain(lost string) {
	for _, j := range marshaler.InOrder(s.jobs) {
		for n := range j.steps {
			if st := &j.steps[n]; st.asked > 0 && st.askedAt == lost {
				st.asked = 0
				s.ask(j, n, st.queued())
			}
		}
	}
}

// repeatRequests asks again for jobs that can no longer be refused and wait for long. Sidecars that were left out may
// serve by now.
func (s *Submitter) repeatRequests() {
	for _, j := range marshaler.InOrder(s.jobs) {
		for n := range j.steps {
			if st := &j.steps[n]; st.asked > 0 && j.committed() && s.now-st.since >= repeatAfter {
				s.report(Event{Kind: "askAgain", Job: j.ID, Queue: j.Queue.Name, Peer: st.askedAt, Value: int64(st.asked)})
				s.withdraw(j, n)
				j.avoid = nil
				s.ask(j, n, st.queued())
			}
		}
	}
}

// sendGrant delivers a grant of this entry's placer.
func (s *Submitter) sendGrant(entry string, g marshaler.Grant) {
	if entry == s.Name {
		s.onGrant(&g)
	} else if p := s.peers[entry]; p != nil && p.link != nil {
		p.send(s.now, &g)
	}
}

// sendReject delivers a refusal of this entry's placer.
func (s *Submitter) sendReject(entry string, r marshaler.Reject) {
	if entry == s.Name {
		s.onReject(&r)
	} else if p := s.peers[entry]; p != nil && p.link != nil {
		p.send(s.now, &r)
	}
}

// onGrant starts a queued task on each granted sidecar.
func (s *Submitter) onGrant(g *marshaler.Grant) {
	j := s.jobs[g.Job]
	if j == nil || g.Step >= uint64(len(j.steps)) {
		return
	}
	if j.Kind.Kept && !j.keeping.stored {
		s.store(j, g)
		return
	}
	st := &j.steps[g.Step]
	if j.granted == 0 {
		j.granted = s.now
		s.report(Event{Kind: "grant", Job: j.ID, Queue: j.Queue.Name, Peer: g.Sidecars[0], Value: int64(len(g.Sidecars)), Took: s.now - j.arrived})
	}
	again, next := 0, 0
	for _, name := range g.Sidecars {
		for next < len(st.tasks) && st.tasks[next].state != taskQueued {
			next++
		}
		if next == len(st.tasks) {
			break // more was granted than is needed, after a request was repeated
		}
		st.asked = max(st.asked-1, 0)
		if !s.start(j, int(g.Step), next, name) {
			again++
		}
	}
	if again > 0 {
		s.ask(j, int(g.Step), again)
	}
}

// start orders a task on a sidecar. It returns false when the sidecar cannot be reached.
func (s *Submitter) start(j *job, step, index int, name string) bool {
	sc := s.sidecars[name]
	if sc == nil || sc.link == nil || sc.clockAt == 0 {
		s.report(Event{Kind: "unreachable", Job: j.ID, Peer: name})
		j.avoidSidecar(name)
		return false
	}
	st := &j.steps[step]
	t := &st.tasks[index]
	t.attempt++
	t.ordered = t.attempt
	t.state, t.sidecar, t.sidecarN = taskPlaced, name, sc.incarnation
	j.unsettled++
	key := marshaler.RunKey{Job: j.ID, Index: marshaler.TaskIndex(step, index), Attempt: t.attempt}
	sc.placed[key] = sc.session
	sc.wake(s.now)
	sc.sent = s.now // the order is a sign of life as well
	var epoch uint64
	if j.keeping.partition != nil {
		epoch = j.keeping.partition.epoch
	}
	sc.link.Send(&marshaler.Start{
		Run: key, Epoch: epoch, Spec: j.Spec, Room: st.Room, Estimate: st.Estimate, NotAfter: sc.clock + int64(s.now-sc.clockAt+startLife),
	})
	return true
}

// avoidSidecar keeps further tasks of the job away from a sidecar that failed one or cannot be reached.
func (j *job) avoidSidecar(name string) {
	if !slices.Contains(j.avoid, name) {
		j.avoid = append(j.avoid, name)
	}
}

// onReject answers a refused job, or asks again when it cannot be refused any more.
func (s *Submitter) onReject(r *marshaler.Reject) {
	j := s.jobs[r.Job]
	if j == nil || r.Step >= uint64(len(j.steps)) {
		return
	}
	st := &j.steps[r.Step]
	st.asked = 0
	if r.Reason == placer.ReasonMoved || j.committed() {
		if n := st.queued(); n > 0 {
			s.ask(j, int(r.Step), n)
		}
		return
	}
	s.finish(j, Answer{Kind: AnswerNotRun, Reason: r.Reason, RetryAfter: r.RetryAfter})
}

// onOutcome takes the certain end of an attempt.
func (s *Submitter) onOutcome(sc *sidecar, o *marshaler.Outcome) {
	if o.Number > 0 {
		s.onKeptEnd(sc, o)
		return
	}
	delete(sc.placed, o.Run)
	j := s.jobs[o.Run.Job]
	if j == nil {
		return
	}
	step, index := o.Run.Task()
	if step >= len(j.steps) || index >= len(j.steps[step].tasks) {
		return
	}
	t := &j.steps[step].tasks[index]
	if t.state != taskPlaced || t.attempt != o.Run.Attempt || t.sidecar != sc.name {
		return
	}
	j.unsettled--
	j.ran = j.ran || o.Status != marshaler.StatusRefused && o.Status != marshaler.StatusOld
	switch o.Status {
	case marshaler.StatusDone:
		s.taskIsDone(j, step, t)
		return
	case marshaler.StatusStalled:
		j.avoidSidecar(sc.name)
	case marshaler.StatusFailed:
		j.avoidSidecar(sc.name)
		t.failures++
		if t.failures >= j.Queue.Attempts {
			t.state = taskDone
			s.finish(j, Answer{Kind: AnswerFailed, Reason: "a task failed as often as its queue allows"})
			return
		}
	case marshaler.StatusOld:
		t.attempt += attemptGap
	}
	s.requeue(sc, j, o)
}

// taskIsDone counts a task that is done, and goes on with the steps that waited for it.
func (s *Submitter) taskIsDone(j *job, step int, t *task) {
	t.state = taskDone
	st := &j.steps[step]
	if st.done++; !st.complete() {
		return
	}
	if j.done++; j.done < len(j.steps) {
		s.askReady(j)
	} else if !j.Kind.Kept { // a kept job ends once its last end is in the store
		s.finish(j, Answer{Kind: AnswerDone})
	}
}

// requeue asks for room for a task whose attempt has ended.
func (s *Submitter) requeue(sc *sidecar, j *job, o *marshaler.Outcome) {
	step, index := o.Run.Task()
	j.steps[step].tasks[index].state = taskQueued
	s.report(Event{
		Kind: "requeue", Job: j.ID, Queue: j.Queue.Name, Peer: sc.name, Detail: o.Status.String() + " " + o.Reason,
		Value: int64(o.Run.Index), Took: o.Ran,
	})
	s.ask(j, step, 1)
}
