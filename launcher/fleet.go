// Package launcher runs a fleet of separate processes on loopback for tests and for the fault runner: the log and
// backend server doubles, entries and sidecars. The product itself starts no process.
package launcher

import (
	"context"
	"crypto/tls"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/messenger"
)

const (
	secret = "a secret for one run on loopback only"
	// Token is the operators' token of the fleet.
	Token = "operator-token-of-the-fleet"
)

type (
	// Start is one start of a task at a backend server.
	Start struct {
		Task    string
		Backend int
		Millis  int64 // wall clock, ms since 1970
	}

	// Fleet is a set of processes. Set Directory and the sizes before Launch.
	Fleet struct {
		Directory string // holds the built programs
		Entries   int
		Backends  int
		Domains   int
		Slots     int
		Members   bool // the entries and sidecars take part in membership

		ctx       context.Context
		mu        sync.Mutex
		processes map[string]*Process
		ended     []*Process // replaced by newer ones of the same name
		starts    []Start
		logURL    string
		backends  []string
		quic      []string
		http      []string
		members   []string // member addresses of the entries
	}
)

// Build compiles the programs into a directory. It runs the Go tool in the module that contains the working directory.
func Build(ctx context.Context, directory string) error {
	for _, name := range []string{"crocuslb", "emulator", "platformnode"} {
		c := exec.CommandContext(ctx, "go", "build", "-o", filepath.Join(directory, name), //nolint:gosec // the names are constant
			"github.com/crocuslb/crocuslb/cmd/"+name)
		if out, err := c.CombinedOutput(); err != nil {
			return trace.Wrap(err, "cannot build %s: %s", name, out)
		}
	}
	return nil
}

