package conductor

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/platform/standin"
	"github.com/crocuslb/crocuslb/recorder"
	"github.com/crocuslb/crocuslb/timer"
)

// patientMs is an estimate with which jobs wait for room on a busy machine instead of being refused.
const longEstimateMs = 3000

// fleet is an installation in one process: stand-ins of the platform, entries and sidecars, each with a loopback address
// of its own.
type testCluster struct {
	t              *testing.T
	ctx            context.Context
	network        string
	store          *standin.Store
	backends       []*standin.Backend
	entryAddresses []string // addresses for callers
	seeds          []string
	stopProcess    map[string]func()
	logs           *lockedBuffer

	mu            sync.Mutex
	activeRuns    map[string]int
	startedRuns   map[string]int // runs that began, by backend server
	completedRuns map[string]int // runs that ended with success, by task
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newTestCluster(t *testing.T, entries, sidecars int) *testCluster {
	ctx, cancel := context.WithCancel(t.Context())
	f := &testCluster{
		t: t, ctx: ctx, network: fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250)), store: &standin.Store{},
		stopProcess: map[string]func(){}, logs: &lockedBuffer{}, activeRuns: map[string]int{}, startedRuns: map[string]int{},
		completedRuns: map[string]int{},
	}
	t.Cleanup(cancel)
	f.configure(1, "/a/", "/b/")
	f.serve(f.address(250, 7000), f.store)
	for i := range entries {
		f.startEntry(i)
	}
	for i := range sidecars {
		f.startSidecar(i)
	}
	f.eventually("ready", func() bool {
		for _, at := range f.entryAddresses {
			if status, body := f.post(at, "/a/", "00000000000000ff", 1, "1"); status != http.StatusOK || !strings.Contains(body, "succeeded") {
				return false
			}
		}
		return true
	})
	return f
}

func (f *testCluster) address(host, port int) string {
	return fmt.Sprintf("%s%d:%d", f.network, host, port)
}

