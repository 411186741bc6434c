package runner

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	logs "github.com/apex/log/handlers/memory"

	"github.com/crocuslb/crocuslb/connector"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/submitter"
	"github.com/crocuslb/crocuslb/timer"
)

func newMonitor() (*monitor, *logs.Handler) {
	h := logs.New()
	return &monitor{logger: &log.Logger{Handler: h, Level: log.InfoLevel}}, h
}

func (m *monitor) metricsText() string {
	w := httptest.NewRecorder()
	m.metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

// TestLoopPanics guards against a panic in one event that ends the process or prevents later events, and against a
// process that keeps running without timeouts because every tick panics.
func TestLoopPanics(t *testing.T) {
	m, _ := newMonitor()
	l := newEventLoop()
	l.onPanic = func(err error) { m.reportPanic("loop", err) }
	l.flush = func(timer.Millis) {}
	var ticks, badTicks atomic.Int64
	l.tick = func(timer.Millis) {
		if ticks.Add(1) <= badTicks.Load() {
			panic("tick")
		}
	}
	badTicks.Store(maxFailedTicks - 1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- l.run(ctx) }()
	l.post(ctx, func(timer.Millis) { panic("event") })
	after := make(chan struct{})
	l.post(ctx, func(timer.Millis) { close(after) })
	<-after
	for ticks.Load() < maxFailedTicks {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("got %v after %d failed ticks and a successful one, want no error", err, maxFailedTicks-1)
	}
	if got, want := m.metricsText(), `crocuslb_panics_total{from="loop"} 40`; !strings.Contains(got, want) {
		t.Errorf("got metrics %q, want %q", got, want)
	}
	badTicks.Store(1 << 30)
	l = newEventLoop()
	l.flush, l.tick = func(timer.Millis) {}, func(timer.Millis) { panic("tick") }
	if err := l.run(t.Context()); err == nil {
		t.Error("got no error with ticks that always panic, want one")
	}
}

// TestMessagePanics guards against a panic while handling a message that ends the process or the sessions of other
// senders.
func TestMessagePanics(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	m, logged := newMonitor()
	l := newEventLoop()
	l.flush, l.tick = func(timer.Millis) {}, func(timer.Millis) {}
	go func() { _ = l.run(ctx) }() // its ticks do not panic
	var handled, lost atomic.Int64
	s := sessionHandler{
		loop: l, directory: &entryDirectory{}, onPanic: m.reportPanic,
		onUp:   func(timer.Millis, *marshaler.Link) {},
		onDown: func(timer.Millis, *marshaler.Link, error) { lost.Add(1) },
		onMessage: func(_ timer.Millis, _ *marshaler.Link, m marshaler.Message) {
			if _, bad := m.(*marshaler.CancelResourceRequest); bad {
				panic("injected")
			}
			handled.Add(1)
		},
	}
	a := connector.Node{Hello: func() marshaler.Hello { return marshaler.Hello{Role: marshaler.RoleEntry, Name: "a"} }}
	s.attach(ctx, &a)
	address, err := a.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dial := func(name string, send marshaler.Message) *connector.Node {
		n := &connector.Node{Hello: func() marshaler.Hello { return marshaler.Hello{Role: marshaler.RoleEntry, Name: name} }}
		n.OnConnect = func(c *connector.Session) { c.Send(send) }
		n.OnMessage = func(*connector.Session, []marshaler.Message) {}
		n.OnDisconnect = func(*connector.Session, error) {}
		n.Connect(ctx, address)
		return n
	}
	bad := dial("bad", &marshaler.CancelResourceRequest{Job: "x"})
	for lost.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	good := dial("good", &marshaler.Heartbeat{Offset: 1})
	for handled.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	for _, n := range []*connector.Node{&a, bad, good} {
		n.Wait()
	}
	if got, want := m.metricsText(), `crocuslb_panics_total{from="bad"}`; !strings.Contains(got, want) {
		t.Errorf("got metrics %q, want %q", got, want)
	}
	if len(logged.Entries) == 0 || !strings.Contains(logged.Entries[0].Fields.Get("error").(string), "injected") {
		t.Errorf("got log %v, want the cause of the panic", logged.Entries)
	}
}

// TestCallerPanics guards against a caller that waits forever, or is told that nothing ran, when handling its request
// panics.
func TestCallerPanics(t *testing.T) {
	m, _ := newMonitor()
	e := Entry{loop: newEventLoop()}
	e.monitor.logger = m.logger
	e.loop.flush, e.loop.tick = func(timer.Millis) {}, func(timer.Millis) {}
	go func() { _ = e.loop.run(t.Context()) }() // its ticks do not panic
	e.core.Report = func(v submitter.Event) {
		if v.Kind == "refuse" {
			panic("injected")
		}
	}
	a := e.submit(t.Context(), submitter.Job{ID: "0123456789abcdef"}, nil)
	if a.Kind != submitter.AnswerAborted {
		t.Errorf("got answer %v, want %v", a.Kind, submitter.AnswerAborted)
	}
	if e.query(t.Context(), func(timer.Millis) bool { panic("injected") }) {
		t.Error("got true from a query that panicked, want false")
	}
}

// TestSubmitPanics guards against a job that goes on after its caller was told that it ended, because the submission
// panicked when the core had the job already. The caller sends it again.
func TestSubmitPanics(t *testing.T) {
	m, _ := newMonitor()
	e := Entry{loop: newEventLoop()}
	e.monitor.logger = m.logger
	e.loop.flush, e.loop.tick = func(timer.Millis) {}, func(timer.Millis) {}
	go func() { _ = e.loop.run(t.Context()) }() // its ticks do not panic
	e.core.Report = func(v submitter.Event) {
		if v.Kind == "attach" {
			panic("injected")
		}
	}
	job := submitter.Job{ID: "0123456789abcdef", Steps: testSteps()}
	first := make(chan submitter.Answer, 1)
	go func() { first <- e.submit(t.Context(), job, nil) }()
	active := func() (n int) {
		e.query(t.Context(), func(timer.Millis) bool { n = e.core.ActiveJobs(); return true })
		return n
	}
	for active() == 0 {
		time.Sleep(time.Millisecond)
	}
	if a := e.submit(t.Context(), job, nil); a.Kind != submitter.AnswerAborted {
		t.Errorf("got answer %v, want %v", a.Kind, submitter.AnswerAborted)
	}
	if got := active(); got != 0 {
		t.Fatalf("got %d active jobs after the panic, want 0", got)
	}
	if a := <-first; a.Kind != submitter.AnswerAborted {
		t.Errorf("got answer %v to the first caller, want %v", a.Kind, submitter.AnswerAborted)
	}
}

// TestRequestPanics guards against an HTTP request whose handler panics and ends the process.
func TestRequestPanics(t *testing.T) {
	m, _ := newMonitor()
	h := m.recoverPanics(endpoint{address: "here", handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("injected") })})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("x")))
	if w.Code != http.StatusInternalServerError {
		t.Errorf("got status %d, want %d", w.Code, http.StatusInternalServerError)
	}
	if got, want := m.metricsText(), `crocuslb_panics_total{from="http here"} 1`; !strings.Contains(got, want) {
		t.Errorf("got metrics %q, want %q", got, want)
	}
}
