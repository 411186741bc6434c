// Package starter implements the sidecar, the only process that starts tasks on the backend server next to it. Core is
// the state machine that decides which starts pass the start gate. Sidecar handles the sessions and the requests to the
// backend server.
package starter

import (
	"slices"
	"strings"

	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// EffectSend sends a message on a session.
	EffectSend EffectKind = iota + 1
	// EffectRun runs a task on the backend server. Core.RunEnded must be called once for each run.
	EffectRun
	// EffectCancel cancels a running task on a best-effort basis.
	EffectCancel
	// EffectReset closes a session. The peers open a new one that starts without credits.
	EffectReset
)

const (
	defaultSlots        = 8
	defaultKeyRetention = 10 * timer.Minute
	// defaultMaxKeys is enough for 436 starts/s over the default key retention. The system is sized for 100 starts/s,
	// which use 5 MB of the memory budget of 32 MB per node.
	defaultMaxKeys = 1 << 18
	// defaultMaxResultBytes keeps the results that wait for collection within the memory budget of 32 MB per node.
	defaultMaxResultBytes = 8 << 20
	defaultClaimTimeout   = 3 * timer.Second

	pingInterval = 300 * timer.Millisecond
	// nonOwnerPingInterval is the minimum interval for entries that do not own the sidecar's cell. At 300 ms for all
	// entries, the demo sent more heartbeats than starts and results.
	nonOwnerPingInterval = timer.Second
	// maxPingInterval is below leaseDuration, so that a pong can arrive before the lease of the previous one expires.
	maxPingInterval = 1500 * timer.Millisecond
	leaseDuration   = 2 * timer.Second
)

type (
	// EffectKind is the type of an effect.
	EffectKind uint8

	// Effect is an action that the caller of the core must carry out.
	Effect struct {
		Kind    EffectKind
		Session uint64          // EffectSend and EffectReset
		Message encoder.Message // EffectSend
		Run     Run             // EffectRun
		Task    encoder.TaskKey // EffectCancel
	}

	// Run describes a task that passed the start gate.
	Run struct {
		Task    encoder.TaskKey
		Kind    string
		Payload []byte
		Timeout timer.Millis // maximum run time; 0 for the default of the sidecar
		// NotAfter is the earlier of the end of the freshness lease and the deadline of the task. The caller must check
		// it immediately before it sends the first byte, because the process may have been paused since the core
		// decided.
		NotAfter timer.Millis
	}

	// Outcome is the result of a run.
	Outcome struct {
		Status  encoder.Status
		Body    []byte
		Reason  string
		RunTime timer.Millis
	}

	// Core is the state machine of a sidecar. It does no I/O. It is not safe for concurrent use, and the time that is
	// passed to its methods must not decrease. The effects that a method returns are valid until the next call. The
	// exported fields must be set before the first call; zero values mean defaults. The core retains the keys of ended
	// tasks for KeyRetention. If there are more than MaxKeys, it evicts the oldest collected ones earlier.
	Core struct {
		ID    string // of the sidecar; determines its cell
		Slots uint32 // number of tasks that run concurrently; default 8
		// ExtraCredits is the number of credits granted in excess of the slots. A task that uses one waits here for a
		// slot even if another sidecar has a free one. In BenchmarkPolicy, the p99 of the ratio of response time to
		// ideal was 1.23 with 2 extra credits and 1.04 with 0.
		ExtraCredits   uint32
		KeyRetention   timer.Millis // default 10 minutes
		MaxKeys        int          // default 262144
		MaxResultBytes int          // size limit of the retained results; default 8 MiB
		ClaimTimeout   timer.Millis // maximum wait for a claim; default 3 s

		effects  []Effect
		sessions map[uint64]*entry
		entries  []*entry // sorted by identifier
		ackedBy  map[encoder.Member]bool

		roster    encoder.Roster // starts with any other epoch are refused
		cellOwner encoder.Member // owner of the sidecar's cell; only it gets credits
		announced bool           // every entry of the roster has acknowledged this sidecar

		leaseEnd     timer.Millis
		leaseState   string
		domainState  string
		configOffset uint64
		leaving      bool

		started  startedTable
		canceled canceledKeys
		running  map[encoder.TaskKey]*attempt
		waiting  []*attempt // in order of arrival
	}

	// attempt is a received start whose task is waiting or running.
	attempt struct {
		start         encoder.Start
		sender        *entry
		session       uint64       // the latest session on which the start was received or reported as running
		deadline      timer.Millis // 0 for none
		claimDeadline timer.Millis
		claimed       bool
		state         string
	}

	// entry is the state of an entry process.
	entry struct {
		member        encoder.Member
		session       uint64 // 0 if not connected
		credits       uint32 // granted and not yet spent
		recallPending bool   // a Recall was sent and has not been answered
		recalled      uint32 // credits that the answer is expected to return, less those spent by starts in flight
		idle          bool   // returned credits that it did not need; gets no more until it has queued tasks
		pingSequence  uint64 // of the latest ping
		pings         [16]sentPing
		nextPing      timer.Millis

		domainReport domainReport
		outageUntil  timer.Millis // end of the log outage that it attested
	}
)

