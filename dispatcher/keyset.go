package dispatcher

import "github.com/crocuslb/crocuslb/timer"

// keySet is a set of hashes of submission keys. A hash expires between one and two retention periods after it was added.
// Two generations make expiry constant-time. The zero value is ready to use.
type keySet struct {
	current, previous map[uint64]struct{}
	rotatedAt         timer.Millis
}

func (s *keySet) add(hash uint64) {
	if s.current == nil {
		s.current = map[uint64]struct{}{}
	}
	s.current[hash] = struct{}{}
}

func (s *keySet) has(hash uint64) bool {
	if _, ok := s.current[hash]; ok {
		return true
	}
	_, ok := s.previous[hash]
	return ok
}

func (s *keySet) size() int { return len(s.current) + len(s.previous) }

func (s *keySet) rotateIfDue(now, retention timer.Millis) {
	if now-s.rotatedAt >= retention {
		s.previous, s.current, s.rotatedAt = s.current, nil, now
	}
}
