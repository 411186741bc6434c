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
	for at := 0; at < len(b); {
		tag, typ, n := protowire.ConsumeTag(b[at:])
		if n < 0 {
			return trace.BadParameter("field tag at byte %d is malformed", at)
		}
		f := Field{Tag: tag, Type: typ}
		var size int
		switch typ {
		case protowire.VarintType:
			f.Number, size = protowire.ConsumeVarint(b[at+n:])
		case protowire.BytesType:
			f.Bytes, size = protowire.ConsumeBytes(b[at+n:])
		default:
			return trace.BadParameter("field %d at byte %d has the unexpected wire type %d", tag, at, typ)
		}
		if size < 0 {
			return trace.BadParameter("field %d at byte %d is truncated or malformed", tag, at)
		}
		if err := visit(f); err != nil {
			return err
		}
		at += n + size
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
