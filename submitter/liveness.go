package submitter

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// askMemory is how long the session of two entries stays active after one asked the other for room.
const askMemory = 2 * timer.Second

// liveness is what is known of the signs of life on a session. An active one carries frequent heartbeats, because its loss
// has to be noticed soon; an idle one is only kept open. Both ends are active for the same reasons.
type liveness struct {
	heard  timer.Millis // latest sign of life of the other end
	sent   timer.Millis // latest one to it
	active bool
	// since is the time at which the session became active. Until then the other end sent heartbeats rarely.
	since timer.Millis
}

// wake makes a session active.
func (l *liveness) wake(now timer.Millis) {
	if !l.active {
		l.active, l.since = true, now
	}
}

// expected returns the time from which on the other end owes signs of life.
func (l *liveness) expected() timer.Millis {
	if l.active {
		return max(l.heard, l.since)
	}
	return l.heard
}

func (l *liveness) silence(now timer.Millis) timer.Millis { return now - l.expected() }

// silenceLimit returns the silence after which the other end is held for lost.
func (l *liveness) silenceLimit() timer.Millis {
	if l.active {
		return SilenceLimit
	}
	return marshaler.IdleSilenceLimit
}

func (l *liveness) beatPeriod() timer.Millis {
	if l.active {
		return beatPeriod
	}
	return marshaler.IdleBeatPeriod
}

// set makes a session active or idle.
func (l *liveness) set(now timer.Millis, active bool) {
	if active {
		l.wake(now)
	} else {
		l.active = false
	}
}

// checkActivity finds the sessions that need frequent heartbeats: with sidecars that run tasks of this entry or report to
// it as the placing one, with entries when one asks the other for room, and all of them while kept jobs may be in use.
func (s *Submitter) checkActivity() {
	for _, sc := range s.sidecars {
		sc.set(s.now, s.mayKeep() || sc.subscribed || len(sc.placed) > 0)
	}
	for _, p := range s.peers {
		asks := p.askedAt != 0 && s.now-p.askedAt < askMemory
		p.set(s.now, asks || p.mayKeep && s.mayKeep())
	}
}

// mayKeep reports whether kept jobs may be in use, as the heartbeats say.
func (s *Submitter) mayKeep() bool { return s.kept.inUse || !s.kept.known }

// noticePause acts on the time limits that passed while this process stood still, before it handles anything that came
// meanwhile: a grant for a job whose caller has left must start nothing, and sessions that both ends gave up take no
// orders.
func (s *Submitter) noticePause() {
	pause := s.now - s.beganTick
	if s.beganTick == 0 || pause < marshaler.PauseLimit {
		return
	}
	s.beganTick = s.now
	s.report(Event{Kind: "paused", Value: int64(pause)})
	s.checkSilence()
	s.expireJobs()
}
