package limiter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/timer"
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

func unlimited() *Budget { return &Budget{Limits: Limits{MemoryBytes: 1 << 40, Connections: 1 << 20}} }

// TestHeadCharge guards against heads that hold more memory than they are charged for.
func TestHeadCharge(t *testing.T) {
	cases := []struct {
		name string
		line func(n int) string
	}{
		{"same empty line", func(int) string { return "a:\r\n" }},
		{"different empty lines", func(n int) string { return fmt.Sprintf("%x:\r\n", n) }},
		{"different empty lines without a carriage return", func(n int) string { return fmt.Sprintf("%c%c:\n", 'a'+n/26%26, 'a'+n%26) }},
		{"usual lines", func(n int) string { return fmt.Sprintf("X-Header-%d: some value of usual length\r\n", n) }},
		{"one long line", func(n int) string { return strings.Repeat("x", 14_000) + ":\r\n" }},
	}
	const heads, size = 64, 16_000
	for _, c := range cases {
		head := "GET / HTTP/1.1\r\nHost: a\r\n"
		for n := 0; len(head) < size; n++ {
			head += c.line(n)
		}
		head += "\r\n"
		budget := unlimited()
		account, _ := budget.Open(true, func() {})
		conn := &Conn{account: account, port: &Listener{}}
		for rest := []byte(head); len(rest) > 0; {
			b := rest[:min(len(rest), readBufferSize)]
			if err := conn.chargeHead(b, readBufferSize); err != nil {
				t.Fatal(err)
			}
			rest = rest[len(b):]
		}
		requests := make([]*http.Request, heads)
		before := heapBytes()
		for n := range requests {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
			if err != nil {
				t.Fatal(err)
			}
			requests[n] = r
		}
		held := (heapBytes() - before) / heads
		if _, charged := budget.Use(); held > charged {
			t.Errorf("%s: got %d bytes for a head, want at most the %d charged", c.name, held, charged)
		}
		runtime.KeepAlive(requests)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestHeadTooLarge guards against heads over the limit that are parsed, on new and on used connections, and against a limit that
// refuses a head of exactly its size.
func TestHeadTooLarge(t *testing.T) {
	s := newTestServer(t, &Listener{Budget: unlimited(), HeadBytes: func() uint64 { return 8000 }}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "served") // fails only when the client has left
	})
	head := func(bytes int) string {
		start, end := "GET / HTTP/1.1\r\nHost: a\r\nx: ", "\r\n\r\n"
		return start + strings.Repeat("y", bytes-len(start)-len(end)) + end
	}
	if got := s.exchange(head(8000)); got != "200 served" {
		t.Errorf("got %q for a head of the largest size, want 200 served", got)
	}
	if got := s.exchange(head(8000 + 2*readBufferSize + 1)); !strings.HasPrefix(got, "431 ") {
		t.Errorf("got %q for a head that is too large, want 431", got)
	}
	conn := s.dial(head(100))
	responses := bufio.NewReader(conn)
	for n, request := range []string{"", head(8000), head(100_000)} {
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(responses, nil)
		if n < 2 && (err != nil || response.StatusCode != http.StatusOK) {
			t.Errorf("request %d: got %v, %v, want 200", n, response, err)
		}
		if n == 2 && err == nil && response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("request %d: got status %d, want 431 or none", n, response.StatusCode)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body) // its end is not checked
			_ = response.Body.Close()                 // as above
		}
	}
	if got := s.count(LimitHead, ActionRefuse); got != 2 {
		t.Errorf("got %d refused heads, want 2", got)
	}
}

// TestRequestsAfterLargeBodies guards against bodies that are taken for a part of the next head, so that a client is refused which
// keeps its connection.
func TestRequestsAfterLargeBodies(t *testing.T) {
	const limit = 262_144
	bodies := &BodyReader{}
	s := newTestServer(t, &Listener{Budget: unlimited(), HeadBytes: func() uint64 { return 8000 }}, func(w http.ResponseWriter, r *http.Request) {
		body, err := bodies.Read(w, r, limit)
		if err != nil {
			t.Errorf("got error %v, want none", err)
		}
		_, _ = fmt.Fprint(w, len(body)) // fails only when the client has left
	})
	conn := s.dial("")
	responses := bufio.NewReader(conn)
	for n, size := range []int{limit, 2, limit, 5000, 4096, 4097, 0, limit, 1, 100_000, 0} {
		start := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\nx: ", size)
		request := start + strings.Repeat("y", 8000-len(start)-4) + "\r\n\r\n" + strings.Repeat("\n", size)
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // it is read
		if err != nil || string(body) != fmt.Sprint(size) {
			t.Fatalf("request %d: got status %d, %q, %v, want a body of %d bytes", n, response.StatusCode, body, err, size)
		}
	}
}