// Connected reports a new session with the entry that sent ack. It replaces any previous session with that entry.
func (c *Core) Connected(now timer.Millis, session uint64, ack *encoder.HelloAck) []Effect {
	c.beginCall(now)
	e := c.findOrAddEntry(ack.Member)
	if e.session != 0 {
		c.endSession(e)
	}
	e.session = session
	c.sessions[session] = e
	c.ackedBy[ack.Member] = true
	c.adoptRoster(ack.Roster)
	c.announced = c.allAcked()
	if c.leaving {
		c.send(e, &encoder.Leaving{})
	}
	c.sendPing(now, e)
	c.resendResults(e)
	return c.finishCall(now)
}

// Disconnected reports the end of a session. The credits of the session become void, and its waiting tasks are dropped
// without an answer: the entry sends them again on its next session, where it could mistake an answer to the first
// start for an answer to the second.
func (c *Core) Disconnected(now timer.Millis, session uint64) []Effect {
	c.beginCall(now)
	if e, ok := c.sessions[session]; ok {
		c.endSession(e)
		c.pruneEntries()
	}
	return c.finishCall(now)
}

// Receive handles a message from a session. Messages from ended or replaced sessions are dropped.
func (c *Core) Receive(now timer.Millis, session uint64, m encoder.Message) []Effect {
	c.beginCall(now)
	e, ok := c.sessions[session]
	if !ok {
		return c.finishCall(now)
	}
	switch m := m.(type) {
	case *encoder.Start:
		c.handleStart(now, e, m)
	case *encoder.Claimed:
		c.handleClaimed(m.Job)
	case *encoder.Cancel:
		c.handleCancel(now, e, m.Tasks)
	case *encoder.Collected:
		c.handleCollected(e, m.Tasks)
	case *encoder.Pong:
		c.handlePong(now, e, m)
	case *encoder.Census:
		c.handleCensus(now, e, m)
	case *encoder.Demand:
		e.idle = e.idle && m.Queued == 0
	case *encoder.Release:
		c.handleRelease(e, m.Credits)
	}
	return c.finishCall(now)
}

// Tick sends the pings that are due, refuses waiting tasks that no longer satisfy the start gate, and evicts old task
// keys. It must be called every few tens of milliseconds.
func (c *Core) Tick(now timer.Millis) []Effect {
	c.beginCall(now)
	for _, e := range c.entries {
		if now >= e.nextPing {
			e.nextPing = now + c.pingIntervalFor(e)
			c.sendPing(now, e)
		}
	}
	return c.finishCall(now)
}

// SetLeaving sets whether the sidecar or its backend server is being taken out of service. No task starts while it is.
// When the state is cleared, the sessions are reset: a new session is what tells an entry that the sidecar is usable.
func (c *Core) SetLeaving(now timer.Millis, leaving bool) []Effect {
	c.beginCall(now)
	if leaving == c.leaving {
		return c.finishCall(now)
	}
	c.leaving = leaving
	for _, e := range c.entries {
		e.voidCredits()
		switch {
		case e.session == 0:
		case leaving:
			c.send(e, &encoder.Leaving{})
		default:
			c.effects = append(c.effects, Effect{Kind: EffectReset, Session: e.session})
		}
	}
	return c.finishCall(now)
}

// Roster returns the latest known roster. The core refuses starts with any other epoch.
func (c *Core) Roster() encoder.Roster { return c.roster }

// Running returns the number of running tasks.
func (c *Core) Running() int { return len(c.running) }

// EvictedEarly returns the number of task keys that were evicted before the end of their retention because of MaxKeys.
// A repeated start with such a key would run the task again.
func (c *Core) EvictedEarly() uint64 { return c.started.evictedEarly }

// Drained reports whether no tasks are waiting or running and all results have been collected.
func (c *Core) Drained() bool {
	return len(c.running) == 0 && len(c.waiting) == 0 && c.started.uncollected == 0
}

