package router

import (
	"hash/fnv"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// relayAfter is how long another process may take to get a configuration from the store before it is passed on. A
	// process that reaches the store has it within 100 ms.
	relayAfter = 600 * timer.Millisecond
	// relayFirst is the same for a process that has no configuration yet and can do nothing without one.
	relayFirst = 150 * timer.Millisecond
	// relaySpread is the time over which several processes pass on to the same one. Most of them then see that it is
	// not needed any more.
	relaySpread = 400 * timer.Millisecond
	// relayAgain is the pause before the same process gets it again.
	relayAgain = timer.Second
)

// Relay decides when a process passes its configuration on to others that have an older one, because they do not reach
// the store. Without a pause each process would send it to all others at each change. The zero value is ready to use.
type Relay struct {
	changed timer.Millis
	up      map[string]timer.Millis
	sent    map[string]timer.Millis
}

// Changed takes a change of this process's configuration.
func (r *Relay) Changed(now timer.Millis) { r.changed, r.sent = now, nil }

// Up takes a new session with another process.
func (r *Relay) Up(now timer.Millis, to string) {
	if r.up == nil {
		r.up = map[string]timer.Millis{}
	}
	r.up[to] = now
	delete(r.sent, to)
}

// Down forgets another process.
func (r *Relay) Down(to string) {
	delete(r.up, to)
	delete(r.sent, to)
}

// Due reports whether the process named self sends its configuration now to one that has another position. none says that
// the other one has no configuration.
func (r *Relay) Due(now timer.Millis, self, to string, none bool) bool {
	wait := relayAfter
	if none {
		wait = relayFirst
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(self + " " + to)) // a hash accepts all bytes
	wait += timer.Millis(h.Sum32() % uint32(relaySpread))
	if now < max(r.changed, r.up[to])+wait {
		return false
	}
	if sent, ok := r.sent[to]; ok && now < sent+relayAgain {
		return false
	}
	if r.sent == nil {
		r.sent = map[string]timer.Millis{}
	}
	r.sent[to] = now
	return true
}
