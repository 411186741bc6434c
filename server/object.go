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
	reader struct {
		body     []byte
		at       int
		findings []Finding
		broken   bool // nothing more is read
	}

	// path is the place of a value. Its text is built only for findings. An item has no name.
	path struct {
		up    *path
		name  string
		index int
	}
)

// String returns the path as findings show it.
func (p *path) String() string {
	switch {
	case p == nil:
		return "body"
	case p.name == "" && p.up != nil:
		return p.up.String() + "[" + strconv.Itoa(p.index) + "]"
	}
	name := p.name
	if len(name) > maxKeyLength {
		name = name[:maxKeyLength] + "..."
	}
	if p.up == nil {
		return nonEmpty(name)
	}
	return p.up.String() + "." + name
}

// newReader returns a reader of body. A body that is not valid UTF-8 is refused as a whole: decoding would replace the
// invalid bytes and so change a payload.
func newReader(body []byte) *reader {
	r := &reader{body: body}
	if !utf8.Valid(body) {
		r.add(nil, "is not valid UTF-8")
		r.broken = true
		return r
	}
	if json.Valid(body) {
		return r
	}
	r.broken = true
	var raw json.RawMessage
	var syntax *json.SyntaxError
	place, reason := "body", "is not valid JSON"
	if err := json.Unmarshal(body, &raw); errors.As(err, &syntax) {
		place, reason = fmt.Sprintf("body at byte %d", syntax.Offset), syntax.Error()
	}
	r.findings = append(r.findings, Finding{Place: place, Reason: reason})
	return r
}

func (r *reader) add(p *path, format string, args ...any) {
	if len(r.findings) < maxFindings {
		r.findings = append(r.findings, Finding{Place: p.String(), Reason: fmt.Sprintf(format, args...)})
	}
}

// object walks one object and calls field for each member; field must consume the value, or return false when it does
// not know the name. It returns false when the value is no object; the value is consumed then.
func (r *reader) object(p *path, field func(name string, p *path) bool) bool {
	if !r.open(p, '{', "an object") {
		return false
	}
	var seen [16]string // names beyond the first 16 are unknown ones, which are findings anyway
	for n := 0; r.more('}'); n++ {
		name := fieldName(r.raw())
		r.peek()
		r.at++ // the colon
		member := &path{up: p, name: name}
		for i := range min(n, len(seen)) {
			if seen[i] == name {
				r.add(member, "the field is given twice")
			}
		}
		if n < len(seen) {
			seen[n] = name
		}
		if !field(name, member) {
			r.add(member, "the field is unknown")
			r.raw()
		}
	}
	return true
}

// array walks one array and calls item for each element; item must consume the value.
func (r *reader) array(p *path, limit int, item func(p *path)) bool {
	if !r.open(p, '[', "an array") {
		return false
	}
	for i := 0; r.more(']'); i++ {
		if i == limit {
			r.add(p, "has more than %d items", limit)
			r.broken = true
			return false
		}
		item(&path{up: p, index: i})
	}
	return true
}

// open consumes the opening delimiter. A value of another kind is consumed and reported.
func (r *reader) open(p *path, delimiter byte, want string) bool {
	if r.broken {
		return false
	}
	if r.peek() != delimiter {
		r.add(p, "want %s", want)
		r.raw()
		return false
	}
	r.at++
	return true
}

// more reports whether another member or element follows, and consumes the comma before it or the closing delimiter.
func (r *reader) more(closing byte) bool {
	if r.broken {
		return false
	}
	switch r.peek() {
	case closing:
		r.at++
		return false
	case ',':
		r.at++
	}
	return true
}

// peek skips white space and returns the next byte.
func (r *reader) peek() byte {
	for {
		switch c := r.body[r.at]; c {
		case ' ', '\t', '\r', '\n':
			r.at++
		default:
			return c
		}
	}
}

// raw consumes one value and returns its bytes, or nothing when the reader is broken.
func (r *reader) raw() []byte {
	if r.broken {
		return nil
	}
	depth := 0
	r.peek()
	begin := r.at
	for {
		switch r.body[r.at] {
		case '"':
			r.at = stringEnd(r.body, r.at)
		case '{', '[':
			depth++
			r.at++
		case '}', ']':
			depth--
			r.at++
		case ' ', '\t', '\r', '\n', ',', ':':
			r.at++
			continue
		default:
			for r.at < len(r.body) && !strings.ContainsRune(" \t\r\n,:{}[]\"", rune(r.body[r.at])) {
				r.at++
			}
		}
		if depth == 0 {
			return r.body[begin:r.at]
		}
	}
}

// stringEnd returns the position after the string that begins at the given one.
func stringEnd(body []byte, at int) int {
	for at++; ; at++ {
		switch body[at] {
		case '\\':
			at++
		case '"':
			return at + 1
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
func (r *reader) text(p *path, limit int) string {
	raw := r.raw()
	if raw == nil {
		return ""
	}
	if raw[0] != '"' {
		r.add(p, "want a string")
		return ""
	}
	s := unquote(raw)
	if len(s) > limit {
		r.add(p, "is longer than %d bytes", limit)
		return ""
	}
	const replacement = "\uFFFD"
	if n := strings.Count(s, replacement); n > 0 {
		lower := bytes.ToLower(raw)
		if n > bytes.Count(lower, []byte(replacement))+bytes.Count(lower, []byte(`\ufffd`)) {
			r.add(p, "holds an unpaired surrogate")
		}
	}
	return s
}

// data consumes a string of base64 that stands for at most limit bytes.
func (r *reader) data(p *path, limit int) []byte {
	s := r.text(p, base64.StdEncoding.EncodedLen(limit))
	b, err := base64.StdEncoding.Strict().DecodeString(s)
	if err != nil {
		r.add(p, "is not standard base64")
		return nil
	}
	if len(b) > limit {
		r.add(p, "is longer than %d bytes", limit)
		return nil
	}
	return b
}

// number consumes a whole number from low to high.
func (r *reader) number(p *path, low, high int64) int64 {
	raw := r.raw()
	if raw == nil {
		return 0
	}
	n, err := strconv.ParseInt(string(raw), 10, 64)
	switch {
	case err != nil:
		r.add(p, "want a whole number from %d to %d", low, high)
		return 0
	case n < low || n > high:
		r.add(p, "%d is out of range %d..%d", n, low, high)
		return 0
	}
	return n
}

// boolean consumes true or false.
func (r *reader) boolean(p *path) bool {
	raw := r.raw()
	if raw != nil && string(raw) != "true" && string(raw) != "false" {
		r.add(p, "want true or false")
	}
	return string(raw) == "true"
}

func nonEmpty(place string) string {
	if place == "" {
		return "body"
	}
	return place
}
