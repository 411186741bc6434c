package submitter

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/gauger"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/supervisor"
	"github.com/crocuslb/crocuslb/timer"
)

var (
	errConnectionCut     = errors.New("connection cut")
	errConnectionRefused = errors.New("connection refused")
)

type (
	// simulation runs real entry and sidecar cores in virtual time, with fake sessions and backend servers.
	simulation struct {
		t        *testing.T
		seed     uint64
		random   *rand.Rand
		shapes   *rand.Rand // of the steps of durable jobs
		now      timer.Millis
		events   []event
		sequence int
		entries  []*fakeEntry
		sidecars []*fakeSidecar
		// activeRuns is the number of current runs by task, over all live backend servers.
		activeRuns  map[string]int
		answers     map[string][]Answer
		startedRuns map[string]int // number of started runs, by job
		// lostShare is the share of calls to backend servers that are not answered. executeLate makes the backend
		// server execute them later.
		lostShare   float64
		executeLate bool
		ordersOnly  bool         // lostShare applies to starts and stops only, not to holds
		lateAfter   timer.Millis // delay of calls that are executed late; 0 for 2 to 6 s
		faults      []string
		links       []*fakeLink
		jobs        map[string]fakeJob
		resubmitted map[string]bool
		withdrawn   map[string]bool // jobs that their callers cancel and do not send again
		// otherSession is a second session between two entries, as the receiver of handovers sees it.
		otherSession *marshaler.Link
		// departed holds the submissions whose callers have left and wait to send the job again.
		departed map[fakeJob]bool
		// decisions holds the events of each job, and of processes under the empty name.
		decisions map[string][]string
		// handover enables handovers between entries, each with the load class that it has.
		handover        bool
		peerLinks       []*fakeLink
		unknownOutcomes int
		crashing        crashingTasks
		failing         map[string]bool   // tasks whose runs all fail
		serverLimit     map[string]uint64 // maximum number of tasks of a step on one backend server, by job
		kinds           *kindDraws        // set if backend servers have kinds
		snapshot        router.Snapshot   // latest configuration
		queueMoved      bool              // the queue of the jobs had another service for a time
		repeats         *rand.Rand        // draws the submissions that arrive again after their job was accepted
		startedAt       timer.Millis
		firstEntry      int // index of the only entry that gets durable jobs at first; -1 for none
		// store and durable are only set in simulations with durable jobs.
		store   *fakeStore
		durable *durableChecker
	}

	// fakeLink is an open session between an entry and a sidecar. A cut delays its messages, as TCP does.
	fakeLink struct {
		sidecar  string // empty between entries
		end      func(error)
		cutUntil timer.Millis
	}

	// fakeStream delivers the messages of one direction of a session in order.
	fakeStream struct {
		up      bool // the session is open at the receiver; no message is handled before
		waiting []func()
	}

	fakeJob struct {
		entry       *fakeEntry
		incarnation uint64 // of the entry
		tasks       int
		estimate    timer.Millis
		sentAt      timer.Millis
	}

	event struct {
		time timer.Millis
		seq  int
		run  func()
	}

	process struct {
		alive       bool
		pausedUntil timer.Millis
		waiting     []func() // events that wait for the end of a pause
		starvation  starvation
	}

	fakeEntry struct {
		process
		name        string
		incarnation uint64
		core        *Submitter
		memory      int64        // charged by the core, in bytes
		class       gauger.Class // load that the entry measures, in simulations with handover
	}

	fakeSidecar struct {
		process
		name        string
		incarnation uint64
		core        *supervisor.Supervisor
		runs        int // charged by the core
		backend     *fakeBackend
	}
)

const (
	linkDelay = 2
	// maxLease is the longest lease that a backend server grants.
	maxLease = 1000
	// holdRetryDelay is the delay of a hold after one that failed.
	holdRetryDelay = 20
	// resubmitDelay is how long callers wait before they resubmit a job after a lost connection.
	resubmitDelay = 1300
)

