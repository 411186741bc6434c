package conductor

import (
	"sync"
	"time"
)

// burstTime is the time whose calls may be made at once after a pause.
const burstWindow = 200 * time.Millisecond

// budget spreads the store's write calls over the partitions, so that a busy entry writes more records with each call
// instead of more calls. Its methods may be called concurrently.
type writeLimiter struct {
	rate float64 // calls a second for each partition

	mu         sync.Mutex
	partitions int
	scheduled  time.Time // when all calls so far would have been made at the rate
}

// setShares sets the number of partitions whose calls the budget covers.
func (b *writeLimiter) setPartitions(n int) {
	b.mu.Lock()
	b.partitions = n
	b.mu.Unlock()
}

// spend counts a call and returns the pause before the next one.
func (b *writeLimiter) reserve(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if earliest := now.Add(-burstWindow); b.scheduled.Before(earliest) {
		b.scheduled = earliest
	}
	b.scheduled = b.scheduled.Add(time.Duration(float64(time.Second) / (b.rate * float64(max(b.partitions, 1)))))
	return max(b.scheduled.Sub(now), 0)
}
