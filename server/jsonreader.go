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
	// Finding is one error in a request.
	Finding struct {
		Place  string // path of the value, for example "tasks[3].runMs"
		Reason string
	}

	// jsonReader traverses a valid JSON document and collects findings, at most maxFindings. It detects unknown and
	// duplicate field names and names in another case, which encoding/json would accept silently.
	jsonReader struct {
		body     []byte
		pos      int
		findings []Finding
		stopped  bool // the rest of the document is not read
	}

	// fieldPath is the path of a value. Its text is built only for findings. An array item has no name.
	fieldPath struct {
		parent *fieldPath
		name   string
		index  int
	}
)

// String returns the path as shown in findings. Names are truncated to maxKeyLength bytes.
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

// newJSONReader returns a reader of body. It rejects a body that is not valid UTF-8, because decoding would replace the
// invalid bytes and thereby alter payloads.
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

// readObject reads an object and calls field for each member. field must consume the value, or return false if the name
// is unknown. If the value is not an object, readObject consumes it and returns false.
func (r *jsonReader) readObject(p *fieldPath, field func(name string, p *fieldPath) bool) bool {
	if !r.openDelimiter(p, '{', "an object") {
		return false
	}
	var seen [16]string // no object has more than 16 known names, so later ones are reported as unknown anyway
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

// readArray reads an array of at most limit items and calls item for each, which must consume the value. It returns
// false if the value is not an array, or is too long; in the latter case the rest of the document is not read.
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

// openDelimiter consumes the opening delimiter of an object or array. A value of another type is reported and consumed.
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

// hasNext reports whether another member or item follows. It consumes the comma before it, or the closing delimiter.
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

// peekByte skips white space and returns the next byte without consuming it.
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

// rawValue consumes one value and returns its bytes, or nil if the reader has stopped.
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

// stringEnd returns the position after the string that starts at pos.
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

// fieldName decodes a field name. The most frequent names, those of a task, are returned without an allocation.
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

// unquote decodes a JSON string.
func unquote(raw []byte) string {
	if len(raw) < 2 {
		return ""
	}
	if inner := raw[1 : len(raw)-1]; bytes.IndexByte(inner, '\\') < 0 {
		return string(inner)
	}
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		panic("server: cannot decode a string in a valid JSON document: " + err.Error())
	}
	return s
}

// readString consumes a string of at most limit bytes. It reports an unpaired surrogate, because decoding replaces it.
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

// readBase64 consumes a base64 string that decodes to at most limit bytes.
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

// readInt consumes an integer between low and high.
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

// readBool consumes a boolean.
func (r *jsonReader) readBool(p *fieldPath) bool {
	raw := r.rawValue()
	if raw != nil && string(raw) != "true" && string(raw) != "false" {
		r.addFinding(p, "want true or false")
	}
	return string(raw) == "true"
}

// placeOrBody returns "body" for the empty place, which is that of the document itself.
func placeOrBody(place string) string {
	if place == "" {
		return "body"
	}
	return place
}
