package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestStartAfterCrash guards against a job that is answered failed although its task never ran: starts that reach a backend
// server after its crash are not answered, and must not count as crashes under their tasks. A run whose start was answered
// counts, also if the answer to an earlier start was lost.
func TestStartAfterCrash(t *testing.T) {
	cases := []struct {
		name     string
		answered []bool // by start
		want     []marshaler.Status
	}{
		{"answered", []bool{true}, []marshaler.Status{marshaler.StatusCrashed}},
		{"not answered", []bool{false}, []marshaler.Status{marshaler.StatusLost}},
		{"after an answered one", []bool{true, false}, []marshaler.Status{marshaler.StatusCrashed, marshaler.StatusLost}},
		{"answered after a lost answer", []bool{false, true}, []marshaler.Status{marshaler.StatusLost, marshaler.StatusCrashed}},
	}
	for _, c := range cases {
		f := newFixture()
		for i, answered := range c.answered {
			key := marshaler.RunKey{Job: "job", Index: uint64(i), Attempt: 1}
			f.start(key, 1000)
			status := StartUnknown
			if answered {
				status = StartConfirmed
			}
			f.k.OnStarted(f.now, StartResult{Run: key, Status: status})
			f.now += answerTime + 1
		}
		f.crash()
		for i, want := range c.want {
			if got := f.outcomes[i].Status; got != want {
				t.Errorf("%s, start %d: got outcome %s, want %s", c.name, i, got, want)
			}
		}
	}
}
