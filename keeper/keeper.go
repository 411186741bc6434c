// Package keeper is the core of a sidecar on the path of restartable jobs. It decides which starts its backend server
// gets, keeps account of the room, and makes sure that a run ends when its entry is lost. It is pure: it has no clock and
// no I/O, and one goroutine calls it.
package keeper

import (
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// VouchLimit is how long runs go on without a sign of life of the entry that ordered them.
	VouchLimit = 450 * timer.Millisecond
	// LeaseTerm is the length of the lease that each hold asks for. VouchLimit, LeaseTerm on the backend server's slow
	// clock and the time for a stop add up to less than the time after which a caller sends a job again.
	LeaseTerm = 700 * timer.Millisecond
	// BeatPeriod is the time between two Loads to an entry without news.
	BeatPeriod = 150 * timer.Millisecond
	// resumeGrace is how long after a pause runs go on without a sign of life of their entry, whose messages wait to be read
	// or whose session has to be opened again. The lease is not extended for them, so that its end bounds them as ever.
	resumeGracePeriod = 200 * timer.Millisecond
	// lateOrders is the longest time after which an order without an answer is carried out.
	maxStartDelay = 15 * timer.Second
	// outcomeMemory is how long ended runs are kept for an entry whose session broke before it got the outcome.
	outcomeRetention = 2 * timer.Second
	// startMemory is how long starts are kept for an entry that begins to place. Its reservations live as long.
	startRetention = 300 * timer.Millisecond
	// stopRetry is the pause before a stop is sent again while the run has not ended.
	stopRetryInterval = 40 * timer.Millisecond
	// silenceLimit is the time without a listing after which no starts are taken. Single answers may get lost.
	holdTimeout = 400 * timer.Millisecond
	// NormalSpeed is the speed, in thousandths, of a backend server whose runs take as long as estimated.
	NormalSpeed = 1000
)

const (
	stateStarting = iota + 1 // the backend server has not answered the start
	stateRunning
	stateStopping // a stop was sent
)

type (
	// Backend is what the backend server says of itself.
	Backend struct {
		ID       string
		Born     uint64 // start of the backend server, Unix milliseconds
		Sequence uint64 // rises with each announcement in one life
		Service  string
		Labels   []string
		Total    marshaler.Room
		Draining bool
	}

	// Started is the backend server's answer to a start.
	Started struct {
		Run    marshaler.RunKey
		Status StartStatus
		Reason string
	}

	// StartStatus says what became of a start.
	StartStatus uint8

	// Row is a run in the backend server's list of runs.
	Row struct {
		Run     marshaler.RunKey
		Percent int // of its work that is done
	}

	// End is an ended run in the backend server's list of ends.
	End struct {
		Number uint64 // rises by one with each end in one life of the backend server
		Run    marshaler.RunKey
		Status marshaler.Status
	}

	// Listing is the answer to a hold: what runs, and what has ended since the last one.
	Listing struct {
		Number  uint64 // of the hold, as BeginHold returned it
		Born    uint64
		Clock   int64 // the backend server's clock in milliseconds, when it answered
		Running []Row
		Ended   []End
	}

	// Keeper is the state of a sidecar. Set the exported fields before the first call.
	Keeper struct {
		Domain string
		// Partitions is the number of partitions of the kept jobs.
		Partitions uint64
		// Start, Stop, Look and Report only queue what they are given. Look asks for a hold that does not wait.
		Start  func(s marshaler.Start)
		Stop   func(r marshaler.RunKey)
		Look   func()
		Report func(e Event)

		backend      Backend
		announced    bool // the backend server has announced itself
		reconciled   bool // a listing showed that nothing runs that this process did not start
		unresponsive bool // the last hold failed
		withdrawn    bool
		stopping     bool
		offset       uint64

		runs           map[taskKey]*run
		entries        map[string]*entry
		free           marshaler.Room
		lastHold       uint64 // number of the latest hold
		lastEnd        uint64 // number of the latest end that was processed
		backendClock   int64  // the backend server's clock at clockAt
		backendClockAt timer.Millis
		speed          float64
		listedAt       timer.Millis
		unconfirmed    []unconfirmedStart
		recentStarts   []recentStart // latest starts, for entries that begin to place
		durable        durableState
		lastTick       timer.Millis // time of the latest Tick
		graceEnd       timer.Millis // of the latest pause of this process
		renewalDue     bool         // a hold did not extend the lease, because an entry was silent
	}

	// startedJob is a start that this process has handled.
	recentStart struct {
		job string
		at  timer.Millis
	}

	// doubtfulStart is a start without an answer. A later life of the backend server under the same identifier might
	// still carry it out, so it is told not to.
	unconfirmedStart struct {
		key marshaler.RunKey
		at  timer.Millis
	}

	// Event is a decision, for logs and counters.
	Event struct {
		Kind   string
		Run    marshaler.RunKey
		Entry  string
		Detail string
		Value  int64
	}

	taskKey struct {
		job   string
		index uint64
	}

	// run is an attempt that may hold room on the backend server.
	run struct {
		key        marshaler.RunKey
		entry      *entry
		room       marshaler.Room
		durable    bool // of a kept job
		estimate   timer.Millis
		state      int
		startedAt  timer.Millis // of the order, then of the start
		startHold  uint64       // a later hold lists the run if it runs
		stopHold   uint64       // a later hold does not list the run if the stop was effective; 0 while none was answered
		stopSentAt timer.Millis
		status     marshaler.Status // reported instead of StatusStopped after a stop
		reason     string
		listed     bool
		percent    int
		progressAt timer.Millis // time of the latest rise of percent
	}

	// entry is one life of an entry process.
	entry struct {
		name              string
		incarnation       uint64
		link              *marshaler.Link // nil while there is no session
		lastReceived      timer.Millis
		lastSent          timer.Millis
		synced            bool // Held was sent on this session
		durableInUse      bool // it says that kept jobs are in use, or does not know
		heartbeatReceived bool // it sent a Beat on this session
		subscribed        bool
		pendingStarts     []string
		pendingEnds       []marshaler.Settled
		outcomes          []sentOutcome
	}

	sentOutcome struct {
		at      timer.Millis
		outcome marshaler.Outcome
	}
)

