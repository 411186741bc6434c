// Package timer provides the project's time type, in milliseconds, and a clock that tests can replace.
package timer

import (
	"strconv"
	"time"
)

const (
	// Millisecond is the unit of Millis.
	Millisecond Millis = 1
	// Second is one second in Millis.
	Second Millis = 1000
	// Minute is one minute in Millis.
	Minute = 60 * Second
)

type (
	// Millis is a point in time or a duration, in milliseconds. Points count from the start of the process,
	// so they are comparable only within one process.
	Millis int64

	// Clock tells the time since the process started. The zero value uses the monotonic system clock.
	Clock struct {
		// NowFunc replaces the system clock when it is not nil.
		NowFunc func() Millis
	}
)

var start = time.Now()

// Now returns the current point in time.
func (c Clock) Now() Millis {
	if c.NowFunc != nil {
		return c.NowFunc()
	}
	// The offset keeps "now minus a timeout" positive, so that a zero Millis always lies in the past.
	return Millis(time.Since(start).Milliseconds()) + Minute
}

// Duration converts m to the standard library's type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// String returns m with its unit, for example "250ms".
func (m Millis) String() string { return strconv.FormatInt(int64(m), 10) + "ms" }

// FromDuration converts d to Millis and rounds toward zero.
func FromDuration(d time.Duration) Millis { return Millis(d.Milliseconds()) }
