package soaker

import (
	"context"
	"sync"
	"time"
)

const (
	// starvedAfter is the delay of a timer above which the machine counts as starved: processes lose each other after 450 ms.
	starvedAfter  = 100 * time.Millisecond
	starvePeriod  = 10 * time.Millisecond
	maxFinalTries = 8
)

// starvation watches how late timers fire, which shows whether processes get the processor when they need it.
type starvation struct {
	mu    sync.Mutex
	worst time.Duration
}

// watch measures until ctx ends.
func (s *starvation) watch(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(starvePeriod)
		late := time.Since(before) - starvePeriod
		s.mu.Lock()
		s.worst = max(s.worst, late)
		s.mu.Unlock()
	}
}

// take returns the longest delay since the last call.
func (s *starvation) take() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	worst := s.worst
	s.worst = 0
	return worst
}
