package starter

import (
	"slices"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// start handles a Start message. It spends a credit of e, unless the key is known: entries repeat starts on a new session
// without spending credits.
func (c *Core) start(now timer.Millis, e *entry, m *encoder.Start) {
	// A known key is answered first, whatever the epoch: any other refusal could pass for "this task did not run".
	if r := c.started.find(m.Task); r != nil {
		if r.status == encoder.StatusRunning {
			c.running[m.Task].session = e.session
			c.refuse(e, m.Task, encoder.RefusalDuplicate)
			return
		}
		c.result(e, m.Task, r, c.deal(e))
		return
	}
	if slices.ContainsFunc(c.waiting, func(a *attempt) bool { return a.start.Task == m.Task }) {
		c.refuse(e, m.Task, encoder.RefusalDuplicate)
		return
	}
	spent := e.credits > 0
	if spent {
		e.credits--
		e.recalled -= min(1, e.recalled)
	}
	e.idle = false
	a := &attempt{start: *m, from: e, session: e.session, claimed: m.Claimed, claimBy: now + c.ClaimWait, state: attemptChart.Start()}
	if m.Deadline != 0 {
		a.deadline = now + m.Deadline
	}
	reason := c.refusal(now, a)
	if reason == 0 && !spent && c.committed() >= c.Slots+c.Extra {
		reason = encoder.RefusalNoSlot
	}
	if reason != 0 {
		a.state = step(attemptChart, a.state, eventRefuse)
		c.refuse(e, m.Task, reason)
		return
	}
	if c.opens(now, a) {
		c.open(a)
		return
	}
	a.state = step(attemptChart, a.state, eventWait)
	c.waiting = append(c.waiting, a)
}

// refusal returns the first condition of the start gate that does not hold at now for good, or 0.
func (c *Core) refusal(now timer.Millis, a *attempt) encoder.RefusalReason {
	m := &a.start
	owner, ok := c.owner(m.Task.Job)
	switch {
	case m.Epoch != c.roster.Epoch:
		// A higher epoch is refused, too: without its roster the owner cannot be checked.
		return encoder.RefusalStaleEpoch
	case !ok || owner != m.Owner || owner != a.from.member:
		return encoder.RefusalNotOwner
	case c.canceled.has(m.Task):
		return encoder.RefusalCanceled
	case !c.announced:
		return encoder.RefusalNotAnnounced
	case c.domain == domainWithdrawn:
		return encoder.RefusalDomainWithdrawn
	case c.leaseState != leaseHeld || now >= c.lease:
		return encoder.RefusalLeaseExpired
	case c.leaving:
		return encoder.RefusalLeaving
	case a.deadline != 0 && now >= a.deadline:
		return encoder.RefusalDeadline
	case !c.claimHolds(now, a) && now >= a.claimBy:
		return encoder.RefusalClaimTimeout
	}
	return 0
}

// opens reports whether a task that nothing refuses can start now instead of waiting.
func (c *Core) opens(now timer.Millis, a *attempt) bool {
	return len(c.running) < int(c.Slots) && c.claimHolds(now, a)
}

// claimHolds reports whether the claim of a is in the log, is not needed, or cannot be made during a log outage. Only
// the outage attested by the owner counts: another entry may be cut off from the log while the owner reaches it.
func (c *Core) claimHolds(now timer.Millis, a *attempt) bool {
	return !a.start.Once || a.claimed || now < a.from.outage
}

// sweep checks the waiting tasks again, in order of arrival, and refuses or opens them.
func (c *Core) sweep(now timer.Millis) {
	if len(c.waiting) == 0 {
		return
	}
	kept, refused := c.waiting[:0], []*attempt(nil)
	for _, a := range c.waiting {
		switch {
		case c.refusal(now, a) != 0:
			refused = append(refused, a)
		case c.opens(now, a):
			c.open(a)
		default:
			kept = append(kept, a)
		}
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
	for _, a := range refused {
		a.state = step(attemptChart, a.state, eventRefuse)
		c.refuse(a.from, a.start.Task, c.refusal(now, a))
	}
}

// open starts a task. All conditions have just been checked.
func (c *Core) open(a *attempt) {
	a.state = step(attemptChart, a.state, eventOpen)
	c.started.add(a.start.Task)
	c.running[a.start.Task] = a
	run := Run{Task: a.start.Task, Kind: a.start.Kind, Payload: a.start.Payload, Limit: a.start.RunLimit, NotAfter: c.lease}
	if a.deadline != 0 {
		run.NotAfter = min(run.NotAfter, a.deadline)
	}
	c.out = append(c.out, Effect{Kind: EffectRun, Run: run})
	a.start.Payload = nil // the process holds it now
}

// Ended reports the end of a run.
func (c *Core) Ended(now timer.Millis, task encoder.TaskKey, o Outcome) []Effect {
	c.begin(now)
	a, ok := c.running[task]
	if !ok {
		return c.finish(now)
	}
	delete(c.running, task)
	var r row // a copy, because sweep moves the rows of the table when it opens a task
	if o.Status == encoder.StatusNotStarted {
		a.state = step(attemptChart, a.state, eventNotStarted)
		c.started.remove(task)
		r = row{status: o.Status, detail: &detail{reason: o.Reason, ran: o.Ran}}
	} else {
		a.state = step(attemptChart, a.state, eventEnd)
		r = c.started.end(now, task, a.state, o)
	}
	if o.Status == encoder.StatusDone && c.domain != domainChart.Start() {
		c.domain = step(domainChart, c.domain, eventSucceed)
	}
	c.sweep(now)
	to := c.receiver(a)
	// A start that is sent again on a new session may be under way. It would run, so "not started" must not overtake it.
	if to != nil && (o.Status != encoder.StatusNotStarted || to.session == a.session) {
		c.result(to, task, &r, c.deal(to))
	}
	return c.finish(now)
}

// receiver returns the entry that gets the result of a: the owner in the known roster, or the sender when the owner has
// no session. It is nil when neither has one; the result is then sent when the owner connects.
func (c *Core) receiver(a *attempt) *entry {
	if m, ok := c.owner(a.start.Task.Job); ok {
		for _, e := range c.entries {
			if e.member == m && e.session != 0 {
				return e
			}
		}
	}
	if a.from.session != 0 {
		return a.from
	}
	return nil
}

// claimed records that the claim of a submission is in the log.
func (c *Core) claimed(job string) {
	for _, a := range c.waiting {
		if a.start.Task.Job == job {
			a.claimed = true
		}
	}
}

// cancel keeps tasks from starting and stops running ones. It is remembered, because a start can arrive later on
// another session.
func (c *Core) cancel(now timer.Millis, e *entry, tasks []encoder.TaskKey) {
	for _, t := range tasks {
		if !c.mayDecide(e, t) {
			continue
		}
		c.canceled.add(now, t)
		if _, ok := c.running[t]; ok {
			c.out = append(c.out, Effect{Kind: EffectCancel, Task: t})
		}
	}
}

// collected drops the bodies of results that the owner has.
func (c *Core) collected(e *entry, tasks []encoder.TaskKey) {
	for _, t := range tasks {
		if c.mayDecide(e, t) {
			c.started.collect(t)
		}
	}
}

// result sends the recorded end of a task.
func (c *Core) result(e *entry, task encoder.TaskKey, r *row, credits uint32) {
	status, body, reason, ran := r.report()
	c.send(e, &encoder.Result{Task: task, Status: status, Body: body, Reason: reason, Ran: ran, Credits: credits})
}

// refuse answers a start that did not start its task.
func (c *Core) refuse(e *entry, task encoder.TaskKey, reason encoder.RefusalReason) {
	c.send(e, &encoder.Refusal{Task: task, Reason: reason, Epoch: c.roster.Epoch, Credits: c.deal(e)})
}
