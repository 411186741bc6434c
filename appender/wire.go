package appender

import (
	"encoding/json"
	"math"
	"strings"

	"github.com/gravitational/trace"
)

type (
	appendWire struct {
		ID   string `json:"id"`
		Body []byte `json:"body"`
	}

	offsetWire struct {
		Offset *uint64 `json:"offset"`
	}

	recordWire struct {
		Offset uint64 `json:"offset"`
		ID     string `json:"id"`
		Body   []byte `json:"body"`
	}

	pageWire struct {
		First   *uint64      `json:"first"`
		Next    *uint64      `json:"next"`
		Records []recordWire `json:"records"`
	}

	refusalWire struct {
		First    uint64 `json:"first"`
		Appended *bool  `json:"appended"`
	}
)

func encodeAppend(id string, body []byte) []byte {
	if body == nil {
		body = []byte{}
	}
	b, err := json.Marshal(appendWire{ID: id, Body: body})
	if err != nil {
		panic(err) // strings and bytes always encode
	}
	return b
}

func decodeOffset(b []byte) (uint64, error) {
	var w offsetWire
	if err := json.Unmarshal(b, &w); err != nil {
		return 0, trace.Wrap(err, "answer to an append is malformed")
	}
	if w.Offset == nil {
		return 0, trace.Errorf("answer to an append has no offset")
	}
	if *w.Offset == math.MaxUint64 {
		return 0, trace.Errorf("answer to an append has offset %d, after which there is none", *w.Offset)
	}
	return *w.Offset, nil
}

// decodePage decodes a page and checks that its records are contiguous and follow from.
func decodePage(b []byte, from uint64) (Page, error) {
	var w pageWire
	if err := json.Unmarshal(b, &w); err != nil {
		return Page{}, trace.Wrap(err, "page of the log is malformed")
	}
	if w.First == nil || w.Next == nil || *w.First > *w.Next {
		return Page{}, trace.Errorf("page of the log lacks a valid first and next offset")
	}
	p := Page{First: *w.First, Next: *w.Next}
	for i, r := range w.Records {
		switch {
		case r.Offset != from+uint64(i) || r.Offset < p.First || r.Offset >= p.Next:
			return Page{}, trace.Errorf("page of the log has offset %d at position %d of a read from %d", r.Offset, i, from)
		case len(r.Body) > MaxBody:
			return Page{}, trace.LimitExceeded("record at offset %d is larger than %d bytes", r.Offset, MaxBody)
		}
		p.Records = append(p.Records, Record(r))
	}
	return p, nil
}

// decodeStatus returns the error for an answer other than success. Its body is optional.
func decodeStatus(code int, b []byte) *statusError {
	const longest = 200
	e := &statusError{code: code, text: strings.ToValidUTF8(string(b[:min(len(b), longest)]), "?")}
	var w refusalWire
	if json.Unmarshal(b, &w) == nil {
		e.first, e.notAppended = w.First, w.Appended != nil && !*w.Appended
	}
	return e
}
