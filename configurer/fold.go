package configurer

import (
	"slices"
	"strconv"
)

const (
	// BaseWindow is the maximum number of records by which the base of a note may precede the note. Withdrawn keys are
	// retained as tombstones for this long, so that a note is rejected if it adds such a key again and its base
	// precedes the withdrawal.
	BaseWindow = 4096

	// KindNote is a record that contains a note.
	KindNote RecordKind = 1
	// KindCheckpoint is a record that contains the complete configuration, so that the log may delete older records.
	KindCheckpoint RecordKind = 2
)

type (
	// RecordKind determines which field of a Record is set.
	RecordKind uint8

	// Record is a record of the configuration stream. The zero value represents a record that cannot be decoded.
	Record struct {
		Kind       RecordKind
		Note       Note
		Checkpoint Snapshot
	}
)

// Apply folds the record at the given offset into s. A record with findings does not change the configuration, but the
// offset still advances, so that all readers of the same records reach the same state. Records before the snapshot's
// offset are ignored. Records after it are rejected without advancing the offset, because the records in between are
// missing.
func Apply(s Snapshot, offset uint64, r Record) (Snapshot, []Finding) {
	return s.fold(offset, r, false)
}

// fold implements Apply. If inPlace is set, no other snapshot shares the slices of s, and fold may modify them.
func (s Snapshot) fold(offset uint64, r Record, inPlace bool) (Snapshot, []Finding) {
	switch {
	case s.edited:
		return s, []Finding{{Location: recordLocation(offset), Message: "snapshot has local edits and is no state of the log"}}
	case offset < s.offset:
		return s, nil
	case offset > s.offset:
		return s, []Finding{{Location: recordLocation(offset), Message: "records from offset " + strconv.FormatUint(s.offset, 10) + " on are missing"}}
	}
	var findings []Finding
	next := s
	switch r.Kind {
	case KindNote:
		next, findings = s.apply(r.Note, inPlace)
	case KindCheckpoint:
		if r.Checkpoint.offset == s.offset && !r.Checkpoint.Equal(s) {
			findings = []Finding{{Location: recordLocation(offset), Message: "checkpoint differs from the state folded from the log"}}
		}
	default:
		findings = []Finding{{Location: recordLocation(offset), Message: "record is not a configuration record"}}
	}
	next.offset = offset + 1
	return next.prune(), findings
}

// Fold decodes the body of the record at the given offset and applies it. A body that cannot be decoded results in a
// finding.
func Fold(s Snapshot, offset uint64, body []byte) (Snapshot, []Finding) {
	r, err := DecodeRecord(body)
	next, findings := Apply(s, offset, r)
	return next, addDecodeError(findings, err)
}

// addDecodeError appends the decoding error of a record, if any, to the text of its finding.
func addDecodeError(findings []Finding, err error) []Finding {
	if err != nil && len(findings) > 0 {
		findings[0].Message += ": " + err.Error()
	}
	return findings
}

// CheckNote returns the findings that Apply would return if the note were the next record.
func CheckNote(s Snapshot, n Note) []Finding {
	return s.checkNote(n)
}

// checkNote validates the note as the next record.
func (s Snapshot) checkNote(n Note) []Finding {
	var r findingList
	if !n.checkFormat(&r) {
		return r.all()
	}
	if n.Base > s.offset {
		r.add("base", "base %d lies after the last record %d", n.Base, s.offset)
	} else if s.offset-n.Base > BaseWindow {
		r.add("base", "base %d lies more than %d records back", n.Base, BaseWindow)
	}
	for i, e := range n.Added {
		if _, _, ok := s.Get(e.Key); ok {
			r.add("added["+strconv.Itoa(i)+"].key", "key %q exists already", e.Key)
		}
		s.checkConflict(&r, "added["+strconv.Itoa(i)+"].key", e.Key, n.Base)
	}
	for i, e := range n.Changed {
		if _, _, ok := s.Get(e.Key); !ok {
			r.add("changed["+strconv.Itoa(i)+"].key", "key %q does not exist", e.Key)
		}
		s.checkConflict(&r, "changed["+strconv.Itoa(i)+"].key", e.Key, n.Base)
	}
	for i, k := range n.Withdrawn {
		if _, _, ok := s.Get(k); !ok {
			r.add("withdrawn["+strconv.Itoa(i)+"]", "key %q does not exist", k)
		}
		s.checkConflict(&r, "withdrawn["+strconv.Itoa(i)+"]", k, n.Base)
	}
	if len(r.findings) > 0 {
		return r.all()
	}
	if size := s.sizeAfter(n); size > MaxSnapshotSize && size > s.size {
		return []Finding{{Message: "configuration would be larger than " + strconv.Itoa(MaxSnapshotSize) + " bytes"}}
	}
	return nil
}

// apply returns the state after the note, with the offset unchanged. If the note has findings, it returns s and the
// findings. If inPlace is set, it modifies the slices of s in place.
func (s Snapshot) apply(n Note, inPlace bool) (Snapshot, []Finding) {
	if findings := s.checkNote(n); len(findings) > 0 {
		return s, findings
	}
	next, newOffset := s, s.offset+1
	if !inPlace {
		next = s.clone()
	}
	for _, e := range slices.Concat(n.Added, n.Changed) {
		next.set(e.Key, e.Value, newOffset)
	}
	for _, k := range n.Withdrawn {
		next.remove(k, newOffset)
	}
	next.updateWithdrawnDomains()
	return next, nil
}

// sizeAfter returns the size of the state after applying a valid note.
func (s Snapshot) sizeAfter(n Note) int {
	size := s.size
	for _, e := range n.Added {
		size += versionedEntry{key: e.Key, value: e.Value}.encodedSizeBound()
		if i, ok := search(s.tombstones, e.Key); ok {
			size -= s.tombstones[i].encodedSizeBound()
		}
	}
	for _, e := range n.Changed {
		old, _, _ := s.Get(e.Key)
		size += len(e.Value) - len(old)
	}
	for _, k := range n.Withdrawn {
		old, _, _ := s.Get(k)
		size -= len(old)
	}
	return size
}

// checkConflict reports a key that was changed or withdrawn after the base.
func (s Snapshot) checkConflict(r *findingList, location, key string, base uint64) {
	if _, lastChange, ok := s.Get(key); ok && lastChange > base {
		r.add(location, "key %q was changed at %d, after base %d", key, lastChange, base)
	}
	if i, ok := search(s.tombstones, key); ok && s.tombstones[i].changedAt > base {
		r.add(location, "key %q was withdrawn at %d, after base %d", key, s.tombstones[i].changedAt, base)
	}
}

// prune removes tombstones that are older than BaseWindow records.
func (s Snapshot) prune() Snapshot {
	expired := func(e versionedEntry) bool { return e.changedAt+BaseWindow <= s.offset }
	if !slices.ContainsFunc(s.tombstones, expired) {
		return s
	}
	retained := make([]versionedEntry, 0, len(s.tombstones))
	for _, e := range s.tombstones {
		if expired(e) {
			s.size -= e.encodedSizeBound()
		} else {
			retained = append(retained, e)
		}
	}
	s.tombstones = retained
	return s
}

func recordLocation(offset uint64) string { return "record " + strconv.FormatUint(offset, 10) }
