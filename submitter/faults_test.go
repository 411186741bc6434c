package submitter

import (
	"fmt"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

// scheduleJobs schedules submissions to random entries, on average one per interval of the given number of
// milliseconds, and returns the job IDs.
func (w *simulation) scheduleJobs(from, to timer.Millis, every int) (ids []string) {
	for at := from; at < to; at += timer.Millis(1 + w.random.IntN(2*every)) {
		id := fmt.Sprintf("job-%d", w.sequence)
		w.sequence++
		tasks, estimate := 1+w.random.IntN(6), timer.Millis(30+w.random.IntN(300))
		ids = append(ids, id)
		w.limitServers(id, tasks)
		w.requireLabel(id)
		e := w.entries[w.random.IntN(len(w.entries))]
		w.schedule(at, func() { w.submit(e, id, tasks, estimate) })
	}
	return ids
}

// limitServers sets a limit of tasks on one backend server for a share of the jobs. The backend servers can take all tasks.
func (w *simulation) limitServers(id string, tasks int) {
	if w.random.IntN(4) == 0 {
		w.serverLimit[id] = uint64(1 + (tasks-1)/2)
	}
}

// pause suspends the process. Its pending events keep their order.
func (p *process) pause(until timer.Millis) { p.pausedUntil = max(p.pausedUntil, until) }

// clearFaults ends the faults that have no end of their own.
func (w *simulation) clearFaults() {
	w.lostShare, w.executeLate = 0, false
	for _, s := range w.sidecars {
		s.backend.slowdown = 1
	}
}

// fault is a fault to inject into a simulation.
type fault struct {
	name   string
	inject func(w *simulation)
}

// commonFaults returns the faults of processes, backend servers and sessions by name. The arguments, in milliseconds,
// bound how long an entry is down, a process is paused and a link is cut.
func commonFaults(down, paused, cut int) map[string]fault {
	list := []fault{
		{"sidecar killed", func(w *simulation) {
			w.killSidecar(w.sidecars[w.random.IntN(len(w.sidecars))], timer.Millis(20+w.random.IntN(900)))
		}},
		{"entry killed", func(w *simulation) {
			w.killEntry(w.entries[w.random.IntN(len(w.entries))], timer.Millis(20+w.random.IntN(down)))
		}},
		{"sidecar paused", func(w *simulation) {
			w.sidecars[w.random.IntN(len(w.sidecars))].pause(w.now + timer.Millis(w.random.IntN(paused)))
		}},
		{"entry paused", func(w *simulation) {
			w.entries[w.random.IntN(len(w.entries))].pause(w.now + timer.Millis(w.random.IntN(paused)))
		}},
		{"backend server crashed", func(w *simulation) {
			b := w.sidecars[w.random.IntN(len(w.sidecars))].backend
			b.crash()
			w.schedule(timer.Millis(50+w.random.IntN(1500)), func() {
				if !b.up && !b.lost { // otherwise it has started again after an earlier crash; a new incarnation takes time to start
					b.restart()
				}
			})
		}},
		{"sessions reset", func(w *simulation) {
			for _, l := range w.links {
				if w.random.IntN(2) == 0 {
					l.end(errConnectionCut)
				}
			}
		}},
		{"link cut", func(w *simulation) {
			until := w.now + timer.Millis(w.random.IntN(cut))
			for _, l := range w.links {
				if w.random.IntN(3) == 0 {
					l.cutUntil = until
				}
			}
		}},
	}
	byName := map[string]fault{}
	for _, f := range list {
		byName[f.name] = f
	}
	return byName
}

// TestFaults injects one kind of fault at a time, then several. It guards against two concurrent runs of one task,
// false refusals and unanswered jobs.
func TestFaults(t *testing.T) {
	common := commonFaults(900, 2500, 3000)
	kinds := []fault{
		{"none", func(*simulation) {}}, common["sidecar killed"], common["entry killed"], common["sidecar paused"], common["entry paused"],
		common["backend server crashed"],
		{"answers lost", func(w *simulation) { w.lostShare, w.executeLate = 0.1, false }},
		{"orders carried out late", func(w *simulation) { w.lostShare, w.executeLate = 0.1, true }},
		common["sessions reset"], common["link cut"],
		{"runs stand still", func(w *simulation) {
			w.sidecars[w.random.IntN(len(w.sidecars))].backend.stalledUntil = w.now + timer.Millis(w.random.IntN(2000))
		}},
		{"backend server slow", func(w *simulation) { w.sidecars[w.random.IntN(len(w.sidecars))].backend.slowdown = 5 }},
	}
	for i := range kinds {
		for seed := range uint64(12) {
			t.Run(fmt.Sprintf("%s/%d", kinds[i].name, seed), func(t *testing.T) {
				injectOne(newSimulation(t, seed*100+uint64(i), 2, 4), kinds[i])
			})
		}
	}
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("mixed/%d", seed), func(t *testing.T) { injectMixed(newSimulation(t, 5000+seed, 3, 5), kinds) })
	}
	kinds = append(kinds, handoverFaults()...)
	for i := range kinds {
		for seed := range uint64(12) {
			t.Run(fmt.Sprintf("handover/%s/%d", kinds[i].name, seed), func(t *testing.T) {
				injectOne(newHandoverSimulation(t, 10_000+seed*100+uint64(i), 2, 4), kinds[i])
			})
		}
	}
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("handover/mixed/%d", seed), func(t *testing.T) { injectMixed(newHandoverSimulation(t, 15_000+seed, 3, 5), kinds) })
	}
}

