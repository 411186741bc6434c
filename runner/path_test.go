package runner

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
	"github.com/crocuslb/crocuslb/platform/platformtest"
	"github.com/crocuslb/crocuslb/recorder"
	"github.com/crocuslb/crocuslb/timer"
)

// longEstimateMs is an estimated run time that makes jobs wait for capacity on a busy machine instead of being
// rejected.
const longEstimateMs = 3000

// testCluster is a deployment in one process: fakes of the platform, entries and sidecars, each with its own loopback
// address.
type testCluster struct {
	t              *testing.T
	ctx            context.Context
	network        string
	store          *platformtest.Store
	backends       []*platformtest.Backend
	entryAddresses []string // their addresses for callers
	seeds          []string
	stopProcess    map[string]func()
	logs           *lockedBuffer

	mu            sync.Mutex
	activeRuns    map[string]int
	startedRuns   map[string]int // by backend server
	completedRuns map[string]int // successful ones, by task
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
	tc := &testCluster{
		t: t, ctx: ctx, network: fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250)), store: &platformtest.Store{},
		stopProcess: map[string]func(){}, logs: &lockedBuffer{}, activeRuns: map[string]int{}, startedRuns: map[string]int{},
		completedRuns: map[string]int{},
	}
	t.Cleanup(cancel)
	tc.configure(1, "/a/", "/b/")
	tc.serve(tc.address(250, 7000), tc.store)
	for i := range entries {
		tc.startEntry(i)
	}
	for i := range sidecars {
		tc.startSidecar(i)
	}
	tc.eventually("ready", func() bool {
		for _, at := range tc.entryAddresses {
			if status, body := tc.post(at, "/a/", "00000000000000ff", 1, "1"); status != http.StatusOK || !strings.Contains(body, "succeeded") {
				return false
			}
		}
		return true
	})
	return tc
}

func (tc *testCluster) address(host, port int) string {
	return fmt.Sprintf("%s%d:%d", tc.network, host, port)
}

