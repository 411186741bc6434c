package limiter

import (
	"sync"

	"github.com/crocuslb/crocuslb/timer"
)

// eventLogInterval is the minimum interval between two log lines about equal events, so that a crowd that meets a limit does not
// displace other lines.
const eventLogInterval = timer.Second

// EventLog decides which events are logged. The zero value is ready to use, and its method may be called concurrently.
type EventLog struct {
	Clock timer.Clock

	mu       sync.Mutex
	loggedAt map[Event]timer.Millis
	counts   map[Event]int // since the latest line
}

// Add counts an event. It returns the number of equal events to log, or 0 if a line was logged a short time ago.
func (l *EventLog) Add(e Event) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.loggedAt, l.counts = map[Event]timer.Millis{}, map[Event]int{}
	}
	l.counts[e]++
	now := l.Clock.Now()
	if at, logged := l.loggedAt[e]; logged && now-at < eventLogInterval {
		return 0
	}
	count = l.counts[e]
	l.loggedAt[e], l.counts[e] = now, 0
	return count
}