func (f *testCluster) serve(address string, h http.Handler) {
	listener, err := (&net.ListenConfig{}).Listen(f.ctx, "tcp", address)
	if err != nil {
		f.t.Fatalf("cannot listen on %s: %v", address, err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // it ends with the test
	f.t.Cleanup(func() { _ = server.Close() })
}

func (f *testCluster) configure(version int, prefixes ...string) {
	f.store.Configure(version, "svc", prefixes...)
}

func (f *testCluster) options(name, domain string, host int) Options {
	r := &recorder.Recorder{Writer: f.logs}
	go r.Run(f.ctx.Done())
	return Options{
		Name: name, Domain: domain, Address: f.address(host, 7720), StoreAddress: f.address(250, 7000), DrainTime: 3 * timer.Second, Weight: 400, Seeds: f.seeds, Partitions: 12, WritesPerSecond: 800,
		MetricsAddress: f.address(host, 9464), Logger: &log.Logger{Handler: r, Level: log.InfoLevel}, DroppedLogLines: r.Dropped,
	}
}

func (f *testCluster) start(name string, run func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(f.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := run(ctx); err != nil {
			f.t.Errorf("%s: %v", name, err)
		}
	}()
	f.stopProcess[name] = func() {
		cancel()
		<-done
	}
}

func (f *testCluster) startEntry(i int) {
	o := f.options(fmt.Sprintf("entry-%d", i), testDomain(i), 1+i)
	o.CallersAddress, o.ReadyAddress = f.address(1+i, 8000), f.address(1+i, 8001)
	f.entryAddresses = append(f.entryAddresses, o.CallersAddress)
	f.start(o.Name, (&Entry{Options: o}).Run)
}

func (f *testCluster) startSidecar(i int) {
	host := 100 + i
	o := f.options(fmt.Sprintf("sidecar-%d", i), testDomain(i), host)
	o.AnnounceAddress, o.BackendAddress = f.address(host, 8002), f.address(host, 8003)
	id := fmt.Sprintf("i-%d", i)
	b := &standin.Backend{ID: id, Service: "svc", Zone: o.Domain, CPU: 8000, MemMb: 8000, Control: o.AnnounceAddress}
	b.OnRun = func(task string, run uint64, how string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if how != "" {
			f.activeRuns[task]--
			if how == "done" {
				f.completedRuns[task]++
			}
			return
		}
		f.activeRuns[task]++
		f.startedRuns[id]++
		if f.activeRuns[task] > 1 {
			f.t.Errorf("task %s, run %d on %s: got %d runs at once, want one", task, run, id, f.activeRuns[task])
		}
	}
	f.backends = append(f.backends, b)
	f.serve(o.BackendAddress, b)
	go b.Run(f.ctx)
	f.start(o.Name, (&Sidecar{Options: o}).Run)
}

// restartSidecar starts a sidecar process again beside its backend server.
func (f *testCluster) restartSidecar(i int) {
	host := 100 + i
	o := f.options(fmt.Sprintf("sidecar-%d", i), testDomain(i), host)
	o.AnnounceAddress, o.BackendAddress = f.address(host, 8002), f.address(host, 8003)
	f.start(o.Name+" again", (&Sidecar{Options: o}).Run)
}

func testDomain(i int) string { return []string{"north", "south"}[i%2] }

func (f *testCluster) post(at, prefix, id string, tasks int, spec string) (int, string) {
	r, err := standin.Submission(at, prefix, id, tasks, spec, longEstimateMs, 2500)
	if err != nil {
		f.t.Fatal(err)
	}
	return f.do(r)
}

func (f *testCluster) call(method, at, path, body string) (int, string) {
	r, err := http.NewRequestWithContext(f.ctx, method, "http://"+at+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = standin.Host
	return f.do(r)
}

func (f *testCluster) do(r *http.Request) (int, string) {
	response, err := http.DefaultClient.Do(r.WithContext(f.ctx))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

func (f *testCluster) eventually(what string, ok func() bool) {
	f.t.Helper()
	for started := time.Now(); time.Since(started) < 20*time.Second; time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("%s: did not come true in 20 s; logs: %s", what, f.logs.String())
}

// TestPath serves callers through entries, sidecars and stand-ins of the platform over real connections.
func TestPath(t *testing.T) {
	f := newTestCluster(t, 2, 3)
	cases := []struct {
		name, method, path, body string
		status                   int
		answer                   string
	}{
		{"job", "POST", "/a/0000000000000001", `{"Spec":"30","BestEffort":true,"Steps":[{"Count":5,"Cpu":1000,"EstimateMs":3000}]}`, 200, "succeeded"},
		{"job that fails", "POST", "/a/0000000000000002", `{"Spec":"0","BestEffort":true,"Steps":[{"Count":1,"Cpu":1000,"EstimateMs":3000}]}`, 200, "failed"},
		{"larger than any worker", "POST", "/a/0000000000000003", `{"Spec":"30","BestEffort":true,"Steps":[{"Count":1,"Cpu":100000,"EstimateMs":30}]}`, 503, "{}"},
		{"several steps", "POST", "/a/0000000000000005", `{"Spec":"30","BestEffort":true,"Steps":[{"Count":2,"EstimateMs":3000},{"Count":3,"EstimateMs":3000,"After":[0]}]}`, 200, "succeeded"},
		{"step that waits for a later one", "POST", "/a/000000000000000a", `{"Spec":"30","BestEffort":true,"Steps":[{"Count":1,"After":[1]},{"Count":1}]}`, 400, "{}"},
		{"label of no backend server", "POST", "/a/000000000000000b", `{"Spec":"30","BestEffort":true,"Steps":[{"Count":1,"RequiredLabel":"z"}]}`, 503, "{}"},
		{"one on each server", "POST", "/a/000000000000000c", `{"Spec":"30","BestEffort":true,"Steps":[{"Count":3,"EstimateMs":3000,"MaxPerServer":1,"RequiredLabel":"a"}]}`, 200, "succeeded"},
		{"gang", "POST", "/a/0000000000000006", `{"Spec":"30","BestEffort":true,"Steps":[{"Count":2,"Gang":true}]}`, 503, "{}"},
		{"identifier with a dot", "POST", "/a/x.1", `{"Spec":"1","BestEffort":true,"Steps":[{"Count":1,"EstimateMs":30}]}`, 400, "{}"},
		{"no steps", "POST", "/a/0000000000000007", `{"BestEffort":true}`, 400, "{}"},
		{"not JSON", "POST", "/a/0000000000000008", `{"Spec"`, 400, "{}"},
		{"body over the limit", "POST", "/a/0000000000000009", `{"Spec":"` + strings.Repeat("x", 11_000) + `"}`, 413, "{}"},
		{"no such queue", "POST", "/c/0000000000000001", `{}`, 404, "{}"},
		{"state of a restartable job", "GET", "/a/0000000000000001", "", 410, "{}"},
		{"cancel of an unknown job", "DELETE", "/a/0000000000000001", "", 410, "{}"},
		{"queue", "GET", "/a/", "", 200, `{"Waiting":0}`},
		{"other method", "PATCH", "/a/0000000000000001", "", 405, "{}"},
	}
	for _, c := range cases {
		for _, at := range f.entryAddresses {
			status, answer := f.call(c.method, at, c.path, c.body)
			if status != c.status || !strings.Contains(answer, c.answer) {
				t.Errorf("%s at %s: got %d %s, want %d with %s", c.name, at, status, answer, c.status, c.answer)
			}
		}
	}
	if status, text := f.call("GET", f.address(1, 9464), "/metrics", ""); status != 200 || !strings.Contains(text, "crocuslb_events_total") || !strings.Contains(text, "crocuslb_dropped_log_lines_total 0") || !strings.Contains(text, `crocuslb_sent_bytes_total{message="start"}`) {
		t.Errorf("metrics: got %d and %d bytes, want 200 with the events, the sent bytes and no dropped log lines", status, len(text))
	}
}

// TestOperator guards against configurations that do not reach every entry, and work in a withdrawn failure domain.
func TestOperator(t *testing.T) {
	f := newTestCluster(t, 2, 4)
	f.configure(5, "/b/")
	for _, at := range f.entryAddresses {
		f.eventually("queue is withdrawn", func() bool {
			status, _ := f.post(at, "/a/", "0000000000000011", 1, "5")
			return status == http.StatusNotFound
		})
	}
	f.configure(4, "/a/", "/b/") // an older version changes nothing
	f.store.Withdraw("north", true)
	f.eventually("domain is withdrawn", func() bool { return strings.Count(f.logs.String(), `"domainsOut":["north"]`) >= 6 })
	f.mu.Lock()
	before := f.startedRuns["i-0"] + f.startedRuns["i-2"]
	f.mu.Unlock()
	for i := range 20 {
		if status, answer := f.post(f.entryAddresses[i%2], "/b/", fmt.Sprintf("%016x", 0x200+i), 3, "10"); status != http.StatusOK {
			t.Errorf("job %d: got %d %s, want 200", i, status, answer)
		}
	}
	f.mu.Lock()
	if got := f.startedRuns["i-0"] + f.startedRuns["i-2"]; got != before {
		t.Errorf("got %d runs in the withdrawn failure domain, want %d as before", got, before)
	}
	f.mu.Unlock()
	if status, _ := f.post(f.entryAddresses[0], "/a/", "0000000000000012", 1, "5"); status != http.StatusNotFound {
		t.Errorf("after an older configuration: got %d, want 404", status)
	}
	f.store.Withdraw("north", false)
	f.eventually("domain is back", func() bool {
		f.post(f.entryAddresses[0], "/b/", fmt.Sprintf("%016x", rand.Uint64()), 8, "20")
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.startedRuns["i-0"]+f.startedRuns["i-2"] > before
	})
}

// TestStartWithoutStore guards against entries that need the store to start: the sidecars tell them what they know.
func TestStartWithoutStore(t *testing.T) {
	for _, entries := range []int{1, 2} {
		f := newTestCluster(t, entries, 2)
		f.store.SetFaults(standin.StoreFaults{Silent: true})
		last := entries - 1
		f.stopProcess[fmt.Sprintf("entry-%d", last)]()
		f.startEntry(last)
		f.eventually("an entry that starts without the store", func() bool {
			status, _ := f.post(f.entryAddresses[last], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 1, "5")
			return status == http.StatusOK
		})
	}
}

// TestSeeds guards against processes that do not find each other after all of them were restarted, while the store serves
// the operator's records only. The seeds name one entry, and one address where nobody listens.
func TestSeeds(t *testing.T) {
	f := newTestCluster(t, 3, 3)
	f.store.SetFaults(standin.StoreFaults{Own: true})
	for name := range f.stopProcess {
		f.stopProcess[name]()
	}
	f.seeds = []string{f.address(1, 7720), f.address(240, 7720)}
	f.entryAddresses = nil
	for i := range 3 {
		f.startEntry(i)
	}
	for i := range 3 {
		f.restartSidecar(i)
	}
	for _, at := range f.entryAddresses {
		f.eventually("a job at "+at, func() bool {
			status, _ := f.post(at, "/a/", fmt.Sprintf("%016x", rand.Uint64()), 3, "5")
			return status == http.StatusOK
		})
	}
	f.eventually("each entry knows the others", func() bool { return strings.Count(f.logs.String(), "entry: entryUp") >= 12 })
}

// TestStoreAway guards against jobs that depend on the store.
func TestStoreAway(t *testing.T) {
	f := newTestCluster(t, 2, 3)
	f.store.SetFaults(standin.StoreFaults{Silent: true})
	for i := range 20 {
		if status, answer := f.post(f.entryAddresses[i%2], "/a/", fmt.Sprintf("%016x", 0x300+i), 3, "10"); status != http.StatusOK {
			t.Errorf("job %d: got %d %s, want 200", i, status, answer)
		}
	}
	f.store.SetFaults(standin.StoreFaults{})
	f.configure(9, "/c/")
	f.eventually("configuration after the store's return", func() bool {
		status, _ := f.post(f.entryAddresses[1], "/c/", "0000000000000031", 1, "5")
		return status == http.StatusOK
	})
}

// TestGracefulStop guards against requests that a planned stop cuts off.
func TestGracefulStop(t *testing.T) {
	for _, name := range []string{"entry-0", "entry-1", "sidecar-0"} {
		f := newTestCluster(t, 2, 2)
		var running sync.WaitGroup
		for i := range 8 {
			running.Go(func() {
				status, answer := f.post(f.entryAddresses[i%2], "/a/", fmt.Sprintf("%016x", 0x400+i), 1, "600")
				if status != http.StatusOK || !strings.Contains(answer, "succeeded") {
					t.Errorf("stop of %s, job %d: got %d %s, want 200 with succeeded", name, i, status, answer)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		f.stopProcess[name]()
		running.Wait()
	}
}

// TestRecall guards against sidecars that wait for an announcement of their backend server after each restart.
func TestRecall(t *testing.T) {
	f := newTestCluster(t, 1, 1)
	f.eventually("description in the store", func() bool {
		page, err := newStore(f.address(250, 7000), 0).Newest(f.ctx, platform.TopicBackends)
		return err == nil && len(page.Records) == 1
	})
	f.stopProcess["sidecar-0"]()
	f.backends[0].SetFaults(standin.BackendFaults{Mute: true})
	f.restartSidecar(0)
	f.eventually("job on a recalled backend server", func() bool {
		status, _ := f.post(f.entryAddresses[0], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 1, "5")
		return status == http.StatusOK
	})
}

// TestLeavingIsKept guards against a sidecar that acknowledges that its backend server leaves, and uses it again after a
// restart, because the store was away when it left.
func TestLeavingIsKept(t *testing.T) {
	f := newTestCluster(t, 1, 1)
	f.eventually("description in the store", func() bool {
		page, err := newStore(f.address(250, 7000), 0).Newest(f.ctx, platform.TopicBackends)
		return err == nil && len(page.Records) == 1
	})
	f.store.SetFaults(standin.StoreFaults{Own: true})
	var acknowledged atomic.Bool
	f.backends[0].OnDraining = func() { acknowledged.Store(true) }
	f.backends[0].Drain()
	f.eventually("the sidecar knows", func() bool { return strings.Count(f.logs.String(), `"sidecar: backend"`) >= 2 })
	time.Sleep(time.Second) // several announcements
	f.stopProcess["sidecar-0"]()
	f.backends[0].SetFaults(standin.BackendFaults{Mute: true})
	f.store.SetFaults(standin.StoreFaults{})
	f.restartSidecar(0)
	for range 10 {
		status, _ := f.post(f.entryAddresses[0], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 1, "5")
		if status == http.StatusOK && acknowledged.Load() {
			t.Fatal("got a job on a backend server whose leaving was acknowledged, want none")
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.backends[0].SetFaults(standin.BackendFaults{})
	f.eventually("the leaving is acknowledged with the store", acknowledged.Load)
}

// TestPlacerLost guards against jobs that wait for a placing entry that is gone.
func TestPlacerLost(t *testing.T) {
	f := newTestCluster(t, 2, 2)
	f.stopProcess["entry-0"]()
	f.eventually("the other entry places", func() bool {
		status, _ := f.post(f.entryAddresses[1], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 2, "10")
		return status == http.StatusOK
	})
}

// TestExplain guards against decisions that cannot be found by a job's identifier.
func TestExplain(t *testing.T) {
	f := newTestCluster(t, 1, 1)
	const id = "0000000000000051"
	f.post(f.entryAddresses[0], "/a/", id, 2, "20")
	f.eventually("log lines of the job", func() bool {
		text := f.logs.String()
		for _, want := range []string{"entry: grant", "sidecar: start", "sidecar: end", "entry: answer"} {
			found := false
			for line := range strings.Lines(text) {
				found = found || strings.Contains(line, id) && strings.Contains(line, want)
			}
			if !found {
				return false
			}
		}
		return true
	})
}
