package forecaster

import (
	"math"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

// TestEfficiency guards against an efficiency that is learned without saturation, leaves its bounds or does not follow.
func TestEfficiency(t *testing.T) {
	cases := []struct {
		name      string
		granted   float64 // per millisecond, at a capacity of 1000
		saturated bool
		min, max  float64
	}{
		{"idle", 100, false, 1, 1},
		{"half", 500, true, 0.5, 0.52},
		{"nothing granted", 0, true, 0.3, 0.3},
		{"underestimated capacity", 3000, true, 1.2, 1.2},
	}
	for _, c := range cases {
		var s Service
		s.SetCapacity(1000)
		for now := timer.Millis(10_000); now < 15_000; now++ {
			s.Observe(now, c.granted, c.saturated)
		}
		s.Observe(18_000, 0, c.saturated) // after a pause of the process
		if got := s.Efficiency(); got < c.min || got > c.max {
			t.Errorf("%s: got an efficiency of %.3f, want %.2f to %.2f", c.name, got, c.min, c.max)
		}
	}
}

// TestForecast guards against forecasts that ignore the arrivals or their slack, and that are used before arrivals are known.
func TestForecast(t *testing.T) {
	var s Service
	s.SetCapacity(100)
	for now := timer.Millis(1000); now < 4000; now += 10 {
		if got, want := s.Ready(now), now >= 1210; got != want {
			t.Fatalf("got ready %v at %s, want %v", got, now, want)
		}
		if now == 1000 {
			continue
		}
		s.Arrive(now, "a", 1, 500, 50) // 50 per millisecond
	}
	for a := range s.Arrivals(3999) {
		if got := a.Overtaking(150); got < 4800 || got > 5200 {
			t.Errorf("got %.0f overtaking a slack of 150 ms, want about 5000", got)
		}
		if got := a.Overtaking(40); got != 0 {
			t.Errorf("got %.0f overtaking a slack of 40 ms, want 0", got)
		}
		if got := a.Overtaking(10 * timer.Minute); got > 110_000 {
			t.Errorf("got %.0f overtaking a slack of 10 minutes, want about 100000", got)
		}
	}
	cases := []struct {
		name      string
		got, want timer.Millis
	}{
		{"work", s.Wait(1000), 10},
		{"no work", s.Wait(0), 0},
		{"late, half of the capacity", s.LateWait(3999, 1000) / 2, 10},
		{"late, after a burst", func() timer.Millis { s.Arrive(4000, "b", 1, 50_000, 50); return s.LateWait(4000, 1) }(), maxWait},
		{"no capacity", func() timer.Millis { s.SetCapacity(0); return s.Wait(1) }(), maxWait},
	}
	for _, c := range cases {
		if c.got < c.want-1 || c.got > c.want+1 {
			t.Errorf("%s: got a wait of %s, want %s", c.name, c.got, c.want)
		}
	}
	if got := s.MeanWork("a"); math.Abs(got-500) > 1 {
		t.Errorf("got a mean work of %.0f, want 500", got)
	}
}
