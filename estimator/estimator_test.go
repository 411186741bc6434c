package estimator

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocuslb/crocuslb/timer"
)

// TestRatio guards against ratios from too few samples, from samples that are long out of date, and of other keys.
func TestRatio(t *testing.T) {
	type batch struct {
		at    timer.Millis
		n     int
		ratio float64
	}
	cases := []struct {
		name       string
		batches    []batch
		mean, high float64
	}{
		{"none", nil, 1, 1},
		{"too few", []batch{{0, 19, 2}}, 1, 1},
		{"enough", []batch{{0, 20, 2}}, 2, 2},
		{"invalid ones do not count", []batch{{0, 19, 2}, {0, 5, 0}, {0, 5, math.Inf(1)}, {0, 5, math.NaN()}}, 1, 1},
		{"a tail of 3%", []batch{{0, 97, 1}, {0, 3, 7}}, 1.18, 1},
		{"a tail of 8%", []batch{{0, 92, 1}, {0, 8, 7}}, 1.48, 7},
		{"the older half weighs half", []batch{{0, 100, 4}, {10_000, 100, 1}}, 2, 4},
		{"a change is followed in 40 s", []batch{{0, 100, 4}, {40_000, 100, 1}}, 1.18, 4},
		{"bounds", []batch{{0, 20, 1e9}}, 16, 16},
	}
	for _, c := range cases {
		var e Estimator
		for _, b := range c.batches {
			for range b.n {
				e.Add(b.at, "queue", "kind", b.ratio)
			}
			e.Add(b.at, "other", "kind", 9)
		}
		got := e.Ratio("queue", "kind")
		if math.Abs(got.Mean-c.mean) > 0.01 || math.Abs(math.Log2(got.High/c.high)) > 1.0/bucketsPerOctave {
			t.Errorf("%s: got %+v, want mean %.2f, 95th percentile %.2f", c.name, got, c.mean, c.high)
		}
	}
}

// TestEviction guards against unbounded memory and against evicting a key that is in use.
func TestEviction(t *testing.T) {
	var e Estimator
	for i := range 10 * maxKeys {
		e.Add(timer.Millis(i), fmt.Sprint("queue", i), "kind", 1)
		e.Add(timer.Millis(i), "used", "kind", 3)
	}
	if e.Len() != maxKeys || e.used.Len() != maxKeys {
		t.Errorf("got %d keys, want %d", e.Len(), maxKeys)
	}
	if got := e.Ratio("used", "kind").Mean; math.Abs(got-3) > 0.01 {
		t.Errorf("got ratio %.2f of the key in use, want 3", got)
	}
}

// TestQuantile guards against percentiles that differ from those of the samples by more than the width of a bucket.
func TestQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.SliceOfN(rapid.Float64Range(0.07, 15), minSamples, 300).Draw(t, "samples")
		var e Estimator
		var sum float64
		for _, ratio := range samples {
			e.Add(0, "queue", "kind", ratio)
			sum += ratio
		}
		slices.Sort(samples)
		got := e.Ratio("queue", "kind")
		low, high := samples[int(0.94*float64(len(samples)-1))], samples[min(int(math.Ceil(0.96*float64(len(samples)))), len(samples)-1)]
		width := math.Exp2(1.0 / bucketsPerOctave)
		if got.High < low/width || got.High > high*width {
			t.Fatalf("got 95th percentile %.3f, want %.3f to %.3f", got.High, low, high)
		}
		if want := sum / float64(len(samples)); math.Abs(got.Mean/want-1) > 0.01 {
			t.Fatalf("got mean %.3f, want %.3f", got.Mean, want)
		}
	})
}

func BenchmarkAdd(b *testing.B) {
	var e Estimator
	for i := 0; b.Loop(); i++ {
		e.Add(timer.Millis(i), "queue", "kind", 1+float64(i%10)/10)
	}
}
