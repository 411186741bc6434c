package supervisor

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// stallTimeoutBase plus stallTimeoutFactor times the estimated run time is the time without progress after which a run
	// counts as stalled. At a sixth of its usual speed, a backend server completes one percent of a run within
	// stallTimeoutFactor times the estimate.
	stallTimeoutBase   = 100 * timer.Millisecond
	stallTimeoutFactor = 0.10
	// speedTimeConstant is the time constant of the smoothed speed.
	speedTimeConstant = 150.0 // ms
	// idleSpeedTimeConstant is the time constant with which the speed of a backend server without runs returns to normal, so
	// that it is tried again.
	idleSpeedTimeConstant = 1000.0 // ms
	// minSampleInterval is the shortest time between two hold responses from which a speed is computed.
	minSampleInterval = 20 * timer.Millisecond
	// maxOvertakenAge is the largest age, in milliseconds on the backend server's clock, of a list that a newer one can
	// overtake. It exceeds the timeout of a hold. A clock that is further back began anew.
	maxOvertakenAge = 2000
	// maxSpeedSample bounds a single speed sample, because estimates of run times are rough.
	maxSpeedSample = 4 * NormalSpeed
)

// HoldRequest has the parameters of a hold.
type HoldRequest struct {
	Number uint64 // to be copied to the response
	// LastProcessedEnd is the number up to which the backend server may forget ends.
	LastProcessedEnd uint64
	// LeaseUntil is the requested lease expiry on the backend server's clock; 0 to leave the lease as it is.
	LeaseUntil int64
	// HasRuns says that there are active runs, so that progress is of interest.
	HasRuns bool
	// HasUnrecordedEnds says that some ends are not recorded yet. The backend server lists them in each response and therefore does
	// not wait for new ones.
	HasUnrecordedEnds bool
	ID                string // of the intended backend server
	StartTime         uint64
}

// BeginHold returns the parameters of the next hold, and false before the backend server has announced itself.
func (k *Supervisor) BeginHold(now timer.Millis) (HoldRequest, bool) {
	if !k.announced {
		return HoldRequest{}, false
	}
	k.lastHold++
	h := HoldRequest{Number: k.lastHold, LastProcessedEnd: k.processed(), HasRuns: len(k.runs) > 0, HasUnrecordedEnds: len(k.durable.unrecorded) > 0, ID: k.backend.ID, StartTime: k.backend.StartTime}
	if k.settleHold == 0 && k.startsSettle != 0 && now >= k.startsSettle {
		k.settleHold = h.Number
	}
	k.updateLease(now)
	if k.backendClockAt != 0 && !k.durable.leaseExpiring && !k.lease.withheld {
		h.LeaseUntil = k.Clock(now) + int64(LeaseDuration)
		k.lease.extend(h.LeaseUntil)
	}
	return h, true
}

// Clock estimates the backend server's clock. It returns 0 before the first hold response.
func (k *Supervisor) Clock(now timer.Millis) int64 {
	if k.backendClockAt == 0 {
		return 0
	}
	return k.backendClock + int64(now-k.backendClockAt)
}

// OnHoldFailed handles the failure of a hold. refused says that the connection was refused. That does not concern the present
// incarnation of the backend server if it has announced itself since the request.
func (k *Supervisor) OnHoldFailed(now timer.Millis, request HoldRequest, refused bool, reason string) {
	refused = refused && request.ID == k.backend.ID && request.StartTime == k.backend.StartTime
	switch {
	case !refused:
		k.refusedHold = 0
	case k.refusedHold == 0:
		k.refusedHold = k.lastHold
	case request.Number > k.refusedHold:
		k.noteCrash(now)
		k.endGoneRuns(now)
	}
	if !k.unresponsive && (refused || now-k.listedAt > holdTimeout) {
		k.unresponsive = true
		k.report(Event{Kind: "backendSilent", Detail: reason})
		k.sendLoads(now)
	}
}

// OnHoldResponse handles the response to a hold.
func (k *Supervisor) OnHoldResponse(now timer.Millis, l HoldResponse) {
	if !k.announced || l.StartTime < k.backend.StartTime {
		return
	}
	if l.StartTime > k.backend.StartTime {
		k.report(Event{Kind: "backendRestarted", Detail: k.backend.ID})
		k.noteCrash(now)
		k.lease.incarnationSince = now
		k.backend.Sequence, k.described = 0, false // each incarnation counts anew
		k.resetBackend(now, l.StartTime)
	}
	k.refusedHold = 0
	k.reportRefuted()
	if k.isOvertaken(&l) {
		return
	}
	if at := l.Clock; k.backendClockAt == 0 || at >= k.backendClock {
		k.backendClock, k.backendClockAt = at, now
	}
	wasAccepting, _ := k.Accepting()
	k.lease.expiredAt, k.lease.runsEnded = 0, false
	knewAllRuns := k.knowsAllRuns()
	k.unresponsive, k.crashed = false, false
	k.checkLeaseExpiry(l.Clock)
	ended := k.onEnds(now, l.Ended)
	k.onRunning(now, l)
	ended = k.onUnlisted(now, l) || ended
	k.settled = k.settled || k.unknownRuns == 0 && k.settleHold != 0 && l.Number >= k.settleHold
	if k.knowsAllRuns() && !knewAllRuns {
		k.syncSessions()
	}
	accepting, reason := k.Accepting()
	switch {
	case wasAccepting != accepting:
		k.report(Event{Kind: "accepting", Detail: reason, Value: k.free.CPU})
		k.sendLoads(now)
	case ended:
		k.sendLoadsToSubscribers(now)
	}
	k.listedAt = now
}

