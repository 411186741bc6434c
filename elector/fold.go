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
	// ChangeRemove removes an entry incarnation that its peers hold for dead.
	ChangeRemove
	// ChangeCheckpoint restates the whole roster, so that older records may be dropped by the log.
	ChangeCheckpoint
)

type (
	// ChangeKind is the kind of a roster record.
	ChangeKind uint8

	// Change is a record of the roster stream.
	Change struct {
		Kind ChangeKind
		// Base is the epoch on which a removal was decided. A removal is void when the member has changed since. In a
		// checkpoint, Base is the offset of the first record that is not part of the restated roster; when it is lower
		// than the roster's epoch, the epoch counts.
		Base   uint64
		Entry  encoder.RosterEntry
		Roster encoder.Roster // checkpoints only
	}
)

// Apply folds the record at the given offset into r and returns the new roster. A record that changes nothing keeps
// the epoch; a record that does not fit the state is refused with an error and changes nothing. Records before the epoch
// are part of r already and are ignored. Every reader of the same records gets the same result.
func Apply(r encoder.Roster, offset uint64, c Change) (encoder.Roster, error) {
	if offset < r.Epoch {
		return r, nil
	}
	switch c.Kind {
	case ChangeJoin:
		return join(r, offset, c)
	case ChangeLeave, ChangeRemove:
		return remove(r, offset, c)
	case ChangeCheckpoint:
		// A reader that starts at the first retained record has no state yet and takes the checkpoint's.
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

func join(r encoder.Roster, offset uint64, c Change) (encoder.Roster, error) {
	if c.Entry.Member.ID == "" {
		return r, trace.BadParameter("roster record at offset %d joins an entry without an identifier", offset)
	}
	if old, ok := Find(r, c.Entry.Member.ID); ok && old.Member.Incarnation >= c.Entry.Member.Incarnation {
		return r, trace.CompareFailed("entry %s joined with incarnation %d already", old.Member.ID, old.Member.Incarnation)
	}
	next := without(r, c.Entry.Member.ID)
	if len(next.Entries) >= encoder.MaxRoster {
		return r, trace.LimitExceeded("roster has %d entries already", len(next.Entries))
	}
	next.Entries = append(next.Entries, c.Entry)
	slices.SortFunc(next.Entries, func(a, b encoder.RosterEntry) int { return strings.Compare(a.Member.ID, b.Member.ID) })
	next.Epoch = offset + 1
	return next, nil
}

func remove(r encoder.Roster, offset uint64, c Change) (encoder.Roster, error) {
	old, ok := Find(r, c.Entry.Member.ID)
	if !ok || old.Member.Incarnation != c.Entry.Member.Incarnation {
		return r, trace.CompareFailed("entry %s is not in the roster with incarnation %d",
			c.Entry.Member.ID, c.Entry.Member.Incarnation)
	}
	next := without(r, c.Entry.Member.ID)
	next.Epoch = offset + 1
	return next, nil
}

// without returns a copy of r that lacks the entry; r is not changed.
func without(r encoder.Roster, id string) encoder.Roster {
	next := encoder.Roster{Epoch: r.Epoch, Entries: make([]encoder.RosterEntry, 0, len(r.Entries)+1)}
	for _, e := range r.Entries {
		if e.Member.ID != id {
			next.Entries = append(next.Entries, e)
		}
	}
	return next
}