// beginCall initializes the core on the first call and expires the lease and old task keys.
func (c *Core) beginCall(now timer.Millis) {
	if c.sessions == nil {
		c.sessions = map[uint64]*entry{}
		c.ackedBy = map[encoder.Member]bool{}
		c.running = map[encoder.TaskKey]*attempt{}
		c.leaseState, c.domainState = leaseChart.Start(), domainChart.Start()
		c.Slots = orDefault(c.Slots, defaultSlots)
		c.KeyRetention = orDefault(c.KeyRetention, defaultKeyRetention)
		c.MaxKeys = orDefault(c.MaxKeys, defaultMaxKeys)
		c.MaxResultBytes = orDefault(c.MaxResultBytes, defaultMaxResultBytes)
		c.ClaimTimeout = orDefault(c.ClaimTimeout, defaultClaimTimeout)
	}
	clear(c.effects) // so that the messages of the previous call can be garbage-collected
	c.effects = c.effects[:0]
	if c.leaseState == leaseHeld && now >= c.leaseEnd {
		c.leaseState = nextState(leaseChart, c.leaseState, eventLapse)
	}
	c.started.evict(now-c.KeyRetention, c.MaxKeys, c.MaxResultBytes)
	c.canceled.evict(now-c.KeyRetention, c.MaxKeys)
}

// finishCall starts or refuses waiting tasks, grants and recalls credits, and returns the effects of the call.
func (c *Core) finishCall(now timer.Millis) []Effect {
	c.recheckWaiting(now)
	c.grantCredits(nil)
	c.recallCredits()
	return c.effects
}

// adoptRoster replaces the roster if r is newer. From then on, starts with an older epoch are refused.
func (c *Core) adoptRoster(r encoder.Roster) {
	if r.Epoch <= c.roster.Epoch {
		return
	}
	owner, _ := elector.SidecarOwner(r, c.ID)
	c.roster, c.cellOwner = r, owner.Member
	for _, e := range c.entries {
		if !c.isRosterMember(e) {
			e.voidCredits()
		}
	}
	c.pruneEntries()
	c.announced = c.allAcked()
}

// isRosterMember reports whether the roster contains e with the same incarnation.
func (c *Core) isRosterMember(e *entry) bool {
	found, ok := elector.FindEntry(c.roster, e.member.ID)
	return ok && found.Member == e.member
}

// ownerOf returns the owner of a submission according to the latest known roster.
func (c *Core) ownerOf(job string) (encoder.Member, bool) {
	e, ok := elector.Owner(c.roster, job)
	return e.Member, ok
}

// hasAuthority reports whether e may cancel or collect a task, because it owns the submission or sent the start.
func (c *Core) hasAuthority(e *entry, task encoder.TaskKey) bool {
	if owner, ok := c.ownerOf(task.Job); ok && owner == e.member {
		return true
	}
	if a, ok := c.running[task]; ok {
		return a.sender == e
	}
	return slices.ContainsFunc(c.waiting, func(a *attempt) bool { return a.start.Task == task && a.sender == e })
}

func (c *Core) allAcked() bool {
	for _, r := range c.roster.Entries {
		if !c.ackedBy[r.Member] {
			return false
		}
	}
	return len(c.roster.Entries) > 0
}

// findOrAddEntry returns the state of an entry, creating it if necessary.
func (c *Core) findOrAddEntry(m encoder.Member) *entry {
	for _, e := range c.entries {
		if e.member == m {
			return e
		}
	}
	e := &entry{member: m}
	c.entries = append(c.entries, e)
	slices.SortFunc(c.entries, func(a, b *entry) int { return strings.Compare(a.member.ID, b.member.ID) })
	return e
}

// endSession ends the session with e and drops the tasks that wait on it.
func (c *Core) endSession(e *entry) {
	delete(c.sessions, e.session)
	e.voidCredits()
	e.session, e.idle = 0, false
	c.waiting = slices.DeleteFunc(c.waiting, func(a *attempt) bool {
		if a.sender != e {
			return false
		}
		a.state = nextState(attemptChart, a.state, eventRefuse)
		return true
	})
}

// pruneEntries removes the entries that have no session and are not in the roster.
func (c *Core) pruneEntries() {
	c.entries = slices.DeleteFunc(c.entries, func(e *entry) bool { return e.session == 0 && !c.isRosterMember(e) })
	for m := range c.ackedBy {
		if !slices.ContainsFunc(c.entries, func(e *entry) bool { return e.member == m }) {
			delete(c.ackedBy, m)
		}
	}
}

func (c *Core) send(e *entry, m encoder.Message) {
	if e.session != 0 {
		c.effects = append(c.effects, Effect{Kind: EffectSend, Session: e.session, Message: m})
	}
}

func orDefault[T int | uint32 | timer.Millis](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}
