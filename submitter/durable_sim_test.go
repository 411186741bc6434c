package submitter

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/projector"
	"github.com/crocuslb/crocuslb/supervisor"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	testPartitions    = 4
	testMembershipTTL = 1500
	testLease         = 1300
	testJoinInterval  = 400
)

type (
	// fakeStore is a store that assigns partitions to entries and holds their records.
	fakeStore struct {
		w          *simulation
		downUntil  timer.Millis
		lostShare  float64 // share of the writes that are executed but not answered
		generation uint64
		members    map[string]*fakeMember
		owners     [testPartitions]string
		epochs     [testPartitions]uint64
		logs       [testPartitions][][]byte
	}

	fakeMember struct {
		expiresAt timer.Millis
		releasing map[uint64]uint64 // partitions that were assigned to others, with the generation
	}

	// fakeMembership stands in for the process of an entry: it maintains the membership and writes records.
	fakeMembership struct {
		w           *simulation
		e           *fakeEntry
		incarnation uint64
		generation  uint64
		rejoin      bool // the next call starts a new membership
		leaseUntil  timer.Millis
		writers     map[uint64]*fakeWriter
		epochs      map[uint64]uint64 // latest epoch by partition
	}

	fakeWriter struct {
		epoch  uint64
		queue  []fakeWrite
		busy   bool
		closed bool
	}

	fakeWrite struct {
		body []byte
		done func(now timer.Millis, offset uint64)
	}

	// durableChecker checks what backend servers, callers and the store observe of durable jobs.
	durableChecker struct {
		starts     map[string][]timer.Millis // by task
		failures   map[string][]timer.Millis // times of the failures that backend servers may forget, by task
		recordedAt map[string]timer.Millis   // time of the recorded success, by task
		accepted   map[string]bool
		refused    map[string]bool
		tasks      map[string]int
		// cancelled holds the times at which cancellations were acknowledged, by job.
		cancelled map[string]timer.Millis
	}
)

func newDurableSimulation(t *testing.T, seed uint64, entries, sidecars int) *simulation {
	w := newSimulation(t, seed, 0, 0)
	w.store = &fakeStore{w: w, members: map[string]*fakeMember{}}
	w.durable = &durableChecker{
		starts: map[string][]timer.Millis{}, failures: map[string][]timer.Millis{}, recordedAt: map[string]timer.Millis{}, accepted: map[string]bool{}, refused: map[string]bool{},
		tasks: map[string]int{}, cancelled: map[string]timer.Millis{},
	}
	w.startProcesses(entries, sidecars)
	return w
}

func (s *fakeStore) expire() {
	before := len(s.members)
	for name, m := range s.members {
		if s.w.now > m.expiresAt {
			delete(s.members, name)
		}
	}
	if len(s.members) < before {
		s.assignPartitions(0)
	}
}

func (s *fakeStore) assignPartitions(shift int) {
	s.generation++
	var names []string
	for name := range marshaler.SortedByKey(s.members) {
		names = append(names, name)
	}
	for p, owner := range s.owners {
		s.owners[p] = ""
		if len(names) > 0 {
			s.owners[p] = names[(p+shift)%len(names)]
		}
		if m := s.members[owner]; m != nil && s.owners[p] != owner {
			m.releasing[uint64(p)] = s.generation
		}
	}
}

func (s *fakeStore) join(name string, rejoin bool, generation uint64) (uint64, []uint64) {
	s.expire()
	if rejoin && s.members[name] != nil {
		delete(s.members, name)
		s.assignPartitions(0)
	}
	m := s.members[name]
	if m == nil {
		m = &fakeMember{releasing: map[uint64]uint64{}}
		s.members[name] = m
		s.assignPartitions(0)
	}
	m.expiresAt = s.w.now + testMembershipTTL
	for p, g := range m.releasing {
		if generation >= g {
			delete(m.releasing, p)
		}
	}
	var list []uint64
	for p, owner := range s.owners {
		if owner == name && !s.isReleasing(uint64(p), name) {
			list = append(list, uint64(p))
		}
	}
	return s.generation, list
}

func (s *fakeStore) isReleasing(p uint64, except string) bool {
	for name, m := range s.members {
		if _, ok := m.releasing[p]; ok && name != except {
			return true
		}
	}
	return false
}

