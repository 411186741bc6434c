package elector

import (
	"flag"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/encoder"
)

// A fixed seed makes runs reproducible; -rapid.seed overrides it.
var _ = flag.Set("rapid.seed", "1")

func drawEntry(t *rapid.T) encoder.RosterEntry {
	return encoder.RosterEntry{
		Member: encoder.Member{
			ID:          rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"),
			Incarnation: rapid.Uint64Range(0, 4).Draw(t, "incarnation"),
		},
		Address: rapid.SampledFrom([]string{"", "10.0.0.1:1", "10.0.0.2:1"}).Draw(t, "address"),
	}
}

// rosterOf returns a roster of n entries.
func rosterOf(n int) (r encoder.Roster) {
	for i := range n {
		e := encoder.RosterEntry{Member: encoder.Member{ID: fmt.Sprintf("entry-%04d", i), Incarnation: 1}, Address: "10.0.0.1:7000"}
		r, _ = Apply(r, uint64(i), Change{Kind: ChangeJoin, Entry: e})
	}
	return r
}

func drawChange(t *rapid.T, offset uint64) Change {
	c := Change{
		Kind:  rapid.SampledFrom([]ChangeKind{ChangeJoin, ChangeJoin, ChangeJoin, ChangeLeave, ChangeRemove, ChangeCheckpoint}).Draw(t, "kind"),
		Entry: drawEntry(t),
	}
	if c.Kind == ChangeRemove {
		c.Base = rapid.Uint64Range(0, offset).Draw(t, "base")
	}
	return c
}

func equal(a, b encoder.Roster) bool {
	return a.Epoch == b.Epoch && slices.Equal(a.Entries, b.Entries)
}

// Guards against joins of outdated incarnations, removals of a different incarnation, and wrong epochs.
func TestApplyMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			r       encoder.Roster
			members = map[string]encoder.RosterEntry{}
			epoch   uint64
		)
		for offset := range rapid.Uint64Range(1, 40).Draw(t, "records") {
			c := drawChange(t, offset)
			old, ok := members[c.Entry.Member.ID]
			effective := false
			switch c.Kind {
			case ChangeJoin:
				if effective = !ok || old.Member.Incarnation < c.Entry.Member.Incarnation; effective {
					members[c.Entry.Member.ID] = c.Entry
				}
			case ChangeLeave, ChangeRemove:
				if effective = ok && old.Member == c.Entry.Member; effective {
					delete(members, c.Entry.Member.ID)
				}
			case ChangeCheckpoint:
				c = NewCheckpoint(r, offset)
			}
			if effective {
				epoch = offset + 1
			}
			before := encoder.Roster{Epoch: r.Epoch, Entries: slices.Clone(r.Entries)}
			next, err := Apply(r, offset, c)
			if got := err == nil; got != (effective || c.Kind == ChangeCheckpoint) || !equal(before, r) {
				t.Fatalf("offset %d: got error %v, argument %+v, want effective %v, argument %+v", offset, err, r, effective, before)
			}
			if again, err := Apply(next, offset, c); effective && (err != nil || !equal(again, next)) {
				t.Fatalf("offset %d: second application: got %+v, error %v, want %+v", offset, again, err, next)
			}
			if r = next; r.Epoch != epoch || len(r.Entries) != len(members) {
				t.Fatalf("offset %d: got %+v, want epoch %d and %v", offset, r, epoch, members)
			}
			for i, e := range r.Entries {
				if members[e.Member.ID] != e || i > 0 && r.Entries[i-1].Member.ID >= e.Member.ID {
					t.Fatalf("got entry %+v, want %+v, in order", e, members[e.Member.ID])
				}
			}
		}
	})
}

