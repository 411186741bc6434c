package submitter

import (
	"slices"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/archiver"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// routeTime bounds the search for the owner of a kept job, in which a partition may change its owner.
	routeTime = 3 * timer.Second
	// submitRouteTime is the same for a job that is handed in, whose caller can come back.
	submitRouteTime = 300 * timer.Millisecond
	// ownerRetry is the time after which a caller may come back when a job's owner is not known.
	ownerRetry = timer.Second
	// stateWait is how long the answer about a job in work waits for its end. Callers often ask right after the last task
	// has ended, while that end is on its way to the store, and ask again only after a longer pause.
	stateWait = 150 * timer.Millisecond
	// showPeriod is the time between two messages about the jobs that wait. Callers may get numbers that are 2 s old.
	showPeriod = 500 * timer.Millisecond
)

// operation is a caller's request on a kept job.
type operation struct {
	verb   marshaler.Verb
	job    Job // with its identifier alone, unless it is handed in
	queue  string
	answer func(a Answer)
	until  timer.Millis
	at     string // entry that it was sent to
	sent   bool
	// doubtful says that an entry that got the operation was lost without an answer. It may have carried it out.
	doubtful bool
}

// State asks for the state of a kept job.
func (s *Submitter) State(now timer.Millis, queue, id string, answer func(a Answer)) {
	s.at(now)
	if !s.kept.inUse {
		answer(Answer{Kind: AnswerGone, Reason: "there are no kept jobs"})
		return
	}
	s.route(&operation{verb: marshaler.VerbState, job: Job{ID: id}, queue: queue, answer: answer, until: now + routeTime})
}

// Cancel ends a job, wherever it is.
func (s *Submitter) Cancel(now timer.Millis, queue, id string, answer func(a Answer)) {
	s.at(now)
	if j := s.jobs[id]; j != nil && j.keeping.partition == nil {
		s.Drop(now, id, "cancelled by the caller")
		answer(Answer{Kind: AnswerCancelled})
		return
	}
	if !s.kept.inUse {
		answer(Answer{Kind: AnswerGone, Reason: "no such job is in work here"})
		return
	}
	s.route(&operation{verb: marshaler.VerbCancel, job: Job{ID: id}, queue: queue, answer: answer, until: now + routeTime})
}

// owner returns the entry that says with the highest epoch that it owns a partition, or nil.
func (s *Submitter) owner(number uint64) (best *peer) {
	var epoch uint64
	for _, p := range marshaler.InOrder(s.peers) {
		if p.link != nil && p.owned[number] > epoch {
			best, epoch = p, p.owned[number]
		}
	}
	return best
}

// route carries an operation out here or passes it on to the owner of its job.
func (s *Submitter) route(op *operation) {
	number := s.partitionOf(op.job.ID)
	if p := s.kept.owned[number]; p != nil {
		s.serve(op, p)
		return
	}
	p := s.owner(number)
	if p == nil {
		s.kept.waiting = append(s.kept.waiting, op)
		return
	}
	call := &marshaler.Call{Verb: op.verb, Job: op.job.ID, Queue: op.queue}
	if op.verb == marshaler.VerbSubmit {
		call.Body = marshaler.Append(nil, recordOf(&op.job))
	}
	s.kept.number++
	call.Number = s.kept.number
	op.at, op.sent = p.hello.Name, true
	s.kept.calls[call.Number] = op
	p.send(s.now, call)
}

// serve carries out an operation on a job of a partition that this entry owns.
func (s *Submitter) serve(op *operation, p *partition) {
	id := op.job.ID
	switch op.verb {
	case marshaler.VerbSubmit:
		op.job.Answer = op.answer
		s.submitKept(op.job, p)
	case marshaler.VerbState:
		a := s.stateOf(id, op.queue)
		if a.Kind == AnswerRunning || a.Kind == AnswerPending {
			s.jobs[id].keeping.asked = append(s.jobs[id].keeping.asked, op)
			op.until = s.now + stateWait
			return
		}
		op.answer(a)
	case marshaler.VerbCancel:
		s.cancel(op)
	}
}

