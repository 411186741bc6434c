package router

import (
	"hash/fnv"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// relayDelay is how long another process may take to read a configuration from the store before it is forwarded. A
	// process that can reach the store reads it within 100 ms.
	relayDelay = 600 * timer.Millisecond
	// initialRelayDelay applies instead to a process that has no configuration yet and cannot operate without one.
	initialRelayDelay = 150 * timer.Millisecond
	// relayJitter is the period over which the senders to the same process are spread. Most of them then find that the
	// process has received the configuration already.
	relayJitter = 400 * timer.Millisecond
	// relayInterval is the minimum interval between configurations sent to the same process.
	relayInterval = timer.Second
)

// Relay decides when a process forwards its configuration to processes with an older one, which may be unable to reach
// the store. Without a delay, each process would send every change to all others. The zero value is ready to use.
type Relay struct {
	changedAt       timer.Millis
	sessionOpenedAt map[string]timer.Millis
	sentAt          map[string]timer.Millis
}

// OnConfigurationChanged records that this process's configuration changed.
func (r *Relay) OnConfigurationChanged(now timer.Millis) { r.changedAt, r.sentAt = now, nil }

// OnConnect records that a session with another process was opened.
func (r *Relay) OnConnect(now timer.Millis, peer string) {
	if r.sessionOpenedAt == nil {
		r.sessionOpenedAt = map[string]timer.Millis{}
	}
	r.sessionOpenedAt[peer] = now
	delete(r.sentAt, peer)
}

// OnDisconnect removes a process whose session was closed.
func (r *Relay) OnDisconnect(peer string) {
	delete(r.sessionOpenedAt, peer)
	delete(r.sentAt, peer)
}

// ShouldSend reports whether the process named self should now send its configuration to a peer with an older one, and records
// that it was sent. unconfigured is set if the peer has no configuration yet.
func (r *Relay) ShouldSend(now timer.Millis, self, peer string, unconfigured bool) bool {
	delay := relayDelay
	if unconfigured {
		delay = initialRelayDelay
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(self + " " + peer)) // writing to a hash never returns an error
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
