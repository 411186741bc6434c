package submitter

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/keeper"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

var errCut = errors.New("cut")

type (
	// world runs real entry and sidecar cores in virtual time, with fakes of sessions and backend servers.
	world struct {
		t        *testing.T
		random   *rand.Rand
		now      timer.Millis
		events   []event
		sequence int
		entries  []*fakeEntry
		sidecars []*fakeSidecar
		// runs of each task at this moment, over all backend servers that are up.
		running map[string]int
		answers map[string][]Answer
		started map[string]int // runs that began, by job
		// lost is the share of orders to backend servers that get no answer; late says that they are carried out later.
		lost   float64
		late   bool
		faults []string
		links  []*fakeLink
		jobs   map[string]fakeJob
		resent map[string]bool
		// trail has the decisions on each job, and about processes under the empty name.
		trail map[string][]string
		// store and kept are there in a world with kept jobs.
		store *fakeStore
		kept  *keptWatch
	}

	// fakeLink is an open session between an entry and a sidecar. A cut holds its messages up, as TCP does.
	fakeLink struct {
		end      func(error)
		cutUntil timer.Millis
	}

	fakeJob struct {
		entry    *fakeEntry
		tasks    int
		estimate timer.Millis
	}

	event struct {
		at  timer.Millis
		seq int
		do  func()
	}

	process struct {
		alive  bool
		paused timer.Millis // until
	}

	fakeEntry struct {
		process
		name string
		life uint64
		core *Submitter
	}

	fakeSidecar struct {
		process
		name    string
		life    uint64
		core    *keeper.Keeper
		backend *fakeBackend
	}

	// fakeBackend is a backend server that guards its room and runs tasks under a lease.
	fakeBackend struct {
		w       *world
		up      bool
		id      string
		born    uint64
		room    marshaler.Room
		lease   timer.Millis
		runs    map[marshaler.RunKey]*fakeRun
		ended   []keeper.End
		blocked map[string]uint64 // highest attempt that was stopped or has ended, by task
		number  uint64
		waiting []func() // holds that wait for an end
		stuck   timer.Millis
		factor  float64
		lapsed  timer.Millis            // time at which the lease ended last
		endedAt map[uint64]timer.Millis // by number
	}

	fakeRun struct {
		room       marshaler.Room
		began, end timer.Millis
	}
)

const (
	linkDelay = 2
	// resendPause is how long callers wait before they send a job again after a broken connection.
	resendPause = 1300
)

func newWorld(t *testing.T, seed uint64, entries, sidecars int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: 100_000, running: map[string]int{}, answers: map[string][]Answer{}, jobs: map[string]fakeJob{}, resent: map[string]bool{}, trail: map[string][]string{},
		started: map[string]int{},
	}
	w.populate(entries, sidecars)
	return w
}

// populate starts the processes.
func (w *world) populate(entries, sidecars int) {
	for i := range sidecars {
		s := &fakeSidecar{name: fmt.Sprintf("side-%d", i)}
		s.backend = &fakeBackend{w: w, id: s.name + "-server", room: marshaler.Room{CPU: 32_000, MemoryMB: 64_000}, factor: 1}
		w.sidecars = append(w.sidecars, s)
		s.backend.restart()
		w.startSidecar(s)
	}
	for i := range entries {
		e := &fakeEntry{name: fmt.Sprintf("entry-%d", i)}
		w.entries = append(w.entries, e)
		w.startEntry(e)
	}
}

func (w *world) after(d timer.Millis, do func()) {
	w.sequence++
	w.events = append(w.events, event{w.now + d, w.sequence, do})
}

// run moves the time forward by d.
func (w *world) run(d timer.Millis) {
	for until := w.now + d; w.now < until; w.now++ {
		for {
			next := -1
			for i, e := range w.events {
				if e.at <= w.now && (next < 0 || e.at < w.events[next].at || e.at == w.events[next].at && e.seq < w.events[next].seq) {
					next = i
				}
			}
			if next < 0 {
				break
			}
			do := w.events[next].do
			w.events = slices.Delete(w.events, next, next+1)
			do()
		}
		for _, s := range w.sidecars {
			s.backend.step()
		}
	}
}

