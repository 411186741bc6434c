// Package starter is the sidecar: the only process that starts tasks on the backend server beside it. Its core decides
// which starts pass the start gate; its process moves messages and calls the backend server.
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
	// EffectRun runs a task on the backend server. Core.Ended must be called once for each.
	EffectRun
	// EffectCancel stops a running task where possible.
	EffectCancel
	// EffectReset closes a session, so that both ends begin a new one without credits.
	EffectReset
)

const (
	defaultSlots        = 8
	defaultKeyRetention = 10 * timer.Minute
	// defaultMaxKeys keeps 436 starts a second for the whole key retention. The design sizes ask for 100, which take 5 MB
	// of the 32 MB for one node.
	defaultMaxKeys = 1 << 18
	// defaultMaxBodies bounds the results that wait for collection, so that they fit the 32 MB for one node.
	defaultMaxBodies = 8 << 20
	defaultClaimWait = 3 * timer.Second

	pingPeriod = 300 * timer.Millisecond
	// otherPingPeriod is for entries that do not own the cell. With 300 ms for them, too, heartbeats were more messages
	// than the starts and results of the demo.
	otherPingPeriod = timer.Second
	// maxPingPeriod leaves time for a pong within the lease of the one before.
	maxPingPeriod = 1500 * timer.Millisecond
	leaseTime     = 2 * timer.Second
)

type (
	// EffectKind says what the process must do.
	EffectKind uint8

	// Effect is one action that the core asks the process for.
	Effect struct {
		Kind    EffectKind
		Session uint64          // EffectSend and EffectReset
		Message encoder.Message // EffectSend
		Run     Run             // EffectRun
		Task    encoder.TaskKey // EffectCancel
	}

	// Run is a task that passed the start gate.
	Run struct {
		Task    encoder.TaskKey
		Kind    string
		Payload []byte
		Limit   timer.Millis // longest run time, 0 for the process's own limit
		// NotAfter is the end of the freshness lease, or the deadline when that is earlier. The process must check it
		// immediately before it sends the first byte, because it may have been paused since the core decided.
		NotAfter timer.Millis
	}

	// Outcome is the end of a run.
	Outcome struct {
		Status encoder.Status
		Body   []byte
		Reason string
		Ran    timer.Millis
	}

	// Core holds the control state of a sidecar. One goroutine calls it; the time is an argument and must not go back.
	// The effects that a method returns are valid until the next call. Set the fields before the first call; zero
	// fields stand for defaults. It remembers the keys of ended tasks for KeyRetention; beyond MaxKeys it forgets the
	// oldest collected ones earlier.
	Core struct {
		ID    string // of the sidecar; it determines the sidecar's cell
		Slots uint32 // default 8
		// Extra is the number of credits beyond the slots. Their tasks wait at the sidecar for a slot while another sidecar
		// may have one free: with 2 the p99 of response time over the ideal was 1.23, with 0 it is 1.04 (BenchmarkPolicy).
		Extra        uint32
		KeyRetention timer.Millis // default 10 minutes
		MaxKeys      int          // default 262144
		MaxBodies    int          // bytes of kept results; default 8 MiB
		ClaimWait    timer.Millis // longest wait for a claim; default 3 s

		out      []Effect
		sessions map[uint64]*entry
		entries  []*entry // in order of their identifiers
		acked    map[encoder.Member]bool

		roster    encoder.Roster // its epoch is the promised one
		home      encoder.Member // owner of the sidecar's cell; only it gets credits
		announced bool           // each entry of the roster has acknowledged this sidecar

		lease      timer.Millis
		leaseState string
		domain     string
		offset     uint64
		leaving    bool

		started  table
		canceled canceledKeys
		running  map[encoder.TaskKey]*attempt
		waiting  []*attempt // in order of arrival
	}

	// attempt is a start that waits or runs.
	attempt struct {
		start    encoder.Start
		from     *entry
		session  uint64       // the last one on which this attempt was reported as running, or on which it came
		deadline timer.Millis // 0 for none
		claimBy  timer.Millis
		claimed  bool
		state    string
	}

	// entry is an entry process with its session and the credits that it holds.
	entry struct {
		member   encoder.Member
		session  uint64 // 0 while there is none
		credits  uint32 // granted and not spent
		asked    bool   // a Recall has no answer yet
		recalled uint32 // credits that the answer will return, unless starts that are under way spend them
		idle     bool   // it gave credits back of its own accord
		sequence uint64 // of the newest ping
		pings    [16]sentPing
		nextPing timer.Millis

		statement statement
		outage    timer.Millis // until when its attestation of a log outage holds
	}
)

