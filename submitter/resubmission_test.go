package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestResubmittedJob guards against the outcome of an earlier run that is taken for that of a new one, because a caller sent its
// job again to the same entry while a run of the earlier submission was not known to have ended. The task would be started again
// while the new run is active.
func TestResubmittedJob(t *testing.T) {
	f := newFixture()
	f.submit(1)
	f.core.Abort(f.now, "job", "caller left")
	first := f.starts[0]
	f.load("side-a")
	f.submit(1)
	if len(f.starts) != 2 || f.starts[1].sidecar != first.sidecar {
		t.Fatalf("got starts %v, want two on the same sidecar", f.starts)
	}
	f.core.OnMessage(f.now, f.links[first.sidecar], &marshaler.Outcome{Run: first.run, Status: marshaler.StatusRefused, Reason: "no room"})
	f.core.Flush(f.now)
	if got := len(f.starts); got != 2 {
		t.Errorf("got %d starts after the outcome of the first run, want 2", got)
	}
	f.core.OnMessage(f.now, f.links[first.sidecar], &marshaler.Outcome{Run: f.starts[1].run, Status: marshaler.StatusDone})
	if got := f.answers[len(f.answers)-1].Kind; got != AnswerDone {
		t.Errorf("got answer %s after the end of the second run, want %s", got, AnswerDone)
	}
}
