package submitter

import (
	"slices"

	"github.com/crocuslb/crocuslb/timer"
)

// callTimeout is how long a sidecar waits for the answer to a call.
const callTimeout = 40

// isSilent reports whether calls to the backend server get no answer, not even a refused connection.
func (b *fakeBackend) isSilent() bool { return b.silent || b.silentUntil > b.w.now }

// loseBackend ends one backend server of a simulation for good, but not the first one, which has all labels. It returns nil if one
// is lost already: the others must have capacity for all jobs, also while the circuit breaker of one is open.
func (w *simulation) loseBackend(silent bool) *fakeSidecar {
	s := w.sidecars[1+w.random.IntN(len(w.sidecars)-1)]
	if slices.ContainsFunc(w.sidecars, func(s *fakeSidecar) bool { return s.backend.lost }) {
		return nil
	}
	s.backend.crash()
	s.backend.lost, s.backend.silent = true, silent
	return s
}

// lostServerFaults returns the faults of backend servers that do not come back, or that are alive and cannot be reached.
func lostServerFaults() []fault {
	loseWithSidecar := func(silent bool) func(w *simulation) {
		return func(w *simulation) {
			if s := w.loseBackend(silent); s != nil {
				w.killSidecar(s, timer.Millis(20+w.random.IntN(900)))
			}
		}
	}
	return []fault{
		{"server lost", func(w *simulation) { w.loseBackend(false) }},
		{"server lost and silent", func(w *simulation) { w.loseBackend(true) }},
		{"server lost with its sidecar's process", loseWithSidecar(false)},
		{"server lost and silent with its sidecar's process", loseWithSidecar(true)},
		{"server cut off", func(w *simulation) {
			b := w.sidecars[w.random.IntN(len(w.sidecars))].backend
			b.silentUntil, b.unheard = w.now+timer.Millis(300+w.random.IntN(3500)), w.random.IntN(2) == 0
		}},
	}
}
