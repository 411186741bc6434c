package scheduler

import (
	"math/bits"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	defaultRunTime = 300 * timer.Millisecond
	// observationsToTrust is the number of ends after which a kind's learnt run time goes before declared ones.
	observationsToTrust = 5
	// runTimeWeight is the weight of the newest observation in a kind's smoothed run time.
	runTimeWeight = 0.05
	// maxKinds bounds the learnt kinds; callers choose the names.
	maxKinds = 4096
	// runTimeBuckets cover run times up to 2^16 ms in steps of a quarter of a power of two.
	runTimeBuckets = 17 * 4
	// longestShare sets how rarely a job's longest task is underestimated. With 2, 3% of the admitted jobs missed their
	// deadline at 130% load; with 8, none did.
	longestShare = 8
	// halveAfter is the number of observations after which the older ones count half.
	halveAfter = 1024
)

type (
	// estimates learns the run times of each kind of task. The zero value is ready to use.
	estimates struct{ kinds map[string]*kindEstimate }

	kindEstimate struct {
		mean    float64
		count   uint32 // all observations
		kept    uint32 // sum of buckets
		buckets [runTimeBuckets]uint16
	}
)

func (e *estimates) known(kind string) bool {
	k := e.kinds[kind]
	return k != nil && k.count >= observationsToTrust
}

// runTime returns the learnt run time of the kind, else the declared one, else a default.
func (e *estimates) runTime(kind string, declared timer.Millis) timer.Millis {
	if e.known(kind) {
		return max(timer.Millis(e.kinds[kind].mean), 1)
	}
	if declared > 0 {
		return declared
	}
	return defaultRunTime
}

// longest estimates the longest run time among a number of tasks of the kind: the run time that one task in
// longestShare times that number exceeds.
func (e *estimates) longest(kind string, declared timer.Millis, tasks int) timer.Millis {
	if !e.known(kind) {
		return e.runTime(kind, declared)
	}
	k := e.kinds[kind]
	above := k.kept / uint32(longestShare*max(tasks, 1))
	for i := runTimeBuckets - 1; i > 0; i-- {
		if n := uint32(k.buckets[i]); n > above {
			return bucketBound(i)
		}
		above -= uint32(k.buckets[i])
	}
	return bucketBound(0)
}

func (e *estimates) observe(kind string, ran timer.Millis) {
	k := e.kinds[kind]
	if k == nil {
		if len(e.kinds) >= maxKinds {
			return
		}
		if e.kinds == nil {
			e.kinds = map[string]*kindEstimate{}
		}
		k = &kindEstimate{mean: float64(ran)}
		e.kinds[kind] = k
	}
	k.count++
	k.mean += runTimeWeight * (float64(ran) - k.mean)
	k.buckets[bucketOf(ran)]++
	if k.kept++; k.kept >= halveAfter {
		k.kept = 0
		for i := range k.buckets {
			k.buckets[i] /= 2
			k.kept += uint32(k.buckets[i])
		}
	}
}

// bucketOf returns the bucket of a run time: four buckets for each power of two.
func bucketOf(ran timer.Millis) int {
	v := uint64(max(ran, 1)) << 2
	exponent := bits.Len64(v) - 3
	return min(exponent*4+int(v>>exponent)-4, runTimeBuckets-1)
}

// bucketBound returns the upper bound of a bucket.
func bucketBound(i int) timer.Millis {
	return timer.Millis((uint64(i%4) + 5) << (i / 4) >> 2)
}
