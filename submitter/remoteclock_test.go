package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

// TestRemoteClock guards against an estimate of another process's clock that is late, so that a message looks younger than
// it is: after a delayed message, after a drift of the clocks, and after a restart of the other process.
func TestRemoteClock(t *testing.T) {
	type message struct{ handled, stated timer.Millis }
	cases := []struct {
		name     string
		messages []message
		at, want timer.Millis
	}{
		{"no message", nil, 100, 0},
		{"one message", []message{{100, 5000}}, 150, 5050},
		{"a later message was delayed", []message{{100, 5000}, {800, 5100}}, 900, 5800},
		{"the first message was delayed", []message{{600, 5000}, {700, 5600}}, 800, 5700},
		{"the remote clock is slower", []message{{0, 5000}, {10_000, 14_990}, {20_000, 24_980}, {30_000, 34_970}}, 30_000, 34_980},
	}
	for _, c := range cases {
		var clock remoteClock
		for _, m := range c.messages {
			clock.observe(m.handled, m.stated)
		}
		if got := clock.at(c.at); got != c.want {
			t.Errorf("%s: got %d at %d, want %d", c.name, got, c.at, c.want)
		}
	}
}
