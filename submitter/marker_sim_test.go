package submitter

import (
	"math/rand/v2"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// markerDelay is the time after which an entry gets a new record of the store, and silentDelay the same if its connection to
	// the store has gone silent while it waits for the record.
	markerDelay = 3 * timer.Millisecond
	silentDelay = 30_800 * timer.Millisecond
	// firstCallersTime is how long after the start of the world the callers of a new kind of job reach one entry only.
	firstCallersTime = 6 * timer.Second
	// storeCallTimeout is the time after which a call to the store without an answer fails.
	storeCallTimeout = 800 * timer.Millisecond
)

// drawMarker lets some worlds begin before the first durable job, with entries that learn late of the marker in the store. The
// draws have a random source of their own, so that the other draws of a seed remain as they are.
func (w *simulation) drawMarker() {
	draws := rand.New(rand.NewPCG(w.seed, 4))
	w.store.marked = draws.IntN(3) > 0
	w.store.silent = func() bool { return draws.IntN(2) == 0 }
	if !w.store.marked {
		w.firstEntry = draws.IntN(3)
	}
}

// callersEntry returns the entry to which a caller sends a new durable job. Where durable jobs are new, only one entry gets them at
// first: the others learn of them from the store or from that entry, not from callers.
func (w *simulation) callersEntry(drawn *fakeEntry) *fakeEntry {
	if w.firstEntry < 0 || w.now > w.startedAt+firstCallersTime || !w.entries[w.firstEntry].alive {
		return drawn
	}
	return w.entries[w.firstEntry]
}

// writeMarker writes the marker of durable jobs to the store. The entry that has written it knows it.
func (o *fakeMembership) writeMarker() {
	w := o.w
	if w.store.downUntil > w.now {
		return
	}
	w.schedule(4, func() {
		if !w.store.marked {
			w.store.marked = true
			for _, e := range w.entries {
				if e != o.e {
					e.learnMarker(w)
				}
			}
		}
		w.runOn(&o.e.process, o.current, func() { o.e.core.SetDurableInUse(w.now, true) })
	})
}

// learnMarker lets an entry read the marker, much later if its connection to the store has gone silent.
func (e *fakeEntry) learnMarker(w *simulation) {
	delay, incarnation := markerDelay, e.incarnation
	if w.store.silent() {
		delay = silentDelay
	}
	w.schedule(delay, func() {
		w.runOn(&e.process, func() bool { return e.incarnation == incarnation }, func() { e.core.SetDurableInUse(w.now, true) })
	})
}

// lookUpMarker reads the marker for an entry.
func (o *fakeMembership) lookUpMarker(done func(now timer.Millis, inUse, ok bool)) {
	w := o.w
	answer := func(inUse, ok bool) {
		w.runOn(&o.e.process, o.current, func() { done(w.now, inUse, ok) })
	}
	if w.store.downUntil > w.now || w.random.Float64() < w.store.lostShare {
		w.schedule(storeCallTimeout, func() { answer(false, false) })
		return
	}
	w.schedule(markerDelay, func() { answer(w.store.marked, true) })
}
