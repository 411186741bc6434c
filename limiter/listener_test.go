package limiter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// testServer is an HTTP server behind a Listener.
type testServer struct {
	t       *testing.T
	budget  *Budget
	address string

	mu     sync.Mutex
	events map[Event]int
}

func newTestServer(t *testing.T, l *Listener, handler http.HandlerFunc) *testServer {
	s := &testServer{t: t, budget: l.Budget, events: map[Event]int{}}
	inner, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Listener, l.Port, l.Report = inner, "test", s.report
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	l.Configure(server, func(c net.Conn) *Conn {
		conn, _ := c.(*Conn)
		return conn
	})
	go func() { _ = server.Serve(l) }() // returns when the test closes the server
	t.Cleanup(func() { _ = server.Close() })
	s.address = inner.Addr().String()
	return s
}

func (s *testServer) report(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events[e]++
}

func (s *testServer) count(l Limit, a Action) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events[Event{"test", l, a}]
}

func (s *testServer) dial(request string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, request); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// exchange sends a request and returns the status and the body, or the error.
func (s *testServer) exchange(request string) string { return s.response(s.dial(request)) }

func (s *testServer) response(conn net.Conn) string {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }() // read below
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", response.StatusCode, body)
}

func (s *testServer) eventually(what string, ok func() bool) {
	s.t.Helper()
	for started := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(started) > 20*time.Second {
			s.t.Fatalf("%s: condition not met within 20 s", what)
		}
	}
}

// TestRefusedConnection guards against a client that is not told that there is no room, and against a refusal of one that could
// be served after an idle connection is closed.
func TestRefusedConnection(t *testing.T) {
	serve, entered := make(chan struct{}), make(chan struct{})
	s := newTestServer(t, &Listener{Budget: &Budget{Limits: Limits{MemoryBytes: 1 << 30, Connections: 2}}, Privileged: true}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			entered <- struct{}{}
			<-serve
		}
		_, _ = io.WriteString(w, "served") // fails only when the client has left
	})
	s.dial("") // idle
	s.eventually("idle connection", func() bool { n, _ := s.budget.Use(); return n == 1 })
	slow := s.dial("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	<-entered
	if got := s.exchange("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"); got != "200 served" {
		t.Errorf("got %q beside an idle connection, want 200 served", got)
	}
	s.eventually("end of the served connection", func() bool { n, _ := s.budget.Use(); return n == 1 })
	s.dial("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	<-entered
	if got := s.exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n"); got != "503 {}" {
		t.Errorf("got %q beside slow requests, want 503 {}", got)
	}
	close(serve)
	if got := s.response(slow); got != "200 served" {
		t.Errorf("got %q for the slow request, want 200 served", got)
	}
	if s.count(LimitMemory, ActionEvict) != 1 || s.count(LimitConnections, ActionRefuse) == 0 {
		t.Errorf("got events %v, want one eviction and a refused connection", s.events)
	}
}
