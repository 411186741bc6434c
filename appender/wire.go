package appender

import (
	"encoding/json"
	"math"
	"strings"

	"github.com/gravitational/trace"
)

type (
	appendRequest struct {
		ID   string `json:"id"`
		Body []byte `json:"body"`
	}

	appendResponse struct {
		Offset *uint64 `json:"offset"`
	}

	responseRecord struct {
		Offset uint64 `json:"offset"`
		ID     string `json:"id"`
		Body   []byte `json:"body"`
	}

	readResponse struct {
		First   *uint64          `json:"first"`
		Next    *uint64          `json:"next"`
		Records []responseRecord `json:"records"`
	}

	errorResponse struct {
		First    uint64 `json:"first"`
		Appended *bool  `json:"appended"`
	}
)

func encodeAppend(id string, body []byte) []byte {
	if body == nil {
		body = []byte{}
	}
	b, err := json.Marshal(appendRequest{ID: id, Body: body})
	if err != nil {
		panic(err) // strings and bytes always encode
	}
	return b
}

func decodeAppendResponse(b []byte) (uint64, error) {
	var w appendResponse
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
func decodeReadResponse(b []byte, from uint64) (Page, error) {
	var w readResponse
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
func decodeErrorResponse(code int, b []byte) *statusError {
	const maxMessageLen = 200
	e := &statusError{code: code, message: strings.ToValidUTF8(string(b[:min(len(b), maxMessageLen)]), "?")}
	var w errorResponse
	if json.Unmarshal(b, &w) == nil {
		e.firstRetained, e.notAppended = w.First, w.Appended != nil && !*w.Appended
	}
	return e
}
