package submitter

import (
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// useFixture is an entry with sessions to other entries, which records what it asks of them and of the store.
type useFixture struct {
	core  *Submitter
	now   timer.Millis
	links map[string]*marshaler.Link
	calls int // to other entries, about durable jobs
	// aborts has the calls about restartable jobs, by entry. None has the job.
	aborts  map[string][]uint64
	lookups []func(now timer.Millis, inUse, ok bool)
	found   int // calls of DurableJobsFound
}

func newUseFixture(peers ...string) *useFixture {
	f := &useFixture{now: 1000, links: map[string]*marshaler.Link{}, aborts: map[string][]uint64{}}
	f.core = &Submitter{
		Name: "entry", Incarnation: 9, Partitions: 1, DurableJobsFound: func() { f.found++ },
		LookUpDurableUse: func(done func(now timer.Millis, inUse, ok bool)) { f.lookups = append(f.lookups, done) },
	}
	f.core.SetSnapshot(f.now, testSnapshot())
	for _, name := range peers {
		f.links[name] = &marshaler.Link{
			Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: name, Incarnation: 1, Session: 1}, Close: func(error) {},
			Send: func(m marshaler.Message) {
				call, ok := m.(*marshaler.Call)
				switch {
				case ok && call.Verb == marshaler.VerbAbort:
					f.aborts[name] = append(f.aborts[name], call.Number)
				case ok:
					f.calls++
				}
			},
		}
		f.core.OnConnect(f.now, f.links[name])
	}
	return f
}

func (f *useFixture) heartbeat(name string, inUse bool) {
	f.core.OnMessage(f.now, f.links[name], &marshaler.Heartbeat{DurableInUse: inUse})
}

func (f *useFixture) announceOwner(name string) {
	f.core.OnMessage(f.now, f.links[name], &marshaler.OwnedPartitions{Partitions: []marshaler.Partition{{Epoch: 1}}})
}

// answerAborts lets the other entries answer that they do not have the job.
func (f *useFixture) answerAborts() {
	for name, numbers := range marshaler.SortedByKey(f.aborts) {
		for _, number := range numbers {
			f.core.OnMessage(f.now, f.links[name], &marshaler.Reply{Number: number, Kind: uint8(AnswerNotFound)})
		}
	}
	clear(f.aborts)
}

// advance moves the time on, while all other entries send heartbeats.
func (f *useFixture) advance(length timer.Millis, inUse bool) {
	for end := f.now + length; f.now < end; {
		f.now += 25
		for name := range marshaler.SortedByKey(f.links) {
			f.heartbeat(name, inUse)
		}
		f.core.Tick(f.now)
	}
}

// request requests the state of a job, or its cancellation, and returns the answers that will have been given.
func (f *useFixture) request(verb marshaler.Verb) *[]AnswerKind {
	answers := &[]AnswerKind{}
	answer := func(a Answer) { *answers = append(*answers, a.Kind) }
	if verb == marshaler.VerbCancel {
		f.core.Cancel(f.now, testQueue.Name, "job", answer)
	} else {
		f.core.State(f.now, testQueue.Name, "job", answer)
	}
	return answers
}

// TestUnknownDurableUse guards against the answer that a job does not exist, of an entry that does not know whether there are
// durable jobs: its connection to the store is silent or cut off, or it has just started.
func TestUnknownDurableUse(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *useFixture)
		after   func(f *useFixture) // after the request
		lookups int
		calls   int
		want    []AnswerKind
	}{
		{"no durable jobs", func(f *useFixture) {
			f.core.SetDurableInUse(f.now, false)
			f.heartbeat("a", false)
			f.heartbeat("b", false)
		}, func(*useFixture) {}, 0, 0, []AnswerKind{AnswerNotFound}},
		{"another entry owns partitions", func(f *useFixture) {
			f.core.SetDurableInUse(f.now, false)
			f.announceOwner("a")
		}, func(*useFixture) {}, 0, 1, nil},
		{"another entry reports durable jobs", func(f *useFixture) {
			f.core.SetDurableInUse(f.now, false)
			f.heartbeat("a", true)
			f.heartbeat("b", false)
		}, func(f *useFixture) { f.announceOwner("a") }, 1, 1, nil},
		{"an entry is lost, and the store has no marker", func(f *useFixture) {
			f.core.SetDurableInUse(f.now, false)
			f.heartbeat("a", false)
			f.core.OnDisconnect(f.now, f.links["b"], errConnectionCut)
			f.now += lostPeerTime
			f.heartbeat("a", false)
		}, func(f *useFixture) { f.lookups[0](f.now, false, true) }, 1, 0, []AnswerKind{AnswerNotFound}},
		{"an entry is lost, and the store has the marker", func(f *useFixture) {
			f.core.SetDurableInUse(f.now, false)
			f.core.OnDisconnect(f.now, f.links["b"], errConnectionCut)
		}, func(f *useFixture) {
			f.lookups[0](f.now, true, true)
			f.announceOwner("a")
		}, 1, 1, nil},
		{"just started, and the store does not answer", func(*useFixture) {}, func(f *useFixture) {
			f.lookups[0](f.now, false, false)
			f.advance(routeTimeout+100, true)
		}, 2, 0, []AnswerKind{AnswerNotRun}},
	}
	for _, c := range cases {
		for _, verb := range []marshaler.Verb{marshaler.VerbState, marshaler.VerbCancel} {
			f := newUseFixture("a", "b")
			c.prepare(f)
			got := f.request(verb)
			c.after(f)
			f.answerAborts()
			if !slices.Equal(*got, c.want) || len(f.lookups) != c.lookups || f.calls != c.calls {
				t.Errorf("%s, verb %d: got answers %v, %d reads of the store and %d calls, want %v, %d and %d", c.name, verb, *got, len(f.lookups), f.calls, c.want, c.lookups, c.calls)
			}
		}
	}
}

// TestLookupBeforeRequest guards against a job that is denied by a read of the store that began before the job's caller asked: the
// first durable job may have been accepted meanwhile.
func TestLookupBeforeRequest(t *testing.T) {
	f := newUseFixture()
	first := f.request(marshaler.VerbState)
	second := f.request(marshaler.VerbState)
	f.lookups[0](f.now, false, true)
	if !slices.Equal(*first, []AnswerKind{AnswerNotFound}) || len(*second) != 0 {
		t.Errorf("got answers %v and %v after the first read, want not found and none", *first, *second)
	}
	if len(f.lookups) != 2 {
		t.Fatalf("got %d reads of the store, want 2", len(f.lookups))
	}
	f.lookups[1](f.now, true, true)
	if len(*second) != 0 || !f.core.durable.use.inUse {
		t.Errorf("got answers %v after the marker was read, want none without an owner", *second)
	}
}

// TestOwnerShowsUse guards against an entry that does not take part in owning the durable jobs, because it learns of them from
// another entry instead of the store: it must start to, once, and tell its sessions to be active.
func TestOwnerShowsUse(t *testing.T) {
	f := newUseFixture("a")
	f.core.SetDurableInUse(f.now, false)
	f.announceOwner("a")
	if f.found != 1 || !f.core.newHeartbeat().DurableInUse {
		t.Errorf("got %d calls of DurableJobsFound and heartbeats with durable jobs in use %v, want 1 and true", f.found, f.core.newHeartbeat().DurableInUse)
	}
	f.announceOwner("a")
	f.core.SetDurableInUse(f.now, true)
	if f.found != 1 {
		t.Errorf("got %d calls of DurableJobsFound in all, want 1", f.found)
	}
}
