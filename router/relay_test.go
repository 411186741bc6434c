package router

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

// TestRelay checks that not every process sends each change to every other process, and that a process that cannot
// reach the store receives the configuration in time.
func TestRelay(t *testing.T) {
	cases := []struct {
		name            string
		changedAt       timer.Millis
		sessionOpenedAt timer.Millis
		unconfigured    bool
		updatedAt       timer.Millis // time at which the other process reads it from the store; 0 for never
		senders         int
		first           timer.Millis // latest time of the first message
		maxMessages     int          // maximum number of messages from all senders in 2 s
	}{
		{"peer reads the store", 1000, 0, false, 1100, 20, 0, 0},
		{"peer cannot reach the store", 1000, 0, false, 0, 20, 1600 + 50, 40},
		{"one sender", 1000, 0, false, 0, 1, 2000, 2},
		{"restarted peer reads the store", 0, 1000, true, 1050, 20, 0, 0},
		{"restarted peer cannot reach the store", 0, 1000, true, 0, 20, 1150 + 50, 40},
	}
	for _, c := range cases {
		sent, first := 0, timer.Millis(0)
		relays := make([]Relay, c.senders)
		for i := range relays {
			if c.changedAt > 0 {
				relays[i].OnConnect(0, "other")
				relays[i].OnConfigurationChanged(c.changedAt)
			} else {
				relays[i].OnConnect(c.sessionOpenedAt, "other")
			}
		}
		for now := timer.Millis(1000); now < 3000; now += 25 {
			for i := range relays {
				if c.updatedAt > 0 && now >= c.updatedAt {
					continue
				}
				if relays[i].ShouldSend(now, fmt.Sprint("self-", i), "other", c.unconfigured) {
					if sent++; first == 0 {
						first = now
					}
				}
			}
		}
		if first > c.first || sent > c.maxMessages || c.maxMessages > 0 && sent == 0 {
			t.Errorf("%s: got %d messages, the first at %d, want at most %d, the first by %d", c.name, sent, first, c.maxMessages, c.first)
		}
	}
}
