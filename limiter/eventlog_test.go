package limiter

import (
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

// TestEventLog guards against a line for each of many clients that meet a limit, and against clients that no line counts.
func TestEventLog(t *testing.T) {
	now := timer.Second
	l := &EventLog{Clock: timer.Clock{NowFunc: func() timer.Millis { return now }}}
	evicted, refused := Event{"callers", LimitMemory, ActionEvict}, Event{"callers", LimitMemory, ActionRefuse}
	cases := []struct {
		at    timer.Millis
		event Event
		want  int
	}{
		{1000, evicted, 1}, {1001, evicted, 0}, {1002, refused, 1}, {1999, evicted, 0}, {2000, evicted, 3}, {2001, evicted, 0}, {9000, refused, 1},
	}
	for _, c := range cases {
		now = c.at
		if got := l.Add(c.event); got != c.want {
			t.Errorf("at %d: got a line for %d events, want %d", c.at, got, c.want)
		}
	}
}
