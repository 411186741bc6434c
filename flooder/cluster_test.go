package flooder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/launcher"
	"github.com/crocuslb/crocuslb/platform/platformtest"
)

const (
	// memoryMb and descriptorLimit are the size of the machine of each process, smaller than the smallest one that is in
	// use, so that a small crowd shows what is not bounded.
	memoryMb        = 96
	descriptorLimit = 600
	// maxHeaderBytes and maxBodyBytes are the limits of the deployments' configurations.
	maxHeaderBytes = 16_384
	maxBodyBytes   = 262_144

	service = "svc"
	prefix  = "/jobs/"

	storePort        = 7000
	sessionPort      = 7720
	callersPort      = 8000
	readyPort        = 8001
	announcePort     = 8002
	backendPort      = 8003
	metricsPort      = 9464
	entryHost        = 1
	sidecarHost      = 100
	storeHost        = 250
	samplePeriod     = 50 * time.Millisecond
	eventuallyPeriod = 100 * time.Millisecond
	// eventuallyLimit ends a test that makes no progress; no check depends on how much sooner a condition holds.
	eventuallyLimit = 90 * time.Second
)

// program is the path of the built program. TestMain builds it.
var program string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "flooder")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := 1
	if err := launcher.Build(context.Background(), directory); err == nil {
		program = filepath.Join(directory, "platformnode")
		status = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = os.RemoveAll(directory) // a leftover in the temporary directory does not matter
	os.Exit(status)
}

type (
	// cluster is one entry and one sidecar as processes of their own, with stand-ins of the platform in the test's process.
	cluster struct {
		t       *testing.T
		ctx     context.Context
		network string
		store   *platformtest.Store
		entry   *monitor
		sidecar *monitor
	}

	// monitor samples the resources that a process holds.
	monitor struct {
		name                  string
		process               *launcher.Process
		ip                    string
		memoryMb, descriptors int // bounds
		stop                  chan struct{}
		done                  chan struct{}
		peakMemory            int // bytes; resident, and received by the process's sockets but not read
		peakOpen              int // descriptors
	}
)

func newCluster(t *testing.T) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{t: t, ctx: ctx, network: fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250)), store: &platformtest.Store{}}
	c.store.PublishLimits(1, service, platformtest.RequestLimits{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes}, prefix)
	c.serve(c.address(storeHost, storePort), c.store)
	b := &platformtest.Backend{ID: "i-0", Service: service, Zone: "north", CPU: 8000, MemMb: 8000, Control: c.address(sidecarHost, announcePort)}
	b.OnRun = func(string, uint64, string) {}
	c.serve(c.address(sidecarHost, backendPort), b)
	go b.Run(ctx)
	c.entry = c.start("entry", entryHost, "-callersAddress", c.address(entryHost, callersPort), "-readyAddress", c.address(entryHost, readyPort))
	c.sidecar = c.start("sidecar", sidecarHost, "-announceAddress", c.address(sidecarHost, announcePort), "-backendAddress", c.address(sidecarHost, backendPort))
	t.Cleanup(func() {
		for _, m := range []*monitor{c.entry, c.sidecar} {
			m.process.Kill()
			<-m.done
		}
		cancel()
	})
	c.eventually("the first job", func() bool { return c.ordinaryRequest() == nil })
	return c
}

func (c *cluster) address(host, port int) string {
	return fmt.Sprintf("%s%d:%d", c.network, host, port)
}

func (c *cluster) serve(address string, h http.Handler) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // returns when the test closes the server
	c.t.Cleanup(func() { _ = server.Close() })
}

// start starts a process on a machine of memoryMb and descriptorLimit.
func (c *cluster) start(role string, host int, args ...string) *monitor {
	ip := fmt.Sprintf("%s%d", c.network, host)
	args = append([]string{
		role, "-name", role + "-0", "-domain", "north", "-ip", ip, "-internalPort", strconv.Itoa(sessionPort), "-storeAddress", c.address(storeHost, storePort),
		"-memoryMb", strconv.Itoa(memoryMb), "-descriptors", strconv.Itoa(descriptorLimit),
	}, args...)
	p, err := launcher.StartProgram(c.ctx, role, program, args...)
	if err != nil {
		c.t.Fatal(err)
	}
	m := &monitor{name: role, process: p, ip: ip, memoryMb: memoryMb, descriptors: descriptorLimit, stop: make(chan struct{}), done: make(chan struct{})}
	go m.run()
	return m
}

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	if !await(c.t, what, ok) {
		c.t.Logf("last output of the entry: %s", c.entry.process.Tail(5))
	}
}

