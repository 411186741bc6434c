package marshaler

import "github.com/crocuslb/crocuslb/timer"

const (
	// IdleHeartbeatInterval is the heartbeat interval of an idle session, on which no work depends at present. Most sessions are
	// idle, and their number grows with the number of entries times the number of sidecars.
	IdleHeartbeatInterval = 600 * timer.Millisecond
	// IdleTimeout is the time without a message after which the peer of an idle session is considered lost.
	IdleTimeout = 1400 * timer.Millisecond
	// PauseThreshold is the time between two ticks from which a process assumes that it was paused. Ticks are 25 ms apart.
	PauseThreshold = 100 * timer.Millisecond
)

// TimeSent returns when a message was sent, on the receiver's clock. stated is the time that the message states; a message without
// one, from a sender that has no estimate of the receiver's clock, counts as sent now.
func TimeSent(now, stated timer.Millis) timer.Millis {
	if stated == 0 {
		return now
	}
	return min(stated, now)
}

// Link is the sending side of a session. Its functions never block.
type Link struct {
	Remote Hello
	Send   func(m Message)
	// Close ends the session.
	Close func(cause error)
}
