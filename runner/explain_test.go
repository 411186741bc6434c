package runner

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/platform/platformtest"
)

// TestExplain guards against explanations that the entries of a deployment do not give, and against questions that change
// what runs. The log has the output of each question.
func TestExplain(t *testing.T) {
	tc := newTestCluster(t, 2, 2)
	explain := func(entry int, args ...string) (int, string) {
		time.Sleep(150 * time.Millisecond) // the placing entry answers 10 questions per second
		var out strings.Builder
		args = append([]string{"explain", "-entry", tc.address(1+entry, 9464), "-queue", platformtest.Host + "/a/"}, args...)
		status := (&Program{Args: args, Stdin: strings.NewReader(`{"Steps":[{"Count":1},{"Count":100000}]}`), Stdout: &out, Stderr: &out}).Run(tc.ctx)
		t.Logf("$ platformnode %s\n%s(exit status %d)", strings.Join(args, " "), out.String(), status)
		return status, out.String()
	}
	check := func(what string, entry, want int, text string, args ...string) {
		t.Helper()
		if status, out := explain(entry, args...); status != want || !strings.Contains(out, text) {
			t.Errorf("%s at entry %d: got status %d and %s, want %d with %q", what, entry, status, out, want, text)
		}
	}
	tc.eventually("requests are refused", func() bool {
		status, _ := explain(0, "-cpu", "100000", "-runMs", "3000")
		return status == 3
	})
	started := tc.countStarts()
	for entry := range 2 {
		check("job that runs", entry, 0, "the job would run now", "-tasks", "3", "-runMs", "3000")
		check("job of 100,000 tasks", entry, 1, "too many", "-file", "-")
		check("no tasks", entry, 1, "no tasks", "-tasks", "0", "-runMs", "3000")
		check("too large", entry, 3, "no worker is large enough", "-cpu", "100000", "-runMs", "3000")
	}
	_, first := explain(0, "-runMs", "3000")
	_, second := explain(1, "-runMs", "3000")
	if got := strings.Count(first+second, " places tasks and decided"); got != 1 {
		t.Errorf("got %d of two entries that forwarded the question, want 1", got)
	}
	if got := tc.countStarts(); got != started {
		t.Errorf("got %d starts after the questions, want %d as before", got, started)
	}
	go func() { tc.post(tc.entryAddresses[0], "/a/", "0000000000000501", 16, "2000") }()
	tc.eventually("all processors are busy", func() bool { return tc.countStarts() == started+16 })
	check("job that waits", 0, 0, "the job would be admitted and wait", "-tasks", "2", "-runMs", "200", "-deadlineMs", "2500")
	go func() { tc.post(tc.entryAddresses[0], "/a/", "0000000000000502", 16, "2000") }()
	tc.eventually("a job waits", func() bool {
		_, waiting := tc.call(http.MethodGet, tc.entryAddresses[0], "/a/", "")
		return waiting == `{"Waiting":1}`
	})
	check("job that is refused", 1, 3, "step 0: refused: queue is too long", "-tasks", "2", "-runMs", "3000", "-deadlineMs", "2500")
}

// countStarts returns the number of runs that started on all backend servers.
func (tc *testCluster) countStarts() (n int) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, started := range tc.startedRuns {
		n += started
	}
	return n
}
