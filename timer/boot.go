package timer

import (
	"golang.org/x/sys/unix"
)

// BootClock returns a clock based on CLOCK_BOOTTIME, which includes the time that the machine was suspended. It falls back to
// the monotonic clock if the system does not support it.
func BootClock() Clock {
	if _, ok := bootMillis(); !ok {
		return Clock{}
	}
	return Clock{NowFunc: func() Millis {
		now, _ := bootMillis()
		// The offset keeps the difference of now and a timeout positive, so that a zero Millis is always in the past.
		return now + Minute
	}}
}

func bootMillis() (Millis, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return Millis(ts.Nano() / 1_000_000), true
}
