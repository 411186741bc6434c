package explainer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/submitter"
)

// testServer returns a server that answers every job with e.
func testServer(version uint64, e submitter.Explanation, ok bool) *Server {
	s := router.Snapshot{}.WithConfiguration(version, []router.Queue{{Name: "q", Host: "jobs", URLPrefix: "/a/", Service: "svc"}}, nil, router.Limits{})
	return NewServer(func() *router.Snapshot { return &s }, func(*http.Request, submitter.Job) (submitter.Explanation, bool) { return e, ok })
}

func explained(v marshaler.Verdict) submitter.Explanation {
	return submitter.Explanation{
		Queue: "q", Service: "svc", Asked: marshaler.View{Entry: "entry-1", Version: 3, Offset: 4, NewestOffset: 9}, Placing: marshaler.View{Entry: "entry-0", Pause: 600},
		Steps: []marshaler.StepExplanation{{Tasks: 2, Verdict: v, Reason: "queue is too long"}},
	}
}

// TestServer guards against bad input without a clear error, and against answers that hide a failure.
func TestServer(t *testing.T) {
	runs := testServer(1, explained(marshaler.VerdictRuns), true)
	cases := []struct {
		name, method, target, body string
		server                     *Server
		status                     int
		answer                     string
	}{
		{"by name", "POST", "/explain?queue=q", `{}`, runs, 200, `"verdict":"runs"`},
		{"by host and path", "POST", "/explain?queue=jobs/a/x", `{}`, runs, 200, `"verdict":"runs"`},
		{"unknown queue", "POST", "/explain?queue=z", `{}`, runs, 404, "the queues are q"},
		{"no queue", "POST", "/explain", `{}`, runs, 404, "the queues are q"},
		{"other method", "GET", "/explain?queue=q", ``, runs, 405, "POST"},
		{"garbage", "POST", "/explain?queue=q", "\x00\xff{", runs, 400, "job: invalid character"},
		{"empty", "POST", "/explain?queue=q", "", runs, 400, "unexpected end"},
		{"oversized", "POST", "/explain?queue=q", strings.Repeat(" ", maxQuestionBytes+1), runs, 413, "65536 bytes"},
		{"invalid job", "POST", "/explain?queue=q", `{}`, testServer(1, submitter.Explanation{Answer: submitter.Answer{Kind: submitter.AnswerMalformed, Reason: "no tasks"}}, true), 400, "no tasks"},
		{"no configuration", "POST", "/explain?queue=q", `{}`, testServer(0, submitter.Explanation{}, true), 503, "no configuration"},
		{"no answer", "POST", "/explain?queue=q", `{}`, testServer(1, submitter.Explanation{}, false), 504, "too busy"},
		{"old placing entry", "POST", "/explain?queue=q", `{}`, testServer(1, submitter.Explanation{Failure: "did not answer"}, true), 504, "did not answer"},
		{"too many tasks for the workers", "POST", "/explain?queue=q", `{}`, testServer(1, submitter.Explanation{Failure: submitter.FailureSize}, true), 422, "too many tasks"},
		{"rate of the placing entry", "POST", "/explain?queue=q", `{}`, testServer(1, submitter.Explanation{Failure: submitter.FailureRate}, true), 429, "10 questions"},
	}
	for _, c := range cases {
		w := httptest.NewRecorder()
		c.server.ServeHTTP(w, httptest.NewRequest(c.method, c.target, strings.NewReader(c.body)))
		if w.Code != c.status || !strings.Contains(w.Body.String(), c.answer) {
			t.Errorf("%s: got %d %s, want %d with %q", c.name, w.Code, w.Body, c.status, c.answer)
		}
	}
}

// TestRate guards against more questions than the bound, which would take the event loop's time.
func TestRate(t *testing.T) {
	s := testServer(1, explained(marshaler.VerdictRuns), true)
	got := map[int]int{}
	for range 50 {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/explain?queue=q", strings.NewReader(`{}`)))
		got[w.Code]++
	}
	if got[http.StatusOK] < questionsPerSecond || got[http.StatusOK] > questionsPerSecond+2 || got[http.StatusTooManyRequests] != 50-got[http.StatusOK] {
		t.Errorf("got %v, want %d answers and the others refused with 429", got, questionsPerSecond)
	}
}

// TestCommand guards against wrong exit statuses, which scripts rely on, and against output that lacks the warnings about
// old data.
func TestCommand(t *testing.T) {
	serve := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	runs, waits := serve(testServer(1, explained(marshaler.VerdictRuns), true)), serve(testServer(1, explained(marshaler.VerdictWaits), true))
	refused := serve(testServer(1, explained(marshaler.VerdictRefused), true))
	metrics := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("crocuslb_events_total 1\n")) }))
	job := []string{"-queue", "q", "-runMs", "80ms"}
	cases := []struct {
		name, stdin string
		args        []string
		status      int
		output      string
	}{
		{"runs", "", append([]string{"-entry", runs}, job...), 0, "the job would run now"},
		{"waits", "", append([]string{"-entry", waits}, job...), 0, "the job would be admitted and wait"},
		{"refused", "", append([]string{"-entry", refused}, job...), 3, "step 0: refused: queue is too long"},
		{"JSON", "", append([]string{"-entry", refused, "-json"}, job...), 3, `"forwarded":true`},
		{"warning of an old configuration", "", append([]string{"-entry", runs}, job...), 0, "entry-1 is behind: another entry has the configuration of offset 9"},
		{"warning of a pause", "", append([]string{"-entry", runs}, job...), 0, "entry-0 was paused for 600 ms"},
		{"standard input", `{}`, []string{"-entry", runs, "-queue", "q", "-file", "-"}, 0, "the job would run now"},
		{"garbage", `{"Steps`, []string{"-entry", runs, "-queue", "q", "-file", "-"}, 1, "status 400: job: unexpected end"},
		{"oversized", strings.Repeat(" ", maxQuestionBytes+1), []string{"-entry", runs, "-queue", "q", "-file", "-"}, 1, "the job exceeds 65536 bytes"},
		{"no such file", "", []string{"-entry", runs, "-queue", "q", "-file", "/none"}, 1, "/none"},
		{"file and flags", "", []string{"-entry", runs, "-queue", "q", "-file", "-", "-tasks", "3"}, 1, "-tasks: contradicts -file"},
		{"no run time", "", []string{"-entry", runs, "-queue", "q"}, 1, "-runMs: the run time"},
		{"unknown flag and no entry", "", []string{"-queue", "q", "-x", "1", "-runMs", "1"}, 1, "-x: unknown flag"},
		{"positional argument", "", append([]string{"-entry", runs, "job.json"}, job...), 1, "job.json: is not a flag"},
		{"no listener", "", append([]string{"-entry", "127.0.0.1:1"}, job...), 1, "127.0.0.1:1 does not answer"},
		{"not an entry", "", append([]string{"-entry", metrics}, job...), 1, "not an explanation"},
		{"help", "", []string{"-help"}, 0, "thousandths of a core"},
	}
	for _, c := range cases {
		var out strings.Builder
		status := (&Command{Args: c.args, Stdin: strings.NewReader(c.stdin), Stdout: &out, Stderr: &out}).Run(t.Context())
		if status != c.status || !strings.Contains(out.String(), c.output) {
			t.Errorf("%s: got status %d and %q, want %d with %q", c.name, status, out.String(), c.status, c.output)
		}
	}
}
