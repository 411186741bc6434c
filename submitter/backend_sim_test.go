package submitter

import (
	"fmt"
	"slices"
	"strings"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/supervisor"
	"github.com/crocuslb/crocuslb/timer"
)

type (
	// fakeBackend is a backend server that enforces its capacity, unless that changes, and runs tasks under a lease.
	fakeBackend struct {
		w              *simulation
		up             bool
		id             string
		startedAt      uint64
		room           marshaler.Resources
		service        string
		labels         []string
		leaseUntil     timer.Millis
		runs           map[marshaler.RunKey]*fakeRun
		ended          []supervisor.EndedRun
		highestEnded   map[string]uint64 // highest attempt that was stopped or has ended, by task
		number         uint64
		holdWaiters    []func()     // hold requests that wait for an end
		refusesUntil   timer.Millis // new connections are refused before, while runs and pending calls continue
		stalledUntil   timer.Millis
		slowdown       float64
		leaseExpiredAt timer.Millis            // latest time without a valid lease
		endedAt        map[uint64]timer.Millis // by number
		lapsedRuns     int                     // number of runs that ended because the lease expired
		capacity       *changingCapacity       // set if it does not guard its capacity
		lost           bool                    // it does not come back
		silent         bool                    // calls get no answer; set if it is lost
		silentUntil    timer.Millis            // calls get no answer before, while runs continue
		unheard        bool                    // only the answers are lost before silentUntil, the calls are executed
	}

	fakeRun struct {
		room       marshaler.Resources
		begin, end timer.Millis
	}
)

// call executes a call to the backend server, loses its answer, or executes it seconds late.
func (b *fakeBackend) call(do func(answered bool), onLost func(refused bool)) {
	b.callWithLoss(b.w.lostShare, do, onLost)
}

func (b *fakeBackend) callWithLoss(share float64, do func(answered bool), onLost func(refused bool)) {
	w := b.w
	if w.random.Float64() < share {
		if w.executeLate {
			delay := w.lateAfter
			if delay == 0 {
				delay = 2000 + timer.Millis(w.random.IntN(4000))
			}
			w.schedule(delay, func() { do(false) })
		} else if w.random.IntN(2) == 0 {
			w.schedule(1, func() { do(false) })
		}
		w.schedule(40, func() { onLost(false) })
		return
	}
	w.schedule(1, func() {
		if b.isSilent() {
			if b.up && b.unheard {
				do(false)
			}
			w.schedule(callTimeout, func() { onLost(false) })
			return
		}
		if b.up && w.now >= b.refusesUntil {
			do(true)
		} else {
			onLost(true)
		}
	})
}

func (b *fakeBackend) restart() {
	b.crash()
	b.up, b.startedAt = true, uint64(b.w.now)
	b.drawKind()
	b.runs, b.highestEnded = map[marshaler.RunKey]*fakeRun{}, map[string]uint64{}
	b.ended, b.number, b.leaseUntil, b.endedAt = nil, 0, 0, map[uint64]timer.Millis{}
}

func (b *fakeBackend) crash() {
	for _, key := range marshaler.SortedRunKeys(b.runs) {
		b.w.activeRuns[taskOf(key)]--
	}
	b.up, b.runs = false, nil
}

// extendLease extends the lease of all runs, on a request by a hold or a start that is not late.
func (b *fakeBackend) extendLease(until int64) {
	b.leaseUntil = max(b.leaseUntil, min(timer.Millis(until), b.w.now+maxLease))
}

func taskOf(r marshaler.RunKey) string { return fmt.Sprintf("%s.%d", r.Job, r.Index) }

func (b *fakeBackend) start(m marshaler.Start) supervisor.StartResult {
	out := supervisor.StartResult{Run: m.Run, Status: supervisor.StartRefused}
	free := b.room
	for _, r := range b.runs {
		free = free.Sub(r.room)
	}
	switch {
	case !b.up:
	case m.NotAfter <= int64(b.w.now):
		out.Reason = "late"
	case b.highestEnded[taskOf(m.Run)] >= m.Run.Attempt:
		out.Status = supervisor.StartSuperseded
		b.extendLease(m.NotAfter)
	case b.runs[m.Run] != nil:
		out.Status = supervisor.StartConfirmed
	case !free.Contains(m.Resources) && b.capacity == nil:
		out.Reason = "room"
		b.extendLease(m.NotAfter)
	default:
		b.extendLease(m.NotAfter)
		length := timer.Millis(float64(m.Estimate) * (0.7 + 0.6*b.w.random.Float64()) * b.slowdown)
		b.checkServerLimit(m.Run)
		b.checkKind(m.Run)
		b.runs[m.Run] = &fakeRun{room: m.Resources, begin: b.w.now, end: b.w.now + max(length, 1)}
		b.checkCapacity()
		task := taskOf(m.Run)
		b.w.activeRuns[task]++
		b.w.startedRuns[m.Run.Job]++
		b.w.crashing.onStart(b, m.Run)
		if b.w.durable != nil {
			b.w.durable.onStart(b.w, task)
		}
		if b.w.activeRuns[task] > 1 {
			b.w.t.Errorf("at %d ms, task %s has %d concurrent runs, the last on %s; faults: %v; decisions: %s", b.w.now, task, b.w.activeRuns[task], b.id, b.w.faults,
				strings.Join(b.w.decisions[m.Run.Job], "\n"))
		}
		out.Status = supervisor.StartConfirmed
	}
	return out
}

