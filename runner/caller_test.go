package runner

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/platform/platformtest"
)

// TestCallerConnectionEnds guards against an entry that does not notice the end of a caller's connection, so that its runs
// go on while the caller sends the job again.
func TestCallerConnectionEnds(t *testing.T) {
	tc := newTestCluster(t, 1, 1)
	const next = "GET /a/ HTTP/1.1\r\nHost: " + platformtest.Host + "\r\n\r\n"
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }
	halfClose := func(c *net.TCPConn) { _ = c.CloseWrite() }
	shut := func(c *net.TCPConn) { _ = c.Close() }
	cases := []struct {
		name    string
		further string // sent while the task runs
		end     func(c *net.TCPConn)
	}{
		{"reset", "", reset}, {"half-close", "", halfClose}, {"close", "", shut},
		{"reset after one further byte", "G", reset}, {"half-close after one further byte", "G", halfClose}, {"close after one further byte", "G", shut},
		{"reset after a further request", next, reset}, {"half-close after a further request", next, halfClose}, {"close after a further request", next, shut},
	}
	for _, c := range cases {
		r, err := platformtest.NewJobRequest(tc.entryAddresses[0], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 1, "4000", 9000, 20_000)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", tc.entryAddresses[0])
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Write(conn); err != nil {
			t.Fatal(err)
		}
		tc.eventually("task runs", func() bool { return tc.runningTasks() == 1 })
		if _, err := conn.Write([]byte(c.further)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // the entry reads it
		c.end(conn.(*net.TCPConn))
		ended := time.Now()
		tc.eventually("run ended", func() bool { return tc.runningTasks() == 0 })
		if got := time.Since(ended); got >= departureTime {
			t.Errorf("%s: got the end of the run %v later, want less than %v", c.name, got, departureTime)
		}
		_ = conn.Close()
	}
}

// TestFurtherRequest guards against responses that are lost or mixed up when a caller sends its next request before it has
// the response to the previous one.
func TestFurtherRequest(t *testing.T) {
	tc := newTestCluster(t, 1, 1)
	conn, err := net.Dial("tcp", tc.entryAddresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	const requests = 4
	for range requests {
		r, err := platformtest.NewJobRequest(tc.entryAddresses[0], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 1, "200", 3000, 20_000)
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Write(conn); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	b := bufio.NewReader(conn)
	for n := range requests {
		response, err := http.ReadResponse(b, nil)
		if err != nil {
			t.Fatalf("response %d: %v", n, err)
		}
		if response.StatusCode != http.StatusOK {
			t.Errorf("response %d: got status %d, want 200", n, response.StatusCode)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Errorf("response %d: body: %v", n, err)
		}
		_ = response.Body.Close()
	}
}
