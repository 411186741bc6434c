// Package scheduler orders the queued tasks of an entry and places them on sidecars that granted credits. It is
// deterministic: it reads no clock and does no I/O. It is not safe for concurrent use.
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
		Kinds    []string     // kinds of task that it can run; empty for all
		Latency  timer.Millis // one-way delay from this entry
	}

	// Task is a queued task.
	Task struct {
		Key          encoder.TaskKey
		Team         string
		Kind         string
		MemoryMB     uint64
		RunTime      timer.Millis // declared by the caller, a hint; 0 if unknown
		Arrived      timer.Millis // arrival time of the job
		Deadline     timer.Millis // absolute time; 0 for none
		JobRemaining uint32       // unfinished tasks of the job
	}

	// Placement is the decision to start a task on a sidecar.
	Placement struct {
		Task    Task
		Sidecar string
	}

	// Scheduler holds the queue, the sidecars and their credits. The zero value is ready to use.
	Scheduler struct {
		// MaxWait is the longest expected wait in the queue at which jobs are still admitted. A job with a deadline may have
		// a lower limit. 0 means 30 s.
		MaxWait timer.Millis

		now       timer.Millis
		queue     queue
		fleet     fleet
		estimates estimates
		retries   retryBudget
	}
)

// SetSidecar adds a sidecar, or replaces its description and keeps its credits.
func (s *Scheduler) SetSidecar(d Sidecar) { s.fleet.set(d) }

// RemoveSidecar removes a sidecar and its credits.
func (s *Scheduler) RemoveSidecar(id string) { s.fleet.remove(id) }

// SetLeaving drops a sidecar's credits, so that it gets no more tasks.
func (s *Scheduler) SetLeaving(id string) {
	if sc := s.fleet.byID[id]; sc != nil {
		sc.leaving, sc.credits = true, 0
		s.fleet.update(sc)
	}
}

// SetDomain sets whether a failure domain is in force or withdrawn. Credits of a withdrawn domain are not spent. When a
// domain returns, each of its sidecars is on probation: it uses half of its slots until its first successful task.
func (s *Scheduler) SetDomain(domain string, inForce bool) { s.fleet.setDomain(domain, inForce) }

// SetTeam sets the fair-share weight of a team and the quota of its concurrently running tasks. A weight of 0 means 1, a
// quota of 0 means no limit.
func (s *Scheduler) SetTeam(name string, weight, quota uint32) { s.queue.setTeam(name, weight, quota) }

// AddCredits adds credits granted by a sidecar. Credits of unknown and leaving sidecars are ignored.
func (s *Scheduler) AddCredits(id string, credits uint32) {
	if sc := s.fleet.byID[id]; sc != nil && !sc.leaving {
		sc.credits += credits
		s.fleet.update(sc)
	}
}

// RevokeCredits removes up to the given number of unspent credits of a sidecar and returns how many it removed.
func (s *Scheduler) RevokeCredits(id string, credits uint32) uint32 {
	sc := s.fleet.byID[id]
	if sc == nil {
		return 0
	}
	taken := min(credits, sc.credits)
	sc.credits -= taken
	s.fleet.update(sc)
	return taken
}

// Push adds a task to the queue.
func (s *Scheduler) Push(t Task) {
	estimate := s.estimates.runTime(t.Kind, t.RunTime)
	s.queue.push(t, estimate, s.fleet.classOf(t.Kind, t.MemoryMB))
}

// QueueLen returns the number of queued tasks.
func (s *Scheduler) QueueLen() int { return s.queue.length }

// Next removes the next task that can be placed at now from the queue. ok is false if there is none.
func (s *Scheduler) Next(now timer.Millis) (p Placement, ok bool) {
	s.now = now
	if s.queue.length == 0 {
		return p, false
	}
	s.fleet.resumeSuspended(now)
	j, sc := s.queue.selectNext(&s.fleet, now, s.ExpectedWait())
	if sc == nil {
		return p, false
	}
	t := s.queue.pop(j)
	sc.credits--
	sc.running++
	sc.taskPlaced()
	s.fleet.update(sc)
	s.retries.refill()
	return Placement{Task: t, Sidecar: sc.ID}, true
}

// TaskFinished records the end of a placed task with its status and run time.
func (s *Scheduler) TaskFinished(id string, t Task, status encoder.Status, elapsed timer.Millis) {
	s.queue.taskEnded(t.Team)
	sc := s.fleet.byID[id]
	if sc != nil && sc.running > 0 {
		sc.running--
	}
	if status == encoder.StatusDone && elapsed > 0 {
		if sc != nil {
			sc.observeRunTime(s.now, elapsed, s.estimates.runTime(t.Kind, t.RunTime), s.estimates.known(t.Kind))
		}
		s.estimates.observe(t.Kind, elapsed)
	}
	if sc != nil {
		s.fleet.observeStatus(sc, s.now, status)
		s.fleet.update(sc)
	}
}

// ExpectedRunTime returns the longest run time to expect of a task: the declared run time, else the observed run time that one in
// eight tasks of the kind exceeds, else 0. With the mean, two in five tasks of a kind would count as slow.
func (s *Scheduler) ExpectedRunTime(kind string, declared timer.Millis) timer.Millis {
	if declared > 0 || !s.estimates.known(kind) {
		return declared
	}
	return s.estimates.longest(kind, 0, 1)
}

// TaskRefused records that the sidecar did not start a placed task. The caller pushes the task again if it may still run. A
// sidecar that cannot start any task at present is suspended, so that the task is not placed on it again at once.
func (s *Scheduler) TaskRefused(id string, t Task, reason encoder.RefusalReason) {
	s.queue.taskEnded(t.Team)
	backoff := s.retries.spend()
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
		s.fleet.suspend(sc, s.now+backoff)
	}
	s.fleet.update(sc)
}

// CancelJob removes the queued tasks of a job and returns them.
func (s *Scheduler) CancelJob(job string) []Task { return s.queue.cancelJob(job) }

// RemoveExpired removes the queued tasks of jobs whose deadline has passed at now and returns them.
func (s *Scheduler) RemoveExpired(now timer.Millis) []Task {
	s.now = now
	return s.queue.removeExpired(now)
}
