package submitter

import (
	"maps"
	"slices"

	"github.com/crocuslb/crocuslb/archiver"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// stateTime is how long the state of a kept job can be asked for after its end. Callers are promised 120 s; the rest
	// covers the time until an end is shown.
	stateTime = 130 * timer.Second
	// rewriteAfter is the age of a kept job's record at which it is written again. The store drops records after 300 s.
	rewriteAfter = 100 * timer.Second
)

const (
	// taskUnknown is the state of a task of a job that another entry owned before: it may run or have ended.
	taskUnknown = taskDone + 1
	// taskEnded is the state of a task that failed too often or whose job is cancelled.
	taskEnded = taskUnknown + 1
)

type (
	// keptJobs are the partitions of the kept jobs that this entry owns, with what every entry needs to find an owner.
	keptJobs struct {
		inUse bool // kept jobs exist, so partitions have owners
		known bool // inUse was read from the store
		// until is when this entry no longer knows that it owns its partitions.
		until   timer.Millis
		handed  map[uint64]*marshaler.Handover // latest one of each partition
		owned   map[uint64]*partition
		over    map[string]*overJob
		calls   map[uint64]*operation // sent to other entries
		number  uint64                // of the latest call
		waiting []*operation          // without a known owner
		shown   map[string]uint64     // waiting jobs by queue, as the other entries were told
		shownAt timer.Millis
	}

	// partition is a part of the kept jobs that this entry owns.
	partition struct {
		number   uint64
		epoch    uint64
		previous uint64 // epoch of the owner before
		// certain is when every run of an earlier owner that no sidecar has reported has surely ended.
		certain   timer.Millis
		recovered bool
	}

	// overJob is a kept job that has ended.
	overJob struct {
		record *marshaler.JobRecord
		state  archiver.State
		since  timer.Millis
		offset uint64 // of its latest whole record
	}

	// keeping is what a job in work has more when it is kept.
	keeping struct {
		partition *partition // nil for a restartable job
		stored    bool       // its record is in the store
		storing   bool       // its record was handed to the store
		held      []*marshaler.Grant
		record    *marshaler.JobRecord
		unstored  int          // ends that were handed to the store and are not there yet
		writtenAt timer.Millis // of the latest whole record
		offset    uint64       // of the latest whole record
		noting    map[noteKey]bool
		asked     []*operation // that wait for the end of the job, or for stateWait
		cancels   []*operation // that wait for the cancellation to be stored
	}

	// noteKey names an end that is on its way to the store.
	noteKey struct {
		run     marshaler.RunKey
		sidecar string
	}
)

// SetKept says whether kept jobs are in use, as the store has it.
func (s *Submitter) SetKept(now timer.Millis, inUse bool) {
	s.at(now)
	before := s.mayKeep()
	s.kept.known = true
	if inUse && !s.kept.inUse {
		s.kept.inUse = true
		s.report(Event{Kind: "keptInUse"})
	}
	if s.mayKeep() != before { // the other ends expect heartbeats according to it
		s.beatAll()
	}
}

// Renew sets the time until which this entry knows that it owns its partitions. After it, another entry may own them.
func (s *Submitter) Renew(now, until timer.Millis) {
	s.kept.until = max(s.kept.until, until)
	s.at(now)
}

// checkLease gives all partitions up once the lease has ended, before anything is decided on them. A process that was
// suspended notices it first here.
func (s *Submitter) checkLease() {
	if s.now < s.kept.until {
		return
	}
	for number := range marshaler.InOrder(s.kept.owned) {
		s.release(number, true, "the lease has ended")
	}
}

// Owns returns the numbers of the partitions that this entry owns, in order.
func (s *Submitter) Owns() []uint64 { return slices.Sorted(maps.Keys(s.kept.owned)) }

// Release gives a partition up. With stop, its runs are stopped at once, because another entry may own it already;
// otherwise sidecars keep them for the next owner.
func (s *Submitter) Release(now timer.Millis, number uint64, stop bool, reason string) {
	s.at(now)
	s.release(number, stop, reason)
}

func (s *Submitter) release(number uint64, stop bool, reason string) {
	p := s.kept.owned[number]
	if p == nil {
		return
	}
	if !stop {
		s.handOver(p)
	}
	delete(s.kept.owned, number)
	s.report(Event{Kind: "release", Detail: reason, Value: int64(number)})
	for _, j := range marshaler.InOrder(s.jobs) {
		if j.keeping.partition == p {
			s.abandon(j, stop)
		}
	}
	maps.DeleteFunc(s.kept.over, func(id string, _ *overJob) bool { return s.partitionOf(id) == number })
	for _, sc := range marshaler.InOrder(s.sidecars) {
		if sc.link != nil {
			sc.link.Send(&marshaler.Release{Partition: marshaler.Partition{Number: number, Epoch: p.epoch}})
		}
	}
	s.sendOwned()
}

