package submitter

import (
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestCancelElsewhere guards against a cancelled restartable job that runs on: its caller's cancellation reaches another entry than
// the one that runs it, and is answered as if the job did not exist.
func TestCancelElsewhere(t *testing.T) {
	reply := func(name string, kind AnswerKind) func(f *useFixture) {
		return func(f *useFixture) {
			for _, number := range f.aborts[name] {
				f.core.OnMessage(f.now, f.links[name], &marshaler.Reply{Number: number, Kind: uint8(kind)})
			}
		}
	}
	lose := func(f *useFixture) { f.core.OnDisconnect(f.now, f.links["b"], errConnectionCut) }
	cases := []struct {
		name   string
		events []func(f *useFixture)
		want   []AnswerKind
	}{
		{"an entry has the job", []func(f *useFixture){reply("a", AnswerNotFound), reply("b", AnswerCancelled)}, []AnswerKind{AnswerCancelled}},
		{"two entries have the job", []func(f *useFixture){reply("a", AnswerCancelled), reply("b", AnswerCancelled)}, []AnswerKind{AnswerCancelled}},
		{"no entry has the job", []func(f *useFixture){reply("a", AnswerNotFound), reply("b", AnswerNotFound)}, []AnswerKind{AnswerNotFound}},
		{"an entry has not answered", []func(f *useFixture){reply("a", AnswerNotFound)}, nil},
		{"an entry of a former version", []func(f *useFixture){reply("a", AnswerNotFound), reply("b", AnswerNotOwner)}, []AnswerKind{AnswerNotRun}},
		{"an entry is lost before it answers", []func(f *useFixture){reply("a", AnswerNotFound), lose}, []AnswerKind{AnswerNotRun}},
		{"an entry is lost, another one has the job", []func(f *useFixture){lose, reply("a", AnswerCancelled)}, []AnswerKind{AnswerCancelled}},
		{"an entry does not answer in time", []func(f *useFixture){reply("a", AnswerNotFound), func(f *useFixture) { f.advance(routeTimeout+100, false) }}, []AnswerKind{AnswerNotRun}},
		{"durable jobs are announced before the answer", []func(f *useFixture){func(f *useFixture) { f.announceOwner("b") }, reply("a", AnswerNotFound), reply("b", AnswerNotFound)}, nil},
	}
	for _, c := range cases {
		f := newUseFixture("a", "b")
		f.core.SetDurableInUse(f.now, false)
		f.heartbeat("a", false)
		f.heartbeat("b", false)
		got := f.request(marshaler.VerbCancel)
		for _, event := range c.events {
			event(f)
		}
		if !slices.Equal(*got, c.want) {
			t.Errorf("%s: got answers %v, want %v", c.name, *got, c.want)
		}
	}
}

// TestAbortCall guards against an entry that does not stop a restartable job that a caller cancels at another entry.
func TestAbortCall(t *testing.T) {
	f := newUseFixture("a")
	var replies []AnswerKind
	f.links["a"].Send = func(m marshaler.Message) {
		if r, ok := m.(*marshaler.Reply); ok {
			replies = append(replies, AnswerKind(r.Kind))
		}
	}
	var got []AnswerKind
	f.core.Submit(f.now, Job{
		ID: "job", Queue: testQueue, Deadline: 2000, Answer: func(a Answer) { got = append(got, a.Kind) },
		Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 1}, Estimate: 10}},
	})
	for range 2 {
		f.core.OnMessage(f.now, f.links["a"], &marshaler.Call{Number: 7, Verb: marshaler.VerbAbort, Job: "job"})
	}
	if want := []AnswerKind{AnswerCancelled, AnswerNotFound}; !slices.Equal(replies, want) {
		t.Errorf("got replies %v, want %v", replies, want)
	}
	if want := []AnswerKind{AnswerAborted}; !slices.Equal(got, want) || f.core.ActiveJobs() != 0 {
		t.Errorf("got answers %v and %d active jobs, want %v and 0", got, f.core.ActiveJobs(), want)
	}
}
