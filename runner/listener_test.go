package runner

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"
)

// TestWatchedConnections guards against a goroutine with a ticker for each client that sends a byte too many while its request is
// served: some hundreds of them take the processor from the jobs. The ends of all connections must be noticed.
func TestWatchedConnections(t *testing.T) {
	const clients = 100
	var served, ended atomic.Int64
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		served.Add(1)
		<-r.Context().Done()
		ended.Add(1)
	})
	m, _ := newMonitor()
	address := fmt.Sprintf("127.%d.%d.1:8000", 16+rand.IntN(200), rand.IntN(250))
	servers, err := startServers(t.Context(), m, &Options{}, []endpoint{{port: portCallers, address: address, handler: handler}})
	if err != nil {
		t.Fatal(err)
	}
	defer closeServers(servers)
	eventually := func(what string, ok func() bool) {
		t.Helper()
		for started := time.Now(); !ok(); time.Sleep(time.Millisecond) {
			if time.Since(started) > 20*time.Second {
				t.Fatalf("%s: condition not met within 20 s, %d goroutines", what, runtime.NumGoroutine())
			}
		}
	}
	conns := make([]net.Conn, clients)
	for i := range conns {
		if conns[i], err = net.Dial("tcp", address); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conns[i], "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	eventually("requests are served", func() bool { return served.Load() == clients })
	before := runtime.NumGoroutine() // two for each connection: the handler, and a read of one byte
	for _, conn := range conns {
		if _, err := io.WriteString(conn, "G"); err != nil {
			t.Fatal(err)
		}
	}
	eventually("one goroutine watches all connections", func() bool { return runtime.NumGoroutine() < before-clients/2 })
	for _, conn := range conns {
		_ = conn.Close() // the server notices it
	}
	eventually("ends are noticed", func() bool { return ended.Load() == clients })
}
