package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/gauger"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// newHandoverSimulation returns a simulation with handovers. The first entry is overloaded.
func newHandoverSimulation(t *testing.T, seed uint64, entries, sidecars int) *simulation {
	w := newSimulation(t, seed, 0, 0)
	w.handover = true
	w.startProcesses(entries, sidecars)
	w.entries[0].class = gauger.Overloaded
	return w
}

// measureLoad passes the load of an entry to its core.
func (w *simulation) measureLoad(e *fakeEntry) {
	incarnation := e.incarnation
	var measure func()
	measure = func() {
		w.runOn(&e.process, func() bool { return e.incarnation == incarnation }, func() {
			e.core.SetLoad(w.now, gauger.Load{Class: max(e.class, gauger.Normal), LoopDelay: 60})
			w.schedule(gauger.Interval, measure)
		})
	}
	w.schedule(1, measure)
}

// handoverFaults returns the faults that concern entries that hand jobs over.
func handoverFaults() []fault {
	return []fault{
		{"sessions of entries reset", func(w *simulation) {
			for _, l := range w.peerLinks {
				l.end(errConnectionCut)
			}
		}},
		{"link between entries cut", func(w *simulation) {
			until := w.now + timer.Millis(w.random.IntN(3000))
			for _, l := range w.peerLinks {
				l.cutUntil = until
			}
		}},
		{"load changes", func(w *simulation) {
			w.entries[w.random.IntN(len(w.entries))].class = gauger.Class(1 + w.random.IntN(int(gauger.Overloaded)))
		}},
		{"callers leave", func(w *simulation) {
			for id, j := range marshaler.SortedByKey(w.jobs) {
				if j.entry.alive && j.entry.incarnation == j.incarnation && len(w.answers[id]) == 0 && w.random.IntN(2) == 0 {
					w.runOn(&j.entry.process, func() bool { return j.entry.incarnation == j.incarnation }, func() { j.entry.core.Abort(w.now, id, "caller left") })
				}
			}
		}},
	}
}

// peerEnd is one end of a session between two entries.
type peerEnd struct {
	entry       *fakeEntry
	incarnation uint64
	link        *marshaler.Link
	closed      bool
}

func (e *peerEnd) current() bool { return e.entry.incarnation == e.incarnation }

// connectEntries opens a session between two entries, and a new one after it ends. While the link is cut, messages are
// delayed, and the other entry does not notice that one has closed the session.
func (w *simulation) connectEntries(a, b *fakeEntry) {
	session := &fakeLink{}
	w.peerLinks = append(w.peerLinks, session)
	ends := [2]*peerEnd{{entry: a, incarnation: a.incarnation}, {entry: b, incarnation: b.incarnation}}
	reconnects := false
	closeEnd := func(e *peerEnd, delay timer.Millis) {
		w.schedule(delay, func() {
			e.closed = true
			w.receive(&e.entry.process, e.current, func() { e.entry.core.OnDisconnect(w.now, e.link, errConnectionCut) })
		})
	}
	closeBy := func(n int) {
		if ends[n].closed || reconnects {
			return
		}
		reconnects, ends[n].closed = true, true
		cut := max(session.cutUntil-w.now, 0)
		closeEnd(ends[n], 1)
		notice, reconnect := cut+1, cut+60
		if cut > 0 { // the end of the old session may be noticed after the new one is open
			notice += timer.Millis(w.random.IntN(120))
		}
		if cut == 0 {
			ends[1-n].closed = true
		}
		closeEnd(ends[1-n], notice)
		w.schedule(reconnect, func() {
			if ends[0].current() && ends[1].current() {
				w.connectEntries(a, b)
			}
		})
	}
	for n, e := range ends {
		other := ends[1-n]
		var deliver func(m marshaler.Message)
		deliver = func(m marshaler.Message) {
			if session.cutUntil > w.now && !e.closed {
				w.schedule(session.cutUntil-w.now, func() { deliver(m) })
				return
			}
			w.receive(&other.entry.process, func() bool { return other.current() && !other.closed && !e.closed }, func() {
				other.entry.core.OnMessage(w.now, other.link, m)
				other.entry.core.Flush(w.now)
			})
		}
		e.link = &marshaler.Link{
			Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: other.entry.name, Incarnation: other.incarnation, Weight: 400},
			Close:  func(error) { closeBy(n) },
			Send:   func(m marshaler.Message) { w.schedule(linkDelay, func() { deliver(m) }) },
		}
	}
	session.end = func(error) { closeBy(0) }
	w.schedule(linkDelay, func() {
		for _, e := range ends {
			w.receive(&e.entry.process, e.current, func() { e.entry.core.OnConnect(w.now, e.link) })
		}
	})
}
