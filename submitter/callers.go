package submitter

import (
	"slices"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/projector"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// routeTimeout bounds the search for the owner of a durable job. It leaves time for a partition to change its
	// owner.
	routeTimeout = 3 * timer.Second
	// submitRouteTimeout is the routing limit of submissions. It is shorter because their callers can retry.
	submitRouteTimeout = 300 * timer.Millisecond
	// ownerRetryAfter is the retry delay sent to callers when the owner of a job is unknown.
	ownerRetryAfter = timer.Second
	// stateWaitTimeout is how long a state request for an active job is held back in case the job ends. Callers often
	// poll right after the last task has ended, while that end is still being written to the store, and poll again only
	// after a longer pause.
	stateWaitTimeout = 150 * timer.Millisecond
	// waitingReportInterval is the interval between two broadcasts of the number of waiting jobs. Callers may get
	// numbers that are up to 2 s old.
	waitingReportInterval = 500 * timer.Millisecond

	noSuchJob = "no such job"
)

// State requests the state of a durable job.
func (s *Submitter) State(now timer.Millis, queue, id string, answer func(a Answer)) {
	s.setNow(now)
	s.routeExisting(&operation{verb: marshaler.VerbState, job: Job{ID: id}, queue: queue, respond: answer, expiresAt: now + routeTimeout})
}

// owner returns the entry that claims a partition with the highest known epoch, or nil if there is no session with it. A claim with a
// lower epoch is outdated: the store rejects the records of its holder.
func (s *Submitter) owner(number uint64) *peer {
	latest := s.durable.latestEpochs[number]
	for _, p := range marshaler.SortedByKey(s.peers) {
		if p.link != nil && latest > 0 && p.ownedEpochs[number] == latest {
			return p
		}
	}
	return nil
}

// ownedPartition returns a partition that this entry owns, or nil. It is nil also if another entry is known to own it by now.
func (s *Submitter) ownedPartition(number uint64) *partition {
	if p := s.durable.owned[number]; p != nil && p.epoch >= s.durable.latestEpochs[number] {
		return p
	}
	return nil
}

// noteEpoch notes that a partition was acquired under an epoch, by this entry or another one.
func (s *Submitter) noteEpoch(number, epoch uint64) {
	if s.durable.latestEpochs == nil {
		s.durable.latestEpochs = map[uint64]uint64{}
	}
	s.durable.latestEpochs[number] = max(s.durable.latestEpochs[number], epoch)
}

// route executes an operation locally or forwards it to the owner of its job.
func (s *Submitter) route(op *operation) {
	number := s.partitionOf(op.job.ID)
	if p := s.ownedPartition(number); p != nil {
		s.serve(op, p)
		return
	}
	p := s.owner(number)
	if p == nil {
		s.durable.unrouted = append(s.durable.unrouted, op)
		return
	}
	call := &marshaler.Call{Verb: op.verb, Job: op.job.ID, Queue: op.queue, Epoch: p.ownedEpochs[number]}
	if op.verb == marshaler.VerbSubmit {
		call.Body = marshaler.Append(nil, recordOf(&op.job))
	}
	s.durable.lastCall++
	call.Number = s.durable.lastCall
	op.sentTo, op.sentEpoch = p.hello.Name, call.Epoch
	s.durable.calls[call.Number] = op
	p.send(s.now, call)
}

// serve executes an operation on a job of a partition that this entry owns.
func (s *Submitter) serve(op *operation, p *partition) {
	id := op.job.ID
	op.decidedEpoch = p.epoch
	if op.verb != marshaler.VerbSubmit && s.isUnknown(op) {
		if op.verb == marshaler.VerbCancel {
			s.withdraw(op)
		}
		s.denyJob(op, p)
		return
	}
	switch op.verb {
	case marshaler.VerbSubmit:
		op.job.Answer = op.answer
		s.submitDurable(op.job, p)
	case marshaler.VerbState:
		a := s.stateOf(id, op.queue)
		if a.Kind == AnswerRunning || a.Kind == AnswerPending {
			s.jobs[id].durability.stateRequests = append(s.jobs[id].durability.stateRequests, op)
			op.expiresAt = s.now + stateWaitTimeout
			return
		}
		op.answer(a)
	case marshaler.VerbCancel:
		s.cancel(op)
	}
}

// answerStateRequests answers the pending state requests of a job: all of them if all is set, otherwise those that have
// waited for stateWaitTimeout.
func (s *Submitter) answerStateRequests(j *job, all bool) {
	j.durability.stateRequests = slices.DeleteFunc(j.durability.stateRequests, func(op *operation) bool {
		if !all && s.now < op.expiresAt {
			return false
		}
		op.answer(s.stateOf(j.ID, op.queue))
		return true
	})
}

