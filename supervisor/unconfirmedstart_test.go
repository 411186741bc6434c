package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestUnansweredStartBeforeCrash guards against a crash that is not counted against the task that caused it, because the
// answer to an earlier start was lost or late while the backend server was at work.
func TestUnansweredStartBeforeCrash(t *testing.T) {
	cases := []struct {
		name   string
		answer StartStatus // to a start between the unanswered one and the crash
	}{
		{"no other start", 0},
		{"a later start was answered", StartConfirmed},
	}
	for _, c := range cases {
		f := newFixture()
		keys := []marshaler.RunKey{{Job: "lost", Attempt: 1}, {Job: "answered", Attempt: 1}, {Job: "deadly", Attempt: 1}}
		for _, key := range keys {
			if key.Job == "answered" && c.answer == 0 {
				continue
			}
			f.start(key, 1000)
			if key.Job == "answered" {
				f.k.OnStarted(f.now, StartResult{Run: key, Status: c.answer})
			}
			f.now += answerTime
		}
		f.now++
		f.k.OnStarted(f.now, StartResult{Run: keys[2], Status: StartUnknown})
		f.crash()
		if got := f.latestStatus(); got != marshaler.StatusCrashed {
			t.Errorf("%s: got outcome %s of the run that was started last, want crashed", c.name, got)
		}
	}
}
