// Package emulator provides test doubles of the systems around crocuslb: the platform's log and the backend server.
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
	// Backend is a backend server. Set the fields before it serves; the methods may be called at any time. The zero
	// value has 8 slots. It runs a task by waiting.
	Backend struct {
		Slots       int     // tasks that may run concurrently; others get 503
		FailureRate float64 // share of tasks that fail, chosen by the task key, so that it is the same in each run
		SlowDown    float64 // factor on run times; 0 means 1
		// OnStart is called for each start before the task runs, when it is not nil.
		OnStart func(task string)
		// Sleep replaces the wait for the run time when it is not nil.
		Sleep func(ctx context.Context, d time.Duration)

		mu        sync.Mutex
		starts    map[string]int
		running   int
		peak      int
		leaving   bool
		truncated bool
		slow      float64
		thaw      chan struct{} // open while frozen
	}

	// payloadWire is the JSON payload of a task. Other payloads run for no time and are echoed.
	payloadWire struct {
		RunMs int64  `json:"runMs"`
		Echo  string `json:"echo"`
		Fail  bool   `json:"fail"`
	}
)

// Serve serves b on a loopback address until ctx ends. It returns the base URL once it is listening.
func (b *Backend) Serve(ctx context.Context, address string) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return "", trace.Wrap(err)
	}
	if a, ok := l.Addr().(*net.TCPAddr); !ok || !a.IP.IsLoopback() {
		_ = l.Close() // the error below says more
		return "", trace.BadParameter("address %s is not a loopback address", address)
	}
	s := &http.Server{Handler: b, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = s.Close() // cuts off requests, as a killed server does
	}()
	go func() { _ = s.Serve(l) }() // ends with ctx
	return "http://" + l.Addr().String(), nil
}

// ServeHTTP answers POST /run/{kind}, GET /health and GET /starts. The last returns a JSON object from task keys to the
// number of times that each was started.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !b.waitThawed(r.Context()) {
		return
	}
	switch {
	case r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, runPrefix):
		b.run(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		if b.isLeaving() {
			http.Error(w, "leaving", http.StatusServiceUnavailable)
		}
	case r.Method == http.MethodGet && r.URL.Path == "/starts":
		w.Header().Set(contentTypeKey, jsonMediaType)
		_ = json.NewEncoder(w).Encode(b.Starts()) // the client is gone when this fails
	default:
		http.NotFound(w, r)
	}
}

// Starts returns how often each task key was started.
func (b *Backend) Starts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.starts)
}

// Peak returns the largest number of tasks that ran concurrently.
func (b *Backend) Peak() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

// SetLeaving makes health checks fail. Tasks are still run.
func (b *Backend) SetLeaving(leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = leaving
}

// SetTruncated makes answers end after half of their declared length.
func (b *Backend) SetTruncated(truncated bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.truncated = truncated
}

// SetSlowDown replaces the factor on run times of tasks that start later.
func (b *Backend) SetSlowDown(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slow = factor
}

// SetFrozen makes the server stop answering, or go on. Requests wait meanwhile.
func (b *Backend) SetFrozen(frozen bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case frozen && b.thaw == nil:
		b.thaw = make(chan struct{})
	case !frozen && b.thaw != nil:
		close(b.thaw)
		b.thaw = nil
	}
}

// run runs one task. The start is counted before anything can fail.
func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayload))
	if err != nil {
		http.Error(w, "payload: "+err.Error(), http.StatusBadRequest)
		return
	}
	task := r.Header.Get(taskHeader)
	factor, err := b.begin(task)
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
	b.end()
	if !b.waitThawed(r.Context()) {
		return
	}
	if p.Fail || b.fails(task) {
		http.Error(w, "the task failed", http.StatusInternalServerError)
		return
	}
	b.answer(w, []byte(p.Echo))
}

// begin takes a slot and returns the factor on the run time.
func (b *Backend) begin(task string) (float64, error) {
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
	for _, f := range []float64{b.slow, b.SlowDown} {
		if f != 0 {
			return f, nil
		}
	}
	return 1, nil
}

func (b *Backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

func (b *Backend) isLeaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving
}

// answer writes body, or half of it when answers are truncated.
func (b *Backend) answer(w http.ResponseWriter, body []byte) {
	b.mu.Lock()
	truncated := b.truncated
	b.mu.Unlock()
	if !truncated {
		_, _ = w.Write(body) // the client is gone when this fails
		return
	}
	w.Header().Set("Content-Length", "1000000")
	_, _ = w.Write(body[:len(body)/2])
	panic(http.ErrAbortHandler) // closes the connection
}

// fails says whether a task belongs to the share that fails.
func (b *Backend) fails(task string) bool {
	if b.FailureRate == 0 {
		return false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task)) // never fails
	return float64(h.Sum32()%10000) < b.FailureRate*10000
}

// waitThawed waits while the server is frozen. It returns false when the client gave up.
func (b *Backend) waitThawed(ctx context.Context) bool {
	b.mu.Lock()
	thaw := b.thaw
	b.mu.Unlock()
	if thaw == nil {
		return true
	}
	select {
	case <-thaw:
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
