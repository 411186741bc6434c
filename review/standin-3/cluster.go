//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
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
	program      = "target/platformnode"
	prefix       = "/jobs/"
	sessionPort  = 7720
	metricsPort  = 9464
	storePort    = 8169
	callersPort  = 8161
	readyPort    = 8167
	controlPort  = 8166
	serverPort   = 8080 // of the proxy before a server
	backendPort  = 8081
	storeHost    = 250
	firstEntry   = 1
	firstSidecar = 100
	domains      = 3
	startTimeout = 20 * time.Second
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 300 * time.Millisecond
)

type (
	// cluster is an installation of a small deployment: entries, sidecars with a server each, and the store.
	cluster struct {
		record  *recorder
		subnet  string
		store   *platformtest.Store
		dealer  *dealer
		dir     string
		entries []*process
		sidecar []*process
		servers []*process
		proxies []*proxy // between the sidecars and their servers
		cancel  context.CancelFunc

		mu     sync.Mutex
		events []event
	}

	// process is a program that can be started again with the same arguments.
	process struct {
		name    string
		args    []string
		environ []string

		mu      sync.Mutex
		command *exec.Cmd
		done    chan struct{}
	}

	// event is the start or the end of a run at a server.
	event struct {
		at     time.Time
		server int
		task   string
		run    string
		what   string
	}
)

// launch starts an installation with the given numbers of entries and sidecars, and waits until all entries are ready and all
// servers are known. serviceOf returns the service of a server.
func (c *cluster) launch(ctx context.Context, entries, sidecars int, serviceOf func(i int) string) error {
	ctx, c.cancel = context.WithCancel(ctx)
	var err error
	if c.dir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	if c.subnet, err = freeSubnet(ctx); err != nil {
		return err
	}
	c.store = &platformtest.Store{}
	c.dealer = &dealer{next: c.store, record: c.record, members: map[string]time.Time{}}
	c.publish(1, serviceOf(0))
	if err := serve(ctx, c.address(storeHost, storePort), c.dealer); err != nil {
		return err
	}
	var seeds []string
	for i := range entries {
		seeds = append(seeds, c.address(firstEntry+i, controlPort))
	}
	for i := range entries {
		name, address := fmt.Sprintf("front-z%d-%d", i%domains, i), c.address(storeHost-1-i, storePort)
		if err := serve(ctx, address, c.dealer.forMember(name)); err != nil {
			return err
		}
		p, err := c.newNode("entry", name, i, firstEntry+i, address, strings.Join(seeds, ","))
		if err != nil {
			return err
		}
		c.entries = append(c.entries, p)
	}
	for i := range sidecars {
		p, err := c.newNode("sidecar", fmt.Sprintf("side-z%d-%d", i%domains, i), i, firstSidecar+i, c.address(storeHost, storePort), strings.Join(seeds, ","))
		if err != nil {
			return err
		}
		c.sidecar = append(c.sidecar, p)
		c.servers = append(c.servers, c.newServer(i, serviceOf(i)))
		between, err := newProxy(ctx, c.address(firstSidecar+i, serverPort), c.address(firstSidecar+i, backendPort))
		if err != nil {
			return err
		}
		c.proxies = append(c.proxies, between)
	}
	for _, list := range [][]*process{c.entries, c.sidecar, c.servers} {
		for _, p := range list {
			if err := c.start(ctx, p); err != nil {
				return err
			}
		}
	}
	return c.awaitReady(ctx, entries)
}