// act runs do for a process that is alive, after its pause if it is paused.
func (w *world) act(p *process, life func() bool, do func()) {
	switch {
	case !p.alive || !life():
	case p.paused > w.now:
		w.after(p.paused-w.now, func() { w.act(p, life, do) })
	default:
		do()
	}
}

// delayTick puts the first tick after a pause up to a tick's period behind it, so that messages that came meanwhile may be
// handled before it.
func (w *world) delayTick(p *process, tick func()) bool {
	if p.paused <= w.now {
		return false
	}
	w.after(p.paused-w.now+timer.Millis(w.random.IntN(25)), tick)
	return true
}

func (w *world) startEntry(e *fakeEntry) {
	e.life++
	e.alive, e.paused = true, 0
	e.core = &Submitter{Name: e.name, Incarnation: e.life, Weight: 400, Report: func(v Event) {
		w.trail[v.Job] = append(w.trail[v.Job], fmt.Sprintf("%d %s %s %s %s %d", w.now, e.name, v.Kind, v.Peer, v.Detail, v.Value))
	}}
	e.core.SetSnapshot(w.now, testSnapshot())
	if w.store != nil {
		w.startOwner(e)
	} else {
		e.core.SetKept(w.now, false) // sessions may be idle
	}
	life := e.life
	var tick func()
	tick = func() {
		if w.delayTick(&e.process, tick) {
			return
		}
		w.act(&e.process, func() bool { return e.life == life }, func() {
			e.core.Tick(w.now)
			w.after(25, tick)
		})
	}
	w.after(1, tick)
	for _, s := range w.sidecars {
		w.connect(e, s)
	}
	for _, o := range w.entries {
		if o != e {
			w.connectEntries(e, o)
		}
	}
}

func (w *world) startSidecar(s *fakeSidecar) {
	s.life++
	s.alive, s.paused = true, 0
	life := s.life
	current := func() bool { return s.life == life }
	k := &keeper.Keeper{Partitions: testPartitions, Report: func(v keeper.Event) {
		w.trail[v.Run.Job] = append(w.trail[v.Run.Job], fmt.Sprintf("%d %s %s %s task %d.%d %s", w.now, s.name, v.Kind, v.Entry, v.Run.Index, v.Run.Attempt, v.Detail))
	}}
	s.core = k
	k.Start = func(m marshaler.Start) {
		s.backend.order(func(answered bool) {
			started := s.backend.start(m)
			if !answered {
				return
			}
			w.act(&s.process, current, func() { k.OnStarted(w.now, started) })
		}, func() {
			w.act(&s.process, current, func() {
				k.OnStarted(w.now, keeper.Started{Run: m.Run, Status: keeper.StartUnknown, Reason: "timeout"})
			})
		})
	}
	k.Stop = func(r marshaler.RunKey) {
		s.backend.order(func(answered bool) {
			s.backend.stop(r)
			if answered {
				w.act(&s.process, current, func() { k.OnStopped(w.now, r, true, false) })
			}
		}, func() { w.act(&s.process, current, func() { k.OnStopped(w.now, r, false, !s.backend.up) }) })
	}
	hold := func(wait timer.Millis, done func()) {
		h, ok := k.BeginHold(w.now)
		if !ok {
			done()
			return
		}
		pause := timer.Millis(0)
		if h.Unrecorded && wait > 0 {
			pause = 10
		}
		w.after(pause, func() {
			s.backend.hold(h, wait, func(l keeper.Listing, err error) {
				w.act(&s.process, current, func() {
					if err != nil {
						k.OnHoldFailed(w.now, !s.backend.up, err.Error())
					} else {
						k.OnListing(w.now, l)
					}
					done()
				})
			})
		})
	}
	k.Look = func() { hold(0, func() {}) }
	var loop, tick, beat func()
	loop = func() { hold(60, func() { w.after(1, loop) }) }
	tick = func() {
		if w.delayTick(&s.process, tick) {
			return
		}
		w.act(&s.process, current, func() {
			k.Tick(w.now)
			w.after(25, tick)
		})
	}
	sequence := uint64(0)
	beat = func() {
		w.act(&s.process, current, func() {
			if s.backend.up {
				sequence++
				k.Announce(w.now, keeper.Backend{ID: s.backend.id, Born: s.backend.born, Sequence: sequence, Service: "svc", Total: s.backend.room})
			}
			w.after(100, beat)
		})
	}
	w.after(1, loop)
	w.after(2, tick)
	w.after(3, beat)
	for _, e := range w.entries {
		w.connect(e, s)
	}
}

