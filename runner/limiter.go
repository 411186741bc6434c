package runner

import (
	"sync"
	"time"
)

// burstWindow is the period of unused rate that may be spent as a burst.
const burstWindow = 200 * time.Millisecond

// writeLimiter limits the rate of an entry's write calls to the store, in proportion to its number of partitions. A
// busy entry therefore writes more records per call rather than making more calls. Its methods may be called
// concurrently.
type writeLimiter struct {
	rate float64 // calls per second and partition

	mu         sync.Mutex
	partitions int
	scheduled  time.Time // time at which the calls so far would end if made at the configured rate
}

func (l *writeLimiter) setPartitions(n int) {
	l.mu.Lock()
	l.partitions = n
	l.mu.Unlock()
}

// reserve counts a call and returns the delay before the next one.
func (l *writeLimiter) reserve(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if earliest := now.Add(-burstWindow); l.scheduled.Before(earliest) {
		l.scheduled = earliest
	}
	l.scheduled = l.scheduled.Add(time.Duration(float64(time.Second) / (l.rate * float64(max(l.partitions, 1)))))
	return max(l.scheduled.Sub(now), 0)
}