// newNode returns the process of an entry or a sidecar, with settings from the templates of the deploy file.
func (c *cluster) newNode(role, name string, i, host int, store, seeds string) (*process, error) {
	template, err := os.ReadFile("deploy/" + role + ".env") //nolint:gosec // role is a constant
	if err != nil {
		return nil, err
	}
	ip := c.subnet + fmt.Sprint(host)
	cores, memory, descriptors := "0.4", "284", "4100"
	if role == "sidecar" {
		cores, memory, descriptors = "0.24", "152", "4096"
	}
	text := strings.NewReplacer(
		"{{NodeName}}", name, "{{Zone}}", fmt.Sprintf("z%d", i%domains), "{{Ip}}", ip, "{{InternalPorts.0}}", fmt.Sprint(sessionPort),
		"{{platform.Address}}", store, "{{ListenAddrs.Front}}", c.address(host, callersPort),
		"{{ListenAddrs.ReadyAddr}}", c.address(host, readyPort), "{{ListenAddrs.Control}}", c.address(host, controlPort),
		"{{app}}", c.address(host, serverPort), "{{platform.parts}}", "12", "{{platform.WritesPerS}}", "800", "{{Seeds}}", seeds,
		"{{Limits.CpuShare}}", cores, "{{Limits.MemoryMb}}", memory, "{{Limits.MaxFds}}", descriptors,
	).Replace(string(template))
	path := filepath.Join(c.dir, name+".env")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil { //nolint:gosec // a file of the temporary folder
		return nil, err
	}
	return &process{name: name, args: []string{program, role}, environ: []string{"CROCUSLB_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + c.dir}}, nil
}

func (c *cluster) newServer(i int, service string) *process {
	host := firstSidecar + i
	return &process{name: fmt.Sprintf("server-%d", i), args: []string{
		os.Args[0], "server", "-id", fmt.Sprintf("i-%d", i), "-service", service, "-zone", fmt.Sprintf("z%d", i%domains),
		"-control", c.address(host, controlPort), "-listen", c.address(host, backendPort),
	}}
}

func (c *cluster) address(host, port int) string { return fmt.Sprintf("%s%d:%d", c.subnet, host, port) }

// freeSubnet returns a part of the loopback range that no other process uses.
func freeSubnet(ctx context.Context) (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, address := range []string{fmt.Sprintf("%s1:%d", subnet, metricsPort), fmt.Sprintf("%s%d:%d", subnet, storeHost, storePort)} {
			listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
			if err != nil {
				free = false
				continue
			}
			_ = listener.Close() // it was only a trial
		}
		if free {
			return subnet, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func serve(ctx context.Context, address string, h http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // the case has ended
	go func() { _ = server.Serve(listener) }()            // returns when the server is closed
	return nil
}

// start starts a process. What a server prints becomes events; the other output is dropped.
func (c *cluster) start(ctx context.Context, p *process) error {
	command := exec.CommandContext(ctx, p.args[0], p.args[1:]...) //nolint:gosec // the project's programs and this one
	command.Env = p.environ
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.command, p.done = command, done
	p.mu.Unlock()
	go func() {
		defer close(done)
		s := bufio.NewScanner(out)
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			c.onLine(p, s.Text())
		}
		_ = command.Wait() // processes are killed on purpose
	}()
	return nil
}

func (c *cluster) onLine(p *process, line string) {
	var e event
	var nanos int64
	if _, err := fmt.Sscanf(line, "RUN %s %s %s %d", &e.task, &e.run, &e.what, &nanos); err != nil {
		return
	}
	if _, err := fmt.Sscanf(p.name, "server-%d", &e.server); err != nil {
		return
	}
	e.at = time.Unix(0, nanos)
	c.mu.Lock()
	c.events = append(c.events, e)
	c.mu.Unlock()
	c.record.add("server %d: task %s, run %s %s", e.server, e.task, e.run, e.what)
}

// signal sends a signal to a process.
func (c *cluster) signal(p *process, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.record.add("signal %v to %s", s, p.name)
	_ = p.command.Process.Signal(s) // fails only if the process has ended
}

// kill kills a process and waits for its end.
func (c *cluster) kill(p *process) {
	c.signal(p, syscall.SIGKILL)
	<-p.done
}

func (c *cluster) awaitReady(ctx context.Context, entries int) error {
	for at := time.Now(); time.Since(at) < startTimeout && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range entries {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address(firstEntry+i, readyPort)+"/ready", nil)
			if err != nil {
				return err
			}
			if response, err := http.DefaultClient.Do(r); err == nil {
				_ = response.Body.Close() // only the status is used
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == entries {
			time.Sleep(3 * time.Second) // the sessions of all sidecars
			return nil
		}
	}
	return errors.New("the entries did not become ready")
}

// eventsOf returns the events of the tasks of a job so far.
func (c *cluster) eventsOf(job string) (list []event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.events {
		if strings.HasPrefix(e.task, job+".") {
			list = append(list, e)
		}
	}
	return list
}

// close ends all processes.
func (c *cluster) close() {
	if c.cancel != nil {
		c.cancel()
	}
	for _, list := range [][]*process{c.servers, c.sidecar, c.entries} {
		for _, p := range list {
			p.mu.Lock()
			if p.command != nil && p.command.Process != nil {
				_ = p.command.Process.Kill() // it may have ended
			}
			done := p.done
			p.mu.Unlock()
			if done != nil {
				<-done
			}
		}
	}
	if c.dir != "" {
		_ = os.RemoveAll(c.dir) // a temporary directory
	}
}
