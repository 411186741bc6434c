package configurer

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/crocuslb/crocuslb/appender"
)

// Field numbers of the record format. A record contains either tagNote or tagCheckpoint. A record with an unknown field
// cannot be decoded, so that processes of all versions reject it consistently.
const (
	tagNote       = 1
	tagCheckpoint = 2

	tagID        = 1
	tagAuthor    = 2
	tagComment   = 3
	tagBase      = 4
	tagAdded     = 5
	tagChanged   = 6
	tagWithdrawn = 7

	tagOffset     = 1
	tagEntries    = 2
	tagTombstones = 3

	tagKey       = 1
	tagValue     = 2
	tagChangedAt = 3

	maxEntrySize = MaxKeyLen + MaxValueLen + entryOverhead
)

// AppendNote appends the encoded record of a note to dst.
func AppendNote(dst []byte, n Note) []byte {
	var b []byte
	b = appender.AppendString(b, tagID, n.ID)
	b = appender.AppendString(b, tagAuthor, n.Author)
	b = appender.AppendString(b, tagComment, n.Comment)
	b = appender.AppendUint(b, tagBase, n.Base)
	for _, e := range n.Added {
		b = appendEntry(b, tagAdded, versionedEntry{key: e.Key, value: e.Value})
	}
	for _, e := range n.Changed {
		b = appendEntry(b, tagChanged, versionedEntry{key: e.Key, value: e.Value})
	}
	for _, k := range n.Withdrawn {
		b = protowire.AppendTag(b, tagWithdrawn, protowire.BytesType)
		b = protowire.AppendString(b, k)
	}
	dst = protowire.AppendTag(dst, tagNote, protowire.BytesType)
	return protowire.AppendBytes(dst, b)
}

// AppendCheckpoint appends the encoded record of a checkpoint to dst. The encoding is deterministic. It returns an
// error for an edited snapshot, which is not a state of the log.
func AppendCheckpoint(dst []byte, s Snapshot) ([]byte, error) {
	if s.edited {
		return dst, trace.BadParameter("snapshot has local edits and is not a state of the log")
	}
	b := make([]byte, 0, s.size)
	b = appender.AppendUint(b, tagOffset, s.offset)
	for _, e := range s.entries {
		b = appendEntry(b, tagEntries, e)
	}
	for _, e := range s.tombstones {
		b = appendEntry(b, tagTombstones, e)
	}
	dst = protowire.AppendTag(dst, tagCheckpoint, protowire.BytesType)
	return protowire.AppendBytes(dst, b), nil
}

// DecodeRecord decodes the body of a record. It returns the zero Record on error.
func DecodeRecord(body []byte) (Record, error) {
	var r Record
	if len(body) > appender.MaxBodyLen {
		return r, trace.BadParameter("record of %d bytes is larger than %d", len(body), appender.MaxBodyLen)
	}
	err := appender.RangeFields(body, func(f appender.Field) error {
		b, err := f.BytesValue(len(body))
		if err != nil {
			return err
		}
		if r.Kind != 0 {
			return trace.BadParameter("record has more than one part")
		}
		switch f.Tag {
		case tagNote:
			r.Kind = KindNote
			r.Note, err = decodeNote(b)
		case tagCheckpoint:
			r.Kind = KindCheckpoint
			r.Checkpoint, err = decodeCheckpoint(b)
		default:
			err = f.UnknownFieldError()
		}
		return err
	})
	if err == nil && r.Kind == 0 {
		err = trace.BadParameter("record is empty")
	}
	if err != nil {
		return Record{}, err
	}
	return r, nil
}

