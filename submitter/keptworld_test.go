package submitter

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/archiver"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	testPartitions = 4
	testTTL        = 1500
	testLease      = 1300
	testJoin       = 400
)

type (
	// fakeStore is a store that deals partitions to entries and keeps their records.
	fakeStore struct {
		w          *world
		down       timer.Millis // until
		lost       float64      // share of the writes that are carried out and get no answer
		generation uint64
		members    map[string]*fakeMember
		holders    [testPartitions]string
		epochs     [testPartitions]uint64
		logs       [testPartitions][][]byte
	}

	fakeMember struct {
		until  timer.Millis
		losing map[uint64]uint64 // partitions that were taken away, with the generation
	}

	// fakeOwner does for an entry what its process does: it keeps its membership and writes records.
	fakeOwner struct {
		w          *world
		e          *fakeEntry
		life       uint64
		generation uint64
		fresh      bool // the next call begins a new membership
		until      timer.Millis
		writers    map[uint64]*fakeWriter
	}

	fakeWriter struct {
		epoch uint64
		queue []fakeWrite
		busy  bool
		over  bool
	}

	fakeWrite struct {
		body []byte
		done func(now timer.Millis, offset uint64)
	}

	// keptWatch checks what backend servers, callers and the store see of kept jobs.
	keptWatch struct {
		starts   map[string][]timer.Millis // by task
		notedAt  map[string]timer.Millis   // time of the end with success that counts, by task
		accepted map[string]bool
		refused  map[string]bool
		tasks    map[string]int
		// cancelled has the times at which cancellations were acknowledged, by job.
		cancelled map[string]timer.Millis
	}
)

func newKeptWorld(t *testing.T, seed uint64, entries, sidecars int) *world {
	w := newWorld(t, seed, 0, 0)
	w.store = &fakeStore{w: w, members: map[string]*fakeMember{}}
	w.kept = &keptWatch{
		starts: map[string][]timer.Millis{}, notedAt: map[string]timer.Millis{}, accepted: map[string]bool{}, refused: map[string]bool{},
		tasks: map[string]int{}, cancelled: map[string]timer.Millis{},
	}
	w.populate(entries, sidecars)
	return w
}

func (s *fakeStore) expire() {
	before := len(s.members)
	for name, m := range s.members {
		if s.w.now > m.until {
			delete(s.members, name)
		}
	}
	if len(s.members) < before {
		s.deal(0)
	}
}

func (s *fakeStore) deal(shift int) {
	s.generation++
	var names []string
	for name := range marshaler.InOrder(s.members) {
		names = append(names, name)
	}
	for p, holder := range s.holders {
		s.holders[p] = ""
		if len(names) > 0 {
			s.holders[p] = names[(p+shift)%len(names)]
		}
		if m := s.members[holder]; m != nil && s.holders[p] != holder {
			m.losing[uint64(p)] = s.generation
		}
	}
}

func (s *fakeStore) join(name string, fresh bool, generation uint64) (uint64, []uint64) {
	s.expire()
	if fresh && s.members[name] != nil {
		delete(s.members, name)
		s.deal(0)
	}
	m := s.members[name]
	if m == nil {
		m = &fakeMember{losing: map[uint64]uint64{}}
		s.members[name] = m
		s.deal(0)
	}
	m.until = s.w.now + testTTL
	for p, g := range m.losing {
		if generation >= g {
			delete(m.losing, p)
		}
	}
	var list []uint64
	for p, holder := range s.holders {
		if holder == name && !s.losing(uint64(p), name) {
			list = append(list, uint64(p))
		}
	}
	return s.generation, list
}

func (s *fakeStore) losing(p uint64, but string) bool {
	for name, m := range s.members {
		if _, ok := m.losing[p]; ok && name != but {
			return true
		}
	}
	return false
}

// start begins the membership of an entry's current life.
func (w *world) startOwner(e *fakeEntry) {
	o := &fakeOwner{w: w, e: e, life: e.life, fresh: true, writers: map[uint64]*fakeWriter{}}
	e.core.Partitions = testPartitions
	e.core.Record = o.record
	e.core.SetKept(w.now, true)
	w.after(2, o.join)
	w.after(50, o.watch)
}

func (o *fakeOwner) current() bool { return o.e.life == o.life }

func (o *fakeOwner) join() {
	w := o.w
	w.act(&o.e.process, o.current, func() {
		if o.fresh {
			o.releaseAll(true, "new membership")
		}
		sent, fresh, generation := w.now, o.fresh, o.generation
		if w.store.down > w.now {
			w.after(100, o.join)
			return
		}
		w.after(3, func() {
			next, list := w.store.join(o.e.name, fresh, generation)
			w.act(&o.e.process, o.current, func() { o.joined(sent, next, list) })
		})
	})
}

