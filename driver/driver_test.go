package driver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestLoad guards against wrong counts: each job must be sent once under its own key, and a response that lacks results
// must count as a failure.
func TestLoad(t *testing.T) {
	var mu sync.Mutex
	keys := map[string]int{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.Header.Get("Idempotency-Key")
		mu.Lock()
		keys[key]++
		mu.Unlock()
		answer := `{"results":[{"body":"x"},{"body":"x"}]}`
		if key == "k-3-5" {
			answer = `{"results":[{"body":"x"}]}`
		}
		_, _ = io.WriteString(w, answer)
	}))
	defer s.Close()
	for _, rate := range []float64{0, 1e6} {
		clear(keys)
		l := Load{Seed: 3, Prefix: "k", TestDuration: 60_000, Jobs: 40, Rate: rate, Connections: 4, TasksPerJob: 2, URLs: []string{s.URL}}
		got, err := l.Run(t.Context())
		if err != nil || len(got.Latencies) != 39 || got.Failed != 1 || got.Dropped != 0 || len(keys) != 40 {
			t.Errorf("rate %v: got %d complete, %d failed, %d dropped, %d keys, %v; want 39, 1, 0, 40",
				rate, len(got.Latencies), got.Failed, got.Dropped, len(keys), err)
		}
	}
}

// TestParseUsage guards against shifted fields when the program name contains spaces or parentheses.
func TestParseUsage(t *testing.T) {
	const rest = " S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 9 0 100 4096 3 0"
	got, err := parseUsage("12 (a) b (c))" + rest)
	if err != nil || got.CPUTime != 2*time.Second || got.ResidentBytes == 0 {
		t.Errorf("got %+v, %v; want 2 s and non-zero memory", got, err)
	}
	for _, bad := range []string{"", "12 (a) S 1 2", strings.Replace("1 (a)"+rest, "150", "x", 1)} {
		if _, err := parseUsage(bad); err == nil {
			t.Errorf("%q: got no error", bad)
		}
	}
}

// TestCheck guards the limits of a plan. All violations must be reported together.
func TestCheck(t *testing.T) {
	good := Plan{
		Load: Load{TestDuration: 1000, Jobs: 1, Connections: 1, TasksPerJob: 1}, Entries: 1, SimulatedSidecars: 1, Slots: 8,
	}
	if err := good.Check(); err != nil {
		t.Errorf("got %v, want no error", err)
	}
	bad := good
	bad.Rate, bad.Backends, bad.Connections, bad.RunTime, bad.UseNonOwner = -1, 1, 5000, 6000, true
	err := bad.Check()
	for _, want := range []string{"rate: got -1", "mixed", "connections: got 5000", "run time: got 6000", "single entry"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q in it", err, want)
		}
	}
}

// TestQuantiles guards against unsorted samples and a run time that is not subtracted.
func TestQuantiles(t *testing.T) {
	got := formatQuantiles([]time.Duration{52 * time.Millisecond, 51 * time.Millisecond, 53 * time.Millisecond}, 50*time.Millisecond)
	if want := "p50 2.00 ms, p99 2.00 ms, p99.9 2.00 ms, max 3.00 ms"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
