package soaker

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/launcher"
)

// TestSoak runs short soaks of the real programs with fixed seeds. Seeds that once showed a violation are kept, each
// with its cause.
func TestSoak(t *testing.T) {
	directory := t.TempDir()
	if err := launcher.Build(t.Context(), directory); err != nil {
		t.Fatal(err)
	}
	usual := Plan{Duration: 8 * time.Second, FaultInterval: 500 * time.Millisecond}
	shortage := Plan{CPUShortage: true, Duration: 12 * time.Second, FaultInterval: 700 * time.Millisecond, JobsPerSecond: 20}
	losses := Plan{
		CPUShortage: true, Duration: 14 * time.Second, FaultInterval: 900 * time.Millisecond, JobsPerSecond: 40,
		Faults: []string{"sidecars starved", "entry paused with callers reset while sidecars starved", "entry paused with callers reset"},
	}
	const orphan = "the runs of a lost entry went on for longer than 1.3 s: each gap in processor time restarted the sidecar's grace period, and starts of other entries extended the lease"
	firstDurable := usual
	firstDurable.FirstDurable = true
	cases := []struct {
		seed  uint64
		plan  Plan
		cause string
	}{
		{3, firstDurable, "entries denied accepted jobs, because they had not read yet that there are durable jobs"},
		{1, usual, "an entry panicked on the end of a restartable job that a restarted sidecar offered for recording"},
		{103, usual, "the check of planned stops counted time during which the process was paused"},
		{234, usual, "a killed process was started again before it had ended, so its port was in use"},
		{218, usual, "a session that opened before the first listing while the domain was withdrawn got no outcomes"},
		{201, usual, "a placing entry discarded a request together with a session that broke on its side only, and a durable job waited forever"},
		{200, usual, "the check of draining did not account for a restart of the backend server by another fault"},
		{1007, shortage, orphan},
		{1014, shortage, orphan},
		{3100, losses, orphan},
		{3101, losses, orphan},
		{3102, losses, orphan},
		{3106, losses, orphan},
		{3108, losses, orphan},
		{3109, losses, orphan},
		{3110, losses, orphan},
	}
	for _, c := range cases {
		t.Run(strconv.FormatUint(c.seed, 10), func(t *testing.T) {
			t.Parallel()
			logs := t.TempDir()
			plan := c.plan
			plan.LogDir, plan.Program, plan.Seed = logs, filepath.Join(directory, "platformnode"), c.seed
			r, err := Run(t.Context(), plan)
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Violations) > 0 {
				t.Errorf("seed %d (%s): got %d violations, want 0:\n%s\n%s", c.seed, c.cause, len(r.Violations), r, evidence(t, logs, r.Violations))
			}
		})
	}
}

// evidence returns the log lines of all processes that contain a job named in a violation.
func evidence(t *testing.T, logs string, violations []string) string {
	jobs := regexp.MustCompile("[0-9a-f]{16}").FindAllString(strings.Join(violations, " "), -1)
	paths, err := filepath.Glob(filepath.Join(logs, "*"))
	if err != nil {
		t.Fatal(err)
	}
	var lines strings.Builder
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			if slices.ContainsFunc(jobs, func(job string) bool { return strings.Contains(line, job) }) {
				lines.WriteString(filepath.Base(path) + " " + line)
			}
		}
	}
	return lines.String()
}

// TestViolationText guards against a violation of two runs at once that cannot be traced in the processes' logs.
func TestViolationText(t *testing.T) {
	const task = "00000000000000aa.0.0.0"
	c := newChecker()
	c.running[task] = startedRun{"a", "sidecar-1", 3, time.Now().Add(-1350 * time.Millisecond)}
	c.onRun("b", "sidecar-2", "d", task, 4, "")
	got := strings.Join(c.report().Violations, " ")
	want := regexp.MustCompile(`task ` + task + `: run 4 on b \(sidecar-2, started at [0-9:.]+\) while run 3 on a \(sidecar-1, started at [0-9:.]+\) had been running for 1\.3[5-9][0-9]*s`)
	if !want.MatchString(got) {
		t.Errorf("violation: got %q, want a match of %q", got, want)
	}
}

// checkCase is a sequence of observations, which may violate a guarantee.
type checkCase struct {
	name   string
	events func(c *checker)
	broken bool
}

