//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/crocuslb/crocuslb/platform/platformtest"
)

// The sizes of the small deployment lyhty-prod.
const (
	entryCount    = 3
	sidecarCount  = 11
	executorCPU   = 32_000
	storeLatency  = 4 * time.Millisecond
	partitions    = "12"
	serviceName   = "dispatch"
	host          = "nony24.example"
	prefix        = "/lohu930/"
	maxAttempts   = 4
	storeHost     = 250
	proxyHosts    = 50  // entry i is reached by the others at host 51 + i
	sidecarHosts  = 100 // sidecar i has host 101 + i
	internalPort  = 7720
	frontPort     = 8161
	readyPort     = 8167
	controlPort   = 8166
	executorPort  = 8080
	storePort     = 8169
	startupLimit  = 20 * time.Second
	settingsFile  = "settings.json"
	deployFile    = "deploy/system.toml"
	processReturn = 300 * time.Millisecond
)

type (
	// cluster is a small deployment on loopback addresses: the project's programs as processes, and the stand-ins.
	cluster struct {
		rec       *recorder
		dir, net  string
		store     *platformtest.Store
		entries   []*machine
		sidecars  []*machine
		executors []*executor
		limited   sync.Map // the jobs with MaxPerServer
	}

	// machine runs one process of the project.
	machine struct {
		c              *cluster
		name, zone, ip string
		role, template string
		fields         map[string]string
		extra          string
		storeProxy     *proxy
		entryProxy     *proxy // in front of an entry's address for the other processes
		mu             sync.Mutex
		process        *exec.Cmd
		done           chan struct{}
		starts         int
		claimed        atomic.Bool // by a disruption that ends the process and starts it again
	}
)

var zones = []string{"oulu", "kajaani", "rovaniemi"}

func newCluster(rec *recorder, dir string) (*cluster, error) {
	c := &cluster{rec: rec, dir: dir, store: &platformtest.Store{}}
	for range 20 {
		c.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		if l, err := net.Listen("tcp", c.address(storeHost, storePort)); err == nil {
			_ = l.Close()
			return c, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

func (c *cluster) address(host, port int) string { return fmt.Sprintf("%s%d:%d", c.net, host, port) }

// publish writes a configuration as the operator does.
func (c *cluster) publish(version int) {
	value, _ := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []map[string]any{{
			"Name": "order", "Host": host, "PathPrefix": prefix, "Backend": serviceName, "Priority": 1, "MaxAttempts": maxAttempts, "Stretch": 1.6,
			"TargetRuntimeMs": 60, "TimeoutMs": 1500,
		}},
		"Services": []map[string]any{{"Name": serviceName, "AdmissionControl": os.Getenv("UNGUARDED") == ""}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144, "MaxHeaderBytes": 16384},
	})
	c.store.Put("keyed.op", "config", value)
}

// start starts stand-ins and processes, and returns once each entry serves.
func (c *cluster) start(ctx context.Context) error {
	c.store.SetFaults(platformtest.StoreFaults{Slow: storeLatency})
	c.publish(7)
	listener, err := net.Listen("tcp", c.address(storeHost, storePort))
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, c.store) }()
	var names, seeds []string
	for i := range entryCount {
		names = append(names, fmt.Sprintf("front-%s-%02d", zones[i%len(zones)], i+1))
		seeds = append(seeds, c.address(proxyHosts+1+i, controlPort))
	}
	for i := range sidecarCount {
		names = append(names, fmt.Sprintf("side-%s-%02d", zones[i%len(zones)], i+1))
	}
	for i, name := range names {
		if err := c.addMachine(i, name, names, seeds); err != nil {
			return err
		}
	}
	for _, x := range c.executors {
		if err := x.boot(); err != nil {
			return err
		}
	}
	for _, m := range append(append([]*machine{}, c.entries...), c.sidecars...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	return c.awaitReady(ctx)
}

