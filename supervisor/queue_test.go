package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestQueueOfCompletedRun guards against run times that the placing entry cannot attribute to a queue.
func TestQueueOfCompletedRun(t *testing.T) {
	for _, want := range []string{"queue", ""} { // an older entry states none
		f := newFixture()
		var got []marshaler.CompletedRun
		f.link.Send = func(m marshaler.Message) {
			if load, ok := m.(*marshaler.Load); ok {
				got = append(got, load.CompletedRuns...)
			}
		}
		f.k.OnMessage(f.now, f.link, &marshaler.LoadSubscription{Enabled: true})
		f.k.OnMessage(f.now, f.link, &marshaler.Start{Run: firstRun, Queue: want, Estimate: 100, NotAfter: int64(f.now) + 400})
		f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
		f.now += 120
		f.list(nil, EndedRun{Number: 1, Run: firstRun, Status: marshaler.StatusDone})
		if len(got) != 1 || got[0].Queue != want || got[0].RunTime != 120 {
			t.Errorf("got %+v, want one run of 120 ms with queue %q", got, want)
		}
	}
}