// connect opens a session between an entry and a sidecar, and a new one after it ends.
func (w *world) connect(e *fakeEntry, s *fakeSidecar) {
	eLife, sLife := e.life, s.life
	eCurrent := func() bool { return e.life == eLife }
	sCurrent := func() bool { return s.life == sLife }
	ended := false
	var atEntry, atSidecar *marshaler.Link
	session := &fakeLink{}
	w.links = append(w.links, session)
	// A message is never handled before its session is up at that end.
	upAtEntry, upAtSidecar := false, false
	var deliver func(up *bool, do func())
	deliver = func(up *bool, do func()) {
		switch {
		case ended:
		case session.cutUntil > w.now:
			w.after(session.cutUntil-w.now, func() { deliver(up, do) })
		case !*up:
			w.after(1, func() { deliver(up, do) })
		default:
			do()
		}
	}
	end := func(error) {
		if ended {
			return
		}
		ended = true
		w.after(1, func() {
			w.act(&e.process, eCurrent, func() { e.core.OnDown(w.now, atEntry, errCut) })
			w.act(&s.process, sCurrent, func() { s.core.OnDown(atSidecar) })
		})
		again := max(session.cutUntil-w.now, 0) + 50
		w.after(again+timer.Millis(w.random.IntN(50)), func() {
			if e.life == eLife && s.life == sLife {
				w.connect(e, s)
			}
		})
	}
	atEntry = &marshaler.Link{
		Remote: marshaler.Hello{Role: marshaler.RoleSidecar, Name: s.name, Incarnation: s.life, Session: uint64(len(w.links))}, Close: end,
		Send: func(m marshaler.Message) {
			w.after(linkDelay, func() {
				deliver(&upAtSidecar, func() {
					w.act(&s.process, sCurrent, func() { s.core.OnMessage(w.now, atSidecar, m) })
				})
			})
		},
	}
	atSidecar = &marshaler.Link{
		Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: e.name, Incarnation: e.life}, Close: end,
		Send: func(m marshaler.Message) {
			w.after(linkDelay, func() {
				deliver(&upAtEntry, func() {
					w.act(&e.process, eCurrent, func() {
						e.core.OnMessage(w.now, atEntry, m)
						e.core.Flush(w.now)
					})
				})
			})
		},
	}
	session.end = end
	w.after(linkDelay, func() {
		w.act(&e.process, eCurrent, func() {
			upAtEntry = true
			e.core.OnUp(w.now, atEntry)
		})
		w.act(&s.process, sCurrent, func() {
			upAtSidecar = true
			s.core.OnUp(w.now, atSidecar)
		})
	})
}

func (w *world) connectEntries(a, b *fakeEntry) {
	aLife, bLife := a.life, b.life
	ended := false
	var atA, atB *marshaler.Link
	end := func(error) {
		if ended {
			return
		}
		ended = true
		w.after(1, func() {
			w.act(&a.process, func() bool { return a.life == aLife }, func() { a.core.OnDown(w.now, atA, errCut) })
			w.act(&b.process, func() bool { return b.life == bLife }, func() { b.core.OnDown(w.now, atB, errCut) })
		})
		w.after(60, func() {
			if a.life == aLife && b.life == bLife {
				w.connectEntries(a, b)
			}
		})
	}
	link := func(from, to *fakeEntry, toLife uint64, at func() *marshaler.Link) *marshaler.Link {
		return &marshaler.Link{
			Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: to.name, Incarnation: toLife, Weight: 400}, Close: end,
			Send: func(m marshaler.Message) {
				w.after(linkDelay, func() {
					w.act(&to.process, func() bool { return to.life == toLife && !ended }, func() {
						to.core.OnMessage(w.now, at(), m)
						to.core.Flush(w.now)
					})
				})
			},
		}
	}
	atA = link(a, b, bLife, func() *marshaler.Link { return atB })
	atB = link(b, a, aLife, func() *marshaler.Link { return atA })
	w.after(linkDelay, func() {
		w.act(&a.process, func() bool { return a.life == aLife }, func() { a.core.OnUp(w.now, atA) })
		w.act(&b.process, func() bool { return b.life == bLife }, func() { b.core.OnUp(w.now, atB) })
	})
}

