// Package dispatcher is the entry: it owns submissions, queues and places their tasks and answers callers. The Core
// decides; the Entry is the process around it.
package dispatcher

import (
	"hash/maphash"

	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/scheduler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// EffectSend sends Message on Session. When the message is surely lost, Core.Unsent is to be called.
	EffectSend EffectKind = iota + 1
	// EffectAnswer answers the caller's Request with Answer.
	EffectAnswer
	// EffectAppend appends Body to Stream of the log and reports the outcome with Core.Appended and Tag.
	EffectAppend
	// EffectDial asks for a lasting connection to the entry at Address.
	EffectDial
	// EffectHangUp ends the lasting connection to the entry at Address.
	EffectDisconnect
	// EffectClose closes Session, so that the dialing side replaces it.
	EffectCloseSession
	// EffectIncarnation says that the entry has a new incarnation, Member.
	EffectNewIncarnation
	// EffectConfiguration sends the configuration as a PeerConfiguration on Session.
	EffectSendConfiguration
)

const (
	// StreamConfiguration is the stream of operators' changes.
	StreamConfiguration = "configuration"
	// StreamRoster is the stream of the entries' membership.
	StreamRoster = "roster"
	// StreamClaims is the stream of submission keys.
	StreamClaims = "claims"
)

type (
	// EffectKind says what the process is to do.
	EffectKind uint8

	// SessionID names a session within the process. 0 is no session.
	SessionID uint64

	// Effect is one thing that the process does for the core.
	Effect struct {
		Kind    EffectKind
		Session SessionID
		Message encoder.Message
		Request uint64
		Answer  encoder.Answer
		Stream  string
		Tag     uint64
		Body    []byte
		Address string
		Member  encoder.Member
	}

	// Core holds the control state of an entry. One goroutine calls it; it has no clock and no I/O. Its methods
	// collect effects, which Take returns. Make it with New.
	Core struct {
		settings Settings
		self     encoder.Member
		effects  []Effect
		resends  []Effect // answers to peers that are sent again with the next tick
		now      timer.Millis
		seed     maphash.Seed
		queue    scheduler.Scheduler

		roster               encoder.Roster
		foldedRoster         encoder.Roster // fold of the roster stream; ahead of roster before the first confirmation
		joined               bool
		draining             bool
		leftVoluntarily      bool // this entry's own leave, and no removal, took it out of the roster
		lastMembershipAppend timer.Millis
		removalAttempts      map[encoder.Member]timer.Millis
		lastTag              uint64
		domainState          domainState
		confirmations        map[string]timer.Millis
		peers                map[string]*peer
		sessions             map[SessionID]*session
		sidecars             map[string]*sidecar
		lostSidecars         map[encoder.Member]timer.Millis
		submissions          map[string]*submission
		byDeadline           deadlineHeap
		delayedTasks         []delayedTask
		answerCache          answerCache
		collected            collectedQueue
		forwards             map[uint64]*forward
		knownOwners          map[string]knownOwner
		lastForwardID        uint64
		claims               claimQueue
		takeover             takeover
		publications         publicationTracker
		lastPeerPing         timer.Millis
		lastTick             timer.Millis
		lastOutage           timer.Millis // when the log was last unreachable from here
		lastForwardTick      timer.Millis
		lastSweep            timer.Millis
		totalReportedDemand  int
		counters             Counters
		receivedCounts       MessageCounts
	}

	// Counters count events since the start of the process.
	Counters struct {
		Submitted, Complete, Failed, Started, Refused, Requeued, Ignored, Forwarded, Takeovers uint64
	}

	// MessageCounts counts messages by their type.
	MessageCounts [encoder.MessageTypes]uint64

	// session is an open session to a sidecar or to a peer.
	session struct {
		id      SessionID
		sidecar *sidecar
		peer    *peer
	}
)

// New returns a core that is in no roster yet. Zero fields of s take their default values.
func New(s Settings) *Core {
	s = s.withDefaults()
	c := &Core{
		settings: s, self: s.Member, seed: maphash.MakeSeed(),
		removalAttempts: map[encoder.Member]timer.Millis{}, confirmations: map[string]timer.Millis{}, peers: map[string]*peer{},
		sessions: map[SessionID]*session{}, sidecars: map[string]*sidecar{}, lostSidecars: map[encoder.Member]timer.Millis{},
		submissions: map[string]*submission{}, forwards: map[uint64]*forward{}, knownOwners: map[string]knownOwner{},
	}
	c.takeover.state = takeoverChart.Start()
	return c
}

