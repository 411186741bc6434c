package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestRefusalOfLateStart guards against an entry with a wrong estimate of the backend server's clock that starts a task again
// and again: each start is refused as late, and each refusal postpones the load report that corrects the estimate.
func TestRefusalOfLateStart(t *testing.T) {
	f := newFixture()
	var got []int64 // clock in the load reports
	send := f.link.Send
	f.link.Send = func(m marshaler.Message) {
		if l, ok := m.(*marshaler.Load); ok {
			got = append(got, l.Clock)
		}
		send(m)
	}
	f.list(nil)
	got = nil
	f.k.OnMessage(f.now, f.link, &marshaler.Start{Run: firstRun, Resources: marshaler.Resources{CPU: 1000}, Estimate: 100, NotAfter: int64(f.now) - 1500})
	if f.latestStatus() != marshaler.StatusRefused {
		t.Fatalf("got %s, want a refusal", f.latestStatus())
	}
	if len(got) != 1 || got[0] != int64(f.now) {
		t.Errorf("got load reports with the clock %v, want one with %d", got, f.now)
	}
}
