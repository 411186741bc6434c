// Package soaker runs the programs of the platform path as separate processes against stand-ins of the platform,
// disturbs them from outside by a seeded schedule, and checks the promises from what callers and backend servers see.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/launcher"
	"github.com/crocuslb/crocuslb/platform/platformtest"
)

const (
	service      = "svc"
	prefix       = "/jobs/"
	domains      = 3
	backendCPU   = 8000 // thousandths of a core, eight tasks
	entryPort    = 7720
	proxyPort    = 7721
	storePort    = 7000
	callersPort  = 8000
	readyPort    = 8001
	announcePort = 8002
	backendPort  = 8003
	firstSidecar = 100
	storeHost    = 250
	startTime    = 20 * time.Second
	restartPause = 300 * time.Millisecond
	calmTime     = 6 * time.Second // after the last fault, before the final jobs
	finalJobs    = 40
)

type (
	// Plan says what to run. The zero values of Entries, Sidecars, Length, JobsPerSecond and FaultEvery mean 3, 6, 20 s,
	// 30 and 700 ms.
	Plan struct {
		Program       string // path of the built program
		Seed          uint64
		Entries       int
		Sidecars      int
		Length        time.Duration // in which jobs are sent and faults injected
		JobsPerSecond int
		FaultEvery    time.Duration
		Logs          string // directory for the output of the processes; none when empty
	}

	// Report is the outcome of a run.
	Report struct {
		Seed    uint64
		Jobs    int
		Answers map[string]int // by the status of the last answer
		Faults  []string       // in order, with their time
		// Starved lists the longest delays of timers in spells in which the last jobs were not all served and the machine
		// was starved.
		Starved    []string
		Violations []string
	}

	// soak is a run.
	soak struct {
		plan     Plan
		network  string
		random   *rand.Rand
		started  time.Time
		store    *platformtest.Store
		backends []*platformtest.Backend
		nodes    []*node
		client   *http.Client
		checks   *checks
		faulted  sync.WaitGroup
		version  int

		mu     sync.Mutex
		faults []string
		pauses []pause
	}

	// pause is a time in which a node's process stands still.
	pause struct {
		node   *node
		at     time.Time
		length time.Duration
	}

	// node is an entry or a sidecar process with the proxies before it and before its store.
	node struct {
		name    string
		args    []string
		entry   bool
		domain  string
		front   *proxy // before an entry's listener; nil for sidecars
		toStore *proxy

		mu      sync.Mutex
		process *launcher.Process
		stopped bool // by plan; it is started again by the fault that stopped it
	}
)

func (p Plan) withDefaults() Plan {
	if p.Entries == 0 {
		p.Entries = 3
	}
	if p.Sidecars == 0 {
		p.Sidecars = 6
	}
	if p.Length == 0 {
		p.Length = 20 * time.Second
	}
	if p.JobsPerSecond == 0 {
		p.JobsPerSecond = 30
	}
	if p.FaultEvery == 0 {
		p.FaultEvery = 700 * time.Millisecond
	}
	return p
}

