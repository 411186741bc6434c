package appender

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"
)

// Field is one protobuf field of a record body. Number is set for varints, Bytes for length-delimited fields.
type Field struct {
	Tag    protowire.Number
	Type   protowire.Type
	Number uint64
	Bytes  []byte
}

// Fields calls visit for each protobuf field of b, in order, and stops at the first error. Varints and
// length-delimited fields are the only types. Bytes are parts of b.
func Fields(b []byte, visit func(f Field) error) error {
	for pos := 0; pos < len(b); {
		tag, wireType, n := protowire.ConsumeTag(b[pos:])
		if n < 0 {
			return trace.BadParameter("field tag at byte %d is malformed", pos)
		}
		f := Field{Tag: tag, Type: wireType}
		var size int
		switch wireType {
		case protowire.VarintType:
			f.Number, size = protowire.ConsumeVarint(b[pos+n:])
		case protowire.BytesType:
			f.Bytes, size = protowire.ConsumeBytes(b[pos+n:])
		default:
			return trace.BadParameter("field %d at byte %d has the unexpected wire type %d", tag, pos, wireType)
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

// Uint stores a varint field.
func (f Field) Uint(dst *uint64) error {
	if f.Type != protowire.VarintType {
		return trace.BadParameter("field %d is not a number", f.Tag)
	}
	*dst = f.Number
	return nil
}

// Text stores a length-delimited field of at most limit bytes.
func (f Field) Text(dst *string, limit int) error {
	b, err := f.Message(limit)
	*dst = string(b)
	return err
}

// Message returns a length-delimited field of at most limit bytes.
func (f Field) Message(limit int) ([]byte, error) {
	if f.Type != protowire.BytesType {
		return nil, trace.BadParameter("field %d is not length-delimited", f.Tag)
	}
	if len(f.Bytes) > limit {
		return nil, trace.BadParameter("field %d has %d bytes, more than %d", f.Tag, len(f.Bytes), limit)
	}
	return f.Bytes, nil
}

// Unknown returns the error for a field that the format does not have.
func (f Field) Unknown() error { return trace.BadParameter("field %d is unknown", f.Tag) }

// AppendText appends a text field. Empty texts are left out, as Fields leaves their destination empty.
func AppendText(dst []byte, tag protowire.Number, s string) []byte {
	if s == "" {
		return dst
	}
	return protowire.AppendString(protowire.AppendTag(dst, tag, protowire.BytesType), s)
}

// AppendUint appends a number field. Zeros are left out, as Fields leaves their destination zero.
func AppendUint(dst []byte, tag protowire.Number, n uint64) []byte {
	if n == 0 {
		return dst
	}
	return protowire.AppendVarint(protowire.AppendTag(dst, tag, protowire.VarintType), n)
}
