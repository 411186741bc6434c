package server

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/configurer"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const testToken = "0123456789abcdef"

func sendRequest(t *testing.T, s *Server, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	t.Helper()
	h, err := s.Handler()
	if err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// TestMalformedJobs guards against malformed submissions that reach Submit, or that are rejected without a reason, a
// place or the outcome "not run".
func TestMalformedJobs(t *testing.T) {
	validBody := `{"tasks":[{"kind":"k"}]}`
	bodyWithTask := func(task string) string { return `{"tasks":[{"kind":"k"},` + task + `]}` }
	tests := []struct {
		name, key, body string
		status          int
		place           string // of the first finding
	}{
		{"no key", "", validBody, 400, "Idempotency-Key"},
		{"long key", strings.Repeat("k", 201), validBody, 400, "Idempotency-Key"},
		{"key with slash", "a/b", validBody, 400, "Idempotency-Key"},
		{"key of dots", "..", validBody, 400, "Idempotency-Key"},
		{"key with line break", "a\x01b", validBody, 400, "Idempotency-Key"},
		{"empty body", "k", ``, 400, "body at byte 0"},
		{"no JSON", "k", `hello`, 400, "body at byte 1"},
		{"array", "k", `[]`, 400, "body"},
		{"null", "k", `null`, 400, "body"},
		{"cut off", "k", `{"tasks":[{"kind":"k"}`, 400, "body at byte 22"},
		{"trailing data", "k", validBody + `{}`, 400, "body at byte 25"},
		{"invalid UTF-8", "k", "{\"team\":\"\xff\"}", 400, "body"},
		{"unpaired surrogate", "k", bodyWithTask(`{"kind":"k","payload":"\ud800"}`), 400, "tasks[1].payload"},
		{"unknown field", "k", `{"tasks":[{"kind":"k"}],"dedline":1}`, 400, "dedline"},
		{"name in other case", "k", `{"Tasks":[{"kind":"k"}]}`, 400, "Tasks"},
		{"doubled field", "k", `{"tasks":[{"kind":"k"}],"once":true,"once":false}`, 400, "once"},
		{"no tasks", "k", `{}`, 400, "tasks"},
		{"empty tasks", "k", `{"tasks":[]}`, 400, "tasks"},
		{"tasks is an object", "k", `{"tasks":{"a":[{}]}}`, 400, "tasks"},
		{"too many tasks", "k", `{"tasks":[` + strings.Repeat(`{"kind":"k"},`, 1000) + `{"kind":"k"}]}`, 400, "tasks"},
		{"task is a number", "k", bodyWithTask(`7`), 400, "tasks[1]"},
		{"task without kind", "k", bodyWithTask(`{}`), 400, "tasks[1].kind"},
		{"kind with slash", "k", bodyWithTask(`{"kind":"../run"}`), 400, "tasks[1].kind"},
		{"long kind", "k", bodyWithTask(`{"kind":"` + strings.Repeat("k", 101) + `"}`), 400, "tasks[1].kind"},
		{"unknown field of a task", "k", bodyWithTask(`{"kind":"k","x":{"y":[1]}}`), 400, "tasks[1].x"},
		{"payload is an object", "k", bodyWithTask(`{"kind":"k","payload":{}}`), 400, "tasks[1].payload"},
		{"long payload", "k", bodyWithTask(`{"kind":"k","payload":"` + strings.Repeat("p", maxPayloadSize+1) + `"}`), 400, "tasks[1].payload"},
		{"bad base64", "k", bodyWithTask(`{"kind":"k","payloadBase64":"?"}`), 400, "tasks[1].payloadBase64"},
		{"two payloads", "k", bodyWithTask(`{"kind":"k","payload":"a","payloadBase64":"YQ=="}`), 400, "tasks[1]"},
		{"negative run time", "k", bodyWithTask(`{"kind":"k","runMs":-1}`), 400, "tasks[1].runMs"},
		{"fraction", "k", bodyWithTask(`{"kind":"k","runMs":1.5}`), 400, "tasks[1].runMs"},
		{"number as string", "k", bodyWithTask(`{"kind":"k","runMs":"1"}`), 400, "tasks[1].runMs"},
		{"null number", "k", bodyWithTask(`{"kind":"k","runMs":null}`), 400, "tasks[1].runMs"},
		{"large number", "k", bodyWithTask(`{"kind":"k","memoryMb":1e99}`), 400, "tasks[1].memoryMb"},
		{"no deadline left", "k", `{"tasks":[{"kind":"k"}],"deadlineMs":0}`, 400, "deadlineMs"},
		{"long wait", "k", `{"tasks":[{"kind":"k"}],"waitMs":60001}`, 400, "waitMs"},
		{"once is a number", "k", `{"tasks":[{"kind":"k"}],"once":1}`, 400, "once"},
		{"team with space", "k", `{"tasks":[{"kind":"k"}],"team":"a b"}`, 400, "team"},
		{"deep nesting", "k", `{"x":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`, 400, "body at byte 10005"},
		{"large body", "k", `{"x":"` + strings.Repeat("x", maxBodySize) + `"}`, 413, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := &Server{Submit: func(context.Context, encoder.Job) encoder.Answer {
				t.Error("Submit was called, want the job to be rejected before")
				return encoder.Answer{}
			}}
			w := sendRequest(t, s, "POST", "/v1/jobs", tc.body, "Idempotency-Key", tc.key)
			var got answerWire
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatalf("got body %q, want JSON: %v", w.Body, err)
			}
			if w.Code != tc.status || got.State != "failed" || got.Outcome != notRun || got.Reason == "" {
				t.Errorf("got %d %+v, want %d, not run, with a reason", w.Code, got, tc.status)
			}
			if tc.place != "" && (len(got.Findings) == 0 || got.Findings[0].Place != tc.place) {
				t.Errorf("got findings %v, want the first at %s", got.Findings, tc.place)
			}
		})
	}
}

