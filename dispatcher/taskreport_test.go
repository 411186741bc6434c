package dispatcher

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// TestOnTask guards against ends that blame no worker, blame one twice, or blame one for a task that was asked to stop.
func TestOnTask(t *testing.T) {
	end := func(i uint32, s encoder.Status) *encoder.Result {
		return &encoder.Result{Task: encoder.TaskKey{Job: "k", Index: i}, Status: s, Ran: 70, Credits: 1}
	}
	const place = "{north w "
	tests := []struct {
		name     string
		declared timer.Millis
		learnt   int // tasks of 100 ms that ended before
		steps    []any
		want     []string
	}{
		{"done", 50, 0, []any{end(0, encoder.StatusDone)}, []string{place + "done 70ms 50ms false}"}},
		{"no run time is known", 0, 0, []any{end(0, encoder.StatusDone)}, []string{place + "done 70ms 0ms false}"}},
		{"learnt run time", 0, 9, []any{end(0, encoder.StatusDone)}, []string{place + "done 70ms 112ms false}"}},
		{"declared goes before learnt", 50, 9, []any{end(0, encoder.StatusDone)}, []string{place + "done 70ms 50ms false}"}},
		{"counted once", 0, 0, []any{end(0, encoder.StatusDone), end(0, encoder.StatusDone)}, []string{place + "done 70ms 0ms false}"}},
		{"not started", 0, 0, []any{end(0, encoder.StatusNotStarted)}, nil},
		{"stopped after a failure", 0, 0, []any{end(0, encoder.StatusFailed), end(1, encoder.StatusFailed)},
			[]string{place + "failed 70ms 0ms false}", place + "failed 70ms 0ms true}"}},
		{"worker lost", 0, 0, []any{end(1, encoder.StatusDone), func(b *bench) { b.core.Up(b.now, 101, hello("s", 2)) }},
			[]string{place + "done 70ms 0ms false}", place + "unknown 0ms 0ms false}"}},
	}
	for _, tt := range tests {
		var got []string
		b := newBench(t, Settings{OnTask: func(r TaskReport) { got = append(got, fmt.Sprint(r)) }})
		b.core.sidecars["s"].hello.Worker = "w"
		for range tt.learnt {
			b.core.queue.Finished("s", b.core.queued(&submission{specs: job("", 1).Tasks}, 0), encoder.StatusDone, 100)
		}
		j := job("k", 2)
		j.Tasks[0].RunTime = tt.declared
		b.core.Submit(b.now, 1, j)
		for _, s := range tt.steps {
			if f, ok := s.(func(*bench)); ok {
				f(b)
			} else {
				b.message(s)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
