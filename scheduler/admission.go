package scheduler

import (
	"fmt"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	defaultRunTime = timer.Millis(300)
	defaultMaxWait = 30 * timer.Second
	// observationsToTrust is the number of ends after which a kind's learnt run time goes before declared ones.
	observationsToTrust = 5
	// runTimeWeight is the weight of the newest observation in a kind's smoothed run time.
	runTimeWeight = 0.05
	// maxKinds bounds the learnt kinds; callers choose the names.
	maxKinds = 4096
)

type (
	// Admission is the answer to a job that asks to be queued. Code is 0 when the job is admitted.
	Admission struct {
		Code       encoder.FailureCode
		Reason     string
		RetryAfter timer.Millis
	}

	// estimates learns the usual run time of each kind of task.
	estimates struct{ kinds map[string]*kindEstimate }

	kindEstimate struct {
		mean  float64
		count int
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

// duration estimates how long a job runs when it starts at once.
func (s *Scheduler) duration(tasks []Task) timer.Millis {
	var longest, sum timer.Millis
	for i := range tasks {
		run := s.estimates.runTime(tasks[i].Kind, tasks[i].RunTime)
		longest = max(longest, run)
		sum += run
	}
	return max(longest, sum/timer.Millis(max(s.fleet.slots, 1)))
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

func (e *estimates) known(kind string) bool {
	k := e.kinds[kind]
	return k != nil && k.count >= observationsToTrust
}

// runTime returns the learnt run time of the kind, else the declared one, else a default.
func (e *estimates) runTime(kind string, declared timer.Millis) timer.Millis {
	if e.known(kind) {
		return max(timer.Millis(e.kinds[kind].mean), 1)
	}
	if declared > 0 {
		return declared
	}
	return defaultRunTime
}

func (e *estimates) observe(kind string, ran timer.Millis) {
	k := e.kinds[kind]
	if k == nil {
		if len(e.kinds) >= maxKinds {
			return
		}
		if e.kinds == nil {
			e.kinds = map[string]*kindEstimate{}
		}
		k = &kindEstimate{mean: float64(ran)}
		e.kinds[kind] = k
	}
	k.count++
	k.mean += runTimeWeight * (float64(ran) - k.mean)
}