const (
	// StartDone means that the run is there.
	StartDone StartStatus = iota + 1
	// StartRefused means that the backend server surely did not start the run and never will by this order.
	StartRefused
	// StartOld means that the backend server knows this or a later attempt.
	StartOld
	// StartUnknown means that there was no answer.
	StartUnknown
)

// SetOffset sets the position of the configuration and whether the sidecar's failure domain is withdrawn.
func (k *Keeper) SetOffset(now timer.Millis, offset uint64, withdrawn bool) {
	changed := k.offset != offset || k.withdrawn != withdrawn
	k.offset, k.withdrawn = offset, withdrawn
	if changed {
		k.sendLoads(now) // an entry passes its configuration on to processes that say that they lag
	}
}

// Leave makes the sidecar refuse all starts. What runs goes on.
func (k *Keeper) Leave(now timer.Millis) {
	k.stopping = true
	k.sendLoads(now)
}

// Running returns the number of runs that may hold room.
func (k *Keeper) Running() int { return len(k.runs) }

// Backend returns what is known of the backend server. Its ID is empty before it has announced itself.
func (k *Keeper) Backend() Backend { return k.backend }

// sound reports whether a description can be passed on to entries. Announcements may come from other writers.
func (b *Backend) valid() bool {
	long := func(text string) bool { return len(text) > marshaler.MaxName }
	return b.ID != "" && !long(b.ID) && !long(b.Service) && !slices.ContainsFunc(b.Labels, long) && b.Total.Holds(marshaler.Room{})
}

// Announce takes an announcement of the backend server. It returns false for one that is unsound or older than what is
// known.
func (k *Keeper) Announce(now timer.Millis, b Backend) bool {
	if !b.valid() {
		k.report(Event{Kind: "announcementRefused", Detail: "a name is missing or too long, or the room is negative"})
		return false
	}
	if k.announced {
		if b.Born < k.backend.Born || b.Born == k.backend.Born && b.ID == k.backend.ID && b.Sequence <= k.backend.Sequence {
			return false
		}
	}
	restarted := !k.announced || b.ID != k.backend.ID || b.Born != k.backend.Born
	changed := restarted || b.Draining != k.backend.Draining || b.Total != k.backend.Total || b.Service != k.backend.Service
	k.backend, k.announced = b, true
	if restarted {
		k.resetBackend(now, b.Born)
		k.Look() // a hold that is under way may still wait for the earlier life
	}
	k.recomputeFree()
	if changed {
		k.report(Event{Kind: "backend", Detail: b.ID, Value: b.Total.CPU})
		for _, e := range marshaler.InOrder(k.entries) {
			k.sendBackend(e)
		}
		k.sendLoads(now)
	}
	return true
}

// Leaves takes the backend server's message that it ends.
func (k *Keeper) Leaves(now timer.Millis, id string) {
	if k.announced && k.backend.ID == id {
		k.backend.Draining = true
		k.report(Event{Kind: "deregistered", Detail: id})
		k.sendLoads(now)
	}
}

