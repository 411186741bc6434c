package submitter

import (
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/projector"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

// AcquirePartition takes ownership of a partition with its jobs. The store rejects writes to it under a lower epoch.
func (s *Submitter) AcquirePartition(now timer.Millis, taken marshaler.Partition, jobs []*marshaler.JobRecord) {
	s.setNow(now)
	if now >= s.durable.leaseUntil { // the process is about to start a new membership
		if s.OwnershipExpired != nil {
			s.OwnershipExpired(taken.Number)
		}
		return
	}
	p := &partition{number: taken.Number, epoch: taken.Epoch, previous: taken.Previous, runsExpireAt: now + runExpiry}
	s.durable.owned[p.number] = p
	s.noteEpoch(p.number, p.epoch)
	s.updateExpiry()
	open := 0
	for _, record := range jobs {
		j := Job{Steps: record.Steps, Spec: record.Spec}
		if reason := j.invalidStepsReason(); reason != "" { // not written by an entry
			s.report(Event{Kind: "skipRecord", Job: record.ID, Queue: record.Queue, Detail: reason})
			continue
		}
		if state := projector.StateOf(record); state != projector.Open {
			s.durable.finished[record.ID] = &finishedJob{record: record, state: state, since: now, memory: j.finishedMemoryNeed()}
			s.Memory.take(j.finishedMemoryNeed())
			continue
		}
		open++
		s.restoreJob(now, p, record)
	}
	s.moveJobs() // the configuration may have changed since the jobs were accepted
	s.report(Event{Kind: "acquire", Detail: "partition", Value: int64(p.number), Count: int64(open)})
	s.sendClaim([]marshaler.Partition{taken})
	if h := s.durable.handovers[p.number]; h != nil {
		s.applyHandover(p, h)
	}
	s.broadcastOwned()
	s.retryUnrouted()
}

// restoreJob adds an open job of a partition that this entry has acquired.
func (s *Submitter) restoreJob(now timer.Millis, p *partition, record *marshaler.JobRecord) {
	j := jobFromRecord(record)
	j.arrived, j.targetStart, j.expiresAt = now, now, now
	j.durability.partition, j.durability.stored, j.durability.storeRequested, j.durability.writtenAt = p, true, true, now
	j.durability.firstAttempt = p.epoch * attemptsPerEpoch
	j.restoreTasks()
	s.jobs[record.ID] = j
	j.memory = j.memoryNeed()
	s.Memory.take(j.memory)
}

// jobFromRecord returns an active job for a record.
func jobFromRecord(record *marshaler.JobRecord) *job {
	return &job{
		Job: Job{
			ID: record.ID, Kind: Kind{Durable: true}, Spec: record.Spec, Steps: record.Steps,
			Queue: router.Queue{Name: record.Queue, Service: record.Service, AttemptLimit: record.Attempts, Priority: record.Priority},
		},
		steps:      newSteps(record.Steps),
		durability: durableState{record: record, recordingEnds: map[endKey]bool{}},
	}
}

// restoreTasks sets the task states from the job's record. Tasks without a record may be running or have ended.
func (j *job) restoreTasks() {
	for n := range j.steps {
		st := &j.steps[n]
		for i := range st.tasks {
			st.tasks[i].state = taskUnknown
		}
	}
	for _, r := range j.durability.record.Tasks {
		step, index := (marshaler.RunKey{Index: r.Index}).Task()
		if step >= len(j.steps) || index >= len(j.steps[step].tasks) {
			continue
		}
		st := &j.steps[step]
		t := &st.tasks[index]
		t.attempt, t.failures, t.crashes = r.Attempt, r.Failures, slices.Clone(r.Crashes)
		j.hasRun = true
		st.hasCrashed = st.hasCrashed || len(r.Crashes) > 0
		if r.Done {
			t.state = taskDone
			st.done++
		}
	}
	for n := range j.steps {
		if j.steps[n].isComplete() {
			j.done++
		}
	}
}

func (st *step) isComplete() bool { return st.done == len(st.tasks) }

// requeueUnknown queues the tasks of a partition whose state is unknown, except the given ones. The caller ensures that
// they are not running.
func (s *Submitter) requeueUnknown(p *partition, except map[marshaler.RunKey]bool) {
	for _, j := range marshaler.SortedByKey(s.jobs) {
		if j.durability.partition != p {
			continue
		}
		for n := range j.steps {
			st := &j.steps[n]
			for i := range st.tasks {
				if t := &st.tasks[i]; t.state == taskUnknown && !except[marshaler.RunKey{Job: j.ID, Index: marshaler.TaskIndex(n, i)}] {
					t.state = taskQueued
					t.attempt += attemptGap
				}
			}
			s.requestMissing(j, n)
		}
	}
}

// sendClaim tells the sidecars which partitions this entry owns.
func (s *Submitter) sendClaim(partitions []marshaler.Partition) {
	for _, sc := range marshaler.SortedByKey(s.sidecars) {
		if sc.link != nil {
			sc.link.Send(&marshaler.Claim{Partitions: partitions})
		}
	}
}

// ownedPartitions returns the owned partitions, ordered by number.
func (s *Submitter) ownedPartitions() (list []marshaler.Partition) {
	for number, p := range marshaler.SortedByKey(s.durable.owned) {
		list = append(list, marshaler.Partition{Number: number, Epoch: p.epoch, Previous: p.previous})
	}
	return list
}

// onCensus handles a sidecar's list of the runs and ends of a partition.
func (s *Submitter) onCensus(sc *sidecar, m *marshaler.Census) {
	p := s.durable.owned[m.Partition.Number]
	if p == nil || p.epoch != m.Partition.Epoch {
		return
	}
	for i := range m.Ends {
		s.onDurableEnd(sc, &m.Ends[i])
	}
	for i := range m.Crashes {
		s.onReportedCrash(sc, &m.Crashes[i])
	}
	listed := map[marshaler.RunKey]bool{}
	for _, key := range m.Runs {
		listed[key] = true
		if sc.assignedRuns[key] == 0 && !s.adoptRun(sc, key) {
			sc.link.Send(&marshaler.Stop{Run: key})
		}
	}
	for _, key := range marshaler.SortedRunKeys(sc.assignedRuns) {
		if !listed[key] && sc.assignedRuns[key] < sc.session && s.partitionOf(key.Job) == p.number && s.isDurable(key.Job) {
			s.onOutcome(sc, &marshaler.Outcome{Run: key, Status: marshaler.StatusLost, Reason: "not held by the sidecar"})
		}
	}
}

func (s *Submitter) isDurable(job string) bool {
	j := s.jobs[job]
	return j != nil && j.durability.partition != nil
}

// adoptRun takes over a run of a previous owner. It returns false if the run must be stopped.
func (s *Submitter) adoptRun(sc *sidecar, key marshaler.RunKey) bool {
	j := s.jobs[key.Job]
	step, index := key.Task()
	if j == nil || j.durability.partition == nil || step >= len(j.steps) || index >= len(j.steps[step].tasks) {
		return false
	}
	t := &j.steps[step].tasks[index]
	if t.state != taskUnknown || key.Attempt <= t.attempt {
		return false
	}
	t.state, t.attempt, t.issuedAttempt, t.sidecar, t.sidecarIncarnation = taskAssigned, key.Attempt, key.Attempt, sc.name, sc.incarnation
	j.assigned++
	sc.assignedRuns[key] = sc.session
	delete(sc.unwantedRuns, key) // this entry may have stopped it when it lost the partition before
	s.report(Event{Kind: "adopt", Job: j.ID, Queue: j.Queue.Name, Peer: sc.name, Value: int64(key.Index)})
	return true
}
