package submitter

import (
	"maps"
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/projector"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// stateRetention is how long the state of a durable job is available after its end. Callers are promised 120 s; the
	// rest covers the time until an end becomes visible.
	stateRetention = 130 * timer.Second
	// rewriteInterval is the age at which a durable job's record is written again. The store drops records after 300 s.
	rewriteInterval = 100 * timer.Second
)

const (
	// taskUnknown is the state of a task whose job another entry owned before: it may be running or have ended.
	taskUnknown = taskDone + 1
	// taskAborted is the state of a task that failed too often or whose job is cancelled.
	taskAborted = taskUnknown + 1
	// taskAwaitsRecord is the state of a task that is queued again once the crash of its backend server is recorded.
	taskAwaitsRecord = taskAborted + 1
)

type (
	// durableJobs holds the partitions of the durable jobs that this entry owns, and the state that every entry needs
	// to route operations to their owners.
	durableJobs struct {
		use durableUse
		// leaseUntil is the end of the lease on the partitions. After it another entry may own them.
		leaseUntil timer.Millis
		// expiresAt is the earliest time at which the ownership of a partition ends.
		expiresAt timer.Millis
		// confirmedAt is when the latest heartbeat was sent that confirmed the ownership.
		confirmedAt     timer.Millis
		handovers       map[uint64]*marshaler.Handover // latest one by partition
		owned           map[uint64]*partition
		latestEpochs    map[uint64]uint64 // highest epoch under which any entry is known to have acquired a partition, by partition
		finished        map[string]*finishedJob
		withdrawn       withdrawals
		calls           map[uint64]*operation // forwarded to other entries, by number
		lastCall        uint64                // number of the latest call
		unrouted        []*operation          // operations without a known owner
		reportedWaiting map[string]uint64     // waiting jobs by queue, as last broadcast
		reportedAt      timer.Millis
	}

	// partition is a partition of the durable jobs that this entry owns.
	partition struct {
		number   uint64
		epoch    uint64
		previous uint64 // epoch of the previous owner
		// runsExpireAt is the time by which all runs of previous owners that no sidecar has reported are guaranteed to
		// have ended.
		runsExpireAt timer.Millis
		recovered    bool
		// limit is the time at which the ownership ends before the lease does, because another entry may have owned the partition
		// since it was last proven that none has; 0 for none.
		limit timer.Millis
		// unverified has the operations on jobs that this entry does not know. They are answered once it is verified that the
		// entry still owned the partition after they arrived: a later owner may have accepted the job.
		unverified []*operation
	}

	// finishedJob is a durable job that has ended.
	finishedJob struct {
		record *marshaler.JobRecord
		state  projector.State
		since  timer.Millis
		offset uint64 // offset of its latest full record
		// issued holds the latest run that this entry started or adopted, by task index. It is empty for a job that a previous
		// owner ended.
		issued map[uint64]issuedRun
		memory int64 // charged, in bytes
	}

	// durableState is the additional state of an active durable job.
	durableState struct {
		partition      *partition // nil for a restartable job
		firstAttempt   uint64     // lowest attempt number of this owner's runs
		stored         bool       // its record is in the store
		storeRequested bool       // its record was handed to the store
		pendingGrants  []*marshaler.Grant
		record         *marshaler.JobRecord
		pendingWrites  int          // number of ends and cancellations being written
		writtenAt      timer.Millis // of the latest full record
		offset         uint64       // of the latest full record
		recordingEnds  map[endKey]bool
		stateRequests  []*operation // waiting for the end of the job or for stateWaitTimeout
		cancelRequests []*operation // waiting for the cancellation to be stored
	}

	// endKey identifies an end that is being written to the store.
	endKey struct {
		run     marshaler.RunKey
		sidecar string
	}
)

// OwnedPartitionNumbers returns the numbers of the owned partitions in ascending order.
func (s *Submitter) OwnedPartitionNumbers() []uint64 {
	return slices.Sorted(maps.Keys(s.durable.owned))
}

// ReleasePartition gives up a partition. If stop is set, its runs are stopped at once, because another entry may own it already;
// otherwise sidecars keep them for the next owner.
func (s *Submitter) ReleasePartition(now timer.Millis, number uint64, stop bool, reason string) {
	s.setNow(now)
	s.release(number, stop, reason)
}

func (s *Submitter) release(number uint64, stop bool, reason string) {
	p := s.durable.owned[number]
	if p == nil {
		return
	}
	if !stop {
		s.sendHandover(p)
	}
	delete(s.durable.owned, number)
	s.report(Event{Kind: "release", Detail: reason, Value: int64(number)})
	for _, j := range marshaler.SortedByKey(s.jobs) {
		if j.durability.partition == p {
			s.dropOwnership(j, stop)
		}
	}
	s.routeAgain(p.unverified)
	for id, finished := range s.durable.finished {
		if s.partitionOf(id) == number {
			s.forget(id, finished)
		}
	}
	for _, sc := range marshaler.SortedByKey(s.sidecars) {
		if sc.link != nil {
			sc.link.Send(&marshaler.Release{Partition: marshaler.Partition{Number: number, Epoch: p.epoch}})
		}
	}
	s.broadcastOwned()
}

