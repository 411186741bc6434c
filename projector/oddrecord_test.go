package projector

import (
	"math"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestOddRecords guards against one record of another writer in a partition that changes the state of its jobs, or hides the
// records after it.
func TestOddRecords(t *testing.T) {
	encode := func(m marshaler.Message) []byte { return marshaler.Append(nil, m) }
	phantom := job(2)
	phantom.Tasks = []marshaler.TaskRecord{{Index: 7, Done: true}, {Index: 8, Done: true}}
	cases := []struct {
		name string
		odd  []byte
	}{
		{"empty", nil}, {"no text", []byte{0xff, 0xfe}}, {"deeply nested JSON", []byte(strings.Repeat("[", 20_000))},
		{"number too large", []byte(`{"Task":1e400}`)}, {"truncated", encode(job(2))[:5]}, {"only a type", encode(&marshaler.EndRecord{})},
		{"message in place of a record", encode(&marshaler.Heartbeat{Offset: 1})},
		{"end of an unknown job", encode(&marshaler.EndRecord{Run: marshaler.RunKey{Job: "other"}, Status: marshaler.StatusDone})},
		{"end of a task that the job does not have", encode(end(0, 7, 1, marshaler.StatusDone))},
		{"end of a step that the job does not have", encode(end(5, 0, 1, marshaler.StatusFailed))},
		{"failures of a task that the job does not have", encode(end(0, math.MaxUint32, 9, marshaler.StatusFailed))},
		{"ends of tasks that the job does not have", encode(phantom)},
	}
	for _, c := range cases {
		var p Projection
		records := [][]byte{encode(job(2)), c.odd, c.odd, encode(end(0, 1, 1, marshaler.StatusDone)), encode(end(0, 0, 1, marshaler.StatusFailed))}
		for i, r := range records {
			if err := p.Apply(r); err != nil && i != 1 && i != 2 {
				t.Errorf("%s, record %d: got %v, want no error", c.name, i, err)
			}
		}
		if got := StateOf(p.Jobs()[0]); got != Open {
			t.Errorf("%s: got state %d of a job with one of two tasks done, want %d", c.name, got, Open)
		}
		_ = p.Apply(encode(end(0, 0, 2, marshaler.StatusDone))) // decoded above
		if got := StateOf(p.Jobs()[0]); got != Succeeded {
			t.Errorf("%s: got state %d of a job with both tasks done, want %d", c.name, got, Succeeded)
		}
	}
}
