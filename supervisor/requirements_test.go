package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestRequirements guards against tasks on a backend server of another service or without the label that their step requires:
// another one takes the place of the granted one between the grant and the start.
func TestRequirements(t *testing.T) {
	room := marshaler.Resources{CPU: 10_000, MemoryMB: 100}
	otherLife := Backend{ID: "i-2", StartTime: 20, Sequence: 1, Service: "svc", Labels: []string{"b"}, Capacity: room}
	otherService := Backend{ID: "i-2", StartTime: 20, Sequence: 1, Service: "other", Labels: []string{"a"}, Capacity: room}
	sameLife := Backend{ID: "i-1", StartTime: 10, Sequence: 3, Service: "svc", Labels: []string{"b"}, Capacity: room}
	cases := []struct {
		name    string
		server  *Backend // takes the place of one with service svc and label a; nil for none
		service string
		label   string
		want    bool
	}{
		{"granted server", nil, "svc", "a", true},
		{"no label required", &otherLife, "svc", "", true},
		{"start of a former version", &otherService, "", "", true},
		{"another label", &otherLife, "svc", "a", false},
		{"another service", &otherService, "svc", "a", false},
		{"labels of the same incarnation changed", &sameLife, "svc", "a", false},
		{"label of the new server", &sameLife, "svc", "b", true},
	}
	for _, c := range cases {
		f := newFixture()
		f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 10, Sequence: 2, Service: "svc", Labels: []string{"a"}, Capacity: room})
		if c.server != nil {
			f.k.AnnounceConfirmed(f.now, *c.server)
			h, _ := f.k.BeginHold(f.now)
			f.k.OnHoldResponse(f.now, HoldResponse{Number: h.Number, StartTime: c.server.StartTime, Clock: int64(f.now)})
		}
		f.k.OnMessage(f.now, f.link, &marshaler.Start{
			Run: firstRun, Resources: marshaler.Resources{CPU: 1000}, Estimate: 100, NotAfter: int64(f.now) + 400, Service: c.service, Label: c.label,
		})
		if got := len(f.starts) == 1; got != c.want {
			t.Errorf("%s: got started %v, want %v", c.name, got, c.want)
		}
		if !c.want && f.latestStatus() != marshaler.StatusRefused {
			t.Errorf("%s: got outcome %s, want refused", c.name, f.latestStatus())
		}
	}
}

// TestLabelsAnnounced guards against a placing entry that keeps on granting a backend server by labels that it no longer has.
func TestLabelsAnnounced(t *testing.T) {
	f := newFixture()
	var got []string
	f.link.Send = func(m marshaler.Message) {
		if b, ok := m.(*marshaler.Backend); ok {
			got = b.Labels
		}
	}
	f.k.Announce(f.now, Backend{ID: "i-1", StartTime: 10, Sequence: 2, Service: "svc", Labels: []string{"b"}, Capacity: marshaler.Resources{CPU: 10_000, MemoryMB: 100}})
	if len(got) != 1 || got[0] != "b" {
		t.Errorf("got announced labels %v, want b", got)
	}
}