// TestRejectMalformedHeaders guards against accepting a repeated Idempotency-Key, or a Content-Type other than JSON.
func TestRejectMalformedHeaders(t *testing.T) {
	for _, tc := range []struct {
		headers []string
		status  int
	}{
		{[]string{"Idempotency-Key", "a", "Idempotency-Key", "a"}, 400},
		{[]string{"Idempotency-Key", "a", "Content-Type", "text/plain"}, 415},
		{[]string{"Idempotency-Key", "a", "Content-Type", "application/json; charset"}, 415},
	} {
		w := sendRequest(t, &Server{}, "POST", "/v1/jobs", `{"tasks":[{"kind":"k"}]}`, tc.headers...)
		if w.Code != tc.status || !strings.Contains(w.Body.String(), `"outcome":"notRun"`) {
			t.Errorf("%q: got %d %s, want %d and not run", tc.headers, w.Code, w.Body, tc.status)
		}
	}
}

// deadlineRecorder is a response recorder that also records the read deadline set by the server.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

// TestReadDeadlineClearedAfterBody guards against the read timeout of the listener staying active after the body was
// read. It is shorter than the longest wait, so it would cancel the context of the request, and the caller would receive
// "running" too early.
func TestReadDeadlineClearedAfterBody(t *testing.T) {
	s := &Server{Submit: func(context.Context, encoder.Job) encoder.Answer { return encoder.Answer{State: encoder.JobRunning} }}
	h, err := s.Handler()
	if err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(`{"tasks":[{"kind":"k"}]}`))
	r.Header.Set("Idempotency-Key", "k")
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder(), deadline: time.Now()}
	h.ServeHTTP(w, r)
	if w.Code != 202 || !w.deadline.IsZero() {
		t.Errorf("got %d and read deadline %v, want 202 and none", w.Code, w.deadline)
	}
}

