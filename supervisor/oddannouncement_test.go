package supervisor

import (
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestOddAnnouncement guards against an announcement of another writer that entries cannot decode, or whose amounts
// overflow in sums.
func TestOddAnnouncement(t *testing.T) {
	usual := Backend{ID: "i-1", StartTime: 5, Sequence: 10, Service: "svc", Capacity: marshaler.Resources{CPU: 8000, MemoryMB: 8000}}
	with := func(change func(b *Backend)) Backend {
		b := usual
		b.Sequence++
		change(&b)
		return b
	}
	cases := []struct {
		name string
		odd  Backend
	}{
		{"capacity too large", with(func(b *Backend) { b.Capacity.CPU = math.MaxInt64 })},
		{"memory too large", with(func(b *Backend) { b.Capacity.MemoryMB = math.MaxInt64 / 2 })},
		{"accelerators too large", with(func(b *Backend) { b.Capacity.Accelerators = math.MaxInt64 })},
		{"capacity negative", with(func(b *Backend) { b.Capacity.MemoryMB = -1 })},
		{"label too long", with(func(b *Backend) { b.Labels = []string{strings.Repeat("[", 256)} })},
		{"too many labels", with(func(b *Backend) { b.Labels = slices.Repeat([]string{"a"}, marshaler.MaxListLen+1) })},
		{"identifier too long", with(func(b *Backend) { b.ID = strings.Repeat("[", 256) })},
		{"service too long", with(func(b *Backend) { b.Service = strings.Repeat("[", 256) })},
	}
	for _, c := range cases {
		for _, first := range []bool{true, false} {
			k := Supervisor{Start: func(marshaler.Start) {}, Stop: func(marshaler.RunKey) {}, HoldNow: func() {}}
			if !first {
				k.Announce(1, usual)
			}
			if k.Announce(2, c.odd) && !first {
				t.Errorf("%s: got the announcement accepted, want it refused", c.name)
			}
			next := with(func(b *Backend) { b.Sequence++; b.Draining = true })
			if !k.Announce(3, next) || k.Backend().Sequence != next.Sequence || !k.Backend().Draining {
				t.Errorf("%s, first %t: got %+v after the next announcement, want %+v", c.name, first, k.Backend(), next)
			}
		}
	}
}

// TestOddSequence guards against a sequence number of another writer after which the announcements of the backend server, and
// its draining, count as outdated.
func TestOddSequence(t *testing.T) {
	cases := []struct {
		name  string
		known []uint64
		next  uint64
		want  bool
	}{
		{"next one", []uint64{10}, 11, true}, {"repeated", []uint64{10}, 10, false}, {"late", []uint64{10}, 9, false},
		{"after a long silence", []uint64{10}, 500_000, true}, {"first one after a restart of the sidecar", []uint64{0}, 1 << 40, true},
		{"largest number", []uint64{10}, math.MaxUint64, false}, {"far ahead", []uint64{10}, 1 << 40, false},
		{"after one far ahead", []uint64{10, math.MaxUint64}, 11, true}, {"after a first one far ahead", []uint64{math.MaxUint64}, 10, true},
	}
	for _, c := range cases {
		k := Supervisor{Start: func(marshaler.Start) {}, Stop: func(marshaler.RunKey) {}, HoldNow: func() {}}
		for _, n := range c.known {
			k.Announce(1, Backend{ID: "i-1", StartTime: 5, Sequence: n, Service: "svc"})
		}
		if got := k.Announce(2, Backend{ID: "i-1", StartTime: 5, Sequence: c.next, Service: "svc", Draining: true}); got != c.want || k.Backend().Draining != c.want {
			t.Errorf("%s: got accepted %t, draining %t, want %t", c.name, got, k.Backend().Draining, c.want)
		}
	}
}