// await waits for a condition and reports whether it was met.
func await(t *testing.T, what string, ok func() bool) bool {
	t.Helper()
	for started := time.Now(); time.Since(started) < eventuallyLimit; time.Sleep(eventuallyPeriod) {
		if ok() {
			return true
		}
	}
	t.Errorf("%s: condition not met", what)
	return false
}

// ordinaryRequest submits a small job on a new connection and returns an error if it was not done.
func (c *cluster) ordinaryRequest() error {
	r, err := platformtest.NewJobRequest(c.address(entryHost, callersPort), prefix, fmt.Sprintf("%016x", rand.Uint64()), 1, "5", 3000, 2500)
	if err != nil {
		return err
	}
	r.Close = true
	status, body, err := do(c.ctx, r)
	if err == nil && (status != http.StatusOK || !strings.Contains(body, "succeeded")) {
		err = fmt.Errorf("got %d %s, want 200 with succeeded", status, body)
	}
	return err
}

func do(ctx context.Context, r *http.Request) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, eventuallyLimit)
	defer cancel()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read or the read has failed
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// exchange sends bytes to the callers' port and returns all that the entry answers until it closes the connection.
func (c *cluster) exchange(request []byte) string {
	conn, err := net.Dial("tcp", c.address(entryHost, callersPort))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(eventuallyLimit)) // a failure surfaces in the calls below
	if _, err := conn.Write(request); err != nil {
		return err.Error()
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		return string(answer) + err.Error()
	}
	return string(answer)
}

// check checks what a process must hold to from its start to now.
func (m *monitor) check(t *testing.T) {
	t.Helper()
	running := m.process.Running()
	peak := m.residentPeak()
	select {
	case <-m.stop:
	default:
		close(m.stop)
	}
	<-m.done
	t.Logf("%s: resident at most %d kB, with unread bytes %d kB, %d descriptors", m.name, peak>>10, m.peakMemory>>10, m.peakOpen)
	if !running {
		t.Errorf("%s: the process has ended: %s", m.name, m.process.Tail(5))
	}
	if got := max(peak, m.peakMemory); got > m.memoryMb*1_000_000 {
		t.Errorf("%s: got %d bytes of memory, want at most %d", m.name, got, m.memoryMb*1_000_000)
	}
	if m.peakOpen > m.descriptors {
		t.Errorf("%s: got %d open descriptors, want at most %d", m.name, m.peakOpen, m.descriptors)
	}
}

func (m *monitor) run() {
	defer close(m.done)
	for m.process.Running() {
		m.peakMemory = max(m.peakMemory, m.status("VmRSS:")+m.unreadBytes())
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.process.PID())); err == nil {
			m.peakOpen = max(m.peakOpen, len(open))
		}
		select {
		case <-m.stop:
			return
		case <-time.After(samplePeriod):
		}
	}
}

func (m *monitor) residentPeak() int { return m.status("VmHWM:") }

// status returns a size from the process's status file, in bytes, or 0 if the process has ended.
func (m *monitor) status(field string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.PID()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), field)
	var kB int
	_, _ = fmt.Sscanf(rest, "%d", &kB) // 0 if the process is ending
	return kB << 10
}

// unreadBytes returns the bytes that the sockets at the process's address have received and the process has not read. It is 0 if
// the process has no address of its own.
func (m *monitor) unreadBytes() (unread int) {
	if m.ip == "" {
		return 0
	}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }() // only read
	ip := net.ParseIP(m.ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X", ip[3], ip[2], ip[1], ip[0])
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		const localField, stateField, queuesField, listening = 1, 3, 4, "0A"
		if len(fields) <= queuesField || !strings.HasPrefix(fields[localField], local) || fields[stateField] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[queuesField], ":")
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
			unread += int(n)
		}
	}
	return unread
}