// isOvertaken reports whether a list is older than one that was handled already. Runs that have ended since would look unknown.
func (k *Supervisor) isOvertaken(l *HoldResponse) bool {
	age := k.backendClock - l.Clock
	return k.backendClockAt != 0 && age > 0 && age <= maxOvertakenAge
}

// reportRefuted reports that the backend server answers under the start time under which its runs were taken for ended. Those
// runs may have been active all the time, while their tasks were started elsewhere.
func (k *Supervisor) reportRefuted() {
	if k.goneRuns == 0 {
		return
	}
	k.report(Event{Kind: "backendAlive", Detail: "answers after its runs were taken for ended", Value: int64(k.goneRuns)})
	k.goneRuns = 0
}

func (k *Supervisor) onEnds(now timer.Millis, ends []EndedRun) (ended bool) {
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
			if status == marshaler.StatusRefused { // the start was executed before the stop
				status = marshaler.StatusStopped
			}
		}
		k.finishRun(now, r, status, reason, e.Number)
		ended = true
	}
	return ended
}

// onRunning stops active runs that this process does not know, and updates the progress of the others and the speed.
func (k *Supervisor) onRunning(now timer.Millis, l HoldResponse) {
	unknown := 0
	var completed float64
	samples := 0
	for _, row := range l.Running {
		r := k.findRun(row.Run)
		if r == nil {
			unknown++
			k.Stop(row.Run)
			continue
		}
		if progress := row.Percent - r.percent; r.listed && r.state == stateRunning && progress >= 0 {
			completed += float64(progress) / 100 * float64(r.estimate)
			samples++
		}
		if row.Percent > r.percent || !r.listed {
			r.percent, r.progressAt = row.Percent, now
		}
		r.listed, r.crash = true, crashEvidence{}
		k.checkStalled(now, r)
	}
	if k.unknownRuns = unknown; unknown == 0 {
		k.reconciled = true
	} else {
		k.report(Event{Kind: "strangers", Value: int64(unknown)})
	}
	span := now - k.listedAt
	if len(k.runs) == 0 {
		k.speed += (NormalSpeed - k.speed) * min(1, float64(span)/idleSpeedTimeConstant)
	}
	if samples > 0 && span >= minSampleInterval {
		speed := min(completed/float64(samples)/float64(span)*NormalSpeed, maxSpeedSample)
		k.speed += (speed - k.speed) * min(1, float64(span)/speedTimeConstant)
	}
}

// checkStalled stops a run without progress, so that its entry can restart the task elsewhere.
func (k *Supervisor) checkStalled(now timer.Millis, r *run) {
	limit := stallTimeoutBase + timer.Millis(stallTimeoutFactor*float64(r.estimate))
	if r.state == stateRunning && r.percent < 100 && now-r.progressAt > limit {
		k.stopRun(now, r, marshaler.StatusStalled, "no progress")
	}
}

// onUnlisted ends the runs that the hold response should list but does not.
func (k *Supervisor) onUnlisted(now timer.Millis, l HoldResponse) (ended bool) {
	listed := make(map[marshaler.RunKey]bool, len(l.Running))
	for _, row := range l.Running {
		listed[row.Run] = true
	}
	for _, r := range k.sortedRuns() {
		if listed[r.key] {
			continue
		}
		switch {
		case r.state == stateStopping && r.stopHold != 0 && l.Number > r.stopHold:
			k.endRun(now, r, r.status, r.reason)
			ended = true
		case r.state == stateStopping && l.Number > r.startHold && r.notAfter < l.Clock && len(l.Ended) == 0:
			// The backend server does not carry out the start any more, even if it has answered no stop.
			k.endRun(now, r, r.status, r.reason)
			ended = true
		case r.state == stateRunning && l.Number > r.startHold && len(l.Ended) == 0:
			// The list of ends may be truncated, so only an empty one proves that the end of this run is not pending.
			k.endRun(now, r, marshaler.StatusLost, "not listed")
			ended = true
		}
	}
	return ended
}
