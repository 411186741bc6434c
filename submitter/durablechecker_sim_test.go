package submitter

import (
	"strings"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/supervisor"
	"github.com/crocuslb/crocuslb/timer"
)

// durableChecker checks what backend servers, callers and the store observe of durable jobs.
type durableChecker struct {
	starts     map[string][]timer.Millis // by task
	failures   map[string][]timer.Millis // times of the failures that backend servers may forget, by task
	recordedAt map[string]timer.Millis   // time of the recorded success, by task
	accepted   map[string]bool
	refused    map[string]bool
	tasks      map[string]int
	// answers counts the answers to submissions. AnswerAborted leaves open whether the job is stored.
	answers map[AnswerKind]int
	// cancelled holds the times at which cancellations were acknowledged, by job.
	cancelled map[string]timer.Millis
	// denied holds the times at which cancellations were answered with "no such job", by job.
	denied map[string]timer.Millis
	steps  map[string][]marshaler.Step // by job
	done   map[string]bool             // tasks of which a run has succeeded
	// stillSince holds the time since which a job has nothing running, and ended the jobs that have ended in the store, for
	// checkStanding.
	stillSince map[string]timer.Millis
	ended      map[string]bool
}

// onStart checks a start of a durable job's task.
func (k *durableChecker) onStart(w *simulation, task string) {
	if at, ok := k.recordedAt[task]; ok {
		w.t.Errorf("at %d ms, task %s starts after its success at %d ms was recorded; decisions: %s", w.now, task, at, w.decisionsOf(task))
	}
	job, _, _ := strings.Cut(task, ".")
	if at, ok := k.denied[job]; ok && w.now > at+cancelDelay {
		w.t.Errorf("at %d ms, task %s starts although the cancellation of its job was answered with no such job at %d ms; decisions: %s", w.now, task, at, w.decisionsOf(task))
	}
	if at, ok := k.cancelled[job]; ok && w.now > at+cancelDelay {
		w.t.Errorf("at %d ms, task %s starts although its job was cancelled at %d ms; decisions: %s", w.now, task, at, w.decisionsOf(task))
	}
	k.starts[task] = append(k.starts[task], w.now)
	k.checkFailures(w, task)
	k.checkOrder(w, task)
}

// onRecordedFailure checks a failure that the backend server may forget. It is ignored if the lease has expired since.
func (k *durableChecker) onRecordedFailure(w *simulation, task string, ended, lapsed timer.Millis) {
	if lapsed <= ended {
		k.failures[task] = append(k.failures[task], ended)
		k.checkFailures(w, task)
	}
}

// checkFailures checks that no start of a task followed as many failures as its queue allows.
func (k *durableChecker) checkFailures(w *simulation, task string) {
	for _, at := range k.starts[task] {
		before := 0
		for _, ended := range k.failures[task] {
			if ended < at {
				before++
			}
		}
		if before >= int(testQueue.AttemptLimit) {
			w.t.Errorf("at %d ms, task %s has a start at %d ms after %d recorded failures; decisions: %s", w.now, task, at, before, w.decisionsOf(task))
		}
	}
}

// onForgotten checks an end that the backend server may forget.
func (k *durableChecker) onForgotten(b *fakeBackend, e supervisor.EndedRun) {
	switch e.Status {
	case marshaler.StatusDone:
		k.onRecordedEnd(b.w, taskOf(e.Run), b.endedAt[e.Number], b.leaseExpiredAt)
	case marshaler.StatusFailed:
		k.onRecordedFailure(b.w, taskOf(e.Run), b.endedAt[e.Number], b.leaseExpiredAt)
	}
}

// onRecordedEnd checks a success that the backend server may forget. It is ignored if the lease has expired since.
func (k *durableChecker) onRecordedEnd(w *simulation, task string, ended, lapsed timer.Millis) {
	if lapsed > ended {
		return
	}
	for _, at := range k.starts[task] {
		if at > ended {
			w.t.Errorf("at %d ms, the success of task %s at %d ms was recorded, but the task was restarted at %d ms; decisions: %s", w.now, task, ended, at, w.decisionsOf(task))
		}
	}
	k.recordedAt[task] = ended
}
