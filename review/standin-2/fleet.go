//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/crocuslb/crocuslb/platform/platformtest"
)

const (
	entryCount    = 3
	sidecarCount  = 11
	service       = "svc"
	prefix        = "/jobs/"
	backendCPU    = 10_000 // thousandths of a core; each task of the stand-in takes 1000
	internalPort  = 7720
	frontPort     = 8161
	controlPort   = 8166
	readyPort     = 8167
	appPort       = 8165
	storePort     = 8169
	storeHost     = 250
	firstSidecar  = 100
	startupLimit  = 20 * time.Second
	contactTime   = 3 * time.Second // ContactMs of the small deployments
	ackTime       = 4 * time.Second // AckMs
	finishTime    = 14 * time.Second
	visibleTime   = 3 * time.Second
	cancelTime    = 3 * time.Second
	stopTimeout   = 50 * time.Millisecond
	oneWayDelay   = time.Millisecond     // of a call to the store
	appendTime    = 2 * time.Millisecond // AppendMs
	clientTimeout = 1500                 // X-Deadline-Ms, as the small deployments' clients send it
)

// fleet is a small deployment on loopback: the real programs as processes, with a stand-in of the store, of the backend servers
// and of the platform's settings.
type fleet struct {
	ctx    context.Context
	cancel context.CancelFunc
	rec    *recorder
	dir    string // temporary directory with settings files and logs
	net    string // first three bytes of all addresses, with a dot at the end
	store  *platformtest.Store
	// storeServer answers in the name of store.
	storeServer *storeServer
	entries     []*process
	sidecars    []*process
	backends    []*backend
	client      *http.Client
}

// process is one of the project's programs.
type process struct {
	name     string
	index    int
	host     string
	role     string
	settings string
	store    *proxy // between the process and the store
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
}

