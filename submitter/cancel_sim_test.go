package submitter

import (
	"fmt"
	"math/rand/v2"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// cancelledRunTime is the run time of jobs that are cancelled. They run until the end of the world if the cancellation has no
	// effect, where checkAnswers finds them.
	cancelledRunTime = 20 * timer.Second
	// cancelRepeat is the time after which a caller sends a cancellation again, to any entry, unless it was answered with a
	// final answer.
	cancelRepeat = 4 * timer.Second
)

// scheduleCancelled schedules restartable jobs that their callers cancel at any entry. The draws have a random source of their own,
// so that the other draws of a seed remain as they are.
func (w *simulation) scheduleCancelled(from, to timer.Millis, every int) {
	draws := rand.New(rand.NewPCG(w.seed, 5))
	for at := from; at < to; at += timer.Millis(1 + draws.IntN(2*every)) {
		id := fmt.Sprintf("cancelled-%d", at)
		e := w.entries[draws.IntN(len(w.entries))]
		cancelAt := at + 300 + timer.Millis(draws.IntN(1500))
		w.schedule(at, func() { w.submit(e, id, 1, cancelledRunTime) })
		w.schedule(cancelAt, func() { w.cancelRestartable(draws, id) })
	}
}

// cancelRestartable cancels a job at a random entry until it gets a final answer. The caller does not send the job again.
func (w *simulation) cancelRestartable(draws *rand.Rand, id string) {
	w.withdrawn[id] = true
	delete(w.jobs, id)
	e := w.entries[draws.IntN(len(w.entries))]
	incarnation, acknowledged := e.incarnation, false
	w.runOn(&e.process, func() bool { return e.incarnation == incarnation }, func() {
		e.core.Cancel(w.now, testQueue.Name, id, func(a Answer) {
			acknowledged = a.Kind == AnswerCancelled || a.Kind == AnswerNotFound
			w.decisions[id] = append(w.decisions[id], fmt.Sprintf("%d %s answers the cancellation: %s", w.now, e.name, a.Kind))
		})
	})
	w.schedule(cancelRepeat, func() {
		if !acknowledged {
			w.cancelRestartable(draws, id)
		}
	})
}
