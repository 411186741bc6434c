package server

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

type (
	// Finding is one fault in a request.
	Finding struct {
		Place  string // for example "tasks[3].runMs"
		Reason string
	}

	// reader walks a JSON document that is valid as a whole and collects findings, at most maxFindings. It keeps
	// what encoding/json would accept silently: unknown, doubled and differently written names.
	jsonReader struct {
		body     []byte
		pos      int
		findings []Finding
		stopped  bool // nothing more is read
	}

	// path is the place of a value. Its text is built only for findings. An item has no name.
	fieldPath struct {
		parent *fieldPath
		name   string
		index  int
	}
)

// String returns the path as findings show it.
func (p *fieldPath) String() string {
	switch {
	case p == nil:
		return "body"
	case p.name == "" && p.parent != nil:
		return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
	}
	name := p.name
	if len(name) > maxKeyLength {
		name = name[:maxKeyLength] + "..."
	}
	if p.parent == nil {
		return placeOrBody(name)
	}
	return p.parent.String() + "." + name
}

// newReader returns a reader of body. A body that is not valid UTF-8 is refused as a whole: decoding would replace the
// invalid bytes and so change a payload.
func newJSONReader(body []byte) *jsonReader {
	r := &jsonReader{body: body}
	if !utf8.Valid(body) {
		r.addFinding(nil, "is not valid UTF-8")
		r.stopped = true
		return r
	}
	if json.Valid(body) {
		return r
	}
	r.stopped = true
	var raw json.RawMessage
	var syntax *json.SyntaxError
	place, reason := "body", "is not valid JSON"
	if err := json.Unmarshal(body, &raw); errors.As(err, &syntax) {
		place, reason = fmt.Sprintf("body at byte %d", syntax.Offset), syntax.Error()
	}
	r.findings = append(r.findings, Finding{Place: place, Reason: reason})
	return r
}

func (r *jsonReader) addFinding(p *fieldPath, format string, args ...any) {
	if len(r.findings) < maxFindings {
		r.findings = append(r.findings, Finding{Place: p.String(), Reason: fmt.Sprintf(format, args...)})
	}
}

// object walks one object and calls field for each member; field must consume the value, or return false when it does
// not know the name. It returns false when the value is no object; the value is consumed then.
func (r *jsonReader) readObject(p *fieldPath, field func(name string, p *fieldPath) bool) bool {
	if !r.openDelimiter(p, '{', "an object") {
		return false
	}
	var seen [16]string // names beyond the first 16 are unknown ones, which are findings anyway
	for n := 0; r.hasNext('}'); n++ {
		name := fieldName(r.rawValue())
		r.peekByte()
		r.pos++ // the colon
		member := &fieldPath{parent: p, name: name}
		for i := range min(n, len(seen)) {
			if seen[i] == name {
				r.addFinding(member, "the field is given twice")
			}
		}
		if n < len(seen) {
			seen[n] = name
		}
		if !field(name, member) {
			r.addFinding(member, "the field is unknown")
			r.rawValue()
		}
	}
	return true
}

// array walks one array and calls item for each element; item must consume the value.
func (r *jsonReader) readArray(p *fieldPath, limit int, item func(p *fieldPath)) bool {
	if !r.openDelimiter(p, '[', "an array") {
		return false
	}
	for i := 0; r.hasNext(']'); i++ {
		if i == limit {
			r.addFinding(p, "has more than %d items", limit)
			r.stopped = true
			return false
		}
		item(&fieldPath{parent: p, index: i})
	}
	return true
}

// open consumes the opening delimiter. A value of another kind is consumed and reported.
func (r *jsonReader) openDelimiter(p *fieldPath, delimiter byte, want string) bool {
	if r.stopped {
		return false
	}
	if r.peekByte() != delimiter {
		r.addFinding(p, "want %s", want)
		r.rawValue()
		return false
	}
	r.pos++
	return true
}

// more reports whether another member or element follows, and consumes the comma before it or the closing delimiter.
func (r *jsonReader) hasNext(closing byte) bool {
	if r.stopped {
		return false
	}
	switch r.peekByte() {
	case closing:
		r.pos++
		return false
	case ',':
		r.pos++
	}
	return true
}

