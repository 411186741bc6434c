package configurer

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"unicode/utf8"
)

const (
	// MaxNoteJSONLen is the maximum size of a JSON-encoded note in bytes.
	MaxNoteJSONLen = 1 << 20
)

// member is a name/value pair of a JSON object.
type member struct {
	name  string
	value json.RawMessage
}

// ParseNote parses a note in JSON:
//
//	{"id": "...", "author": "...", "comment": "...", "base": 12,
//	 "added": [{"key": "...", "value": "..."}], "changed": [...], "withdrawn": ["..."]}
//
// It returns all findings that do not depend on the current state. The note is valid only if there are none.
func ParseNote(body []byte) (Note, []Finding) {
	var (
		n Note
		r findingList
	)
	if len(body) > MaxNoteJSONLen {
		r.add("", "note of %d bytes is larger than %d", len(body), MaxNoteJSONLen)
		return n, r.all()
	}
	if !utf8.Valid(body) {
		r.add("", "note is not valid UTF-8")
		return n, r.all()
	}
	if !json.Valid(body) {
		r.add("", "note is not valid JSON")
		return n, r.all()
	}
	for _, m := range parseObject(&r, "", body) {
		switch m.name {
		case "id":
			n.ID = parseText(&r, m.name, m.value)
		case "author":
			n.Author = parseText(&r, m.name, m.value)
		case "comment":
			n.Comment = parseText(&r, m.name, m.value)
		case "base":
			n.Base = parseNumber(&r, m.name, m.value)
		case "added":
			n.Added = parseEntries(&r, m.name, m.value)
		case "changed":
			n.Changed = parseEntries(&r, m.name, m.value)
		case "withdrawn":
			for i, v := range parseArray(&r, m.name, m.value) {
				n.Withdrawn = append(n.Withdrawn, parseText(&r, m.name+"["+strconv.Itoa(i)+"]", v))
			}
		default:
			r.add(m.name, "field is unknown")
		}
	}
	if len(r.findings) == 0 {
		n.checkFormat(&r)
	}
	return n, r.all()
}

// FormatNote encodes the note in the format that ParseNote accepts.
func FormatNote(n Note) []byte {
	entries := func(list []Entry) []map[string]string {
		out := make([]map[string]string, 0, len(list))
		for _, e := range list {
			out = append(out, map[string]string{"key": e.Key, "value": e.Value})
		}
		return out
	}
	withdrawn := n.Withdrawn
	if withdrawn == nil {
		withdrawn = []string{}
	}
	b, err := json.Marshal(map[string]any{
		"id": n.ID, "author": n.Author, "comment": n.Comment, "base": n.Base,
		"added": entries(n.Added), "changed": entries(n.Changed), "withdrawn": withdrawn,
	})
	if err != nil {
		panic(err) // cannot happen: strings, numbers and maps of strings can always be encoded
	}
	return b
}

func parseEntries(r *findingList, location string, b []byte) []Entry {
	var entries []Entry
	for i, v := range parseArray(r, location, b) {
		var e Entry
		entryLocation := location + "[" + strconv.Itoa(i) + "]"
		seen := map[string]bool{}
		for _, m := range parseObject(r, entryLocation, v) {
			seen[m.name] = true
			switch m.name {
			case "key":
				e.Key = parseText(r, entryLocation+".key", m.value)
			case "value":
				e.Value = parseText(r, entryLocation+".value", m.value)
			default:
				r.add(entryLocation+"."+m.name, "field is unknown")
			}
		}
		for _, name := range []string{"key", "value"} {
			if !seen[name] {
				r.add(entryLocation+"."+name, "field is missing")
			}
		}
		entries = append(entries, e)
	}
	return entries
}

// parseObject returns the members of a JSON object in order and reports duplicate names. b must be valid JSON.
func parseObject(r *findingList, location string, b []byte) []member {
	d := json.NewDecoder(bytes.NewReader(b))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		r.add(location, "is not an object")
		return nil
	}
	var members []member
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		name, ok := t.(string)
		var m member
		if err != nil || !ok || d.Decode(&m.value) != nil {
			r.add(location, "is not a valid object")
			return nil
		}
		m.name = truncateName(name)
		if seen[name] {
			r.add(memberLocation(location, m.name), "field occurs more than once")
			continue
		}
		seen[name] = true
		members = append(members, m)
	}
	return members
}

// parseArray returns at most MaxEntries elements and reports a longer array as a finding.
func parseArray(r *findingList, location string, b []byte) []json.RawMessage {
	d := json.NewDecoder(bytes.NewReader(b))
	if t, err := d.Token(); err != nil || t != json.Delim('[') {
		r.add(location, "is not an array")
		return nil
	}
	var elements []json.RawMessage
	for d.More() {
		if len(elements) == MaxEntries {
			r.add(location, "has more than %d elements", MaxEntries)
			break
		}
		var v json.RawMessage
		if d.Decode(&v) != nil {
			r.add(location, "is not a valid array")
			break
		}
		elements = append(elements, v)
	}
	return elements
}

func parseText(r *findingList, location string, b []byte) string {
	var s *string
	if json.Unmarshal(b, &s) != nil || s == nil {
		r.add(location, "is not a string")
		return ""
	}
	return *s
}

func parseNumber(r *findingList, location string, b []byte) uint64 {
	var n *uint64
	if json.Unmarshal(b, &n) != nil || n == nil {
		r.add(location, "is not a whole number from 0 to 2^64-1")
		return 0
	}
	return *n
}

func memberLocation(location, name string) string {
	if location == "" {
		return name
	}
	return location + "." + name
}

// truncateName limits the length of a name from untrusted input for use in a finding.
func truncateName(name string) string {
	const maxLen = 64
	if len(name) > maxLen {
		return strings.ToValidUTF8(name[:maxLen], "") + "..."
	}
	return name
}
