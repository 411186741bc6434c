package submitter

import (
	"fmt"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// starvationTime is how long a process is starved.
	starvationTime = 3000
	// waitGrowth is how long the wait of events takes to grow to its bounds. A sudden wait would look like a silent peer.
	waitGrowth = 1200
)

// starvation models a process that is short of processor time: its ticks come late and irregularly, and its events wait in
// its inbox. Unlike a paused process it never stands still for long. The zero value has no effect.
type starvation struct {
	since, until   timer.Millis
	minGap, maxGap timer.Millis // between two ticks
	// minTurn and maxTurn bound the time between two turns of the inbox. A turn handles all events that have arrived; 0 for
	// an inbox whose events do not wait.
	minTurn, maxTurn timer.Millis
	// minWait and maxWait bound the time that each event waits for its turn, in place of turns, once the inbox has grown.
	minWait, maxWait timer.Millis
	messagesOnly     bool         // only messages of sessions wait, not the responses of the backend server
	nextTurn         timer.Millis // when the latest event in the inbox is handled
}

// between returns a random duration from low to high.
func (w *simulation) between(low, high timer.Millis) timer.Millis {
	return low + timer.Millis(w.random.IntN(int(high-low)+1))
}

// tickInterval returns the time until the next tick.
func (s *starvation) tickInterval(w *simulation) timer.Millis {
	if s.until <= w.now {
		return 25
	}
	return w.between(s.minGap, s.maxGap)
}

// inboxWait returns the time until an event that arrives now is handled, and false if it need not wait.
func (s *starvation) inboxWait(w *simulation) (timer.Millis, bool) {
	if s.until > w.now && s.maxWait > 0 {
		grown := min(w.now-s.since, waitGrowth)
		s.nextTurn = max(s.nextTurn, w.now+w.between(s.minWait, s.maxWait)*grown/waitGrowth)
	}
	if s.nextTurn < w.now {
		if s.until <= w.now || s.maxTurn == 0 {
			return 0, false
		}
		for s.nextTurn = max(s.nextTurn, w.now-s.maxTurn); s.nextTurn < w.now; {
			s.nextTurn += w.between(s.minTurn, s.maxTurn)
		}
	}
	return s.nextTurn - w.now, true
}

// runOn runs do on a process if it is alive, after the events in its inbox if it is starved.
func (w *simulation) runOn(p *process, current func() bool, do func()) {
	if p.starvation.messagesOnly {
		w.runUnpaused(p, current, do)
		return
	}
	w.receive(p, current, do)
}

// receive is runOn for a message of a session.
func (w *simulation) receive(p *process, current func() bool, do func()) {
	if wait, queued := p.starvation.inboxWait(w); queued {
		w.schedule(wait, func() { w.runUnpaused(p, current, do) })
		return
	}
	w.runUnpaused(p, current, do)
}

// runUnpaused runs do on a process if it is alive, after its pause if it is paused.
func (w *simulation) runUnpaused(p *process, current func() bool, do func()) {
	run := func() {
		if p.alive && current() {
			do()
		}
	}
	if p.pausedUntil <= w.now && len(p.waiting) == 0 {
		run()
		return
	}
	if p.waiting = append(p.waiting, run); len(p.waiting) == 1 {
		w.schedule(p.pausedUntil-w.now, func() { w.resume(p) })
	}
}

// resume runs the events that waited for the end of a pause, in the order of their arrival, also if another pause followed the
// first one at once.
func (w *simulation) resume(p *process) {
	for len(p.waiting) > 0 {
		if p.pausedUntil > w.now {
			w.schedule(p.pausedUntil-w.now, func() { w.resume(p) })
			return
		}
		run := p.waiting[0]
		p.waiting = p.waiting[1:]
		run()
	}
}

// starve makes a process short of processor time.
func (p *process) starve(w *simulation, s starvation) {
	s.since, s.until, s.nextTurn = w.now, w.now+starvationTime, p.starvation.nextTurn
	p.starvation = s
}

// starveSidecars starves the first half of the sidecars.
func (w *simulation) starveSidecars(s starvation) {
	for _, c := range w.sidecars[:len(w.sidecars)/2] {
		c.starve(w, s)
	}
}

// disconnectCallers ends the connections of all callers of an entry that have no answer. The entry handles their departure
// after its other events, and the callers send their jobs again.
func (w *simulation) disconnectCallers(e *fakeEntry) {
	for id, j := range marshaler.SortedByKey(w.jobs) {
		if j.entry != e || !e.alive || j.incarnation != e.incarnation || len(w.answers[id]) > 0 {
			continue
		}
		w.departed[j] = true
		w.runOn(&e.process, func() bool { return e.incarnation == j.incarnation }, func() {
			w.decisions[id] = append(w.decisions[id], fmt.Sprintf("%d %s handles the departure of the caller", w.now, e.name))
			e.core.Abort(w.now, id, "caller left")
		})
		w.decisions[id] = append(w.decisions[id], fmt.Sprintf("%d the caller leaves %s", w.now, e.name))
		w.resubmit(id, j)
	}
}

// scheduleLongJobs schedules jobs on random entries from now on. A third of them run for 0.9 to 2.7 s, as tasks away from
// their data do; the others are short, so that starts are frequent.
func (w *simulation) scheduleLongJobs(from, to timer.Millis, every int) (ids []string) {
	for at := from; at < to; at += timer.Millis(1 + w.random.IntN(2*every)) {
		id := fmt.Sprintf("job-%d", w.sequence)
		w.sequence++
		tasks, estimate := 1+w.random.IntN(2), w.between(30, 150)
		if w.random.IntN(3) == 0 {
			estimate = w.between(900, 2700)
		}
		ids = append(ids, id)
		first := w.random.IntN(len(w.entries))
		w.schedule(at, func() {
			for i := range w.entries {
				if e := w.entries[(first+i)%len(w.entries)]; e.alive {
					w.submit(e, id, tasks, estimate)
					return
				}
			}
		})
	}
	return ids
}
