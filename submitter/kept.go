package submitter

import (
	"maps"
	"slices"

	"github.com/crocuslb/crocuslb/archiver"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/router"
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
	s.kept.known = true
	if inUse && !s.kept.inUse {
		s.kept.inUse = true
		s.report(Event{Kind: "keptInUse"})
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

// Acquire takes a partition with its jobs. The store lets no other entry write there under a lower epoch.
func (s *Submitter) Acquire(now timer.Millis, taken marshaler.Partition, jobs []*marshaler.JobRecord) {
	s.at(now)
	if now >= s.kept.until {
		return // the process is about to begin a new membership
	}
	p := &partition{number: taken.Number, epoch: taken.Epoch, previous: taken.Previous, certain: now + certainAfter}
	s.kept.owned[p.number] = p
	open := 0
	for _, record := range jobs {
		if state := archiver.StateOf(record); state != archiver.Open {
			s.kept.over[record.ID] = &overJob{record: record, state: state, since: now}
			continue
		}
		open++
		j := keptJob(record)
		j.arrived, j.latest, j.until = now, now, now
		j.keeping.partition, j.keeping.stored, j.keeping.storing, j.keeping.writtenAt = p, true, true, now
		j.resume()
		s.jobs[record.ID] = j
	}
	s.report(Event{Kind: "acquire", Detail: "partition", Value: int64(p.number), Count: int64(open)})
	s.claim([]marshaler.Partition{taken})
	if h := s.kept.handed[p.number]; h != nil {
		s.takeOver(p, h)
	}
	s.sendOwned()
	s.routeWaiting()
}

// keptJob makes a job in work of its record.
func keptJob(record *marshaler.JobRecord) *job {
	return &job{
		Job: Job{
			ID: record.ID, Kind: Kind{Kept: true}, Spec: record.Spec, Steps: record.Steps,
			Queue: router.Queue{Name: record.Queue, Service: record.Service, Attempts: record.Attempts, Priority: record.Priority},
		},
		steps:   newSteps(record.Steps),
		keeping: keeping{record: record, noting: map[noteKey]bool{}},
	}
}

// resume sets the tasks of a job as its record has them. The others may run or have ended.
func (j *job) resume() {
	for n := range j.steps {
		st := &j.steps[n]
		for i := range st.tasks {
			st.tasks[i].state = taskUnknown
		}
	}
	for _, r := range j.keeping.record.Tasks {
		step, index := (marshaler.RunKey{Index: r.Index}).Task()
		if step >= len(j.steps) || index >= len(j.steps[step].tasks) {
			continue
		}
		st := &j.steps[step]
		t := &st.tasks[index]
		t.attempt, t.recorded, t.failures = r.Attempt, r.Attempt, r.Failures
		j.ran = true
		if r.Done {
			t.state = taskDone
			st.done++
		}
	}
	for n := range j.steps {
		if j.steps[n].complete() {
			j.done++
		}
	}
}

func (st *step) complete() bool { return st.done == len(st.tasks) }

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

// onKeptEnd takes an end of a run of a kept job that its sidecar lists until it is recorded.
func (s *Submitter) onKeptEnd(sc *sidecar, o *marshaler.Outcome) {
	p := s.kept.owned[s.partitionOf(o.Run.Job)]
	if p == nil {
		return // the sidecar offers it to the owner
	}
	j := s.jobs[o.Run.Job]
	if j == nil {
		s.note(sc.name, o, s.overlooked(o))
		return
	}
	step, index := o.Run.Task()
	if step >= len(j.steps) || index >= len(j.steps[step].tasks) {
		s.note(sc.name, o, false)
		return
	}
	key := noteKey{o.Run, sc.name}
	if j.keeping.noting[key] {
		return
	}
	t := &j.steps[step].tasks[index]
	if o.Stale && t.ordered == 0 && t.state != taskDone && o.Status == marshaler.StatusDone {
		// An earlier owner may have started the task again, and this one cannot know.
		t.attempt = max(t.attempt, o.Run.Attempt)
		s.note(sc.name, o, true)
		return
	}
	if t.takes(sc.name, o.Run.Attempt) {
		s.recordEnd(sc, j, o)
		return
	}
	s.note(sc.name, o, o.Status == marshaler.StatusDone && t.recorded != o.Run.Attempt)
}

// takes reports whether an end of an attempt counts: it is the current one, or the latest of a task that nothing was
// started of since.
func (t *task) takes(sidecar string, attempt uint64) bool {
	switch t.state {
	case taskPlaced:
		return t.attempt == attempt && t.sidecar == sidecar
	case taskQueued, taskUnknown, taskEnded:
		return attempt >= t.ordered && attempt > t.recorded
	}
	return false
}

// overlooked reports whether an end of a job that is over contradicts what is recorded of it.
func (s *Submitter) overlooked(o *marshaler.Outcome) bool {
	over := s.kept.over[o.Run.Job]
	if over == nil || o.Status != marshaler.StatusDone {
		return false
	}
	return slices.ContainsFunc(over.record.Tasks, func(t marshaler.TaskRecord) bool {
		return t.Index == o.Run.Index && t.Attempt != o.Run.Attempt
	})
}

// recordEnd applies an end and hands it to the store.
func (s *Submitter) recordEnd(sc *sidecar, j *job, o *marshaler.Outcome) {
	key := noteKey{o.Run, sc.name}
	j.keeping.noting[key] = true
	j.keeping.unstored++
	end := &marshaler.EndRecord{Run: o.Run, Status: o.Status}
	archiver.AddEnd(j.keeping.record, end)
	s.record(j, marshaler.Append(nil, end), func(uint64) {
		delete(j.keeping.noting, key)
		j.keeping.unstored--
		s.note(sc.name, o, false)
		s.settleKept(j)
	})
	s.applyEnd(sc, j, o)
}

// applyEnd applies an end with success or failure to the task in memory.
func (s *Submitter) applyEnd(sc *sidecar, j *job, o *marshaler.Outcome) {
	delete(sc.placed, o.Run)
	step, index := o.Run.Task()
	t := &j.steps[step].tasks[index]
	if t.state == taskPlaced {
		j.unsettled--
	}
	j.ran = true
	t.attempt, t.recorded = o.Run.Attempt, o.Run.Attempt
	if t.state == taskEnded { // the job is being cancelled; the end counts if the cancellation gets lost
		return
	}
	if o.Status == marshaler.StatusDone {
		s.taskIsDone(j, step, t)
		return
	}
	j.avoidSidecar(sc.name)
	t.failures++
	if t.failures >= max(j.Queue.Attempts, 1) {
		t.state = taskEnded
		return
	}
	if t.state == taskUnknown {
		return // the owner before may have started the next attempt
	}
	s.requeue(sc, j, o)
}

// note tells a sidecar that an end is recorded, or void.
func (s *Submitter) note(name string, o *marshaler.Outcome, void bool) {
	sc := s.sidecars[name]
	if void {
		s.report(Event{Kind: "void", Job: o.Run.Job, Peer: name, Detail: "the task was started again", Value: int64(o.Run.Index)})
	}
	if sc != nil && sc.link != nil {
		sc.link.Send(&marshaler.Noted{Number: o.Number, Run: o.Run, Void: void})
	}
}

// settleKept ends a kept job whose end is in the store.
func (s *Submitter) settleKept(j *job) {
	state := archiver.StateOf(j.keeping.record)
	if s.jobs[j.ID] != j || j.keeping.unstored > 0 || state == archiver.Open {
		return
	}
	s.kept.over[j.ID] = &overJob{record: j.keeping.record, state: state, since: s.now, offset: j.keeping.offset}
	delete(s.jobs, j.ID)
	s.stopAll(j)
	j.answerAll(Answer{Kind: AnswerAccepted})
	s.answerStates(j, true)
	s.report(Event{Kind: "kept", Job: j.ID, Queue: j.Queue.Name, Detail: stateAnswer(state).String(), Value: int64(j.done), Took: s.now - j.arrived})
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

// recover queues the tasks of a partition that surely do not run: those of which nothing is known, but for the excepted
// ones.
func (s *Submitter) recover(p *partition, except map[marshaler.RunKey]bool) {
	for _, j := range marshaler.InOrder(s.jobs) {
		if j.keeping.partition != p {
			continue
		}
		for n := range j.steps {
			st := &j.steps[n]
			found := 0
			for i := range st.tasks {
				if t := &st.tasks[i]; t.state == taskUnknown && !except[marshaler.RunKey{Job: j.ID, Index: marshaler.TaskIndex(n, i)}] {
					t.state = taskQueued
					t.attempt += attemptGap
					found++
				}
			}
			if found > 0 && j.ready(n) {
				st.begun = true
				s.ask(j, n, found)
			}
		}
	}
}

// claim tells the sidecars which partitions this entry owns.
func (s *Submitter) claim(partitions []marshaler.Partition) {
	for _, sc := range marshaler.InOrder(s.sidecars) {
		if sc.link != nil {
			sc.link.Send(&marshaler.Claim{Partitions: partitions})
		}
	}
}

// ownedPartitions returns the partitions of this entry in order.
func (s *Submitter) ownedPartitions() (list []marshaler.Partition) {
	for number, p := range marshaler.InOrder(s.kept.owned) {
		list = append(list, marshaler.Partition{Number: number, Epoch: p.epoch, Previous: p.previous})
	}
	return list
}

// onCensus takes what a sidecar has of a partition.
func (s *Submitter) onCensus(sc *sidecar, m *marshaler.Census) {
	p := s.kept.owned[m.Partition.Number]
	if p == nil || p.epoch != m.Partition.Epoch {
		return
	}
	for i := range m.Ends {
		s.onKeptEnd(sc, &m.Ends[i])
	}
	held := map[marshaler.RunKey]bool{}
	for _, key := range m.Runs {
		held[key] = true
		if sc.placed[key] == 0 && !s.adopt(sc, key) {
			sc.link.Send(&marshaler.Stop{Run: key})
		}
	}
	for _, key := range marshaler.RunsInOrder(sc.placed) {
		if !held[key] && sc.placed[key] < sc.session && s.partitionOf(key.Job) == p.number && s.isKept(key.Job) {
			s.onOutcome(sc, &marshaler.Outcome{Run: key, Status: marshaler.StatusLost, Reason: "not held by the sidecar"})
		}
	}
}

func (s *Submitter) isKept(job string) bool {
	j := s.jobs[job]
	return j != nil && j.keeping.partition != nil
}

// adopt takes over a run of an earlier owner. It returns false for one that must end.
func (s *Submitter) adopt(sc *sidecar, key marshaler.RunKey) bool {
	j := s.jobs[key.Job]
	step, index := key.Task()
	if j == nil || j.keeping.partition == nil || step >= len(j.steps) || index >= len(j.steps[step].tasks) {
		return false
	}
	t := &j.steps[step].tasks[index]
	if t.state != taskUnknown || key.Attempt <= t.attempt {
		return false
	}
	t.state, t.attempt, t.ordered, t.sidecar, t.sidecarN = taskPlaced, key.Attempt, key.Attempt, sc.name, sc.incarnation
	j.unsettled++
	j.steps[step].begun = true
	sc.placed[key] = sc.session
	s.report(Event{Kind: "adopt", Job: j.ID, Queue: j.Queue.Name, Peer: sc.name, Value: int64(key.Index)})
	return true
}
