// Package timer provides a time type in milliseconds and a clock that tests can replace.
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
	// Millis is a point in time or a duration in milliseconds. Points in time are relative to the start of the process or
	// of the machine, so they are comparable only within one process.
	Millis int64

	// Clock is a source of the current time. The zero value uses the monotonic system clock.
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
	// The offset keeps the difference of now and a timeout positive, so that a zero Millis is always in the past.
	return Millis(time.Since(start).Milliseconds()) + Minute
}

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// String returns m with its unit, for example "250ms".
func (m Millis) String() string { return strconv.FormatInt(int64(m), 10) + "ms" }

// FromDuration converts d to Millis, rounding toward zero.
func FromDuration(d time.Duration) Millis { return Millis(d.Milliseconds()) }
