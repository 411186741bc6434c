package submitter

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestEndBehindCutOfEndedJob guards against a success that counts although its task was started again after it: a run ends
// behind a cut of its sidecar, the task is started elsewhere, and the job ends before the cut heals, because it is cancelled
// or another task has failed.
func TestEndBehindCutOfEndedJob(t *testing.T) {
	cases := []struct {
		name string
		end  func(f *durableFixture, second startOrder)
		void bool
	}{
		{"job cancelled", func(f *durableFixture, _ startOrder) { f.core.Cancel(f.now, testQueue.Name, "job", func(Answer) {}) }, true},
		{"task failed for good", func(f *durableFixture, second startOrder) {
			f.core.OnMessage(f.now, f.links[second.sidecar], &marshaler.Outcome{Run: second.run, Status: marshaler.StatusFailed, Number: 1})
		}, true},
		{"task done", func(f *durableFixture, second startOrder) {
			f.core.OnMessage(f.now, f.links[second.sidecar], &marshaler.Outcome{Run: second.run, Status: marshaler.StatusDone, Number: 1})
		}, true},
	}
	for _, c := range cases {
		for _, stale := range []bool{false, true} { // the owner decides alike whether or not the sidecar noticed the loss of the session
			f := newDurableFixture(&marshaler.JobRecord{ID: "job", Attempts: 1, Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 100}}})
			first := f.nextStart(t, 0)
			link := f.links[first.sidecar]
			f.core.OnDisconnect(f.now, link, errConnectionCut)
			second := f.nextStart(t, 1)
			c.end(f, second)
			f.advance(100)
			if f.core.jobs["job"] != nil {
				t.Fatalf("%s, stale %t: the job is open", c.name, stale)
			}
			f.core.OnConnect(f.now, link)
			f.acks = nil
			f.core.OnMessage(f.now, link, &marshaler.Census{
				Partition: marshaler.Partition{Epoch: 3}, Ends: []marshaler.Outcome{{Run: first.run, Status: marshaler.StatusDone, Number: 5, Stale: stale}},
			})
			if want := (marshaler.OutcomeAck{Number: 5, Run: first.run, Void: c.void}); len(f.acks) != 1 || f.acks[0] != want {
				t.Errorf("%s, stale %t: got acknowledgements %+v, want %+v", c.name, stale, f.acks, want)
			}
		}
	}
}

// TestEndAtCancellation guards against a lease that is left to lapse, with all runs under it, although nothing contradicts a
// success: the run ends while its job is cancelled.
func TestEndAtCancellation(t *testing.T) {
	f := newDurableFixture(&marshaler.JobRecord{ID: "job", Attempts: 1, Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 100}}})
	first := f.nextStart(t, 0)
	f.core.Cancel(f.now, testQueue.Name, "job", func(Answer) {})
	f.advance(25)
	f.core.OnMessage(f.now, f.links[first.sidecar], &marshaler.Outcome{Run: first.run, Status: marshaler.StatusDone, Number: 5})
	if want := (marshaler.OutcomeAck{Number: 5, Run: first.run}); len(f.acks) != 1 || f.acks[0] != want {
		t.Errorf("got acknowledgements %+v, want %+v", f.acks, want)
	}
}

// durableFixture is an entry that owns a partition with one durable job.
type durableFixture struct {
	*fixture
	acks   []marshaler.OutcomeAck
	stored []func(now timer.Millis, offset uint64) // called by advance
}

func newDurableFixture(record *marshaler.JobRecord) *durableFixture {
	f := &durableFixture{fixture: newFixture()}
	for _, link := range f.links {
		send := link.Send
		link.Send = func(m marshaler.Message) {
			if ack, ok := m.(*marshaler.OutcomeAck); ok {
				f.acks = append(f.acks, *ack)
			}
			send(m)
		}
	}
	f.core.Record = func(_, _ uint64, _ []byte, done func(now timer.Millis, offset uint64)) {
		f.stored = append(f.stored, done)
	}
	f.core.SetDurableInUse(f.now, true)
	f.core.Partitions = 1
	f.core.RenewLease(f.now, f.now+100_000)
	record.Queue, record.Service = testQueue.Name, "svc"
	f.core.AcquirePartition(f.now, marshaler.Partition{Epoch: 3}, []*marshaler.JobRecord{record})
	return f
}

// advance moves the time on, with load reports of the connected sidecars and answers of the store.
func (f *durableFixture) advance(length timer.Millis) {
	for end := f.now + length; f.now < end; {
		f.now += 25
		stored := f.stored
		f.stored = nil
		for _, done := range stored {
			done(f.now, 1)
		}
		for _, name := range []string{"side-a", "side-b"} {
			if sc := f.core.sidecars[name]; sc != nil && sc.link != nil {
				f.load(name)
			}
		}
		f.core.Tick(f.now)
	}
}

// nextStart returns the next start after the given number of starts.
func (f *durableFixture) nextStart(t *testing.T, before int) startOrder {
	t.Helper()
	for range 200 {
		if len(f.starts) > before {
			return f.starts[before]
		}
		f.advance(25)
	}
	t.Fatal(fmt.Sprint("got no start after ", f.starts))
	return startOrder{}
}
