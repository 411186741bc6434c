package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// listRestarted handles a hold response of the next incarnation of the backend server.
func (f *fixture) listRestarted() {
	h, _ := f.k.BeginHold(f.now)
	f.k.OnHoldResponse(f.now, HoldResponse{Number: h.Number, StartTime: 20, Clock: int64(f.now)})
}

// TestAnnouncementAfterRestart guards against the announcements of a restarted backend server that count as outdated until
// they are as many as those of its former incarnation, because a hold response came before the first one.
func TestAnnouncementAfterRestart(t *testing.T) {
	f := newFixture()
	f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 10, Sequence: 50, Service: "svc", Capacity: marshaler.Resources{CPU: 10_000}})
	f.listRestarted()
	next := Backend{ID: "i-1", StartTime: 20, Sequence: 1, Service: "svc", Capacity: marshaler.Resources{CPU: 2000}, Draining: true}
	if !f.k.Announce(f.now, next) || f.k.Backend().Capacity.CPU != 2000 || !f.k.Backend().Draining {
		t.Errorf("got %+v after the first announcement of the next incarnation, want %+v", f.k.Backend(), next)
	}
	next.Draining = false
	if f.k.Announce(f.now, next) {
		t.Error("got the same announcement accepted again, want it outdated")
	}
	if f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 10, Sequence: 51, Service: "svc"}) {
		t.Error("got an announcement of the former incarnation accepted, want it outdated")
	}
}

// TestStartsAfterRestart guards against starts on the next incarnation of a backend server before it has announced itself. It may
// be smaller than the former one, belong to another service or have other labels.
func TestStartsAfterRestart(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *fixture)
		started bool
	}{
		{"no announcement", func(*fixture) {}, false},
		{"late announcement of the former incarnation", func(f *fixture) {
			f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 10, Sequence: 2, Service: "svc", Capacity: marshaler.Resources{CPU: 10_000}})
		}, false},
		{"announcement", func(f *fixture) {
			f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 20, Sequence: 1, Service: "svc", Capacity: marshaler.Resources{CPU: 10_000}})
		}, true},
		{"announcement of a smaller one", func(f *fixture) {
			f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 20, Sequence: 1, Service: "svc", Capacity: marshaler.Resources{CPU: 2000}})
		}, false},
	}
	for _, c := range cases {
		f := newFixture()
		f.listRestarted()
		c.prepare(f)
		f.start(firstRun, 3000)
		if got := len(f.starts) > 0; got != c.started {
			t.Errorf("%s: got started %t, want %t", c.name, got, c.started)
		}
	}
}
