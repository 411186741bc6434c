package appender

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"
)

// Field is one protobuf field of a record body. Tag is the field number, Varint the value of a varint, and Bytes the value
// of a length-delimited field.
type Field struct {
	Tag    protowire.Number
	Type   protowire.Type
	Varint uint64
	Bytes  []byte
}

// RangeFields calls visit for each protobuf field of b, in order, and stops at the first error. Wire types other than varint and
// length-delimited are errors. Field.Bytes refers to b.
func RangeFields(b []byte, visit func(f Field) error) error {
	for pos := 0; pos < len(b); {
		tag, wireType, n := protowire.ConsumeTag(b[pos:])
		if n < 0 {
			return trace.BadParameter("malformed field tag at byte %d", pos)
		}
		f := Field{Tag: tag, Type: wireType}
		var size int
		switch wireType {
		case protowire.VarintType:
			f.Varint, size = protowire.ConsumeVarint(b[pos+n:])
		case protowire.BytesType:
			f.Bytes, size = protowire.ConsumeBytes(b[pos+n:])
		default:
			return trace.BadParameter("field %d at byte %d has unsupported wire type %d", tag, pos, wireType)
		}
		if size < 0 {
			return trace.BadParameter("field %d at byte %d is truncated or malformed", tag, pos)
		}
		if err := visit(f); err != nil {
			return err
		}
		pos += n + size
	}
	return nil
}

// StoreUint stores the value of a varint field in dst.
func (f Field) StoreUint(dst *uint64) error {
	if f.Type != protowire.VarintType {
		return trace.BadParameter("field %d is not a varint", f.Tag)
	}
	*dst = f.Varint
	return nil
}

// StoreString stores the value of a length-delimited field of at most limit bytes in dst.
func (f Field) StoreString(dst *string, limit int) error {
	b, err := f.BytesValue(limit)
	*dst = string(b)
	return err
}

// BytesValue returns the value of a length-delimited field of at most limit bytes.
func (f Field) BytesValue(limit int) ([]byte, error) {
	if f.Type != protowire.BytesType {
		return nil, trace.BadParameter("field %d is not length-delimited", f.Tag)
	}
	if len(f.Bytes) > limit {
		return nil, trace.BadParameter("field %d has %d bytes, more than %d", f.Tag, len(f.Bytes), limit)
	}
	return f.Bytes, nil
}

// UnknownFieldError returns the error for a field that the message type does not define.
func (f Field) UnknownFieldError() error { return trace.BadParameter("field %d is unknown", f.Tag) }

// AppendString appends a string field to dst. It omits the empty string, which is the default of an absent field.
func AppendString(dst []byte, tag protowire.Number, s string) []byte {
	if s == "" {
		return dst
	}
	return protowire.AppendString(protowire.AppendTag(dst, tag, protowire.BytesType), s)
}

// AppendUint appends a varint field to dst. It omits zero, which is the default of an absent field.
func AppendUint(dst []byte, tag protowire.Number, n uint64) []byte {
	if n == 0 {
		return dst
	}
	return protowire.AppendVarint(protowire.AppendTag(dst, tag, protowire.VarintType), n)
}
