package soaker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// drainStartLimit is the time after the acknowledgement of a drain from which the backend server must get no
	// starts.
	drainStartLimit = 2 * time.Second
	// withdrawalStartLimit is the time after a withdrawal from which the failure domain must get no starts. It applies
	// to processes that can reach the store, so storeFaultAllowance is added to it.
	withdrawalStartLimit = 5 * time.Second
	// storeFaultAllowance covers faults of the store or of processes that overlap the withdrawal.
	storeFaultAllowance = 7 * time.Second
	// stopTimeout is the time within which a process must exit after SIGTERM.
	stopTimeout   = 6 * time.Second
	maxViolations = 50
)

type (
	// checker records what callers and backend servers observe and the violations of the guarantees.
	checker struct {
		mu          sync.Mutex
		running     map[string]startedRun // by task
		startedRuns map[string]int        // number of started runs by job
		succeeded   map[string]bool       // tasks that have succeeded
		failedRuns  map[string]int        // number of failed runs by task
		draining    map[string]time.Time
		withdrawn   map[string]time.Time
		violations  []string
		events      eventLog
		departures  map[string][]time.Time // when callers' calls without a response ended, by restartable job, in order
		// longestOrphan is the longest time for which a run went on after its caller's call had ended without a response.
		longestOrphan time.Duration
		timerDelays   []string
		jobs          int
		responses     map[string]int
		accepted      map[string]bool // durable jobs
		durable       durableChecks
	}

	// startedRun is a run that a backend server has started.
	startedRun struct {
		server, sidecar string
		number          uint64
		at              time.Time
	}

	// attempt is the outcome of one submission of a job.
	attempt struct {
		status int
		body   string
	}
)

func newChecker() *checker {
	return &checker{
		running: map[string]startedRun{}, startedRuns: map[string]int{}, succeeded: map[string]bool{}, failedRuns: map[string]int{},
		draining: map[string]time.Time{}, withdrawn: map[string]time.Time{}, responses: map[string]int{},
		accepted: map[string]bool{}, departures: map[string][]time.Time{}, durable: newDurableChecks(),
	}
}

func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

func (c *checker) addViolationLocked(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
	}
}

// String names the run with its start time.
func (r startedRun) String() string {
	return fmt.Sprintf("run %d on %s (%s, started at %s)", r.number, r.server, r.sidecar, r.at.UTC().Format("15:04:05.000"))
}

// onRun records the start of a run, for which outcome is empty, or its end.
func (c *checker) onRun(server, sidecar, domain, task string, run uint64, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	started := startedRun{server, sidecar, run, time.Now()}
	c.events.add("%s, task %s, run %d: %s", server, task, run, cmp.Or(outcome, "started"))
	if outcome != "" {
		c.onEndLocked(job, task, started, outcome)
		return
	}
	c.startedRuns[job]++
	c.onDurableStartLocked(job, task, started)
	if other, running := c.running[task]; running {
		c.addViolationLocked("task %s: %s while %s had been running for %s", task, started, other, started.at.Sub(other.at).Round(time.Millisecond))
	}
	c.running[task] = started
	if at := c.draining[server]; !at.IsZero() && time.Since(at) > drainStartLimit {
		c.addViolationLocked("task %s started on %s, %s after its drain was acknowledged", task, server, time.Since(at))
	}
	if at := c.withdrawn[domain]; !at.IsZero() && time.Since(at) > withdrawalStartLimit+storeFaultAllowance {
		c.addViolationLocked("task %s started in %s, %s after the domain was withdrawn", task, domain, time.Since(at))
	}
}

// onEndLocked records the end of a run at ended.at.
func (c *checker) onEndLocked(job, task string, ended startedRun, outcome string) {
	switch outcome {
	case "done":
		c.succeeded[task] = true
	case "failed":
		c.failedRuns[task]++
	}
	if r := c.running[task]; r.server == ended.server && r.number == ended.number { // not another run at the same time
		c.checkOrphanLocked(job, task, ended.at)
		delete(c.running, task)
	}
}

