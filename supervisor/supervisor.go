// Package supervisor implements the sidecar's state machine for restartable and durable jobs. It admits or refuses starts for
// its backend server, accounts for the server's resources, and ends the runs of entries that are lost. A hold is a
// long-poll request to the backend server: it renews the lease under which runs continue, and its response lists running
// and ended runs. The package has no clock, I/O or locking; a single goroutine calls it.
package supervisor

import (
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// EntryTimeout is the time after which an entry's runs are stopped if it has not shown that it is alive.
	EntryTimeout = 450 * timer.Millisecond
	// LeaseDuration is the duration of the lease that each hold requests. The entry timeout, this duration on a slow backend
	// server clock and the time to stop a run add up to less than the time after which a caller resubmits a job.
	LeaseDuration = 700 * timer.Millisecond
	// HeartbeatInterval is the interval between heartbeats to an entry when nothing has changed.
	HeartbeatInterval = 150 * timer.Millisecond
	// resumeGracePeriod is how long entries are not timed out after this process was paused: their messages may be unread,
	// or their sessions have to be reopened. The lease is not renewed meanwhile, so its expiry still bounds their runs.
	resumeGracePeriod = 200 * timer.Millisecond
	// maxSilence is the time without a sign of life of an entry after which no grace period keeps its runs. On a machine that is
	// short of processors every tick is late, and grace periods follow each other.
	maxSilence = 900 * timer.Millisecond
	// maxStartAge is how long after it was sent a start may be admitted by the backend server: 400 ms on a clock that is 2% slow.
	maxStartAge = 410 * timer.Millisecond
	// maxStartDelay is the longest time after which the backend server may still execute a start that it did not answer.
	maxStartDelay = 15 * timer.Second
	// outcomeRetention is how long outcomes are kept for an entry whose session broke before it received them.
	outcomeRetention = 2 * timer.Second
	// startRetention is how long starts are kept for a new placing entry. It equals the lifetime of its reservations.
	startRetention = 300 * timer.Millisecond
	// stopRetryInterval is the delay before a stop is resent while the run has not ended.
	stopRetryInterval = 40 * timer.Millisecond
	// holdTimeout is the time without a hold response after which starts are refused. Single lost responses are tolerated.
	holdTimeout = 400 * timer.Millisecond
	// NormalSpeed is the relative speed, in thousandths, of a backend server whose runs take as long as estimated.
	NormalSpeed = 1000
)

const (
	stateStarting = iota + 1 // the start is unanswered
	stateRunning
	stateStopping // a stop was sent; the run may still be active
)

