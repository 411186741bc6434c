package starter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/emulator"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/messenger"
	"github.com/crocuslb/crocuslb/timer"
)

// fakeEntry is an entry that is alone in its roster. It answers pings and passes all other messages to the test.
type fakeEntry struct {
	node     messenger.Node
	roster   atomic.Pointer[encoder.Roster]
	sessions chan *messenger.Session
	messages chan encoder.Message
}

func newFakeEntry(t *testing.T) *fakeEntry {
	f := &fakeEntry{sessions: make(chan *messenger.Session, 8), messages: make(chan encoder.Message, 64)}
	member := encoder.Member{ID: "e", Incarnation: 1}
	f.node.Accept = func(*encoder.Hello) (encoder.HelloAck, error) {
		return encoder.HelloAck{Member: member, Roster: *f.roster.Load()}, nil
	}
	f.node.OnConnect = func(s *messenger.Session) { f.sessions <- s }
	f.node.OnMessage = func(s *messenger.Session, m encoder.Message) {
		if p, ok := m.(*encoder.Ping); ok {
			s.Send(validPong(p.Sequence, *f.roster.Load()))
			return
		}
		f.messages <- m
	}
	f.node.IdleTimeout = timer.Minute
	address, err := f.node.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.roster.Store(&encoder.Roster{Epoch: 1, Entries: []encoder.RosterEntry{{Member: member, Address: address}}})
	return f
}

// next returns the next message of type M and drops the others.
func next[M any](f *fakeEntry) M {
	for {
		if m, ok := (<-f.messages).(M); ok {
			return m
		}
	}
}

// TestSidecar checks the path from a Start on a session to the backend server and back, and the drain.
func TestSidecar(t *testing.T) {
	f := newFakeEntry(t)
	var backend emulator.Backend
	base, err := backend.Serve(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Sidecar{ID: "s1", Domain: "d1", Backend: base, Entries: []string{f.roster.Load().Entries[0].Address}}
	// The clock is stopped and the timeouts are long, so that no lease, session or health check expires on a loaded
	// machine.
	s.Clock.NowFunc = func() timer.Millis { return timer.Minute }
	s.node.IdleTimeout = timer.Minute
	u, _ := url.Parse(base)
	s.health = newHealthChecker(u)
	s.health.client.Timeout = 0
	runErr := make(chan error, 1)
	ctx, stop := context.WithCancel(t.Context())
	go func() { runErr <- s.Run(ctx) }()
	session := <-f.sessions
	if got := next[*encoder.Grant](f).Credits; got != 8 {
		t.Errorf("credits: got %d, want 8", got)
	}
	for i, tt := range []struct{ payload, want string }{
		{`{"echo":"hello"}`, "1 hello"}, {`{"fail":true}`, "2 "}, {`{"echo":"hello"}`, "3 "}, {strings.Repeat("x", MaxBody+1), "2 "},
	} {
		backend.SetTruncateResponses(i == 2)
		key := encoder.TaskKey{Job: "job", Index: uint32(i)}
		for range 2 { // the second start must get the same answer without running the task again
			session.Send(&encoder.Start{
				Task: key, Epoch: 1, Owner: encoder.Member{ID: "e", Incarnation: 1}, Kind: "k", Payload: []byte(tt.payload),
			})
			m := next[*encoder.Result](f)
			if got := fmt.Sprintf("%d %s", m.Status, m.Body); got != tt.want || m.Task != key {
				t.Errorf("result of %v: got %q, want %q for %v", m.Task, got, tt.want, key)
			}
		}
		session.Send(&encoder.Collected{Tasks: []encoder.TaskKey{key}})
	}
	if got, want := fmt.Sprint(backend.Starts()), "map[job/0:1 job/1:1 job/2:1 job/3:1]"; got != want {
		t.Errorf("starts: got %s, want %s", got, want)
	}
	if err := s.Drain(t.Context()); err != nil {
		t.Errorf("drain: %v", err)
	}
	next[*encoder.Leaving](f)
	stop()
	if err := <-runErr; err != nil {
		t.Errorf("run: %v", err)
	}
}

// TestRunner checks the outcomes of requests to the backend server: "not started" is returned only if the backend
// server certainly did not start the task, and success only with the complete body.
func TestRunner(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	tests := []struct {
		name  string
		ctx   context.Context
		serve http.HandlerFunc // nil if the server refuses connections
		after timer.Millis     // Run.NotAfter, default 2000; the clock is at 1000
		want  encoder.Status
		hits  int32
	}{
		{name: "connection refused", want: encoder.StatusNotStarted},
		{name: "lease expired", serve: func(http.ResponseWriter, *http.Request) {}, after: 1000, want: encoder.StatusNotStarted},
		{name: "aborted response", serve: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			want: encoder.StatusUnknown, hits: 1},
		{name: "redirect", serve: func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/", http.StatusFound) },
			want: encoder.StatusFailed, hits: 1},
		{name: "not started by the backend server", serve: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(StartedHeader, "false")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, want: encoder.StatusNotStarted, hits: 1},
		{name: "unavailable without the header", serve: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, want: encoder.StatusFailed, hits: 1},
		{name: "no length", serve: func(w http.ResponseWriter, _ *http.Request) {
			conn, rw, _ := http.NewResponseController(w).Hijack()
			_, _ = rw.WriteString("HTTP/1.1 200 OK\r\n\r\npart")
			_ = rw.Flush()
			_ = conn.Close()
		}, want: encoder.StatusUnknown, hits: 1},
		{name: "canceled", ctx: canceled, serve: func(_ http.ResponseWriter, r *http.Request) {
			cancel()
			<-r.Context().Done()
		}, want: encoder.StatusUnknown, hits: 1},
	}
	for _, tt := range tests {
		var hits atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			hits.Add(1)
			_, _ = io.Copy(io.Discard, r.Body) // the server detects a disconnected client only after it has read the request
			tt.serve(w, r)
		}))
		base, _ := url.Parse(server.URL)
		if tt.serve == nil {
			server.Close()
		}
		if tt.ctx == nil {
			tt.ctx = t.Context()
		}
		r := newRunner(base, timer.Clock{NowFunc: func() timer.Millis { return 1000 }}, 0)
		got := r.run(tt.ctx, Run{Kind: "k", Payload: []byte("p"), NotAfter: orDefault(tt.after, 2000)})
		if got.Status != tt.want || hits.Load() != tt.hits {
			t.Errorf("%s: got %v after %d requests, want %v after %d", tt.name, got, hits.Load(), tt.want, tt.hits)
		}
		r.close()
		server.Close()
	}
}

