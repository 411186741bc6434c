package scheduler

import (
	"math/bits"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	defaultRunTime = 300 * timer.Millisecond
	// minObservations is the number of finished tasks from which on a kind's observed run time takes precedence over
	// declared ones.
	minObservations = 5
	// runTimeSmoothing is the weight of the newest observation in a kind's moving average.
	runTimeSmoothing = 0.05
	// maxKinds limits the number of kinds with estimates, because callers choose the names.
	maxKinds = 4096
	// runTimeBuckets is the number of histogram buckets. They cover run times up to 2^17 ms, four for each power of two;
	// the last one also holds longer run times.
	runTimeBuckets = 17 * 4
	// longestDivisor sets how rarely the longest task of a job is underestimated: one job in longestDivisor. With 2, 3% of
	// the admitted jobs missed their deadline at 130% load; with 8, none did.
	longestDivisor = 8
	// decayThreshold is the number of observations in the histogram at which all buckets are halved, so that older
	// observations lose weight.
	decayThreshold = 1024
)

type (
	// estimates tracks the run times of each kind of task. The zero value is ready to use.
	estimates struct{ kinds map[string]*kindEstimate }

	kindEstimate struct {
		mean        float64
		count       uint32 // all observations, without decay
		bucketTotal uint32 // sum of buckets
		buckets     [runTimeBuckets]uint16
	}
)

func (e *estimates) known(kind string) bool {
	k := e.kinds[kind]
	return k != nil && k.count >= minObservations
}

// runTime returns the observed mean run time of the kind, else the declared run time, else a default.
func (e *estimates) runTime(kind string, declared timer.Millis) timer.Millis {
	if e.known(kind) {
		return max(timer.Millis(e.kinds[kind].mean), 1)
	}
	if declared > 0 {
		return declared
	}
	return defaultRunTime
}

// longest estimates the longest run time among the given number of tasks of the kind. It is the run time that one in
// longestDivisor*tasks tasks exceeds.
func (e *estimates) longest(kind string, declared timer.Millis, tasks int) timer.Millis {
	if !e.known(kind) {
		return e.runTime(kind, declared)
	}
	k := e.kinds[kind]
	above := k.bucketTotal / uint32(longestDivisor*max(tasks, 1))
	for i := runTimeBuckets - 1; i > 0; i-- {
		if n := uint32(k.buckets[i]); n > above {
			return bucketUpperBound(i)
		}
		above -= uint32(k.buckets[i])
	}
	return bucketUpperBound(0)
}

func (e *estimates) observe(kind string, runTime timer.Millis) {
	k := e.kinds[kind]
	if k == nil {
		if len(e.kinds) >= maxKinds {
			return
		}
		if e.kinds == nil {
			e.kinds = map[string]*kindEstimate{}
		}
		k = &kindEstimate{mean: float64(runTime)}
		e.kinds[kind] = k
	}
	k.count++
	k.mean += runTimeSmoothing * (float64(runTime) - k.mean)
	k.buckets[bucketIndex(runTime)]++
	if k.bucketTotal++; k.bucketTotal >= decayThreshold {
		k.bucketTotal = 0
		for i := range k.buckets {
			k.buckets[i] /= 2
			k.bucketTotal += uint32(k.buckets[i])
		}
	}
}

// bucketIndex returns the histogram bucket of a run time. There are four buckets for each power of two.
func bucketIndex(runTime timer.Millis) int {
	v := uint64(max(runTime, 1)) << 2
	exponent := bits.Len64(v) - 3
	return min(exponent*4+int(v>>exponent)-4, runTimeBuckets-1)
}

// bucketUpperBound returns the exclusive upper bound of a bucket.
func bucketUpperBound(i int) timer.Millis {
	return timer.Millis((uint64(i%4) + 5) << (i / 4) >> 2)
}
