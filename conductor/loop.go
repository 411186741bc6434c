// Package conductor runs the processes of the path of restartable jobs: it connects the cores of an entry and of a
// sidecar with sessions, the platform, timers, logs and metrics.
package conductor

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/catcher"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// loopBuffer is the number of events that wait before their senders do.
	eventBuffer = 4096
	// tickPeriod is the resolution of time limits.
	tickPeriod = 25 * time.Millisecond
	// maxEvents is the number of events after which the core acts on them, when more wait.
	maxBatchEvents = 64
	// maxFailedTicks is the number of ticks in a row that may panic, 1 s, before the loop gives up. Without ticks no time
	// limit holds, and a restart clears the state.
	maxFailedTicks = 40
)

// loop is the one goroutine that owns a core's state. Other goroutines pass it functions to call.
type eventLoop struct {
	clock  timer.Clock
	events chan func(now timer.Millis)
	// flush is called after each batch of events, tick every tickPeriod.
	flush, tick func(now timer.Millis)
	// panicked is told of a panic in an event, in flush or in tick. Only that call ends.
	onPanic func(err error)

	failedTicks int // in a row
}

func newEventLoop() *eventLoop {
	return &eventLoop{clock: timer.Boot(), events: make(chan func(now timer.Millis), eventBuffer)}
}

// do passes a function to the loop. It blocks while too many events wait, and drops the function once ctx has ended.
func (l *eventLoop) post(ctx context.Context, f func(now timer.Millis)) {
	select {
	case l.events <- f:
	case <-ctx.Done():
	}
}

// run calls the functions until ctx ends. It returns an error when the ticks keep panicking.
func (l *eventLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-l.events:
			l.runBatch(f)
		case <-ticker.C:
			if l.callRecovering(l.clock.Now(), l.tick) {
				l.failedTicks = 0
			} else if l.failedTicks++; l.failedTicks >= maxFailedTicks {
				return trace.LimitExceeded("%d ticks in a row panicked", l.failedTicks)
			}
		}
	}
}

// call calls f and reports whether it returned without a panic.
func (l *eventLoop) callRecovering(now timer.Millis, f func(now timer.Millis)) bool {
	err := catcher.Catch(func() { f(now) })
	if err != nil && l.onPanic != nil {
		l.onPanic(err)
	}
	return err == nil
}

func (l *eventLoop) runBatch(f func(now timer.Millis)) {
	now := l.clock.Now()
	l.callRecovering(now, f)
	for range maxBatchEvents {
		select {
		case f := <-l.events:
			l.callRecovering(now, f)
		default:
			l.callRecovering(now, l.flush)
			return
		}
	}
	l.callRecovering(now, l.flush)
}
