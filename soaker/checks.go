package soaker

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// drainBound is the time after the acknowledgement that a backend server leaves from which it gets no starts.
	drainBound = 2 * time.Second
	// withdrawBound is the time after a withdrawal from which a failure domain gets no starts. It holds for processes that
	// reach the store, so a disturbed store is taken off.
	withdrawBound = 5 * time.Second
	// storeReturn is added to withdrawBound for each disturbance of the store or of processes that overlaps it.
	storeReturn = 7 * time.Second
	// stopBound is the time in which a process ends by itself after SIGTERM.
	stopBound     = 6 * time.Second
	maxViolations = 50
)

type (
	// checks collects what callers and backend servers see, and the promises that it breaks.
	checks struct {
		mu         sync.Mutex
		running    map[string]string // backend server that runs a task
		began      map[string]int    // runs that began, by job
		done       map[string]bool   // tasks that ended so
		failed     map[string]int    // ends that failed, by task
		draining   map[string]time.Time
		withdrawn  map[string]time.Time
		violations []string
		delays     []string
		jobs       int
		answers    map[string]int
		accepted   map[string]int // tasks of each accepted kept job
	}

	// attempt is what a caller got for one sending of a job.
	attempt struct {
		status int
		body   string
	}
)

func newChecks() *checks {
	return &checks{
		running: map[string]string{}, began: map[string]int{}, done: map[string]bool{}, failed: map[string]int{},
		draining: map[string]time.Time{}, withdrawn: map[string]time.Time{}, answers: map[string]int{},
		accepted: map[string]int{},
	}
}

func (c *checks) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(format, args...)
}

func (c *checks) add(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
	}
}

// onRun takes the start of a run, with an empty how, or its end.
func (c *checks) onRun(server, domain, task string, run uint64, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	switch how {
	case "":
	case "done":
		c.done[task] = true
		delete(c.running, task)
		return
	case "failed":
		c.failed[task]++
		delete(c.running, task)
		return
	default:
		delete(c.running, task)
		return
	}
	c.began[job]++
	if other := c.running[task]; other != "" {
		c.add("task %s, run %d starts on %s while it runs on %s", task, run, server, other)
	}
	c.running[task] = server
	if at := c.draining[server]; !at.IsZero() && time.Since(at) > drainBound {
		c.add("task %s starts on %s, %s after it was acknowledged that it leaves", task, server, time.Since(at))
	}
	if at := c.withdrawn[domain]; !at.IsZero() && time.Since(at) > withdrawBound+storeReturn {
		c.add("task %s starts in %s, %s after its withdrawal", task, domain, time.Since(at))
	}
}

func (c *checks) onDraining(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining[server].IsZero() {
		c.draining[server] = time.Now()
	}
}

func (c *checks) onReturned(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.draining, server)
}

func (c *checks) onWithdrawn(domain string, out bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if out {
		c.withdrawn[domain] = time.Now()
	} else {
		delete(c.withdrawn, domain)
	}
}

// onAnswered takes all that a caller got for one job, in order.
func (c *checks) onAnswered(id string, tasks int, attempts []attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs++
	last := attempts[len(attempts)-1]
	c.answers[fmt.Sprintf("%d %s", last.status, last.body)]++
	rejected := true
	for _, a := range attempts {
		rejected = rejected && (a.status == 503 || a.status == 429)
	}
	if rejected && c.began[id] > 0 {
		c.add("job %s was refused as not run, but %d runs began", id, c.began[id])
	}
	if last.status != 200 {
		return
	}
	switch {
	case strings.Contains(last.body, "succeeded"):
		for i := range tasks {
			if !c.done[fmt.Sprintf("%s.0.0.%d", id, i)] {
				c.add("job %s is answered as succeeded, but its task %d never ended so", id, i)
			}
		}
	case strings.Contains(last.body, "failed"):
		most := 0
		for i := range tasks {
			most = max(most, c.failed[fmt.Sprintf("%s.0.0.%d", id, i)])
		}
		if most < 2 {
			c.add("job %s is answered as failed after %d failed runs of a task, want 2", id, most)
		}
	default:
		c.add("job %s got the answer %q", id, last.body)
	}
}

// onAccepted takes the acceptance of a kept job.
func (c *checks) onAccepted(id string, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs++
	c.answers["kept"]++
	c.accepted[id] = tasks
}

// acceptedJobs returns the accepted kept jobs in order.
func (c *checks) acceptedJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.accepted))
}

// onState returns what is wrong with the last state of an accepted kept job, or an empty text.
func (c *checks) onState(id, state string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == "failed" {
		return ""
	}
	if state != "succeeded" {
		return fmt.Sprintf("kept job %s was accepted, and its state is %q long after the last fault", id, state)
	}
	for i := range c.accepted[id] {
		if !c.done[fmt.Sprintf("%s.0.0.%d", id, i)] {
			return fmt.Sprintf("kept job %s is shown as succeeded, but its task %d never ended so", id, i)
		}
	}
	return ""
}

// starved notes a spell in which processes did not get the processor.
func (c *checks) starved(late time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delays = append(c.delays, late.String())
}

func (c *checks) report() *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Report{Jobs: c.jobs, Answers: c.answers, Violations: c.violations, Starved: c.delays}
}

// String formats the report for people.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d jobs, %d faults, %d violations, answers %v\n", r.Seed, r.Jobs, len(r.Faults), len(r.Violations), r.Answers)
	if len(r.Starved) > 0 {
		fmt.Fprintf(&b, "  the machine was starved: timers were late by up to %s\n", strings.Join(r.Starved, ", "))
	}
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "  VIOLATION %s\n", v)
	}
	if len(r.Violations) > 0 {
		for _, f := range r.Faults {
			fmt.Fprintf(&b, "  fault at %s\n", f)
		}
	}
	return b.String()
}
