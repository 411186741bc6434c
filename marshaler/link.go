package marshaler

import "github.com/crocuslb/crocuslb/timer"

const (
	// IdleBeatPeriod is the time between two heartbeats on a session that nobody depends on at present. Most sessions are
	// idle, and their number grows with entries times sidecars.
	IdleBeatPeriod = 600 * timer.Millisecond
	// IdleSilenceLimit is the time without a sign of life after which the other end of an idle session is held for lost.
	IdleSilenceLimit = 1400 * timer.Millisecond
	// PauseLimit is the time between two ticks, of 25 ms, from which on a process counts as paused meanwhile.
	PauseLimit = 100 * timer.Millisecond
)

// Link is the sending end of a session. Its functions never block.
type Link struct {
	Remote Hello
	Send   func(m Message)
	// Close ends the session.
	Close func(cause error)
}
