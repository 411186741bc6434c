// Package launcher runs a fleet of crocuslb processes on loopback for tests and the fault runner: the emulated
// log and backend servers, the entries and the sidecars. The product itself starts no processes.
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
	// OperatorToken is the token with which operators authenticate to the fleet.
	OperatorToken = "operator-token-of-the-fleet"
)

type (
	// TaskStart is one start of a task on a backend server.
	TaskStart struct {
		Task       string
		Backend    int
		UnixMillis int64 // wall-clock time in ms since the Unix epoch
	}

	// Fleet is a set of processes. Set the directory and the sizes before calling Launch.
	Fleet struct {
		ProgramDir string // directory of the built programs
		Entries    int
		Backends   int
		Domains    int
		Slots      int
		Membership bool // whether entries and sidecars join the membership protocol

		ctx              context.Context
		mu               sync.Mutex
		processes        map[string]*Process
		replaced         []*Process // processes replaced by a newer one of the same name
		starts           []TaskStart
		logURL           string
		backendURLs      []string
		sessionAddresses []string
		httpAddresses    []string
		memberAddresses  []string // membership addresses of the entries
	}
)

// Build compiles the programs into a directory. It runs the go command in the module of the working directory.
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

// Launch starts all processes and returns once the log, the backend servers and the entries are listening. The
// processes are killed when ctx is canceled.
func (f *Fleet) Launch(ctx context.Context) error {
	f.ctx, f.processes = ctx, map[string]*Process{}
	f.backendURLs = make([]string, f.Backends)
	for range f.Entries {
		sessionAddress, err := freeAddress("udp")
		if err != nil {
			return err
		}
		httpAddress, err := freeAddress("tcp")
		if err != nil {
			return err
		}
		f.sessionAddresses, f.httpAddresses = append(f.sessionAddresses, sessionAddress),
			append(f.httpAddresses, httpAddress)
		if f.Membership {
			member, err := freeAddress("udp")
			if err != nil {
				return err
			}
			f.memberAddresses = append(f.memberAddresses, member)
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

// Close kills all processes and waits for them to exit. Without the wait, a program that exits right after canceling
// the context would leave processes running.
func (f *Fleet) Close() {
	f.mu.Lock()
	running := slices.Concat(f.replaced, slices.Collect(maps.Values(f.processes)))
	f.mu.Unlock()
	for _, p := range running {
		p.Kill()
	}
	for _, p := range running {
		<-p.done
	}
}

// StartLog starts the log emulator, or restarts it, empty, on the same address.
func (f *Fleet) StartLog() error {
	address := strings.TrimPrefix(f.logURL, "http://")
	if address == "" {
		address = "127.0.0.1:0"
	}
	url, err := f.startEmulator("log", nil, "log", "-address", address)
	f.logURL = url
	return err
}

// StartBackend starts backend server i, or restarts it on the same address.
func (f *Fleet) StartBackend(i int) error {
	address := strings.TrimPrefix(f.backendURLs[i], "http://")
	if address == "" {
		address = "127.0.0.1:0"
	}
	url, err := f.startEmulator(BackendName(i), func(line string) { f.recordStart(i, line) },
		"backend", "-address", address, "-slots", strconv.Itoa(f.Slots))
	f.backendURLs[i] = url
	return err
}

// StartEntry starts entry i, or restarts it on the same addresses.
func (f *Fleet) StartEntry(i int) error {
	args := []string{
		"entry", "-id", EntryName(i), "-httpAddress", f.httpAddresses[i], "-address", f.sessionAddresses[i],
		"-logUrl", f.logURL, "-secret", secret, "-token", OperatorToken,
	}
	if f.Membership {
		args = append(args, f.membershipArgs(f.memberAddresses[i])...)
	}
	return f.start(EntryName(i), nil, "crocuslb", args...)
}

// StartSidecar starts the sidecar of backend server i.
func (f *Fleet) StartSidecar(i int) error {
	args := []string{
		"sidecar", "-id", SidecarName(i), "-domain", f.Domain(i), "-worker", "worker-" + strconv.Itoa(i),
		"-slots", strconv.Itoa(f.Slots), "-backendUrl", f.backendURLs[i],
		"-entries", strings.Join(f.sessionAddresses, ","), "-secret", secret,
	}
	if f.Membership {
		args = append(args, f.membershipArgs("127.0.0.1:0")...)
	}
	return f.start(SidecarName(i), nil, "crocuslb", args...)
}

func (f *Fleet) membershipArgs(address string) []string {
	return []string{"-memberAddress", address, "-memberSeeds", strings.Join(f.memberAddresses, ",")}
}

// Process returns the latest process with the given name, or nil.
func (f *Fleet) Process(name string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

// WriteLogs writes the output of all processes so far into a directory, one file per process name.
func (f *Fleet) WriteLogs(directory string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	outputs := map[string]string{}
	for _, p := range append(f.replaced[:len(f.replaced):len(f.replaced)], slices.Collect(maps.Values(f.processes))...) {
		outputs[p.Name] += p.Tail(maxLines) + "\n"
	}
	for name, text := range outputs {
		if err := os.WriteFile(filepath.Join(directory, name+".log"), []byte(text), 0o600); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

// Starts returns all task starts so far, including those on backend servers that have been killed since.
func (f *Fleet) Starts() []TaskStart {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]TaskStart(nil), f.starts...)
}

// EntryURL returns the base URL of entry i.
func (f *Fleet) EntryURL(i int) string { return "http://" + f.httpAddresses[i] }

// EntryAddress returns the address to which sidecars connect at entry i.
func (f *Fleet) EntryAddress(i int) string { return f.sessionAddresses[i] }

// TLSConfig returns the TLS configuration of the sessions between processes.
func (f *Fleet) TLSConfig() (*tls.Config, error) { return messenger.NewTLSConfig(secret) }

// BackendURL returns the base URL of backend server i.
func (f *Fleet) BackendURL(i int) string { return f.backendURLs[i] }

// Domain returns the failure domain of backend server i.
func (f *Fleet) Domain(i int) string { return "domain-" + strconv.Itoa(i%f.Domains) }

// ControlLog changes the settings of the log emulator. The body is a JSON control request.
func (f *Fleet) ControlLog(body string) error {
	request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, f.logURL+"/control", strings.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }() // nothing is left to read
	if response.StatusCode != http.StatusOK {
		return trace.BadParameter("log control request failed: status %s", response.Status)
	}
	return nil
}

// EntryName returns the process name of entry i.
func EntryName(i int) string { return "entry-" + strconv.Itoa(i) }

// SidecarName returns the process name of sidecar i.
func SidecarName(i int) string { return "sidecar-" + strconv.Itoa(i) }

// BackendName returns the process name of backend server i.
func BackendName(i int) string { return "backend-" + strconv.Itoa(i) }

func (f *Fleet) startEmulator(name string, onLine func(string), args ...string) (string, error) {
	if err := f.start(name, onLine, "emulator", args...); err != nil {
		return "", err
	}
	line, err := f.Process(name).WaitForLine(f.ctx, "listening ")
	return strings.TrimPrefix(line, "listening "), err
}

func (f *Fleet) start(name string, onLine func(string), program string, args ...string) error {
	p, err := startProcess(f.ctx, name, onLine, filepath.Join(f.ProgramDir, program), args...)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.processes[name]; old != nil {
		f.replaced = append(f.replaced, old)
	}
	f.processes[name] = p
	return nil
}

func (f *Fleet) recordStart(backend int, line string) {
	s := TaskStart{Backend: backend}
	if n, _ := fmt.Sscanf(line, "start %d %s", &s.UnixMillis, &s.Task); n != 2 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, s)
}

// freeAddress returns a loopback address whose port was free at the time of the call.
func freeAddress(network string) (string, error) {
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
