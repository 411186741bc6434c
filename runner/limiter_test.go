package runner

import (
	"testing"
	"time"
)

// TestWriteLimiter guards against exceeding the store's rate limit for writes, and against delays at low load.
func TestWriteLimiter(t *testing.T) {
	cases := []struct {
		name       string
		partitions int
		interval   time.Duration // between the ends of two calls, in addition to the delay
		calls      int
		maxRate    float64 // calls per second after the first burst
		delayed    bool
	}{
		{"low load", 4, 50 * time.Millisecond, 100, 40, false},
		{"high load", 4, time.Millisecond, 1000, 161, true},
		{"high load, one partition", 1, time.Millisecond, 1000, 41, true},
		{"no partition", 0, time.Millisecond, 1000, 41, true},
	}
	for _, c := range cases {
		limiter := writeLimiter{rate: 40}
		limiter.setPartitions(c.partitions)
		start := time.Unix(1000, 0)
		now, wasDelayed := start, false
		for range c.calls {
			delay := limiter.reserve(now)
			wasDelayed = wasDelayed || delay > 0
			now = now.Add(c.interval + delay)
		}
		rate := float64(c.calls) / (now.Sub(start) + burstWindow).Seconds()
		if rate > c.maxRate || wasDelayed != c.delayed {
			t.Errorf("%s: got %.0f calls per second, delayed %v, want at most %.0f, %v", c.name, rate, wasDelayed, c.maxRate, c.delayed)
		}
	}
}
