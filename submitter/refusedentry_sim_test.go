package submitter

import "github.com/crocuslb/crocuslb/timer"

// storeRefusesEntry makes the store turn one entry away, give its partitions to the others at once, and reassign them again once it
// serves all entries. The entry may not notice that the partitions were away: its heartbeats before and after list them.
func (w *simulation) storeRefusesEntry() {
	name := w.entries[w.random.IntN(len(w.entries))].name
	away := timer.Millis(400 + w.random.IntN(900))
	w.store.refusedUntil[name] = w.now + away
	w.store.reassignAtOnce(0)
	w.schedule(away, func() { w.store.reassignAtOnce(0) })
}

// storeFaults returns the faults of a store that serves only some entries, or reassigns partitions without their owners' consent.
func storeFaults() []fault {
	return []fault{
		{"store turns an entry away", (*simulation).storeRefusesEntry},
		{"partitions dealt anew at once", func(w *simulation) { w.store.reassignAtOnce(w.random.IntN(3)) }},
		{"partitions dealt away and back at once", func(w *simulation) {
			w.store.reassignAtOnce(1)
			w.schedule(timer.Millis(20+w.random.IntN(380)), func() { w.store.reassignAtOnce(0) })
		}},
	}
}
