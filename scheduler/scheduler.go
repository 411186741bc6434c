// Package scheduler orders an entry's queued tasks and places them on sidecars that granted credits. It is pure: it has
// no clock and no I/O, and one goroutine calls it.
package scheduler

import (
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

type (
	// Sidecar describes a sidecar as the scheduler sees it.
	Sidecar struct {
		ID       string
		Domain   string
		Slots    uint32
		MemoryMB uint64
		Kinds    []string     // kinds of task that it runs; empty for all
		Distance timer.Millis // one-way delay from this entry
	}

	// Task is a queued task.
	Task struct {
		Key      encoder.TaskKey
		Team     string
		Kind     string
		MemoryMB uint64
		RunTime  timer.Millis // declared run time, a hint; 0 when unknown
		Arrived  timer.Millis // arrival of the job
		Deadline timer.Millis // point in time; 0 for none
		JobLeft  uint32       // tasks of the job that have not ended
	}

	// Placement is the decision to start a task on a sidecar.
	Placement struct {
		Task    Task
		Sidecar string
	}

	// Scheduler holds the queue, the sidecars and their credits. The zero value is ready to use.
	Scheduler struct {
		// MaxWait is the longest expected wait in the queue with which a job without a deadline is admitted;
		// 0 means 30 s.
		MaxWait timer.Millis

		now       timer.Millis
		queue     queue
		fleet     fleet
		estimates estimates
		retries   retryBudget
	}
)

// SetSidecar adds a sidecar or replaces its description; its credits are kept.
func (s *Scheduler) SetSidecar(d Sidecar) { s.fleet.set(d) }

// RemoveSidecar forgets a sidecar and its credits.
func (s *Scheduler) RemoveSidecar(id string) { s.fleet.remove(id) }

// SetLeaving makes a sidecar's credits void; it gets nothing new.
func (s *Scheduler) SetLeaving(id string) {
	if sc := s.fleet.byID[id]; sc != nil {
		sc.leaving, sc.credits = true, 0
		s.fleet.update(sc)
	}
}

// SetDomain says whether a failure domain is in force. Credits of a withdrawn domain are not spent. The sidecars of a
// domain that returns are on probation: they use half of their slots until the first success.
func (s *Scheduler) SetDomain(domain string, inForce bool) { s.fleet.setDomain(domain, inForce) }

// SetTeam sets a team's share and the number of its tasks that may run at a time. A weight of 0 means 1, a quota of 0
// means no limit.
func (s *Scheduler) SetTeam(name string, weight, quota uint32) { s.queue.setTeam(name, weight, quota) }

// Grant adds credits of a sidecar.
func (s *Scheduler) Grant(id string, credits uint32) {
	if sc := s.fleet.byID[id]; sc != nil && !sc.leaving {
		sc.credits += credits
		s.fleet.update(sc)
	}
}

// Recall takes back up to the given number of unspent credits and returns how many it took.
func (s *Scheduler) Recall(id string, credits uint32) uint32 {
	sc := s.fleet.byID[id]
	if sc == nil {
		return 0
	}
	taken := min(credits, sc.credits)
	sc.credits -= taken
	s.fleet.update(sc)
	return taken
}

// Push queues a task.
func (s *Scheduler) Push(t Task) {
	run := s.estimates.runTime(t.Kind, t.RunTime)
	s.queue.push(t, run, s.fleet.classOf(t.Kind, t.MemoryMB))
}

// Queued returns the number of queued tasks.
func (s *Scheduler) Queued() int { return s.queue.length }

// Next takes the next task that can be placed at now out of the queue. ok is false when there is none.
func (s *Scheduler) Next(now timer.Millis) (p Placement, ok bool) {
	s.now = now
	if s.queue.length == 0 {
		return p, false
	}
	s.fleet.releaseHeld(now)
	j, sc := s.queue.best(&s.fleet, now, s.Wait())
	if sc == nil {
		return p, false
	}
	t := s.queue.pop(j)
	sc.credits--
	sc.running++
	sc.placed()
	s.fleet.update(sc)
	s.retries.earn()
	return Placement{Task: t, Sidecar: sc.ID}, true
}

// Finished reports the end of a placed task with its status and run time.
func (s *Scheduler) Finished(id string, t Task, status encoder.Status, ran timer.Millis) {
	s.queue.ended(t.Team)
	sc := s.fleet.byID[id]
	if sc != nil && sc.running > 0 {
		sc.running--
	}
	if status == encoder.StatusDone && ran > 0 {
		if sc != nil {
			sc.observeSpeed(s.now, ran, s.estimates.runTime(t.Kind, t.RunTime), s.estimates.known(t.Kind))
		}
		s.estimates.observe(t.Kind, ran)
	}
	if sc != nil {
		s.fleet.observeStatus(sc, s.now, status)
		s.fleet.update(sc)
	}
}

// Expected returns the longest run time that is expected of a task: the declared one, else the learnt one that one in
// eight tasks of the kind exceeds, else 0. The mean would make two in five tasks of a kind look slow.
func (s *Scheduler) Expected(kind string, declared timer.Millis) timer.Millis {
	if declared > 0 || !s.estimates.known(kind) {
		return declared
	}
	return s.estimates.longest(kind, 0, 1)
}

// Refused reports that the sidecar did not start a placed task. The caller pushes the task again if it may run. A
// sidecar that cannot start anything at present is left out for a while, so that the task does not come back to it.
func (s *Scheduler) Refused(id string, t Task, reason encoder.RefusalReason) {
	s.queue.ended(t.Team)
	hold := s.retries.spend()
	sc := s.fleet.byID[id]
	if sc == nil {
		return
	}
	if sc.running > 0 {
		sc.running--
	}
	switch reason {
	case encoder.RefusalLeaseExpired, encoder.RefusalDomainWithdrawn, encoder.RefusalLeaving,
		encoder.RefusalNotAnnounced, encoder.RefusalNoSlot:
		s.fleet.hold(sc, s.now+hold)
	}
	s.fleet.update(sc)
}

// CancelJob drops the queued tasks of a job and returns them.
func (s *Scheduler) CancelJob(job string) []Task { return s.queue.cancel(job) }

// Expired drops queued tasks whose deadline has passed at now and returns them.
func (s *Scheduler) Expired(now timer.Millis) []Task {
	s.now = now
	return s.queue.expired(now)
}