func TestSubmitRoundTrip(t *testing.T) {
	var got encoder.Job
	s := &Server{Submit: func(ctx context.Context, j encoder.Job) encoder.Answer {
		got = j
		if _, ok := ctx.Deadline(); !ok {
			t.Error("got a context without a deadline")
		}
		return encoder.Answer{Key: j.Key, State: encoder.JobComplete, Results: []encoder.TaskResult{{Body: []byte("<é>\n")}, {Body: []byte{0xff}}, {Body: []byte{0}}}}
	}}
	w := sendRequest(t, s, "POST", "/v1/jobs", `{"team":"t","deadlineMs":5,"once":true,"waitMs":9,"tasks":[
		{"kind":"k","payload":"\u00e9","runMs":50,"memoryMb":3},{"kind":"l","payloadBase64":"/w=="},{"kind":"m"}]}`,
		"Idempotency-Key", `"a.b"`, "Content-Type", "application/json; charset=utf-8")
	if got.Key != "a.b" || got.Team != "t" || got.Deadline != 5 || !got.Once || len(got.Tasks) != 3 ||
		string(got.Tasks[0].Payload) != "é" || got.Tasks[0].RunTime != 50 || got.Tasks[0].MemoryMB != 3 || string(got.Tasks[1].Payload) != "\xff" {
		t.Errorf("got job %+v", got)
	}
	a, err := DecodeAnswer(w.Body.Bytes())
	if err != nil || w.Code != 200 || len(a.Results) != 3 || string(a.Results[0].Body) != "<é>\n" ||
		string(a.Results[1].Body) != "\xff" || string(a.Results[2].Body) != "\x00" {
		t.Errorf("got %d %s, %v, want all results byte for byte", w.Code, w.Body, err)
	}
}

// TestAnswers guards against a status or an outcome that tells the caller that a job did not run although it may have.
func TestAnswers(t *testing.T) {
	failed := func(c encoder.FailureCode, o encoder.Outcome) encoder.Answer {
		return encoder.Answer{State: encoder.JobFailed, Code: c, Outcome: o, Reason: "r", RetryAfter: 1001}
	}
	tests := []struct {
		name    string
		answer  encoder.Answer
		status  int
		outcome string
		retry   string
	}{
		{"running", encoder.Answer{State: encoder.JobRunning}, 202, "", ""},
		{"complete", encoder.Answer{State: encoder.JobComplete, Results: make([]encoder.TaskResult, 1)}, 200, "", ""},
		{"complete without results", encoder.Answer{State: encoder.JobComplete}, 500, unknown, ""},
		{"no state", encoder.Answer{}, 500, unknown, ""},
		{"answer of another submission", encoder.Answer{Key: "other", State: encoder.JobRunning}, 500, unknown, ""},
		{"task failed", failed(encoder.CodeTaskFailed, encoder.OutcomeRan), 500, ran, ""},
		{"unknown", failed(encoder.CodeUnknown, encoder.OutcomeUnknown), 500, unknown, ""},
		{"outcome missing", failed(encoder.CodeOverload, 0), 500, unknown, ""},
		{"deadline", failed(encoder.CodeDeadline, encoder.OutcomeRan), 504, ran, ""},
		{"canceled", failed(encoder.CodeCanceled, encoder.OutcomeRan), 500, ran, ""},
		{"overload", failed(encoder.CodeOverload, encoder.OutcomeNotRun), 503, notRun, "2"},
		{"quota", failed(encoder.CodeQuota, encoder.OutcomeNotRun), 429, notRun, "2"},
		{"unavailable", failed(encoder.CodeUnavailable, encoder.OutcomeNotRun), 503, notRun, "2"},
		{"unavailable after a start", failed(encoder.CodeUnavailable, encoder.OutcomeUnknown), 500, unknown, ""},
		{"unplaceable", failed(encoder.CodeUnplaceable, encoder.OutcomeNotRun), 422, notRun, ""},
		{"conflict", failed(encoder.CodeConflict, encoder.OutcomeNotRun), 409, notRun, ""},
		{"invalid", failed(encoder.CodeInvalid, encoder.OutcomeNotRun), 400, notRun, ""},
		{"not found", failed(encoder.CodeNotFound, encoder.OutcomeNotRun), 404, notRun, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := &Server{Submit: func(context.Context, encoder.Job) encoder.Answer { return tc.answer }}
			w := sendRequest(t, s, "POST", "/v1/jobs", `{"tasks":[{"kind":"k"}]}`, "Idempotency-Key", "k")
			var got answerWire
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if w.Code != tc.status || got.Outcome != tc.outcome || got.Key != "k" || w.Header().Get("Retry-After") != tc.retry {
				t.Errorf("got %d %+v retry %q, want %d %q retry %q", w.Code, got, w.Header().Get("Retry-After"), tc.status, tc.outcome, tc.retry)
			}
		})
	}
}