// stateOf returns the state of a job that this entry owns. A job is not visible before it is in the store.
func (s *Submitter) stateOf(id, queue string) Answer {
	if finished := s.durable.finished[id]; finished != nil && finished.record.Queue == queue {
		return Answer{Kind: stateAnswer(finished.state)}
	}
	j := s.jobs[id]
	switch {
	case j == nil || !j.durability.stored || j.durability.record.Queue != queue:
		return Answer{Kind: AnswerNotFound, Reason: noSuchJob}
	case j.hasBegun():
		return Answer{Kind: AnswerRunning}
	}
	return Answer{Kind: AnswerPending}
}

func stateAnswer(state projector.State) AnswerKind {
	switch state {
	case projector.Succeeded:
		return AnswerDone
	case projector.Failed:
		return AnswerFailed
	case projector.Cancelled:
		return AnswerCancelled
	case projector.Open:
	}
	return AnswerRunning
}

// cancel cancels a job that this entry owns and knows. The answer is sent once the cancellation is in the store.
func (s *Submitter) cancel(op *operation) {
	id := op.job.ID
	if finished := s.durable.finished[id]; finished != nil && finished.record.Queue == op.queue {
		op.answer(Answer{Kind: AnswerCancelled, Reason: "the job had ended"})
		return
	}
	j := s.jobs[id]
	j.durability.cancelRequests = append(j.durability.cancelRequests, op)
	if len(j.durability.cancelRequests) > 1 {
		return
	}
	if projector.StateOf(j.durability.record) == projector.Open {
		j.durability.record.Cancelled = true
	}
	j.durability.pendingWrites++
	s.stopTasks(j)
	s.appendRecord(j, marshaler.Append(nil, &marshaler.CancelRecord{Job: id}), func(uint64) {
		j.durability.pendingWrites--
		s.finishDurable(j)
		for _, op := range j.durability.cancelRequests {
			op.answer(Answer{Kind: AnswerCancelled})
		}
		j.durability.cancelRequests = nil
	})
}

