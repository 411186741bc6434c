package dispatcher

import (
	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	maxClaimAppends   = 4
	maxPendingClaims  = 500_000
	claimRetryDelay   = 250 * timer.Millisecond
	maxKeysPerMessage = 500
	// passKept is how long a forwarded key is remembered beyond its claim, which may still be on its way.
	knownOwnerRetention = 10 * timer.Second
	// claimSettled is how long after an outage of the log every claim made before its end is in the log: an append is
	// given up after 3 s and repeated.
	claimRecoveryTime = 10 * timer.Second
)

// claims are the submission keys that are or will be in the claims stream.
type claimQueue struct {
	loggedKeys keySet
	pending    []string
	inFlight   map[uint64][]string // by append tag
	nextFlush  timer.Millis
}

func (c *Core) queueClaim(key string) {
	if len(c.claims.pending) < maxPendingClaims {
		c.claims.pending = append(c.claims.pending, key)
	}
}

// flushClaims appends the collected keys in batches.
func (c *Core) flushClaims() {
	l := &c.claims
	for len(l.pending) > 0 && c.now >= l.nextFlush && len(l.inFlight) < maxClaimAppends {
		n := min(len(l.pending), elector.MaxClaims)
		keys := l.pending[:n:n]
		if l.pending = l.pending[n:]; len(l.pending) == 0 {
			l.pending = nil
			l.nextFlush = c.now + claimFlushInterval
		}
		if l.inFlight == nil {
			l.inFlight = map[uint64][]string{}
		}
		tag := c.appendRecord(StreamClaims, elector.AppendClaims(nil, elector.Claims{Member: c.self, Keys: keys}))
		l.inFlight[tag] = keys
	}
}

// claimsAppended handles the outcome of an append. Keys whose append may have failed are appended again; a repeated
// claim changes nothing.
func (c *Core) claimsAppended(tag uint64, ok bool) bool {
	keys, found := c.claims.inFlight[tag]
	if !found {
		return false
	}
	delete(c.claims.inFlight, tag)
	if !ok {
		c.claims.pending = append(c.claims.pending, keys...)
		c.claims.nextFlush = c.now + claimRetryDelay
		return true
	}
	for _, key := range keys {
		c.claimRecorded(key)
	}
	return true
}

// claimed opens the start gates of a submission that runs at most once.
func (c *Core) claimRecorded(key string) {
	s := c.submissions[key]
	if s == nil || !s.once || s.claimed {
		return
	}
	s.claimed = true
	notified := map[SessionID]bool{}
	for i := range s.tasks {
		if t := &s.tasks[i]; t.state == taskStarted && t.sidecar.session != 0 && !notified[t.sidecar.session] {
			notified[t.sidecar.session] = true
			c.send(t.sidecar.session, &encoder.Claimed{Job: key})
		}
	}
}

// ClaimsRecord takes the keys of a record of the claims stream.
func (c *Core) ClaimsRecord(now timer.Millis, r elector.Claims) {
	c.now = now
	for _, key := range r.Keys {
		c.claims.loggedKeys.add(c.hashKey(key))
		if r.Member == c.self {
			c.claimRecorded(key)
		}
	}
}

// Appended reports the outcome of an append effect. ok is false when the record is surely not in the log or when that
// is not known; unknown tells these apart.
func (c *Core) AppendDone(now timer.Millis, tag, offset uint64, ok, unknown bool) {
	c.now = now
	if !c.claimsAppended(tag, ok) {
		c.publicationAppended(tag, offset, ok, unknown)
	}
}