func TestEndpoints(t *testing.T) {
	get := func(a encoder.Answer) func(context.Context, string) encoder.Answer {
		return func(context.Context, string) encoder.Answer { return a }
	}
	canceled := encoder.Answer{State: encoder.JobFailed, Code: encoder.CodeCanceled, Outcome: encoder.OutcomeNotRun}
	note := `{"added":[{"key":"domain/a","value":"out"}]}`
	serverWithPublication := func(p Publication, err error) *Server {
		return &Server{Publish: func(context.Context, configurer.Note, bool) (Publication, error) { return p, err }}
	}
	serverWithError := func(err error) *Server { return serverWithPublication(Publication{Accepted: true}, err) }
	tests := []struct {
		name, method, path, body string
		server                   *Server
		token                    string
		status                   int
		contains                 string
	}{
		{"get", "GET", "/v1/jobs/a", "", &Server{Get: get(encoder.Answer{State: encoder.JobRunning})}, "", 202, `"running"`},
		{"get malformed key", "GET", "/v1/jobs/a%20b", "", &Server{}, "", 400, notRun},
		{"cancel", "DELETE", "/v1/jobs/a", "", &Server{Cancel: get(canceled)}, "", 200, `"canceled"`},
		{"no such call", "GET", "/v1/job", "", &Server{}, "", 404, "no such call"},
		{"wrong method", "PUT", "/v1/jobs", "", &Server{}, "", 405, "method"},
		{"no submit", "POST", "/v1/jobs", `{"tasks":[{"kind":"k"}]}`, &Server{}, "", 503, notRun},
		{"description", "GET", "/v1/openapi.json", "", &Server{}, "", 200, `"openapi"`},
		{"ready", "GET", "/health", "", &Server{}, "", 200, "ready"},
		{"leaving", "GET", "/health", "", &Server{Ready: func() bool { return false }}, "", 503, "leaving"},
		{"no token", "GET", "/v1/status", "", &Server{}, "", 401, notRun},
		{"wrong token", "GET", "/metrics", "", &Server{}, "Bearer " + testToken + "0", 401, notRun},
		{"other scheme", "GET", "/v1/burn", "", &Server{}, "Basic " + testToken, 401, notRun},
		{"no status", "GET", "/v1/status", "", &Server{}, "Bearer " + testToken, 503, notRun},
		{"burn format", "GET", "/v1/burn?format=pdf", "", &Server{}, "Bearer " + testToken, 400, `"format"`},
		{"history limit", "GET", "/v1/notes?limit=0", "", &Server{}, "Bearer " + testToken, 400, `"limit"`},
		{"domain name", "POST", "/v1/domains/a%20b/withdraw", "", &Server{}, "Bearer " + testToken, 400, `"domain"`},
		{"published", "POST", "/v1/notes", note, serverWithError(nil), "Bearer " + testToken, 200, `"state":"accepted"`},
		{"recorded", "POST", "/v1/notes", note, serverWithPublication(Publication{Recorded: true}, nil), "Bearer " + testToken, 202, `"inForce":false`},
		{"provisional", "POST", "/v1/notes", note, serverWithPublication(Publication{Provisional: true}, nil), "Bearer " + testToken, 202, `"provisional"`},
		{"refused", "POST", "/v1/notes", note, serverWithPublication(Publication{Refused: true, Findings: []Finding{{"log", "down"}}}, nil), "Bearer " + testToken, 409, `"place":"log"`},
		{"outcome unknown", "POST", "/v1/notes", note, serverWithPublication(Publication{Unknown: true}, nil), "Bearer " + testToken, 500, `"outcome":"unknown"`},
		{"dry run", "POST", "/v1/notes?dryRun=x", note, serverWithError(nil), "Bearer " + testToken, 400, `"dryRun"`},
		{"note in conflict", "POST", "/v1/notes", note, serverWithError(trace.CompareFailed("newer")), "Bearer " + testToken, 409, notRun},
		{"note without answer", "POST", "/v1/notes", note, serverWithError(trace.ConnectionProblem(nil, "lost")), "Bearer " + testToken, 500, `"outcome":"unknown"`},
		{"empty note", "POST", "/v1/notes", `{}`, serverWithError(nil), "Bearer " + testToken, 400, "changes nothing"},
		{"doubled key", "POST", "/v1/notes", `{"added":[{"key":"domain/a","value":"out"}],"withdrawn":["domain/a"]}`, serverWithError(nil), "Bearer " + testToken, 400, `"withdrawn[0]"`},
		{"unknown field of a note", "POST", "/v1/notes", `{"add":[]}`, serverWithError(nil), "Bearer " + testToken, 400, `"add"`},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tc.server.Token = testToken
			w := sendRequest(t, tc.server, tc.method, tc.path, tc.body, "Authorization", tc.token, "Idempotency-Key", "k")
			if w.Code != tc.status || !strings.Contains(w.Body.String(), tc.contains) {
				t.Errorf("got %d %s, want %d with %s", w.Code, w.Body, tc.status, tc.contains)
			}
		})
	}
	// A server without a token must reject an empty one.
	if w := sendRequest(t, &Server{}, "GET", "/v1/status", "", "Authorization", "Bearer "); w.Code != 401 {
		t.Errorf("got %d without a token in the settings, want 401", w.Code)
	}
}

