package scheduler

import (
	"fmt"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	defaultMaxWait = 30 * timer.Second
	// waitMargin is the part of the expected wait that is added to it, because estimates are rough.
	waitMargin = 0.1
)

type (
	// Admission is the answer to a job that asks to be queued. Code is 0 when the job is admitted.
	Admission struct {
		Code       encoder.FailureCode
		Reason     string
		RetryAfter timer.Millis
	}
)

// Admit decides whether a job of the given tasks may be queued at now. A job is refused when no sidecar can ever hold one
// of its tasks, or when the queue is so long that its deadline would be missed.
func (s *Scheduler) Admit(now timer.Millis, tasks []Task) Admission {
	s.now = now
	if len(tasks) == 0 {
		return Admission{}
	}
	if a := s.placeable(tasks); a.Code != 0 {
		return a
	}
	wait := s.Wait()
	wait += timer.Millis(float64(wait) * waitMargin)
	if wait == 0 {
		return Admission{}
	}
	limit, deadline := s.MaxWait, tasks[0].Deadline
	if limit == 0 {
		limit = defaultMaxWait
	}
	if deadline != 0 {
		limit = min(limit, deadline-now-s.duration(tasks))
	}
	if wait <= limit {
		return Admission{}
	}
	return Admission{
		Code:       encoder.CodeOverload,
		Reason:     fmt.Sprintf("the expected wait of %v is longer than the %v that the job can wait", wait, max(limit, 0)),
		RetryAfter: max(wait-max(limit, 0), 100),
	}
}

// Wait returns the time until the queued work has been placed, from estimated run times and the slots in force.
func (s *Scheduler) Wait() timer.Millis {
	if s.fleet.slots == 0 {
		return 0
	}
	return s.queue.work / timer.Millis(s.fleet.slots)
}

// duration estimates how long a job runs when it starts at once. It allows for the longest of its tasks, because one
// long task among many is likely even when it is rare.
func (s *Scheduler) duration(tasks []Task) timer.Millis {
	var sum timer.Millis
	for i := range tasks {
		sum += s.estimates.runTime(tasks[i].Kind, tasks[i].RunTime)
	}
	longest := s.estimates.longest(tasks[0].Kind, tasks[0].RunTime, len(tasks))
	return longest + sum/timer.Millis(max(s.fleet.slots, 1))
}

// placeable refuses a job with a task that no sidecar in view can hold.
func (s *Scheduler) placeable(tasks []Task) Admission {
	if len(s.fleet.byID) == 0 {
		return Admission{Code: encoder.CodeUnavailable, Reason: "no sidecar is connected", RetryAfter: timer.Second}
	}
	var last *class
	for i := range tasks {
		c := s.fleet.classOf(tasks[i].Kind, tasks[i].MemoryMB)
		if c == last || s.fleet.holds(c) {
			last = c
			continue
		}
		return Admission{
			Code: encoder.CodeUnplaceable,
			Reason: fmt.Sprintf("no worker can run task %d (kind %q, %d MB)", tasks[i].Key.Index, tasks[i].Kind,
				tasks[i].MemoryMB),
		}
	}
	return Admission{}
}

// holds reports whether a sidecar in view fits the class. Sidecars that leave the fleet leave their shape behind.
func (f *fleet) holds(c *class) bool {
	for _, s := range c.shapes {
		if s.members > 0 {
			return true
		}
	}
	return false
}
