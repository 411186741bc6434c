package scheduler

import (
	"fmt"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	defaultMaxWait = 30 * timer.Second
	// waitMargin is the fraction by which the expected wait is increased, because run-time estimates are rough.
	waitMargin = 0.1
)

type (
	// Admission is the result of admission control for a job. Code is 0 if the job is admitted.
	Admission struct {
		Code       encoder.FailureCode
		Reason     string
		RetryAfter timer.Millis
	}
)

// Admit decides whether a job of the given tasks may be queued at now. A job is refused if no sidecar can run one of its
// tasks, or if the queue is so long that the job would miss its deadline or wait longer than MaxWait.
func (s *Scheduler) Admit(now timer.Millis, tasks []Task) Admission {
	s.now = now
	if len(tasks) == 0 {
		return Admission{}
	}
	if a := s.checkPlaceable(tasks); a.Code != 0 {
		return a
	}
	wait := s.ExpectedWait()
	wait += timer.Millis(float64(wait) * waitMargin)
	if wait == 0 {
		return Admission{}
	}
	limit, deadline := s.MaxWait, tasks[0].Deadline
	if limit == 0 {
		limit = defaultMaxWait
	}
	if deadline != 0 {
		limit = min(limit, deadline-now-s.estimateDuration(tasks))
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

// ExpectedWait returns the expected time until all queued tasks are placed, from the estimated run times and the slots of failure
// domains that are not withdrawn.
func (s *Scheduler) ExpectedWait() timer.Millis {
	if s.fleet.activeSlots == 0 {
		return 0
	}
	return s.queue.queuedWork / timer.Millis(s.fleet.activeSlots)
}

// estimateDuration estimates how long a job runs if it starts immediately. It includes the longest of its tasks, because
// a job of many tasks is likely to have one even if long tasks are rare.
func (s *Scheduler) estimateDuration(tasks []Task) timer.Millis {
	var sum timer.Millis
	for i := range tasks {
		sum += s.estimates.runTime(tasks[i].Kind, tasks[i].RunTime)
	}
	longest := s.estimates.longest(tasks[0].Kind, tasks[0].RunTime, len(tasks))
	return longest + sum/timer.Millis(max(s.fleet.activeSlots, 1))
}

// checkPlaceable refuses a job with a task that no connected sidecar can run.
func (s *Scheduler) checkPlaceable(tasks []Task) Admission {
	if len(s.fleet.byID) == 0 {
		return Admission{Code: encoder.CodeUnavailable, Reason: "no sidecar is connected", RetryAfter: timer.Second}
	}
	var last *taskClass
	for i := range tasks {
		c := s.fleet.classOf(tasks[i].Kind, tasks[i].MemoryMB)
		if c == last || s.fleet.canRun(c) {
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

// canRun reports whether a connected sidecar fits the class. Shapes stay when their last sidecar is removed, so the sidecars
// of each shape are counted.
func (f *fleet) canRun(c *taskClass) bool {
	for _, s := range c.shapes {
		if s.sidecarCount > 0 {
			return true
		}
	}
	return false
}