// Connected reports a session with the entry that sent ack. It replaces an earlier session of the same entry.
func (c *Core) Connected(now timer.Millis, session uint64, ack *encoder.HelloAck) []Effect {
	c.begin(now)
	e := c.entry(ack.Member)
	if e.session != 0 {
		c.drop(e)
	}
	e.session = session
	c.sessions[session] = e
	c.acked[ack.Member] = true
	c.adopt(ack.Roster)
	c.announced = c.allAcked()
	if c.leaving {
		c.send(e, &encoder.Leaving{})
	}
	c.ping(now, e)
	c.resend(e)
	return c.finish(now)
}

// Disconnected reports the end of a session. Its credits are void, and tasks that waited on it are dropped without an
// answer: the entry sends them again on its next session, where an answer to the first start could be mistaken for an
// answer to the second.
func (c *Core) Disconnected(now timer.Millis, session uint64) []Effect {
	c.begin(now)
	if e, ok := c.sessions[session]; ok {
		c.drop(e)
		c.prune()
	}
	return c.finish(now)
}

// Receive handles a message of a session. Messages of ended or replaced sessions are dropped.
func (c *Core) Receive(now timer.Millis, session uint64, m encoder.Message) []Effect {
	c.begin(now)
	e, ok := c.sessions[session]
	if !ok {
		return c.finish(now)
	}
	switch m := m.(type) {
	case *encoder.Start:
		c.start(now, e, m)
	case *encoder.Claimed:
		c.claimed(m.Job)
	case *encoder.Cancel:
		c.cancel(now, e, m.Tasks)
	case *encoder.Collected:
		c.collected(e, m.Tasks)
	case *encoder.Pong:
		c.pong(now, e, m)
	case *encoder.Census:
		c.census(now, e, m)
	case *encoder.Demand:
		e.idle = e.idle && m.Queued == 0
	case *encoder.Release:
		c.release(e, m.Credits)
	}
	return c.finish(now)
}

// Tick advances the core to now: it sends pings that are due, refuses waiting tasks whose conditions ceased to hold,
// and forgets old task keys. Call it every few tens of milliseconds.
func (c *Core) Tick(now timer.Millis) []Effect {
	c.begin(now)
	for _, e := range c.entries {
		if now >= e.nextPing {
			e.nextPing = now + c.pingPeriodOf(e)
			c.ping(now, e)
		}
	}
	return c.finish(now)
}

// SetLeaving says whether the sidecar or its backend server is leaving. While it is, nothing starts. Coming back
// resets the sessions, because that is how entries learn that they may use the sidecar again.
func (c *Core) SetLeaving(now timer.Millis, leaving bool) []Effect {
	c.begin(now)
	if leaving == c.leaving {
		return c.finish(now)
	}
	c.leaving = leaving
	for _, e := range c.entries {
		e.void()
		switch {
		case e.session == 0:
		case leaving:
			c.send(e, &encoder.Leaving{})
		default:
			c.out = append(c.out, Effect{Kind: EffectReset, Session: e.session})
		}
	}
	return c.finish(now)
}

// Roster returns the newest known roster. Its epoch is the one that the core has promised.
func (c *Core) Roster() encoder.Roster { return c.roster }

// Running returns the number of tasks that were started and have not ended.
func (c *Core) Running() int { return len(c.running) }

// ForgottenEarly returns the number of task keys that MaxKeys pushed out before their retention was over. A start of such
// a key would run again.
func (c *Core) ForgottenEarly() uint64 { return c.started.early }

// Drained reports whether no task waits or runs and no result waits for collection.
func (c *Core) Drained() bool {
	return len(c.running) == 0 && len(c.waiting) == 0 && c.started.uncollected == 0
}

