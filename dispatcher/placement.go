package dispatcher

import (
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/scheduler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	minRequeueDelay = 5 * timer.Millisecond
	maxRequeueDelay = 200 * timer.Millisecond
	// runLimitMargin is the time beyond the run limit after which a started task without a result counts as lost.
	runLimitMargin = 10 * timer.Second
)

// delayedTask is a refused task that is queued again at dueAt, but not before the entry has reached the epoch.
type delayedTask struct {
	dueAt      timer.Millis
	epoch      uint64
	submission *submission
	index      int
}

// admit opens a submission if the ownership of its key is settled. Its tasks are queued, or it is resumed if a former owner
// may have started some.
func (c *Core) admit(s *submission) {
	if !c.isSettled(s.key) {
		return // stays held until tickTakeover admits it
	}
	if s.deadline != 0 && s.deadline <= c.now {
		c.deadlineExceeded(s)
		return
	}
	if c.formerOwnerMayHaveStarted(s.key) {
		c.resume(s)
		return
	}
	tasks := make([]scheduler.Task, len(s.tasks))
	for i := range s.tasks {
		tasks[i] = c.schedulerTask(s, i)
	}
	if a := c.queue.Admit(c.now, tasks); a.Code != 0 {
		answer := c.refusalAnswer(s.key, a.Code, a.Reason)
		answer.RetryAfter = a.RetryAfter
		c.end(s, answer)
		return
	}
	step(submissionChart, &s.state, eventAdmit)
	c.queueClaim(s.key)
	for i := range tasks {
		c.queue.Push(tasks[i])
	}
}

// schedulerTask returns the scheduler's description of a task.
func (c *Core) schedulerTask(s *submission, i int) scheduler.Task {
	spec := &s.specs[i]
	return scheduler.Task{
		Key: encoder.TaskKey{Job: s.key, Index: uint32(i)}, Team: s.team, Kind: spec.Kind, MemoryMB: spec.MemoryMB,
		RunTime: spec.RunTime, Arrived: s.arrivedAt, Deadline: s.deadline, JobRemaining: s.unfinished,
	}
}

// placeTasks starts queued tasks while the scheduler has credits to place them.
func (c *Core) placeTasks() {
	for {
		p, ok := c.queue.Next(c.now)
		if !ok {
			return
		}
		s, i := c.findTask(p.Task.Key)
		sc := c.sidecars[p.Sidecar]
		if sc == nil || sc.session == 0 {
			c.queue.RemoveSidecar(p.Sidecar)
			c.queue.Push(p.Task)
			continue
		}
		if s == nil || s.state != submissionOpen || !step(taskChart, &s.tasks[i].state, eventPlace) {
			// The task ended while it was queued, so the credit was not used.
			c.queue.TaskRefused(p.Sidecar, p.Task, encoder.RefusalCanceled)
			c.queue.AddCredits(p.Sidecar, 1)
			continue
		}
		s.tasks[i].sidecar = sc
		sc.addSubmission(s)
		s.running++
		sc.credits -= min(1, sc.credits)
		c.sendStart(s, i)
	}
}

func (c *Core) sendStart(s *submission, i int) {
	t := &s.tasks[i]
	left := timer.Millis(0)
	if s.deadline != 0 {
		left = max(1, s.deadline-c.now)
	}
	s.lastStart = c.now
	c.counters.Started++
	c.send(t.sidecar.session, &encoder.Start{
		Task: encoder.TaskKey{Job: s.key, Index: uint32(i)}, Epoch: c.roster.Epoch, Owner: c.self,
		Kind: s.specs[i].Kind, Payload: s.specs[i].Payload, Deadline: left, RunLimit: c.settings.RunLimit,
		Once: s.once, Claimed: s.claimed,
	})
}

// findTask returns the submission and the index of a task, or nil if the task is unknown.
func (c *Core) findTask(k encoder.TaskKey) (*submission, int) {
	s := c.submissions[k.Job]
	if s == nil || int(k.Index) >= len(s.tasks) {
		return nil, 0
	}
	return s, int(k.Index)
}

// handleResult handles the result of a task. It is accepted if the task was started on this sidecar incarnation, or if it is
// queued here and a former owner started it.
func (c *Core) handleResult(sc *sidecar, m *encoder.Result) {
	c.addCredits(sc, m.Credits)
	s, i := c.findTask(m.Task)
	if s == nil {
		c.counters.Ignored++
		return
	}
	t := &s.tasks[i]
	if t.sidecar != nil && t.sidecar != sc && t.state != taskQueued {
		c.counters.Ignored++
		return
	}
	if m.Status == encoder.StatusNotStarted {
		c.requeue(s, i, sc, encoder.RefusalNoSlot, 0)
		return
	}
	c.taskEnded(s, i, sc, m.Status, m.Body, m.Reason, m.RunTime)
}