// injectOne injects a fault three times while jobs arrive.
func injectOne(w *simulation, f fault) {
	w.drawKinds()
	w.advance(500)
	ids, after := w.scheduleJobs(0, 3000, 25), w.scheduleJobs(7000, 8000, 50)
	w.scheduleCancelled(0, 3000, 300)
	w.schedule(3000, w.clearFaults)
	for n := range 3 {
		w.schedule(timer.Millis(200+900*n), func() {
			w.faults = append(w.faults, f.name)
			f.inject(w)
		})
	}
	w.advance(12_000)
	w.checkAnswers(ids, after)
}

// injectMixed injects twelve random faults while jobs arrive.
func injectMixed(w *simulation, kinds []fault) {
	w.drawKinds()
	w.advance(500)
	ids, after := w.scheduleJobs(0, 5000, 25), w.scheduleJobs(10_000, 11_000, 50)
	w.scheduleCancelled(0, 5000, 300)
	w.schedule(5000, w.clearFaults)
	for n := range 12 {
		w.schedule(timer.Millis(100+400*n), func() {
			k := kinds[w.random.IntN(len(kinds))]
			w.faults = append(w.faults, fmt.Sprintf("%s at %d", k.name, w.now))
			k.inject(w)
		})
	}
	w.advance(15_000)
	w.checkAnswers(ids, after)
}

// checkAnswers checks that each job has one answer, or at most one if its entry was killed, and that no answer denies a
// run that started. Jobs submitted again to another entry are exempt from the latter: that entry cannot know what the
// first one ran, and the caller got no answer from it. All jobs submitted after the faults must be done.
func (w *simulation) checkAnswers(ids, after []string) {
	w.t.Helper()
	for _, id := range append(ids, after...) {
		answers := w.answers[id]
		if len(answers) > 1 {
			w.t.Errorf("job %s: got %d answers, want one", id, len(answers))
		}
		for _, a := range answers {
			if a.Kind == AnswerNotRun && w.startedRuns[id] > 0 && !w.resubmitted[id] {
				w.t.Errorf("job %s: got the answer not run (%s), but %d runs started", id, a.Reason, w.startedRuns[id])
			}
		}
		if j, ok := w.jobs[id]; ok && len(answers) == 0 && j.entry.incarnation == j.incarnation {
			w.t.Errorf("job %s: got no answer, want one, as its entry was not killed; decisions: %s", id, strings.Join(w.decisions[id], "\n"))
		}
	}
	for _, id := range after {
		if answers := w.answers[id]; len(answers) != 1 || answers[0].Kind != AnswerDone {
			w.t.Errorf("job %s, submitted after the faults: got answers %v, want one of kind done; decisions: %s", id, answers,
				strings.Join(w.decisions[id], "\n"))
		}
	}
	for _, e := range w.entries {
		if e.alive && e.core.ActiveJobs() > 0 {
			w.t.Errorf("%s: got %d active jobs long after the last deadline, want 0", e.name, e.core.ActiveJobs())
		}
	}
	for task, n := range w.activeRuns {
		if n != 0 {
			w.t.Errorf("task %s: got %d runs long after the last deadline, want 0", task, n)
		}
	}
}
