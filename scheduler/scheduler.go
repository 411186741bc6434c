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

	// Admission is the answer to a job that asks to be queued. Code is 0 when the job is admitted.
	Admission struct {
		Code       encoder.FailureCode
		Reason     string
		RetryAfter timer.Millis
	}

	// Scheduler holds the queue, the sidecars and their credits. The zero value is ready to use.
	Scheduler struct {
		queue     []Task
		sidecars  map[string]*sidecar
		order     []*sidecar
		withdrawn map[string]bool
	}

	sidecar struct {
		Sidecar
		credits uint32
		running uint32
		leaving bool
	}
)

// SetSidecar adds a sidecar or replaces its description; its credits are kept.
func (s *Scheduler) SetSidecar(d Sidecar) {
	if s.sidecars == nil {
		s.sidecars = map[string]*sidecar{}
	}
	if old, ok := s.sidecars[d.ID]; ok {
		old.Sidecar, old.leaving = d, false
		return
	}
	sc := &sidecar{Sidecar: d}
	s.sidecars[d.ID] = sc
	s.order = append(s.order, sc)
}

// RemoveSidecar forgets a sidecar and its credits.
func (s *Scheduler) RemoveSidecar(id string) {
	delete(s.sidecars, id)
	for i, sc := range s.order {
		if sc.ID == id {
			s.order = append(s.order[:i], s.order[i+1:]...)
			return
		}
	}
}

// SetLeaving makes a sidecar's credits void; it gets nothing new.
func (s *Scheduler) SetLeaving(id string) {
	if sc, ok := s.sidecars[id]; ok {
		sc.leaving, sc.credits = true, 0
	}
}

// SetDomain says whether a failure domain is in force. Credits of a withdrawn domain are not spent.
func (s *Scheduler) SetDomain(domain string, inForce bool) {
	if s.withdrawn == nil {
		s.withdrawn = map[string]bool{}
	}
	s.withdrawn[domain] = !inForce
}

// Grant adds credits of a sidecar.
func (s *Scheduler) Grant(id string, credits uint32) {
	if sc, ok := s.sidecars[id]; ok && !sc.leaving {
		sc.credits += credits
	}
}

// Recall takes back up to the given number of unspent credits and returns how many it took.
func (s *Scheduler) Recall(id string, credits uint32) uint32 {
	sc, ok := s.sidecars[id]
	if !ok {
		return 0
	}
	taken := min(credits, sc.credits)
	sc.credits -= taken
	return taken
}

// Admit decides whether a job of the given tasks may be queued at now.
func (s *Scheduler) Admit(_ timer.Millis, _ []Task) Admission { return Admission{} }

// Push queues a task.
func (s *Scheduler) Push(t Task) { s.queue = append(s.queue, t) }

// Queued returns the number of queued tasks.
func (s *Scheduler) Queued() int { return len(s.queue) }

// Next takes the next task that can be placed at now out of the queue. ok is false when there is none.
func (s *Scheduler) Next(_ timer.Millis) (p Placement, ok bool) {
	if len(s.queue) == 0 {
		return p, false
	}
	var best *sidecar
	for _, sc := range s.order {
		if sc.credits == 0 || s.withdrawn[sc.Domain] {
			continue
		}
		if best == nil || sc.running*best.Slots < best.running*sc.Slots ||
			sc.running*best.Slots == best.running*sc.Slots && sc.Distance < best.Distance {
			best = sc
		}
	}
	if best == nil {
		return p, false
	}
	best.credits--
	best.running++
	p = Placement{Task: s.queue[0], Sidecar: best.ID}
	s.queue = s.queue[1:]
	return p, true
}

// Finished reports the end of a placed task with its status and run time.
func (s *Scheduler) Finished(id string, _ Task, _ encoder.Status, _ timer.Millis) {
	if sc, ok := s.sidecars[id]; ok && sc.running > 0 {
		sc.running--
	}
}

// Refused reports that the sidecar did not start a placed task. The caller pushes the task again if it may run.
func (s *Scheduler) Refused(id string, _ Task, _ encoder.RefusalReason) {
	if sc, ok := s.sidecars[id]; ok && sc.running > 0 {
		sc.running--
	}
}

// CancelJob drops the queued tasks of a job and returns them.
func (s *Scheduler) CancelJob(job string) []Task {
	var dropped []Task
	kept := s.queue[:0]
	for _, t := range s.queue {
		if t.Key.Job == job {
			dropped = append(dropped, t)
		} else {
			kept = append(kept, t)
		}
	}
	s.queue = kept
	return dropped
}

// Expired drops queued tasks whose deadline has passed at now and returns them.
func (s *Scheduler) Expired(now timer.Millis) []Task {
	var dropped []Task
	kept := s.queue[:0]
	for _, t := range s.queue {
		if t.Deadline != 0 && t.Deadline <= now {
			dropped = append(dropped, t)
		} else {
			kept = append(kept, t)
		}
	}
	s.queue = kept
	return dropped
}