func (w *world) killEntry(e *fakeEntry, back timer.Millis) {
	e.alive = false
	e.life++
	w.after(back, func() { w.startEntry(e) })
	for id, j := range marshaler.InOrder(w.jobs) { // callers send restartable jobs again
		if j.entry != e || len(w.answers[id]) > 0 {
			continue
		}
		delete(w.jobs, id)
		w.after(resendPause, func() {
			other := w.entries[w.random.IntN(len(w.entries))]
			if other.alive {
				w.resent[id] = true
				w.submit(other, id, j.tasks, j.estimate)
			}
		})
	}
}

func (w *world) killSidecar(s *fakeSidecar, back timer.Millis) {
	s.alive = false
	s.life++
	w.after(back, func() { w.startSidecar(s) })
}

// submit sends a job to an entry, and once more elsewhere when the entry dies, as callers do.
func (w *world) submit(e *fakeEntry, id string, tasks int, estimate timer.Millis) {
	life := e.life
	w.jobs[id] = fakeJob{e, tasks, estimate}
	w.act(&e.process, func() bool { return e.life == life }, func() {
		e.core.Submit(w.now, Job{
			ID: id, Queue: testQueue, Steps: []marshaler.Step{{Tasks: uint64(tasks), Room: marshaler.Room{CPU: 3000, MemoryMB: 64}, Estimate: estimate}}, Deadline: 2000,
			Answer: func(a Answer) {
				if e.life == life {
					w.answers[id] = append(w.answers[id], a)
				}
			},
		})
		e.core.Flush(w.now)
	})
}

var testQueue = router.Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "svc", Attempts: 3, Stretch: 1.6, Target: 60}

func testSnapshot() router.Snapshot {
	return router.Snapshot{}.WithConfiguration(1, []router.Queue{testQueue}, []router.Service{{Name: "svc", Guarded: true}}, router.Limits{}).WithOffset(1)
}

// order carries out a call to the backend server, loses its answer, or carries it out seconds late.
func (b *fakeBackend) order(do func(answered bool), lost func()) {
	w := b.w
	if w.random.Float64() < w.lost {
		if w.late {
			w.after(2000+timer.Millis(w.random.IntN(4000)), func() { do(false) })
		} else if w.random.IntN(2) == 0 {
			w.after(1, func() { do(false) })
		}
		w.after(40, lost)
		return
	}
	w.after(1, func() {
		if b.up {
			do(true)
		} else {
			lost()
		}
	})
}

func (b *fakeBackend) restart() {
	b.crash()
	b.up, b.born = true, uint64(b.w.now)
	b.runs, b.blocked = map[marshaler.RunKey]*fakeRun{}, map[string]uint64{}
	b.ended, b.number, b.lease, b.endedAt = nil, 0, 0, map[uint64]timer.Millis{}
}

func (b *fakeBackend) crash() {
	for _, key := range marshaler.RunsInOrder(b.runs) {
		b.w.running[taskOf(key)]--
	}
	b.up, b.runs = false, nil
}

func taskOf(r marshaler.RunKey) string { return fmt.Sprintf("%s.%d", r.Job, r.Index) }

func (b *fakeBackend) start(m marshaler.Start) keeper.Started {
	out := keeper.Started{Run: m.Run, Status: keeper.StartRefused}
	free := b.room
	for _, r := range b.runs {
		free = free.Sub(r.room)
	}
	switch {
	case !b.up:
	case m.NotAfter <= int64(b.w.now):
		out.Reason = "late"
	case b.blocked[taskOf(m.Run)] >= m.Run.Attempt:
		out.Status = keeper.StartOld
	case b.runs[m.Run] != nil:
		out.Status = keeper.StartDone
	case !free.Holds(m.Room):
		out.Reason = "room"
	default:
		b.lease = max(b.lease, timer.Millis(m.NotAfter))
		length := timer.Millis(float64(m.Estimate) * (0.7 + 0.6*b.w.random.Float64()) * b.factor)
		b.runs[m.Run] = &fakeRun{room: m.Room, began: b.w.now, end: b.w.now + max(length, 1)}
		task := taskOf(m.Run)
		b.w.running[task]++
		b.w.started[m.Run.Job]++
		if b.w.kept != nil {
			b.w.kept.onStart(b.w, task)
		}
		if b.w.running[task] > 1 {
			b.w.t.Errorf("at %d ms, task %s runs %d times at once, the last on %s; faults: %v; decisions: %s", b.w.now, task, b.w.running[task], b.id, b.w.faults,
				strings.Join(b.w.trail[m.Run.Job], "\n"))
		}
		out.Status = keeper.StartDone
	}
	return out
}

