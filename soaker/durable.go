package soaker

import (
	"fmt"
	"strings"
	"time"
)

const (
	// attemptLimit is the number of failed runs of a task after which it must not be started again.
	attemptLimit = 2
	// cancelStartLimit is the time after an acknowledged cancellation from which no task of the job must start, at processes
	// that can reach the store, so storeFaultAllowance is added to it.
	cancelStartLimit = 3 * time.Second
)

// durableChecks records what matters for the guarantees of durable jobs: which ends backend servers have forgotten, starts
// before and after them, and cancellations.
type durableChecks struct {
	jobs            map[string]durableJob
	starts          map[string][]time.Time // by task
	successes       map[string]time.Time   // of the tasks whose success was acknowledged
	failures        map[string][]time.Time // that were acknowledged, by task
	cancelRequested map[string]bool
	cancelledAt     map[string]time.Time // when the cancellation was acknowledged
}

// durableJob is what the callers have chosen for a durable job.
type durableJob struct {
	tasks           int
	nextTasks       int  // of a second step, which waits for the first one; 0 for none
	serverTaskLimit int  // 0 for none
	fails           bool // all runs of its tasks fail
}

// stepTasks returns the names of the tasks of a step.
func stepTasks(id string, step, tasks int) (names []string) {
	for i := range tasks {
		names = append(names, fmt.Sprintf("%s.0.%d.%d", id, step, i))
	}
	return names
}

// taskNames returns the names of all tasks of the job.
func (j durableJob) taskNames(id string) []string {
	return append(stepTasks(id, 0, j.tasks), stepTasks(id, 1, j.nextTasks)...)
}

func newDurableChecks() durableChecks {
	return durableChecks{
		jobs: map[string]durableJob{}, starts: map[string][]time.Time{}, successes: map[string]time.Time{}, failures: map[string][]time.Time{},
		cancelRequested: map[string]bool{}, cancelledAt: map[string]time.Time{},
	}
}

// onSubmitted records the submission of a durable job.
func (c *checker) onSubmitted(id string, j durableJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.durable.jobs[id] = j
}

// onCancelRequested records that a caller cancels a durable job.
func (c *checker) onCancelRequested(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.durable.cancelRequested[id] = true
}

// onCancelled records an acknowledged cancellation.
func (c *checker) onCancelled(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.durable.cancelledAt[id] = time.Now()
}

// onDurableStartLocked checks the start of a task of a durable job.
func (c *checker) onDurableStartLocked(job, task string, r startedRun) {
	d, ok := c.durable.jobs[job]
	if !ok {
		return
	}
	if at, ok := c.durable.successes[task]; ok && r.at.After(at) {
		c.addViolationLocked("task %s: %s after its success at %s was acknowledged", task, r, at.UTC().Format("15:04:05.000"))
	}
	if at, ok := c.durable.cancelledAt[job]; ok && r.at.Sub(at) > cancelStartLimit+storeFaultAllowance {
		c.addViolationLocked("task %s: %s, %s after its job was cancelled", task, r, r.at.Sub(at).Round(time.Millisecond))
	}
	c.durable.starts[task] = append(c.durable.starts[task], r.at)
	c.checkFailuresLocked(task)
	c.checkOrderLocked(job, task)
	beside, step := 0, task[:strings.LastIndex(task, ".")+1]
	for other, running := range c.running {
		if strings.HasPrefix(other, step) && other != task && running.server == r.server {
			beside++
		}
	}
	if d.serverTaskLimit > 0 && beside >= d.serverTaskLimit {
		c.addViolationLocked("task %s: %s beside %d other tasks of its step, want at most %d", task, r, beside, d.serverTaskLimit-1)
	}
}

// checkOrderLocked checks that a task of the second step starts only after all tasks of the first one have succeeded.
func (c *checker) checkOrderLocked(job, task string) {
	if !strings.HasPrefix(task, job+".0.1.") {
		return
	}
	for _, before := range stepTasks(job, 0, c.durable.jobs[job].tasks) {
		if !c.succeeded[before] {
			c.addViolationLocked("task %s starts before task %s has succeeded", task, before)
		}
	}
}

// onForgotten checks an end that was acknowledged to a backend server and counts.
func (c *checker) onForgotten(task, outcome string, ended time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	if _, ok := c.durable.jobs[job]; !ok {
		return
	}
	c.events.add("task %s: the end %s at %s is acknowledged", task, outcome, ended.UTC().Format("15:04:05.000"))
	if outcome == "failed" {
		c.durable.failures[task] = append(c.durable.failures[task], ended)
		c.checkFailuresLocked(task)
		return
	}
	c.durable.successes[task] = ended
	for _, at := range c.durable.starts[task] {
		if at.After(ended) {
			c.addViolationLocked("task %s: its success at %s was acknowledged, but it was started again at %s", task, ended.UTC().Format("15:04:05.000"), at.UTC().Format("15:04:05.000"))
		}
	}
}

// checkFailuresLocked checks that no start of a task followed as many acknowledged failures as its queue allows.
func (c *checker) checkFailuresLocked(task string) {
	for _, at := range c.durable.starts[task] {
		before := 0
		for _, ended := range c.durable.failures[task] {
			if ended.Before(at) {
				before++
			}
		}
		if before >= attemptLimit {
			c.addViolationLocked("task %s: started at %s after %d acknowledged failures, want fewer than %d", task, at.UTC().Format("15:04:05.000"), before, attemptLimit)
		}
	}
}
