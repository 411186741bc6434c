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