// taskEnded applies the end of a task. The state chart refuses further ends of the same task, which have no effect.
func (c *Core) taskEnded(s *submission, i int, sc *sidecar, status encoder.Status, body []byte, reason string,
	ran timer.Millis,
) {
	t := &s.tasks[i]
	event := endEvent(status)
	previous := t.state
	if event == "" || !step(taskChart, &t.state, event) {
		c.counters.Ignored++
		return
	}
	c.reportTaskEnd(s, i, sc, status, ran)
	if previous != taskQueued {
		s.running--
		c.queue.TaskFinished(sc.hello.Member.ID, c.schedulerTask(s, i), status, ran)
	}
	t.sidecar = sc
	s.unfinished--
	if event == eventForget {
		s.anyUnknown = true
	} else {
		s.anyRan = true
	}
	if event == eventFinish {
		t.body = body
		if s.state == submissionOpen || s.state == submissionClosing {
			c.endIfFinished(s)
		}
		return
	}
	code := encoder.CodeTaskFailed
	if event == eventForget {
		code = encoder.CodeUnknown
	}
	if reason == "" {
		reason = "a task failed"
	}
	if s.state == submissionOpen || s.state == submissionClosing {
		c.fail(s, code, reason)
	} else if s.code == 0 {
		s.code, s.reason = code, reason // resume fails the submission
	}
}

// endEvent returns the event of the state chart for a final status, and "" for other statuses.
func endEvent(status encoder.Status) string {
	switch status {
	case encoder.StatusDone:
		return eventFinish
	case encoder.StatusFailed:
		return eventFail
	case encoder.StatusUnknown:
		return eventForget
	}
	return ""
}

// handleRefusal handles a refused start. It is ignored unless the task was started on this sidecar.
func (c *Core) handleRefusal(sc *sidecar, m *encoder.Refusal) {
	c.addCredits(sc, m.Credits)
	s, i := c.findTask(m.Task)
	if s == nil || s.tasks[i].sidecar != sc {
		c.counters.Ignored++
		return
	}
	c.counters.Refused++
	if m.Reason == encoder.RefusalDuplicate {
		return // an earlier start was accepted, whose result the sidecar sends
	}
	c.requeue(s, i, sc, m.Reason, m.Epoch)
}

// requeue queues a task again whose start was definitely not carried out.
func (c *Core) requeue(s *submission, i int, sc *sidecar, reason encoder.RefusalReason, epoch uint64) {
	t := &s.tasks[i]
	if t.sidecar != sc || !step(taskChart, &t.state, eventRefuse) {
		c.counters.Ignored++
		return
	}
	c.queue.TaskRefused(sc.hello.Member.ID, c.schedulerTask(s, i), reason)
	s.running--
	t.sidecar, t.resent = nil, false
	t.attempts++
	switch {
	case s.state == submissionClosing:
		step(taskChart, &t.state, eventDrop)
		s.unfinished--
		c.endIfFinished(s)
	case s.state != submissionOpen:
	case reason == encoder.RefusalDeadline:
		c.fail(s, encoder.CodeDeadline, "the deadline passed")
	case reason == encoder.RefusalCanceled:
		c.fail(s, encoder.CodeCanceled, "canceled at the sidecar")
	case t.attempts >= c.settings.MaxAttempts:
		c.fail(s, encoder.CodeUnavailable, "every start was refused")
	default:
		c.counters.Requeued++
		wait := min(minRequeueDelay*timer.Millis(t.attempts), maxRequeueDelay)
		if t.attempts == 1 && epoch <= c.roster.Epoch {
			c.queue.Push(c.schedulerTask(s, i))
			return
		}
		c.delayedTasks = append(c.delayedTasks, delayedTask{dueAt: c.now + wait, epoch: epoch, submission: s, index: i})
	}
}

func (c *Core) requeueDelayed() {
	remaining := c.delayedTasks[:0]
	for _, d := range c.delayedTasks {
		switch {
		case d.submission.state != submissionOpen || d.submission.tasks[d.index].state != taskQueued:
		case d.dueAt > c.now || d.epoch > c.roster.Epoch:
			remaining = append(remaining, d)
		default:
			c.queue.Push(c.schedulerTask(d.submission, d.index))
		}
	}
	clear(c.delayedTasks[len(remaining):])
	c.delayedTasks = remaining
}

// startNotSent requeues a task whose start did not leave the process. If the start was resent, the task becomes in doubt
// instead, because the first start may have arrived.
func (c *Core) startNotSent(id SessionID, m *encoder.Start) {
	s, i := c.findTask(m.Task)
	if s == nil || s.tasks[i].sidecar == nil || s.tasks[i].sidecar.session != id || s.tasks[i].state != taskStarted {
		return
	}
	t := &s.tasks[i]
	if t.resent {
		step(taskChart, &t.state, eventLose)
		return
	}
	c.addCredits(t.sidecar, 1)
	c.requeue(s, i, t.sidecar, encoder.RefusalNoSlot, 0)
}