// TestChecks guards against a checker that misses violations: each case that is marked as broken violates one
// guarantee.
func TestChecks(t *testing.T) {
	const job = "00000000000000aa"
	cases := []checkCase{
		{"sound", func(c *checker) {
			c.onRun("a", "s", "d", job+".0.0.0", 1, "")
			c.onRun("a", "s", "d", job+".0.0.0", 1, "done")
			c.onResponses(job, 1, []attempt{{200, `{"State":"succeeded"}`}})
		}, false},
		{"two runs at once", func(c *checker) {
			c.onRun("a", "s", "d", job+".0.0.0", 1, "")
			c.onRun("b", "s", "d", job+".0.0.0", 2, "")
		}, true},
		{"two runs at once after the end of a third one", func(c *checker) {
			c.running[job+".0.0.0"] = startedRun{server: "b", number: 2}
			c.onRun("a", "s", "d", job+".0.0.0", 1, "stopped")
			c.onRun("c", "s", "d", job+".0.0.0", 3, "")
		}, true},
		{"run after the end of another one", func(c *checker) {
			c.onRun("a", "s", "d", job+".0.0.0", 1, "")
			c.onRun("a", "s", "d", job+".0.0.0", 1, "lapsed")
			c.onRun("b", "s", "d", job+".0.0.0", 2, "")
		}, false},
		{"run for longer than until the job is resubmitted", func(c *checker) {
			c.onRun("a", "s", "d", job+".0.0.0", 1, "")
			c.running[job+".0.0.0"] = startedRun{server: "a", number: 1, at: time.Now().Add(-resendDelay - 2*time.Second)}
			c.departures[job] = []time.Time{time.Now().Add(-resendDelay - time.Second), time.Now()}
			c.onRun("a", "s", "d", job+".0.0.0", 1, "done")
		}, true},
		{"run that ends soon after its caller", func(c *checker) {
			c.onRun("a", "s", "d", job+".0.0.0", 1, "")
			c.onDeparted(job)
			c.onRun("a", "s", "d", job+".0.0.0", 1, "stopped")
		}, false},
		{"false refusal", func(c *checker) {
			c.onRun("a", "s", "d", job+".0.0.0", 1, "")
			c.onResponses(job, 1, []attempt{{503, ""}})
		}, true},
		{"refusal after no answer", func(c *checker) {
			c.onRun("a", "s", "d", job+".0.0.0", 1, "")
			c.onResponses(job, 1, []attempt{{0, ""}, {503, ""}})
		}, false},
		{"success without a task", func(c *checker) { c.onResponses(job, 1, []attempt{{200, `{"State":"succeeded"}`}}) }, true},
		{"failure without failed runs", func(c *checker) { c.onResponses(job, 1, []attempt{{200, `{"State":"failed"}`}}) }, true},
		{"start on a server that leaves", func(c *checker) {
			c.draining["a"] = time.Now().Add(-drainStartLimit - time.Second)
			c.onRun("a", "s", "d", job+".0.0.0", 1, "")
		}, true},
		{"start in a withdrawn domain", func(c *checker) {
			c.withdrawn["d"] = time.Now().Add(-withdrawalStartLimit - storeFaultAllowance - time.Second)
			c.onRun("a", "s", "d", job+".0.0.0", 1, "")
		}, true},
	}
	const task = job + ".0.0.0"
	run := func(c *checker, server, task string, number uint64, outcomes ...string) {
		for _, outcome := range append([]string{""}, outcomes...) {
			c.onRun(server, "s", "d", task, number, outcome)
		}
	}
	for _, test := range append(cases, []checkCase{
		{"start after an acknowledged success", func(c *checker) {
			c.onSubmitted(job, durableJob{})
			run(c, "a", task, 1, "done")
			c.onForgotten(task, "done", time.Now().Add(-time.Second))
			run(c, "b", task, 2)
		}, true},
		{"success acknowledged after the next start", func(c *checker) {
			c.onSubmitted(job, durableJob{})
			run(c, "a", task, 1, "done")
			run(c, "b", task, 2)
			c.onForgotten(task, "done", time.Now().Add(-time.Second))
		}, true},
		{"start below the limit of failures", func(c *checker) {
			c.onSubmitted(job, durableJob{})
			c.onForgotten(task, "failed", time.Now().Add(-time.Second))
			run(c, "b", task, 2)
		}, false},
		{"start at the limit of failures", func(c *checker) {
			c.onSubmitted(job, durableJob{})
			c.onForgotten(task, "failed", time.Now().Add(-time.Second))
			c.onForgotten(task, "failed", time.Now().Add(-time.Second))
			run(c, "b", task, 3)
		}, true},
		{"too many tasks of a step on one server", func(c *checker) {
			c.onSubmitted(job, durableJob{serverTaskLimit: 1})
			run(c, "a", task, 1)
			run(c, "a", job+".0.0.1", 1)
		}, true},
		{"tasks of a step on two servers", func(c *checker) {
			c.onSubmitted(job, durableJob{serverTaskLimit: 1})
			run(c, "a", task, 1)
			run(c, "b", job+".0.0.1", 1)
		}, false},
		{"second step before the first one", func(c *checker) {
			c.onSubmitted(job, durableJob{tasks: 2, nextTasks: 1})
			run(c, "a", task, 1, "done")
			run(c, "a", job+".0.1.0", 1)
		}, true},
		{"second step after the first one", func(c *checker) {
			c.onSubmitted(job, durableJob{tasks: 1, nextTasks: 1})
			run(c, "a", task, 1, "done")
			run(c, "a", job+".0.1.0", 1)
		}, false},
		{"start long after the cancellation", func(c *checker) {
			c.onSubmitted(job, durableJob{})
			c.durable.cancelledAt[job] = time.Now().Add(-cancelStartLimit - storeFaultAllowance - time.Second)
			run(c, "a", task, 1)
		}, true},
	}...) {
		c := newChecker()
		test.events(c)
		if got := len(c.report().Violations) > 0; got != test.broken {
			t.Errorf("%s: got broken %v (%v), want %v", test.name, got, c.report().Violations, test.broken)
		}
	}
}
