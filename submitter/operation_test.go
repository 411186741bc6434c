package submitter

import (
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// ownersFixture is an entry that forwards submissions of durable jobs to other entries.
type ownersFixture struct {
	*useFixture
	calls    map[string][]*marshaler.Call // by receiver
	sessions uint64                       // opened so far
	answers  []AnswerKind
}

func newOwnersFixture() *ownersFixture {
	f := &ownersFixture{useFixture: newUseFixture(), calls: map[string][]*marshaler.Call{}}
	f.core.RenewLease(f.now, f.now+timer.Minute)
	f.core.SetDurableInUse(f.now, true)
	f.connect("a")
	f.connect("b")
	return f
}

// connect opens a session with another entry.
func (f *ownersFixture) connect(name string) {
	f.sessions++
	f.links[name] = &marshaler.Link{
		Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: name, Incarnation: 1, Session: f.sessions}, Close: func(error) {},
		Send: func(m marshaler.Message) {
			if call, ok := m.(*marshaler.Call); ok {
				f.calls[name] = append(f.calls[name], call)
			}
		},
	}
	f.core.OnConnect(f.now, f.links[name])
}

func (f *ownersFixture) loseSession(name string) {
	f.core.OnDisconnect(f.now, f.links[name], errConnectionCut)
	delete(f.links, name)
	f.advance(25, true)
}

func (f *ownersFixture) claim(name string, epoch uint64) {
	f.core.OnMessage(f.now, f.links[name], &marshaler.OwnedPartitions{Partitions: []marshaler.Partition{{Epoch: epoch}}})
}

func (f *ownersFixture) submit() {
	f.core.Submit(f.now, Job{
		ID: "job", Kind: Kind{Durable: true}, Queue: testQueue, Deadline: 2000, Answer: func(a Answer) { f.answers = append(f.answers, a.Kind) },
		Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 1000}, Estimate: 100}},
	})
}

// reply answers the latest call to another entry, if there is one.
func (f *ownersFixture) reply(name string, kind AnswerKind) {
	if calls := f.calls[name]; len(calls) > 0 {
		f.core.OnMessage(f.now, f.links[name], &marshaler.Reply{Number: calls[len(calls)-1].Number, Kind: uint8(kind)})
	}
}

// TestRefusalAfterLostOwner guards against the answer that a job never runs although an owner that did not answer may have stored it.
// Its opposite counts, too: a later owner knows what the former ones have stored, and its refusal stays one.
func TestRefusalAfterLostOwner(t *testing.T) {
	reply := func(name string, kind AnswerKind) func(f *ownersFixture) {
		return func(f *ownersFixture) { f.reply(name, kind) }
	}
	claim := func(name string, epoch uint64) func(f *ownersFixture) {
		return func(f *ownersFixture) { f.claim(name, epoch) }
	}
	lose := func(f *ownersFixture) { f.loseSession("a") }
	connect := func(f *ownersFixture) { f.connect("a") }
	acquire := func(epoch uint64) func(f *ownersFixture) {
		return func(f *ownersFixture) { f.core.AcquirePartition(f.now, marshaler.Partition{Epoch: epoch}, nil) }
	}
	release := func(f *ownersFixture) { f.core.ReleasePartition(f.now, 0, true, "reassigned") }
	wait := func(f *ownersFixture) { f.advance(routeTimeout+submitRouteTimeout, true) }
	cases := []struct {
		name   string
		events []func(f *ownersFixture) // after the submission was sent to entry a, which owns the partition under epoch 5
		want   AnswerKind
	}{
		{"refused by the owner", []func(f *ownersFixture){reply("a", AnswerNotRun)}, AnswerNotRun},
		{"refused by the same owner after the session", []func(f *ownersFixture){lose, connect, claim("a", 5), reply("a", AnswerNotRun)}, AnswerAborted},
		{"malformed for the same owner after the session", []func(f *ownersFixture){lose, connect, claim("a", 5), reply("a", AnswerMalformed)}, AnswerAborted},
		{"stored by the same owner", []func(f *ownersFixture){lose, connect, claim("a", 5), reply("a", AnswerAccepted)}, AnswerAccepted},
		{"refused by a later owner", []func(f *ownersFixture){lose, claim("b", 6), reply("b", AnswerNotRun)}, AnswerNotRun},
		{"refused by a former owner", []func(f *ownersFixture){claim("b", 3), lose, reply("b", AnswerNotRun), wait}, AnswerAborted},
		{"former owner has denied, then refused by a later one", []func(f *ownersFixture){
			reply("a", AnswerNotOwner), claim("b", 6), reply("b", AnswerNotRun),
		}, AnswerNotRun},
		{"no owner after a loss", []func(f *ownersFixture){lose, wait}, AnswerAborted},
		{"no owner after a denial", []func(f *ownersFixture){reply("a", AnswerNotOwner), wait}, AnswerNotRun},
		{"this entry owns it later, and loses it", []func(f *ownersFixture){lose, acquire(6), release}, AnswerNotRun},
	}
	for _, c := range cases {
		f := newOwnersFixture()
		f.claim("a", 5)
		f.submit()
		for _, event := range c.events {
			event(f)
		}
		if want := []AnswerKind{c.want}; !slices.Equal(f.answers, want) {
			t.Errorf("%s: got answers %v, want %v", c.name, f.answers, want)
		}
	}
}

// TestFormerOwnerRefuses guards against an entry that decides on submissions of a partition although it knows that another entry has
// acquired it since: it cannot store them, and its refusals are not certain.
func TestFormerOwnerRefuses(t *testing.T) {
	f := newOwnersFixture()
	f.claim("a", 5)
	f.core.AcquirePartition(f.now, marshaler.Partition{Epoch: 3}, nil)
	f.submit()
	if got := len(f.calls["a"]); got != 1 {
		t.Errorf("got %d calls to the later owner, want 1", got)
	}
	f.core.ReleasePartition(f.now, 0, true, "reassigned")
	if len(f.answers) != 0 {
		t.Errorf("got answers %v, want none before the owner answers", f.answers)
	}
}

// TestDelayedSubmission guards against a submission that is delayed beyond a change of the owner and is accepted after a later owner has
// refused the job.
func TestDelayedSubmission(t *testing.T) {
	cases := []struct {
		epoch uint64 // of the call
		want  int    // active jobs
	}{{0, 1}, {7, 1}, {5, 0}}
	for _, c := range cases {
		f := newOwnersFixture()
		f.core.AcquirePartition(f.now, marshaler.Partition{Epoch: 7}, nil)
		body := marshaler.Append(nil, &marshaler.JobRecord{
			ID: "job", Queue: testQueue.Name, Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 1000}, Estimate: 100}},
		})
		f.core.OnMessage(f.now, f.links["a"], &marshaler.Call{Number: 1, Verb: marshaler.VerbSubmit, Job: "job", Queue: testQueue.Name, Body: body, Epoch: c.epoch})
		if got := f.core.ActiveJobs(); got != c.want {
			t.Errorf("epoch %d: got %d active jobs, want %d", c.epoch, got, c.want)
		}
	}
}
