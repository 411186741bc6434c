package server

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

type (
	// Finding is one fault in a request.
	Finding struct {
		Place  string // for example "tasks[3].runMs"
		Reason string
	}

	// reader walks a JSON document and collects findings. It stops at the first syntax error, because nothing after
	// it can be read reliably, and after maxFindings.
	reader struct {
		decoder  *json.Decoder
		findings []Finding
		broken   bool
	}
)

// newReader returns a reader of body. A body that is not valid UTF-8 is refused as a whole: the standard decoder
// would replace the invalid bytes and so change a payload.
func newReader(body []byte) *reader {
	r := &reader{decoder: json.NewDecoder(bytes.NewReader(body))}
	if !utf8.Valid(body) {
		r.add("body", "is not valid UTF-8")
		r.broken = true
	}
	return r
}

func (r *reader) add(place, format string, args ...any) {
	if len(r.findings) < maxFindings {
		r.findings = append(r.findings, Finding{Place: place, Reason: fmt.Sprintf(format, args...)})
	}
}

// fail records a syntax error and ends the walk.
func (r *reader) fail(err error) {
	if r.broken {
		return
	}
	r.broken = true
	reason := strings.TrimPrefix(err.Error(), "json: ")
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		reason = "the document ends early"
	}
	r.add(fmt.Sprintf("body at byte %d", r.decoder.InputOffset()), "%s", reason)
}

// object walks one object and calls field for each member; field must consume the value. Names that are doubled are
// findings. It returns false when there is no object.
func (r *reader) object(place string, field func(name, place string) bool) bool {
	if !r.open(place, '{', "an object") {
		return false
	}
	seen := make(map[string]bool, 8)
	for !r.broken && r.decoder.More() {
		token, err := r.decoder.Token()
		if err != nil {
			r.fail(err)
			return false
		}
		name, _ := token.(string)
		at := join(place, name)
		if seen[name] {
			r.add(at, "the field is given twice")
		}
		seen[name] = true
		if len(seen) > maxFields {
			r.add(place, "has more than %d fields", maxFields)
			r.broken = true
			return false
		}
		if !field(name, at) {
			r.add(at, "the field is unknown")
			r.raw()
		}
	}
	return r.close()
}

// array walks one array and calls item for each element; item must consume the value.
func (r *reader) array(place string, limit int, item func(i int, place string)) bool {
	if !r.open(place, '[', "an array") {
		return false
	}
	for i := 0; !r.broken && r.decoder.More(); i++ {
		if i == limit {
			r.add(place, "has more than %d items", limit)
			r.broken = true
			return false
		}
		item(i, fmt.Sprintf("%s[%d]", place, i))
	}
	return r.close()
}

// open consumes the opening delimiter. A value of another kind is consumed and reported.
func (r *reader) open(place string, delimiter json.Delim, want string) bool {
	if r.broken {
		return false
	}
	token, err := r.decoder.Token()
	if err != nil {
		r.fail(err)
		return false
	}
	if token == delimiter {
		return true
	}
	r.add(nonEmpty(place), "want %s", want)
	if _, nested := token.(json.Delim); nested {
		for depth := 1; depth > 0; {
			token, err := r.decoder.Token()
			if err != nil {
				r.fail(err)
				return false
			}
			switch token {
			case json.Delim('{'), json.Delim('['):
				depth++
			case json.Delim('}'), json.Delim(']'):
				depth--
			}
		}
	}
	return false
}

func (r *reader) close() bool {
	if r.broken {
		return false
	}
	if _, err := r.decoder.Token(); err != nil {
		r.fail(err)
		return false
	}
	return true
}

// end reports data after the document.
func (r *reader) end() {
	if r.broken {
		return
	}
	if _, err := r.decoder.Token(); !errors.Is(err, io.EOF) {
		r.add(fmt.Sprintf("body at byte %d", r.decoder.InputOffset()), "data follows the document")
	}
}

// raw consumes one value.
func (r *reader) raw() json.RawMessage {
	var raw json.RawMessage
	if r.broken {
		return nil
	}
	if err := r.decoder.Decode(&raw); err != nil {
		r.fail(err)
		return nil
	}
	return raw
}

// text consumes a string of at most limit bytes. An unpaired surrogate is refused, because the standard decoder would
// replace it.
func (r *reader) text(place string, limit int) string {
	raw := r.raw()
	if raw == nil {
		return ""
	}
	var s string
	if raw[0] != '"' || json.Unmarshal(raw, &s) != nil {
		r.add(place, "want a string")
		return ""
	}
	if len(s) > limit {
		r.add(place, "is longer than %d bytes", limit)
		return ""
	}
	const replacement = "\uFFFD"
	if n := strings.Count(s, replacement); n > 0 {
		lower := bytes.ToLower(raw)
		if n > bytes.Count(lower, []byte(replacement))+bytes.Count(lower, []byte(`\ufffd`)) {
			r.add(place, "holds an unpaired surrogate")
		}
	}
	return s
}

// data consumes a string of base64 that stands for at most limit bytes.
func (r *reader) data(place string, limit int) []byte {
	s := r.text(place, base64.StdEncoding.EncodedLen(limit))
	b, err := base64.StdEncoding.Strict().DecodeString(s)
	if err != nil {
		r.add(place, "is not standard base64")
		return nil
	}
	if len(b) > limit {
		r.add(place, "is longer than %d bytes", limit)
		return nil
	}
	return b
}

// number consumes a whole number from low to high.
func (r *reader) number(place string, low, high int64) int64 {
	raw := r.raw()
	if raw == nil {
		return 0
	}
	var n int64
	if raw[0] != '-' && (raw[0] < '0' || raw[0] > '9') || json.Unmarshal(raw, &n) != nil {
		r.add(place, "want a whole number from %d to %d", low, high)
		return 0
	}
	if n < low || n > high {
		r.add(place, "%d is out of range %d..%d", n, low, high)
		return 0
	}
	return n
}

// boolean consumes true or false.
func (r *reader) boolean(place string) bool {
	raw := r.raw()
	if raw != nil && string(raw) != "true" && string(raw) != "false" {
		r.add(place, "want true or false")
	}
	return string(raw) == "true"
}

func join(place, name string) string {
	if len(name) > maxKeyLength {
		name = name[:maxKeyLength] + "..."
	}
	if place == "" {
		return nonEmpty(name)
	}
	return place + "." + name
}

func nonEmpty(place string) string {
	if place == "" {
		return "body"
	}
	return place
}
