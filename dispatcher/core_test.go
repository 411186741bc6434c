package dispatcher

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// testBench drives a core with one simulated sidecar step by step.
type testBench struct {
	t       testing.TB
	core    *Core
	now     timer.Millis
	sent    []encoder.Message
	answers map[uint64]encoder.Answer
}

const sidecarSession SessionID = 100

func newTestBench(t testing.TB, s Settings) *testBench {
	s.Member = encoder.Member{ID: "a", Incarnation: 1}
	b := &testBench{t: t, core: New(s), now: timer.Minute, answers: map[uint64]encoder.Answer{}}
	b.confirmStreams()
	b.core.RosterRecord(b.now, 0, elector.Change{
		Kind: elector.ChangeJoin, Entry: encoder.RosterEntry{Member: s.Member, Address: "a"},
	})
	b.core.SessionOpened(b.now, sidecarSession, hello("s", 1))
	b.core.HandleMessage(b.now, sidecarSession, &encoder.CensusReply{Epoch: 1, Last: true})
	b.core.HandleMessage(b.now, sidecarSession, &encoder.Grant{Credits: 2})
	b.takeEffects()
	return b
}

func hello(id string, incarnation uint64) encoder.Hello {
	return encoder.Hello{
		Role: encoder.RoleSidecar, Member: encoder.Member{ID: id, Incarnation: incarnation}, Domain: "north", Slots: 2,
		MemoryMB: 1000,
	}
}

func job(key string, tasks int) encoder.Job {
	j := encoder.Job{Key: key}
	for range tasks {
		j.Tasks = append(j.Tasks, encoder.JobTask{Kind: "sum"})
	}
	return j
}

func (b *testBench) confirmStreams() {
	for _, stream := range []string{StreamConfiguration, StreamRoster, StreamClaims} {
		b.core.StreamConfirmed(b.now, stream, b.now)
	}
}

func (b *testBench) takeEffects() {
	for _, f := range b.core.TakeEffects() {
		switch f.Kind {
		case EffectSend:
			b.sent = append(b.sent, f.Message)
		case EffectAnswer:
			b.answers[f.Request] = f.Answer
		}
	}
}

func (b *testBench) message(m encoder.Message) {
	b.core.HandleMessage(b.now, sidecarSession, m)
	b.takeEffects()
}

func (b *testBench) tick(d timer.Millis) {
	b.now += d
	b.core.Tick(b.now)
	b.takeEffects()
}

// starts returns and clears the indices of the tasks that were started since the last call.
func (b *testBench) starts() []uint32 {
	var list []uint32
	for _, m := range b.sent {
		if s, ok := m.(*encoder.Start); ok {
			list = append(list, s.Task.Index)
		}
	}
	b.sent = nil
	return list
}

// TestAnswers guards against partial answers and wrong outcomes.
func TestAnswers(t *testing.T) {
	done := func(i uint32) *encoder.Result {
		return &encoder.Result{
			Task: encoder.TaskKey{Job: "k", Index: i}, Status: encoder.StatusDone, Body: []byte{byte(i)}, Credits: 1,
		}
	}
	status := func(i uint32, s encoder.Status) *encoder.Result {
		return &encoder.Result{Task: encoder.TaskKey{Job: "k", Index: i}, Status: s, Credits: 1}
	}
	refuse := func(i uint32, r encoder.RefusalReason) *encoder.Refusal {
		return &encoder.Refusal{Task: encoder.TaskKey{Job: "k", Index: i}, Reason: r, Epoch: 1, Credits: 1}
	}
	tests := []struct {
		name    string
		steps   []any // messages of the sidecar, or functions
		state   encoder.JobState
		code    encoder.FailureCode
		outcome encoder.Outcome
	}{
		{"complete", []any{done(1), done(0), done(2)}, encoder.JobComplete, 0, encoder.OutcomeRan},
		{"duplicate results", []any{done(0), done(0), done(0), done(1)}, 0, 0, 0},
		{"result of another index", []any{done(9), done(0), done(1), done(2)}, encoder.JobComplete, 0, encoder.OutcomeRan},
		{"failed task waits for the running one", []any{status(0, encoder.StatusFailed)}, 0, 0, 0},
		{"failed task", []any{status(0, encoder.StatusFailed), done(1)}, encoder.JobFailed, encoder.CodeTaskFailed, encoder.OutcomeRan},
		{"unknown task", []any{status(0, encoder.StatusUnknown), done(1)}, encoder.JobFailed, encoder.CodeUnknown, encoder.OutcomeUnknown},
		{"not started is requeued", []any{status(0, encoder.StatusNotStarted), done(1), done(2), done(0)}, encoder.JobComplete, 0, encoder.OutcomeRan},
		{"refused is requeued", []any{refuse(0, encoder.RefusalDuplicate), refuse(1, encoder.RefusalClaimTimeout), done(0), done(2), done(1)}, encoder.JobComplete, 0, encoder.OutcomeRan},
		{"refusal after result", []any{done(0), refuse(0, encoder.RefusalStaleEpoch), done(1), done(2)}, encoder.JobComplete, 0, encoder.OutcomeRan},
		{"deadline while running", []any{func(b *testBench) { b.tick(timer.Minute) }}, encoder.JobFailed, encoder.CodeDeadline, encoder.OutcomeUnknown},
		{"refused for the deadline", []any{refuse(0, encoder.RefusalDeadline), refuse(1, encoder.RefusalDeadline)}, encoder.JobFailed, encoder.CodeDeadline, encoder.OutcomeNotRun},
		{"canceled while running", []any{func(b *testBench) { b.core.Cancel(b.now, 9, "k") }, refuse(0, encoder.RefusalCanceled), refuse(1, encoder.RefusalCanceled)}, encoder.JobFailed, encoder.CodeCanceled, encoder.OutcomeNotRun},
		{"canceled and ran", []any{func(b *testBench) { b.core.Cancel(b.now, 9, "k") }, done(0), refuse(1, encoder.RefusalCanceled)}, encoder.JobFailed, encoder.CodeCanceled, encoder.OutcomeRan},
		{"session lost", []any{func(b *testBench) { b.core.SessionClosed(b.now, sidecarSession) }}, 0, 0, 0},
		{"sidecar lost", []any{func(b *testBench) { b.core.SessionClosed(b.now, sidecarSession); b.tick(11 * timer.Second) }}, encoder.JobFailed, encoder.CodeUnknown, encoder.OutcomeUnknown},
		{"sidecar restarted", []any{func(b *testBench) { b.core.SessionOpened(b.now, 101, hello("s", 2)) }}, encoder.JobFailed, encoder.CodeUnknown, encoder.OutcomeUnknown},
	}
	for _, tt := range tests {
		b := newTestBench(t, Settings{})
		j := job("k", 3)
		j.Deadline = 30 * timer.Second
		b.core.Submit(b.now, 1, j)
		b.takeEffects()
		if got := len(b.starts()); got != 2 {
			t.Fatalf("%s: %d tasks started with 2 credits", tt.name, got)
		}
		for _, s := range tt.steps {
			switch s := s.(type) {
			case func(b *testBench):
				s(b)
				b.takeEffects()
			default:
				b.message(s)
			}
			b.tick(5)
		}
		got := b.answers[1]
		if got.State != tt.state || got.Code != tt.code || got.Outcome != tt.outcome {
			t.Errorf("%s: got state %d code %d outcome %d (%s), want %d %d %d", tt.name, got.State, got.Code, got.Outcome,
				got.Reason, tt.state, tt.code, tt.outcome)
		}
		if got.State == encoder.JobComplete {
			for i, r := range got.Results {
				if len(r.Body) != 1 || r.Body[0] != byte(i) {
					t.Errorf("%s: result %d is %v", tt.name, i, r.Body)
				}
			}
		} else if len(got.Results) != 0 {
			t.Errorf("%s: a failed answer has results", tt.name)
		}
	}
}

