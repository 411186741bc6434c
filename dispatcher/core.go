// Package dispatcher implements the entry, which owns submissions, queues and places their tasks, and answers callers. Core
// contains the decision logic without I/O; Entry connects it to sessions, the log and the clock.
package dispatcher

import (
	"hash/maphash"

	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/scheduler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// EffectSend sends Message on Session. If the message is certain not to have been sent, the process calls
	// Core.MessageNotSent.
	EffectSend EffectKind = iota + 1
	// EffectAnswer answers the caller's Request with Answer.
	EffectAnswer
	// EffectAppend appends Body to Stream of the log. The process reports the outcome with Core.AppendDone and Tag.
	EffectAppend
	// EffectDial maintains a connection to the entry at Address, and reconnects until EffectDisconnect.
	EffectDial
	// EffectDisconnect stops maintaining the connection to the entry at Address.
	EffectDisconnect
	// EffectCloseSession closes Session. The dialing side then opens a new one.
	EffectCloseSession
	// EffectNewIncarnation reports Member as the new incarnation of the entry.
	EffectNewIncarnation
	// EffectSendConfiguration sends the configuration as a PeerConfiguration on Session.
	EffectSendConfiguration
)

const (
	// StreamConfiguration is the log stream of configuration changes.
	StreamConfiguration = "configuration"
	// StreamRoster is the log stream of membership changes of the entries.
	StreamRoster = "roster"
	// StreamClaims is the log stream of submission keys in use.
	StreamClaims = "claims"
)

type (
	// EffectKind is the type of an Effect.
	EffectKind uint8

	// SessionID identifies a session within the process. 0 means no session.
	SessionID uint64

	// Effect is an action that the process carries out for the core. Which fields are set depends on Kind.
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

	// Core is the control state of an entry. It has no clock and no I/O and is not safe for concurrent use. Its methods
	// collect effects, which TakeEffects returns. Create it with New.
	Core struct {
		settings Settings
		self     encoder.Member
		effects  []Effect
		resends  []Effect // answers to peers that could not be sent and are sent again at the next tick
		now      timer.Millis
		seed     maphash.Seed
		queue    scheduler.Scheduler

		roster               encoder.Roster
		foldedRoster         encoder.Roster // folded from the stream; ahead of roster until its first confirmation
		joined               bool
		draining             bool
		leftVoluntarily      bool // this entry left the roster by its own leave record, not by a removal
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
		lastOutage           timer.Millis // last time at which this entry could not reach the log
		lastForwardTick      timer.Millis
		lastCleanup          timer.Millis
		totalReportedDemand  int
		counters             Counters
		receivedCounts       MessageCounts
	}

	// Counters are the event counts since process start.
	Counters struct {
		Submitted, Complete, Failed, Started, Refused, Requeued, Ignored, Forwarded, Takeovers uint64
	}

	// MessageCounts counts messages by type.
	MessageCounts [encoder.TypeCount]uint64

	// session is an open session to either a sidecar or a peer.
	session struct {
		id      SessionID
		sidecar *sidecar
		peer    *peer
	}
)

// New returns a core that has not joined a roster yet. Zero fields of s are set to their defaults.
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

// TakeEffects returns and clears the effects collected since the last call. The slice is valid until the next call of any
// method of the core.
func (c *Core) TakeEffects() []Effect {
	out := c.effects
	if c.effects = c.effects[:0]; cap(c.effects) > maxEffectBuffer {
		c.effects = nil // releases the memory of a burst
	}
	return out
}

// Self returns the current incarnation of the entry.
func (c *Core) Self() encoder.Member { return c.self }

// Roster returns the roster that the entry currently acts on.
func (c *Core) Roster() encoder.Roster { return c.roster }

// Counters returns the event counts.
func (c *Core) Counters() Counters { return c.counters }

// HandleMessage handles a message received on a session.
func (c *Core) HandleMessage(now timer.Millis, id SessionID, m encoder.Message) {
	c.now = now
	s := c.sessions[id]
	switch {
	case s == nil:
		c.counters.Ignored++ // the session was closed before the message was handled
	case s.sidecar != nil:
		c.receivedCounts[encoder.TypeOf(m)]++
		c.handleSidecarMessage(s.sidecar, m)
		c.placeTasks()
	default:
		c.handlePeerMessage(s, m)
	}
}

// SessionOpened handles a new session. The Hello of a peer has at least Role, Member and Address set.
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

// SessionClosed handles the end of a session.
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

// MessageNotSent handles a message that is certain not to have left the process.
func (c *Core) MessageNotSent(now timer.Millis, id SessionID, m encoder.Message) {
	c.now = now
	switch m := m.(type) {
	case *encoder.Start:
		c.startNotSent(id, m)
	case *encoder.Forward:
		c.forwardNotSent(m.ID)
	case *encoder.ForwardAnswer:
		// The peer repeats its request only on a new session, so this one has to resend the answer.
		if c.sessions[id] != nil {
			c.resends = append(c.resends, Effect{Kind: EffectSend, Session: id, Message: m})
		}
	}
}

// Tick runs the time-driven work: deadlines, retries, heartbeats and batched sends. It must be called every few
// milliseconds.
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
	if now-c.lastCleanup >= cleanupInterval {
		c.lastCleanup = now
		c.removeExpired()
	}
	c.placeTasks()
	c.sendDemand()
}

// removeExpired drops state whose retention has passed.
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

// isOwner reports whether this incarnation of the entry owns the key under roster r.
func (c *Core) isOwner(r encoder.Roster, key string) bool {
	owner, ok := elector.Owner(r, key)
	return ok && owner.Member == c.self
}