func (o *fakeOwner) joined(sent timer.Millis, generation uint64, list []uint64) {
	if len(o.writers) > 0 && o.w.now >= o.until {
		o.fresh = true
		o.releaseAll(true, "the lease has ended")
		o.w.after(1, o.join)
		return
	}
	o.fresh, o.generation, o.until = false, generation, sent+testLease
	o.e.core.Renew(o.w.now, o.until)
	pause := timer.Millis(testJoin)
	for p := range marshaler.InOrder(o.writers) {
		if !slices.Contains(list, p) {
			o.release(p, false, "dealt to another")
			pause = 1
		}
	}
	for _, p := range list {
		if o.writers[p] == nil {
			o.writers[p] = &fakeWriter{epoch: generation}
			o.acquire(p, o.writers[p])
		}
	}
	o.w.after(pause, o.join)
}

func (o *fakeOwner) watch() {
	o.w.act(&o.e.process, o.current, func() {
		if len(o.writers) > 0 && o.w.now >= o.until {
			o.fresh = true
			o.releaseAll(true, "the lease has ended")
		}
		o.w.after(50, o.watch)
	})
}

func (o *fakeOwner) releaseAll(stop bool, reason string) {
	for p := range marshaler.InOrder(o.writers) {
		o.release(p, stop, reason)
	}
}

func (o *fakeOwner) release(p uint64, stop bool, reason string) {
	if writer := o.writers[p]; writer != nil {
		writer.over = true
	}
	delete(o.writers, p)
	o.e.core.Release(o.w.now, p, stop, reason)
}

// attempt calls the store, again and again until it answers. do is carried out at most once.
func (o *fakeOwner) attempt(writer *fakeWriter, do func() bool, answered func(ok bool)) {
	w := o.w
	carried, ok := false, false
	var try func()
	try = func() {
		w.act(&o.e.process, o.current, func() {
			if writer.over {
				return
			}
			if w.store.down > w.now {
				w.after(50, try)
				return
			}
			w.after(4, func() {
				if !carried {
					carried, ok = true, do()
				}
				if w.random.Float64() < w.store.lost {
					w.after(800, try)
					return
				}
				w.after(2, func() {
					w.act(&o.e.process, o.current, func() {
						if !writer.over {
							answered(ok)
						}
					})
				})
			})
		})
	}
	try()
}

func (o *fakeOwner) acquire(p uint64, writer *fakeWriter) {
	store := o.w.store
	o.attempt(writer, func() bool {
		if writer.epoch < store.epochs[p] {
			return false
		}
		store.epochs[p] = writer.epoch
		store.logs[p] = append(store.logs[p], marshaler.Append(nil, &marshaler.OwnerRecord{Epoch: writer.epoch}))
		return true
	}, func(ok bool) {
		if !ok {
			o.lose(p)
			return
		}
		o.attempt(writer, func() bool { return true }, func(bool) {
			var a archiver.Archive
			for _, body := range store.logs[p] {
				if err := a.Add(body); err != nil {
					o.w.t.Errorf("record of partition %d: %v", p, err)
				}
			}
			o.e.core.Acquire(o.w.now, marshaler.Partition{Number: p, Epoch: writer.epoch, Previous: a.Previous()}, a.Jobs())
			o.e.core.Flush(o.w.now)
		})
	})
}

func (o *fakeOwner) lose(p uint64) {
	o.fresh = true
	o.release(p, true, "a later owner")
}

func (o *fakeOwner) record(p, epoch uint64, body []byte, done func(now timer.Millis, offset uint64)) {
	writer := o.writers[p]
	if writer == nil || writer.epoch != epoch {
		return
	}
	writer.queue = append(writer.queue, fakeWrite{body, done})
	o.write(p, writer)
}

