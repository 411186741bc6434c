package appender

import (
	"bytes"
	"encoding/json"
	"testing"
)

// FuzzDecodeAnswers guards against panics on malformed responses, and against responses that make a reader skip or repeat
// records.
func FuzzDecodeAnswers(f *testing.F) {
	f.Add([]byte(`{"first":0,"next":4,"records":[{"offset":2,"id":"a","body":"YQ=="},{"offset":3,"id":"b","body":""}]}`), uint64(2))
	for _, body := range []string{
		`{"first":0,"next":4,"records":[{"offset":3,"id":"a"}]}`,
		`{"first":0,"next":4,"records":[{"offset":2,"id":"a"},{"offset":2,"id":"a"}]}`,
		`{"first":0,"next":2,"records":[{"offset":2,"id":"a"}]}`,
		`{"first":3,"next":4,"records":[{"offset":2,"id":"a"}]}`,
		`{"first":5,"next":4,"records":[]}`,
		`{"records":[]}`,
		`{"offset":18446744073709551615}`,
		`{"error":"gone","first":7,"appended":false}`,
	} {
		f.Add([]byte(body), uint64(2))
	}
	f.Fuzz(func(t *testing.T, body []byte, from uint64) {
		if p, err := decodeReadResponse(body, from); err == nil {
			if p.First > p.Next || !bytes.Contains(bytes.ToLower(body), []byte("next")) {
				t.Fatalf("got page %+v", p)
			}
			next := from
			for _, r := range p.Records {
				if r.Offset != next || r.Offset < p.First || r.Offset >= p.Next {
					t.Fatalf("got offset %d, want %d, within %d to %d", r.Offset, next, p.First, p.Next)
				}
				next++
			}
		}
		if offset, err := decodeAppendResponse(body); err == nil && offset == 1<<64-1 {
			t.Fatal("the maximum offset, which has no successor, was accepted")
		}
		if s := decodeErrorResponse(503, body); s.notAppended && !json.Valid(body) {
			t.Fatal("a malformed error response was taken for a definite failure")
		}
	})
}
