package submitter

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// requestActiveTime is how long the session between two entries stays active after one of them requested capacity from
// the other.
const requestActiveTime = 2 * timer.Second

// liveness tracks the heartbeats of a session. An active session carries frequent heartbeats, because its loss has to
// be detected soon; an idle one is only kept open. Both ends apply the same rules to decide whether it is active.
type liveness struct {
	lastReceived timer.Millis // time of the latest message from the peer
	lastSent     timer.Millis // time of the latest message to the peer
	active       bool
	// activeSince is the time at which the session became active. Before it the peer sent heartbeats at the idle
	// interval.
	activeSince timer.Millis
}

// activate makes a session active.
func (l *liveness) activate(now timer.Millis) {
	if !l.active {
		l.active, l.activeSince = true, now
	}
}

// heartbeatDueSince returns the time from which the heartbeat timeout counts.
func (l *liveness) heartbeatDueSince() timer.Millis {
	if l.active {
		return max(l.lastReceived, l.activeSince)
	}
	return l.lastReceived
}

func (l *liveness) silence(now timer.Millis) timer.Millis { return now - l.heartbeatDueSince() }

// heartbeatTimeout returns the time without messages after which the peer is considered lost.
func (l *liveness) heartbeatTimeout() timer.Millis {
	if l.active {
		return HeartbeatTimeout
	}
	return marshaler.IdleTimeout
}

func (l *liveness) heartbeatInterval() timer.Millis {
	if l.active {
		return heartbeatInterval
	}
	return marshaler.IdleHeartbeatInterval
}

// setActive makes a session active or idle.
func (l *liveness) setActive(now timer.Millis, active bool) {
	if active {
		l.activate(now)
	} else {
		l.active = false
	}
}

// updateActivity marks the sessions that need frequent heartbeats: those with sidecars that run tasks of this entry or
// that this entry is subscribed to as the placing entry, those with entries while one requests capacity from the
// other or has handed a job over to it, and all of them while durable jobs may be in use.
func (s *Submitter) updateActivity() {
	for _, sc := range s.sidecars {
		sc.setActive(s.now, s.mayHaveDurable() || sc.subscribed || len(sc.assignedRuns) > 0)
	}
	for _, p := range s.peers {
		if len(p.handedOver)+len(p.received) > 0 {
			p.requestedAt = s.now
		}
		asks := p.requestedAt != 0 && s.now-p.requestedAt < requestActiveTime
		p.setActive(s.now, asks || p.mayHaveDurable && s.mayHaveDurable())
	}
}

// handlePause applies the time limits that expired while this process was suspended, before any message that arrived
// meanwhile is handled: a grant for a job whose caller has left must not start a task, and sessions that both ends have
// timed out must not carry starts.
func (s *Submitter) handlePause() {
	pause := s.now - s.lastTick
	if s.lastTick == 0 || pause < marshaler.PauseThreshold {
		return
	}
	s.lastTick, s.handover.pausedAt = s.now, s.now
	s.explainer.pause, s.explainer.pausedUntil = pause, s.now
	s.report(Event{Kind: "paused", Value: int64(pause)})
	s.resume.notePause(s.now-pause, s.now)
	s.checkTimeouts()
	s.expireJobs()
}