// Guards against readers of the same prefix that derive different rosters, and against an epoch that decreases, when a
// reader starts at any retained record and with any known roster.
func TestReplayFromAnyRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []appender.Record
		states := []encoder.Roster{{}}
		for offset := range rapid.Uint64Range(1, 40).Draw(t, "records") {
			c := drawChange(t, offset)
			if c.Kind == ChangeCheckpoint {
				// The writer of a checkpoint may be slow, so that its roster is older than the record.
				n := rapid.Uint64Range(0, offset).Draw(t, "state")
				c = NewCheckpoint(states[n], rapid.SampledFrom([]uint64{n, n, 0}).Draw(t, "base"))
			}
			body := AppendChange(nil, c)
			if rapid.IntRange(0, 9).Draw(t, "damaged") == 0 {
				body = body[:len(body)/2]
			}
			next := states[offset]
			if decoded, err := DecodeChange(body); err == nil {
				next, _ = Apply(next, offset, decoded)
			}
			records, states = append(records, appender.Record{Offset: offset, Body: body}), append(states, next)
		}
		first := rapid.IntRange(0, len(records)-1).Draw(t, "first retained")
		known := rapid.IntRange(0, len(records)).Draw(t, "known offset")
		p := &Replayer{}
		p.InstallSnapshot(states[known], uint64(known))
		complete := known >= first
		for i, r := range records[first:] {
			before, _ := p.Roster()
			beforeOffset := p.Offset()
			_ = p.Add(r) // the draw includes records without effect
			after, ok := p.Roster()
			c, err := DecodeChange(r.Body)
			complete = complete || err == nil && c.Kind == ChangeCheckpoint && max(c.Base, c.Roster.Epoch) >= uint64(first)
			switch next := max(first+i+1, known); {
			case after.Epoch < before.Epoch || p.Offset() < beforeOffset:
				t.Fatalf("epoch went from %d back to %d", before.Epoch, after.Epoch)
			case ok != complete:
				t.Fatalf("record %d: got roster known %v, want %v", r.Offset, ok, complete)
			case ok && !equal(after, states[next]):
				t.Fatalf("record %d: got %+v, want %+v", r.Offset, after, states[next])
			}
		}
	})
}

// Guards against rosters that exceed the message size, and against checkpoints and adopted rosters whose epoch is later
// than their offset.
func TestRosterBounds(t *testing.T) {
	r := rosterOf(encoder.MaxRosterEntries)
	more := Change{Kind: ChangeJoin, Entry: encoder.RosterEntry{Member: encoder.Member{ID: "more"}}}
	if got, err := Apply(r, r.Epoch, more); err == nil || !reflect.DeepEqual(got, r) {
		t.Errorf("got %d entries, error %v", len(got.Entries), err)
	}
	if got, err := Apply(r, 300, NewCheckpoint(encoder.Roster{Epoch: 301}, 300)); err == nil || !reflect.DeepEqual(got, r) {
		t.Errorf("checkpoint with an epoch after its offset: got epoch %d, error %v", got.Epoch, err)
	}
	if _, err := Apply(r, 300, Change{Kind: ChangeJoin}); err == nil {
		t.Error("join of an entry without an identifier was accepted")
	}
	p := &Replayer{}
	for i, c := range []Change{{Kind: ChangeLeave, Entry: r.Entries[0]}, NewCheckpoint(encoder.Roster{}, 8)} {
		_ = p.Add(appender.Record{Offset: uint64(5 + i), Body: AppendChange(nil, c)})
	}
	if _, ok := p.Roster(); ok || p.Offset() != 0 {
		t.Errorf("checkpoint with a base after its offset was adopted at offset %d", p.Offset())
	}
	p = &Replayer{}
	_ = p.Add(appender.Record{Body: AppendChange(nil, NewCheckpoint(encoder.Roster{}, 0))})
	_ = p.Add(appender.Record{Offset: 1})
	if got := p.SinceCheckpoint(); got != 1 || p.Offset() != 2 {
		t.Errorf("got %d records since the checkpoint at offset %d, want 1 at 2", got, p.Offset())
	}
	p = &Replayer{}
	for _, c := range []struct {
		epoch, offset uint64
		want          bool
	}{{2, 1, false}, {2, 3, true}, {1, 4, false}, {2, 3, false}, {2, 4, true}, {5, 6, true}} {
		if got := p.InstallSnapshot(encoder.Roster{Epoch: c.epoch}, c.offset); got != c.want {
			t.Errorf("epoch %d at offset %d: got adopted %v, want %v", c.epoch, c.offset, got, c.want)
		}
	}
}
