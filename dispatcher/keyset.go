package dispatcher

import "github.com/crocuslb/crocuslb/timer"

// keySet is a set of hashes of submission keys that forgets each one between one and two retentions after it was added.
// It has two generations, so that forgetting takes no time. The zero value is ready to use.
type keySet struct {
	young, old map[uint64]struct{}
	rotated    timer.Millis
}

func (s *keySet) add(hash uint64) {
	if s.young == nil {
		s.young = map[uint64]struct{}{}
	}
	s.young[hash] = struct{}{}
}

func (s *keySet) has(hash uint64) bool {
	if _, ok := s.young[hash]; ok {
		return true
	}
	_, ok := s.old[hash]
	return ok
}

func (s *keySet) size() int { return len(s.young) + len(s.old) }

func (s *keySet) sweep(now, retention timer.Millis) {
	if now-s.rotated >= retention {
		s.old, s.young, s.rotated = s.young, nil, now
	}
}