// Run runs the plan. Its processes end with it.
func Run(ctx context.Context, p Plan) (*Report, error) {
	p = p.withDefaults()
	ctx, cancel := context.WithCancel(ctx)
	s := &soak{
		plan: p, random: rand.New(rand.NewPCG(p.Seed, 3)), started: time.Now(), store: &platformtest.Store{}, version: 1,
		network: fmt.Sprintf("127.%d.%d.", 10+os.Getpid()%200, p.Seed%250), checks: newChecks(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	defer s.end(cancel)
	if err := s.launch(ctx); err != nil {
		return nil, err
	}
	s.work(ctx)
	if p.Logs != "" {
		if err := s.writeLogs(); err != nil {
			return nil, err
		}
	}
	r := s.checks.report()
	r.Seed, r.Faults = p.Seed, s.faults
	return r, nil
}

// end kills the processes of this run, and only those.
func (s *soak) end(cancel context.CancelFunc) {
	for _, n := range s.nodes {
		if p := n.current(); p != nil {
			p.Resume()
			p.Kill()
		}
	}
	cancel()
}

func (s *soak) address(host, port int) string { return fmt.Sprintf("%s%d:%d", s.network, host, port) }

// launch starts the stand-ins, then the processes, and waits until a job is served.
func (s *soak) launch(ctx context.Context) error {
	s.store.PublishConfiguration(s.version, service, prefix)
	if err := serve(ctx, s.address(storeHost, storePort), s.store); err != nil {
		return err
	}
	for i := range s.plan.Entries {
		if err := s.addEntry(ctx, i); err != nil {
			return err
		}
	}
	for i := range s.plan.Sidecars {
		if err := s.addSidecar(ctx, i); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := s.startNode(ctx, n); err != nil {
			return err
		}
	}
	for at := time.Now(); time.Since(at) < startTime; time.Sleep(restartPause) {
		served := 0
		for i := range s.plan.Entries {
			if status, _ := s.post(ctx, i, fmt.Sprintf("%016x", i), 1, "1", time.Second); status == http.StatusOK {
				served++
			}
		}
		if served == s.plan.Entries {
			return nil
		}
	}
	return trace.LimitExceeded("the fleet did not serve within %s", startTime)
}

func serve(ctx context.Context, address string, h http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return trace.ConnectionProblem(err, "cannot listen on %s: %v", address, err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // the run is over
	go func() { _ = server.Serve(listener) }()            // it returns when the run is over
	return nil
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%domains) }

// addNode makes a node with its proxy before the store.
func (s *soak) addNode(ctx context.Context, name, role string, host int, entry bool, i int) (*node, error) {
	n := &node{name: name, entry: entry, domain: domainName(i)}
	var err error
	if n.toStore, err = newProxy(ctx, s.address(host, storePort), s.address(storeHost, storePort)); err != nil {
		return nil, err
	}
	n.args = []string{
		role, "-name", name, "-domain", n.domain, "-ip", fmt.Sprintf("%s%d", s.network, host), "-internalPort", fmt.Sprint(entryPort),
		"-storeAddress", s.address(host, storePort), "-drainMs", "4000",
	}
	s.nodes = append(s.nodes, n)
	return n, nil
}

func (s *soak) addEntry(ctx context.Context, i int) error {
	host := 1 + i
	n, err := s.addNode(ctx, fmt.Sprintf("entry-%d", i), "entry", host, true, i)
	if err != nil {
		return err
	}
	n.args = append(n.args, "-callersAddress", s.address(host, callersPort), "-readyAddress", s.address(host, readyPort), "-advertise", s.address(host, proxyPort))
	n.front, err = newProxy(ctx, s.address(host, proxyPort), s.address(host, entryPort))
	return err
}

func (s *soak) addSidecar(ctx context.Context, i int) error {
	host := firstSidecar + i
	n, err := s.addNode(ctx, fmt.Sprintf("sidecar-%d", i), "sidecar", host, false, i)
	if err != nil {
		return err
	}
	b := &platformtest.Backend{ID: fmt.Sprintf("i-%d", i), Service: service, Zone: n.domain, CPU: backendCPU, MemMb: 64_000, Control: s.address(host, announcePort)}
	b.OnRun = func(task string, run uint64, how string) { s.checks.onRun(b.ID, n.domain, task, run, how) }
	b.OnDraining = func() { s.checks.onDraining(b.ID) }
	s.backends = append(s.backends, b)
	go b.Run(ctx)
	n.args = append(n.args, "-announceAddress", s.address(host, announcePort), "-backendAddress", s.address(host, backendPort))
	return serve(ctx, s.address(host, backendPort), b)
}

func (n *node) current() *launcher.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

func (s *soak) startNode(ctx context.Context, n *node) error {
	p, err := launcher.StartProgram(ctx, n.name, s.plan.Program, n.args...)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.process = p
	n.mu.Unlock()
	return nil
}

// work sends jobs while faults are injected, then some when all is sound again.
func (s *soak) work(ctx context.Context) {
	disturbed, cancel := context.WithTimeout(ctx, s.plan.Length)
	defer cancel()
	var callers sync.WaitGroup
	callers.Go(func() { s.sendJobs(disturbed, ctx, &callers) })
	s.inject(disturbed, ctx)
	s.faulted.Wait()
	s.heal()
	callers.Wait()
	s.finish(ctx)
}

// finish sends jobs when all is sound again. All of them are served, unless the machine was starved meanwhile: the bounds of
// the promises hold for processes that are not slowed down. Then they are sent once more, and the report says so.
func (s *soak) finish(ctx context.Context) {
	watched, cancel := context.WithCancel(ctx)
	defer cancel()
	var machine starvation
	go machine.watch(watched)
	for try := range maxFinalTries {
		time.Sleep(calmTime)
		settled := machine.take()
		missed := append(s.finalJobs(ctx, try), s.awaitKept(ctx)...)
		late := max(settled, machine.take())
		if len(missed) == 0 {
			return
		}
		if late < starvedAfter || try == maxFinalTries-1 {
			for _, text := range missed {
				s.checks.violate("%s; the longest delay of a timer was %s", text, late)
			}
			return
		}
		s.checks.starved(late)
	}
}

// finalJobs returns what went wrong with jobs that should all be served.
func (s *soak) finalJobs(ctx context.Context, try int) (missed []string) {
	for i := range finalJobs {
		id := fmt.Sprintf("f%07x%08x", try, i)
		if status, body := s.post(ctx, i%s.plan.Entries, id, 2, "20", 2*time.Second); status != http.StatusOK {
			missed = append(missed, fmt.Sprintf("job %s, sent %s after the last fault: got %d %s, want 200", id, calmTime, status, body))
		}
	}
	return missed
}

func (s *soak) writeLogs() error {
	if err := os.MkdirAll(s.plan.Logs, 0o750); err != nil {
		return trace.ConvertSystemError(err)
	}
	for _, n := range s.nodes {
		path := filepath.Join(s.plan.Logs, fmt.Sprintf("%d-%s.log", s.plan.Seed, n.name))
		if err := os.WriteFile(path, []byte(n.current().Tail(1<<20)), 0o600); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}
