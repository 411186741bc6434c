package starter

import (
	"slices"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// handleStart handles a Start message. It spends a credit of e unless the task key is known, because entries repeat
// starts on a new session without spending credits.
func (c *Core) handleStart(now timer.Millis, e *entry, m *encoder.Start) {
	// Known keys are checked first, regardless of the epoch: the entry could take any other refusal to mean that the
	// task did not run.
	if r := c.started.find(m.Task); r != nil {
		if r.status == encoder.StatusRunning {
			c.running[m.Task].session = e.session
			c.sendRefusal(e, m.Task, encoder.RefusalDuplicate)
			return
		}
		c.sendResult(e, m.Task, r, c.grantCredits(e))
		return
	}
	if slices.ContainsFunc(c.waiting, func(a *attempt) bool { return a.start.Task == m.Task }) {
		c.sendRefusal(e, m.Task, encoder.RefusalDuplicate)
		return
	}
	spent := e.credits > 0
	if spent {
		e.credits--
		e.recalled -= min(1, e.recalled)
	}
	e.idle = false
	a := &attempt{start: *m, sender: e, session: e.session, claimed: m.Claimed, claimDeadline: now + c.ClaimTimeout, state: attemptChart.Start()}
	if m.Deadline != 0 {
		a.deadline = now + m.Deadline
	}
	reason := c.checkGate(now, a)
	if reason == 0 && !spent && c.committedCredits() >= c.Slots+c.ExtraCredits {
		reason = encoder.RefusalNoSlot
	}
	if reason != 0 {
		a.state = nextState(attemptChart, a.state, eventRefuse)
		c.sendRefusal(e, m.Task, reason)
		return
	}
	if c.canRun(now, a) {
		c.startRun(a)
		return
	}
	a.state = nextState(attemptChart, a.state, eventWait)
	c.waiting = append(c.waiting, a)
}

// checkGate returns the refusal reason for the first failed condition of the start gate, or 0. A task that has to wait
// for a slot or for its claim, up to ClaimTimeout, is not refused; see canRun.
func (c *Core) checkGate(now timer.Millis, a *attempt) encoder.RefusalReason {
	m := &a.start
	owner, ok := c.ownerOf(m.Task.Job)
	switch {
	case m.Epoch != c.roster.Epoch:
		// A newer epoch is refused as well, because the owner cannot be verified without its roster.
		return encoder.RefusalStaleEpoch
	case !ok || owner != m.Owner || owner != a.sender.member:
		return encoder.RefusalNotOwner
	case c.canceled.has(m.Task):
		return encoder.RefusalCanceled
	case !c.announced:
		return encoder.RefusalNotAnnounced
	case c.domainState == domainWithdrawn:
		return encoder.RefusalDomainWithdrawn
	case c.leaseState != leaseHeld || now >= c.leaseEnd:
		return encoder.RefusalLeaseExpired
	case c.leaving:
		return encoder.RefusalLeaving
	case a.deadline != 0 && now >= a.deadline:
		return encoder.RefusalDeadline
	case !c.claimSatisfied(now, a) && now >= a.claimDeadline:
		return encoder.RefusalClaimTimeout
	}
	return 0
}

// canRun reports whether a task that passed checkGate can start now or has to wait for a slot or its claim.
func (c *Core) canRun(now timer.Millis, a *attempt) bool {
	return len(c.running) < int(c.Slots) && c.claimSatisfied(now, a)
}

// claimSatisfied reports whether the claim of a is in the log, is not required, or cannot be written because of a log
// outage. Only an outage attested by the sender, which is the owner, counts: another entry may be disconnected from the
// log while the owner can reach it.
func (c *Core) claimSatisfied(now timer.Millis, a *attempt) bool {
	return !a.start.Once || a.claimed || now < a.sender.outageUntil
}

// recheckWaiting checks the waiting tasks in order of arrival, and starts those that can run and refuses those that
// fail the start gate.
func (c *Core) recheckWaiting(now timer.Millis) {
	if len(c.waiting) == 0 {
		return
	}
	remaining, refused := c.waiting[:0], []*attempt(nil)
	for _, a := range c.waiting {
		switch {
		case c.checkGate(now, a) != 0:
			refused = append(refused, a)
		case c.canRun(now, a):
			c.startRun(a)
		default:
			remaining = append(remaining, a)
		}
	}
	clear(c.waiting[len(remaining):])
	c.waiting = remaining
	for _, a := range refused {
		a.state = nextState(attemptChart, a.state, eventRefuse)
		c.sendRefusal(a.sender, a.start.Task, c.checkGate(now, a))
	}
}

// startRun starts a task. The caller must have checked the start gate.
func (c *Core) startRun(a *attempt) {
	a.state = nextState(attemptChart, a.state, eventOpen)
	c.started.add(a.start.Task)
	c.running[a.start.Task] = a
	run := Run{Task: a.start.Task, Kind: a.start.Kind, Payload: a.start.Payload, Timeout: a.start.RunLimit, NotAfter: c.leaseEnd}
	if a.deadline != 0 {
		run.NotAfter = min(run.NotAfter, a.deadline)
	}
	c.effects = append(c.effects, Effect{Kind: EffectRun, Run: run})
	a.start.Payload = nil // only the effect needs it
}

// RunEnded reports the end of a run that was requested by EffectRun.
func (c *Core) RunEnded(now timer.Millis, task encoder.TaskKey, o Outcome) []Effect {
	c.beginCall(now)
	a, ok := c.running[task]
	if !ok {
		return c.finishCall(now)
	}
	delete(c.running, task)
	var r row // a copy, because recheckWaiting may move the rows of the table
	if o.Status == encoder.StatusNotStarted {
		a.state = nextState(attemptChart, a.state, eventNotStarted)
		c.started.remove(task)
		r = row{status: o.Status, result: &taskResult{reason: o.Reason, runTime: o.RunTime}}
	} else {
		a.state = nextState(attemptChart, a.state, eventEnd)
		r = c.started.end(now, task, a.state, o)
	}
	if o.Status == encoder.StatusDone && c.domainState != domainChart.Start() {
		c.domainState = nextState(domainChart, c.domainState, eventSucceed)
	}
	c.recheckWaiting(now)
	to := c.resultReceiver(a)
	// A repeated start may be in flight on a new session and would run the task, so "not started" must not be sent
	// before it arrives.
	if to != nil && (o.Status != encoder.StatusNotStarted || to.session == a.session) {
		c.sendResult(to, task, &r, c.grantCredits(to))
	}
	return c.finishCall(now)
}

// resultReceiver returns the entry that the result of a is sent to: the owner according to the latest known roster, or
// the sender if the owner has no session. It returns nil if neither has one; the result is then sent when the owner
// connects.
func (c *Core) resultReceiver(a *attempt) *entry {
	if m, ok := c.ownerOf(a.start.Task.Job); ok {
		for _, e := range c.entries {
			if e.member == m && e.session != 0 {
				return e
			}
		}
	}
	if a.sender.session != 0 {
		return a.sender
	}
	return nil
}

// handleClaimed records that the claim of a submission is in the log.
func (c *Core) handleClaimed(job string) {
	for _, a := range c.waiting {
		if a.start.Task.Job == job {
			a.claimed = true
		}
	}
}

// handleCancel cancels running tasks and prevents the others from starting. Canceled keys are retained, because the
// start may arrive later on another session.
func (c *Core) handleCancel(now timer.Millis, e *entry, tasks []encoder.TaskKey) {
	for _, t := range tasks {
		if !c.hasAuthority(e, t) {
			continue
		}
		c.canceled.add(now, t)
		if _, ok := c.running[t]; ok {
			c.effects = append(c.effects, Effect{Kind: EffectCancel, Task: t})
		}
	}
}

// handleCollected marks the results of tasks as collected by their owner.
func (c *Core) handleCollected(e *entry, tasks []encoder.TaskKey) {
	for _, t := range tasks {
		if c.hasAuthority(e, t) {
			c.started.markCollected(t)
		}
	}
}

// sendResult sends the recorded outcome of a task with the credits granted along with it.
func (c *Core) sendResult(e *entry, task encoder.TaskKey, r *row, credits uint32) {
	status, body, reason, runTime := r.resultFields()
	c.send(e, &encoder.Result{Task: task, Status: status, Body: body, Reason: reason, RunTime: runTime, Credits: credits})
}

// sendRefusal refuses a start.
func (c *Core) sendRefusal(e *entry, task encoder.TaskKey, reason encoder.RefusalReason) {
	c.send(e, &encoder.Refusal{Task: task, Reason: reason, Epoch: c.roster.Epoch, Credits: c.grantCredits(e)})
}