// TestOnTask guards against ends of tasks that are not reported, are reported twice, or are not marked as canceled although
// the task was asked to stop.
func TestOnTask(t *testing.T) {
	end := func(i uint32, s encoder.Status) *encoder.Result {
		return &encoder.Result{Task: encoder.TaskKey{Job: "k", Index: i}, Status: s, RunTime: 70, Credits: 1}
	}
	tests := []struct {
		name     string
		declared timer.Millis
		learnt   int // tasks of 100 ms that ended before
		ends     []*encoder.Result
		restart  bool // of the sidecar
		want     []string
	}{
		{"done", 50, 0, []*encoder.Result{end(0, encoder.StatusDone)}, false, []string{"{north w done 70ms 50ms false}"}},
		{"unknown run time", 0, 0, []*encoder.Result{end(0, encoder.StatusDone)}, false, []string{"{north w done 70ms 0ms false}"}},
		{"learnt run time", 0, 9, []*encoder.Result{end(0, encoder.StatusDone)}, false, []string{"{north w done 70ms 112ms false}"}},
		{"declared run time takes precedence", 50, 9, []*encoder.Result{end(0, encoder.StatusDone)}, false, []string{"{north w done 70ms 50ms false}"}},
		{"counted once", 0, 0, []*encoder.Result{end(0, encoder.StatusDone), end(0, encoder.StatusDone)}, false, []string{"{north w done 70ms 0ms false}"}},
		{"not started", 0, 0, []*encoder.Result{end(0, encoder.StatusNotStarted)}, false, nil},
		{"stopped after a failure", 0, 0, []*encoder.Result{end(0, encoder.StatusFailed), end(1, encoder.StatusFailed)}, false, []string{"{north w failed 70ms 0ms false}", "{north w failed 70ms 0ms true}"}},
		{"worker lost", 0, 0, []*encoder.Result{end(1, encoder.StatusDone)}, true, []string{"{north w done 70ms 0ms false}", "{north w unknown 0ms 0ms false}"}},
	}
	for _, tt := range tests {
		var got []string
		b := newTestBench(t, Settings{OnTask: func(r TaskReport) { got = append(got, fmt.Sprint(r)) }})
		b.core.sidecars["s"].hello.Worker = "w"
		for range tt.learnt {
			b.core.queue.TaskFinished("s", b.core.schedulerTask(&submission{specs: job("", 1).Tasks}, 0), encoder.StatusDone, 100)
		}
		j := job("k", 2)
		j.Tasks[0].RunTime = tt.declared
		b.core.Submit(b.now, 1, j)
		for _, m := range tt.ends {
			b.message(m)
		}
		if tt.restart {
			b.core.SessionOpened(b.now, 101, hello("s", 2))
		}
		if fmt.Sprint(got) != fmt.Sprint(tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
