package supervisor

import (
	"maps"
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	noMemoryReason = "no memory for one more run"
	// freedRunsDivisor is the divisor of the runs that end before starts are admitted again after the memory was used up. Otherwise
	// each end would bring a crowd of starts of which all but one are refused.
	freedRunsDivisor = 8
)

// onStart admits or refuses a start.
func (k *Supervisor) onStart(now timer.Millis, e *entry, m *marshaler.Start) {
	k.recentStarts = append(k.recentStarts, recentStart{m.Run.Job, now})
	for _, other := range marshaler.SortedByKey(k.entries) {
		if other.subscribed {
			other.pendingStarts = append(other.pendingStarts, m.Run.Job)
		}
	}
	ok, reason := k.Accepting()
	at, notAfter := taskKey{m.Run.Job, m.Run.Index}, k.limitLease(now, m.NotAfter)
	separate, separateReason := k.maySeparate(now, m.Suspicion)
	switch {
	case !ok:
	case !k.mayStart(e, m):
		ok, reason = false, "the entry does not own the job any more"
	case !k.serves(m):
		ok, reason = false, "another service or label than required"
	case k.runs[at] != nil:
		ok, reason = false, "task runs already"
	case !separate:
		ok, reason = false, separateReason
	case k.isFull(m):
		ok, reason = false, "limit of tasks of the step"
	case !k.free.Contains(m.Resources):
		ok, reason = false, "no room"
	case notAfter <= k.Clock(now):
		ok, reason = false, "start is late"
		k.sendLoad(now, e) // the entry may have a wrong estimate of the clock, and refusals postpone the next load report
	case !k.reserveRun(now):
		ok, reason = false, noMemoryReason
	}
	if !ok {
		if other := k.runs[at]; other != nil {
			k.deferRefusal(other, deferredRefusal{e, m.Run, reason})
			return
		}
		k.sendOutcome(now, e, marshaler.Outcome{Run: m.Run, Status: marshaler.StatusRefused, Reason: reason})
		k.report(Event{Kind: "refuse", Run: m.Run, Entry: e.name, Detail: reason, Value: k.free.CPU})
		return
	}
	r := &run{key: m.Run, entry: e, resources: m.Resources, room: k.roomFor(m), suspicion: m.Suspicion, durable: m.Epoch > 0, notAfter: notAfter, estimate: m.Estimate, queue: m.Queue, state: stateStarting, startedAt: now, progressAt: now, startHold: k.lastHold}
	if k.runs == nil {
		k.runs = map[taskKey]*run{}
	}
	k.runs[at] = r
	k.free = k.free.Sub(r.room)
	k.report(Event{Kind: "start", Run: m.Run, Entry: e.name, Value: k.free.CPU})
	k.lease.extend(notAfter)
	start := *m
	start.NotAfter = notAfter
	k.Start(start)
}

// reserveRun charges a run. If there is no memory for it, it tells the entries to send no more starts.
func (k *Supervisor) reserveRun(now timer.Millis) bool {
	if k.ReserveRun == nil || k.ReserveRun() {
		return true
	}
	k.full, k.runsWhenFull = true, len(k.runs)
	k.sendLoads(now)
	return false
}

// checkMemory admits starts again after enough of the runs have ended.
func (k *Supervisor) checkMemory(now timer.Millis) {
	if k.full && len(k.runs) <= k.runsWhenFull-k.runsWhenFull/freedRunsDivisor {
		k.full = false
		k.sendLoads(now)
	}
}

// serves reports whether the backend server belongs to the service and has the label that a start requires. It may have been
// replaced by one of another kind after the capacity was granted; only the sidecar knows which one it has now.
func (k *Supervisor) serves(m *marshaler.Start) bool {
	return (m.Service == "" || m.Service == k.backend.Service) && (m.Label == "" || slices.Contains(k.backend.Labels, m.Label))
}

// isFull reports whether the backend server has as many tasks of a start's step as the step allows. Only the sidecar knows of
// all of them: the entry may have taken the job over and not have their list yet.
func (k *Supervisor) isFull(m *marshaler.Start) bool {
	if m.ServerTaskLimit == 0 {
		return false
	}
	step, _ := m.Run.Task()
	tasks := uint64(0)
	for _, r := range k.runs {
		if other, _ := r.key.Task(); r.key.Job == m.Run.Job && other == step {
			tasks++
		}
	}
	return tasks >= m.ServerTaskLimit
}

// OnStarted handles the backend server's response to a start.
func (k *Supervisor) OnStarted(now timer.Millis, s StartResult) {
	if s.Status == StartConfirmed || s.Status == StartSuperseded {
		k.refusedHold = 0
	}
	r := k.findRun(s.Run)
	if r == nil {
		return
	}
	switch s.Status {
	case StartConfirmed:
		r.startHold = k.lastHold
		if r.state == stateStarting {
			r.state, r.startedAt, r.progressAt = stateRunning, now, now
		}
	case StartRefused:
		r.crash = crashEvidence{} // it was never active
		k.endRun(now, r, marshaler.StatusRefused, s.Reason)
	case StartSuperseded:
		k.endRun(now, r, marshaler.StatusSuperseded, s.Reason)
	default:
		if r.listed {
			r.startHold = k.lastHold
			if r.state == stateStarting {
				r.state = stateRunning
			}
			return
		}
		r.aborted = s.Status == StartAborted
		if r.aborted && k.crashed {
			r.crash.crashed = true // the end of the call is handled after the crash
		}
		// The start may still be executed. Once the backend server has answered a stop, it no longer can be.
		k.unconfirmed = append(k.unconfirmed, unconfirmedStart{s.Run, now})
		k.stopRun(now, r, marshaler.StatusRefused, "no answer to the start: "+s.Reason)
	}
}

