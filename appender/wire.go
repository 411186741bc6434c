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
		panic(err) // cannot happen for strings and bytes
	}
	return b
}

func decodeAppendResponse(b []byte) (uint64, error) {
	var response appendResponse
	if err := json.Unmarshal(b, &response); err != nil {
		return 0, trace.Wrap(err, "malformed response to an append")
	}
	if response.Offset == nil {
		return 0, trace.Errorf("response to an append has no offset")
	}
	if *response.Offset == math.MaxUint64 {
		return 0, trace.Errorf("response to an append has offset %d, the maximum, which leaves no next offset", *response.Offset)
	}
	return *response.Offset, nil
}

// decodeReadResponse decodes a page and checks that its records are contiguous and start at the offset from.
func decodeReadResponse(b []byte, from uint64) (Page, error) {
	var response readResponse
	if err := json.Unmarshal(b, &response); err != nil {
		return Page{}, trace.Wrap(err, "malformed response to a read")
	}
	if response.First == nil || response.Next == nil || *response.First > *response.Next {
		return Page{}, trace.Errorf("response to a read has no valid first and next offset")
	}
	p := Page{First: *response.First, Next: *response.Next}
	for i, r := range response.Records {
		switch {
		case r.Offset != from+uint64(i) || r.Offset < p.First || r.Offset >= p.Next:
			return Page{}, trace.Errorf("response to a read has offset %d at position %d, but the read starts at offset %d", r.Offset, i, from)
		case len(r.Body) > MaxBodyLen:
			return Page{}, trace.LimitExceeded("body of the record at offset %d exceeds %d bytes", r.Offset, MaxBodyLen)
		}
		p.Records = append(p.Records, Record(r))
	}
	return p, nil
}

// decodeErrorResponse returns the error for a response with a status other than 200. Its body can be empty or not JSON.
func decodeErrorResponse(code int, b []byte) *statusError {
	const maxMessageLen = 200
	e := &statusError{code: code, message: strings.ToValidUTF8(string(b[:min(len(b), maxMessageLen)]), "?")}
	var response errorResponse
	if json.Unmarshal(b, &response) == nil {
		e.firstRetained, e.notAppended = response.First, response.Appended != nil && !*response.Appended
	}
	return e
}