// TestShutdownWaits guards against a Shutdown that closes connections with requests in flight.
func TestShutdownWaits(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := &Server{Submit: func(_ context.Context, j encoder.Job) encoder.Answer {
		close(entered)
		<-release
		return encoder.Answer{Key: j.Key, State: encoder.JobComplete, Results: make([]encoder.TaskResult, 1)}
	}}
	h, err := s.Handler()
	if err != nil {
		t.Fatal(err)
	}
	l := &Listener{Handler: h}
	address, err := l.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served, answered, stopped := make(chan error, 1), make(chan error, 1), make(chan error, 1)
	go func() { served <- l.Serve() }()
	go func() {
		body, _ := EncodeJob(encoder.Job{Tasks: []encoder.JobTask{{Kind: "k"}}}, timer.Second)
		r, err := Client{URL: "http://" + address}.Submit(context.Background(), "k", body)
		if err == nil && r.Status != 200 {
			err = trace.Errorf("status %d", r.Status)
		}
		answered <- err
	}()
	<-entered
	go func() { stopped <- l.Shutdown(context.Background()) }()
	if err := <-served; err != nil { // Serve returns when Shutdown has closed the listener
		t.Error(err)
	}
	close(release)
	for _, c := range []chan error{answered, stopped} {
		if err := <-c; err != nil {
			t.Error(err)
		}
	}
}

