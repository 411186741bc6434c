// Package runner runs the entry and sidecar processes on the users' platform. It connects their cores to sessions,
// the platform's HTTP interfaces, timers, logs and metrics.
package runner

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/recoverer"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// eventBuffer is the number of events that are queued before senders block.
	eventBuffer = 4096
	// tickPeriod is the resolution of timeouts.
	tickPeriod = 25 * time.Millisecond
	// maxBatchEvents is the number of further events handled in one batch before flush is called.
	maxBatchEvents = 64
	// maxFailedTicks is the number of consecutive panicking ticks, 1 s, after which the loop returns an error. No timeout
	// fires without ticks, and a restart of the process clears the state.
	maxFailedTicks = 40
)

// eventLoop is the single goroutine that owns a core's state. Other goroutines post functions for it to call.
type eventLoop struct {
	clock  timer.Clock
	events chan func(now timer.Millis)
	// flush is called after each batch of events, and tick every tickPeriod.
	flush, tick func(now timer.Millis)
	// onPanic is called after a panic in an event, flush or tick. The loop continues with the next call.
	onPanic func(err error)

	failedTicks int // consecutive
}

func newEventLoop() *eventLoop {
	return &eventLoop{clock: timer.BootClock(), events: make(chan func(now timer.Millis), eventBuffer)}
}

// post queues a function for the loop. It blocks while the queue is full, and may drop the function after ctx is
// canceled.
func (l *eventLoop) post(ctx context.Context, f func(now timer.Millis)) {
	select {
	case l.events <- f:
	case <-ctx.Done():
	}
}

// run calls posted functions until ctx is canceled. It returns an error after maxFailedTicks consecutive panicking
// ticks.
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
				return trace.LimitExceeded("%d consecutive ticks panicked", l.failedTicks)
			}
		}
	}
}

// callRecovering calls f and reports whether it returned without panicking.
func (l *eventLoop) callRecovering(now timer.Millis, f func(now timer.Millis)) bool {
	err := recoverer.Call(func() { f(now) })
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
