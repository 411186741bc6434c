package gauger

import (
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

// phase is a period of constant load.
type phase struct {
	length timer.Millis
	use    float64 // of the processor share
	delay  timer.Millis
}

// TestClass guards against classes that follow single readings, alternate with a load around a limit, or stay after the
// load has ended.
func TestClass(t *testing.T) {
	cases := []struct {
		name   string
		phases []phase
		want   []Class // after each change
	}{
		{"idle", []phase{{5000, 0.1, 1}}, []Class{Normal}},
		{"moderate load", []phase{{5000, 0.65, 15}}, []Class{Normal}},
		{"busy", []phase{{5000, 0.8, 1}}, []Class{Normal, Busy}},
		{"delay alone makes it busy", []phase{{5000, 0.1, 30}}, []Class{Normal, Busy}},
		{"processor share used up", []phase{{5000, 1, 1}}, []Class{Normal, Busy, Overloaded}},
		{"delay alone overloads", []phase{{5000, 0.1, 80}}, []Class{Normal, Busy, Overloaded}},
		{"burst of 200 ms", []phase{{1000, 0.3, 1}, {200, 1, 40}, {3000, 0.3, 1}}, []Class{Normal}},
		{"one delayed event", []phase{{1000, 0.3, 1}, {100, 0.3, 300}, {3000, 0.3, 1}}, []Class{Normal, Busy, Normal}},
		{"overload ends", []phase{{3000, 1, 100}, {4000, 0.2, 1}}, []Class{Normal, Busy, Overloaded, Normal}},
		{"overload becomes busy", []phase{{3000, 1, 100}, {9000, 0.8, 1}}, []Class{Normal, Busy, Overloaded}},
		{"alternates every 200 ms around the limits", slices.Repeat([]phase{{200, 1, 60}, {200, 0.6, 10}}, 30), []Class{Normal, Busy}},
		{"alternates every 600 ms between overload and idle", append([]phase{{3000, 1, 100}}, slices.Repeat([]phase{{600, 0.1, 1}, {600, 1, 100}}, 10)...), []Class{Normal, Busy, Overloaded}},
	}
	for _, c := range cases {
		g := Gauger{Share: 250}
		r := Reading{Time: 1000}
		got := []Class{g.Add(r).Class}
		var used float64
		for _, p := range c.phases {
			for end := r.Time + p.length; r.Time < end; {
				r.Time += Interval
				used += p.use * float64(Interval) / 4
				r.ProcessorTime, r.LoopDelay = timer.Millis(used), p.delay
				if class := g.Add(r).Class; class != got[len(got)-1] {
					got = append(got, class)
				}
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got classes %v, want %v", c.name, got, c.want)
		}
	}
}

// TestLoad guards against averages that do not reach a constant load, and against readings that would distort them:
// repeated ones, counters that went back, and an unknown share.
func TestLoad(t *testing.T) {
	cases := []struct {
		name   string
		share  uint64
		adjust func(n int, r *Reading)
		want   Load
	}{
		{"constant", 500, func(int, *Reading) {}, Load{Overloaded, 1, 60, 20_000, 7}},
		{"repeated readings", 500, func(n int, r *Reading) {
			if n%2 == 1 {
				r.Time -= Interval
				r.LoopDelay = 0
			}
		}, Load{Overloaded, 1, 60, 20_000, 7}},
		{"unknown share", 0, func(_ int, r *Reading) { r.LoopDelay = 1 }, Load{Normal, 0, 1, 20_000, 7}},
		{"counters stand still", 500, func(_ int, r *Reading) { r.ProcessorTime, r.Bytes, r.LoopDelay = 9, 9, -5 }, Load{Normal, 0, 0, 0, 7}},
	}
	for _, c := range cases {
		g := Gauger{Share: c.share}
		var got Load
		for n := range 100 {
			r := Reading{Time: 1000 + timer.Millis(n)*Interval, ProcessorTime: timer.Millis(n) * Interval / 2, LoopDelay: 60, Bytes: uint64(n) * 2000, MemoryBytes: 7}
			c.adjust(n, &r)
			got = g.Add(r)
		}
		got.ProcessorUse = float64(int(got.ProcessorUse*1000+0.5)) / 1000
		if got.BytesPerSecond += 5; got.BytesPerSecond-c.want.BytesPerSecond > 10 {
			t.Errorf("%s: got %d B/s, want %d", c.name, got.BytesPerSecond, c.want.BytesPerSecond)
		}
		if got.BytesPerSecond = c.want.BytesPerSecond; got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}