func TestListenerLimits(t *testing.T) {
	for _, tc := range []struct {
		address          string
		allowNonLoopback bool
		allowed          bool
	}{{"127.0.0.1:0", false, true}, {"0.0.0.0:0", false, false}, {"[::]:0", false, false}, {"localhost:0", true, false}} {
		l := &Listener{AllowNonLoopback: tc.allowNonLoopback}
		_, err := l.Listen(context.Background(), tc.address)
		if (err == nil) != tc.allowed {
			t.Errorf("%s guarded %t: got %v, want success %t", tc.address, tc.allowNonLoopback, err, tc.allowed)
		}
		if err == nil {
			_ = l.listener.Close()
		}
	}
	h, err := (&Server{}).Handler()
	if err != nil {
		t.Fatal(err)
	}
	l := &Listener{Handler: h}
	address, err := l.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = l.Serve() }()
	defer func() { _ = l.Shutdown(context.Background()) }()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Minute)) // keeps a failing test from hanging
	_, _ = io.WriteString(c, "GET /health HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 64<<10)+"\r\n\r\n")
	statusLine := make([]byte, 12)
	if _, err := io.ReadFull(c, statusLine); err != nil || string(statusLine[9:]) != "431" {
		t.Errorf("got %q, %v for a header of 64 KiB, want status 431", statusLine, err)
	}
}

// TestOpenAPIDocument guards against operations in the OpenAPI document that the server does not implement.
func TestOpenAPIDocument(t *testing.T) {
	var d struct {
		Paths map[string]map[string]any `json:"paths"`
	}
	if err := json.Unmarshal(openAPIDocument, &d); err != nil {
		t.Fatal(err)
	}
	s := &Server{Token: testToken}
	for path, methods := range d.Paths {
		for method := range methods {
			path := strings.NewReplacer("{key}", "k", "{domain}", "d").Replace(path)
			w := sendRequest(t, s, strings.ToUpper(method), path, "")
			if w.Code == http.StatusNotFound || w.Code == http.StatusMethodNotAllowed {
				t.Errorf("got %d for %s %s", w.Code, method, path)
			}
		}
	}
}

// FuzzDecodeJob checks that any body is either rejected with findings or decoded into a job within the limits, that
// decoding does not panic, and that the job can be encoded and decoded again.
func FuzzDecodeJob(f *testing.F) {
	for _, seed := range []string{
		`{"team":"t","tasks":[{"kind":"k","payload":"p","runMs":5,"memoryMb":1}],"deadlineMs":9,"once":true,"waitMs":0}`,
		`{"tasks":[{"kind":"k","payloadBase64":"AA=="}]}`, `{"tasks":[{}]`, `[[[`, `{"a":{"b":[{}]}}`, `{"tasks":[{"kind":"\ud83d"}]}`, `null`, ``,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		req, findings := DecodeJob("k", []byte(body))
		if len(findings) > maxFindings {
			t.Fatalf("got %d findings, want at most %d", len(findings), maxFindings)
		}
		if len(findings) > 0 {
			return
		}
		if n := len(req.Job.Tasks); n < 1 || n > maxTasks || req.Wait < 0 || req.Wait > maxWait {
			t.Fatalf("got a job of %d tasks with wait %v", n, req.Wait)
		}
		encoded, err := EncodeJob(req.Job, req.Wait)
		if err != nil {
			t.Fatal(err)
		}
		if decoded, findings := DecodeJob("k", encoded); len(findings) > 0 || len(decoded.Job.Tasks) != len(req.Job.Tasks) {
			t.Fatalf("got %v when the job is encoded and decoded again", findings)
		}
	})
}

// TestStateMembersRoundTrip guards against a state in which operators cannot distinguish disabled membership from
// membership that knows no other process.
func TestStateMembersRoundTrip(t *testing.T) {
	one := MemberState{Role: "entry", ID: "e1", Incarnation: 7, Address: "127.0.0.1:1", State: "suspect"}
	for _, want := range [][]MemberState{nil, {}, {one}} {
		body, err := EncodeState(State{Members: want})
		if err != nil || strings.Contains(string(body), `"members":`) != (want != nil) {
			t.Errorf("got %s, %v, want members %v", body, err, want)
		}
		if got, err := DecodeState(body); err != nil || !slices.Equal(got.Members, want) {
			t.Errorf("got %+v, %v, want %+v", got.Members, err, want)
		}
	}
}
