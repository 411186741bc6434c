package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestStepOrder guards against tasks that start before the steps that they depend on are done.
func TestStepOrder(t *testing.T) {
	room := marshaler.Resources{CPU: 1000}
	cases := []struct {
		name  string
		steps []marshaler.Step
		// waves lists the steps of the tasks that run at the same time, in order.
		waves [][]int
	}{
		{"one", []marshaler.Step{{Tasks: 2, Resources: room}}, [][]int{{0, 0}}},
		{"chain", []marshaler.Step{{Tasks: 2, Resources: room}, {Tasks: 1, Resources: room, After: []uint64{0}}, {Tasks: 1, Resources: room, After: []uint64{1}}}, [][]int{{0, 0}, {1}, {2}}},
		{"independent", []marshaler.Step{{Tasks: 1, Resources: room}, {Tasks: 2, Resources: room}}, [][]int{{0, 1, 1}}},
		{"fork and join", []marshaler.Step{
			{Tasks: 1, Resources: room}, {Tasks: 2, Resources: room, After: []uint64{0}}, {Tasks: 1, Resources: room, After: []uint64{0}}, {Tasks: 1, Resources: room, After: []uint64{1, 2}},
		}, [][]int{{0}, {1, 1, 2}, {3}}},
	}
	for _, c := range cases {
		f := newFixture()
		f.core.Submit(f.now, Job{ID: "job", Queue: testQueue, Steps: c.steps, Deadline: 2000, Answer: func(a Answer) { f.answers = append(f.answers, a) }})
		f.core.Flush(f.now)
		for n, wave := range c.waves {
			wave = append([]int(nil), wave...)
			for len(wave) > 0 {
				if len(f.starts) != len(wave) {
					t.Fatalf("%s: wave %d: got %d starts, want %d", c.name, n, len(f.starts), len(wave))
				}
				first := f.starts[0]
				if step, _ := first.run.Task(); step != wave[0] {
					t.Fatalf("%s: wave %d: got a start of step %d, want %d", c.name, n, step, wave[0])
				}
				f.starts, wave = f.starts[1:], wave[1:]
				f.core.OnMessage(f.now, f.links[first.sidecar], &marshaler.Outcome{Run: first.run, Status: marshaler.StatusDone})
				f.core.Flush(f.now)
				if len(wave) > 0 && len(f.starts) != len(wave) {
					t.Fatalf("%s: wave %d: got %d starts before its last task was done, want %d", c.name, n, len(f.starts), len(wave))
				}
			}
		}
		if len(f.answers) != 1 || f.answers[0].Kind != AnswerDone {
			t.Errorf("%s: got answers %v, want done", c.name, f.answers)
		}
	}
}

// TestCriticalPath guards against refusing jobs of several steps as late, by the estimate of a single step.
func TestCriticalPath(t *testing.T) {
	j := Job{Steps: []marshaler.Step{{Estimate: 100}, {Estimate: 50, After: []uint64{0}}, {Estimate: 500}, {Estimate: 70, After: []uint64{0, 1}}}}
	if got := j.criticalPath(); got != 500 {
		t.Errorf("got %d ms, want 500", got)
	}
	j.Steps[3].Estimate = 400
	if got := j.criticalPath(); got != 550 {
		t.Errorf("got %d ms, want 550", got)
	}
}

// TestRemainingPath guards against steps whose target end leaves no time for the steps that follow.
func TestRemainingPath(t *testing.T) {
	j := Job{Steps: []marshaler.Step{{Estimate: 100}, {Estimate: 50, After: []uint64{0}}, {Estimate: 500}, {Estimate: 70, After: []uint64{0, 1}}, {Estimate: 5, After: []uint64{2}}}}
	for n, want := range []timer.Millis{120, 70, 5, 0, 0} {
		if got := j.remainingPath(n); got != want {
			t.Errorf("step %d: got %d ms, want %d", n, got, want)
		}
	}
}

// TestRepeatedRequest guards against a job that waits forever because the placing entry has lost its request.
func TestRepeatedRequest(t *testing.T) {
	cases := []struct {
		name   string
		begun  bool
		starts int
	}{
		{"a task has run", true, 3}, {"no task has started", false, 0},
	}
	for _, c := range cases {
		f := newFixture()
		if c.begun {
			f.submit(2)
			first := f.starts[0]
			f.core.placer.SetAccepting("side-a", false)
			f.core.placer.SetAccepting("side-b", false)
			f.core.OnMessage(f.now, f.links[first.sidecar], &marshaler.Outcome{Run: first.run, Status: marshaler.StatusFailed})
		} else {
			f.core.placer.SetAccepting("side-a", false)
			f.core.placer.SetAccepting("side-b", false)
			f.submit(2)
		}
		f.core.placer.RemoveEntry("entry")
		for range 50 {
			f.now += 25
			for _, name := range []string{"side-a", "side-b"} {
				f.load(name)
			}
			f.core.Tick(f.now)
		}
		if got := len(f.starts); got != c.starts {
			t.Errorf("%s: got %d starts, want %d", c.name, got, c.starts)
		}
	}
}