// dropOwnership removes a job that another entry will own.
func (s *Submitter) dropOwnership(j *job, stop bool) {
	delete(s.jobs, j.ID)
	s.releaseMemory(j)
	for n := range j.steps {
		s.withdrawRequest(j, n)
		for i := range j.steps[n].tasks {
			t := &j.steps[n].tasks[i]
			if t.state != taskAssigned {
				continue
			}
			key := marshaler.RunKey{Job: j.ID, Index: marshaler.TaskIndex(n, i), Attempt: t.attempt}
			if stop {
				s.stopRun(key, t.sidecar)
			} else if sc := s.sidecars[t.sidecar]; sc != nil {
				delete(sc.assignedRuns, key)
			}
		}
	}
	s.routeAgain(append(j.durability.stateRequests, j.durability.cancelRequests...))
	answer := Answer{Kind: AnswerNotRun, Reason: "the job's owner changes", RetryAfter: ownerRetryAfter}
	if j.durability.storeRequested {
		answer = Answer{Kind: AnswerAborted, Reason: "it is not known whether the job was stored"}
	}
	j.answerWaiters(answer)
}

// routeAgain routes operations on jobs of a partition that this entry has lost to the next owner.
func (s *Submitter) routeAgain(operations []*operation) {
	for _, op := range operations {
		op.expiresAt = s.now + routeTimeout
		s.durable.unrouted = append(s.durable.unrouted, op)
	}
}

func (j *job) answerWaiters(a Answer) {
	for _, answer := range j.waiters {
		answer(a)
	}
	j.waiters = nil
}

func (s *Submitter) partitionOf(job string) uint64 { return marshaler.PartitionOf(job, s.Partitions) }

// submitDurable accepts a durable job of a partition that this entry owns.
func (s *Submitter) submitDurable(j Job, p *partition) {
	if s.refusesIdentifier(&j, s.jobs[j.ID]) {
		return
	}
	if finished := s.durable.finished[j.ID]; finished != nil {
		j.Answer(Answer{Kind: AnswerAccepted})
		return
	}
	if old := s.jobs[j.ID]; old != nil {
		if old.durability.stored {
			j.Answer(Answer{Kind: AnswerAccepted})
			return
		}
		old.waiters = append(old.waiters, j.Answer)
		return
	}
	if s.durable.withdrawn.contains(withdrawnJob{j.Queue.Name, j.ID}) {
		s.report(Event{Kind: eventRefuse, Job: j.ID, Queue: j.Queue.Name, Detail: "submitter " + cancelledReason})
		j.Answer(Answer{Kind: AnswerNotRun, Reason: cancelledReason, RetryAfter: withdrawalRetention})
		return
	}
	if !s.reserveMemory(&j) {
		return
	}
	n := jobFromRecord(recordOf(&j))
	n.Job, n.memory = j, j.memoryNeed()
	n.durability.partition = p
	s.admit(n)
}

// recordOf returns the record of a new job.
func recordOf(j *Job) *marshaler.JobRecord {
	return &marshaler.JobRecord{
		ID: j.ID, Queue: j.Queue.Name, Service: j.Queue.Service, Attempts: j.Queue.AttemptLimit, Priority: j.Queue.Priority, Spec: j.Spec,
		Steps: j.Steps,
	}
}

// storeJob writes a job that was granted capacity to the store. Its tasks start once the record is stored.
func (s *Submitter) storeJob(j *job, g *marshaler.Grant) {
	j.durability.pendingGrants = append(j.durability.pendingGrants, g)
	if j.durability.storeRequested {
		return
	}
	j.durability.storeRequested = true
	s.writeJobRecord(j, func() {
		j.durability.stored = true
		s.report(Event{Kind: "stored", Job: j.ID, Queue: j.Queue.Name, Took: s.now - j.arrived})
		j.answerWaiters(Answer{Kind: AnswerAccepted})
		grants := j.durability.pendingGrants
		j.durability.pendingGrants = nil
		for _, g := range grants {
			s.onGrant(g)
		}
	})
}

// writeJobRecord writes the full record of a job to the store.
func (s *Submitter) writeJobRecord(j *job, done func()) {
	j.durability.writtenAt = s.now
	s.appendRecord(j, marshaler.Append(nil, j.durability.record), func(offset uint64) {
		j.durability.offset = offset
		done()
	})
}

// appendRecord appends a record of a job to the store. done is called once it is stored, unless this entry has lost the
// partition.
func (s *Submitter) appendRecord(j *job, body []byte, done func(offset uint64)) {
	p := j.durability.partition
	s.Record(p.number, p.epoch, body, func(now timer.Millis, offset uint64) {
		s.setNow(now)
		if s.durable.owned[p.number] == p {
			done(offset)
		}
	})
}

// tickDurable requeues tasks of previous owners whose runs have expired, rewrites old records and forgets jobs that
// ended long ago.
func (s *Submitter) tickDurable() {
	for _, p := range s.durable.owned {
		if !p.recovered && s.now >= p.runsExpireAt {
			p.recovered = true
			s.requeueUnknown(p, nil)
		}
	}
	for id, finished := range s.durable.finished {
		if s.now-finished.since >= stateRetention {
			s.forget(id, finished)
		}
	}
	for _, j := range marshaler.SortedByKey(s.jobs) {
		s.answerStateRequests(j, false)
		if j.durability.stored && s.now-j.durability.writtenAt >= rewriteInterval {
			s.writeJobRecord(j, func() {})
		}
	}
	s.durable.withdrawn.expire(s.now)
	s.expireOperations()
	s.broadcastWaiting()
}
