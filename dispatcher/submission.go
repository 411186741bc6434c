package dispatcher

import (
	"container/heap"
	"encoding/binary"
	"hash/maphash"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

type (
	// submission is the state of a job at its owner.
	submission struct {
		key, team      string
		digest         uint64
		state          string
		tasks          []task
		specs          []encoder.JobTask
		waiters        []waiter
		sidecars       []*sidecar // sidecars on which tasks were placed
		arrivedAt      timer.Millis
		firstSeen      timer.Millis // earliest time at which the submission can have existed; 0 if unknown
		deadline       timer.Millis // 0 means none
		lastStart      timer.Millis
		movedAt        timer.Millis
		unfinished     uint32 // number of tasks that have not ended
		running        uint32 // number of tasks that are started or in doubt
		anyRan         bool   // a task ended as done or failed
		anyUnknown     bool   // a task ended as unknown
		once           bool
		claimed        bool
		ownedElsewhere bool // another entry may have owned the submission since it arrived here
		receivedHere   bool // the caller sent the request to this entry
		code           encoder.FailureCode
		reason         string
	}

	task struct {
		state    string
		sidecar  *sidecar
		body     []byte
		attempts uint32
		resent   bool // the start was sent to the sidecar more than once
	}

	// waiter identifies a caller that waits for an answer: a request to this entry, or one that a peer forwarded on a
	// session.
	waiter struct {
		request uint64
		session SessionID
		forward uint64
	}

	deadlineHeap []*submission
)

// Submit handles the submission of a job. The answer follows as an EffectAnswer when the submission has ended.
func (c *Core) Submit(now timer.Millis, request uint64, job encoder.Job) {
	c.now = now
	c.counters.Submitted++
	c.route(waiter{request: request}, encoder.RequestSubmit, job, 0)
	c.placeTasks()
}

// Get handles a request for the state of a submission.
func (c *Core) Get(now timer.Millis, request uint64, key string) {
	c.now = now
	c.route(waiter{request: request}, encoder.RequestGet, encoder.Job{Key: key}, 0)
}

// Cancel handles the cancellation of a submission. The answer is the state right after the cancellation.
func (c *Core) Cancel(now timer.Millis, request uint64, key string) {
	c.now = now
	c.route(waiter{request: request}, encoder.RequestCancel, encoder.Job{Key: key}, 0)
}

// route serves a request if this entry owns the key, and forwards it to the owner otherwise.
func (c *Core) route(w waiter, r encoder.Request, job encoder.Job, hops uint32) {
	if reason := c.validate(r, job); reason != "" {
		c.answer(w, failedAnswer(job.Key, encoder.CodeInvalid, encoder.OutcomeNotRun, reason))
		return
	}
	if !c.isOwner(c.roster, job.Key) {
		c.forward(w, r, job, hops)
		return
	}
	switch r {
	case encoder.RequestSubmit:
		c.submit(w, job)
	case encoder.RequestCancel:
		c.cancel(job.Key)
		c.answer(w, c.submissionAnswer(job.Key))
	default:
		c.answer(w, c.submissionAnswer(job.Key))
	}
}

func (c *Core) validate(r encoder.Request, job encoder.Job) string {
	switch {
	case job.Key == "" || len(job.Key) > c.settings.MaxKeyLength:
		return "the key is empty or too long"
	case r == encoder.RequestSubmit && len(job.Tasks) == 0:
		return "the job has no tasks"
	case r == encoder.RequestSubmit && len(job.Tasks) > c.settings.MaxTasks:
		return "the job has too many tasks"
	}
	return ""
}

func (c *Core) submit(w waiter, job encoder.Job) {
	digest := c.digest(job)
	if s := c.submissions[job.Key]; s != nil {
		c.addWaiter(s, w, digest)
		return
	}
	if k, ok := c.answerCache.byKey[job.Key]; ok {
		if k.digest != 0 && k.digest != digest {
			c.answer(w, conflictAnswer(job.Key))
			return
		}
		c.answer(w, k.answer)
		return
	}
	if c.answerCache.evicted.has(c.hashKey(job.Key)) {
		c.answer(w, failedAnswer(job.Key, encoder.CodeUnknown, encoder.OutcomeUnknown, "the answer is no longer kept"))
		return
	}
	if c.draining {
		c.answer(w, c.refusalAnswer(job.Key, encoder.CodeUnavailable, "the entry is stopping"))
		return
	}
	if len(c.submissions) >= c.settings.MaxJobs || c.answerCache.knownKeys() >= c.settings.MaxKeys {
		c.answer(w, c.refusalAnswer(job.Key, encoder.CodeOverload, "too many submissions"))
		return
	}
	s := &submission{
		key: job.Key, team: job.Team, digest: digest, state: submissionChart.Start(),
		tasks: make([]task, len(job.Tasks)), specs: job.Tasks, waiters: []waiter{w},
		arrivedAt: c.now, firstSeen: c.firstSeen(job.Key), unfinished: uint32(len(job.Tasks)), once: job.Once,
		receivedHere: w.session == 0,
	}
	for i := range s.tasks {
		s.tasks[i].state = taskChart.Start()
	}
	if job.Deadline > 0 {
		s.deadline = c.now + job.Deadline
		heap.Push(&c.byDeadline, s)
	}
	c.submissions[s.key] = s
	if s.receivedHere {
		c.sendWitness(s.key)
	}
	c.admit(s)
}

// addWaiter attaches another caller to a submission that is not answered yet. A submission whose key has returned to this
// entry is admitted again.
func (c *Core) addWaiter(s *submission, w waiter, digest uint64) {
	if s.digest != digest {
		c.answer(w, conflictAnswer(s.key))
		return
	}
	s.waiters = append(s.waiters, w)
	if step(submissionChart, &s.state, eventRegain) {
		c.admit(s)
	}
}

// digest hashes the content of a job. The deadline is left out, because a caller that submits again may shorten it.
func (c *Core) digest(job encoder.Job) uint64 {
	var h maphash.Hash
	h.SetSeed(c.seed)
	var size [binary.MaxVarintLen64]byte
	writeString := func(s string) {
		_, _ = h.Write(size[:binary.PutUvarint(size[:], uint64(len(s)))])
		_, _ = h.WriteString(s)
	}
	writeString(job.Team)
	var word [25]byte
	for _, t := range job.Tasks {
		writeString(t.Kind)
		binary.LittleEndian.PutUint64(word[0:], uint64(t.RunTime))
		binary.LittleEndian.PutUint64(word[8:], t.MemoryMB)
		binary.LittleEndian.PutUint64(word[16:], uint64(len(t.Payload)))
		word[24] = 0
		if job.Once {
			word[24] = 1
		}
		_, _ = h.Write(word[:])
		_, _ = h.Write(t.Payload)
	}
	return h.Sum64()
}

func (c *Core) hashKey(key string) uint64 { return maphash.String(c.seed, key) }

// fail drops the queued tasks of a submission, cancels the started ones and ends the submission as failed once these have
// ended.
func (c *Core) fail(s *submission, code encoder.FailureCode, reason string) {
	if step(submissionChart, &s.state, eventClose) {
		s.code, s.reason = code, reason
		c.dropQueued(s)
		c.cancelStarted(s)
	}
	c.endIfFinished(s)
}

func (c *Core) dropQueued(s *submission) {
	dropped := false
	for i := range s.tasks {
		if step(taskChart, &s.tasks[i].state, eventDrop) {
			s.unfinished--
			dropped = true
		}
	}
	if dropped {
		c.queue.CancelJob(s.key)
	}
}

func (c *Core) cancelStarted(s *submission) {
	if s.running == 0 {
		return
	}
	lists := map[SessionID][]encoder.TaskKey{}
	for i := range s.tasks {
		if t := &s.tasks[i]; t.state == taskStarted && t.sidecar.session != 0 {
			id := t.sidecar.session
			lists[id] = append(lists[id], encoder.TaskKey{Job: s.key, Index: uint32(i)})
		}
	}
	for id, tasks := range lists {
		c.send(id, &encoder.Cancel{Tasks: tasks})
	}
}

// cancel ends a submission at the caller's request. Running tasks are canceled, and the submission ends when they have
// ended.
func (c *Core) cancel(key string) {
	s := c.submissions[key]
	if s == nil {
		return
	}
	if s.state == submissionHeld {
		a := c.refusalAnswer(key, encoder.CodeCanceled, "canceled by the caller")
		c.end(s, a)
		return
	}
	c.fail(s, encoder.CodeCanceled, "canceled by the caller")
}

// expireDeadlines ends the submissions whose deadline has passed. The outcome is unknown if tasks are still running.
func (c *Core) expireDeadlines() {
	for len(c.byDeadline) > 0 && c.byDeadline[0].deadline <= c.now {
		s, _ := heap.Pop(&c.byDeadline).(*submission)
		c.deadlineExceeded(s)
	}
	for _, t := range c.queue.RemoveExpired(c.now) {
		if s := c.submissions[t.Key.Job]; s != nil {
			c.deadlineExceeded(s)
		}
	}
}

func (c *Core) deadlineExceeded(s *submission) {
	const reason = "the deadline passed"
	switch s.state {
	case submissionHeld:
		c.end(s, c.refusalAnswer(s.key, encoder.CodeDeadline, reason))
	case submissionOpen, submissionClosing:
		c.dropQueued(s)
		c.cancelStarted(s)
		a := failedAnswer(s.key, encoder.CodeDeadline, s.outcome(), reason)
		if s.code != 0 {
			a.Code, a.Reason = s.code, s.reason
		}
		c.end(s, a)
	}
}

// outcome reports whether tasks of the submission have run so far.
func (s *submission) outcome() encoder.Outcome {
	switch {
	case s.anyUnknown || s.running > 0:
		return encoder.OutcomeUnknown
	case s.anyRan:
		return encoder.OutcomeRan
	}
	return encoder.OutcomeNotRun
}

// endIfFinished ends the submission if all its tasks have ended.
func (c *Core) endIfFinished(s *submission) {
	if s.unfinished > 0 {
		return
	}
	if s.state == submissionClosing || s.code != 0 {
		a := failedAnswer(s.key, s.code, s.outcome(), s.reason)
		if s.anyUnknown {
			a.Code = encoder.CodeUnknown
		}
		c.end(s, a)
		return
	}
	a := encoder.Answer{Key: s.key, State: encoder.JobComplete, Outcome: encoder.OutcomeRan}
	a.Results = make([]encoder.TaskResult, len(s.tasks))
	for i := range s.tasks {
		if s.tasks[i].state != taskDone {
			panic("dispatcher: task of a complete submission has no result")
		}
		a.Results[i].Body = s.tasks[i].body
	}
	c.end(s, a)
}

// end sends the answer to all waiting callers and caches it.
func (c *Core) end(s *submission, a encoder.Answer) {
	if !step(submissionChart, &s.state, eventEnd) {
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.sidecar == nil {
			continue
		}
		if t.state == taskStarted {
			// A later result will not find the submission, so the scheduler is told of the end now.
			c.queue.TaskRefused(t.sidecar.hello.Member.ID, c.schedulerTask(s, i), encoder.RefusalCanceled)
		}
		c.collected.add(t.sidecar, encoder.TaskKey{Job: s.key, Index: uint32(i)}, c.now+collectDelay)
	}
	if a.State == encoder.JobComplete {
		c.counters.Complete++
	} else {
		c.counters.Failed++
	}
	for _, w := range s.waiters {
		c.answer(w, a)
	}
	delete(c.submissions, s.key)
	s.detachSidecars()
	c.cacheAnswer(s.digest, a)
	s.tasks, s.specs, s.waiters = nil, nil, nil
}

// Abandon removes a request to this entry whose caller no longer waits. The submission continues.
func (c *Core) Abandon(now timer.Millis, request uint64, key string) {
	c.now = now
	if s := c.submissions[key]; s != nil {
		for i, w := range s.waiters {
			if w.session == 0 && w.request == request {
				s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
				return
			}
		}
	}
	for id, f := range c.forwards {
		if f.waiter.session == 0 && f.waiter.request == request {
			delete(c.forwards, id)
			return
		}
	}
}

// Len, Less, Swap, Push and Pop implement heap.Interface, ordered by deadline.
func (d deadlineHeap) Len() int           { return len(d) }
func (d deadlineHeap) Less(i, j int) bool { return d[i].deadline < d[j].deadline }
func (d deadlineHeap) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push adds a submission.
func (d *deadlineHeap) Push(x any) {
	if s, ok := x.(*submission); ok {
		*d = append(*d, s)
	}
}

// Pop removes the last submission.
func (d *deadlineHeap) Pop() any {
	old := *d
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return s
}
