package elector

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/encoder"
)

const (
	// ChangeJoin adds an entry incarnation, or replaces an older incarnation of the same entry.
	ChangeJoin ChangeKind = iota + 1
	// ChangeLeave removes an entry incarnation at its own request.
	ChangeLeave
	// ChangeRemove removes an entry incarnation that its peers consider failed.
	ChangeRemove
	// ChangeCheckpoint contains the whole roster, so that the log may drop older records.
	ChangeCheckpoint
)

type (
	// ChangeKind is the kind of a roster record.
	ChangeKind uint8

	// Change is a record of the roster stream.
	Change struct {
		Kind ChangeKind
		// Base is the epoch in which a removal was decided. A removal has no effect if the member has changed since. In a
		// checkpoint, Base is the offset of the first record that is not included in the roster; if it is lower than the
		// roster's epoch, the epoch is used instead.
		Base   uint64
		Entry  encoder.RosterEntry
		Roster encoder.Roster // checkpoints only
	}
)

// Apply applies the record at the given offset to r and returns the new roster; r is not modified. A record without effect
// keeps the epoch. A record that conflicts with the state has no effect and returns an error. Records before the epoch are
// already part of r and are ignored. All readers of the same records get the same result.
func Apply(r encoder.Roster, offset uint64, c Change) (encoder.Roster, error) {
	if offset < r.Epoch {
		return r, nil
	}
	switch c.Kind {
	case ChangeJoin:
		return applyJoin(r, offset, c)
	case ChangeLeave, ChangeRemove:
		return applyRemove(r, offset, c)
	case ChangeCheckpoint:
		// A reader that starts at the first retained record has no state yet and takes it from the checkpoint.
		if c.Roster.Epoch > offset {
			return r, trace.BadParameter("checkpoint at offset %d has the later epoch %d", offset, c.Roster.Epoch)
		}
		if c.Roster.Epoch > r.Epoch {
			return c.Roster, nil
		}
		return r, nil
	}
	return r, trace.BadParameter("roster record at offset %d has unknown kind %d", offset, c.Kind)
}

func applyJoin(r encoder.Roster, offset uint64, c Change) (encoder.Roster, error) {
	if c.Entry.Member.ID == "" {
		return r, trace.BadParameter("join record at offset %d has no entry identifier", offset)
	}
	if old, ok := FindEntry(r, c.Entry.Member.ID); ok && old.Member.Incarnation >= c.Entry.Member.Incarnation {
		return r, trace.CompareFailed("entry %s has already joined with incarnation %d", old.Member.ID, old.Member.Incarnation)
	}
	next := withoutEntry(r, c.Entry.Member.ID)
	if len(next.Entries) >= encoder.MaxRosterEntries {
		return r, trace.LimitExceeded("roster is full: it has %d entries", len(next.Entries))
	}
	next.Entries = append(next.Entries, c.Entry)
	slices.SortFunc(next.Entries, func(a, b encoder.RosterEntry) int { return strings.Compare(a.Member.ID, b.Member.ID) })
	next.Epoch = offset + 1
	return next, nil
}

func applyRemove(r encoder.Roster, offset uint64, c Change) (encoder.Roster, error) {
	old, ok := FindEntry(r, c.Entry.Member.ID)
	if !ok || old.Member.Incarnation != c.Entry.Member.Incarnation {
		return r, trace.CompareFailed("entry %s is not in the roster with incarnation %d",
			c.Entry.Member.ID, c.Entry.Member.Incarnation)
	}
	next := withoutEntry(r, c.Entry.Member.ID)
	next.Epoch = offset + 1
	return next, nil
}

// withoutEntry returns a copy of r without the entry.
func withoutEntry(r encoder.Roster, id string) encoder.Roster {
	next := encoder.Roster{Epoch: r.Epoch, Entries: make([]encoder.RosterEntry, 0, len(r.Entries)+1)}
	for _, e := range r.Entries {
		if e.Member.ID != id {
			next.Entries = append(next.Entries, e)
		}
	}
	return next
}