// checkServerLimit checks that a further task of a step may run here.
func (b *fakeBackend) checkServerLimit(key marshaler.RunKey) {
	limit := b.w.serverLimit[key.Job]
	step, _ := key.Task()
	others := uint64(0)
	for other := range b.runs {
		if otherStep, _ := other.Task(); other.Job == key.Job && otherStep == step && other.Index != key.Index {
			others++
		}
	}
	if limit > 0 && others >= limit {
		b.w.t.Errorf("at %d ms, task %s starts on %s beside %d others of its step, want at most %d; faults: %v; decisions: %s", b.w.now, taskOf(key), b.id, others, limit-1, b.w.faults,
			strings.Join(b.w.decisions[key.Job], "\n"))
	}
}

func (b *fakeBackend) stop(key marshaler.RunKey) {
	if !b.up {
		return
	}
	b.highestEnded[taskOf(key)] = max(b.highestEnded[taskOf(key)], key.Attempt)
	if b.runs[key] != nil {
		b.w.schedule(timer.Millis(1+b.w.random.IntN(45)), func() { b.finish(key, marshaler.StatusStopped) })
	}
}

func (b *fakeBackend) finish(key marshaler.RunKey, status marshaler.Status) {
	if !b.up || b.runs[key] == nil {
		return
	}
	delete(b.runs, key)
	b.w.activeRuns[taskOf(key)]--
	b.highestEnded[taskOf(key)] = max(b.highestEnded[taskOf(key)], key.Attempt)
	if status == marshaler.StatusDone && b.w.durable != nil {
		b.w.durable.done[taskOf(key)] = true
	}
	b.number++
	b.ended = append(b.ended, supervisor.EndedRun{Number: b.number, Run: key, Status: status})
	b.endedAt[b.number] = b.w.now
	for _, wake := range b.holdWaiters {
		b.w.schedule(0, wake)
	}
	b.holdWaiters = nil
}

// tick ends runs that are due, and all runs once the lease has expired.
func (b *fakeBackend) tick() {
	if b.leaseUntil <= b.w.now {
		b.leaseExpiredAt = b.w.now
	}
	due := false
	for _, r := range b.runs {
		due = due || b.leaseUntil <= b.w.now || b.stalledUntil > b.w.now || r.end <= b.w.now
	}
	if !due {
		return
	}
	for _, key := range marshaler.SortedRunKeys(b.runs) {
		r := b.runs[key]
		switch {
		case b.leaseUntil <= b.w.now:
			b.lapsedRuns++
			b.finish(key, marshaler.StatusLost)
		case b.stalledUntil > b.w.now:
			r.end++
		case r.end <= b.w.now && b.w.durable != nil && (b.w.failing[taskOf(key)] || b.w.random.IntN(12) == 0):
			b.finish(key, marshaler.StatusFailed)
		case r.end <= b.w.now:
			b.finish(key, marshaler.StatusDone)
		}
	}
}

func (b *fakeBackend) hold(h supervisor.HoldRequest, wait timer.Millis, answer func(l supervisor.HoldResponse, err error)) {
	failed := func(refused bool) {
		err := errConnectionCut
		if refused {
			err = errConnectionRefused
		}
		answer(supervisor.HoldResponse{}, err)
	}
	share := b.w.lostShare
	if b.w.ordersOnly {
		share = 0
	}
	b.callWithLoss(share, func(answered bool) {
		if !b.up {
			return
		}
		if h.LeaseUntil != 0 {
			b.extendLease(h.LeaseUntil)
		}
		if h.StartTime == b.startedAt {
			b.ended = slices.DeleteFunc(b.ended, func(e supervisor.EndedRun) bool {
				if e.Number <= h.LastProcessedEnd && b.w.durable != nil {
					b.w.durable.onForgotten(b, e)
				}
				return e.Number <= h.LastProcessedEnd
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
			if !b.up || b.isSilent() {
				failed(false)
				return
			}
			l := supervisor.HoldResponse{Number: h.Number, StartTime: b.startedAt, Clock: int64(b.w.now), Ended: slices.Clone(b.ended)}
			for _, key := range marshaler.SortedRunKeys(b.runs) {
				r := b.runs[key]
				l.Running = append(l.Running, supervisor.RunProgress{Run: key, Percent: int(100 * (b.w.now - r.begin) / max(r.end-r.begin, 1))})
			}
			b.w.schedule(1, func() { answer(l, nil) })
		}
		if len(b.ended) > 0 || wait == 0 {
			reply()
			return
		}
		b.holdWaiters = append(b.holdWaiters, reply)
		b.w.schedule(wait, reply)
	}, failed)
}