func decodeNote(b []byte) (Note, error) {
	var n Note
	err := appender.RangeFields(b, func(f appender.Field) error {
		switch f.Tag {
		case tagID:
			return f.StoreString(&n.ID, maxIDLen)
		case tagAuthor:
			return f.StoreString(&n.Author, maxAuthorLen)
		case tagComment:
			return f.StoreString(&n.Comment, maxCommentLen)
		case tagBase:
			return f.StoreUint(&n.Base)
		}
		if len(n.Added)+len(n.Changed)+len(n.Withdrawn) >= MaxEntries {
			return trace.BadParameter("note touches more than %d keys", MaxEntries)
		}
		switch f.Tag {
		case tagAdded, tagChanged:
			e, err := decodeEntry(f)
			if err == nil && e.changedAt != 0 {
				err = trace.BadParameter("entry of a note has an offset")
			}
			if f.Tag == tagAdded {
				n.Added = append(n.Added, Entry{Key: e.key, Value: e.value})
			} else {
				n.Changed = append(n.Changed, Entry{Key: e.key, Value: e.value})
			}
			return err
		case tagWithdrawn:
			var k string
			err := f.StoreString(&k, MaxKeyLen)
			n.Withdrawn = append(n.Withdrawn, k)
			return err
		}
		return f.UnknownFieldError()
	})
	return n, err
}

func decodeCheckpoint(b []byte) (Snapshot, error) {
	var s Snapshot
	err := appender.RangeFields(b, func(f appender.Field) error {
		switch f.Tag {
		case tagOffset:
			return f.StoreUint(&s.offset)
		case tagEntries, tagTombstones:
			e, err := decodeEntry(f)
			if err != nil {
				return err
			}
			s.size += e.encodedSizeBound()
			if f.Tag == tagEntries {
				s.entries = append(s.entries, e)
			} else {
				s.tombstones = append(s.tombstones, e)
			}
			return nil
		}
		return f.UnknownFieldError()
	})
	if err != nil {
		return Snapshot{}, err
	}
	if err := s.validate(); err != nil {
		return Snapshot{}, err
	}
	s.updateWithdrawnDomains()
	return s, nil
}

// validate checks the invariants of the fold, so that a checkpoint cannot introduce a state that no fold produces.
func (s Snapshot) validate() error {
	if s.size > MaxSnapshotSize {
		return trace.BadParameter("checkpoint has a size of %d bytes, more than %d", s.size, MaxSnapshotSize)
	}
	var r findingList
	for n, list := range [][]versionedEntry{s.entries, s.tombstones} {
		for i, e := range list {
			if problem := checkKey(e.key); problem != "" {
				return trace.BadParameter("checkpoint: %s", problem)
			}
			if n == 0 {
				checkValue(&r, e.key, Entry{Key: e.key, Value: e.value})
			} else if _, ok := search(s.entries, e.key); ok || e.value != "" || e.changedAt+BaseWindow <= s.offset {
				return trace.BadParameter("checkpoint: withdrawn key %q is still present, has a value or is older than the base window", e.key)
			}
			if i > 0 && list[i-1].key >= e.key {
				return trace.BadParameter("checkpoint: key %q is not in order", e.key)
			}
			if e.changedAt == 0 || e.changedAt > s.offset {
				return trace.BadParameter("checkpoint: key %q was changed at %d, not between 1 and the checkpoint's offset %d", e.key, e.changedAt, s.offset)
			}
		}
	}
	return JoinFindings(r.all())
}

func decodeEntry(f appender.Field) (versionedEntry, error) {
	var e versionedEntry
	b, err := f.BytesValue(maxEntrySize)
	if err != nil {
		return e, err
	}
	err = appender.RangeFields(b, func(f appender.Field) error {
		switch f.Tag {
		case tagKey:
			return f.StoreString(&e.key, MaxKeyLen)
		case tagValue:
			return f.StoreString(&e.value, MaxValueLen)
		case tagChangedAt:
			return f.StoreUint(&e.changedAt)
		}
		return f.UnknownFieldError()
	})
	return e, err
}

func appendEntry(b []byte, tag protowire.Number, e versionedEntry) []byte {
	size := textFieldSize(tagKey, e.key) + textFieldSize(tagValue, e.value)
	if e.changedAt != 0 {
		size += protowire.SizeTag(tagChangedAt) + protowire.SizeVarint(e.changedAt)
	}
	b = protowire.AppendTag(b, tag, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(size))
	b = appender.AppendString(b, tagKey, e.key)
	b = appender.AppendString(b, tagValue, e.value)
	return appender.AppendUint(b, tagChangedAt, e.changedAt)
}

func textFieldSize(tag protowire.Number, s string) int {
	if s == "" {
		return 0
	}
	return protowire.SizeTag(tag) + protowire.SizeBytes(len(s))
}
