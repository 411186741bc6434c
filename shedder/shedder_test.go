package shedder

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

func none(*Item) float64 { return 0 }

func forecast() Forecast {
	return Forecast{DrainRate: 1, Overtaking: none, LateWait: func(work float64) timer.Millis { return timer.Millis(2 * work) }}
}

// TestPass guards against giving up other requests than those whose refusal costs least.
func TestPass(t *testing.T) {
	cases := []struct {
		name  string
		items []Item
		want  []Decision
	}{
		{"all fit", []Item{{Work: 50, SoftDeadline: 100, Cost: 1}, {Work: 50, SoftDeadline: 100, Cost: 1}}, nil},
		{"the cheaper one before gives way", []Item{{Work: 100, SoftDeadline: 50, Cost: 0.2}, {Work: 50, SoftDeadline: 90, Cost: 1}},
			[]Decision{{Index: 0, Verdict: Refused, GaveWay: true, Wait: 100}}},
		{"a cheap one behind is given up itself", []Item{{Work: 100, SoftDeadline: 50, Cost: 1}, {Work: 50, SoftDeadline: 90, Cost: 0.5}},
			[]Decision{{Index: 1, Verdict: Refused, Wait: 100}}},
		{"the latest of equals", []Item{{Work: 60, SoftDeadline: 50, Cost: 1, Arrived: -20}, {Work: 60, SoftDeadline: 55, Cost: 1, Arrived: -30}},
			[]Decision{{Index: 0, Verdict: Refused, GaveWay: true, Wait: 60}}},
		{"begun work stays", []Item{{Work: 100, SoftDeadline: 50, Cost: 0.1, Begun: true}, {Work: 50, SoftDeadline: 90, Cost: 1}},
			[]Decision{{Index: 1, Verdict: Refused, Wait: 100}}},
		{"a protected one is given up last", []Item{{Work: 100, SoftDeadline: 50, Cost: 0.1, Protected: true}, {Work: 50, SoftDeadline: 90, Cost: 1}},
			[]Decision{{Index: 1, Verdict: Refused, Wait: 100}}},
		{"the latest of protected ones", []Item{{Work: 100, SoftDeadline: 50, Cost: 0.1, Protected: true, Arrived: -1}, {Work: 50, SoftDeadline: 90, Cost: 1, Protected: true}},
			[]Decision{{Index: 1, Verdict: Refused, Wait: 100}}},
		{"cheap ones are spared if that does not suffice", []Item{{Work: 60, SoftDeadline: 50, Cost: 0.1}, {Work: 60, SoftDeadline: 55, Cost: 2, Begun: true}, {Work: 50, SoftDeadline: 40, Cost: 1}},
			[]Decision{{Index: 2, Verdict: Refused, Wait: 120}}},
		{"late if it starts before the hard deadline", []Item{{Work: 10, SoftDeadline: 50, Cost: 1}, {Work: 50, SoftDeadline: 5, HardDeadline: 30, Cost: 0.1}},
			[]Decision{{Index: 1, Verdict: Delayed, Wait: 10}}},
		{"a late one without hope", []Item{{Work: 10, SoftDeadline: 50, Cost: 1}, {Work: 50, HardDeadline: 20, Cost: 1, Late: true}, {Work: 5, HardDeadline: 30, Cost: 1, Late: true}},
			[]Decision{{Index: 1, Verdict: Refused, Wait: 10}}},
	}
	for _, c := range cases {
		var s Shedder
		if got := s.Pass(0, c.items, forecast()); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestPassProperties guards against given-up begun work, repeated decisions, and kept new requests that cannot start in time,
// on random queues.
func TestPassProperties(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var s Shedder
	for range 2000 {
		items := make([]Item, 1+r.IntN(60))
		for i := range items {
			items[i] = Item{
				Work: 1 + r.Int64N(50), SoftDeadline: timer.Millis(r.Int64N(400)), Cost: float64(1+r.IntN(8)) / 4, New: r.IntN(2) == 0, Protected: r.IntN(5) == 0,
			}
			items[i].HardDeadline = items[i].SoftDeadline + timer.Millis(r.Int64N(300))
			items[i].Begun = i < len(items)/8
		}
		slices.SortStableFunc(items[len(items)/8:], func(a, b Item) int { return int(a.SoftDeadline - b.SoftDeadline) })
		given := map[int]bool{}
		for _, d := range s.Pass(0, items, forecast()) {
			if items[d.Index].Begun || given[d.Index] {
				t.Fatalf("got %+v for %+v, want a single decision about a request that has not begun", d, items[d.Index])
			}
			given[d.Index] = true
		}
		var work int64
		for i, item := range items {
			if given[i] {
				continue
			}
			if item.New && !item.Begun && work > int64(RetainedStart(&item)) {
				t.Fatalf("got %+v kept behind work of %d, want it given up", item, work)
			}
			work += item.Work
		}
	}
}

// TestCost guards against weights and size factors out of their bounds.
func TestCost(t *testing.T) {
	cases := []struct {
		priority            uint64
		work, mean, perWork float64
	}{
		{0, 10, 10, 1}, {2, 10, 10, 0.25}, {60, 10, 10, 1.0 / 64}, {0, 20, 10, 0.75}, {0, 1, 100, 4}, {1, 0, 10, 0.5},
	}
	for _, c := range cases {
		if got := Cost(Weight(c.priority), c.work, c.mean); got != c.perWork {
			t.Errorf("priority %d, work %.0f, mean %.0f: got %.3f, want %.3f", c.priority, c.work, c.mean, got, c.perWork)
		}
	}
}