func newFleet(ctx context.Context, rec *recorder) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{ctx: ctx, cancel: cancel, rec: rec, store: &platformtest.Store{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	var err error
	if f.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if err = f.chooseNet(); err != nil {
		return nil, err
	}
	return f, nil
}

// chooseNet chooses a part of 127.0.0.0/8 on which the ports are free.
func (f *fleet) chooseNet() error {
	for range 50 {
		f.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, address := range []string{f.addr(1, frontPort), f.addr(1, internalPort), f.addr(storeHost, storePort)} {
			l, err := net.Listen("tcp", address)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

func (f *fleet) addr(host, port int) string { return fmt.Sprintf("%s%d:%d", f.net, host, port) }

// start starts everything and waits until every entry is ready and serves a job.
func (f *fleet) start() error {
	f.store.PublishConfiguration(1, service, prefix)
	f.storeServer = &storeServer{store: f.store, partitions: map[string]*sync.Mutex{}}
	if _, err := f.serve(f.addr(storeHost, storePort), f.storeServer); err != nil {
		return err
	}
	for i := range sidecarCount {
		host := firstSidecar + 1 + i
		b := &backend{fleet: f, address: f.addr(host, appPort), fake: &platformtest.Backend{
			ID: fmt.Sprintf("i-%04x", 0x7f00+i), Service: service, Zone: zoneOf(i), CPU: backendCPU, MemMb: 131072, Control: f.addr(host, relayPort),
		}, relay: &labelRelay{target: f.addr(host, controlPort), label: kindOf(i)}}
		if _, err := f.serve(f.addr(host, relayPort), b.relay); err != nil {
			return err
		}
		if err := b.start(); err != nil {
			return err
		}
		f.backends = append(f.backends, b)
		p, err := f.newProcess("sidecar", fmt.Sprintf("side-%s-%d", zoneOf(i), i+1), host, i)
		if err != nil {
			return err
		}
		f.sidecars = append(f.sidecars, p)
	}
	for i := range entryCount {
		p, err := f.newProcess("entry", fmt.Sprintf("front-%s-%d", zoneOf(i), i+1), 1+i, i)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, p)
	}
	for _, p := range append(append([]*process{}, f.entries...), f.sidecars...) {
		if err := p.run(f); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// kindOf returns the kind of an executor: two of three are of kind a.
func kindOf(i int) string { return []string{kindA, kindA, kindB}[i/3%3] }

func zoneOf(i int) string { return []string{"north", "middle", "south"}[i%3] }

func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(startupLimit)
	for i := range f.entries {
		for {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %d is not ready", i)
			}
			r, err := f.client.Get("http://" + f.addr(1+i, readyPort) + "/ready")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK && f.post(i, jobSpec{id: newID(), steps: []step{{count: 4}}, taskMs: 20, bestEffort: true}).status == http.StatusOK {
					break
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // traffic starts some time after the machines do
	return nil
}

// newProcess writes the settings of a process as the platform fills in the template of the deploy file.
func (f *fleet) newProcess(role, name string, host, index int) (*process, error) {
	ip := strings.TrimSuffix(f.net, ".") + "." + fmt.Sprint(host)
	p := &process{name: name, role: role, index: index, host: ip, settings: filepath.Join(f.dir, name+".env")}
	var err error
	if p.store, err = newProxy(f.ctx, f.addr(host, storePort), f.addr(storeHost, storePort)); err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join("deploy", role+".env"))
	if err != nil {
		return nil, err
	}
	seeds := []string{f.addr(1, controlPort), f.addr(2, controlPort), f.addr(3, controlPort)}
	cores, memory, descriptors := "0.4", "284", "4100"
	if role == "sidecar" {
		cores, memory, descriptors = "0.24", "152", "4096"
	}
	filled := strings.NewReplacer("{{NodeName}}", name, "{{Zone}}", zoneOf(index), "{{Ip}}", ip, "{{InternalPorts.0}}", fmt.Sprint(internalPort),
		"{{platform.Address}}", f.addr(host, storePort), "{{ListenAddrs.Front}}", f.addr(host, frontPort), "{{ListenAddrs.ReadyAddr}}", f.addr(host, readyPort),
		"{{ListenAddrs.Control}}", f.addr(host, controlPort), "{{app}}", f.addr(host, appPort), "{{platform.parts}}", "12", "{{platform.WritesPerS}}", "800",
		"{{Seeds}}", strings.Join(seeds, ","), "{{Limits.CpuShare}}", cores,
		"{{Limits.MemoryMb}}", memory, "{{Limits.MaxFds}}", descriptors).Replace(string(template))
	return p, os.WriteFile(p.settings, []byte(filled), 0o600)
}

// run starts the process with the command of the deploy file.
func (p *process) run(f *fleet) error {
	out, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command("target/platformnode", p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "CROCUSLB_CONFIG=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	ended, cmd := make(chan struct{}), p.cmd
	p.ended = ended
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// stop ends all processes and stand-ins.
func (f *fleet) stop() {
	for _, p := range append(append([]*process{}, f.entries...), f.sidecars...) {
		if p.ended == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	f.cancel()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

func (f *fleet) serve(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(f.ctx, func() { _ = server.Close() })
	return server, nil
}

// storeServer answers like the platform's store: each call takes about 4 ms, and the appends of a partition follow each other.
type storeServer struct {
	store      *platformtest.Store
	mu         sync.Mutex
	partitions map[string]*sync.Mutex
	lost       float64 // share of the appends that get no answer and are done later
	down       bool    // all calls get 503
}

func (s *storeServer) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *storeServer) setLost(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = share
}

func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(oneWayDelay)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/log-append" {
		key := r.URL.Query().Get("Topic") + "/" + r.URL.Query().Get("part")
		s.mu.Lock()
		m := s.partitions[key]
		if m == nil {
			m = &sync.Mutex{}
			s.partitions[key] = m
		}
		lost := rand.Float64() < s.lost
		s.mu.Unlock()
		if lost {
			s.appendLater(r)
			return
		}
		m.Lock()
		time.Sleep(appendTime)
		m.Unlock()
	}
	s.store.ServeHTTP(w, r)
}

// appendLater carries out an append 1 to 6 s later, and gives no answer on its connection.
func (s *storeServer) appendLater(r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		later := r.Clone(context.Background())
		later.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(time.Second+rand.N(5*time.Second), func() { s.store.ServeHTTP(httptest.NewRecorder(), later) })
	}
	<-r.Context().Done() // until the client gives the connection up
}

// backend is a backend server that can crash and start again under its identifier.
type backend struct {
	fleet   *fleet
	address string
	fake    *platformtest.Backend
	relay   *labelRelay // of its heartbeats
	server  *http.Server
	mu      sync.Mutex
	running map[string]time.Time // by task and run
}

func (b *backend) start() error {
	b.running = map[string]time.Time{}
	b.fake.OnRun = func(task string, run uint64, event string) {
		b.mu.Lock()
		key := fmt.Sprint(task, " run ", run)
		if event == "" {
			b.running[key] = time.Now()
		} else {
			delete(b.running, key)
		}
		b.mu.Unlock()
		b.fleet.rec.onRun(b.fake.ID, task, run, event)
	}
	var err error
	if b.server, err = b.fleet.serve(b.address, b.fake); err != nil {
		return err
	}
	go b.fake.Run(b.fleet.ctx)
	return nil
}

// crash ends the backend server with all its runs, and starts it again after a while.
func (b *backend) crash(down time.Duration) error {
	b.fake.SetFaults(platformtest.BackendFaults{NoHeartbeats: true})
	_ = b.server.Close()
	b.fake.Restart()
	b.fleet.rec.add("executor %s crashes, down for %s", b.fake.ID, down)
	time.Sleep(down)
	b.fake.Restart()
	var err error
	if b.server, err = b.fleet.serve(b.address, b.fake); err != nil {
		return err
	}
	b.fake.SetFaults(platformtest.BackendFaults{})
	b.fleet.rec.add("executor %s is up again", b.fake.ID)
	return nil
}

// runs reports whether a task of the job is active on the backend server.
func (b *backend) runs(job string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := range b.running {
		if strings.HasPrefix(key, job+".") {
			return true
		}
	}
	return false
}
