package router

import (
	"hash/fnv"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// relayAfter is how long another process may take to get a configuration from the store before it is passed on. A
	// process that reaches the store has it within 100 ms.
	relayDelay = 600 * timer.Millisecond
	// relayFirst is the same for a process that has no configuration yet and can do nothing without one.
	initialRelayDelay = 150 * timer.Millisecond
	// relaySpread is the time over which several processes pass on to the same one. Most of them then see that it is
	// not needed any more.
	relayJitter = 400 * timer.Millisecond
	// relayAgain is the pause before the same process gets it again.
	relayInterval = timer.Second
)

// Relay decides when a process passes its configuration on to others that have an older one, because they do not reach
// the store. Without a pause each process would send it to all others at each change. The zero value is ready to use.
type Relay struct {
	changedAt       timer.Millis
	sessionOpenedAt map[string]timer.Millis
	sentAt          map[string]timer.Millis
}

// Changed takes a change of this process's configuration.
func (r *Relay) Changed(now timer.Millis) { r.changedAt, r.sentAt = now, nil }

// Up takes a new session with another process.
func (r *Relay) Up(now timer.Millis, peer string) {
	if r.sessionOpenedAt == nil {
		r.sessionOpenedAt = map[string]timer.Millis{}
	}
	r.sessionOpenedAt[peer] = now
	delete(r.sentAt, peer)
}

// Down forgets another process.
func (r *Relay) Down(peer string) {
	delete(r.sessionOpenedAt, peer)
	delete(r.sentAt, peer)
}

// Due reports whether the process named self sends its configuration now to one that has another position. none says that
// the other one has no configuration.
func (r *Relay) Due(now timer.Millis, self, peer string, unconfigured bool) bool {
	delay := relayDelay
	if unconfigured {
		delay = initialRelayDelay
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(self + " " + peer)) // a hash accepts all bytes
	delay += timer.Millis(h.Sum32() % uint32(relayJitter))
	if now < max(r.changedAt, r.sessionOpenedAt[peer])+delay {
		return false
	}
	if sentAt, ok := r.sentAt[peer]; ok && now < sentAt+relayInterval {
		return false
	}
	if r.sentAt == nil {
		r.sentAt = map[string]timer.Millis{}
	}
	r.sentAt[peer] = now
	return true
}
