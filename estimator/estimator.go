// Package estimator learns how long tasks run in proportion to the run times that their callers state, by queue and kind of
// worker. It uses no clock and no I/O, and is not safe for concurrent use.
package estimator

import (
	"container/list"
	"math"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// halfLife is the time in which the weight of a sample is halved.
	halfLife = 10 * timer.Second
	// minSamples is the number of samples from which on a ratio is used.
	minSamples = 20
	// maxKeys bounds the memory. The least recently used key is evicted.
	maxKeys = 256
	// highQuantile is the quantile that Ratio.High estimates.
	highQuantile = 0.95
	// The buckets are logarithmic, bucketsPerOctave for each doubling, and cover ratios from 2^-octavesBelow to
	// 2^octavesAbove. Ratios outside count at the bounds.
	bucketsPerOctave = 8
	octavesBelow     = 4
	octavesAbove     = 4
	bucketCount      = (octavesBelow + octavesAbove) * bucketsPerOctave
)

type (
	// Estimator is the state. The zero value is ready to use.
	Estimator struct {
		stats map[key]*list.Element // of *stats
		used  list.List             // the most recently used first
	}

	// Ratio is the actual run time of a task at normal speed, as a multiple of the stated one.
	Ratio struct {
		Mean float64
		High float64 // 95th percentile
	}

	key struct{ queue, kind string }

	// stats has the samples of a key, weighted by age.
	stats struct {
		key         key
		samples     int
		addedAt     timer.Millis // of the latest sample
		weight, sum float64
		buckets     [bucketCount]float64
		ratio       Ratio
	}
)

// Unknown is the ratio of a key with too few samples.
var Unknown = Ratio{Mean: 1, High: 1}

// Add adds the ratio of a run that has ended.
func (e *Estimator) Add(now timer.Millis, queue, kind string, ratio float64) {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return
	}
	s := e.touch(key{queue, kind})
	s.decay(now)
	s.samples++
	s.weight++
	ratio = min(max(ratio, math.Exp2(-octavesBelow)), math.Exp2(octavesAbove))
	s.sum += ratio
	s.buckets[bucketOf(ratio)]++
	s.ratio = Ratio{Mean: s.sum / s.weight, High: s.quantile(highQuantile)}
}

// Ratio returns the learned ratio of a queue's tasks on a kind of worker.
func (e *Estimator) Ratio(queue, kind string) Ratio {
	element := e.stats[key{queue, kind}]
	if element == nil {
		return Unknown
	}
	if s := element.Value.(*stats); s.samples >= minSamples {
		return s.ratio
	}
	return Unknown
}

// Each calls f for each key with enough samples, the most recently used first.
func (e *Estimator) Each(f func(queue, kind string, r Ratio, samples int)) {
	for element := e.used.Front(); element != nil; element = element.Next() {
		if s := element.Value.(*stats); s.samples >= minSamples {
			f(s.key.queue, s.key.kind, s.ratio, s.samples)
		}
	}
}

// CopyFrom replaces the state by a copy of another estimator's.
func (e *Estimator) CopyFrom(o *Estimator) {
	e.stats = make(map[key]*list.Element, len(o.stats))
	e.used.Init()
	for element := o.used.Front(); element != nil; element = element.Next() {
		s := *element.Value.(*stats)
		e.stats[s.key] = e.used.PushBack(&s)
	}
}

// Len returns the number of keys.
func (e *Estimator) Len() int { return len(e.stats) }

// touch returns the statistics of a key and marks them as the most recently used. A new key may evict another.
func (e *Estimator) touch(k key) *stats {
	if element := e.stats[k]; element != nil {
		e.used.MoveToFront(element)
		return element.Value.(*stats)
	}
	if e.stats == nil {
		e.stats = map[key]*list.Element{}
	}
	if len(e.stats) >= maxKeys {
		oldest := e.used.Back()
		delete(e.stats, e.used.Remove(oldest).(*stats).key)
	}
	s := &stats{key: k}
	e.stats[k] = e.used.PushFront(s)
	return s
}

// decay reduces the weights by the time since the latest sample.
func (s *stats) decay(now timer.Millis) {
	age := now - s.addedAt
	s.addedAt = max(now, s.addedAt)
	if s.samples == 0 || age <= 0 {
		return
	}
	factor := math.Exp2(-float64(age) / float64(halfLife))
	s.weight *= factor
	s.sum *= factor
	for i := range s.buckets {
		s.buckets[i] *= factor
	}
}

// quantile returns an estimate of a quantile, interpolated within its bucket.
func (s *stats) quantile(q float64) float64 {
	rest := q * s.weight
	for i, weight := range s.buckets {
		if weight >= rest && weight > 0 {
			return lowerBound(float64(i) + rest/weight)
		}
		rest -= weight
	}
	return lowerBound(bucketCount)
}

func bucketOf(ratio float64) int {
	return min(max(int((math.Log2(ratio)+octavesBelow)*bucketsPerOctave), 0), bucketCount-1)
}

// lowerBound returns the lowest ratio of a bucket. i may have a fraction.
func lowerBound(i float64) float64 { return math.Exp2(i/bucketsPerOctave - octavesBelow) }
