package submitter

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// longPause is the duration of a pause from which on callers whose connections ended meanwhile may have sent their jobs
	// to other entries. They wait 1300 ms before that.
	longPause = timer.Second
	// resumeTime is how long after a long pause no task of a restartable job is started. The ends of connections during the
	// pause are noticed within this time.
	resumeTime = 200 * timer.Millisecond
)

// resumeState keeps the grants that arrive soon after a long pause. The zero value keeps none.
type resumeState struct {
	pausedSince timer.Millis // start of the latest pause, or of the first of several with little time between them
	pausedUntil timer.Millis // end of the latest pause
	until       timer.Millis // no task of a restartable job is started before
	grants      []*marshaler.Grant
}

// notePause notes a pause. Departures of callers may not be noticed in a short time between two pauses, so these count as
// one. Pauses below HeartbeatTimeout are ticks that are late on a busy machine, and do not.
func (r *resumeState) notePause(from, until timer.Millis) {
	if until-from < HeartbeatTimeout {
		return
	}
	if r.pausedUntil == 0 || from-r.pausedUntil >= resumeTime {
		r.pausedSince = from
	}
	r.pausedUntil = until
	if until-r.pausedSince >= longPause {
		r.until = until + resumeTime
	}
}

// holdGrant keeps a grant if the caller of its job may have left during a long pause of this process.
func (s *Submitter) holdGrant(j *job, g *marshaler.Grant) bool {
	if s.now >= s.resume.until || j.Kind.Durable {
		return false
	}
	s.resume.grants = append(s.resume.grants, g)
	return true
}

// releaseGrants uses the grants that were kept after a long pause. Jobs whose callers had left have ended by now.
func (s *Submitter) releaseGrants() {
	if len(s.resume.grants) == 0 || s.now < s.resume.until {
		return
	}
	grants := s.resume.grants
	s.resume.grants = nil
	for _, g := range grants {
		s.onGrant(g)
	}
}
