package submitter

import (
	"github.com/crocuslb/crocuslb/archiver"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

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