func (tc *testCluster) serve(address string, h http.Handler) {
	listener, err := (&net.ListenConfig{}).Listen(tc.ctx, "tcp", address)
	if err != nil {
		tc.t.Fatalf("cannot listen on %s: %v", address, err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // returns when the test closes the server
	tc.t.Cleanup(func() { _ = server.Close() })
}

func (tc *testCluster) configure(version int, prefixes ...string) {
	tc.store.PublishConfiguration(version, "svc", prefixes...)
}

func (tc *testCluster) options(name, domain string, host int) Options {
	r := &recorder.Handler{Writer: tc.logs}
	go r.Run(tc.ctx.Done())
	return Options{
		Name: name, Domain: domain, Address: tc.address(host, 7720), StoreAddress: tc.address(250, 7000), DrainTime: 3 * timer.Second, Weight: 400, Seeds: tc.seeds, Partitions: 12, WritesPerSecond: 800,
		MetricsAddress: tc.address(host, 9464), Logger: &log.Logger{Handler: r, Level: log.InfoLevel}, DroppedLogLines: r.Dropped,
	}
}

func (tc *testCluster) start(name string, run func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(tc.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := run(ctx); err != nil {
			tc.t.Errorf("%s: %v", name, err)
		}
	}()
	tc.stopProcess[name] = func() {
		cancel()
		<-done
	}
}

func (tc *testCluster) startEntry(i int) {
	o := tc.options(fmt.Sprintf("entry-%d", i), testDomain(i), 1+i)
	o.CallersAddress, o.ReadyAddress = tc.address(1+i, 8000), tc.address(1+i, 8001)
	tc.entryAddresses = append(tc.entryAddresses, o.CallersAddress)
	tc.start(o.Name, (&Entry{Options: o}).Run)
}

func (tc *testCluster) startSidecar(i int) {
	host := 100 + i
	o := tc.options(fmt.Sprintf("sidecar-%d", i), testDomain(i), host)
	o.AnnounceAddress, o.BackendAddress = tc.address(host, 8002), tc.address(host, 8003)
	id := fmt.Sprintf("i-%d", i)
	b := &platformtest.Backend{ID: id, Service: "svc", Zone: o.Domain, CPU: 8000, MemMb: 8000, Control: o.AnnounceAddress}
	b.OnRun = func(task string, run uint64, how string) {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		if how != "" {
			tc.activeRuns[task]--
			if how == "done" {
				tc.completedRuns[task]++
			}
			return
		}
		tc.activeRuns[task]++
		tc.startedRuns[id]++
		if tc.activeRuns[task] > 1 {
			tc.t.Errorf("task %s, run %d on %s: got %d concurrent runs, want 1", task, run, id, tc.activeRuns[task])
		}
	}
	tc.backends = append(tc.backends, b)
	tc.serve(o.BackendAddress, b)
	go b.Run(tc.ctx)
	tc.start(o.Name, (&Sidecar{Options: o}).Run)
}

// restartSidecar starts a stopped sidecar again beside its running backend server.
func (tc *testCluster) restartSidecar(i int) {
	host := 100 + i
	o := tc.options(fmt.Sprintf("sidecar-%d", i), testDomain(i), host)
	o.AnnounceAddress, o.BackendAddress = tc.address(host, 8002), tc.address(host, 8003)
	tc.start(o.Name+" again", (&Sidecar{Options: o}).Run)
}

func testDomain(i int) string { return []string{"north", "south"}[i%2] }

func (tc *testCluster) post(at, prefix, id string, tasks int, spec string) (int, string) {
	r, err := platformtest.NewJobRequest(at, prefix, id, tasks, spec, longEstimateMs, 2500)
	if err != nil {
		tc.t.Fatal(err)
	}
	return tc.do(r)
}

func (tc *testCluster) call(method, at, path, body string) (int, string) {
	r, err := http.NewRequestWithContext(tc.ctx, method, "http://"+at+path, strings.NewReader(body))
	if err != nil {
		tc.t.Fatal(err)
	}
	r.Host = platformtest.Host
	return tc.do(r)
}

func (tc *testCluster) do(r *http.Request) (int, string) {
	response, err := http.DefaultClient.Do(r.WithContext(tc.ctx))
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

func (tc *testCluster) eventually(what string, ok func() bool) {
	tc.t.Helper()
	for started := time.Now(); time.Since(started) < 20*time.Second; time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	tc.t.Fatalf("%s: condition not met within 20 s; logs: %s", what, tc.logs.String())
}

// TestPath tests requests of callers end to end, through entries, sidecars and fakes of the platform over real
// connections.
func TestPath(t *testing.T) {
	tc := newTestCluster(t, 2, 3)
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
		for _, at := range tc.entryAddresses {
			status, answer := tc.call(c.method, at, c.path, c.body)
			if status != c.status || !strings.Contains(answer, c.answer) {
				t.Errorf("%s at %s: got %d %s, want %d with %s", c.name, at, status, answer, c.status, c.answer)
			}
		}
	}
	if status, text := tc.call("GET", tc.address(1, 9464), "/metrics", ""); status != 200 || !strings.Contains(text, "crocuslb_events_total") || !strings.Contains(text, "crocuslb_dropped_log_lines_total 0") || !strings.Contains(text, `crocuslb_sent_bytes_total{message="start"}`) {
		t.Errorf("metrics: got %d and %d bytes, want 200 with the events, the sent bytes and no dropped log lines", status, len(text))
	}
}

// TestOperator guards against configurations that do not reach every entry, and against runs in a withdrawn failure
// domain.
func TestOperator(t *testing.T) {
	tc := newTestCluster(t, 2, 4)
	tc.configure(5, "/b/")
	for _, at := range tc.entryAddresses {
		tc.eventually("queue withdrawn", func() bool {
			status, _ := tc.post(at, "/a/", "0000000000000011", 1, "5")
			return status == http.StatusNotFound
		})
	}
	tc.configure(4, "/a/", "/b/") // an older version must be ignored
	tc.store.SetDomainWithdrawn("north", true)
	tc.eventually("failure domain withdrawn", func() bool { return strings.Count(tc.logs.String(), `"domainsOut":["north"]`) >= 6 })
	tc.mu.Lock()
	before := tc.startedRuns["i-0"] + tc.startedRuns["i-2"]
	tc.mu.Unlock()
	for i := range 20 {
		if status, answer := tc.post(tc.entryAddresses[i%2], "/b/", fmt.Sprintf("%016x", 0x200+i), 3, "10"); status != http.StatusOK {
			t.Errorf("job %d: got %d %s, want 200", i, status, answer)
		}
	}
	tc.mu.Lock()
	if got := tc.startedRuns["i-0"] + tc.startedRuns["i-2"]; got != before {
		t.Errorf("got %d runs in the withdrawn failure domain, want %d as before", got, before)
	}
	tc.mu.Unlock()
	if status, _ := tc.post(tc.entryAddresses[0], "/a/", "0000000000000012", 1, "5"); status != http.StatusNotFound {
		t.Errorf("after an older configuration: got %d, want 404", status)
	}
	tc.store.SetDomainWithdrawn("north", false)
	tc.eventually("failure domain in service again", func() bool {
		tc.post(tc.entryAddresses[0], "/b/", fmt.Sprintf("%016x", rand.Uint64()), 8, "20")
		tc.mu.Lock()
		defer tc.mu.Unlock()
		return tc.startedRuns["i-0"]+tc.startedRuns["i-2"] > before
	})
}

// TestStartWithoutStore guards against entries that cannot start while the store is unavailable. They get the
// configuration from the sidecars instead.
func TestStartWithoutStore(t *testing.T) {
	for _, entries := range []int{1, 2} {
		tc := newTestCluster(t, entries, 2)
		tc.store.SetFaults(platformtest.StoreFaults{Unresponsive: true})
		last := entries - 1
		tc.stopProcess[fmt.Sprintf("entry-%d", last)]()
		tc.startEntry(last)
		tc.eventually("entry started without the store", func() bool {
			status, _ := tc.post(tc.entryAddresses[last], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 1, "5")
			return status == http.StatusOK
		})
	}
}

// TestSeeds guards against processes that do not discover each other after a restart of all of them while the store
// serves only the operator's records. The seeds contain one entry and one address without a listener.
func TestSeeds(t *testing.T) {
	tc := newTestCluster(t, 3, 3)
	tc.store.SetFaults(platformtest.StoreFaults{RejectOtherTopics: true})
	for name := range tc.stopProcess {
		tc.stopProcess[name]()
	}
	tc.seeds = []string{tc.address(1, 7720), tc.address(240, 7720)}
	tc.entryAddresses = nil
	for i := range 3 {
		tc.startEntry(i)
	}
	for i := range 3 {
		tc.restartSidecar(i)
	}
	for _, at := range tc.entryAddresses {
		tc.eventually("a job at "+at, func() bool {
			status, _ := tc.post(at, "/a/", fmt.Sprintf("%016x", rand.Uint64()), 3, "5")
			return status == http.StatusOK
		})
	}
	tc.eventually("each entry connected to the others", func() bool { return strings.Count(tc.logs.String(), "entry: entryUp") >= 12 })
}

// TestStoreUnavailable guards against restartable jobs that fail while the store is unavailable.
func TestStoreUnavailable(t *testing.T) {
	tc := newTestCluster(t, 2, 3)
	tc.store.SetFaults(platformtest.StoreFaults{Unresponsive: true})
	for i := range 20 {
		if status, answer := tc.post(tc.entryAddresses[i%2], "/a/", fmt.Sprintf("%016x", 0x300+i), 3, "10"); status != http.StatusOK {
			t.Errorf("job %d: got %d %s, want 200", i, status, answer)
		}
	}
	tc.store.SetFaults(platformtest.StoreFaults{})
	tc.configure(9, "/c/")
	tc.eventually("configuration after the store is available again", func() bool {
		status, _ := tc.post(tc.entryAddresses[1], "/c/", "0000000000000031", 1, "5")
		return status == http.StatusOK
	})
}

// TestGracefulStop guards against requests that are interrupted by a planned stop.
func TestGracefulStop(t *testing.T) {
	for _, name := range []string{"entry-0", "entry-1", "sidecar-0"} {
		tc := newTestCluster(t, 2, 2)
		var running sync.WaitGroup
		for i := range 8 {
			running.Go(func() {
				status, answer := tc.post(tc.entryAddresses[i%2], "/a/", fmt.Sprintf("%016x", 0x400+i), 1, "600")
				if status != http.StatusOK || !strings.Contains(answer, "succeeded") {
					t.Errorf("stop of %s, job %d: got %d %s, want 200 with succeeded", name, i, status, answer)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		tc.stopProcess[name]()
		running.Wait()
	}
}

// TestRestoreBackend guards against sidecars that stay unusable after a restart until their backend server announces itself.
func TestRestoreBackend(t *testing.T) {
	tc := newTestCluster(t, 1, 1)
	tc.eventually("descriptor in the store", func() bool {
		page, err := newStore(tc.address(250, 7000), 0).ReadLatest(tc.ctx, platform.TopicBackends)
		return err == nil && len(page.Records) == 1
	})
	tc.stopProcess["sidecar-0"]()
	tc.backends[0].SetFaults(platformtest.BackendFaults{NoHeartbeats: true})
	tc.restartSidecar(0)
	tc.eventually("job on a restored backend server", func() bool {
		status, _ := tc.post(tc.entryAddresses[0], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 1, "5")
		return status == http.StatusOK
	})
}

// TestDrainingIsStored guards against a sidecar that acknowledges the draining of its backend server while the store is
// unavailable, and therefore uses the backend server again after a restart.
func TestDrainingIsStored(t *testing.T) {
	tc := newTestCluster(t, 1, 1)
	tc.eventually("descriptor in the store", func() bool {
		page, err := newStore(tc.address(250, 7000), 0).ReadLatest(tc.ctx, platform.TopicBackends)
		return err == nil && len(page.Records) == 1
	})
	tc.store.SetFaults(platformtest.StoreFaults{RejectOtherTopics: true})
	var acknowledged atomic.Bool
	tc.backends[0].OnDraining = func() { acknowledged.Store(true) }
	tc.backends[0].Drain()
	tc.eventually("sidecar knows of the draining", func() bool { return strings.Count(tc.logs.String(), `"sidecar: backend"`) >= 2 })
	time.Sleep(time.Second) // time for several announcements
	tc.stopProcess["sidecar-0"]()
	tc.backends[0].SetFaults(platformtest.BackendFaults{NoHeartbeats: true})
	tc.store.SetFaults(platformtest.StoreFaults{})
	tc.restartSidecar(0)
	for range 10 {
		status, _ := tc.post(tc.entryAddresses[0], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 1, "5")
		if status == http.StatusOK && acknowledged.Load() {
			t.Fatal("got a job on a backend server whose draining was acknowledged, want none")
		}
		time.Sleep(50 * time.Millisecond)
	}
	tc.backends[0].SetFaults(platformtest.BackendFaults{})
	tc.eventually("draining is acknowledged once the store is available", acknowledged.Load)
}

// TestPlacingEntryLost guards against jobs that wait for a placing entry that has stopped.
func TestPlacingEntryLost(t *testing.T) {
	tc := newTestCluster(t, 2, 2)
	tc.stopProcess["entry-0"]()
	tc.eventually("remaining entry places jobs", func() bool {
		status, _ := tc.post(tc.entryAddresses[1], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 2, "10")
		return status == http.StatusOK
	})
}

// TestDecisionsLogged guards against decisions that cannot be found in the logs by the job's identifier.
func TestDecisionsLogged(t *testing.T) {
	tc := newTestCluster(t, 1, 1)
	const id = "0000000000000051"
	tc.post(tc.entryAddresses[0], "/a/", id, 2, "20")
	tc.eventually("log lines of the job", func() bool {
		text := tc.logs.String()
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
