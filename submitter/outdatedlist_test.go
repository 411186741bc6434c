package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestOutdatedPartitionList guards against an older list of another entry's partitions that arrives on a session that was replaced and
// takes the place of a newer one: jobs of the partitions that it lacks have no owner for this entry until the next change.
func TestOutdatedPartitionList(t *testing.T) {
	list := func(epochs ...uint64) func(f *useFixture) {
		m := &marshaler.OwnedPartitions{}
		for _, epoch := range epochs {
			m.Partitions = append(m.Partitions, marshaler.Partition{Epoch: epoch})
		}
		return func(f *useFixture) { f.core.OnMessage(f.now, f.links["a"], m) }
	}
	notOwner := func(f *useFixture) {
		f.core.OnMessage(f.now, f.links["a"], &marshaler.Reply{Number: f.core.durable.lastCall, Kind: uint8(AnswerNotOwner)})
	}
	ask := func(f *useFixture) { f.request(marshaler.VerbState) }
	cases := []struct {
		name   string
		events []func(f *useFixture)
		want   uint64 // epoch under which the entry is known as the owner
	}{
		{"older list without the partition", []func(f *useFixture){list(5), list()}, 5},
		{"older list with a lower epoch", []func(f *useFixture){list(5), list(3)}, 5},
		{"not the owner any more", []func(f *useFixture){list(5), list(), ask, notOwner}, 0},
		{"owner again before the answer", []func(f *useFixture){list(5), ask, list(7), notOwner}, 7},
	}
	for _, c := range cases {
		f := newUseFixture("a")
		for _, event := range c.events {
			event(f)
		}
		got := uint64(0)
		if p := f.core.owner(0); p != nil {
			got = p.ownedEpochs[0]
		}
		if got != c.want {
			t.Errorf("%s: got epoch %d of the owner, want %d", c.name, got, c.want)
		}
	}
}
