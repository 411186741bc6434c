package encoder

import (
	"fmt"
	"math"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/crocuslb/crocuslb/timer"
)

// maxMillis is the largest absolute value of a duration. It ensures that timer.Millis.Duration does not overflow.
const maxMillis = math.MaxInt64 / 1_000_000

type (
	// reader iterates over the encoded fields of a message. After the first error, next returns false.
	reader struct {
		rest    []byte
		message string
		err     error
		// Number, wire type and value of the current field. The value is in value for varints and in raw for bytes.
		number protowire.Number
		typ    protowire.Type
		value  uint64
		raw    []byte
		// lastJob is the last decoded submission key. Consecutive tasks of a submission share it, which saves an
		// allocation for each task.
		lastJob string
	}

	// enclosing is a saved position of a reader in the enclosing message.
	enclosing struct {
		rest    []byte
		message string
	}
)

func appendUint(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func appendBool(b []byte, n protowire.Number, v bool) []byte {
	return appendUint(b, n, protowire.EncodeBool(v))
}

func appendMillis(b []byte, n protowire.Number, v timer.Millis) []byte {
	return appendUint(b, n, protowire.EncodeZigZag(int64(v)))
}

func appendString(b []byte, n protowire.Number, v string) []byte {
	if v == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), v)
}

// appendReason appends a text for humans. It truncates the text to MaxReasonLen, because the receiver rejects longer ones.
func appendReason(b []byte, n protowire.Number, v string) []byte {
	return appendString(b, n, v[:min(len(v), MaxReasonLen)])
}

func appendBytes(b []byte, n protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return b
	}
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
}

// appendStrings appends a repeated field. Unlike appendString, it encodes empty strings.
func appendStrings(b []byte, n protowire.Number, list []string) []byte {
	for _, s := range list {
		b = protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
	}
	return b
}

// beginNested appends the tag of a nested message and reserves one byte for its length, which endNested sets.
func beginNested(b []byte, n protowire.Number) (dst []byte, start int) {
	b = append(protowire.AppendTag(b, n, protowire.BytesType), 0)
	return b, len(b)
}

// endNested sets the length of the nested message whose content starts at start. It moves the content if the length takes
// several bytes.
func endNested(b []byte, start int) []byte {
	size := len(b) - start
	extra := protowire.SizeVarint(uint64(size)) - 1
	if extra > 0 {
		b = protowire.AppendVarint(b, uint64(size))[:len(b)+extra]
		copy(b[start+extra:], b[start:start+size])
	}
	protowire.AppendVarint(b[:start-1], uint64(size))
	return b
}

// next advances to the next field of the current message. It returns false at the end of the message and after an error.
func (r *reader) next() bool {
	if r.err != nil || len(r.rest) == 0 {
		return false
	}
	n, typ, size := protowire.ConsumeTag(r.rest)
	if size < 0 {
		r.err = trace.BadParameter("%s: malformed field tag", r.message)
		return false
	}
	r.rest = r.rest[size:]
	r.number, r.typ, r.value, r.raw = n, typ, 0, nil
	switch typ {
	case protowire.VarintType:
		r.value, size = protowire.ConsumeVarint(r.rest)
	case protowire.BytesType:
		r.raw, size = protowire.ConsumeBytes(r.rest)
	default:
		size = protowire.ConsumeFieldValue(n, typ, r.rest)
	}
	if size < 0 {
		r.err = trace.BadParameter("%s: field %d is truncated or malformed", r.message, n)
		return false
	}
	r.rest = r.rest[size:]
	return true
}

func (r *reader) setError(field, format string, args ...any) {
	if r.err == nil {
		r.err = trace.BadParameter("%s.%s: %s", r.message, field, fmt.Sprintf(format, args...))
	}
}

func (r *reader) uint(field string, limit uint64) uint64 {
	if r.typ != protowire.VarintType {
		r.setError(field, "wire type %d, want a varint", r.typ)
		return 0
	}
	if r.value > limit {
		r.setError(field, "value %d exceeds %d", r.value, limit)
		return 0
	}
	return r.value
}

func (r *reader) uint64(field string) uint64 { return r.uint(field, math.MaxUint64) }

func (r *reader) uint32(field string) uint32 { return uint32(r.uint(field, math.MaxUint32)) }

func (r *reader) bool(field string) bool { return r.uint(field, 1) == 1 }

func (r *reader) millis(field string) timer.Millis {
	v := protowire.DecodeZigZag(r.uint64(field))
	if v > maxMillis || v < -maxMillis {
		r.setError(field, "duration of %d ms is out of range", v)
		return 0
	}
	return timer.Millis(v)
}

// limitedBytes returns the field's bytes without copying them out of the frame.
func (r *reader) limitedBytes(field string, limit int) []byte {
	if r.typ != protowire.BytesType {
		r.setError(field, "wire type %d, want bytes", r.typ)
		return nil
	}
	if len(r.raw) > limit {
		r.setError(field, "length %d exceeds %d", len(r.raw), limit)
		return nil
	}
	return r.raw
}

func (r *reader) string(field string, limit int) string { return string(r.limitedBytes(field, limit)) }

func (r *reader) jobKey(field string) string {
	raw := r.limitedBytes(field, MaxKeyLen)
	if string(raw) != r.lastJob {
		r.lastJob = string(raw)
	}
	return r.lastJob
}

func (r *reader) bytes(field string) []byte {
	raw := r.limitedBytes(field, MaxFrameSize)
	if len(raw) == 0 {
		return nil
	}
	return append(make([]byte, 0, len(raw)), raw...)
}

// enterNested starts to read the nested message in the current field. The caller passes the result to leaveNested to
// return to the enclosing message.
func (r *reader) enterNested(field, message string) enclosing {
	o := enclosing{r.rest, r.message}
	r.rest = r.limitedBytes(field, MaxFrameSize)
	r.message = message
	return o
}

func (r *reader) leaveNested(o enclosing) { r.rest, r.message = o.rest, o.message }

// appendElement appends a zero element to the list of a repeated field and returns a pointer to it. The first call counts
// the directly following fields with the same number, so that the list needs one allocation. If the list exceeds the
// limit, appendElement sets the error and returns nil.
func appendElement[T any](r *reader, field string, list *[]T, limit int) *T {
	if len(*list) >= limit {
		r.setError(field, "more than %d elements", limit)
		return nil
	}
	if *list == nil {
		*list = make([]T, 0, min(1+r.countFollowing(), limit))
	}
	var zero T
	*list = append(*list, zero)
	return &(*list)[len(*list)-1]
}

// countFollowing returns the number of fields after the current one, up to the first with another number.
func (r *reader) countFollowing() int {
	count := 0
	for rest := r.rest; len(rest) > 0; count++ {
		n, typ, size := protowire.ConsumeTag(rest)
		if size < 0 || n != r.number || typ != protowire.BytesType {
			break
		}
		_, length := protowire.ConsumeBytes(rest[size:])
		if length < 0 {
			break
		}
		rest = rest[size+length:]
	}
	return count
}
