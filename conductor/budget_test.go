package conductor

import (
	"testing"
	"time"
)

// TestBudget guards against more calls than the store takes, and against pauses while there are few.
func TestBudget(t *testing.T) {
	cases := []struct {
		name   string
		shares int
		every  time.Duration // between the ends of two calls, beside the pause
		calls  int
		most   float64 // calls a second after the first burst
		pauses bool
	}{
		{"few", 4, 50 * time.Millisecond, 100, 40, false},
		{"busy", 4, time.Millisecond, 1000, 161, true},
		{"busy, one partition", 1, time.Millisecond, 1000, 41, true},
		{"none yet", 0, time.Millisecond, 1000, 41, true},
	}
	for _, c := range cases {
		b := writeLimiter{rate: 40}
		b.setPartitions(c.shares)
		begin := time.Unix(1000, 0)
		now, paused := begin, false
		for range c.calls {
			pause := b.reserve(now)
			paused = paused || pause > 0
			now = now.Add(c.every + pause)
		}
		rate := float64(c.calls) / (now.Sub(begin) + burstWindow).Seconds()
		if rate > c.most || paused != c.pauses {
			t.Errorf("%s: got %.0f calls a second, pauses %v, want at most %.0f, %v", c.name, rate, paused, c.most, c.pauses)
		}
	}
}
