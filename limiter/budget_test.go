package limiter

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/crocuslb/crocuslb/timer"
)

// fixture is a budget with a clock that the test advances, whose evicted connections end at once or stay.
type fixture struct {
	*Budget
	now       timer.Millis
	evictions []string
}

func newFixture(l Limits) *fixture {
	f := &fixture{now: timer.Second}
	f.Budget = &Budget{Limits: l, Clock: timer.Clock{NowFunc: func() timer.Millis { return f.now }}}
	return f
}

// open opens an account. Its eviction is noted, and ends it soon if ends is set.
func (f *fixture) open(t *testing.T, name string, privileged, ends bool) *Account {
	t.Helper()
	var a *Account
	a, ok := f.Open(privileged, func() {
		f.evictions = append(f.evictions, name)
		if ends {
			go a.Close()
		}
	})
	if !ok {
		t.Fatalf("%s: got no account, want one", name)
	}
	return a
}

// TestRoomBesideStalledRequests guards against requests without an end that hold all memory, so that an ordinary one finds none,
// whether they send a byte from time to time or not.
func TestRoomBesideStalledRequests(t *testing.T) {
	f := newFixture(Limits{MemoryBytes: 40_000_000, Connections: 1000})
	for n := range 400 {
		a := f.open(t, "stalled", false, true)
		a.SetPhase(Receiving)
		if !a.Reserve(300_000) {
			t.Fatalf("request %d: got no room, want that of an older one", n)
		}
		f.now += 10
		a.SetPhase(Receiving) // a further byte
	}
	ordinary := f.open(t, "ordinary", false, true)
	ordinary.SetPhase(Receiving)
	if !ordinary.Reserve(3000) {
		t.Error("got no room for an ordinary request, want some")
	}
	for _, name := range f.evictions {
		if name == "ordinary" {
			t.Error("got an eviction of the ordinary request, want those of stalled ones")
		}
	}
}

// TestEvictionOrder guards against an eviction of a request that is served, or of one that is worth more than another.
func TestEvictionOrder(t *testing.T) {
	type account struct {
		name   string
		phase  Phase
		memory int64
		age    timer.Millis
	}
	cases := []struct {
		name     string
		accounts []account
		want     string // evicted first; empty for none
	}{
		{"larger of the same age", []account{{"small", Receiving, 1000, 100}, {"large", Receiving, 500_000, 100}}, "large"},
		{"older of the same size", []account{{"young", Receiving, 1000, 10}, {"old", Receiving, 1000, 900}}, "old"},
		{"idle for a long time", []account{{"idle", Idle, 0, 60_000}, {"receiving", Receiving, 1000, 10}}, "idle"},
		{"response not taken", []account{{"sending", Sending, 0, 5000}, {"receiving", Receiving, 1000, 10}}, "sending"},
		{"served", []account{{"served", Serving, 2_000_000, 60_000}, {"receiving", Receiving, 1000, 10}}, "receiving"},
		{"all served", []account{{"served", Serving, 2_000_000, 60_000}}, ""},
	}
	for _, c := range cases {
		f := newFixture(Limits{MemoryBytes: 100_000_000, Connections: len(c.accounts)})
		start := f.now
		for _, a := range c.accounts {
			f.now = start + timer.Minute - a.age
			account := f.open(t, a.name, true, true)
			account.SetPhase(a.phase)
			if !account.Reserve(a.memory) {
				t.Fatalf("%s: got no room for %s", c.name, a.name)
			}
		}
		f.now = start + timer.Minute
		_, ok := f.Open(true, func() {})
		got := ""
		if len(f.evictions) > 0 {
			got = f.evictions[0]
		}
		if got != c.want || ok != (c.want != "") {
			t.Errorf("%s: got the eviction of %q and room %v, want that of %q", c.name, got, ok, c.want)
		}
	}
}

// TestEvictedStayCharged guards against memory that is given away while the process still holds it for an evicted connection.
func TestEvictedStayCharged(t *testing.T) {
	f := newFixture(Limits{MemoryBytes: 4_000_000, Connections: 100})
	stalled := f.open(t, "stalled", true, false)
	stalled.SetPhase(Receiving)
	if !stalled.Reserve(3_000_000) {
		t.Fatal("got no room, want some")
	}
	f.now += timer.Second
	next := f.open(t, "next", true, false)
	next.SetPhase(Receiving)
	if next.Reserve(2_000_000) {
		t.Error("got room while the evicted connection is not closed, want none")
	}
	if len(f.evictions) != 1 || stalled.Reserve(1) {
		t.Errorf("got evictions %v and room for an evicted connection, want one and none", f.evictions)
	}
	stalled.Close()
	if !next.Reserve(2_000_000) {
		t.Error("got no room after the end of the evicted connection, want some")
	}
}

// TestReservedRoom guards against callers that leave no connection for the readiness checks, and against large jobs that leave no
// memory for small ones.
func TestReservedRoom(t *testing.T) {
	f := newFixture(Limits{MemoryBytes: 100_000_000, Connections: 160})
	for range 150 {
		f.open(t, "caller", false, false).SetPhase(Serving)
	}
	if _, ok := f.Open(false, func() {}); ok {
		t.Error("got a connection for one caller more, want none")
	}
	if _, ok := f.Open(true, func() {}); !ok {
		t.Error("got no connection for a readiness check, want one")
	}
	for f.Reserve(5_000_000) {
		continue
	}
	for n := range 100 {
		if !f.Reserve(5000) {
			t.Fatalf("got room for %d small jobs after large ones, want 100", n)
		}
	}
}

// TestBudgetProperties guards against charges that are lost or kept, and against more than the limits.
func TestBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(Limits{MemoryBytes: 2_000_000, Connections: 20})
		var accounts []*Account
		jobs := []int64{}
		closeOne := func() {
			if len(accounts) > 0 {
				accounts[0].Close()
				accounts = accounts[1:]
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.now += timer.Millis(rapid.IntRange(0, 100).Draw(t, "time"))
			switch bytes := int64(rapid.IntRange(0, 400_000).Draw(t, "bytes")); rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				var a *Account
				if opened, ok := f.Open(bytes%2 == 0, func() { go func() { a.Close() }() }); ok {
					a = opened
					accounts = append(accounts, a)
				}
			case 1:
				if len(accounts) > 0 {
					accounts[int(bytes)%len(accounts)].Reserve(bytes)
				}
			case 2:
				if len(accounts) > 0 {
					accounts[int(bytes)%len(accounts)].SetPhase(Phase(bytes % 4))
				}
			case 3:
				closeOne()
			case 4:
				if f.Reserve(bytes) {
					jobs = append(jobs, bytes)
				}
			case 5:
				if len(jobs) > 0 {
					f.Release(jobs[0])
					jobs = jobs[1:]
				}
			}
			if connections, memory := f.Use(); connections > 20 || memory > 2_000_000 || memory < 0 {
				t.Fatalf("got %d connections and %d bytes, want at most 20 and 2,000,000", connections, memory)
			}
		}
		for len(accounts) > 0 {
			closeOne()
		}
		for _, bytes := range jobs {
			f.Release(bytes)
		}
		if connections, memory := f.Use(); connections != 0 || memory != 0 || f.evictedMemory != 0 || f.evicted != 0 {
			t.Fatalf("got %d connections and %d bytes after the end of all, %d evicted with %d bytes, want none", connections, memory, f.evicted, f.evictedMemory)
		}
	})
}