// Launch starts all processes and returns when the log, backends and entries listen. The processes end with ctx.
func (f *Fleet) Launch(ctx context.Context) error {
	f.ctx, f.processes = ctx, map[string]*Process{}
	f.backends = make([]string, f.Backends)
	for range f.Entries {
		quic, err := freePort("udp")
		if err != nil {
			return err
		}
		web, err := freePort("tcp")
		if err != nil {
			return err
		}
		f.quic, f.http = append(f.quic, quic), append(f.http, web)
		if f.Members {
			member, err := freePort("udp")
			if err != nil {
				return err
			}
			f.members = append(f.members, member)
		}
	}
	if err := f.StartLog(); err != nil {
		return err
	}
	for i := range f.Backends {
		if err := f.StartBackend(i); err != nil {
			return err
		}
	}
	for i := range f.Entries {
		if err := f.StartEntry(i); err != nil {
			return err
		}
	}
	for i := range f.Backends {
		if err := f.StartSidecar(i); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all processes and waits until they have ended. Without the wait, a program that exits right after it canceled
// the context would leave processes behind.
func (f *Fleet) Close() {
	f.mu.Lock()
	running := slices.Concat(f.ended, slices.Collect(maps.Values(f.processes)))
	f.mu.Unlock()
	for _, p := range running {
		p.Kill()
	}
	for _, p := range running {
		<-p.done
	}
}

// StartLog starts the log double, or starts it again empty on the same address.
func (f *Fleet) StartLog() error {
	address := strings.TrimPrefix(f.logURL, "http://")
	if address == "" {
		address = "127.0.0.1:0"
	}
	url, err := f.startDouble("log", nil, "log", "-address", address)
	f.logURL = url
	return err
}

// StartBackend starts backend server i, or starts it again on the same address.
func (f *Fleet) StartBackend(i int) error {
	address := strings.TrimPrefix(f.backends[i], "http://")
	if address == "" {
		address = "127.0.0.1:0"
	}
	url, err := f.startDouble(BackendName(i), func(line string) { f.note(i, line) }, "backend", "-address", address,
		"-slots", strconv.Itoa(f.Slots))
	f.backends[i] = url
	return err
}

// StartEntry starts entry i, or starts it again on the same addresses.
func (f *Fleet) StartEntry(i int) error {
	args := []string{
		"entry", "-id", EntryName(i), "-httpAddress", f.http[i], "-address", f.quic[i], "-logUrl", f.logURL, "-secret", secret,
		"-token", Token,
	}
	if f.Members {
		args = append(args, f.memberArgs(f.members[i])...)
	}
	return f.start(EntryName(i), nil, "crocuslb", args...)
}

// StartSidecar starts the sidecar beside backend server i.
func (f *Fleet) StartSidecar(i int) error {
	args := []string{
		"sidecar", "-id", SidecarName(i), "-domain", f.Domain(i), "-worker", "worker-" + strconv.Itoa(i),
		"-slots", strconv.Itoa(f.Slots), "-backendUrl", f.backends[i], "-entries", strings.Join(f.quic, ","), "-secret", secret,
	}
	if f.Members {
		args = append(args, f.memberArgs("127.0.0.1:0")...)
	}
	return f.start(SidecarName(i), nil, "crocuslb", args...)
}

func (f *Fleet) memberArgs(address string) []string {
	return []string{"-memberAddress", address, "-memberSeeds", strings.Join(f.members, ",")}
}

// Process returns the running process of a name, or nil.
func (f *Fleet) Process(name string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

// WriteLogs writes the output of all processes so far into a directory, one file for each name.
func (f *Fleet) WriteLogs(directory string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	texts := map[string]string{}
	for _, p := range append(f.ended[:len(f.ended):len(f.ended)], slices.Collect(maps.Values(f.processes))...) {
		texts[p.Name] += p.Tail(maxLines) + "\n"
	}
	for name, text := range texts {
		if err := os.WriteFile(filepath.Join(directory, name+".log"), []byte(text), 0o600); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

// Starts returns all starts so far, at backend servers that are alive and at those that were killed.
func (f *Fleet) Starts() []Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Start(nil), f.starts...)
}

// EntryURL returns the base URL of entry i.
func (f *Fleet) EntryURL(i int) string { return "http://" + f.http[i] }

// EntryAddress returns the address at which sidecars reach entry i.
func (f *Fleet) EntryAddress(i int) string { return f.quic[i] }

// Keys returns the keys of the sessions between the processes.
func (f *Fleet) Keys() (*tls.Config, error) { return messenger.Keys(secret) }

// BackendURL returns the base URL of backend server i.
func (f *Fleet) BackendURL(i int) string { return f.backends[i] }

// Domain returns the failure domain of backend server i.
func (f *Fleet) Domain(i int) string { return "domain-" + strconv.Itoa(i%f.Domains) }

// ControlLog changes the settings of the log double; body is its JSON control request.
func (f *Fleet) ControlLog(body string) error {
	q, err := http.NewRequestWithContext(f.ctx, http.MethodPost, f.logURL+"/control", strings.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = r.Body.Close() }() // nothing is left to read
	if r.StatusCode != http.StatusOK {
		return trace.BadParameter("log control answered %s", r.Status)
	}
	return nil
}

// EntryName returns the process name of entry i.
func EntryName(i int) string { return "entry-" + strconv.Itoa(i) }

// SidecarName returns the process name of sidecar i.
func SidecarName(i int) string { return "sidecar-" + strconv.Itoa(i) }

// BackendName returns the process name of backend server i.
func BackendName(i int) string { return "backend-" + strconv.Itoa(i) }

func (f *Fleet) startDouble(name string, onLine func(string), args ...string) (string, error) {
	if err := f.start(name, onLine, "emulator", args...); err != nil {
		return "", err
	}
	line, err := f.Process(name).WaitLine(f.ctx, "listening ")
	return strings.TrimPrefix(line, "listening "), err
}

func (f *Fleet) start(name string, onLine func(string), program string, args ...string) error {
	p, err := start(f.ctx, name, onLine, filepath.Join(f.Directory, program), args...)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.processes[name]; old != nil {
		f.ended = append(f.ended, old)
	}
	f.processes[name] = p
	return nil
}

func (f *Fleet) note(backend int, line string) {
	s := Start{Backend: backend}
	if n, _ := fmt.Sscanf(line, "start %d %s", &s.Millis, &s.Task); n != 2 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, s)
}

// freePort returns a loopback address that was free a moment ago.
func freePort(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0") //nolint:noctx // returns at once
		if err != nil {
			return "", trace.Wrap(err)
		}
		defer func() { _ = c.Close() }() // only the address is needed
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // returns at once
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer func() { _ = l.Close() }() // only the address is needed
	return l.Addr().String(), nil
}
