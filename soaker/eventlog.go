package soaker

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// maxEvents bounds the memory of an event log.
const maxEvents = 500_000

// eventLog holds what callers, backend servers and faults did, in order. Its times have the format of the processes'
// logs, so that the two can be sorted together.
type eventLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *eventLog) add(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) < maxEvents {
		l.lines = append(l.lines, fmt.Sprintf(`{"time":"%s"} `, time.Now().UTC().Format("2006-01-02T15:04:05.000Z"))+fmt.Sprintf(format, args...))
	}
}

func (l *eventLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "\n")
}
