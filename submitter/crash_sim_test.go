package submitter

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// crashingTasks crashes the backend server of each run of some tasks and counts what follows. The zero value crashes none.
type crashingTasks struct {
	after   map[string]timer.Millis // time from the start of a run to the crash, by job; the job's first task crashes servers
	crashes map[string]int          // by job
	excess  map[string]int          // starts after three crashes, by job
	onCrash func()
	// unanswered says that the starts of these runs get no answer.
	unanswered bool
}

// isUnanswered reports whether a start crashes its backend server before it is answered.
func (c *crashingTasks) isUnanswered(r marshaler.RunKey) bool {
	_, crashes := c.after[r.Job]
	return crashes && c.unanswered && r.Index == 0
}

// onStart schedules the crash that a run causes. The backend server is back three seconds later.
func (c *crashingTasks) onStart(b *fakeBackend, r marshaler.RunKey) {
	after, ok := c.after[r.Job]
	if !ok || r.Index != 0 {
		return
	}
	if c.crashes[r.Job] >= 3 {
		c.excess[r.Job]++
	}
	startedAt := b.startedAt
	b.w.schedule(after, func() {
		if !b.up || b.startedAt != startedAt || b.runs[r] == nil {
			return
		}
		c.crashes[r.Job]++
		b.crash()
		b.w.schedule(3000, b.restart)
		if c.onCrash != nil {
			c.onCrash()
		}
	})
}

func (w *simulation) addCrashingJobs(after timer.Millis, ids ...string) {
	w.crashing = crashingTasks{after: map[string]timer.Millis{}, crashes: map[string]int{}, excess: map[string]int{}}
	for _, id := range ids {
		w.crashing.after[id] = after
	}
}

// beforeAnswer is the time from a start to a crash that comes before the answer.
const beforeAnswer timer.Millis = 0

// TestCrashingTask guards against a task of a durable job that crashes one backend server after the other: it is started at
// most twice more after three crashes, and its job fails. The count must survive the loss and the change of owners, and the
// jobs beside it must be done.
func TestCrashingTask(t *testing.T) {
	kinds := []fault{
		{"no further fault", func(*simulation) {}},
		{"entries killed", func(w *simulation) { w.killEntry(w.entries[w.random.IntN(len(w.entries))], 500) }},
		{"partitions dealt anew", func(w *simulation) { w.store.assignPartitions(1 + w.random.IntN(2)) }},
		{"sidecars killed", func(w *simulation) { w.killSidecar(w.sidecars[w.random.IntN(len(w.sidecars))], 300) }},
		{"store down", func(w *simulation) { w.store.downUntil = w.now + 1000 }},
	}
	for i, k := range kinds {
		for seed := range uint64(8) {
			for _, after := range []timer.Millis{beforeAnswer, 5, 60} {
				t.Run(fmt.Sprintf("%s/%d ms/%d", k.name, after, seed), func(t *testing.T) {
					crashingDurableJob(newDurableSimulation(t, 900*uint64(i)+seed, 3, 6), k, after)
				})
			}
		}
	}
}

func crashingDurableJob(w *simulation, k fault, after timer.Millis) {
	const id = "crashing"
	w.addCrashingJobs(after, id)
	w.crashing.unanswered = after == beforeAnswer
	// A start by an entry that has just lost the store does not count, so the later crashes happen in calm.
	w.crashing.onCrash = func() {
		if w.crashing.crashes[id] <= 2 {
			w.schedule(timer.Millis(w.random.IntN(300)), func() { k.inject(w) })
		}
	}
	w.advance(2500)
	room := marshaler.Resources{CPU: 3000, MemoryMB: 64}
	w.durable.tasks[id] = 3
	w.schedule(0, func() {
		w.submitDurable(id, []marshaler.Step{{Tasks: 3, Resources: room, Estimate: 150}}, maxSubmissions)
	})
	ids := w.scheduleDurableJobs(0, 4000, 40)
	w.advance(40_000)
	if got := w.crashing.excess[id]; got > 2 {
		w.t.Errorf("got %d starts after three crashes, want at most 2; crashes: %d; decisions: %s", got, w.crashing.crashes[id], w.decisionsOf(id))
	}
	w.checkDurable(append(ids, id))
	for _, other := range append(ids, id) {
		if w.durable.cancelled[other] > 0 || !w.durable.accepted[other] {
			continue
		}
		got := AnswerKind(0)
		w.entries[0].core.State(w.now, testQueue.Name, other, func(a Answer) { got = a.Kind })
		w.advance(10)
		if other == id && got != AnswerFailed {
			w.t.Errorf("got state %s of the job whose task crashes backend servers, want failed", got)
		}
	}
}

// TestNeighborsOfCrashingTask guards against jobs that fail or stay unanswered because another job's task crashed their
// backend servers.
func TestNeighborsOfCrashingTask(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newSimulation(t, seed, 2, 8)
			w.addCrashingJobs(8, "crashing-0", "crashing-1", "crashing-2")
			w.advance(500)
			for n := range 3 {
				w.schedule(timer.Millis(300+700*n), func() { w.submit(w.entries[n%2], fmt.Sprintf("crashing-%d", n), 2, 400) })
			}
			ids := w.scheduleJobs(0, 4000, 25)
			w.advance(15_000)
			for id, got := range marshaler.SortedByKey(w.crashing.crashes) {
				if got > 3 {
					t.Errorf("%s: got %d crashed backend servers, want at most 3", id, got)
				}
			}
			for _, id := range ids {
				answers := w.answers[id]
				if len(answers) != 1 || answers[0].Kind == AnswerFailed {
					t.Errorf("job %s: got answers %v, want one that is not failed; decisions: %s", id, answers, w.decisionsOf(id))
				}
			}
			w.checkAnswers(ids, nil)
		})
	}
}
