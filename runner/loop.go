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
	// maxBatchTime is the time after which a batch ends, so that ticks are not delayed by slow events.
	maxBatchTime = 25 * timer.Millisecond
	// maxFailedTicks is the number of consecutive panicking ticks, 1 s, after which the loop returns an error. No timeout
	// fires without ticks, and a restart of the process clears the state.
	maxFailedTicks = 40
)

type (
	// eventLoop is the single goroutine that owns a core's state. Other goroutines post functions for it to call.
	eventLoop struct {
		clock  timer.Clock
		events chan event
		// urgent holds functions that are called before all queued events.
		urgent chan func(now timer.Millis)
		// flush is called after each batch of events, and tick every tickPeriod.
		flush, tick func(now timer.Millis)
		// onPanic is called after a panic in an event, flush or tick. The loop continues with the next call.
		onPanic func(err error)

		next        event // taken from events, but not handled yet, if its call is set
		failedTicks int   // consecutive
	}

	event struct {
		postedAt timer.Millis
		call     func(now timer.Millis)
	}
)

func newEventLoop() *eventLoop {
	return &eventLoop{clock: timer.BootClock(), events: make(chan event, eventBuffer), urgent: make(chan func(now timer.Millis), eventBuffer)}
}

// post queues a function for the loop. It blocks while the queue is full, and may drop the function after ctx is
// canceled.
func (l *eventLoop) post(ctx context.Context, f func(now timer.Millis)) {
	select {
	case l.events <- event{l.clock.Now(), f}:
	case <-ctx.Done():
	}
}

// postUrgent is like post, but the loop calls the function before all queued events, at the latest after the current
// one. It is for short functions that end work, and that are correct in any order with the queued events.
func (l *eventLoop) postUrgent(ctx context.Context, f func(now timer.Millis)) {
	select {
	case l.urgent <- f:
	case <-ctx.Done():
	}
}

// poll takes the oldest queued event, if there is one.
func (l *eventLoop) poll() (e event, ok bool) {
	if l.next.call != nil {
		e, l.next = l.next, event{}
		return e, true
	}
	select {
	case e = <-l.events:
		return e, true
	default:
		return event{}, false
	}
}

// delay returns how long the oldest queued event has waited. It must be called by the loop.
func (l *eventLoop) delay(now timer.Millis) timer.Millis {
	e, ok := l.poll()
	if !ok {
		return 0
	}
	l.next = e
	return max(now-e.postedAt, 0)
}

// run calls posted functions until ctx is canceled. It returns an error after maxFailedTicks consecutive panicking
// ticks.
func (l *eventLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C: // before the events, which may always be queued
			if err := l.runTick(); err != nil {
				return err
			}
		default:
		}
		if e, ok := l.poll(); ok {
			l.runBatch(e)
			continue
		}
		select {
		case <-ctx.Done():
		case f := <-l.urgent:
			l.runBatch(event{call: f})
		case e := <-l.events:
			l.runBatch(e)
		case <-ticker.C:
			if err := l.runTick(); err != nil {
				return err
			}
		}
	}
	return nil
}

// runTick calls tick, and returns an error after maxFailedTicks consecutive panics.
func (l *eventLoop) runTick() error {
	l.runUrgent()
	if l.callRecovering(l.clock.Now(), l.tick) {
		l.failedTicks = 0
		return nil
	}
	if l.failedTicks++; l.failedTicks >= maxFailedTicks {
		return trace.LimitExceeded("%d consecutive ticks panicked", l.failedTicks)
	}
	return nil
}

// runUrgent calls the urgent functions. Their number is bounded, so that a flood of them does not stop the ticks.
func (l *eventLoop) runUrgent() {
	for range eventBuffer {
		select {
		case f := <-l.urgent:
			l.callRecovering(l.clock.Now(), f)
		default:
			return
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

// runBatch calls an event and those that are queued, then flush.
func (l *eventLoop) runBatch(e event) {
	l.runUrgent()
	started := l.clock.Now()
	l.callRecovering(started, e.call)
	for range maxBatchEvents {
		l.runUrgent()
		now := l.clock.Now()
		if now-started >= maxBatchTime {
			break
		}
		e, ok := l.poll()
		if !ok {
			break
		}
		l.callRecovering(now, e.call)
	}
	l.callRecovering(l.clock.Now(), l.flush)
}
