package acquirer

import (
	"reflect"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

const testLease = 1300 * timer.Millisecond

// newMembership returns a membership that owns partitions 1 and 2 under epoch 5, by a heartbeat sent at 1000.
func newMembership() *Membership {
	m := &Membership{LeaseDuration: testLease}
	m.Join()
	m.OnAssigned(1003, 1000, 5, []uint64{1, 2})
	return m
}

// TestReassignedAndBack guards against an entry that takes a partition for owned all the while, although the store has given it to
// another entry and back between two of its heartbeats: it denies jobs that the other one has accepted, and never learns of the
// ends of their runs.
func TestReassignedAndBack(t *testing.T) {
	cases := []struct {
		name     string
		unbroken bool
		provenAt timer.Millis
		want     Verdict
	}{
		{"no other owner", true, 1500, Kept},
		{"records of another owner", false, 1500, Broken},
		{"proof after the end of the lease", true, 2300, Broken},
	}
	for _, c := range cases {
		m := newMembership()
		got := m.OnAssigned(1403, 1400, 7, []uint64{1, 2})
		want := Changes{Prove: []Proof{{1, 7, 2300}, {2, 7, 2300}}, LeaseUntil: 2700, ConfirmedAt: 1400}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", c.name, got, want)
		}
		if got := m.OnProven(c.provenAt, 1, 7, c.unbroken); got != c.want {
			t.Errorf("%s: got verdict %d, want %d", c.name, got, c.want)
		}
		if got := []timer.Millis{m.Limit(1), m.Limit(2)}; got[0] != 0 || got[1] != 2300 {
			t.Errorf("%s: got limits %v, want none for the partition with the answer and 2300", c.name, got)
		}
	}
}

// TestProofOfFormerGeneration guards against an ownership that counts as proven although the generation has changed again since the
// proof was requested.
func TestProofOfFormerGeneration(t *testing.T) {
	m := newMembership()
	m.OnAssigned(1403, 1400, 6, []uint64{1, 2})
	m.OnAssigned(1803, 1800, 7, []uint64{1, 2})
	if got := m.OnProven(1900, 1, 6, true); got != Kept || m.Limit(1) != 2300 {
		t.Errorf("got verdict %d, limit %d, want %d with the limit of the last proven lease, 2300", got, m.Limit(1), Kept)
	}
	if got := m.OnProven(1900, 2, 6, false); got != Broken || m.Limit(2) == 0 {
		t.Errorf("got verdict %d, limit %d, want %d with a limit", got, m.Limit(2), Broken)
	}
	if got := m.OnProven(1950, 1, 7, true); got != Kept || m.Limit(1) != 0 {
		t.Errorf("got verdict %d, limit %d, want %d without a limit", got, m.Limit(1), Kept)
	}
}

// TestExpiredOwnership guards against a partition that the event loop has released, because a renewal came late, and that its entry
// takes for owned: it would have no owner.
func TestExpiredOwnership(t *testing.T) {
	m := newMembership()
	m.OnExpired(1)
	if !m.MustJoin() {
		t.Error("got the membership kept, want a new one")
	}
	m = newMembership()
	m.OnAssigned(1403, 1400, 7, []uint64{1, 2})
	m.OnExpired(1)
	if m.MustJoin() {
		t.Error("got a new membership, want the partition acquired anew once its proof is answered")
	}
	if got := m.OnProven(1500, 1, 7, true); got != Broken {
		t.Errorf("got verdict %d, want %d", got, Broken)
	}
}

// TestEpochOnce guards against a partition that is owned again under the same epoch after its lease has expired: tasks whose
// runs are being stopped would be started at once, and the store rejects the writes.
func TestEpochOnce(t *testing.T) {
	acquire := func(epoch uint64) Changes {
		return Changes{Acquire: []Acquisition{{1, epoch}}, LeaseUntil: 2300, ConfirmedAt: 1000}
	}
	steps := []struct {
		name    string
		epoch   uint64
		release bool // before the step
		want    Changes
	}{
		{"first epoch", 5, false, acquire(5)},
		{"same epoch, owned", 5, false, Changes{LeaseUntil: 2300, ConfirmedAt: 1000}},
		{"same epoch after the release", 5, true, Changes{}},
		{"next epoch", 6, false, acquire(6)},
	}
	m := &Membership{LeaseDuration: testLease}
	m.Join()
	for _, s := range steps {
		if s.release {
			m.End("test")
			m.Join()
		}
		if got := m.OnAssigned(1003, 1000, s.epoch, []uint64{1}); !reflect.DeepEqual(got, s.want) {
			t.Errorf("%s: got %+v, want %+v", s.name, got, s.want)
		}
	}
	m.OnAssigned(1004, 1000, 7, []uint64{1}) // requests a proof under epoch 7
	m.End("test")
	m.Join()
	if got := m.OnAssigned(1005, 1000, 7, []uint64{1}); len(got.Acquire) != 0 || !m.MustJoin() {
		t.Errorf("epoch of a proof: got %+v, want a new membership", got)
	}
}

// TestReleases guards against partitions that stay owned, or whose runs are not stopped, when the ownership ends.
func TestReleases(t *testing.T) {
	all := func(stop bool, reason string) []Release { return []Release{{1, stop, reason}, {2, stop, reason}} }
	cases := []struct {
		name   string
		event  func(m *Membership) Changes
		want   []Release
		rejoin bool
	}{
		{"lease is valid", func(m *Membership) Changes { return m.CheckLease(2299) }, nil, false},
		{"lease expired", func(m *Membership) Changes { return m.CheckLease(2300) }, all(true, "lease expired"), true},
		{"heartbeat answered after the lease", func(m *Membership) Changes { return m.OnAssigned(2300, 1500, 5, []uint64{1, 2}) }, all(true, "lease expired"), true},
		{"fenced", func(m *Membership) Changes { return m.OnFenced(2) }, []Release{{2, true, "fenced by a later owner"}}, true},
		{"fenced after a release", func(m *Membership) Changes { return m.OnFenced(3) }, nil, true},
		{"assigned to another entry", func(m *Membership) Changes { return m.OnAssigned(1403, 1400, 6, []uint64{2}) }, []Release{{1, false, "assigned to another entry"}}, false},
		{"entry leaves", func(m *Membership) Changes { return m.Leave("stopping") }, all(false, "stopping"), false},
	}
	for _, c := range cases {
		m := newMembership()
		if got := c.event(m).Release; !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
		if got := m.MustJoin(); got != c.rejoin {
			t.Errorf("%s: got a new membership %v, want %v", c.name, got, c.rejoin)
		}
	}
}
