package flooder

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/platform/platformtest"
)

// TestCallersPort guards against clients that end an entry, or make it hold more memory or descriptors than its machine
// has, by what they send to the port of the callers, and against an entry that serves no other client meanwhile.
func TestCallersPort(t *testing.T) {
	for _, c := range crowds() {
		t.Run(c.name, func(t *testing.T) { testCrowd(t, c, entryHost, callersPort) })
	}
}

// TestOtherPorts guards against the same on the ports that no caller needs but that a client may reach.
func TestOtherPorts(t *testing.T) {
	ports := []struct {
		name       string
		host, port int
	}{
		{"readiness", entryHost, readyPort}, {"metrics of an entry", entryHost, metricsPort}, {"sessions", entryHost, sessionPort},
		{"announcements", sidecarHost, announcePort}, {"metrics of a sidecar", sidecarHost, metricsPort},
	}
	crowds := []crowd{
		{name: "connections that send nothing", connections: 800, payload: fixed(nil)},
		{name: "heads without end, of different empty lines", connections: 30, payload: fixed(fill("GET / HTTP/1.1\r\n", 1<<20, differentLine))},
		{name: "heads of legal size without their end", connections: 800, payload: fixed(fill("GET / HTTP/1.1\r\n", maxHeaderBytes-1000, differentLine))},
		{name: "announcements without their end", connections: 60, payload: fixed(append([]byte("POST "+platformtest.AnnouncementPath("i-0")+" HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n"), bytes.Repeat([]byte(" "), 3_000_000)...))},
		{name: "frames of 4 MB without their end", connections: 60, payload: fixed(append([]byte{0, 0x3f, 0xff, 0xff}, make([]byte, 3<<20)...))},
	}
	for _, p := range ports {
		for _, c := range crowds {
			t.Run(p.name+"/"+c.name, func(t *testing.T) { testCrowd(t, c, p.host, p.port) })
		}
	}
}

func testCrowd(t *testing.T, c crowd, host, port int) {
	cl := newCluster(t)
	ctx, leave := context.WithCancel(cl.ctx)
	defer leave()
	c.press(ctx, cl.address(host, port))
	cl.eventually("an ordinary job beside the crowd", func() bool { return cl.ordinaryRequest() == nil })
	leave()
	cl.eventually("an ordinary job after the crowd", func() bool { return cl.ordinaryRequest() == nil })
	cl.entry.check(t)
	cl.sidecar.check(t)
}

// TestLargestRequest guards against limits that refuse a single request inside the limits of the configuration.
func TestLargestRequest(t *testing.T) {
	body := []byte(`{"Spec":"5","BestEffort":true,"Steps":[{"Count":2,"Cpu":1000,"EstimateMs":3000}],"Padding":"`)
	body = append(append(body, strings.Repeat("x", maxBodyBytes-len(body)-2)...), `"}`...)
	heads := []struct {
		name string
		next func(n int) string
	}{
		{"the same empty line", same("a:\r\n")}, {"different empty lines", differentLine}, {"one long line", nil},
	}
	cl := newCluster(t)
	for _, h := range heads {
		start := fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n", prefix, rand.Uint64(), platformtest.Host, len(body))
		request := append(head(start, maxHeaderBytes, h.next), body...)
		if answer := cl.exchange(request); !strings.HasPrefix(answer, "HTTP/1.1 200 ") || !strings.Contains(answer, "succeeded") {
			t.Errorf("%s: got %q, want status 200 with succeeded", h.name, answer)
		}
	}
	cl.entry.check(t)
	cl.sidecar.check(t)
}
