package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestStartsAfterLapse guards against a sidecar that reports that it accepts starts and refuses each of them, because the lease has
// expired and is withheld for a start that was never carried out. Its entry sends the refused task to it again at once.
func TestStartsAfterLapse(t *testing.T) {
	f := newFixture()
	f.advance(testTick)
	f.start(firstRun, 100)
	f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartUnknown}) // its stops stay unanswered
	refused, accepting := 0, 0
	for n := range uint64(60) {
		f.k.OnMessage(f.now, f.link, &marshaler.Heartbeat{SentAt: f.now})
		f.advance(testTick)
		f.list(nil)
		ok, _ := f.k.Accepting()
		before := len(f.starts)
		other := marshaler.RunKey{Job: "other", Index: n, Attempt: 1}
		if f.start(other, 1); len(f.starts) == before {
			refused++
			if ok {
				accepting++
			}
			continue
		}
		f.k.OnStarted(f.now, StartResult{Run: other, Status: StartConfirmed})
		f.list([]RunProgress{{Run: other, Percent: 100}})
		f.list(nil, EndedRun{n + 1, other, marshaler.StatusDone})
	}
	if refused > 0 {
		t.Errorf("got %d of 60 starts refused, %d of them while starts are accepted, want 0: the only unconfirmed run cannot be alive", refused, accepting)
	}
}
