package keeper

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// stallBase and stallShare of the estimate are the time without progress after which a run counts as stalled. A
	// backend server at a sixth of its usual speed still makes a percent of progress in stallShare.
	stallTimeoutBase   = 100 * timer.Millisecond
	stallTimeoutFactor = 0.10
	// speedSpan is the time in which the smoothed speed follows a change.
	speedTimeConstant = 150.0 // ms
	// forgetSpan is the time in which a backend server without runs regains its usual speed, so that it is tried again.
	idleSpeedTimeConstant = 1000.0 // ms
	// minSample is the shortest time between two listings from which a speed is computed.
	minSampleInterval = 20 * timer.Millisecond
	// maxSpeed bounds one observation, because estimates of run times are rough.
	maxSpeedSample = 4 * NormalSpeed
)

// HoldRequest is what the next hold carries.
type HoldRequest struct {
	Number uint64 // to be returned in Listing
	// Processed is the number of the latest end that need not be listed again.
	Processed uint64
	// Until is the end of the lease on the backend server's clock; 0 before that clock is known.
	Until int64
	// Busy says that something runs, so that progress is of interest.
	Busy bool
	// Unrecorded says that ends are listed until an entry has recorded them, so that the hold does not wait for new ones.
	Unrecorded bool
	ID         string // of the backend server that is meant
	Born       uint64
}

// BeginHold returns what the next hold carries. ok is false before the backend server has announced itself.
func (k *Keeper) BeginHold(now timer.Millis) (HoldRequest, bool) {
	if !k.announced {
		return HoldRequest{}, false
	}
	k.lastHold++
	h := HoldRequest{Number: k.lastHold, Processed: k.processed(), Busy: len(k.runs) > 0, Unrecorded: len(k.durable.unrecorded) > 0, ID: k.backend.ID, Born: k.backend.Born}
	if k.renewalDue = !k.entriesAlive(now); k.backendClockAt != 0 && !k.durable.leaseExpiring && !k.renewalDue {
		h.Until = k.Clock(now) + int64(LeaseTerm)
		k.durable.extendLease(h.Until)
	}
	return h, true
}

// Clock estimates the backend server's clock. It returns 0 before the first listing.
func (k *Keeper) Clock(now timer.Millis) int64 {
	if k.backendClockAt == 0 {
		return 0
	}
	return k.backendClock + int64(now-k.backendClockAt)
}

// OnHoldFailed takes the failure of a hold. gone says that the backend server has no listener, so nothing runs on it.
func (k *Keeper) OnHoldFailed(now timer.Millis, gone bool, reason string) {
	if gone {
		k.endListedRuns(now, "backend server is gone")
	}
	if !k.unresponsive && (gone || now-k.listedAt > holdTimeout) {
		k.unresponsive = true
		k.report(Event{Kind: "backendSilent", Detail: reason})
		k.sendLoads(now)
	}
}

// OnListing takes the answer to a hold.
func (k *Keeper) OnListing(now timer.Millis, l Listing) {
	if !k.announced || l.Born < k.backend.Born {
		return
	}
	if l.Born > k.backend.Born {
		k.report(Event{Kind: "backendRestarted", Detail: k.backend.ID})
		k.resetBackend(now, l.Born)
	}
	if at := l.Clock; k.backendClockAt == 0 || at >= k.backendClock {
		k.backendClock, k.backendClockAt = at, now
	}
	was, _ := k.Accepting()
	wasClean := k.reconciled
	k.unresponsive = false
	k.checkLeaseExpiry(l.Clock)
	ended := k.onEnds(now, l.Ended)
	k.onRunning(now, l)
	ended = k.onUnlisted(now, l) || ended
	if k.reconciled && !wasClean {
		k.syncSessions()
	}
	is, reason := k.Accepting()
	switch {
	case was != is:
		k.report(Event{Kind: "accepting", Detail: reason, Value: k.free.CPU})
		k.sendLoads(now)
	case ended:
		k.sendLoadsToSubscribers(now)
	}
	k.listedAt = now
}

func (k *Keeper) onEnds(now timer.Millis, ends []End) (ended bool) {
	for _, e := range ends {
		if e.Number <= k.lastEnd {
			continue
		}
		k.lastEnd = e.Number
		r := k.findRun(e.Run)
		if r == nil {
			k.onUnknownEnd(e)
			continue
		}
		status, reason := e.Status, r.reason
		if status == marshaler.StatusStopped && r.state == stateStopping {
			status = r.status
			if status == marshaler.StatusRefused { // it did run for a moment
				status = marshaler.StatusStopped
			}
		}
		k.finishRun(now, r, status, reason, e.Number)
		ended = true
	}
	return ended
}

// onRunning stops what this process did not start, and follows the progress of its runs.
func (k *Keeper) onRunning(now timer.Millis, l Listing) {
	strangers := 0
	var done float64
	samples := 0
	for _, row := range l.Running {
		r := k.findRun(row.Run)
		if r == nil {
			strangers++
			k.Stop(row.Run)
			continue
		}
		if gained := row.Percent - r.percent; r.listed && r.state == stateRunning && gained >= 0 {
			done += float64(gained) / 100 * float64(r.estimate)
			samples++
		}
		if row.Percent > r.percent || !r.listed {
			r.percent, r.progressAt = row.Percent, now
		}
		r.listed = true
		k.checkStalled(now, r)
	}
	if strangers == 0 {
		k.reconciled = true
	} else {
		k.report(Event{Kind: "strangers", Value: int64(strangers)})
	}
	span := now - k.listedAt
	if len(k.runs) == 0 {
		k.speed += (NormalSpeed - k.speed) * min(1, float64(span)/idleSpeedTimeConstant)
	}
	if samples > 0 && span >= minSampleInterval {
		speed := min(done/float64(samples)/float64(span)*NormalSpeed, maxSpeedSample)
		k.speed += (speed - k.speed) * min(1, float64(span)/speedTimeConstant)
	}
}

// checkStalled stops a run without progress, so that its entry can start the task elsewhere.
func (k *Keeper) checkStalled(now timer.Millis, r *run) {
	limit := stallTimeoutBase + timer.Millis(stallTimeoutFactor*float64(r.estimate))
	if r.state == stateRunning && r.percent < 100 && now-r.progressAt > limit {
		k.stopRun(now, r, marshaler.StatusStalled, "no progress")
	}
}

// onMissing ends the runs that a listing should show and does not.
func (k *Keeper) onUnlisted(now timer.Millis, l Listing) (ended bool) {
	here := make(map[marshaler.RunKey]bool, len(l.Running))
	for _, row := range l.Running {
		here[row.Run] = true
	}
	for _, r := range k.sortedRuns() {
		if here[r.key] {
			continue
		}
		switch {
		case r.state == stateStopping && r.stopHold != 0 && l.Number > r.stopHold:
			k.endRun(now, r, r.status, r.reason)
			ended = true
		case r.state == stateRunning && l.Number > r.startHold && len(l.Ended) == 0:
			// A list of ends may be cut off, so only an empty one shows that the end is not on its way.
			k.endRun(now, r, marshaler.StatusLost, "not listed")
			ended = true
		}
	}
	return ended
}
