package submitter

import "github.com/crocuslb/crocuslb/timer"

// clockWindow is the period over which the messages with the shortest delay determine the estimate of a remote clock. Clocks of
// two machines drift apart by less than a few milliseconds in two periods.
const clockWindow = 10 * timer.Second

// remoteClock estimates the clock of another process from the times that its messages state. The delay of messages makes the
// estimate early, never late, but for the drift within two windows.
type remoteClock struct {
	known       bool
	offset      timer.Millis // largest difference to the local clock in the current window
	previous    timer.Millis // in the window before
	windowStart timer.Millis
}

// observe handles a message that was sent at a time on the remote clock.
func (c *remoteClock) observe(now, stated timer.Millis) {
	offset := stated - now
	switch {
	case !c.known:
		*c = remoteClock{known: true, offset: offset, previous: offset, windowStart: now}
	case now-c.windowStart >= clockWindow:
		c.previous, c.offset, c.windowStart = c.offset, offset, now
	default:
		c.offset = max(c.offset, offset)
	}
}

// at returns the remote time at a local time, or 0 before the first message.
func (c *remoteClock) at(now timer.Millis) timer.Millis {
	if !c.known {
		return 0
	}
	return now + max(c.offset, c.previous)
}
