package supervisor

import (
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// startSuspect starts a run and confirms it.
func (f *fixture) startSuspect(index uint64, s marshaler.Suspicion) marshaler.RunKey {
	key := marshaler.RunKey{Job: "job", Index: index, Attempt: 1}
	f.k.OnMessage(f.now, f.link, &marshaler.Start{Run: key, Resources: marshaler.Resources{CPU: 1000}, Estimate: 100, NotAfter: int64(f.now) + 400, Queue: "q", Suspicion: s})
	f.k.OnStarted(f.now, StartResult{Run: key, Status: StartConfirmed})
	return key
}

// crash lets the backend server refuse connections.
func (f *fixture) crash() {
	f.failHold(true, "refused")
	f.failHold(true, "refused")
}

// TestCrashEvidence guards against a task that is blamed for the crash of its backend server while another one may have
// caused it.
func TestCrashEvidence(t *testing.T) {
	const none, possible = marshaler.SuspicionNone, marshaler.SuspicionPossible
	const gap = 2 * answerTime
	cases := []struct {
		name string
		runs []marshaler.Suspicion // in the order of their starts
		gap  timer.Millis          // between the starts
		want []marshaler.Blame
	}{
		{"one run", []marshaler.Suspicion{none}, gap, []marshaler.Blame{0}},
		{"one suspect", []marshaler.Suspicion{possible}, gap, []marshaler.Blame{marshaler.BlameCertain}},
		{"no suspect", []marshaler.Suspicion{none, none}, gap, []marshaler.Blame{0, 0}},
		{"two suspects", []marshaler.Suspicion{possible, possible}, gap, []marshaler.Blame{marshaler.BlameCertain}}, // the second is refused
		{"a suspect started last", []marshaler.Suspicion{none, possible}, gap, []marshaler.Blame{0, marshaler.BlameProbable}},
		{"a suspect started shortly after another run", []marshaler.Suspicion{none, possible}, 1, []marshaler.Blame{0, marshaler.BlamePossible}},
		{"another run started after the suspect", []marshaler.Suspicion{possible, none}, gap, []marshaler.Blame{0, 0}},
	}
	for _, c := range cases {
		f := newFixture()
		var reported []marshaler.Blame // to the placing entry
		send := f.link.Send
		f.link.Send = func(m marshaler.Message) {
			if load, ok := m.(*marshaler.Load); ok {
				for _, r := range load.CompletedRuns {
					reported = append(reported, r.Blame)
				}
			}
			send(m)
		}
		f.k.OnMessage(f.now, f.link, &marshaler.LoadSubscription{Enabled: true})
		var rows []RunProgress
		for i, s := range c.runs {
			if key := f.startSuspect(uint64(i), s); len(f.starts) > len(rows) {
				rows = append(rows, RunProgress{Run: key, Percent: 10})
			}
			f.now += c.gap
		}
		f.list(rows)
		f.outcomes = nil
		f.crash()
		f.advance(200) // until the next load report
		for i, want := range c.want {
			if got := f.outcomes[i]; got.Status != marshaler.StatusCrashed || got.Blame != want {
				t.Errorf("%s, run %d: got %s, blame %d, want crashed, %d", c.name, i, got.Status, got.Blame, want)
			}
		}
		if !slices.Equal(reported, c.want) {
			t.Errorf("%s: got blame %v in the load report, want %v", c.name, reported, c.want)
		}
	}
}

// TestCrashCountsOnce guards against starts that reach a backend server after its crash and count as a second one, and
// against a planned exit that counts as a crash.
func TestCrashCountsOnce(t *testing.T) {
	f := newFixture()
	f.list([]RunProgress{{Run: f.startSuspect(0, marshaler.SuspicionNone)}})
	f.crash()
	f.startSuspect(0, marshaler.SuspicionPossible)
	if got := f.latestStatus(); got != marshaler.StatusRefused {
		t.Errorf("got %s for a start after the crash, want refused", got)
	}
	f = newFixture()
	f.list([]RunProgress{{Run: f.startSuspect(0, marshaler.SuspicionNone)}})
	f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 10, Sequence: 2, Service: "svc", Draining: true})
	f.crash()
	if got := f.latestStatus(); got != marshaler.StatusLost {
		t.Errorf("got %s after the exit of a draining backend server, want lost", got)
	}
}

// TestSuspectRunsApart guards against two suspect tasks on one backend server, and against a task beside one that must run
// alone.
func TestSuspectRunsApart(t *testing.T) {
	const none, possible, strong = marshaler.SuspicionNone, marshaler.SuspicionPossible, marshaler.SuspicionStrong
	cases := []struct {
		name          string
		first, second marshaler.Suspicion
		want          bool
	}{
		{"a suspect beside an ordinary task", none, possible, true},
		{"an ordinary task beside a suspect", possible, none, true},
		{"two suspects", possible, possible, false},
		{"one that must run alone beside an ordinary task", none, strong, false},
		{"an ordinary task beside one that must run alone", strong, none, false},
		{"a suspect beside one that must run alone", strong, possible, false},
	}
	for _, c := range cases {
		f := newFixture()
		f.startSuspect(0, c.first)
		f.startSuspect(1, c.second)
		if got := len(f.starts) == 2; got != c.want {
			t.Errorf("%s: got started %v, want %v", c.name, got, c.want)
		}
	}
}
