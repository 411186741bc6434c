package supervisor

import (
	"reflect"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

const durableJob = "durable-job"

// durableFixture is a fixture whose entry owns the partition of a durable job. It records the censuses.
type durableFixture struct {
	*fixture
	censuses []marshaler.Census
	part     marshaler.Partition
}

func newDurableFixture() *durableFixture {
	f := &durableFixture{fixture: newFixture()}
	f.k.Partitions = 4
	f.part = marshaler.Partition{Number: marshaler.PartitionOf(durableJob, 4), Epoch: 5, Previous: 3}
	f.recordCensuses()
	f.claim(f.part)
	return f
}

// recordCensuses records the censuses that are sent on the current session.
func (f *durableFixture) recordCensuses() {
	send := f.link.Send
	f.link.Send = func(m marshaler.Message) {
		if c, ok := m.(*marshaler.Census); ok {
			f.censuses = append(f.censuses, *c)
		}
		send(m)
	}
}

func (f *durableFixture) claim(p marshaler.Partition) {
	f.k.OnMessage(f.now, f.link, &marshaler.Claim{Partitions: []marshaler.Partition{p}})
}

func durableRun(index, attempt uint64) marshaler.RunKey {
	return marshaler.RunKey{Job: durableJob, Index: index, Attempt: attempt}
}

// startDurable requests a run under an epoch and confirms it if it was admitted.
func (f *durableFixture) startDurable(r marshaler.RunKey, epoch uint64) {
	f.k.OnMessage(f.now, f.link, &marshaler.Start{
		Run: r, Resources: marshaler.Resources{CPU: 1000}, Estimate: 100, NotAfter: int64(f.now) + 400, Epoch: epoch,
	})
	if f.k.findRun(r) != nil {
		f.k.OnStarted(f.now, StartResult{Run: r, Status: StartConfirmed})
	}
}

func (f *durableFixture) processed() uint64 {
	h, _ := f.k.BeginHold(f.now)
	return h.LastProcessedEnd
}

// TestUnrecorded guards against ends that are acknowledged to the backend server before an entry has recorded them.
func TestUnrecorded(t *testing.T) {
	cases := []struct {
		name   string
		status marshaler.Status
		number uint64 // of the end in the outcome
		before uint64 // acknowledged before the end is recorded
	}{
		{"done", marshaler.StatusDone, 7, 6}, {"failed", marshaler.StatusFailed, 7, 6},
		{"stopped", marshaler.StatusStopped, 0, 7}, {"lapsed", marshaler.StatusLost, 0, 7},
	}
	for _, c := range cases {
		f := newDurableFixture()
		f.startDurable(durableRun(0, 1), 5)
		f.list([]RunProgress{{Run: durableRun(0, 1)}})
		f.list(nil, EndedRun{Number: 7, Run: durableRun(0, 1), Status: c.status})
		if got := f.outcomes[len(f.outcomes)-1]; got.Number != c.number || got.Status != c.status {
			t.Errorf("%s: got outcome %+v, want number %d", c.name, got, c.number)
		}
		if got := f.processed(); got != c.before {
			t.Errorf("%s: got %d processed before it was recorded, want %d", c.name, got, c.before)
		}
		f.k.OnMessage(f.now, f.link, &marshaler.OutcomeAck{Number: 7, Run: durableRun(0, 2)}) // of another run
		if got := f.processed(); got != c.before {
			t.Errorf("%s: got %d processed after another run was recorded, want %d", c.name, got, c.before)
		}
		f.k.OnMessage(f.now, f.link, &marshaler.OutcomeAck{Number: 7, Run: durableRun(0, 1)})
		if got := f.processed(); got != 7 {
			t.Errorf("%s: got %d processed after it was recorded, want 7", c.name, got)
		}
	}
}

// TestVoidEnds guards against void ends that are acknowledged to the backend server before its lease has expired, and against a
// lease that is renewed meanwhile.
func TestVoidEnds(t *testing.T) {
	f := newDurableFixture()
	f.now += 1500 // the lease of a previous incarnation of this process has expired
	f.list(nil)
	f.startDurable(durableRun(0, 1), 5)
	f.list(nil, EndedRun{Number: 1, Run: durableRun(0, 1), Status: marshaler.StatusDone})
	f.k.OnMessage(f.now, f.link, &marshaler.OutcomeAck{Number: 1, Run: durableRun(0, 1), Void: true})
	leaseEnd := f.now + LeaseDuration
	for ; f.now <= leaseEnd; f.now += 100 {
		if ok, reason := f.k.Accepting(); ok {
			t.Fatalf("%d ms before the lease ends: got accepting, want a reason", leaseEnd-f.now)
		} else if reason != "lease is left to lapse" {
			t.Errorf("got the reason %q", reason)
		}
		if h, _ := f.k.BeginHold(f.now); h.LeaseUntil != 0 || h.LastProcessedEnd != 0 {
			t.Errorf("%d ms before the lease ends: got a hold until %d, processed %d, want neither", leaseEnd-f.now, h.LeaseUntil, h.LastProcessedEnd)
		}
		f.list(nil, EndedRun{Number: 1, Run: durableRun(0, 1), Status: marshaler.StatusDone})
	}
	f.list(nil, EndedRun{Number: 1, Run: durableRun(0, 1), Status: marshaler.StatusDone})
	if ok, reason := f.k.Accepting(); !ok || f.processed() != 1 {
		t.Errorf("after the expiry: got accepting %v (%s), %d processed, want true and 1", ok, reason, f.processed())
	}
}

// TestClaims guards against starts of previous owners, and against runs and ends that a new owner is not told of.
func TestClaims(t *testing.T) {
	f := newDurableFixture()
	f.startDurable(durableRun(0, 1), 5)
	f.startDurable(durableRun(1, 1), 5)
	f.list([]RunProgress{{Run: durableRun(0, 1)}, {Run: durableRun(1, 1)}})
	f.list([]RunProgress{{Run: durableRun(0, 1)}}, EndedRun{Number: 1, Run: durableRun(1, 1), Status: marshaler.StatusDone})
	previous := f.link
	f.connect("entry-2", 1)
	f.recordCensuses()
	f.claim(marshaler.Partition{Number: f.part.Number, Epoch: 9, Previous: 5})
	got := f.censuses[len(f.censuses)-1]
	if !reflect.DeepEqual(got.Runs, []marshaler.RunKey{durableRun(0, 1)}) || len(got.Ends) != 1 || got.Ends[0].Run != durableRun(1, 1) || got.Ends[0].Stale {
		t.Errorf("new owner: got %+v, want the run and an end that is not stale", got)
	}
	f.link, previous = previous, f.link
	f.startDurable(durableRun(2, 1), 5)
	if last := f.outcomes[len(f.outcomes)-1]; last.Status != marshaler.StatusRefused || f.k.findRun(durableRun(2, 1)) != nil {
		t.Errorf("start of the previous owner: got %+v, want a refusal", last)
	}
	f.claim(f.part) // the previous owner's message is delayed
	f.link = previous
	f.startDurable(durableRun(3, 1), 9)
	if f.k.findRun(durableRun(3, 1)) == nil {
		t.Error("start of the new owner: got a refusal, want a run")
	}
	f.k.OnMessage(f.now, f.link, &marshaler.Stop{Run: durableRun(0, 1)})
	if r := f.k.findRun(durableRun(0, 1)); r == nil || r.state != stateStopping {
		t.Error("the new owner cannot stop the run of the previous one")
	}
}

// TestStaleEnds guards against ends that a new owner counts although an intermediate owner, or a lost one, may have restarted
// the task.
func TestStaleEnds(t *testing.T) {
	cases := []struct {
		name   string
		next   marshaler.Partition
		silent bool // the owner timed out
		late   bool // the run ended after that, before it was stopped
		want   bool
	}{
		{"handed over", marshaler.Partition{Epoch: 9, Previous: 5}, false, false, false},
		{"intermediate owner that never connected", marshaler.Partition{Epoch: 9, Previous: 7}, false, false, true},
		{"owner lost", marshaler.Partition{Epoch: 9, Previous: 5}, true, false, true},
		{"owner lost before the end", marshaler.Partition{Epoch: 9, Previous: 5}, true, true, true},
	}
	for _, c := range cases {
		f := newDurableFixture()
		f.startDurable(durableRun(0, 1), 5)
		f.list([]RunProgress{{Run: durableRun(0, 1)}})
		end := func() { f.list(nil, EndedRun{Number: 1, Run: durableRun(0, 1), Status: marshaler.StatusDone}) }
		if !c.late {
			end()
		}
		if c.silent {
			f.now += EntryTimeout + 1
			f.k.Tick(f.now)
		}
		if c.late {
			end()
		}
		f.connect("entry-2", 1)
		f.recordCensuses()
		c.next.Number = f.part.Number
		f.claim(c.next)
		got := f.censuses[len(f.censuses)-1]
		if len(got.Ends) != 1 || got.Ends[0].Stale != c.want {
			t.Errorf("%s: got ends %+v, want one that is stale: %v", c.name, got.Ends, c.want)
		}
	}
}

// TestRelease guards against runs of a released partition that continue without an owner, or are stopped although a new
// owner has claimed them.
func TestRelease(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		f := newDurableFixture()
		f.startDurable(durableRun(0, 1), 5)
		f.list([]RunProgress{{Run: durableRun(0, 1)}})
		f.k.OnMessage(f.now, f.link, &marshaler.Release{Partition: f.part})
		if claimed {
			f.connect("entry-2", 1)
			f.recordCensuses()
			f.claim(marshaler.Partition{Number: f.part.Number, Epoch: 9, Previous: 5})
		}
		f.now += EntryTimeout + 1
		for _, e := range f.k.entries {
			e.aliveAt = f.now
		}
		f.k.Tick(f.now)
		if r := f.k.findRun(durableRun(0, 1)); (r.state == stateStopping) == claimed {
			t.Errorf("claimed %v: got state %d", claimed, r.state)
		}
	}
}

// TestEndsOfEarlierProcess guards against ends of runs of a previous sidecar process that no entry is told of, and against
// ends that are never acknowledged when there are no durable jobs.
func TestEndsOfEarlierProcess(t *testing.T) {
	for _, inUse := range []bool{true, false} {
		f := &durableFixture{fixture: newFixture()}
		f.k.Partitions = 4
		f.recordCensuses()
		f.k.OnMessage(f.now, f.link, &marshaler.Heartbeat{DurableInUse: inUse})
		f.list(nil, EndedRun{Number: 4, Run: durableRun(0, 1), Status: marshaler.StatusDone})
		f.k.Tick(f.now)
		if got, want := f.processed(), map[bool]uint64{true: 3, false: 4}[inUse]; got != want {
			t.Errorf("durable jobs in use %v: got %d processed, want %d", inUse, got, want)
		}
		if !inUse {
			continue
		}
		f.claim(marshaler.Partition{Number: marshaler.PartitionOf(durableJob, 4), Epoch: 5})
		if got := f.censuses[len(f.censuses)-1]; len(got.Ends) != 1 || !got.Ends[0].Stale {
			t.Errorf("got %+v, want the end as a stale one", got)
		}
	}
}