// Take returns the effects since the last call. The slice is valid until the next call of a method of the core.
func (c *Core) TakeEffects() []Effect {
	out := c.effects
	if c.effects = c.effects[:0]; cap(c.effects) > maxEffectBuffer {
		c.effects = nil // a burst is not kept in memory
	}
	return out
}

// Self returns the incarnation that the entry has now.
func (c *Core) Self() encoder.Member { return c.self }

// Roster returns the roster that the entry works under.
func (c *Core) Roster() encoder.Roster { return c.roster }

// Counters returns the event counts.
func (c *Core) Counters() Counters { return c.counters }

// Message handles a message from a session.
func (c *Core) HandleMessage(now timer.Millis, id SessionID, m encoder.Message) {
	c.now = now
	s := c.sessions[id]
	switch {
	case s == nil:
		c.counters.Ignored++ // the session ended before the message was handled
	case s.sidecar != nil:
		c.receivedCounts[encoder.TypeOf(m)]++
		c.handleSidecarMessage(s.sidecar, m)
		c.placeTasks()
	default:
		c.handlePeerMessage(s, m)
	}
}

// Up handles a new session. For a peer the hello has at least role, member and address.
func (c *Core) SessionOpened(now timer.Millis, id SessionID, h encoder.Hello) {
	c.now = now
	switch h.Role {
	case encoder.RoleSidecar:
		c.sidecarConnected(id, h)
		c.placeTasks()
	case encoder.RoleEntry:
		c.peerConnected(id, h)
	}
}

// Down handles the end of a session.
func (c *Core) SessionClosed(now timer.Millis, id SessionID) {
	c.now = now
	s := c.sessions[id]
	if s == nil {
		return
	}
	delete(c.sessions, id)
	if s.sidecar != nil {
		c.sidecarDisconnected(s)
	} else {
		c.peerDisconnected(s)
	}
}

// Unsent handles a message that surely did not leave the process.
func (c *Core) MessageNotSent(now timer.Millis, id SessionID, m encoder.Message) {
	c.now = now
	switch m := m.(type) {
	case *encoder.Start:
		c.startNotSent(id, m)
	case *encoder.Forward:
		c.forwardNotSent(m.ID)
	case *encoder.ForwardAnswer:
		// The peer asks again only on a new session, so the answer is sent again on this one.
		if c.sessions[id] != nil {
			c.resends = append(c.resends, Effect{Kind: EffectSend, Session: id, Message: m})
		}
	}
}

// Tick does what time alone brings about. It is to be called every few milliseconds.
func (c *Core) Tick(now timer.Millis) {
	c.now = now
	if !c.logReachable() {
		c.lastOutage = now
	}
	c.effects = append(c.effects, c.resends...)
	c.resends = nil
	c.expireDeadlines()
	c.requeueDelayed()
	c.flushClaims()
	c.flushCollected()
	if now-c.lastForwardTick >= forwardRetryInterval/2 {
		c.lastForwardTick = now
		c.tickForwards()
	}
	c.tickPeers()
	c.tickRoster()
	c.tickTakeover()
	c.tickPublications()
	if now-c.lastSweep >= cleanupInterval {
		c.lastSweep = now
		c.removeExpired()
	}
	c.placeTasks()
	c.sendDemand()
}

// sweep drops what has outlived its use.
func (c *Core) removeExpired() {
	c.removeLostSidecars()
	c.removeExpiredAnswers()
	c.removeExpiredOwners()
	c.claims.loggedKeys.rotateIfDue(c.now, c.settings.KeyRetention)
}

func (c *Core) send(id SessionID, m encoder.Message) {
	c.effects = append(c.effects, Effect{Kind: EffectSend, Session: id, Message: m})
}

func (c *Core) appendRecord(stream string, body []byte) uint64 {
	c.lastTag++
	c.effects = append(c.effects, Effect{Kind: EffectAppend, Stream: stream, Tag: c.lastTag, Body: body})
	return c.lastTag
}

// owns reports whether this incarnation owns the key under r.
func (c *Core) isOwner(r encoder.Roster, key string) bool {
	owner, ok := elector.Owner(r, key)
	return ok && owner.Member == c.self
}