// startMembership starts the membership of an entry's current incarnation.
func (w *simulation) startMembership(e *fakeEntry) {
	o := &fakeMembership{w: w, e: e, incarnation: e.incarnation, rejoin: true, writers: map[uint64]*fakeWriter{}, epochs: map[uint64]uint64{}}
	e.core.Partitions = testPartitions
	e.core.Record = o.record
	e.core.SetDurableInUse(w.now, true)
	w.schedule(2, o.join)
	w.schedule(50, o.watchLease)
}

func (o *fakeMembership) current() bool { return o.e.incarnation == o.incarnation }

func (o *fakeMembership) join() {
	w := o.w
	w.runOn(&o.e.process, o.current, func() {
		if o.rejoin {
			o.releaseAll(true, "new membership")
		}
		sent, rejoin, generation := w.now, o.rejoin, o.generation
		if w.store.downUntil > w.now {
			w.schedule(100, o.join)
			return
		}
		w.schedule(3, func() {
			next, list := w.store.join(o.e.name, rejoin, generation)
			w.runOn(&o.e.process, o.current, func() { o.joined(sent, next, list) })
		})
	})
}

func (o *fakeMembership) joined(sent timer.Millis, generation uint64, list []uint64) {
	if len(o.writers) > 0 && o.w.now >= o.leaseUntil {
		o.rejoin = true
		o.releaseAll(true, "the lease has ended")
		o.w.schedule(1, o.join)
		return
	}
	o.rejoin, o.generation, o.leaseUntil = false, generation, sent+testLease
	o.e.core.RenewLease(o.w.now, o.leaseUntil)
	delay := timer.Millis(testJoinInterval)
	for p := range marshaler.SortedByKey(o.writers) {
		if !slices.Contains(list, p) {
			o.release(p, false, "assigned to another entry")
			delay = 1
		}
	}
	for _, p := range list {
		if o.writers[p] != nil {
			continue
		}
		if o.epochs[p] == generation { // an epoch is used once
			o.rejoin = true
			o.releaseAll(true, "membership outlived the lease")
			o.w.schedule(1, o.join)
			return
		}
		o.epochs[p], o.writers[p] = generation, &fakeWriter{epoch: generation}
		o.acquire(p, o.writers[p])
	}
	o.w.schedule(delay, o.join)
}

func (o *fakeMembership) watchLease() {
	o.w.runOn(&o.e.process, o.current, func() {
		if len(o.writers) > 0 && o.w.now >= o.leaseUntil {
			o.rejoin = true
			o.releaseAll(true, "the lease has ended")
		}
		o.w.schedule(50, o.watchLease)
	})
}

func (o *fakeMembership) releaseAll(stop bool, reason string) {
	for p := range marshaler.SortedByKey(o.writers) {
		o.release(p, stop, reason)
	}
}

func (o *fakeMembership) release(p uint64, stop bool, reason string) {
	if writer := o.writers[p]; writer != nil {
		writer.closed = true
	}
	delete(o.writers, p)
	o.e.core.ReleasePartition(o.w.now, p, stop, reason)
}

// callStore calls the store repeatedly until it answers. do is executed at most once.
func (o *fakeMembership) callStore(writer *fakeWriter, do func() bool, answered func(ok bool)) {
	w := o.w
	carried, ok := false, false
	var try func()
	try = func() {
		w.runOn(&o.e.process, o.current, func() {
			if writer.closed {
				return
			}
			if w.store.downUntil > w.now {
				w.schedule(50, try)
				return
			}
			w.schedule(4, func() {
				if !carried {
					carried, ok = true, do()
				}
				if w.random.Float64() < w.store.lostShare {
					w.schedule(800, try)
					return
				}
				w.schedule(2, func() {
					w.runOn(&o.e.process, o.current, func() {
						if !writer.closed {
							answered(ok)
						}
					})
				})
			})
		})
	}
	try()
}

func (o *fakeMembership) acquire(p uint64, writer *fakeWriter) {
	store := o.w.store
	o.callStore(writer, func() bool {
		if writer.epoch < store.epochs[p] {
			return false
		}
		store.epochs[p] = writer.epoch
		store.logs[p] = append(store.logs[p], marshaler.Append(nil, &marshaler.OwnerRecord{Epoch: writer.epoch}))
		return true
	}, func(ok bool) {
		if !ok {
			o.onFenced(p)
			return
		}
		o.callStore(writer, func() bool { return true }, func(bool) {
			var a projector.Projection
			for _, body := range store.logs[p] {
				if err := a.Apply(body); err != nil {
					o.w.t.Errorf("record of partition %d: %v", p, err)
				}
			}
			o.e.core.AcquirePartition(o.w.now, marshaler.Partition{Number: p, Epoch: writer.epoch, Previous: a.PreviousEpoch()}, a.Jobs())
			o.e.core.Flush(o.w.now)
		})
	})
}