type (
	// Backend is the description that the backend server announces.
	Backend struct {
		ID        string
		StartTime uint64 // start time of the backend server in Unix milliseconds
		Sequence  uint64 // increases with each announcement of one incarnation
		Service   string
		Labels    []string
		Capacity  marshaler.Resources
		Draining  bool
	}

	// StartResult is the backend server's response to a start.
	StartResult struct {
		Run    marshaler.RunKey
		Status StartStatus
		Reason string
	}

	// StartStatus is the result of a start.
	StartStatus uint8

	// RunProgress is an active run in a hold response.
	RunProgress struct {
		Run     marshaler.RunKey
		Percent int // completed
	}

	// EndedRun is an ended run in a hold response.
	EndedRun struct {
		Number uint64 // increases by one with each ended run of one backend server incarnation
		Run    marshaler.RunKey
		Status marshaler.Status
	}

	// HoldResponse is the response to a hold: the active runs, and the ended runs that are not acknowledged yet.
	HoldResponse struct {
		Number    uint64 // of the hold, from BeginHold
		StartTime uint64
		Clock     int64 // the backend server's clock in milliseconds at the time of the response
		Running   []RunProgress
		Ended     []EndedRun
	}

	// Supervisor is the state machine of a sidecar. The exported fields must be set before the first call.
	Supervisor struct {
		Domain string
		// Partitions is the number of partitions of the durable jobs.
		Partitions uint64
		// ReserveRun reports whether the process has memory for one more run, and charges it. ReleaseRun is called at its end.
		// Both may be nil.
		ReserveRun func() bool
		ReleaseRun func()
		// Start, Stop, HoldNow and Report must only queue and not block. HoldNow requests a hold that returns immediately.
		Start   func(s marshaler.Start)
		Stop    func(r marshaler.RunKey)
		HoldNow func()
		Report  func(e Event)

		backend      Backend
		announced    bool // the backend server has announced itself; backend is valid
		described    bool // its current incarnation has; before, only its identifier and start time are known to hold
		reconciled   bool // a hold response listed no run that this process does not know
		unresponsive bool // holds have failed for holdTimeout, or the backend server has refused one
		crashed      bool // the backend server has crashed, and has not answered since
		full         bool // there was no memory for a run, and too few have ended since
		runsWhenFull int
		// crashedStartTime is the start time of the incarnation that crashed last.
		withdrawn bool
		stopping  bool
		offset    uint64

		runs           map[taskKey]*run
		entries        map[string]*entry
		free           marshaler.Resources
		lastHold       uint64 // number of the latest hold
		lastEnd        uint64 // number of the latest ended run that was processed
		backendClock   int64  // the backend server's clock at backendClockAt
		backendClockAt timer.Millis
		speed          float64
		listedAt       timer.Millis
		unconfirmed    []unconfirmedStart
		recentStarts   []recentStart // sent to new placing entries
		durable        durableState
		lastTick       timer.Millis
		startsSettle   timer.Millis // from then on, no start of a previous process of this sidecar is admitted; 0 before the first Tick
		settleHold     uint64       // number of the first hold after startsSettle
		settled        bool         // a hold response after startsSettle listed no run that this process does not know
		graceEnd       timer.Millis // no entry times out before, because this process was paused
		lease          leaseState
		unknownRuns    int    // active runs in the latest hold response that this process does not know
		refusedHold    uint64 // holds with a higher number began after the backend server refused one; 0 if it has answered since
		goneRuns       int    // runs that were taken for ended because the present incarnation refused connections
	}

	// recentStart is a start that this process has handled, whether or not it was admitted.
	recentStart struct {
		job string
		at  timer.Millis
	}

	// unconfirmedStart is a start without a response. A later incarnation of the backend server under the same identifier
	// might still execute it, so a stop is sent to that incarnation.
	unconfirmedStart struct {
		key marshaler.RunKey
		at  timer.Millis
	}

	// Event describes a decision, for logs and metrics. The first word of Detail may become a metric label.
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

	// run is an attempt that may use resources of the backend server.
	run struct {
		key        marshaler.RunKey
		entry      *entry
		resources  marshaler.Resources // of the task
		room       marshaler.Resources // that the run uses up; more than resources if it must be alone
		suspicion  marshaler.Suspicion
		crash      crashEvidence
		durable    bool  // whether it belongs to a durable job
		notAfter   int64 // latest time of the start, on the backend server's clock
		estimate   timer.Millis
		queue      string // of the job; empty if not stated
		state      int
		startedAt  timer.Millis // when the start was received; from its confirmation on, when it was confirmed
		startHold  uint64       // holds with a higher number list the run if it is active
		stopHold   uint64       // holds with a higher number omit the run if the stop took effect; 0 while no stop was answered
		stopSentAt timer.Millis
		stopBegan  timer.Millis     // when the first stop was sent
		status     marshaler.Status // reported instead of StatusStopped after a stop
		reason     string
		listed     bool
		percent    int
		progressAt timer.Millis // when percent last increased
		refusals   []deferredRefusal
		aborted    bool // the backend server ended the connection of the start without a response
		orphaned   bool // its entry was lost while it was active, and may start the task again without knowing its end
	}

	// entry is one incarnation of an entry process.
	entry struct {
		name              string
		incarnation       uint64
		link              *marshaler.Link // nil while disconnected
		aliveAt           timer.Millis    // latest time at which the entry is known to have been alive
		activeSince       timer.Millis    // when the idle session became active by a message that shows no time of sending
		lastSent          timer.Millis
		synced            bool // the outcomes and the list of its runs were sent on this session
		durableInUse      bool // the entry reported that durable jobs are in use, or does not know
		heartbeatReceived bool // on this session
		silenceReported   bool // the current silence was reported
		subscribed        bool
		pendingStarts     []string
		pendingEnds       []marshaler.CompletedRun
		outcomes          []sentOutcome
	}

	sentOutcome struct {
		at      timer.Millis
		outcome marshaler.Outcome
	}
)

const (
	// StartConfirmed means that the run was started.
	StartConfirmed StartStatus = iota + 1
	// StartRefused means that the backend server did not start the run and never will on this request.
	StartRefused
	// StartSuperseded means that the backend server already knows this or a later attempt.
	StartSuperseded
	// StartUnknown means that there was no response.
	StartUnknown
	// StartAborted means that the backend server received the request and ended the connection without a response. If it has
	// crashed, the run may have been active.
	StartAborted
)

// SetOffset sets the log offset of the current configuration and whether the sidecar's failure domain is withdrawn.
func (k *Supervisor) SetOffset(now timer.Millis, offset uint64, withdrawn bool) {
	changed := k.offset != offset || k.withdrawn != withdrawn
	k.offset, k.withdrawn = offset, withdrawn
	if changed {
		k.sendLoads(now) // entries forward their configuration to processes that report an older offset
	}
}

