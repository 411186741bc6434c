// Package soaker runs the programs of the platform integration as separate processes against emulators of the platform,
// injects external faults by a seeded schedule, and checks the guarantees from what callers and backend servers
// observe.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/launcher"
	"github.com/crocuslb/crocuslb/platform/platformtest"
)

const (
	service          = "svc"
	prefix           = "/jobs/"
	domains          = 3
	backendCPU       = 8000 // thousandths of a core, enough for eight tasks
	entryPort        = 7720
	proxyPort        = 7721
	storePort        = 7000
	callersPort      = 8000
	readyPort        = 8001
	announcePort     = 8002
	backendPort      = 8003
	callerProxyPort  = 8004
	firstSidecarHost = 100
	storeHost        = 250
	startTimeout     = 20 * time.Second
	restartDelay     = 300 * time.Millisecond
	settleTime       = 6 * time.Second // delay between the last fault and the final jobs
	finalJobCount    = 40
)

type (
	// Plan configures a run. A zero value selects the default of the field, if it has one.
	Plan struct {
		Program       string // path of the built program
		Seed          uint64
		Entries       int           // default 3
		Sidecars      int           // default 6
		Duration      time.Duration // time during which jobs are submitted and faults injected; default 20 s
		JobsPerSecond int           // default 30
		FaultInterval time.Duration // mean time between faults; default 700 ms
		// CPUShortage adds jobs with long tasks and the faults of processes that lack processor time to the usual faults.
		CPUShortage bool
		// FirstDurable lets the connections of all entries to the store go silent before the first durable job, and all durable jobs
		// go to one entry, so that the others learn late that there are any.
		FirstDurable bool
		// Losses adds servers that are lost and silent, and a store that serves only some entries, to the usual faults.
		Losses bool
		// Faults names the faults to select from. If it is empty, all are used.
		Faults []string
		LogDir string // directory for the output of the processes; not written if empty
	}

	// Report is the result of a run.
	Report struct {
		Seed    uint64
		Jobs    int
		Answers map[string]int // number of jobs by last response
		Faults  []string       // injected faults in order, with their time
		// TimerDelays lists the longest timer delay of each round in which not all final jobs were served and the
		// machine was overloaded.
		TimerDelays []string
		Violations  []string
		// LongestOrphan is the longest time for which a run went on after its caller's connection had ended.
		LongestOrphan time.Duration
	}

	// soak is a run of a plan.
	soak struct {
		plan          Plan
		addressPrefix string
		random        *rand.Rand
		started       time.Time
		store         *platformtest.Store
		backends      []*platformtest.Backend
		nodes         []*node
		client        *http.Client
		checker       *checker
		faultGroup    sync.WaitGroup
		version       int

		mu             sync.Mutex
		injectedFaults []string
		pauses         []pause
	}

	// pause is a period during which a node's process is suspended.
	pause struct {
		node   *node
		at     time.Time
		length time.Duration
	}

	// node is an entry or sidecar process with the proxies in front of it and in front of its store.
	node struct {
		name       string
		args       []string
		isEntry    bool
		domain     string
		entryProxy *proxy // proxy in front of an entry's listener; nil for sidecars
		// callerProxy is the proxy between callers and an entry; nil for sidecars.
		callerProxy *proxy
		storeProxy  *proxy

		mu      sync.Mutex
		process *launcher.Process
		earlier []*launcher.Process // processes that have ended, oldest first
		claimed bool                // claimed by a fault that terminates the process and restarts it
	}
)

func (p Plan) withDefaults() Plan {
	if p.Entries == 0 {
		p.Entries = 3
	}
	if p.Sidecars == 0 {
		p.Sidecars = 6
	}
	if p.Duration == 0 {
		p.Duration = 20 * time.Second
	}
	if p.JobsPerSecond == 0 {
		p.JobsPerSecond = 30
	}
	if p.FaultInterval == 0 {
		p.FaultInterval = 700 * time.Millisecond
	}
	return p
}