// answerStates answers those who ask for the state of a job: all once it has ended, or those who have waited enough.
func (s *Submitter) answerStates(j *job, all bool) {
	j.keeping.asked = slices.DeleteFunc(j.keeping.asked, func(op *operation) bool {
		if !all && s.now < op.until {
			return false
		}
		op.answer(s.stateOf(j.ID, op.queue))
		return true
	})
}

// stateOf returns the state of a job that this entry owns. What is not in the store yet is not shown.
func (s *Submitter) stateOf(id, queue string) Answer {
	if over := s.kept.over[id]; over != nil && over.record.Queue == queue {
		return Answer{Kind: stateAnswer(over.state)}
	}
	j := s.jobs[id]
	switch {
	case j == nil || !j.keeping.stored || j.keeping.record.Queue != queue:
		return Answer{Kind: AnswerGone, Reason: "no such job"}
	case j.begun():
		return Answer{Kind: AnswerRunning}
	}
	return Answer{Kind: AnswerPending}
}

func stateAnswer(state archiver.State) AnswerKind {
	switch state {
	case archiver.Succeeded:
		return AnswerDone
	case archiver.Failed:
		return AnswerFailed
	case archiver.Cancelled:
		return AnswerCancelled
	case archiver.Open:
	}
	return AnswerRunning
}

// cancel ends a job that this entry owns. The answer follows once the cancellation is in the store.
func (s *Submitter) cancel(op *operation) {
	id := op.job.ID
	if over := s.kept.over[id]; over != nil && over.record.Queue == op.queue {
		op.answer(Answer{Kind: AnswerCancelled, Reason: "the job had ended"})
		return
	}
	j := s.jobs[id]
	if j == nil || j.keeping.record == nil || j.keeping.record.Queue != op.queue || !j.keeping.storing {
		op.answer(Answer{Kind: AnswerGone, Reason: "no such job"})
		return
	}
	j.keeping.cancels = append(j.keeping.cancels, op)
	if len(j.keeping.cancels) > 1 {
		return
	}
	if archiver.StateOf(j.keeping.record) == archiver.Open {
		j.keeping.record.Cancelled = true
	}
	j.keeping.unstored++
	s.stopAll(j)
	s.record(j, marshaler.Append(nil, &marshaler.CancelRecord{Job: id}), func(uint64) {
		j.keeping.unstored--
		s.settleKept(j)
		for _, op := range j.keeping.cancels {
			op.answer(Answer{Kind: AnswerCancelled})
		}
		j.keeping.cancels = nil
	})
}

// onCall carries out the request of another entry's caller.
func (s *Submitter) onCall(from *peer, m *marshaler.Call) {
	reply := func(a Answer) {
		from.send(s.now, &marshaler.Reply{Number: m.Number, Kind: uint8(a.Kind), Reason: cut(a.Reason), RetryAfter: a.RetryAfter})
	}
	p := s.kept.owned[s.partitionOf(m.Job)]
	if p == nil {
		reply(Answer{Kind: AnswerElsewhere})
		return
	}
	op := &operation{verb: m.Verb, job: Job{ID: m.Job}, queue: m.Queue, answer: reply}
	if m.Verb == marshaler.VerbSubmit {
		job, err := s.decodeSubmission(m)
		if err != nil {
			reply(Answer{Kind: AnswerMalformed, Reason: err.Error()})
			return
		}
		op.job = job
	}
	s.serve(op, p)
}

// decodeSubmission reads a job that another entry passes on.
func (s *Submitter) decodeSubmission(m *marshaler.Call) (Job, error) {
	message, err := marshaler.Decode(m.Body)
	if err != nil {
		return Job{}, err
	}
	record, ok := message.(*marshaler.JobRecord)
	if !ok || record.ID != m.Job {
		return Job{}, trace.BadParameter("call %d has no job", m.Number)
	}
	j := keptJob(record).Job
	i := slices.IndexFunc(s.snapshot.Queues(), func(q router.Queue) bool { return q.Name == record.Queue })
	if i >= 0 {
		j.Queue = s.snapshot.Queues()[i]
	}
	if reason := j.malformed(); reason != "" {
		return Job{}, trace.BadParameter("%s", reason)
	}
	return j, nil
}