// checkOrphanLocked checks that a run that has ended at a time did not outlast its caller's connection until the caller
// could resubmit the job. The second run may be late for other reasons, so two runs at once show only some of the cases.
func (c *checker) checkOrphanLocked(job, task string, at time.Time) {
	r := c.running[task]
	i := slices.IndexFunc(c.departures[job], r.at.Before)
	if r.at.IsZero() || i < 0 {
		return
	}
	orphaned := at.Sub(c.departures[job][i])
	c.longestOrphan = max(c.longestOrphan, orphaned)
	if orphaned > resendDelay {
		c.addViolationLocked("task %s: %s went on for %s after its caller's connection had ended", task, r, orphaned.Round(time.Millisecond))
	}
}

// onDeparted records that a call for a restartable job ended without a response.
func (c *checker) onDeparted(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departures[job] = append(c.departures[job], time.Now())
}

func (c *checker) onDraining(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining[server].IsZero() {
		c.draining[server] = time.Now()
	}
}

func (c *checker) onRestarted(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.draining, server)
}

func (c *checker) onWithdrawn(domain string, withdrawn bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if withdrawn {
		c.withdrawn[domain] = time.Now()
	} else {
		delete(c.withdrawn, domain)
	}
}

// onResponses checks the outcomes of all submissions of one job, in order.
func (c *checker) onResponses(id string, tasks int, attempts []attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs++
	last := attempts[len(attempts)-1]
	c.responses[fmt.Sprintf("%d %s", last.status, last.body)]++
	rejected := true
	for _, a := range attempts {
		rejected = rejected && (a.status == 503 || a.status == 429)
	}
	if rejected && c.startedRuns[id] > 0 {
		c.addViolationLocked("job %s was rejected as not run, but %d runs had started", id, c.startedRuns[id])
	}
	if last.status != 200 {
		return
	}
	switch {
	case strings.Contains(last.body, "succeeded"):
		for i := range tasks {
			if !c.succeeded[fmt.Sprintf("%s.0.0.%d", id, i)] {
				c.addViolationLocked("job %s was reported as succeeded, but its task %d did not succeed", id, i)
			}
		}
	case strings.Contains(last.body, "failed"):
		maxFailedRuns := 0
		for i := range tasks {
			maxFailedRuns = max(maxFailedRuns, c.failedRuns[fmt.Sprintf("%s.0.0.%d", id, i)])
		}
		if maxFailedRuns < 2 {
			c.addViolationLocked("job %s was reported as failed after %d failed runs of a task, want 2", id, maxFailedRuns)
		}
	default:
		c.addViolationLocked("job %s got the unexpected response %q", id, last.body)
	}
}

// onAccepted records the acceptance of a durable job.
func (c *checker) onAccepted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs++
	c.responses["kept"]++
	c.accepted[id] = true
}

// acceptedJobs returns the sorted identifiers of the accepted durable jobs.
func (c *checker) acceptedJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.accepted))
}

// checkState returns the violation that the last state of an accepted durable job shows, or an empty string.
func (c *checker) checkState(id, state string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == "failed" || state == "cancelled" && c.durable.cancelRequested[id] {
		return ""
	}
	if state == "succeeded" && c.durable.jobs[id].fails {
		return fmt.Sprintf("durable job %s was reported as succeeded, but all its runs fail", id)
	}
	if state != "succeeded" {
		return fmt.Sprintf("durable job %s was accepted, but did not end after the last fault: state %q", id, state)
	}
	for _, task := range c.durable.jobs[id].taskNames(id) {
		if !c.succeeded[task] {
			return fmt.Sprintf("durable job %s was reported as succeeded, but its task %s did not succeed", id, task)
		}
	}
	return ""
}

// addTimerDelay records a timer delay that shows that processes did not get CPU time.
func (c *checker) addTimerDelay(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timerDelays = append(c.timerDelays, delay.String())
}

func (c *checker) report() *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Report{Jobs: c.jobs, Answers: c.responses, Violations: c.violations, LongestOrphan: c.longestOrphan, TimerDelays: c.timerDelays}
}

// String formats the report as text.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d jobs, %d faults, %d violations, answers %v\n", r.Seed, r.Jobs, len(r.Faults), len(r.Violations), r.Answers)
	fmt.Fprintf(&b, "  runs went on for up to %s after their caller's connection had ended\n", r.LongestOrphan.Round(time.Millisecond))
	if len(r.TimerDelays) > 0 {
		fmt.Fprintf(&b, "  the machine was overloaded: timers fired late by up to %s\n", strings.Join(r.TimerDelays, ", "))
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