// peek skips white space and returns the next byte.
func (r *jsonReader) peekByte() byte {
	for {
		switch c := r.body[r.pos]; c {
		case ' ', '\t', '\r', '\n':
			r.pos++
		default:
			return c
		}
	}
}

// raw consumes one value and returns its bytes, or nothing when the reader is broken.
func (r *jsonReader) rawValue() []byte {
	if r.stopped {
		return nil
	}
	depth := 0
	r.peekByte()
	start := r.pos
	for {
		switch r.body[r.pos] {
		case '"':
			r.pos = stringEnd(r.body, r.pos)
		case '{', '[':
			depth++
			r.pos++
		case '}', ']':
			depth--
			r.pos++
		case ' ', '\t', '\r', '\n', ',', ':':
			r.pos++
			continue
		default:
			for r.pos < len(r.body) && !strings.ContainsRune(" \t\r\n,:{}[]\"", rune(r.body[r.pos])) {
				r.pos++
			}
		}
		if depth == 0 {
			return r.body[start:r.pos]
		}
	}
}

// stringEnd returns the position after the string that begins at the given one.
func stringEnd(body []byte, pos int) int {
	for pos++; ; pos++ {
		switch body[pos] {
		case '\\':
			pos++
		case '"':
			return pos + 1
		}
	}
}

// fieldName returns the text of a name. Those of a task, which are read most often, need no allocation.
func fieldName(raw []byte) string {
	switch string(raw) {
	case `"kind"`:
		return "kind"
	case `"payload"`:
		return "payload"
	case `"payloadBase64"`:
		return "payloadBase64"
	case `"runMs"`:
		return "runMs"
	}
	return unquote(raw)
}

// unquote returns the text of a JSON string.
func unquote(raw []byte) string {
	if len(raw) < 2 {
		return ""
	}
	if inner := raw[1 : len(raw)-1]; bytes.IndexByte(inner, '\\') < 0 {
		return string(inner)
	}
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		panic("server: a string of a valid document does not decode: " + err.Error())
	}
	return s
}

// text consumes a string of at most limit bytes. An unpaired surrogate is refused, because decoding replaces it.
func (r *jsonReader) readString(p *fieldPath, limit int) string {
	raw := r.rawValue()
	if raw == nil {
		return ""
	}
	if raw[0] != '"' {
		r.addFinding(p, "want a string")
		return ""
	}
	s := unquote(raw)
	if len(s) > limit {
		r.addFinding(p, "is longer than %d bytes", limit)
		return ""
	}
	const replacement = "\uFFFD"
	if replacements := strings.Count(s, replacement); replacements > 0 {
		lowered := bytes.ToLower(raw)
		if replacements > bytes.Count(lowered, []byte(replacement))+bytes.Count(lowered, []byte(`\ufffd`)) {
			r.addFinding(p, "holds an unpaired surrogate")
		}
	}
	return s
}

// data consumes a string of base64 that stands for at most limit bytes.
func (r *jsonReader) readBase64(p *fieldPath, limit int) []byte {
	s := r.readString(p, base64.StdEncoding.EncodedLen(limit))
	b, err := base64.StdEncoding.Strict().DecodeString(s)
	if err != nil {
		r.addFinding(p, "is not standard base64")
		return nil
	}
	if len(b) > limit {
		r.addFinding(p, "is longer than %d bytes", limit)
		return nil
	}
	return b
}

// number consumes a whole number from low to high.
func (r *jsonReader) readInt(p *fieldPath, low, high int64) int64 {
	raw := r.rawValue()
	if raw == nil {
		return 0
	}
	n, err := strconv.ParseInt(string(raw), 10, 64)
	switch {
	case err != nil:
		r.addFinding(p, "want a whole number from %d to %d", low, high)
		return 0
	case n < low || n > high:
		r.addFinding(p, "%d is out of range %d..%d", n, low, high)
		return 0
	}
	return n
}

// boolean consumes true or false.
func (r *jsonReader) readBool(p *fieldPath) bool {
	raw := r.rawValue()
	if raw != nil && string(raw) != "true" && string(raw) != "false" {
		r.addFinding(p, "want true or false")
	}
	return string(raw) == "true"
}

func placeOrBody(place string) string {
	if place == "" {
		return "body"
	}
	return place
}
