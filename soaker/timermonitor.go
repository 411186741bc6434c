package soaker

import (
	"context"
	"sync"
	"time"
)

const (
	// starvationThreshold is the timer delay above which the machine counts as overloaded. Processes consider each
	// other lost after 450 ms.
	starvationThreshold = 100 * time.Millisecond
	timerPeriod         = 10 * time.Millisecond
	maxFinalRounds      = 8
)

// timerMonitor measures how late timers fire, which shows whether processes get CPU time when they need it.
type timerMonitor struct {
	mu       sync.Mutex
	maxDelay time.Duration
}

// watch measures until ctx is canceled.
func (s *timerMonitor) watch(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(timerPeriod)
		delay := time.Since(before) - timerPeriod
		s.mu.Lock()
		s.maxDelay = max(s.maxDelay, delay)
		s.mu.Unlock()
	}
}

// takeMaxDelay returns the longest delay since the last call and resets it.
func (s *timerMonitor) takeMaxDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	maxDelay := s.maxDelay
	s.maxDelay = 0
	return maxDelay
}
