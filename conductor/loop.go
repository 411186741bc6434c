// Package conductor runs the processes of the path of restartable jobs: it connects the cores of an entry and of a
// sidecar with sessions, the platform, timers, logs and metrics.
package conductor

import (
	"context"
	"time"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// loopBuffer is the number of events that wait before their senders do.
	loopBuffer = 4096
	// tickPeriod is the resolution of time limits.
	tickPeriod = 25 * time.Millisecond
	// maxEvents is the number of events after which the core acts on them, when more wait.
	maxEvents = 64
)

// loop is the one goroutine that owns a core's state. Other goroutines pass it functions to call.
type loop struct {
	clock  timer.Clock
	events chan func(now timer.Millis)
	// flush is called after each batch of events, tick every tickPeriod.
	flush, tick func(now timer.Millis)
}

func newLoop() *loop {
	return &loop{clock: timer.Boot(), events: make(chan func(now timer.Millis), loopBuffer)}
}

// do passes a function to the loop. It blocks while too many events wait, and drops the function once ctx has ended.
func (l *loop) do(ctx context.Context, f func(now timer.Millis)) {
	select {
	case l.events <- f:
	case <-ctx.Done():
	}
}

// run calls the functions until ctx ends.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.events:
			l.batch(f)
		case <-ticker.C:
			l.tick(l.clock.Now())
		}
	}
}

func (l *loop) batch(f func(now timer.Millis)) {
	now := l.clock.Now()
	f(now)
	for range maxEvents {
		select {
		case f := <-l.events:
			f(now)
		default:
			l.flush(now)
			return
		}
	}
	l.flush(now)
}