// TestPipelinedHead guards against a head that is charged to nobody because it was received with the previous request.
func TestPipelinedHead(t *testing.T) {
	s := newTestServer(t, &Listener{Budget: unlimited()}, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // its end is not checked
	})
	s.dial("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\n", 1300))
	const want = connectionBytes + 1300*headLineBytes
	s.eventually("charge of the second head", func() bool {
		_, memory := s.budget.Use()
		return memory >= want
	})
}

// TestAnsweredRequestIsReleased guards against heads and bodies that stay charged on an idle connection.
func TestAnsweredRequestIsReleased(t *testing.T) {
	bodies := &BodyReader{}
	s := newTestServer(t, &Listener{Budget: unlimited()}, func(w http.ResponseWriter, r *http.Request) {
		if _, err := bodies.Read(w, r, 1000); err != nil {
			t.Errorf("got error %v, want none", err)
		}
	})
	conn := s.dial("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500\r\n\r\n" + strings.Repeat(" ", 500))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()                          // it is empty
	const ahead = 600*headByteCopies + 4*headLineBytes // may be of the next request
	s.eventually("release", func() bool {
		_, memory := s.budget.Use()
		return memory <= connectionBytes+ahead
	})
	_ = conn.Close() // the process notices it
	s.eventually("release of the connection", func() bool {
		connections, memory := s.budget.Use()
		return connections == 0 && memory == 0
	})
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

// TestUnreadResponse guards against a client that does not read its response and keeps the connection for good.
func TestUnreadResponse(t *testing.T) {
	ended := make(chan error, 1)
	s := newTestServer(t, &Listener{Budget: unlimited(), AnswerTimeout: 100 * timer.Millisecond}, func(w http.ResponseWriter, _ *http.Request) {
		var err error
		for err == nil {
			_, err = w.Write(bytes.Repeat([]byte("x"), 1<<20))
		}
		ended <- err
	})
	s.dial("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if err := <-ended; err == nil {
		t.Error("got no error of the response, want one")
	}
	s.eventually("release", func() bool { n, _ := s.budget.Use(); return n == 0 })
	if got := s.count(LimitAnswer, ActionClose); got == 0 {
		t.Error("got no event, want one of the answer's limit")
	}
}

// TestBody guards against bodies over the limit that are read, bodies that are cut, and memory beyond the budget.
func TestBody(t *testing.T) {
	const limit = 20_000
	request := func(announced, sent int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", announced, strings.Repeat("x", sent))
	}
	chunks := func(n int) string {
		return "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("64\r\n"+strings.Repeat("x", 100)+"\r\n", n) + "0\r\n\r\n"
	}
	cases := []struct {
		name    string
		request string
		memory  int64 // of the budget beside the connection
		want    string
	}{
		{"none", request(0, 0), 1 << 20, "200 0"},
		{"small", request(300, 300), 1 << 20, "200 300"},
		{"largest", request(limit, limit), 1 << 20, "200 20000"},
		{"largest in chunks", chunks(200), 1 << 20, "200 20000"},
		{"too large, announced only", request(limit+1, 0), 1 << 20, "500 the body is too large"},
		{"too large in chunks", chunks(201), 1 << 20, "500 the body is too large"},
		{"no memory", request(limit, limit), 15_000, "500 the memory for clients is used up"},
		{"no memory to decode", request(limit, limit), 60_000, "500 the memory for clients is used up"},
	}
	for _, c := range cases {
		budget := &Budget{Limits: Limits{MemoryBytes: connectionBytes + c.memory, Connections: 100}}
		bodies := &BodyReader{}
		s := newTestServer(t, &Listener{Budget: budget, Privileged: true}, func(w http.ResponseWriter, r *http.Request) {
			body, err := bodies.Read(w, r, limit)
			if err != nil {
				w.WriteHeader(http.StatusInternalServerError)
				_, _ = io.WriteString(w, err.Error()) // fails only when the client has left
				return
			}
			_, _ = fmt.Fprint(w, len(body)) // as above
		})
		if got := s.exchange(c.request); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// TestStalledBody guards against a body that is never finished and keeps its connection for good although there is room.
func TestStalledBody(t *testing.T) {
	result := make(chan error, 1)
	bodies := &BodyReader{Timeout: 50 * timer.Millisecond}
	s := newTestServer(t, &Listener{Budget: unlimited()}, func(w http.ResponseWriter, r *http.Request) {
		_, err := bodies.Read(w, r, 1000)
		result <- err
	})
	s.dial("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{")
	var failed net.Error
	if err := <-result; !errors.As(err, &failed) || !failed.Timeout() {
		t.Errorf("got error %v, want a timeout", err)
	}
	s.eventually("release", func() bool { n, _ := s.budget.Use(); return n == 0 })
}