func (o *fakeMembership) onFenced(p uint64) {
	o.rejoin = true
	o.release(p, true, "fenced by a later owner")
}

func (o *fakeMembership) record(p, epoch uint64, body []byte, done func(now timer.Millis, offset uint64)) {
	writer := o.writers[p]
	if writer == nil || writer.epoch != epoch {
		return
	}
	writer.queue = append(writer.queue, fakeWrite{body, done})
	o.write(p, writer)
}

func (o *fakeMembership) write(p uint64, writer *fakeWriter) {
	if writer.busy || len(writer.queue) == 0 {
		return
	}
	batch := writer.queue
	writer.queue, writer.busy = nil, true
	store := o.w.store
	o.callStore(writer, func() bool {
		if writer.epoch < store.epochs[p] {
			return false
		}
		for _, r := range batch {
			store.logs[p] = append(store.logs[p], r.body)
		}
		return true
	}, func(ok bool) {
		if !ok {
			o.onFenced(p)
			return
		}
		writer.busy = false
		for _, r := range batch {
			r.done(o.w.now, 0)
		}
		o.e.core.Flush(o.w.now)
		o.write(p, writer)
	})
}

// onStart checks a start of a durable job's task.
func (k *durableChecker) onStart(w *simulation, task string) {
	if at, ok := k.recordedAt[task]; ok {
		w.t.Errorf("at %d ms, task %s starts after its success at %d ms was recorded; decisions: %s", w.now, task, at, w.decisionsOf(task))
	}
	job, _, _ := strings.Cut(task, ".")
	if at, ok := k.cancelled[job]; ok && w.now > at+cancelDelay {
		w.t.Errorf("at %d ms, task %s starts although its job was cancelled at %d ms; decisions: %s", w.now, task, at, w.decisionsOf(task))
	}
	k.starts[task] = append(k.starts[task], w.now)
	k.checkFailures(w, task)
}

// onRecordedFailure checks a failure that the backend server may forget. It is ignored if the lease has expired since.
func (k *durableChecker) onRecordedFailure(w *simulation, task string, ended, lapsed timer.Millis) {
	if lapsed <= ended {
		k.failures[task] = append(k.failures[task], ended)
		k.checkFailures(w, task)
	}
}

// checkFailures checks that no start of a task followed as many failures as its queue allows.
func (k *durableChecker) checkFailures(w *simulation, task string) {
	for _, at := range k.starts[task] {
		before := 0
		for _, ended := range k.failures[task] {
			if ended < at {
				before++
			}
		}
		if before >= int(testQueue.AttemptLimit) {
			w.t.Errorf("at %d ms, task %s has a start at %d ms after %d recorded failures; decisions: %s", w.now, task, at, before, w.decisionsOf(task))
		}
	}
}

// onForgotten checks an end that the backend server may forget.
func (k *durableChecker) onForgotten(b *fakeBackend, e supervisor.EndedRun) {
	switch e.Status {
	case marshaler.StatusDone:
		k.onRecordedEnd(b.w, taskOf(e.Run), b.endedAt[e.Number], b.leaseExpiredAt)
	case marshaler.StatusFailed:
		k.onRecordedFailure(b.w, taskOf(e.Run), b.endedAt[e.Number], b.leaseExpiredAt)
	}
}

// onRecordedEnd checks a success that the backend server may forget. It is ignored if the lease has expired since.
func (k *durableChecker) onRecordedEnd(w *simulation, task string, ended, lapsed timer.Millis) {
	if lapsed > ended {
		return
	}
	for _, at := range k.starts[task] {
		if at > ended {
			w.t.Errorf("at %d ms, the success of task %s at %d ms was recorded, but the task was restarted at %d ms; decisions: %s", w.now, task, ended, at, w.decisionsOf(task))
		}
	}
	k.recordedAt[task] = ended
}

func (w *simulation) decisionsOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return fmt.Sprint(w.faults) + strings.Join(w.decisions[job], "\n")
}