func newSimulation(t *testing.T, seed uint64, entries, sidecars int) *simulation {
	w := &simulation{
		t: t, seed: seed, startedAt: 100_000, firstEntry: -1, random: rand.New(rand.NewPCG(seed, 1)), now: 100_000, activeRuns: map[string]int{}, answers: map[string][]Answer{}, jobs: map[string]fakeJob{}, resubmitted: map[string]bool{}, withdrawn: map[string]bool{}, departed: map[fakeJob]bool{}, decisions: map[string][]string{},
		startedRuns: map[string]int{}, failing: map[string]bool{}, serverLimit: map[string]uint64{}, snapshot: testSnapshot(), repeats: rand.New(rand.NewPCG(seed, 12)),
	}
	w.startProcesses(entries, sidecars)
	return w
}

// startProcesses starts the sidecars and entries.
func (w *simulation) startProcesses(entries, sidecars int) {
	for i := range sidecars {
		s := &fakeSidecar{name: fmt.Sprintf("side-%d", i)}
		s.backend = &fakeBackend{w: w, id: s.name + "-server", room: marshaler.Resources{CPU: 32_000, MemoryMB: 64_000}, service: testQueue.Service, slowdown: 1}
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

func (w *simulation) schedule(d timer.Millis, do func()) {
	w.sequence++
	w.events = append(w.events, event{w.now + d, w.sequence, do})
}

// advance advances the virtual time by d.
func (w *simulation) advance(d timer.Millis) {
	for until := w.now + d; w.now < until; w.now++ {
		for {
			next := -1
			for i, e := range w.events {
				if e.time <= w.now && (next < 0 || e.time < w.events[next].time || e.time == w.events[next].time && e.seq < w.events[next].seq) {
					next = i
				}
			}
			if next < 0 {
				break
			}
			do := w.events[next].run
			w.events = slices.Delete(w.events, next, next+1)
			do()
		}
		for _, s := range w.sidecars {
			s.backend.tick()
		}
	}
}

// delayTick delays the first tick after a pause by up to a tick's interval, so that messages that arrived meanwhile may
// be handled before it.
func (w *simulation) delayTick(p *process, tick func()) bool {
	if p.pausedUntil <= w.now {
		return false
	}
	w.schedule(p.pausedUntil-w.now+timer.Millis(w.random.IntN(25)), tick)
	return true
}

func (w *simulation) startEntry(e *fakeEntry) {
	e.incarnation++
	e.alive, e.pausedUntil, e.waiting, e.starvation.nextTurn = true, 0, nil, 0
	e.core = &Submitter{Name: e.name, Incarnation: e.incarnation, Weight: 400, Handover: w.handover, Report: func(v Event) {
		w.decisions[v.Job] = append(w.decisions[v.Job], fmt.Sprintf("%d %s %s %s %s %d", w.now, e.name, v.Kind, v.Peer, v.Detail, v.Value))
	}}
	e.memory = 0
	e.core.Memory = MemoryBudget{
		Reserve: func(bytes int64) bool { e.memory += bytes; return true }, Take: func(bytes int64) { e.memory += bytes }, Release: func(bytes int64) { e.memory -= bytes },
	}
	e.core.SetSnapshot(w.now, w.snapshot)
	if w.store != nil {
		w.startMembership(e)
	} else {
		e.core.SetDurableInUse(w.now, false) // lets sessions become idle
	}
	incarnation := e.incarnation
	var tick func()
	tick = func() {
		if w.delayTick(&e.process, tick) {
			return
		}
		w.runUnpaused(&e.process, func() bool { return e.incarnation == incarnation }, func() {
			e.core.Tick(w.now)
			if got, want := e.memory, e.core.chargedMemory(); got != want {
				w.t.Fatalf("seed %d, at %d ms: %s has charged %d bytes, its jobs hold %d", w.seed, w.now, e.name, got, want)
			}
			w.schedule(e.starvation.tickInterval(w), tick)
		})
	}
	w.schedule(1, tick)
	if w.handover {
		w.measureLoad(e)
	}
	for _, s := range w.sidecars {
		w.connect(e, s)
	}
	for _, o := range w.entries {
		if o != e {
			w.connectEntries(e, o)
		}
	}
}

func (w *simulation) startSidecar(s *fakeSidecar) {
	s.incarnation++
	s.alive, s.pausedUntil, s.waiting, s.starvation.nextTurn = true, 0, nil, 0
	incarnation := s.incarnation
	current := func() bool { return s.incarnation == incarnation }
	s.runs = 0
	k := &supervisor.Supervisor{Partitions: testPartitions, ReserveRun: func() bool { s.runs++; return true }, ReleaseRun: func() { s.runs-- }, Report: func(v supervisor.Event) {
		w.decisions[v.Run.Job] = append(w.decisions[v.Run.Job], fmt.Sprintf("%d %s %s %s task %d.%d %s", w.now, s.name, v.Kind, v.Entry, v.Run.Index, v.Run.Attempt, v.Detail))
	}}
	s.core = k
	k.Start = func(m marshaler.Start) {
		wasUp := s.backend.up
		s.backend.call(func(answered bool) {
			started := s.backend.start(m)
			if s.backend.w.crashing.isUnanswered(m.Run) {
				started = supervisor.StartResult{Run: m.Run, Status: supervisor.StartAborted, Reason: "connection closed"}
			}
			if !answered {
				return
			}
			w.runOn(&s.process, current, func() { k.OnStarted(w.now, started) })
		}, func(refused bool) {
			status := supervisor.StartUnknown
			switch {
			case refused && wasUp: // it crashed after the start was sent
				status = supervisor.StartAborted
			case refused:
				status = supervisor.StartRefused
			}
			w.runOn(&s.process, current, func() {
				k.OnStarted(w.now, supervisor.StartResult{Run: m.Run, Status: status, Reason: "no answer"})
			})
		})
	}
	k.Stop = func(r marshaler.RunKey) {
		s.backend.call(func(answered bool) {
			s.backend.stop(r)
			if answered {
				w.runOn(&s.process, current, func() { k.OnStopped(r, true) })
			}
		}, func(bool) { w.runOn(&s.process, current, func() { k.OnStopped(r, false) }) })
	}
	hold := func(wait timer.Millis, done func(err error)) {
		h, ok := k.BeginHold(w.now)
		if !ok {
			done(nil)
			return
		}
		pause := timer.Millis(0)
		if h.HasUnrecordedEnds && wait > 0 {
			pause = 10
		}
		w.schedule(pause, func() {
			s.backend.hold(h, wait, func(l supervisor.HoldResponse, err error) {
				w.runOn(&s.process, current, func() {
					if err == nil {
						k.OnHoldResponse(w.now, l)
					} else if wait > 0 { // failures of immediate holds are not reported
						k.OnHoldFailed(w.now, h, errors.Is(err, errConnectionRefused), err.Error())
					}
					done(err)
				})
			})
		})
	}
	k.HoldNow = func() { hold(0, func(error) {}) }
	var loop, tick, announce func()
	loop = func() {
		hold(60, func(err error) {
			if err != nil {
				w.schedule(holdRetryDelay, loop)
				return
			}
			w.schedule(1, loop)
		})
	}
	tick = func() {
		if w.delayTick(&s.process, tick) {
			return
		}
		w.runUnpaused(&s.process, current, func() {
			k.Tick(w.now)
			if got, want := s.runs, k.Running(); got != want {
				w.t.Fatalf("seed %d, at %d ms: %s has charged %d runs and has %d", w.seed, w.now, s.name, got, want)
			}
			w.schedule(s.starvation.tickInterval(w), tick)
		})
	}
	sequence := uint64(0)
	announce = func() {
		w.runOn(&s.process, current, func() {
			if s.backend.up {
				sequence++
				k.Announce(w.now, supervisor.Backend{ID: s.backend.id, StartTime: s.backend.startedAt, Sequence: sequence, Service: s.backend.service, Labels: s.backend.labels, Capacity: s.backend.room})
			}
			w.schedule(100, announce)
		})
	}
	w.schedule(1, loop)
	w.schedule(2, tick)
	w.schedule(3, announce)
	for _, e := range w.entries {
		w.connect(e, s)
	}
}

// deliver handles a message after those before it, once the session is open at the receiver and its link is not cut.
func (s *fakeStream) deliver(w *simulation, session *fakeLink, ended *bool, do func()) {
	if s.waiting = append(s.waiting, do); len(s.waiting) == 1 {
		s.pump(w, session, ended)
	}
}

// pump handles the messages that wait, until one has to wait on.
func (s *fakeStream) pump(w *simulation, session *fakeLink, ended *bool) {
	for len(s.waiting) > 0 && !*ended {
		wait := max(session.cutUntil-w.now, 0)
		if !s.up {
			wait = max(wait, 1)
		}
		if wait > 0 {
			w.schedule(wait, func() { s.pump(w, session, ended) })
			return
		}
		do := s.waiting[0]
		s.waiting = s.waiting[1:]
		do()
	}
}

// connect opens a session between an entry and a sidecar, and a new one after it ends.
func (w *simulation) connect(e *fakeEntry, s *fakeSidecar) {
	entryIncarnation, sidecarIncarnation := e.incarnation, s.incarnation
	entryCurrent := func() bool { return e.incarnation == entryIncarnation }
	sidecarCurrent := func() bool { return s.incarnation == sidecarIncarnation }
	ended := false
	var atEntry, atSidecar *marshaler.Link
	session := &fakeLink{sidecar: s.name}
	w.links = append(w.links, session)
	var toEntry, toSidecar fakeStream
	deliver := func(s *fakeStream, do func()) { s.deliver(w, session, &ended, do) }
	end := func(error) {
		if ended {
			return
		}
		ended = true
		w.schedule(1, func() {
			w.receive(&e.process, entryCurrent, func() { e.core.OnDisconnect(w.now, atEntry, errConnectionCut) })
			w.receive(&s.process, sidecarCurrent, func() { s.core.OnDisconnect(atSidecar) })
		})
		reconnectDelay := max(session.cutUntil-w.now, 0) + 50
		w.schedule(reconnectDelay+timer.Millis(w.random.IntN(50)), func() {
			if e.incarnation == entryIncarnation && s.incarnation == sidecarIncarnation {
				w.connect(e, s)
			}
		})
	}
	atEntry = &marshaler.Link{
		Remote: marshaler.Hello{Role: marshaler.RoleSidecar, Name: s.name, Incarnation: s.incarnation, Session: uint64(len(w.links))}, Close: end,
		Send: func(m marshaler.Message) {
			w.schedule(linkDelay, func() {
				deliver(&toSidecar, func() {
					w.receive(&s.process, sidecarCurrent, func() { s.core.OnMessage(w.now, atSidecar, m) })
				})
			})
		},
	}
	atSidecar = &marshaler.Link{
		Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: e.name, Incarnation: e.incarnation}, Close: end,
		Send: func(m marshaler.Message) {
			w.schedule(linkDelay, func() {
				deliver(&toEntry, func() {
					w.receive(&e.process, entryCurrent, func() {
						e.core.OnMessage(w.now, atEntry, m)
						e.core.Flush(w.now)
					})
				})
			})
		},
	}
	session.end = end
	w.schedule(linkDelay, func() {
		// The messages of a session wait in the inbox behind its start.
		toEntry.up, toSidecar.up = e.starvation.until > w.now, s.starvation.until > w.now
		w.receive(&e.process, entryCurrent, func() {
			toEntry.up = true
			e.core.OnConnect(w.now, atEntry)
		})
		w.receive(&s.process, sidecarCurrent, func() {
			toSidecar.up = true
			s.core.OnConnect(w.now, atSidecar)
		})
	})
}

func (w *simulation) killEntry(e *fakeEntry, restartAfter timer.Millis) {
	e.alive = false
	e.incarnation++
	w.schedule(restartAfter, func() { w.startEntry(e) })
	for id, j := range marshaler.SortedByKey(w.jobs) { // callers resubmit restartable jobs
		if j.entry != e || len(w.answers[id]) > 0 {
			continue
		}
		w.resubmit(id, j)
	}
}

func (w *simulation) killSidecar(s *fakeSidecar, restartAfter timer.Millis) {
	s.alive = false
	s.incarnation++
	w.schedule(restartAfter, func() { w.startSidecar(s) })
}

var testQueue = router.Queue{Name: "q", Host: "h", URLPrefix: "/q/", Service: "svc", AttemptLimit: 3, Stretch: 1.6, ResponseAllowance: 60}

func testSnapshot() router.Snapshot {
	return router.Snapshot{}.WithConfiguration(1, []router.Queue{testQueue}, []router.Service{{Name: "svc", EnforcesCapacity: true}}, router.Limits{}).WithOffset(1)
}