func (b *fakeBackend) stop(key marshaler.RunKey) {
	if !b.up {
		return
	}
	b.blocked[taskOf(key)] = max(b.blocked[taskOf(key)], key.Attempt)
	if b.runs[key] != nil {
		b.w.after(timer.Millis(1+b.w.random.IntN(45)), func() { b.finish(key, marshaler.StatusStopped) })
	}
}

func (b *fakeBackend) finish(key marshaler.RunKey, status marshaler.Status) {
	if !b.up || b.runs[key] == nil {
		return
	}
	delete(b.runs, key)
	b.w.running[taskOf(key)]--
	b.blocked[taskOf(key)] = max(b.blocked[taskOf(key)], key.Attempt)
	b.number++
	b.ended = append(b.ended, keeper.End{Number: b.number, Run: key, Status: status})
	b.endedAt[b.number] = b.w.now
	for _, wake := range b.waiting {
		b.w.after(0, wake)
	}
	b.waiting = nil
}

// step ends what is over, and everything once the lease has run out.
func (b *fakeBackend) step() {
	if b.lease <= b.w.now {
		b.lapsed = b.w.now
	}
	due := false
	for _, r := range b.runs {
		due = due || b.lease <= b.w.now || b.stuck > b.w.now || r.end <= b.w.now
	}
	if !due {
		return
	}
	for _, key := range marshaler.RunsInOrder(b.runs) {
		r := b.runs[key]
		switch {
		case b.lease <= b.w.now:
			b.finish(key, marshaler.StatusLost)
		case b.stuck > b.w.now:
			r.end++
		case r.end <= b.w.now && b.w.kept != nil && b.w.random.IntN(12) == 0:
			b.finish(key, marshaler.StatusFailed)
		case r.end <= b.w.now:
			b.finish(key, marshaler.StatusDone)
		}
	}
}

func (b *fakeBackend) hold(h keeper.HoldRequest, wait timer.Millis, answer func(l keeper.Listing, err error)) {
	failed := func() { answer(keeper.Listing{}, errors.New("no answer")) }
	b.order(func(answered bool) {
		if !b.up {
			return
		}
		if h.Until != 0 {
			b.lease = max(b.lease, min(timer.Millis(h.Until), b.w.now+1000))
		}
		if h.Born == b.born {
			b.ended = slices.DeleteFunc(b.ended, func(e keeper.End) bool {
				if e.Number <= h.Processed && b.w.kept != nil && e.Status == marshaler.StatusDone {
					b.w.kept.onNoted(b.w, taskOf(e.Run), b.endedAt[e.Number], b.lapsed)
				}
				return e.Number <= h.Processed
			})
		}
		if !answered {
			return
		}
		done := false
		reply := func() {
			if done {
				return
			}
			done = true
			if !b.up {
				failed()
				return
			}
			l := keeper.Listing{Number: h.Number, Born: b.born, Clock: int64(b.w.now), Ended: slices.Clone(b.ended)}
			for _, key := range marshaler.RunsInOrder(b.runs) {
				r := b.runs[key]
				l.Running = append(l.Running, keeper.Row{Run: key, Percent: int(100 * (b.w.now - r.began) / max(r.end-r.began, 1))})
			}
			b.w.after(1, func() { answer(l, nil) })
		}
		if len(b.ended) > 0 || wait == 0 {
			reply()
			return
		}
		b.waiting = append(b.waiting, reply)
		b.w.after(wait, reply)
	}, failed)
}