// submitDurable submits a durable job, and submits it again to another entry while its acceptance is unknown.
func (w *simulation) submitDurable(id string, steps []marshaler.Step, tries int) {
	e := w.entries[w.random.IntN(len(w.entries))]
	incarnation, answered := e.incarnation, false
	resubmit := func() {
		if !answered && tries > 0 {
			answered = true
			w.submitDurable(id, steps, tries-1)
		}
	}
	w.schedule(2600, resubmit)
	w.runOn(&e.process, func() bool { return e.incarnation == incarnation }, func() {
		e.core.Submit(w.now, Job{
			ID: id, Kind: Kind{Durable: true}, Queue: testQueue, Steps: steps, Deadline: 2000,
			Answer: func(a Answer) {
				if answered || e.incarnation != incarnation {
					return
				}
				switch a.Kind {
				case AnswerAccepted:
					answered = true
					w.durable.accepted[id] = true
					for n := range 8 {
						w.schedule(visibilityDelay+timer.Millis(600*n), func() { w.pollDurable(id) })
					}
				case AnswerNotRun:
					answered = true
					w.durable.refused[id] = tries == maxSubmissions // an earlier submission may have been stored
				default:
					w.schedule(1300, resubmit)
				}
			},
		})
		e.core.Flush(w.now)
	})
}

// pollDurable requests the state of an accepted job from a random entry.
func (w *simulation) pollDurable(id string) {
	e := w.entries[w.random.IntN(len(w.entries))]
	incarnation := e.incarnation
	w.runOn(&e.process, func() bool { return e.incarnation == incarnation }, func() {
		e.core.State(w.now, testQueue.Name, id, func(a Answer) {
			if a.Kind == AnswerNotFound {
				w.t.Errorf("at %d ms, %s does not know job %s, which was accepted; decisions: %s", w.now, e.name, id, w.decisionsOf(id))
			}
		})
	})
}

// cancelDurable requests the cancellation of a job from a random entry.
func (w *simulation) cancelDurable(id string) {
	e := w.entries[w.random.IntN(len(w.entries))]
	incarnation := e.incarnation
	w.runOn(&e.process, func() bool { return e.incarnation == incarnation }, func() {
		e.core.Cancel(w.now, testQueue.Name, id, func(a Answer) {
			if a.Kind == AnswerCancelled && e.incarnation == incarnation {
				w.durable.cancelled[id] = w.now
			}
		})
	})
}

const (
	maxSubmissions = 5
	// visibilityDelay is the time after its acceptance during which a job may be unknown to other entries.
	visibilityDelay = 200
	// cancelDelay is the time after an acknowledged cancellation during which starts may still be in flight.
	cancelDelay = 3000
)

func (w *simulation) scheduleDurableJobs(from, to timer.Millis, every int) (ids []string) {
	for at := from; at < to; at += timer.Millis(1 + w.random.IntN(2*every)) {
		id := fmt.Sprintf("kept-%d", w.sequence)
		w.sequence++
		room := marshaler.Resources{CPU: 3000, MemoryMB: 64}
		steps := []marshaler.Step{{Tasks: uint64(1 + w.random.IntN(4)), Resources: room, Estimate: timer.Millis(30 + w.random.IntN(200))}}
		if w.random.IntN(3) == 0 {
			steps = append(steps, marshaler.Step{Tasks: 1, Resources: room, Estimate: timer.Millis(30 + w.random.IntN(100)), After: []uint64{0}})
		}
		if w.random.IntN(6) == 0 { // still runs when a cut heals or a job is cancelled after a task was started again
			steps[0].Estimate = timer.Millis(800 + w.random.IntN(1000))
		}
		ids = append(ids, id)
		w.limitServers(id, int(steps[0].Tasks))
		for n := range steps {
			steps[n].ServerTaskLimit = w.serverLimit[id]
			w.durable.tasks[id] += int(steps[n].Tasks)
		}
		w.failing[taskOf(marshaler.RunKey{Job: id})] = w.random.IntN(10) == 0
		w.schedule(at, func() { w.submitDurable(id, steps, maxSubmissions) })
		if w.random.IntN(5) == 0 {
			limit := []int{400, 4000}[w.random.IntN(2)] // a late one meets tasks that were started again after a cut
			w.schedule(at+timer.Millis(w.random.IntN(limit)), func() { w.cancelDurable(id) })
		}
	}
	return ids
}