// stopRun asks the backend server to end a run. The run keeps its resources until a hold response shows that it has ended.
func (k *Supervisor) stopRun(now timer.Millis, r *run, status marshaler.Status, reason string) {
	if r.state == stateStopping {
		return
	}
	r.state, r.status, r.reason, r.stopBegan = stateStopping, status, reason, now
	k.sendStop(now, r)
	k.report(Event{Kind: "stop", Run: r.key, Entry: r.entry.name, Detail: reason})
}

func (k *Supervisor) sendStop(now timer.Millis, r *run) {
	r.stopSentAt = now
	k.Stop(r.key)
}

// OnStopped handles the backend server's response to a stop. ok is false when there was none.
func (k *Supervisor) OnStopped(key marshaler.RunKey, ok bool) {
	if !ok {
		return
	}
	k.refusedHold = 0
	if r := k.findRun(key); r != nil && r.stopHold == 0 {
		r.stopHold = k.lastHold
		k.HoldNow()
	}
}

// endListedRuns ends the runs that the backend server has listed, because it has restarted. Other starts may reach its next
// incarnation; their runs end only after a stop was answered.
func (k *Supervisor) endListedRuns(now timer.Millis, reason string) {
	for _, r := range k.sortedRuns() {
		switch {
		case r.listed:
			k.endRun(now, r, marshaler.StatusLost, reason)
		case r.state == stateStopping:
			r.stopHold = 0 // the stop was answered by the previous incarnation
		case r.state == stateRunning: // the next incarnation may have answered the start
			k.stopRun(now, r, marshaler.StatusLost, reason)
		}
	}
}

// endGoneRuns ends the runs of a backend server that has refused two holds in succession. One refusal does not show that its
// process has ended: the listener may be closed for a moment, or the connection was reset while it was opened. The call of
// a start that is unanswered ends by itself; a stop follows it, and the next refused hold ends that run.
func (k *Supervisor) endGoneRuns(now timer.Millis) {
	for _, r := range k.sortedRuns() {
		if r.state == stateStarting && !r.listed {
			continue
		}
		k.goneRuns++
		k.endRun(now, r, marshaler.StatusLost, "backend server is gone")
	}
}

func (k *Supervisor) findRun(key marshaler.RunKey) *run {
	if r := k.runs[taskKey{key.Job, key.Index}]; r != nil && r.key.Attempt == key.Attempt {
		return r
	}
	return nil
}

// sortedRuns returns the runs in the order of their keys, so that tests are deterministic.
func (k *Supervisor) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(k.runs), func(a, b *run) int { return a.key.Compare(b.key) })
}

func (k *Supervisor) recomputeFree() {
	k.free = k.backend.Capacity
	for _, r := range k.runs {
		k.free = k.free.Sub(r.room)
	}
}

// endRun removes a run that is known to have ended although its end was not listed, and reports its outcome.
func (k *Supervisor) endRun(now timer.Millis, r *run, status marshaler.Status, reason string) {
	k.finishRun(now, r, status, reason, 0)
}

// finishRun removes a run that is known to have ended and reports its outcome. number is that of its listed end, 0 for none.
func (k *Supervisor) finishRun(now timer.Millis, r *run, status marshaler.Status, reason string, number uint64) {
	status = r.crash.statusOf(status)
	delete(k.runs, taskKey{r.key.Job, r.key.Index})
	if k.ReleaseRun != nil {
		k.ReleaseRun()
	}
	k.free = k.free.Add(r.room)
	ran := now - r.startedAt
	if status == marshaler.StatusRefused || status == marshaler.StatusSuperseded {
		ran = 0
	}
	outcome := marshaler.Outcome{Run: r.key, Status: status, Reason: reason, RunTime: ran, Blame: r.crash.blame}
	if r.durable && number > 0 && mustRecord(status) {
		outcome.Number, outcome.Stale = number, r.orphaned
		k.durable.addEnd(outcome)
	}
	if r.durable && status == marshaler.StatusCrashed {
		k.durable.crashes = append(k.durable.crashes, sentOutcome{now, outcome})
	}
	k.sendOutcome(now, r.entry, outcome)
	k.sendRefusals(now, r)
	settled := marshaler.CompletedRun{Job: r.key.Job, Status: status, RunTime: ran, Estimate: r.estimate, Resources: r.resources, Queue: r.queue, Blame: r.crash.blame}
	for _, e := range marshaler.SortedByKey(k.entries) {
		if e.subscribed {
			e.pendingEnds = append(e.pendingEnds, settled)
		}
	}
	k.report(Event{Kind: "end", Run: r.key, Entry: r.entry.name, Detail: status.String() + " " + reason, Value: int64(ran)})
}