// Run executes the plan. Its processes are killed when it returns.
func Run(ctx context.Context, p Plan) (*Report, error) {
	p = p.withDefaults()
	for _, name := range p.Faults {
		if !slices.Contains(FaultNames(), name) {
			return nil, trace.BadParameter("no fault has the name %q", name)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &soak{
		plan: p, random: rand.New(rand.NewPCG(p.Seed, 3)), started: time.Now(), store: &platformtest.Store{}, version: 1,
		addressPrefix: fmt.Sprintf("127.%d.%d.", 10+os.Getpid()%200, p.Seed%250), checker: newChecker(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	defer s.killProcesses(cancel)
	if err := s.launch(ctx); err != nil {
		return nil, err
	}
	s.runWorkload(ctx)
	if p.LogDir != "" {
		if err := s.writeLogs(); err != nil {
			return nil, err
		}
	}
	r := s.checker.report()
	r.Seed, r.Faults = p.Seed, s.injectedFaults
	return r, nil
}

// killProcesses kills the processes of this run and no others.
func (s *soak) killProcesses(cancel context.CancelFunc) {
	for _, n := range s.nodes {
		if p := n.current(); p != nil {
			p.Resume()
			p.Kill()
		}
	}
	cancel()
}

func (s *soak) address(host, port int) string {
	return fmt.Sprintf("%s%d:%d", s.addressPrefix, host, port)
}

// launch starts the emulators, then the processes, and waits until every entry serves a job.
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
	for at := time.Now(); time.Since(at) < startTimeout; time.Sleep(restartDelay) {
		served := 0
		for i := range s.plan.Entries {
			if status, _ := s.post(ctx, i, job{id: fmt.Sprintf("%016x", i), tasks: 1, runTimeMs: 1, timeout: callTimeout}, time.Second); status == http.StatusOK {
				served++
			}
		}
		if served == s.plan.Entries {
			return nil
		}
	}
	return trace.LimitExceeded("not every entry served a job within %s of the launch", startTimeout)
}

func serve(ctx context.Context, address string, h http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return trace.ConnectionProblem(err, "cannot listen on %s: %v", address, err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // the run has ended
	go func() { _ = server.Serve(listener) }()            // returns when the server is closed
	return nil
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%domains) }

// addNode creates a node with its proxy in front of the store.
func (s *soak) addNode(ctx context.Context, name, role string, host int, entry bool, i int) (*node, error) {
	n := &node{name: name, isEntry: entry, domain: domainName(i)}
	var err error
	if n.storeProxy, err = newProxy(ctx, s.address(host, storePort), s.address(storeHost, storePort)); err != nil {
		return nil, err
	}
	n.args = []string{
		role, "-name", name, "-domain", n.domain, "-ip", fmt.Sprintf("%s%d", s.addressPrefix, host), "-internalPort", fmt.Sprint(entryPort),
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
	if n.entryProxy, err = newProxy(ctx, s.address(host, proxyPort), s.address(host, entryPort)); err != nil {
		return err
	}
	n.callerProxy, err = newProxy(ctx, s.address(host, callerProxyPort), s.address(host, callersPort))
	return err
}

func (s *soak) addSidecar(ctx context.Context, i int) error {
	host := firstSidecarHost + i
	n, err := s.addNode(ctx, fmt.Sprintf("sidecar-%d", i), "sidecar", host, false, i)
	if err != nil {
		return err
	}
	b := &platformtest.Backend{ID: fmt.Sprintf("i-%d", i), Service: service, Zone: n.domain, CPU: backendCPU, MemMb: 64_000, Control: s.address(host, announcePort)}
	b.OnRun = func(task string, run uint64, outcome string) {
		s.checker.onRun(b.ID, n.name, n.domain, task, run, outcome)
	}
	b.OnForgotten = func(task string, _ uint64, outcome string, ended time.Time) {
		s.checker.onForgotten(task, outcome, ended)
	}
	b.OnDraining = func() { s.checker.onDraining(b.ID) }
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
	if n.process != nil {
		n.earlier = append(n.earlier, n.process)
	}
	n.process = p
	n.mu.Unlock()
	return nil
}

// runWorkload submits jobs while faults are injected, then submits the final jobs once all faults have ended.
func (s *soak) runWorkload(ctx context.Context) {
	faultCtx, cancel := context.WithTimeout(ctx, s.plan.Duration)
	defer cancel()
	var callers sync.WaitGroup
	if s.plan.FirstDurable {
		for i := range s.plan.Entries {
			s.entry(i).storeProxy.stall()
		}
	}
	callers.Go(func() { s.sendJobs(faultCtx, ctx, &callers) })
	s.faultGroup.Go(func() { s.rebalance(faultCtx) })
	if s.plan.Losses {
		s.faultGroup.Go(func() { s.injectLosses(faultCtx, ctx) })
	}
	s.inject(faultCtx, ctx)
	s.faultGroup.Wait()
	s.clearFaults()
	callers.Wait()
	s.verifyRecovery(ctx)
}

// verifyRecovery submits jobs after all faults have ended. All of them must be served, unless the machine was
// overloaded meanwhile: the time limits of the guarantees assume that processes are not slowed down. In that case the
// jobs are submitted again, and the report lists the timer delay.
func (s *soak) verifyRecovery(ctx context.Context) {
	monitorCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var monitor timerMonitor
	go monitor.watch(monitorCtx)
	for round := range maxFinalRounds {
		time.Sleep(settleTime)
		settleDelay := monitor.takeMaxDelay()
		failures := append(s.sendFinalJobs(ctx, round), s.awaitDurableJobs(ctx)...)
		delay := max(settleDelay, monitor.takeMaxDelay())
		if len(failures) == 0 {
			return
		}
		if delay < starvationThreshold || round == maxFinalRounds-1 {
			for _, text := range failures {
				s.checker.addViolation("%s; the longest timer delay was %s", text, delay)
			}
			return
		}
		s.checker.addTimerDelay(delay)
	}
}

// sendFinalJobs submits jobs that must all be served, and returns the failures.
func (s *soak) sendFinalJobs(ctx context.Context, round int) (failures []string) {
	for i := range finalJobCount {
		id := fmt.Sprintf("f%07x%08x", round, i)
		if status, body := s.post(ctx, i%s.plan.Entries, job{id: id, tasks: 2, runTimeMs: 20, timeout: callTimeout}, callTimeout); status != http.StatusOK {
			failures = append(failures, fmt.Sprintf("job %s, submitted %s after the last fault: got %d %s, want 200", id, settleTime, status, body))
		}
	}
	return failures
}

func (s *soak) writeLogs() error {
	if err := os.MkdirAll(s.plan.LogDir, 0o750); err != nil {
		return trace.ConvertSystemError(err)
	}
	for _, n := range s.nodes {
		if err := s.writeLog(n.name, n.output()); err != nil {
			return err
		}
	}
	return s.writeLog("observer", s.checker.events.String())
}

func (s *soak) writeLog(name, text string) error {
	path := filepath.Join(s.plan.LogDir, fmt.Sprintf("%d-%s.log", s.plan.Seed, name))
	return trace.ConvertSystemError(os.WriteFile(path, []byte(text), 0o600))
}

// output returns the output of all processes that the node has had.
func (n *node) output() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var parts []string
	for _, p := range append(slices.Clone(n.earlier), n.process) {
		parts = append(parts, p.Tail(1<<20))
	}
	return strings.Join(parts, "\n")
}