// TestIdleConnections checks that a connection is not reused after maxIdleTime, because it may be unresponsive.
func TestIdleConnections(t *testing.T) {
	var conns atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	base, _ := url.Parse(server.URL)
	now := 1000 * timer.Millisecond
	r := newRunner(base, timer.Clock{NowFunc: func() timer.Millis { return now }}, 0)
	defer r.close()
	for _, tt := range []struct {
		pause timer.Millis
		want  int32
	}{{0, 1}, {maxIdleTime, 1}, {maxIdleTime + 1, 2}, {1, 2}} {
		now += tt.pause
		if o := r.run(t.Context(), Run{Kind: "k", NotAfter: 1 << 30}); o.Status != encoder.StatusDone {
			t.Fatalf("run: %s", o.Reason)
		}
		if got := conns.Load(); got != tt.want {
			t.Errorf("connections after a pause of %v: got %d, want %d", tt.pause, got, tt.want)
		}
	}
}

// TestHealth checks that a backend server is unhealthy while it is leaving or unresponsive, but not after a single
// timeout.
func TestHealth(t *testing.T) {
	var backend emulator.Backend
	server := httptest.NewServer(&backend)
	defer server.Close()
	base, _ := url.Parse(server.URL)
	h := newHealthChecker(base)
	for _, tt := range []struct {
		name                  string
		leaving, frozen, want bool
	}{
		{"healthy", false, false, true}, {"leaving", true, false, false}, {"back", false, false, true},
		{"one timeout", false, true, true}, {"two timeouts", false, true, false}, {"responsive again", false, false, true},
	} {
		backend.SetDraining(tt.leaving)
		backend.SetUnresponsive(tt.frozen)
		// A frozen backend server does not answer, so a short timeout suffices.
		h.client.Timeout = map[bool]time.Duration{true: time.Millisecond}[tt.frozen]
		if err := h.check(t.Context()); (err == nil) != tt.want {
			t.Errorf("%s: got error %v, want healthy %v", tt.name, err, tt.want)
		}
	}
}