// begin prepares the core for a call at now.
func (c *Core) begin(now timer.Millis) {
	if c.sessions == nil {
		c.sessions = map[uint64]*entry{}
		c.acked = map[encoder.Member]bool{}
		c.running = map[encoder.TaskKey]*attempt{}
		c.leaseState, c.domain = leaseChart.Start(), domainChart.Start()
		c.Slots = orDefault(c.Slots, defaultSlots)
		c.KeyRetention = orDefault(c.KeyRetention, defaultKeyRetention)
		c.MaxKeys = orDefault(c.MaxKeys, defaultMaxKeys)
		c.MaxBodies = orDefault(c.MaxBodies, defaultMaxBodies)
		c.ClaimWait = orDefault(c.ClaimWait, defaultClaimWait)
	}
	clear(c.out) // drops references to the messages of the previous call
	c.out = c.out[:0]
	if c.leaseState == leaseHeld && now >= c.lease {
		c.leaseState = step(leaseChart, c.leaseState, eventLapse)
	}
	c.started.expire(now-c.KeyRetention, c.MaxKeys, c.MaxBodies)
	c.canceled.expire(now-c.KeyRetention, c.MaxKeys)
}

// finish opens or refuses waiting tasks, deals out credits and returns the effects.
func (c *Core) finish(now timer.Millis) []Effect {
	c.sweep(now)
	c.deal(nil)
	c.recall()
	return c.out
}

// adopt takes a newer roster. It raises the promise, so starts of older epochs are refused from here on.
func (c *Core) adopt(r encoder.Roster) {
	if r.Epoch <= c.roster.Epoch {
		return
	}
	home, _ := elector.Home(r, c.ID)
	c.roster, c.home = r, home.Member
	for _, e := range c.entries {
		if !c.member(e) {
			e.void()
		}
	}
	c.prune()
	c.announced = c.allAcked()
}

// member reports whether e is in the roster with this incarnation.
func (c *Core) member(e *entry) bool {
	found, ok := elector.Find(c.roster, e.member.ID)
	return ok && found.Member == e.member
}

// owner returns the owner of a submission in the known roster.
func (c *Core) owner(job string) (encoder.Member, bool) {
	e, ok := elector.Owner(c.roster, job)
	return e.Member, ok
}

// mayDecide reports whether e may cancel or collect a task: it owns the submission, or it sent the start.
func (c *Core) mayDecide(e *entry, task encoder.TaskKey) bool {
	if owner, ok := c.owner(task.Job); ok && owner == e.member {
		return true
	}
	if a, ok := c.running[task]; ok {
		return a.from == e
	}
	return slices.ContainsFunc(c.waiting, func(a *attempt) bool { return a.start.Task == task && a.from == e })
}

func (c *Core) allAcked() bool {
	for _, r := range c.roster.Entries {
		if !c.acked[r.Member] {
			return false
		}
	}
	return len(c.roster.Entries) > 0
}

// entry returns the state of a member and creates it when needed.
func (c *Core) entry(m encoder.Member) *entry {
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

// drop ends the session of e.
func (c *Core) drop(e *entry) {
	delete(c.sessions, e.session)
	e.void()
	e.session, e.idle = 0, false
	c.waiting = slices.DeleteFunc(c.waiting, func(a *attempt) bool {
		if a.from != e {
			return false
		}
		a.state = step(attemptChart, a.state, eventRefuse)
		return true
	})
}

// prune forgets entries that have no session and are not in the roster.
func (c *Core) prune() {
	c.entries = slices.DeleteFunc(c.entries, func(e *entry) bool { return e.session == 0 && !c.member(e) })
	for m := range c.acked {
		if !slices.ContainsFunc(c.entries, func(e *entry) bool { return e.member == m }) {
			delete(c.acked, m)
		}
	}
}

func (c *Core) send(e *entry, m encoder.Message) {
	if e.session != 0 {
		c.out = append(c.out, Effect{Kind: EffectSend, Session: e.session, Message: m})
	}
}

func orDefault[T int | uint32 | timer.Millis](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}