func (c *cluster) addMachine(i int, name string, names, seeds []string) error {
	isEntry := i < entryCount
	hostNumber := 1 + i
	if !isEntry {
		i -= entryCount
		hostNumber = sidecarHosts + 1 + i
	}
	m := &machine{c: c, name: name, zone: zones[i%len(zones)], ip: fmt.Sprintf("%s%d", c.net, hostNumber)}
	storeAddress := c.address(hostNumber, storePort)
	var err error
	if m.storeProxy, err = newProxy(storeAddress, c.address(storeHost, storePort), m.zone, nil); err != nil {
		return err
	}
	m.fields = map[string]string{
		"NodeName": name, "Zone": m.zone, "Ip": m.ip, "InternalPorts.0": fmt.Sprint(internalPort), "platform.Address": storeAddress,
		"platform.parts": partitions, "platform.WritesPerS": "800", "Seeds": strings.Join(seeds, ","),
		"ListenAddrs.Front": c.address(hostNumber, frontPort), "ListenAddrs.ReadyAddr": c.address(hostNumber, readyPort),
		"ListenAddrs.Control": c.address(hostNumber, controlPort), "app": c.address(hostNumber, executorPort),
	}
	if isEntry {
		m.role, m.template, m.fields["Limits.CpuShare"] = "entry", "deploy/entry.env", "0.4"
		m.fields["Limits.MemoryMb"], m.fields["Limits.MaxFds"] = "284", "4100"
		proxied := c.address(proxyHosts+hostNumber, internalPort)
		m.extra = "ADVERTISE=" + proxied + "\n" // the other processes reach the entry through the proxy
		if m.entryProxy, err = newProxy(proxied, c.address(hostNumber, internalPort), m.zone, names); err != nil {
			return err
		}
		c.entries = append(c.entries, m)
		return nil
	}
	m.role, m.template, m.fields["Limits.CpuShare"] = "sidecar", "deploy/sidecar.env", "0.24"
	m.fields["Limits.MemoryMb"], m.fields["Limits.MaxFds"] = "152", "4096"
	c.sidecars = append(c.sidecars, m)
	c.executors = append(c.executors, &executor{
		machine: name, zone: m.zone, service: serviceName, address: m.fields["app"], control: m.fields["ListenAddrs.Control"], cpu: executorCPU, rec: c.rec, unguarded: os.Getenv("UNGUARDED") != "",
	})
	return nil
}

// command returns the words with which the deploy file runs a role.
func command(role string) ([]string, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?s)\[roles\.` + role + `\]\s+run = "([^"]+)"`).FindSubmatch(text)
	if found == nil {
		return nil, fmt.Errorf("%s has no role %s", deployFile, role)
	}
	return strings.Fields(string(found[1])), nil
}

// start starts the process with the settings that the platform fills in.
func (m *machine) start() error {
	template, err := os.ReadFile(m.template)
	if err != nil {
		return err
	}
	settings := regexp.MustCompile(`\{\{([^}]+)\}\}`).ReplaceAllStringFunc(string(template), func(field string) string {
		return m.fields[strings.Trim(field, "{}")]
	})
	dir := filepath.Join(m.c.dir, m.name)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	path := filepath.Join(dir, settingsFile)
	if err := os.WriteFile(path, []byte(settings+"\n"+m.extra), 0o600); err != nil {
		return err
	}
	words, err := command(m.role)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts++
	output, err := os.Create(filepath.Join(dir, fmt.Sprintf("%d.log", m.starts)))
	if err != nil {
		return err
	}
	process := exec.Command(words[0], words[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "CROCUSLB_CONFIG=" + path}
	process.Stdout, process.Stderr = output, output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it does not outlive this program
	if err := process.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.process, m.done = process, done
	go func() {
		_ = process.Wait()
		_ = output.Close()
		close(done)
	}()
	m.c.rec.add("process of %s starts", m.name)
	return nil
}

// signal sends a signal to the process that this program started.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		m.c.rec.add("process of %s gets %s", m.name, s)
		_ = m.process.Process.Signal(s)
	}
}

// kill kills the process, and returns once it has ended.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.awaitEnd()
}

func (m *machine) awaitEnd() {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// stop ends all processes that were started.
func (c *cluster) stop() {
	for _, m := range append(append([]*machine{}, c.entries...), c.sidecars...) {
		m.mu.Lock()
		if m.process != nil {
			_ = m.process.Process.Kill()
		}
		m.mu.Unlock()
		m.awaitEnd()
	}
}

// cutFromEntries cuts a sidecar off from all entries, or ends that.
func (c *cluster) cutFromEntries(m *machine, cut bool) {
	c.rec.add("%s is cut off from all entries: %t", m.name, cut)
	for _, e := range c.entries {
		e.entryProxy.setCut(m.name, cut)
	}
}

// cutFromStore cuts a machine off from the store, or ends that.
func (c *cluster) cutFromStore(m *machine, cut bool) {
	c.rec.add("%s is cut off from the store: %t", m.name, cut)
	m.storeProxy.setCut(anyone, cut)
}

// awaitReady returns once each entry is ready and has run a job that need not be kept.
func (c *cluster) awaitReady(ctx context.Context) error {
	for at := time.Now(); time.Since(at) < startupLimit && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		served := 0
		for i := range c.entries {
			j := job{id: newID(), bestEffort: true, steps: []step{{Count: 2 * sidecarCount, CPU: 3100, MemMb: 64, EstimateMs: 20}}, spec: spec{ms: 20, cpu: 3100, failIndex: -1}}
			if status, body := c.submit(ctx, i, j, 2*time.Second); status == http.StatusOK && strings.Contains(body, "succeeded") {
				served++
			}
		}
		if served == len(c.entries) {
			time.Sleep(2 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("not every entry serves")
}

// busiest returns the side machine whose executor has the most runs.
func (c *cluster) busiest() (best *machine) {
	most := -1
	for _, m := range c.sidecars {
		if n := c.rec.running(m.name); n > most {
			best, most = m, n
		}
	}
	return best
}
