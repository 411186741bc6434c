package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestStepOrder guards against tasks that start before the steps that they wait for are done.
func TestStepOrder(t *testing.T) {
	room := marshaler.Room{CPU: 1000}
	cases := []struct {
		name  string
		steps []marshaler.Step
		// waves has the steps whose tasks run at the same time, in turn.
		waves [][]int
	}{
		{"one", []marshaler.Step{{Tasks: 2, Room: room}}, [][]int{{0, 0}}},
		{"chain", []marshaler.Step{{Tasks: 2, Room: room}, {Tasks: 1, Room: room, After: []uint64{0}}, {Tasks: 1, Room: room, After: []uint64{1}}}, [][]int{{0, 0}, {1}, {2}}},
		{"independent", []marshaler.Step{{Tasks: 1, Room: room}, {Tasks: 2, Room: room}}, [][]int{{0, 1, 1}}},
		{"fork and join", []marshaler.Step{
			{Tasks: 1, Room: room}, {Tasks: 2, Room: room, After: []uint64{0}}, {Tasks: 1, Room: room, After: []uint64{0}}, {Tasks: 1, Room: room, After: []uint64{1, 2}},
		}, [][]int{{0}, {1, 1, 2}, {3}}},
	}
	for _, c := range cases {
		b := newBench()
		b.s.Submit(b.now, Job{ID: "job", Queue: testQueue, Steps: c.steps, Deadline: 2000, Answer: func(a Answer) { b.answer = append(b.answer, a) }})
		b.s.Flush(b.now)
		for n, wave := range c.waves {
			wave = append([]int(nil), wave...)
			for len(wave) > 0 {
				if len(b.starts) != len(wave) {
					t.Fatalf("%s: wave %d: got %d starts, want %d", c.name, n, len(b.starts), len(wave))
				}
				first := b.starts[0]
				if step, _ := first.run.Task(); step != wave[0] {
					t.Fatalf("%s: wave %d: got a start of step %d, want %d", c.name, n, step, wave[0])
				}
				b.starts, wave = b.starts[1:], wave[1:]
				b.s.OnMessage(b.now, b.links[first.sidecar], &marshaler.Outcome{Run: first.run, Status: marshaler.StatusDone})
				b.s.Flush(b.now)
				if len(wave) > 0 && len(b.starts) != len(wave) {
					t.Fatalf("%s: wave %d: got %d starts before its last task was done, want %d", c.name, n, len(b.starts), len(wave))
				}
			}
		}
		if len(b.answer) != 1 || b.answer[0].Kind != AnswerDone {
			t.Errorf("%s: got answers %v, want done", c.name, b.answer)
		}
	}
}

// TestLongestChain guards against jobs of several steps that are refused as late after the time of one.
func TestLongestChain(t *testing.T) {
	j := Job{Steps: []marshaler.Step{{Estimate: 100}, {Estimate: 50, After: []uint64{0}}, {Estimate: 500}, {Estimate: 70, After: []uint64{0, 1}}}}
	if got := j.longestChain(); got != 500 {
		t.Errorf("got %d ms, want 500", got)
	}
	j.Steps[3].Estimate = 400
	if got := j.longestChain(); got != 550 {
		t.Errorf("got %d ms, want 550", got)
	}
}

// TestRepeat guards against a job that waits for ever, because the placing entry has forgotten its request.
func TestRepeat(t *testing.T) {
	cases := []struct {
		name   string
		begun  bool
		starts int
	}{
		{"a task has run", true, 3}, {"nothing has begun", false, 0},
	}
	for _, c := range cases {
		b := newBench()
		if c.begun {
			b.submit(2)
			first := b.starts[0]
			b.s.placer.SetAccepting("side-a", false)
			b.s.placer.SetAccepting("side-b", false)
			b.s.OnMessage(b.now, b.links[first.sidecar], &marshaler.Outcome{Run: first.run, Status: marshaler.StatusFailed})
		} else {
			b.s.placer.SetAccepting("side-a", false)
			b.s.placer.SetAccepting("side-b", false)
			b.submit(2)
		}
		b.s.placer.Forget("entry")
		for range 50 {
			b.now += 25
			for _, name := range []string{"side-a", "side-b"} {
				b.load(name)
			}
			b.s.Tick(b.now)
		}
		if got := len(b.starts); got != c.starts {
			t.Errorf("%s: got %d starts, want %d", c.name, got, c.starts)
		}
	}
}
