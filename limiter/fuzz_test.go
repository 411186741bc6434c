package limiter

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// FuzzConnection guards against bytes of a client that end the server, stay charged after the client has left, or hold more than
// the budget.
func FuzzConnection(f *testing.F) {
	for _, seed := range []string{
		"", "\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.0\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n{}", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}GET / HTTP/1.1\r\na:\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\n{}\r\n0\r\nb:\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 9999\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	const memory = 400_000
	budget := &Budget{Limits: Limits{MemoryBytes: memory, Connections: 4}}
	bodies := &BodyReader{Timeout: 100}
	inner, err := Listen(f.Context(), "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	l := &Listener{Listener: inner, Budget: budget, Privileged: true, HeadBytes: func() uint64 { return 2000 }}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := bodies.Read(w, r, 3000)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
		_, _ = fmt.Fprint(w, len(body)) // fails only when the client has left
	})}
	l.Configure(server, func(c net.Conn) *Conn {
		conn, _ := c.(*Conn)
		return conn
	})
	go func() { _ = server.Serve(l) }() // returns when the fuzz target ends
	f.Cleanup(func() { _ = server.Close() })
	exchange := func(t *testing.T, request []byte) []byte {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write(request)                        // the server may close the connection before it has read all
		_ = conn.(*net.TCPConn).CloseWrite()              // as above
		_ = conn.SetDeadline(time.Now().Add(time.Minute)) // a failure surfaces below
		answer, _ := io.ReadAll(conn)                     // a reset is an end, too
		return answer
	}
	f.Fuzz(func(t *testing.T, request []byte) {
		exchange(t, request)
		if got := exchange(t, []byte("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")); !bytes.HasPrefix(got, []byte("HTTP/1.1 200 ")) {
			t.Errorf("got %q for a request after the client, want 200", got)
		}
		for started := time.Now(); ; time.Sleep(time.Millisecond) {
			connections, held := budget.Use()
			if held > memory {
				t.Fatalf("got %d bytes held, want at most %d", held, memory)
			}
			if connections == 0 && held == 0 {
				return
			}
			if time.Since(started) > 20*time.Second {
				t.Fatalf("got %d connections and %d bytes 20 s after the clients have left, want none", connections, held)
			}
		}
	})
}