// onReply answers a caller, or looks for another owner.
func (s *Submitter) onReply(m *marshaler.Reply) {
	op := s.kept.calls[m.Number]
	if op == nil {
		return
	}
	delete(s.kept.calls, m.Number)
	if AnswerKind(m.Kind) == AnswerElsewhere {
		op.sent = false
		s.kept.waiting = append(s.kept.waiting, op)
		return
	}
	s.report(Event{Kind: "reply", Job: op.job.ID, Queue: op.queue, Peer: op.at, Detail: AnswerKind(m.Kind).String() + " " + m.Reason})
	op.answer(Answer{Kind: AnswerKind(m.Kind), Reason: m.Reason, RetryAfter: m.RetryAfter})
}

// loseCalls looks for another owner for the operations that a lost entry did not answer. All are idempotent.
func (s *Submitter) loseCalls(name string) {
	for number, op := range marshaler.InOrder(s.kept.calls) {
		if op.at == name {
			delete(s.kept.calls, number)
			op.doubtful = true
			s.kept.waiting = append(s.kept.waiting, op)
		}
	}
}

// routeWaiting tries the operations without a known owner again.
func (s *Submitter) routeWaiting() {
	waiting := s.kept.waiting
	s.kept.waiting = nil
	for _, op := range waiting {
		s.route(op)
	}
}

// expireCalls answers the operations whose time is over.
func (s *Submitter) expireCalls() {
	s.routeWaiting()
	s.kept.waiting = slices.DeleteFunc(s.kept.waiting, func(op *operation) bool {
		if s.now < op.until {
			return false
		}
		s.giveUp(op)
		return true
	})
	for number, op := range marshaler.InOrder(s.kept.calls) {
		if s.now >= op.until+routeTime {
			delete(s.kept.calls, number)
			s.giveUp(op)
		}
	}
}

// giveUp answers an operation that no owner answered in time.
func (s *Submitter) giveUp(op *operation) {
	a := op.unanswered()
	s.report(Event{Kind: "unanswered", Job: op.job.ID, Queue: op.queue, Peer: op.at, Detail: a.Kind.String() + " " + a.Reason})
	op.answer(a)
}

// unanswered returns the answer to an operation that no owner answered.
func (op *operation) unanswered() Answer {
	if op.sent || op.doubtful {
		return Answer{Kind: AnswerGaveUp, Reason: "the job's owner did not answer"}
	}
	return Answer{Kind: AnswerNotRun, Reason: "the job has no owner at present", RetryAfter: ownerRetry + spread(op.job.ID)}
}

// sendOwned tells the other entries which partitions this one owns.
func (s *Submitter) sendOwned() {
	for _, p := range marshaler.InOrder(s.peers) {
		p.send(s.now, &marshaler.Owned{Partitions: s.ownedPartitions()})
	}
}

func (s *Submitter) onOwned(p *peer, m *marshaler.Owned) {
	p.owned = map[uint64]uint64{}
	for _, o := range m.Partitions {
		p.owned[o.Number] = o.Epoch
	}
	if s.Redealt != nil {
		s.Redealt()
	}
	s.routeWaiting()
}

// ownWaiting returns the number of this entry's kept jobs of each queue of which no task has started.
func (s *Submitter) ownWaiting() map[string]uint64 {
	waiting := map[string]uint64{}
	for _, j := range s.jobs {
		if j.keeping.stored && !j.ran && j.unsettled == 0 {
			waiting[j.Queue.Name]++
		}
	}
	return waiting
}

// showWaiting tells the other entries how many kept jobs wait here.
func (s *Submitter) showWaiting() {
	if !s.kept.inUse || s.now-s.kept.shownAt < showPeriod {
		return
	}
	s.kept.shownAt = s.now
	waiting := s.ownWaiting()
	for queue := range s.kept.shown {
		if _, ok := waiting[queue]; !ok {
			waiting[queue] = 0
		}
	}
	for queue, jobs := range marshaler.InOrder(waiting) {
		for _, p := range marshaler.InOrder(s.peers) {
			p.send(s.now, &marshaler.Waiting{Queue: queue, Jobs: jobs})
		}
		if jobs == 0 {
			delete(waiting, queue)
		}
	}
	s.kept.shown = waiting
}

// cut shortens a text to what a message may carry.
func cut(text string) string { return text[:min(len(text), marshaler.MaxName)] }