func (o *fakeOwner) write(p uint64, writer *fakeWriter) {
	if writer.busy || len(writer.queue) == 0 {
		return
	}
	batch := writer.queue
	writer.queue, writer.busy = nil, true
	store := o.w.store
	o.attempt(writer, func() bool {
		if writer.epoch < store.epochs[p] {
			return false
		}
		for _, r := range batch {
			store.logs[p] = append(store.logs[p], r.body)
		}
		return true
	}, func(ok bool) {
		if !ok {
			o.lose(p)
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

// onStart checks a start of a kept job's task.
func (k *keptWatch) onStart(w *world, task string) {
	if at, ok := k.notedAt[task]; ok {
		w.t.Errorf("at %d ms, task %s starts after its end at %d ms counted; decisions: %s", w.now, task, at, w.trailOf(task))
	}
	job, _, _ := strings.Cut(task, ".")
	if at, ok := k.cancelled[job]; ok && w.now > at+cancelTime {
		w.t.Errorf("at %d ms, task %s starts, though its job was cancelled at %d ms; decisions: %s", w.now, task, at, w.trailOf(task))
	}
	k.starts[task] = append(k.starts[task], w.now)
}

// onNoted checks an end with success that the backend server may forget. It does not count when the lease lapsed since.
func (k *keptWatch) onNoted(w *world, task string, ended, lapsed timer.Millis) {
	if lapsed > ended {
		return
	}
	for _, at := range k.starts[task] {
		if at > ended {
			w.t.Errorf("at %d ms, the end of task %s at %d ms counts, but it was started again at %d ms; decisions: %s", w.now, task, ended, at, w.trailOf(task))
		}
	}
	k.notedAt[task] = ended
}

func (w *world) trailOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return fmt.Sprint(w.faults) + strings.Join(w.trail[job], "\n")
}

// submitKept hands a kept job in, and again elsewhere while it is not known whether it was accepted.
func (w *world) submitKept(id string, steps []marshaler.Step, tries int) {
	e := w.entries[w.random.IntN(len(w.entries))]
	life, answered := e.life, false
	again := func() {
		if !answered && tries > 0 {
			answered = true
			w.submitKept(id, steps, tries-1)
		}
	}
	w.after(2600, again)
	w.act(&e.process, func() bool { return e.life == life }, func() {
		e.core.Submit(w.now, Job{
			ID: id, Kind: Kind{Kept: true}, Queue: testQueue, Steps: steps, Deadline: 2000,
			Answer: func(a Answer) {
				if answered || e.life != life {
					return
				}
				switch a.Kind {
				case AnswerAccepted:
					answered = true
					w.kept.accepted[id] = true
					for n := range 8 {
						w.after(visibleTime+timer.Millis(600*n), func() { w.pollKept(id) })
					}
				case AnswerNotRun:
					answered = true
					w.kept.refused[id] = tries == keptTries // an earlier attempt may have been stored
				default:
					w.after(1300, again)
				}
			},
		})
		e.core.Flush(w.now)
	})
}

// pollKept asks an entry for the state of an accepted job.
func (w *world) pollKept(id string) {
	e := w.entries[w.random.IntN(len(w.entries))]
	life := e.life
	w.act(&e.process, func() bool { return e.life == life }, func() {
		e.core.State(w.now, testQueue.Name, id, func(a Answer) {
			if a.Kind == AnswerGone {
				w.t.Errorf("at %d ms, %s does not know job %s, which was accepted; decisions: %s", w.now, e.name, id, w.trailOf(id))
			}
		})
	})
}

// cancelKept asks an entry to cancel a job.
func (w *world) cancelKept(id string) {
	e := w.entries[w.random.IntN(len(w.entries))]
	life := e.life
	w.act(&e.process, func() bool { return e.life == life }, func() {
		e.core.Cancel(w.now, testQueue.Name, id, func(a Answer) {
			if a.Kind == AnswerCancelled && e.life == life {
				w.kept.cancelled[id] = w.now
			}
		})
	})
}

const (
	keptTries = 5
	// visibleTime is the time after its acceptance in which a job may be unknown to other entries.
	visibleTime = 200
	// cancelTime is the time after an acknowledged cancellation in which starts may still be on their way.
	cancelTime = 3000
)

func (w *world) keptLoad(from, to timer.Millis, every int) (ids []string) {
	for at := from; at < to; at += timer.Millis(1 + w.random.IntN(2*every)) {
		id := fmt.Sprintf("kept-%d", w.sequence)
		w.sequence++
		room := marshaler.Room{CPU: 3000, MemoryMB: 64}
		steps := []marshaler.Step{{Tasks: uint64(1 + w.random.IntN(4)), Room: room, Estimate: timer.Millis(30 + w.random.IntN(200))}}
		if w.random.IntN(3) == 0 {
			steps = append(steps, marshaler.Step{Tasks: 1, Room: room, Estimate: timer.Millis(30 + w.random.IntN(100)), After: []uint64{0}})
		}
		ids = append(ids, id)
		for n := range steps {
			w.kept.tasks[id] += int(steps[n].Tasks)
		}
		w.after(at, func() { w.submitKept(id, steps, keptTries) })
		if w.random.IntN(5) == 0 {
			w.after(at+timer.Millis(w.random.IntN(400)), func() { w.cancelKept(id) })
		}
	}
	return ids
}

// TestKeptFaults injects faults into entries, sidecars, backend servers, sessions and the store, and guards against tasks
// of kept jobs that run twice or after their end counted, accepted jobs that get lost, and refused ones that run.
func TestKeptFaults(t *testing.T) {
	common := commonFaults(2500, 3000, 4000)
	kinds := []fault{
		{"none", func(*world) {}}, common["entry killed"], common["sidecar killed"], common["entry paused"], common["sidecar paused"],
		common["backend server crashed"],
		{"store down", func(w *world) { w.store.down = w.now + timer.Millis(w.random.IntN(3000)) }},
		{"answers of the store lost", func(w *world) { w.store.lost = 0.2 }},
		{"partitions dealt anew", func(w *world) { w.store.deal(1 + w.random.IntN(2)) }},
		common["link cut"], common["sessions reset"],
		{"orders carried out late", func(w *world) { w.lost, w.late = 0.05, true }},
		{"all killed", func(w *world) {
			for _, e := range w.entries {
				w.killEntry(e, timer.Millis(100+w.random.IntN(600)))
			}
			for _, s := range w.sidecars {
				w.killSidecar(s, timer.Millis(100+w.random.IntN(600)))
			}
		}},
	}
	run := func(t *testing.T, seed uint64, faults int, pick func(w *world) int) {
		w := newKeptWorld(t, seed, 3, 4)
		w.run(2500)
		ids := append(w.keptLoad(0, 4000, 25), w.keptLoad(8000, 9000, 50)...)
		w.after(4500, func() {
			w.heal()
			w.store.lost = 0
		})
		for n := range faults {
			w.after(timer.Millis(200+4000*n/faults), func() {
				k := kinds[pick(w)]
				w.faults = append(w.faults, fmt.Sprintf("%s at %d", k.name, w.now))
				k.inject(w)
			})
		}
		w.run(16_000)
		w.checkKept(ids)
	}
	for i := range kinds {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%s/%d", kinds[i].name, seed), func(t *testing.T) {
				run(t, 900*uint64(i)+seed, 3, func(*world) int { return i })
			})
		}
	}
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("mixed/%d", seed), func(t *testing.T) {
			run(t, 70_000+seed, 9, func(w *world) int { return w.random.IntN(len(kinds)) })
		})
	}
}

