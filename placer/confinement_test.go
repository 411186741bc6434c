package placer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// blame reports a crash that a task of a queue is blamed for. Of the workers, w1 and w5 serve confined queues.
func (f *crashFixture) blame(worker int, queue string) {
	f.report(worker, 4000, marshaler.CompletedRun{Job: "x", Status: marshaler.StatusCrashed, Queue: queue, Blame: marshaler.BlamePossible})
}

// TestConfinedQueue guards against a queue whose tasks crash all backend servers of its service.
func TestConfinedQueue(t *testing.T) {
	cases := []struct {
		name   string
		blames int
		queue  string
		after  timer.Millis // time since the crashes
		want   []string
	}{
		{"two crashes", 2, "bad", 0, []string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"}},
		{"the queue", 3, "bad", 0, []string{"w1", "w5"}},
		{"another queue", 3, "good", 0, []string{"w0", "w2", "w3", "w4", "w6", "w7"}},
		{"the queue after a time without crashes", 3, "bad", blameWindow + 1, []string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"}},
	}
	for _, c := range cases {
		f := newCrashFixture()
		for n := range c.blames {
			f.blame(n, "bad")
		}
		f.now += c.after
		f.request("job", c.queue, 32, marshaler.SuspicionNone)
		slices.Sort(f.granted)
		if got := slices.Compact(f.granted); !slices.Equal(got, c.want) {
			t.Errorf("%s: got workers %v, want %v", c.name, got, c.want)
		}
	}
}

// TestConfinedQueueWaits guards against requests of a confined queue that wait while no worker may run them, and against
// requests of other queues that wait behind them.
func TestConfinedQueueWaits(t *testing.T) {
	f := newCrashFixture()
	for n := range 3 {
		f.blame(n, "bad")
	}
	for n := range 20 {
		f.request(fmt.Sprint("bad-", n), "bad", 1, marshaler.SuspicionNone)
	}
	if got := len(f.granted); got != 8 {
		t.Errorf("got %d grants of the confined queue, want the 8 that fit", got)
	}
	f.request("good", "good", 2, marshaler.SuspicionNone)
	if got := len(f.granted); got != 10 {
		t.Errorf("got %d grants behind the confined queue, want 2", got-8)
	}
	f.now += 51
	f.Place(f.now)
	if got := len(f.refused); got != 12 {
		t.Errorf("got %d refusals after the latest start, want 12", got)
	}
	f.refused = nil
	for _, name := range []string{"w1", "w5"} {
		f.SetAccepting(name, false)
	}
	f.request("bad-last", "bad", 1, marshaler.SuspicionNone)
	if got := f.refused; !slices.Equal(got, []string{"bad-last"}) {
		t.Errorf("got refusals %v while no worker may run the queue, want one at once", got)
	}
}