// Drain makes the sidecar refuse all starts. Active runs continue.
func (k *Supervisor) Drain(now timer.Millis) {
	k.stopping = true
	k.sendLoads(now)
}

// Running returns the number of runs that may use resources.
func (k *Supervisor) Running() int { return len(k.runs) }

// Backend returns the latest description of the backend server. Its ID is empty before the first announcement.
func (k *Supervisor) Backend() Backend { return k.backend }

// Accepting reports whether starts are admitted, and the reason if not.
func (k *Supervisor) Accepting() (bool, string) {
	switch {
	case !k.announced:
		return false, "backend server not announced"
	case !k.reconciled:
		return false, "backend server not listed"
	case !k.described:
		return false, "restarted backend server not announced"
	case k.unknownRuns > 0:
		return false, "an unknown run is being stopped" // the resources that it uses are not known
	case k.unresponsive, k.crashed:
		return false, "backend server does not answer"
	case k.stopping:
		return false, "sidecar is stopping"
	case k.backend.Draining:
		return false, "backend server is draining"
	case k.withdrawn:
		return false, "failure domain is withdrawn"
	case k.full:
		return false, noMemoryReason
	case k.durable.leaseExpiring:
		return false, "lease is left to lapse"
	}
	return true, ""
}

// Tick sends heartbeats, resends stops, and ends the runs of lost entries. It must be called several times per heartbeat
// interval.
func (k *Supervisor) Tick(now timer.Millis) {
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
	k.checkMemory(now)
	k.checkSettled(now)
	k.checkExpiry(now)
	k.tickDurable(now)
	k.detectPause(now)
	for name, e := range marshaler.SortedByKey(k.entries) {
		if now-max(e.aliveAt, e.activeSince) >= k.entryTimeout(e) {
			if now >= k.graceEnd || now-e.aliveAt >= maxSilence {
				k.removeEntry(now, name, e)
			} else if !e.silenceReported {
				e.silenceReported = true
				k.report(Event{Kind: "entrySilent", Entry: name, Detail: "kept for the grace period after a pause", Value: int64(now - e.aliveAt)})
			}
			continue
		}
		e.silenceReported = false
		e.outcomes = slices.DeleteFunc(e.outcomes, func(o sentOutcome) bool { return now-o.at > outcomeRetention })
		if e.link != nil && now-e.lastSent >= k.heartbeatInterval(e) {
			k.sendLoad(now, e)
		}
	}
}

// detectPause starts a grace period for all entries when this process was paused, because their messages may have arrived
// during the pause.
func (k *Supervisor) detectPause(now timer.Millis) {
	if pause := now - k.lastTick; k.lastTick != 0 && pause >= marshaler.PauseThreshold {
		k.graceEnd = now + resumeGracePeriod
		k.report(Event{Kind: "paused", Value: int64(pause)})
	}
	k.lastTick = now
}

// active reports whether an entry has runs on this sidecar, is the placing entry, reports that durable jobs may be in use,
// or owns a partition of them. Other sessions are idle and use longer heartbeat intervals and timeouts. The entry derives
// the same result.
func (k *Supervisor) active(e *entry) bool {
	if e.subscribed || e.durableInUse {
		return true
	}
	for _, c := range k.durable.claims {
		if c.entry == e.name {
			return true
		}
	}
	for _, r := range k.runs {
		if r.entry == e && r.state != stateStopping || r.isAwaitedBy(e) {
			return true
		}
	}
	return false
}

func (k *Supervisor) entryTimeout(e *entry) timer.Millis {
	if k.active(e) {
		return EntryTimeout
	}
	return marshaler.IdleTimeout
}

func (k *Supervisor) heartbeatInterval(e *entry) timer.Millis {
	if !e.synced || k.active(e) { // outcomes of its runs may be pending until the session is synced
		return HeartbeatInterval
	}
	return marshaler.IdleHeartbeatInterval
}

func (k *Supervisor) removeEntry(now timer.Millis, name string, e *entry) {
	delete(k.entries, name)
	k.onOwnerLost(e)
	stopped := 0
	for _, r := range k.sortedRuns() {
		if r.entry == e {
			r.orphaned = true
			k.stopRun(now, r, marshaler.StatusStopped, "entry is lost")
			stopped++
		}
	}
	if e.link != nil {
		e.link.Close(errEntryTimeout)
		e.link = nil
	}
	k.report(Event{Kind: "entryLost", Entry: name, Detail: "silent for " + (now - e.aliveAt).String(), Value: int64(stopped)})
}

func (k *Supervisor) report(e Event) {
	if k.Report != nil {
		k.Report(e)
	}
}
