package timer

import (
	"golang.org/x/sys/unix"
)

// Boot returns a clock that also counts the time in which the machine was suspended. It falls back to the monotonic
// clock where the system has no such clock.
func Boot() Clock {
	if _, ok := bootMillis(); !ok {
		return Clock{}
	}
	return Clock{NowFunc: func() Millis {
		now, _ := bootMillis()
		// The offset keeps "now minus a timeout" positive, so that a zero Millis always lies in the past.
		return now + Minute
	}}
}

func bootMillis() (Millis, bool) {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0, false
	}
	return Millis(at.Nano() / 1_000_000), true
}