// abandon drops a job that another entry will own.
func (s *Submitter) abandon(j *job, stop bool) {
	delete(s.jobs, j.ID)
	for n := range j.steps {
		s.withdraw(j, n)
		for i := range j.steps[n].tasks {
			t := &j.steps[n].tasks[i]
			if t.state != taskPlaced {
				continue
			}
			key := marshaler.RunKey{Job: j.ID, Index: marshaler.TaskIndex(n, i), Attempt: t.attempt}
			if stop {
				s.stop(key, t.sidecar)
			} else if sc := s.sidecars[t.sidecar]; sc != nil {
				delete(sc.placed, key)
			}
		}
	}
	for _, op := range append(j.keeping.asked, j.keeping.cancels...) {
		op.until = s.now + routeTime
		s.kept.waiting = append(s.kept.waiting, op)
	}
	answer := Answer{Kind: AnswerNotRun, Reason: "the job's owner changes", RetryAfter: ownerRetry}
	if j.keeping.storing {
		answer = Answer{Kind: AnswerGaveUp, Reason: "it is not known whether the job was stored"}
	}
	j.answerAll(answer)
}

func (j *job) answerAll(a Answer) {
	for _, answer := range j.waiters {
		answer(a)
	}
	j.waiters = nil
}

func (s *Submitter) partitionOf(job string) uint64 { return marshaler.PartitionOf(job, s.Partitions) }

// submitKept takes a kept job of a partition that this entry owns.
func (s *Submitter) submitKept(j Job, p *partition) {
	if over := s.kept.over[j.ID]; over != nil {
		j.Answer(Answer{Kind: AnswerAccepted})
		return
	}
	if old := s.jobs[j.ID]; old != nil {
		if old.keeping.stored {
			j.Answer(Answer{Kind: AnswerAccepted})
			return
		}
		old.waiters = append(old.waiters, j.Answer)
		return
	}
	n := keptJob(recordOf(&j))
	n.Job = j
	n.keeping.partition = p
	s.admit(n)
}

// recordOf returns the record of a new job.
func recordOf(j *Job) *marshaler.JobRecord {
	return &marshaler.JobRecord{
		ID: j.ID, Queue: j.Queue.Name, Service: j.Queue.Service, Attempts: j.Queue.Attempts, Priority: j.Queue.Priority, Spec: j.Spec,
		Steps: j.Steps,
	}
}

// store writes a job that got room. Its tasks start once the record is in the store.
func (s *Submitter) store(j *job, g *marshaler.Grant) {
	j.keeping.held = append(j.keeping.held, g)
	if j.keeping.storing {
		return
	}
	j.keeping.storing = true
	s.write(j, func() {
		j.keeping.stored = true
		s.report(Event{Kind: "stored", Job: j.ID, Queue: j.Queue.Name, Took: s.now - j.arrived})
		j.answerAll(Answer{Kind: AnswerAccepted})
		held := j.keeping.held
		j.keeping.held = nil
		for _, g := range held {
			s.onGrant(g)
		}
	})
}

// write hands the whole record of a job to the store.
func (s *Submitter) write(j *job, done func()) {
	j.keeping.writtenAt = s.now
	s.record(j, marshaler.Append(nil, j.keeping.record), func(offset uint64) {
		j.keeping.offset = offset
		done()
	})
}

// record hands a record of a job to the store. done is called once it is there, unless this entry has lost the partition.
func (s *Submitter) record(j *job, body []byte, done func(offset uint64)) {
	p := j.keeping.partition
	s.Record(p.number, p.epoch, body, func(now timer.Millis, offset uint64) {
		s.at(now)
		if s.kept.owned[p.number] == p {
			done(offset)
		}
	})
}

// tickKept resumes the tasks of earlier owners, writes old records again and forgets old jobs.
func (s *Submitter) tickKept() {
	for _, p := range s.kept.owned {
		if !p.recovered && s.now >= p.certain {
			p.recovered = true
			s.recover(p, nil)
		}
	}
	for id, over := range s.kept.over {
		if s.now-over.since >= stateTime {
			delete(s.kept.over, id)
		}
	}
	for _, j := range marshaler.InOrder(s.jobs) {
		s.answerStates(j, false)
		if j.keeping.stored && s.now-j.keeping.writtenAt >= rewriteAfter {
			s.write(j, func() {})
		}
	}
	s.expireCalls()
	s.showWaiting()
}