// TestDurableJobFaults injects faults into entries, sidecars, backend servers, sessions and the store. It guards against
// tasks of durable jobs that run twice at once or after their success was recorded, accepted jobs that are lost, and
// refused jobs that run.
func TestDurableJobFaults(t *testing.T) {
	common := commonFaults(2500, 3000, 4000)
	kinds := []fault{
		{"none", func(*simulation) {}}, common["entry killed"], common["sidecar killed"], common["entry paused"], common["sidecar paused"],
		common["backend server crashed"],
		{"store down", func(w *simulation) { w.store.downUntil = w.now + timer.Millis(w.random.IntN(3000)) }},
		{"answers of the store lost", func(w *simulation) { w.store.lostShare = 0.2 }},
		{"partitions dealt anew", func(w *simulation) { w.store.assignPartitions(1 + w.random.IntN(2)) }},
		common["link cut"], common["sessions reset"],
		{"orders carried out late", func(w *simulation) { w.lostShare, w.executeLate = 0.05, true }},
		{"all killed", func(w *simulation) {
			for _, e := range w.entries {
				w.killEntry(e, timer.Millis(100+w.random.IntN(600)))
			}
			for _, s := range w.sidecars {
				w.killSidecar(s, timer.Millis(100+w.random.IntN(600)))
			}
		}},
	}
	run := func(t *testing.T, seed uint64, faults int, pick func(w *simulation) int) {
		w := newDurableSimulation(t, seed, 3, 4)
		w.advance(2500)
		ids := append(w.scheduleDurableJobs(0, 4000, 25), w.scheduleDurableJobs(8000, 9000, 50)...)
		w.schedule(4500, func() {
			w.clearFaults()
			w.store.lostShare = 0
		})
		for n := range faults {
			w.schedule(timer.Millis(200+4000*n/faults), func() {
				k := kinds[pick(w)]
				w.faults = append(w.faults, fmt.Sprintf("%s at %d", k.name, w.now))
				k.inject(w)
			})
		}
		w.advance(16_000)
		w.checkDurable(ids)
	}
	for i := range kinds {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%s/%d", kinds[i].name, seed), func(t *testing.T) {
				run(t, 900*uint64(i)+seed, 3, func(*simulation) int { return i })
			})
		}
	}
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("mixed/%d", seed), func(t *testing.T) {
			run(t, 70_000+seed, 9, func(w *simulation) int { return w.random.IntN(len(kinds)) })
		})
	}
}

// checkDurable checks the state of all jobs at every entry long after the faults.
func (w *simulation) checkDurable(ids []string) {
	w.t.Helper()
	for _, id := range ids {
		for _, e := range w.entries {
			got := AnswerKind(0)
			e.core.State(w.now, testQueue.Name, id, func(a Answer) { got = a.Kind })
			w.advance(10)
			switch {
			case w.durable.cancelled[id] > 0 && got != AnswerDone && got != AnswerFailed && got != AnswerCancelled:
				w.t.Errorf("cancelled job %s at %s: got state %s, want its end; decisions: %s", id, e.name, got, w.decisionsOf(id))
			case w.durable.cancelled[id] > 0:
			case w.durable.accepted[id] && got != AnswerDone && got != AnswerFailed && got != AnswerCancelled:
				w.t.Errorf("accepted job %s at %s: got state %s, want done or failed; decisions: %s", id, e.name, got, w.decisionsOf(id))
			case w.durable.refused[id] && got != AnswerNotFound:
				w.t.Errorf("refused job %s at %s: got state %s, want none; decisions: %s", id, e.name, got, w.decisionsOf(id))
			}
			if got == AnswerDone {
				w.checkRan(id)
			}
		}
		if w.durable.refused[id] && w.startedRuns[id] > 0 {
			w.t.Errorf("job %s: got %d runs although it was refused; decisions: %s", id, w.startedRuns[id], w.decisionsOf(id))
		}
	}
	for task, n := range w.activeRuns {
		if n != 0 {
			w.t.Errorf("task %s: got %d runs long after the faults, want 0; decisions: %s", task, n, w.decisionsOf(task))
		}
	}
}

// checkRan checks that every task of a job that is reported as done has run.
func (w *simulation) checkRan(id string) {
	ran := 0
	for task := range w.durable.starts {
		if strings.HasPrefix(task, id+".") {
			ran++
		}
	}
	if ran != w.durable.tasks[id] {
		w.t.Errorf("job %s is done: got %d tasks that ran, want %d", id, ran, w.durable.tasks[id])
	}
}
