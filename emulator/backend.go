// Package emulator provides test doubles of the systems around crocuslb: the platform's log and the backend server.
// They implement the published protocols and can inject faults.
package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	taskHeader     = "Crocus-Task"
	startedHeader  = "Crocus-Started"
	maxPayload     = 4 << 20
	defaultSlots   = 8
	headerTimeout  = 5 * time.Second
	runPrefix      = "/run/"
	jsonMediaType  = "application/json"
	contentTypeKey = "Content-Type"
)

type (
	// Backend emulates a backend server. It runs a task by waiting. Set the fields before serving; the methods may be
	// called at any time. The zero value has 8 slots.
	Backend struct {
		Slots          int     // maximum number of concurrent tasks; further ones get status 503
		FailureRate    float64 // fraction of tasks that fail, selected by a hash of the key to be the same in each run
		DurationFactor float64 // multiplier of run times; 0 means 1
		// OnStart, if not nil, is called for each start before the task runs.
		OnStart func(task string)
		// Sleep, if not nil, replaces the wait for the run time.
		Sleep func(ctx context.Context, d time.Duration)

		mu             sync.Mutex
		starts         map[string]int
		running        int
		peak           int
		draining       bool
		truncated      bool
		durationFactor float64
		resumed        chan struct{} // not nil while unresponsive; closed when the server responds again
	}

	// payloadWire is the JSON payload of a task. Any other payload has no run time and is echoed.
	payloadWire struct {
		RunMs int64  `json:"runMs"`
		Echo  string `json:"echo"`
		Fail  bool   `json:"fail"`
	}
)

// Serve serves b on a loopback address until ctx is canceled. It returns the base URL once it is listening.
func (b *Backend) Serve(ctx context.Context, address string) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return "", trace.Wrap(err)
	}
	if a, ok := l.Addr().(*net.TCPAddr); !ok || !a.IP.IsLoopback() {
		_ = l.Close() // the error below is more specific
		return "", trace.BadParameter("address %s is not a loopback address", address)
	}
	s := &http.Server{Handler: b, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = s.Close() // aborts open requests, as a killed server does
	}()
	go func() { _ = s.Serve(l) }() // returns when the server is closed
	return "http://" + l.Addr().String(), nil
}

// ServeHTTP handles POST /run/{kind}, GET /health and GET /starts. The last returns a JSON object that maps task keys
// to the number of times each task was started.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !b.waitResponsive(r.Context()) {
		return
	}
	switch {
	case r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, runPrefix):
		b.run(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		if b.isDraining() {
			http.Error(w, "leaving", http.StatusServiceUnavailable)
		}
	case r.Method == http.MethodGet && r.URL.Path == "/starts":
		w.Header().Set(contentTypeKey, jsonMediaType)
		_ = json.NewEncoder(w).Encode(b.Starts()) // fails only if the client has disconnected
	default:
		http.NotFound(w, r)
	}
}

// Starts returns the number of starts by task key.
func (b *Backend) Starts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.starts)
}

// PeakRunning returns the highest number of concurrent tasks so far.
func (b *Backend) PeakRunning() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

// SetDraining makes health checks fail. Tasks are still accepted.
func (b *Backend) SetDraining(draining bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = draining
}

// SetTruncateResponses makes responses end before their declared length.
func (b *Backend) SetTruncateResponses(truncated bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.truncated = truncated
}

// SetDurationFactor changes the multiplier of the run times of tasks that start later.
func (b *Backend) SetDurationFactor(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.durationFactor = factor
}

// SetUnresponsive blocks all requests until it is called with false.
func (b *Backend) SetUnresponsive(unresponsive bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case unresponsive && b.resumed == nil:
		b.resumed = make(chan struct{})
	case !unresponsive && b.resumed != nil:
		close(b.resumed)
		b.resumed = nil
	}
}

// run runs one task. The start is counted before anything that may fail.
func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayload))
	if err != nil {
		http.Error(w, "payload: "+err.Error(), http.StatusBadRequest)
		return
	}
	task := r.Header.Get(taskHeader)
	factor, err := b.startTask(task)
	if err != nil {
		w.Header().Set(startedHeader, "false")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if b.OnStart != nil {
		b.OnStart(task)
	}
	p := payloadWire{Echo: string(payload)}
	if json.Unmarshal(payload, &p) != nil {
		p = payloadWire{Echo: string(payload)}
	}
	b.sleep(r.Context(), time.Duration(float64(p.RunMs)*factor*float64(time.Millisecond)))
	b.endTask()
	if !b.waitResponsive(r.Context()) {
		return
	}
	if p.Fail || b.shouldFail(task) {
		http.Error(w, "the task failed", http.StatusInternalServerError)
		return
	}
	b.writeResponse(w, []byte(p.Echo))
}

// startTask acquires a slot and returns the multiplier of the run time.
func (b *Backend) startTask(task string) (float64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	slots := b.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	if b.running >= slots {
		return 0, errors.New("no slot is free")
	}
	if b.starts == nil {
		b.starts = map[string]int{}
	}
	b.starts[task]++
	b.running++
	b.peak = max(b.peak, b.running)
	for _, f := range []float64{b.durationFactor, b.DurationFactor} {
		if f != 0 {
			return f, nil
		}
	}
	return 1, nil
}

func (b *Backend) endTask() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

func (b *Backend) isDraining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draining
}

// writeResponse writes body, or half of it if responses are truncated.
func (b *Backend) writeResponse(w http.ResponseWriter, body []byte) {
	b.mu.Lock()
	truncated := b.truncated
	b.mu.Unlock()
	if !truncated {
		_, _ = w.Write(body) // fails only if the client has disconnected
		return
	}
	w.Header().Set("Content-Length", "1000000")
	_, _ = w.Write(body[:len(body)/2])
	panic(http.ErrAbortHandler) // closes the connection
}

// shouldFail reports whether the task is in the fraction that fails.
func (b *Backend) shouldFail(task string) bool {
	if b.FailureRate == 0 {
		return false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task)) // Write on a hash never returns an error
	return float64(h.Sum32()%10000) < b.FailureRate*10000
}

// waitResponsive blocks while the server is unresponsive. It returns false if the client cancels the request.
func (b *Backend) waitResponsive(ctx context.Context) bool {
	b.mu.Lock()
	resumed := b.resumed
	b.mu.Unlock()
	if resumed == nil {
		return true
	}
	select {
	case <-resumed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *Backend) sleep(ctx context.Context, d time.Duration) {
	if b.Sleep != nil {
		b.Sleep(ctx, d)
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
