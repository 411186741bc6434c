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

// TestSoak runs a short seeded soak of the real programs. Seeds that ever showed a broken promise stay here, each with a
// line on its cause.
func TestSoak(t *testing.T) {
	directory := t.TempDir()
	if err := launcher.Build(t.Context(), directory); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		seed  uint64
		cause string
	}{
		{1, "an entry panicked on the end of a restartable job that a restarted sidecar offered for recording"},
		{103, "the check of planned stops counted the time in which the process was paused"},
		{234, "a killed process was started again before it had ended, so its listener was taken"},
		{218, "a session that opened before the first listing while the domain was withdrawn got no outcomes"},
		{201, "a placing entry dropped a request with a session that only its end saw break, and a kept job waited for ever"},
		{200, "the check of draining did not see that another fault had restarted the backend server"},
	}
	for _, c := range cases {
		t.Run(strconv.FormatUint(c.seed, 10), func(t *testing.T) {
			t.Parallel()
			logs := t.TempDir()
			r, err := Run(t.Context(), Plan{Logs: logs, Program: filepath.Join(directory, "platformnode"), Seed: c.seed, Length: 8 * time.Second, FaultEvery: 500 * time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Violations) > 0 {
				t.Errorf("seed %d (%s): got %d violations, want 0:\n%s\n%s", c.seed, c.cause, len(r.Violations), r, evidence(t, logs, r.Violations))
			}
		})
	}
}

// evidence returns the log lines of all processes that name a job of a violation.
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

// TestChecks guards against checks that see nothing: each case breaks one promise.
func TestChecks(t *testing.T) {
	const job = "00000000000000aa"
	cases := []struct {
		name   string
		events func(c *checks)
		broken bool
	}{
		{"sound", func(c *checks) {
			c.onRun("a", "d", job+".0.0.0", 1, "")
			c.onRun("a", "d", job+".0.0.0", 1, "done")
			c.onAnswered(job, 1, []attempt{{200, `{"State":"succeeded"}`}})
		}, false},
		{"two runs at once", func(c *checks) {
			c.onRun("a", "d", job+".0.0.0", 1, "")
			c.onRun("b", "d", job+".0.0.0", 2, "")
		}, true},
		{"run after the end of another one", func(c *checks) {
			c.onRun("a", "d", job+".0.0.0", 1, "")
			c.onRun("a", "d", job+".0.0.0", 1, "lapsed")
			c.onRun("b", "d", job+".0.0.0", 2, "")
		}, false},
		{"false refusal", func(c *checks) {
			c.onRun("a", "d", job+".0.0.0", 1, "")
			c.onAnswered(job, 1, []attempt{{503, ""}})
		}, true},
		{"refusal after no answer", func(c *checks) {
			c.onRun("a", "d", job+".0.0.0", 1, "")
			c.onAnswered(job, 1, []attempt{{0, ""}, {503, ""}})
		}, false},
		{"success without a task", func(c *checks) { c.onAnswered(job, 1, []attempt{{200, `{"State":"succeeded"}`}}) }, true},
		{"failure without failed runs", func(c *checks) { c.onAnswered(job, 1, []attempt{{200, `{"State":"failed"}`}}) }, true},
		{"start on a server that leaves", func(c *checks) {
			c.draining["a"] = time.Now().Add(-drainBound - time.Second)
			c.onRun("a", "d", job+".0.0.0", 1, "")
		}, true},
		{"start in a withdrawn domain", func(c *checks) {
			c.withdrawn["d"] = time.Now().Add(-withdrawBound - storeReturn - time.Second)
			c.onRun("a", "d", job+".0.0.0", 1, "")
		}, true},
	}
	for _, test := range cases {
		c := newChecks()
		test.events(c)
		if got := len(c.report().Violations) > 0; got != test.broken {
			t.Errorf("%s: got broken %v (%v), want %v", test.name, got, c.report().Violations, test.broken)
		}
	}
}