// restart forgets everything about an earlier life of the backend server, whose runs have ended with it.
func (k *Keeper) resetBackend(now timer.Millis, born uint64) {
	k.backend.Born = born
	k.lastEnd, k.reconciled, k.backendClock, k.backendClockAt, k.speed = 0, false, 0, 0, NormalSpeed
	k.endListedRuns(now, "backend server restarted")
	k.durable.reset()
	k.unconfirmed = slices.DeleteFunc(k.unconfirmed, func(d unconfirmedStart) bool { return now-d.at > maxStartDelay })
	for _, d := range k.unconfirmed {
		k.Stop(d.key)
	}
}

// Accepting reports whether starts are taken, and why not.
func (k *Keeper) Accepting() (bool, string) {
	switch {
	case !k.announced:
		return false, "backend server not announced"
	case !k.reconciled:
		return false, "backend server not listed"
	case k.unresponsive:
		return false, "backend server does not answer"
	case k.stopping:
		return false, "sidecar is stopping"
	case k.backend.Draining:
		return false, "backend server is draining"
	case k.withdrawn:
		return false, "failure domain is withdrawn"
	case k.durable.leaseExpiring:
		return false, "lease is left to lapse"
	}
	return true, ""
}

// Tick sends heartbeats, repeats stops, and ends the runs of lost entries. It is called several times in each BeatPeriod.
func (k *Keeper) Tick(now timer.Millis) {
	for _, r := range k.sortedRuns() {
		if r.state == stateStopping && now-r.stopSentAt >= stopRetryInterval {
			k.sendStop(now, r)
		}
	}
	for len(k.recentStarts) > 0 && now-k.recentStarts[0].at > startRetention {
		k.recentStarts = k.recentStarts[1:]
	}
	for len(k.unconfirmed) > 0 && now-k.unconfirmed[0].at > maxStartDelay {
		k.unconfirmed = k.unconfirmed[1:]
	}
	k.tickDurable(now)
	k.detectPause(now)
	for name, e := range marshaler.InOrder(k.entries) {
		if now-e.lastReceived >= k.entryTimeout(e) {
			if now >= k.graceEnd {
				k.removeEntry(now, name, e)
			}
			continue
		}
		e.outcomes = slices.DeleteFunc(e.outcomes, func(o sentOutcome) bool { return now-o.at > outcomeRetention })
		if e.link != nil && now-e.lastSent >= k.heartbeatInterval(e) {
			k.sendLoad(now, e)
		}
	}
}

// noticePause grants all entries a grace time when this process stood still, because its silence is not theirs.
func (k *Keeper) detectPause(now timer.Millis) {
	if pause := now - k.lastTick; k.lastTick != 0 && pause >= marshaler.PauseLimit {
		k.graceEnd = now + resumeGracePeriod
		k.report(Event{Kind: "paused", Value: int64(pause)})
	}
	k.lastTick = now
}

// active reports whether an entry has runs here, places on this sidecar, or says that kept jobs may be in use, or owns some. Other
// sessions are only kept open. The entry comes to the same conclusion.
func (k *Keeper) active(e *entry) bool {
	if e.subscribed || e.durableInUse {
		return true
	}
	for _, c := range k.durable.claims {
		if c.entry == e.name {
			return true
		}
	}
	for _, r := range k.runs {
		if r.entry == e && r.state != stateStopping {
			return true
		}
	}
	return false
}

func (k *Keeper) entryTimeout(e *entry) timer.Millis {
	if k.active(e) {
		return VouchLimit
	}
	return marshaler.IdleSilenceLimit
}

func (k *Keeper) heartbeatInterval(e *entry) timer.Millis {
	if !e.synced || k.active(e) { // the outcomes of its runs may still wait for the greeting
		return BeatPeriod
	}
	return marshaler.IdleBeatPeriod
}

// vouched reports whether each entry that has a run here gave a sign of life within VouchLimit.
func (k *Keeper) entriesAlive(now timer.Millis) bool {
	for _, r := range k.runs {
		if r.state != stateStopping && now-r.entry.lastReceived >= VouchLimit {
			return false
		}
	}
	return true
}

func (k *Keeper) removeEntry(now timer.Millis, name string, e *entry) {
	delete(k.entries, name)
	k.onOwnerLost(e)
	stopped := 0
	for _, r := range k.sortedRuns() {
		if r.entry == e {
			k.stopRun(now, r, marshaler.StatusStopped, "entry is lost")
			stopped++
		}
	}
	if e.link != nil {
		e.link.Close(errEntryTimeout)
		e.link = nil
	}
	k.report(Event{Kind: "entryLost", Entry: name, Value: int64(stopped)})
}

func (k *Keeper) report(e Event) {
	if k.Report != nil {
		k.Report(e)
	}
}