// onCall executes a request that another entry forwarded.
func (s *Submitter) onCall(from *peer, m *marshaler.Call) {
	reply := func(a Answer) {
		from.send(s.now, &marshaler.Reply{Number: m.Number, Kind: uint8(a.Kind), Reason: truncateReason(a.Reason), RetryAfter: a.RetryAfter})
	}
	if m.Verb == marshaler.VerbAbort {
		a := Answer{Kind: AnswerNotFound}
		if s.abortRestartable(m.Job) {
			a.Kind = AnswerCancelled
		}
		reply(a)
		return
	}
	p := s.ownedPartition(s.partitionOf(m.Job))
	if p == nil || m.Verb == marshaler.VerbSubmit && m.Epoch != 0 && m.Epoch != p.epoch {
		reply(Answer{Kind: AnswerNotOwner}) // a submission that is delayed beyond a change of the owner may have been refused since
		return
	}
	op := &operation{verb: m.Verb, job: Job{ID: m.Job}, queue: m.Queue, respond: reply}
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

// decodeSubmission decodes a job that another entry forwarded.
func (s *Submitter) decodeSubmission(m *marshaler.Call) (Job, error) {
	message, err := marshaler.Decode(m.Body)
	if err != nil {
		return Job{}, err
	}
	record, ok := message.(*marshaler.JobRecord)
	if !ok || record.ID != m.Job {
		return Job{}, trace.BadParameter("call %d has no job", m.Number)
	}
	j := jobFromRecord(record).Job
	i := slices.IndexFunc(s.snapshot.Queues(), func(q router.Queue) bool { return q.Name == record.Queue })
	if i >= 0 {
		j.Queue = s.snapshot.Queues()[i]
	}
	if reason := j.invalidReason(); reason != "" {
		return Job{}, trace.BadParameter("%s", reason)
	}
	return j, nil
}

// onReply answers the caller of a forwarded request, or routes the request again if the receiver was not the owner.
func (s *Submitter) onReply(m *marshaler.Reply) {
	op := s.durable.calls[m.Number]
	if s.onCancelReply(m) || op == nil {
		return
	}
	delete(s.durable.calls, m.Number)
	if AnswerKind(m.Kind) == AnswerNotOwner {
		s.dropOwnerClaim(op)
		s.durable.unrouted = append(s.durable.unrouted, op)
		return
	}
	op.decidedEpoch = op.sentEpoch
	s.report(Event{Kind: "reply", Job: op.job.ID, Queue: op.queue, Peer: op.sentTo, Detail: AnswerKind(m.Kind).String() + " " + m.Reason, Value: int64(op.openEpoch)})
	op.answer(Answer{Kind: AnswerKind(m.Kind), Reason: m.Reason, RetryAfter: m.RetryAfter})
}

// rerouteCalls routes the operations again that a lost entry did not answer. All operations are idempotent.
func (s *Submitter) rerouteCalls(name string) {
	for number, op := range marshaler.SortedByKey(s.durable.calls) {
		if op.sentTo == name {
			delete(s.durable.calls, number)
			op.noteUnanswered()
			op.expiresAt = max(op.expiresAt, s.now+submitRouteTimeout) // the search for an owner begins again
			s.report(Event{Kind: "reroute", Job: op.job.ID, Queue: op.queue, Peer: name, Value: int64(op.sentEpoch)})
			s.durable.unrouted = append(s.durable.unrouted, op)
		}
	}
}

// retryUnrouted routes the operations without a known owner again.
func (s *Submitter) retryUnrouted() {
	waiting := s.durable.unrouted
	s.durable.unrouted = nil
	for _, op := range waiting {
		s.route(op)
	}
}

// expireOperations fails the operations whose time limit has passed.
func (s *Submitter) expireOperations() {
	s.retryUnrouted()
	s.lookUpDurableUse()
	s.expireCancelCalls()
	for _, list := range []*[]*operation{&s.durable.unrouted, &s.durable.use.waiting, &s.durable.use.asked} {
		*list = slices.DeleteFunc(*list, func(op *operation) bool {
			if s.now < op.expiresAt {
				return false
			}
			s.failOperation(op)
			return true
		})
	}
	for number, op := range marshaler.SortedByKey(s.durable.calls) {
		if s.now >= op.expiresAt+routeTimeout {
			delete(s.durable.calls, number)
			op.noteUnanswered()
			s.failOperation(op)
		}
	}
}

// failOperation answers an operation that no owner answered in time.
func (s *Submitter) failOperation(op *operation) {
	op.decidedEpoch = 0
	a := op.certain(Answer{Kind: AnswerNotRun, Reason: "the job has no owner at present", RetryAfter: ownerRetryAfter + jitter(op.job.ID)})
	s.report(Event{Kind: "unanswered", Job: op.job.ID, Queue: op.queue, Peer: op.sentTo, Detail: a.Kind.String() + " " + a.Reason})
	op.answer(a)
}

// broadcastOwned tells the other entries which partitions this entry owns.
func (s *Submitter) broadcastOwned() {
	for _, p := range marshaler.SortedByKey(s.peers) {
		p.send(s.now, &marshaler.OwnedPartitions{Partitions: s.ownedPartitions()})
	}
}

// onOwned handles the list of the partitions that another entry owns. An older list may arrive after a newer one, on a session that
// was replaced. A partition that a list lacks is therefore not taken for released: its former owner says so when it gets an operation,
// and a later owner has a higher epoch.
func (s *Submitter) onOwned(p *peer, m *marshaler.OwnedPartitions) {
	if p.ownedEpochs == nil {
		p.ownedEpochs = map[uint64]uint64{}
	}
	for _, o := range m.Partitions {
		p.ownedEpochs[o.Number] = max(p.ownedEpochs[o.Number], o.Epoch)
		s.noteEpoch(o.Number, o.Epoch)
	}
	s.setDurableUse(true, "partitions of "+p.hello.Name)
	if s.OwnershipAnnounced != nil {
		s.OwnershipAnnounced()
	}
	s.retryUnrouted()
}

// dropOwnerClaim forgets the claim of an entry that has answered an operation with AnswerNotOwner.
func (s *Submitter) dropOwnerClaim(op *operation) {
	number := s.partitionOf(op.job.ID)
	if p := s.peers[op.sentTo]; p != nil && p.ownedEpochs[number] == op.sentEpoch {
		delete(p.ownedEpochs, number)
	}
}

// localWaitingJobs returns the number of durable jobs of this entry that have not started a task, by queue.
func (s *Submitter) localWaitingJobs() map[string]uint64 {
	waiting := map[string]uint64{}
	for _, j := range s.jobs {
		if j.durability.stored && !j.hasRun && j.assigned == 0 {
			waiting[j.Queue.Name]++
		}
	}
	return waiting
}

// broadcastWaiting tells the other entries how many durable jobs of this entry have not started a task.
func (s *Submitter) broadcastWaiting() {
	if !s.durable.use.inUse || s.now-s.durable.reportedAt < waitingReportInterval {
		return
	}
	s.durable.reportedAt = s.now
	waiting := s.localWaitingJobs()
	for queue := range s.durable.reportedWaiting {
		if _, ok := waiting[queue]; !ok {
			waiting[queue] = 0
		}
	}
	for queue, jobs := range marshaler.SortedByKey(waiting) {
		for _, p := range marshaler.SortedByKey(s.peers) {
			p.send(s.now, &marshaler.QueueBacklog{Queue: queue, Jobs: jobs})
		}
		if jobs == 0 {
			delete(waiting, queue)
		}
	}
	s.durable.reportedWaiting = waiting
}

// truncateReason truncates a text to the maximum length in a message.
func truncateReason(text string) string { return text[:min(len(text), marshaler.MaxNameLen)] }