// checkKept asks every entry for the state of all jobs long after the faults.
func (w *world) checkKept(ids []string) {
	w.t.Helper()
	for _, id := range ids {
		for _, e := range w.entries {
			got := AnswerKind(0)
			e.core.State(w.now, testQueue.Name, id, func(a Answer) { got = a.Kind })
			w.run(10)
			switch {
			case w.kept.cancelled[id] > 0 && got != AnswerDone && got != AnswerFailed && got != AnswerCancelled:
				w.t.Errorf("cancelled job %s at %s: got state %s, want its end; decisions: %s", id, e.name, got, w.trailOf(id))
			case w.kept.cancelled[id] > 0:
			case w.kept.accepted[id] && got != AnswerDone && got != AnswerFailed && got != AnswerCancelled:
				w.t.Errorf("accepted job %s at %s: got state %s, want done or failed; decisions: %s", id, e.name, got, w.trailOf(id))
			case w.kept.refused[id] && got != AnswerGone:
				w.t.Errorf("refused job %s at %s: got state %s, want none; decisions: %s", id, e.name, got, w.trailOf(id))
			}
			if got == AnswerDone {
				w.checkRan(id)
			}
		}
		if w.kept.refused[id] && w.started[id] > 0 {
			w.t.Errorf("job %s: got %d runs, though it was refused; decisions: %s", id, w.started[id], w.trailOf(id))
		}
	}
	for task, n := range w.running {
		if n != 0 {
			w.t.Errorf("task %s: got %d runs long after the faults, want 0; decisions: %s", task, n, w.trailOf(task))
		}
	}
}

// checkRan guards against jobs that are shown as done while a task never ran.
func (w *world) checkRan(id string) {
	ran := 0
	for task := range w.kept.starts {
		if strings.HasPrefix(task, id+".") {
			ran++
		}
	}
	if ran != w.kept.tasks[id] {
		w.t.Errorf("job %s is done: got %d tasks that ran, want %d", id, ran, w.kept.tasks[id])
	}
}
