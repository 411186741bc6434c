package elector

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/encoder"
)

const (
	// MaxClaims is the largest number of submission keys in a claims record.
	MaxClaims = 4096

	tagKind   = 1
	tagBase   = 2
	tagEntry  = 3
	tagRoster = 4

	tagEpoch   = 1
	tagEntries = 2

	tagMember  = 1
	tagAddress = 2

	tagMemberID    = 1
	tagIncarnation = 2

	tagClaimant = 1
	tagKeys     = 2
)

// Claims is a record of the claims stream. It lists submission keys that the member claimed.
type Claims struct {
	Member encoder.Member
	Keys   []string
}

// AppendChange appends the record of a roster change to dst.
func AppendChange(dst []byte, c Change) []byte {
	dst = appender.AppendUint(dst, tagKind, uint64(c.Kind))
	dst = appender.AppendUint(dst, tagBase, c.Base)
	if c.Entry != (encoder.RosterEntry{}) {
		dst = appendMessage(dst, tagEntry, appendEntry(nil, c.Entry))
	}
	if c.Kind == ChangeCheckpoint {
		b := appender.AppendUint(nil, tagEpoch, c.Roster.Epoch)
		for _, e := range c.Roster.Entries {
			b = appendMessage(b, tagEntries, appendEntry(nil, e))
		}
		dst = appendMessage(dst, tagRoster, b)
	}
	return dst
}

// DecodeChange decodes the body of a roster record. A checkpoint must have a roster and any other change an entry, so that
// a record truncated between two fields is not taken for an empty one.
func DecodeChange(body []byte) (Change, error) {
	var (
		c         Change
		hasRoster bool
	)
	if len(body) > appender.MaxBodyLen {
		return c, trace.BadParameter("roster record of %d bytes is larger than %d", len(body), appender.MaxBodyLen)
	}
	err := appender.RangeFields(body, func(f appender.Field) error {
		switch f.Tag {
		case tagKind:
			var n uint64
			err := f.StoreUint(&n)
			if n > uint64(ChangeCheckpoint) {
				return trace.BadParameter("roster record has unknown kind %d", n)
			}
			c.Kind = ChangeKind(n)
			return err
		case tagBase:
			return f.StoreUint(&c.Base)
		case tagEntry:
			return decodeEntry(f, &c.Entry)
		case tagRoster:
			hasRoster = true
			return decodeRoster(f, &c.Roster)
		}
		return f.UnknownFieldError()
	})
	if err == nil {
		err = c.validate(hasRoster)
	}
	if err != nil {
		return Change{}, err
	}
	return c, nil
}

// validate returns an error if the parts of the change do not match its kind.
func (c Change) validate(hasRoster bool) error {
	switch {
	case c.Kind == 0:
		return trace.BadParameter("roster record has no kind")
	case hasRoster != (c.Kind == ChangeCheckpoint):
		return trace.BadParameter("roster record of kind %d has a missing or an unexpected roster", c.Kind)
	case c.Kind != ChangeCheckpoint && c.Entry.Member.ID == "":
		return trace.BadParameter("roster record of kind %d has no entry identifier", c.Kind)
	}
	return nil
}

// AppendClaims appends a claims record to dst. It panics if there are more than MaxClaims keys, or if a key is empty or
// longer than encoder.MaxKeyLen, because readers would reject the whole record.
func AppendClaims(dst []byte, c Claims) []byte {
	if len(c.Keys) > MaxClaims {
		panic("claims record has too many keys")
	}
	dst = appendMessage(dst, tagClaimant, appendMember(nil, c.Member))
	for _, k := range c.Keys {
		if k == "" || len(k) > encoder.MaxKeyLen {
			panic("claims record has an empty or too long key")
		}
		dst = protowire.AppendTag(dst, tagKeys, protowire.BytesType)
		dst = protowire.AppendString(dst, k)
	}
	return dst
}

// DecodeClaims decodes the body of a claims record.
func DecodeClaims(body []byte) (Claims, error) {
	var c Claims
	if len(body) > appender.MaxBodyLen {
		return c, trace.BadParameter("claims record of %d bytes is larger than %d", len(body), appender.MaxBodyLen)
	}
	err := appender.RangeFields(body, func(f appender.Field) error {
		switch f.Tag {
		case tagClaimant:
			return decodeMember(f, &c.Member)
		case tagKeys:
			if len(c.Keys) >= MaxClaims {
				return trace.BadParameter("claims record has more than %d keys", MaxClaims)
			}
			var k string
			if err := f.StoreString(&k, encoder.MaxKeyLen); err != nil {
				return err
			}
			if k == "" {
				return trace.BadParameter("claims record has an empty key at position %d", len(c.Keys))
			}
			c.Keys = append(c.Keys, k)
			return nil
		}
		return f.UnknownFieldError()
	})
	if err == nil && c.Member.ID == "" {
		err = trace.BadParameter("claims record has no member identifier")
	}
	if err != nil {
		return Claims{}, err
	}
	return c, nil
}

func appendEntry(dst []byte, e encoder.RosterEntry) []byte {
	dst = appendMessage(dst, tagMember, appendMember(nil, e.Member))
	return appender.AppendString(dst, tagAddress, e.Address)
}

func appendMember(dst []byte, m encoder.Member) []byte {
	dst = appender.AppendString(dst, tagMemberID, m.ID)
	return appender.AppendUint(dst, tagIncarnation, m.Incarnation)
}

func decodeRoster(f appender.Field, r *encoder.Roster) error {
	b, err := f.BytesValue(appender.MaxBodyLen)
	if err != nil {
		return err
	}
	err = appender.RangeFields(b, func(f appender.Field) error {
		switch f.Tag {
		case tagEpoch:
			return f.StoreUint(&r.Epoch)
		case tagEntries:
			if len(r.Entries) >= encoder.MaxRosterEntries {
				return trace.BadParameter("roster has more than %d entries", encoder.MaxRosterEntries)
			}
			var e encoder.RosterEntry
			if err := decodeEntry(f, &e); err != nil {
				return err
			}
			if n := len(r.Entries); e.Member.ID == "" || n > 0 && r.Entries[n-1].Member.ID >= e.Member.ID {
				return trace.BadParameter("roster entry identifier %q is empty, duplicate or out of order", e.Member.ID)
			}
			r.Entries = append(r.Entries, e)
			return nil
		}
		return f.UnknownFieldError()
	})
	return err
}

func decodeEntry(f appender.Field, e *encoder.RosterEntry) error {
	b, err := f.BytesValue(4 * encoder.MaxNameLen)
	if err != nil {
		return err
	}
	return appender.RangeFields(b, func(f appender.Field) error {
		switch f.Tag {
		case tagMember:
			return decodeMember(f, &e.Member)
		case tagAddress:
			return f.StoreString(&e.Address, encoder.MaxNameLen)
		}
		return f.UnknownFieldError()
	})
}

func decodeMember(f appender.Field, m *encoder.Member) error {
	b, err := f.BytesValue(2 * encoder.MaxNameLen)
	if err != nil {
		return err
	}
	return appender.RangeFields(b, func(f appender.Field) error {
		switch f.Tag {
		case tagMemberID:
			return f.StoreString(&m.ID, encoder.MaxNameLen)
		case tagIncarnation:
			return f.StoreUint(&m.Incarnation)
		}
		return f.UnknownFieldError()
	})
}

func appendMessage(dst []byte, tag protowire.Number, b []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(dst, tag, protowire.BytesType), b)
}
