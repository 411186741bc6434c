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
	// knownOwnerRetention is the minimum time for which the owner of a forwarded key is kept, even if the claim of the key
	// is in the log: the claim may not have reached the other entries yet.
	knownOwnerRetention = 10 * timer.Second
	// claimRecoveryTime is the time after a log outage within which every claim made before its end reaches the log: an
	// append times out after 3 s and is repeated.
	claimRecoveryTime = 10 * timer.Second
)

// claimQueue holds the submission keys that are in the claims stream or have to be appended to it.
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

// flushClaims appends the pending keys to the claims stream in batches.
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

// claimsAppended handles the outcome of an append and returns false if it was not an append of claims. Keys whose append
// may have failed are appended again, which is safe because a repeated claim has no effect.
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

// claimRecorded tells the sidecars that the claim of a submission that may run only once is in the log, which opens their
// start gates.
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

// ClaimsRecord handles a record of the claims stream.
func (c *Core) ClaimsRecord(now timer.Millis, r elector.Claims) {
	c.now = now
	for _, key := range r.Keys {
		c.claims.loggedKeys.add(c.hashKey(key))
		if r.Member == c.self {
			c.claimRecorded(key)
		}
	}
}

// AppendDone handles the outcome of an EffectAppend. If ok is false, unknown tells whether the record may still be in the
// log or is certain not to be.
func (c *Core) AppendDone(now timer.Millis, tag, offset uint64, ok, unknown bool) {
	c.now = now
	if !c.claimsAppended(tag, ok) {
		c.publicationAppended(tag, offset, ok, unknown)
	}
}
