package keeper

import (
	"reflect"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

const durableJob = "kept-job"

// keptDesk is a desk whose entry owns the partition of a kept job, with the censuses that it sent.
type durableFixture struct {
	*fixture
	censuses []marshaler.Census
	part     marshaler.Partition
}

func newDurableFixture() *durableFixture {
	d := &durableFixture{fixture: newFixture()}
	d.k.Partitions = 4
	d.part = marshaler.Partition{Number: marshaler.PartitionOf(durableJob, 4), Epoch: 5, Previous: 3}
	d.recordCensuses()
	d.claim(d.part)
	return d
}

// watch keeps the censuses of the current session.
func (d *durableFixture) recordCensuses() {
	send := d.link.Send
	d.link.Send = func(m marshaler.Message) {
		if c, ok := m.(*marshaler.Census); ok {
			d.censuses = append(d.censuses, *c)
		}
		send(m)
	}
}

func (d *durableFixture) claim(p marshaler.Partition) {
	d.k.OnMessage(d.now, d.link, &marshaler.Claim{Partitions: []marshaler.Partition{p}})
}

func durableRun(index, attempt uint64) marshaler.RunKey {
	return marshaler.RunKey{Job: durableJob, Index: index, Attempt: attempt}
}

// start orders a run under an epoch and lets the backend server answer.
func (d *durableFixture) startDurable(r marshaler.RunKey, epoch uint64) {
	d.k.OnMessage(d.now, d.link, &marshaler.Start{
		Run: r, Room: marshaler.Room{CPU: 1000}, Estimate: 100, NotAfter: int64(d.now) + 400, Epoch: epoch,
	})
	if d.k.findRun(r) != nil {
		d.k.OnStarted(d.now, Started{Run: r, Status: StartDone})
	}
}

func (d *durableFixture) processed() uint64 {
	h, _ := d.k.BeginHold(d.now)
	return h.Processed
}

// TestUnrecorded guards against ends that the backend server forgets before an entry has recorded them.
func TestUnrecorded(t *testing.T) {
	cases := []struct {
		name   string
		status marshaler.Status
		number uint64 // in the outcome
		before uint64 // processed before Noted
	}{
		{"done", marshaler.StatusDone, 7, 6}, {"failed", marshaler.StatusFailed, 7, 6},
		{"stopped", marshaler.StatusStopped, 0, 7}, {"lapsed", marshaler.StatusLost, 0, 7},
	}
	for _, c := range cases {
		d := newDurableFixture()
		d.startDurable(durableRun(0, 1), 5)
		d.list([]Row{{Run: durableRun(0, 1)}})
		d.list(nil, End{Number: 7, Run: durableRun(0, 1), Status: c.status})
		if got := d.outcomes[len(d.outcomes)-1]; got.Number != c.number || got.Status != c.status {
			t.Errorf("%s: got outcome %+v, want number %d", c.name, got, c.number)
		}
		if got := d.processed(); got != c.before {
			t.Errorf("%s: got %d processed before it was recorded, want %d", c.name, got, c.before)
		}
		d.k.OnMessage(d.now, d.link, &marshaler.Noted{Number: 7, Run: durableRun(0, 2)}) // of another run
		if got := d.processed(); got != c.before {
			t.Errorf("%s: got %d processed after another run was recorded, want %d", c.name, got, c.before)
		}
		d.k.OnMessage(d.now, d.link, &marshaler.Noted{Number: 7, Run: durableRun(0, 1)})
		if got := d.processed(); got != 7 {
			t.Errorf("%s: got %d processed after it was recorded, want 7", c.name, got)
		}
	}
}

// TestVoid guards against void ends that the backend server forgets while its lease goes on, and against a lease that is
// extended meanwhile.
func TestVoid(t *testing.T) {
	d := newDurableFixture()
	d.now += 1500 // the lease of an earlier life of this process is over
	d.list(nil)
	d.startDurable(durableRun(0, 1), 5)
	d.list(nil, End{Number: 1, Run: durableRun(0, 1), Status: marshaler.StatusDone})
	d.k.OnMessage(d.now, d.link, &marshaler.Noted{Number: 1, Run: durableRun(0, 1), Void: true})
	leaseEnd := d.now + LeaseTerm
	for ; d.now <= leaseEnd; d.now += 100 {
		if ok, reason := d.k.Accepting(); ok {
			t.Fatalf("%d ms before the lease ends: got accepting, want a reason", leaseEnd-d.now)
		} else if reason != "lease is left to lapse" {
			t.Errorf("got the reason %q", reason)
		}
		if h, _ := d.k.BeginHold(d.now); h.Until != 0 || h.Processed != 0 {
			t.Errorf("%d ms before the lease ends: got a hold until %d, processed %d, want neither", leaseEnd-d.now, h.Until, h.Processed)
		}
		d.list(nil, End{Number: 1, Run: durableRun(0, 1), Status: marshaler.StatusDone})
	}
	d.list(nil, End{Number: 1, Run: durableRun(0, 1), Status: marshaler.StatusDone})
	if ok, reason := d.k.Accepting(); !ok || d.processed() != 1 {
		t.Errorf("after the lapse: got accepting %v (%s), %d processed, want true and 1", ok, reason, d.processed())
	}
}

// TestClaims guards against starts of former owners, and against runs and ends that a new owner does not learn.
func TestClaims(t *testing.T) {
	d := newDurableFixture()
	d.startDurable(durableRun(0, 1), 5)
	d.startDurable(durableRun(1, 1), 5)
	d.list([]Row{{Run: durableRun(0, 1)}, {Run: durableRun(1, 1)}})
	d.list([]Row{{Run: durableRun(0, 1)}}, End{Number: 1, Run: durableRun(1, 1), Status: marshaler.StatusDone})
	former := d.link
	d.connect("entry-2", 1)
	d.recordCensuses()
	d.claim(marshaler.Partition{Number: d.part.Number, Epoch: 9, Previous: 5})
	got := d.censuses[len(d.censuses)-1]
	if !reflect.DeepEqual(got.Runs, []marshaler.RunKey{durableRun(0, 1)}) || len(got.Ends) != 1 || got.Ends[0].Run != durableRun(1, 1) || got.Ends[0].Stale {
		t.Errorf("new owner: got %+v, want the run and an end that is not stale", got)
	}
	d.link, former = former, d.link
	d.startDurable(durableRun(2, 1), 5)
	if last := d.outcomes[len(d.outcomes)-1]; last.Status != marshaler.StatusRefused || d.k.findRun(durableRun(2, 1)) != nil {
		t.Errorf("start of the former owner: got %+v, want a refusal", last)
	}
	d.claim(d.part) // the former owner's message is late
	d.link = former
	d.startDurable(durableRun(3, 1), 9)
	if d.k.findRun(durableRun(3, 1)) == nil {
		t.Error("start of the new owner: got a refusal, want a run")
	}
	d.k.OnMessage(d.now, d.link, &marshaler.Stop{Run: durableRun(0, 1)})
	if r := d.k.findRun(durableRun(0, 1)); r == nil || r.state != stateStopping {
		t.Error("the new owner cannot stop the run of the former one")
	}
}

// TestStale guards against ends that a new owner takes for current, though an owner between may have started the task
// again.
func TestStale(t *testing.T) {
	cases := []struct {
		name  string
		next  marshaler.Partition
		quiet bool // the owner was out of touch
		want  bool
	}{
		{"handed over", marshaler.Partition{Epoch: 9, Previous: 5}, false, false},
		{"owner between that was never heard of", marshaler.Partition{Epoch: 9, Previous: 7}, false, true},
		{"owner lost", marshaler.Partition{Epoch: 9, Previous: 5}, true, true},
	}
	for _, c := range cases {
		d := newDurableFixture()
		d.startDurable(durableRun(0, 1), 5)
		d.list([]Row{{Run: durableRun(0, 1)}})
		d.list(nil, End{Number: 1, Run: durableRun(0, 1), Status: marshaler.StatusDone})
		if c.quiet {
			d.now += VouchLimit + 1
			d.k.Tick(d.now)
		}
		d.connect("entry-2", 1)
		d.recordCensuses()
		c.next.Number = d.part.Number
		d.claim(c.next)
		got := d.censuses[len(d.censuses)-1]
		if len(got.Ends) != 1 || got.Ends[0].Stale != c.want {
			t.Errorf("%s: got ends %+v, want one that is stale: %v", c.name, got.Ends, c.want)
		}
	}
}

// TestRelease guards against runs of a released partition that go on without an owner, or end although one claims them.
func TestRelease(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		d := newDurableFixture()
		d.startDurable(durableRun(0, 1), 5)
		d.list([]Row{{Run: durableRun(0, 1)}})
		d.k.OnMessage(d.now, d.link, &marshaler.Release{Partition: d.part})
		if claimed {
			d.connect("entry-2", 1)
			d.recordCensuses()
			d.claim(marshaler.Partition{Number: d.part.Number, Epoch: 9, Previous: 5})
		}
		d.now += VouchLimit + 1
		for _, e := range d.k.entries {
			e.lastReceived = d.now
		}
		d.k.Tick(d.now)
		if r := d.k.findRun(durableRun(0, 1)); (r.state == stateStopping) == claimed {
			t.Errorf("claimed %v: got state %d", claimed, r.state)
		}
	}
}

// TestFound guards against ends of an earlier life of the sidecar that nobody learns, and against ends that are listed for
// ever where there are no kept jobs.
func TestEndsOfEarlierProcess(t *testing.T) {
	for _, kept := range []bool{true, false} {
		d := &durableFixture{fixture: newFixture()}
		d.k.Partitions = 4
		d.recordCensuses()
		d.k.OnMessage(d.now, d.link, &marshaler.Beat{Kept: kept})
		d.list(nil, End{Number: 4, Run: durableRun(0, 1), Status: marshaler.StatusDone})
		d.k.Tick(d.now)
		if got, want := d.processed(), map[bool]uint64{true: 3, false: 4}[kept]; got != want {
			t.Errorf("kept jobs in use %v: got %d processed, want %d", kept, got, want)
		}
		if !kept {
			continue
		}
		d.claim(marshaler.Partition{Number: marshaler.PartitionOf(durableJob, 4), Epoch: 5})
		if got := d.censuses[len(d.censuses)-1]; len(got.Ends) != 1 || !got.Ends[0].Stale {
			t.Errorf("got %+v, want the end as a stale one", got)
		}
	}
}
