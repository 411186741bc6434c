package encoder

import (
	"fmt"
	"math"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/crocuslb/crocuslb/timer"
)

// maxMillis bounds durations in both directions, so that timer.Millis.Duration cannot overflow.
const maxMillis = math.MaxInt64 / 1_000_000

type (
	// reader walks over the fields of one message. After the first error, next returns false.
	reader struct {
		rest    []byte
		message string
		err     error
		// The current field: its number and its value, by wire type.
		number protowire.Number
		typ    protowire.Type
		value  uint64
		raw    []byte
		// lastJob avoids a copy of the submission key for each task of the same submission.
		lastJob string
	}

	// outer is the position of a reader in the enclosing message.
	outer struct {
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

// appendReason truncates texts for humans instead of exceeding the limit that the receiver enforces.
func appendReason(b []byte, n protowire.Number, v string) []byte {
	return appendString(b, n, v[:min(len(v), MaxReason)])
}

func appendBytes(b []byte, n protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return b
	}
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
}

// appendStrings keeps empty elements.
func appendStrings(b []byte, n protowire.Number, list []string) []byte {
	for _, s := range list {
		b = protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
	}
	return b
}

// begin opens a nested message. The result of end replaces the one-byte length that begin reserves.
func begin(b []byte, n protowire.Number) (dst []byte, start int) {
	b = append(protowire.AppendTag(b, n, protowire.BytesType), 0)
	return b, len(b)
}

// end closes the nested message that starts at start. It moves the content when the length takes several bytes.
func end(b []byte, start int) []byte {
	size := len(b) - start
	extra := protowire.SizeVarint(uint64(size)) - 1
	if extra > 0 {
		b = protowire.AppendVarint(b, uint64(size))[:len(b)+extra]
		copy(b[start+extra:], b[start:start+size])
	}
	protowire.AppendVarint(b[:start-1], uint64(size))
	return b
}

// next moves to the next field of the current message and returns false at its end.
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

func (r *reader) fail(field, format string, args ...any) {
	if r.err == nil {
		r.err = trace.BadParameter("%s.%s: %s", r.message, field, fmt.Sprintf(format, args...))
	}
}

func (r *reader) uint(field string, limit uint64) uint64 {
	if r.typ != protowire.VarintType {
		r.fail(field, "wire type %d, want a varint", r.typ)
		return 0
	}
	if r.value > limit {
		r.fail(field, "value %d exceeds %d", r.value, limit)
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
		r.fail(field, "duration of %d ms is out of range", v)
		return 0
	}
	return timer.Millis(v)
}

// limited returns the field's bytes, which are part of the frame.
func (r *reader) limited(field string, limit int) []byte {
	if r.typ != protowire.BytesType {
		r.fail(field, "wire type %d, want bytes", r.typ)
		return nil
	}
	if len(r.raw) > limit {
		r.fail(field, "length %d exceeds %d", len(r.raw), limit)
		return nil
	}
	return r.raw
}

func (r *reader) string(field string, limit int) string { return string(r.limited(field, limit)) }

func (r *reader) job(field string) string {
	raw := r.limited(field, MaxKey)
	if string(raw) != r.lastJob {
		r.lastJob = string(raw)
	}
	return r.lastJob
}

func (r *reader) bytes(field string) []byte {
	raw := r.limited(field, MaxFrame)
	if len(raw) == 0 {
		return nil
	}
	return append(make([]byte, 0, len(raw)), raw...)
}

// enter moves into the current field, which holds a nested message. The caller passes the result to leave.
func (r *reader) enter(field, message string) outer {
	o := outer{r.rest, r.message}
	r.rest = r.limited(field, MaxFrame)
	r.message = message
	return o
}

func (r *reader) leave(o outer) { r.rest, r.message = o.rest, o.message }

// grow extends a repeated field by one element. The first call counts the directly following fields of the same number,
// so that a list takes one allocation. It returns nil, and records the error, when the limit is exceeded.
func grow[T any](r *reader, field string, list *[]T, limit int) *T {
	if len(*list) >= limit {
		r.fail(field, "more than %d elements", limit)
		return nil
	}
	if *list == nil {
		*list = make([]T, 0, min(1+r.following(), limit))
	}
	var zero T
	*list = append(*list, zero)
	return &(*list)[len(*list)-1]
}

// following counts the fields after the current one up to one with another number.
func (r *reader) following() int {
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
