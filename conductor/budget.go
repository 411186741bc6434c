package conductor

import (
	"sync"
	"time"
)

// burstTime is the time whose calls may be made at once after a pause.
const burstTime = 200 * time.Millisecond

// budget spreads the store's write calls over the partitions, so that a busy entry writes more records with each call
// instead of more calls. Its methods may be called concurrently.
type budget struct {
	rate float64 // calls a second for each partition

	mu     sync.Mutex
	shares int
	free   time.Time // when all calls so far would have been made at the rate
}

// setShares sets the number of partitions whose calls the budget covers.
func (b *budget) setShares(n int) {
	b.mu.Lock()
	b.shares = n
	b.mu.Unlock()
}

// spend counts a call and returns the pause before the next one.
func (b *budget) spend(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if earliest := now.Add(-burstTime); b.free.Before(earliest) {
		b.free = earliest
	}
	b.free = b.free.Add(time.Duration(float64(time.Second) / (b.rate * float64(max(b.shares, 1)))))
	return max(b.free.Sub(now), 0)
}
