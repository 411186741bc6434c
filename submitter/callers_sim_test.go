package submitter

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// resubmit submits a restartable job again, as callers do whose connection was lost.
func (w *simulation) resubmit(id string, j fakeJob) {
	delete(w.jobs, id)
	w.schedule(resubmitDelay, func() {
		if w.withdrawn[id] {
			return
		}
		first := w.random.IntN(len(w.entries))
		other := w.entries[first]
		for i := 1; !other.alive && i < len(w.entries); i++ { // the caller's next attempt to connect
			other = w.entries[(first+i)%len(w.entries)]
		}
		if other.alive {
			w.resubmitted[id] = true
			w.submit(other, id, j.tasks, j.estimate)
		}
	})
}

// submit submits a job to an entry. If the entry is killed, killEntry resubmits it elsewhere, as callers do.
func (w *simulation) submit(e *fakeEntry, id string, tasks int, estimate timer.Millis) {
	incarnation := e.incarnation
	j := fakeJob{e, incarnation, tasks, estimate, w.now}
	w.jobs[id] = j
	w.runOn(&e.process, func() bool { return e.incarnation == incarnation }, func() {
		e.core.Submit(w.now, Job{
			ID: id, Queue: testQueue, Steps: []marshaler.Step{{Tasks: uint64(tasks), Resources: marshaler.Resources{CPU: 3000, MemoryMB: 64}, Estimate: estimate, ServerTaskLimit: w.serverLimit[id], Label: w.requiredLabel(id)}}, Deadline: max(2000, 4*estimate),
			Answer: func(a Answer) {
				switch {
				case e.incarnation != incarnation || w.departed[j]:
				case a.Kind == AnswerUnknown: // the entry ends the caller's connection
					w.unknownOutcomes++
					w.resubmit(id, j)
				default:
					w.answers[id] = append(w.answers[id], a)
				}
			},
		})
		e.core.Flush(w.now)
	})
}
