package dispatcher

import (
	"bytes"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/encoder"
)

// TestLargeAnswer guards against an answer that never reaches its caller because it does not fit a frame. The parts must
// fit and give the whole answer in any order, also when some come twice.
func TestLargeAnswer(t *testing.T) {
	sizes := [][]int{
		{10}, {900_000, 900_000}, {900_000, 900_000, 900_000}, {1 << 20, 1 << 20, 1 << 20, 1 << 20, 1 << 20, 1 << 20, 1 << 20},
		slices.Repeat([]int{10_000}, 880), slices.Repeat([]int{0}, 880),
	}
	for _, sz := range sizes {
		a := encoder.Answer{Key: "k", State: encoder.JobComplete}
		for i, n := range sz {
			a.Results = append(a.Results, encoder.TaskResult{Body: bytes.Repeat([]byte{byte(i)}, n)})
		}
		c := group(t, "b").core
		c.out = nil
		c.sendAnswer(waiter{session: 1, forward: 7}, a)
		var parts []*encoder.ForwardAnswer
		for i := range c.out {
			m := c.out[i].Message.(*encoder.ForwardAnswer)
			if n := len(encoder.Append(nil, m)); n > encoder.MaxFrame {
				t.Errorf("%d results: part of %d bytes", len(sz), n)
			}
			parts = append(parts, m)
		}
		slices.Reverse(parts)
		if len(parts) > 1 {
			parts = append([]*encoder.ForwardAnswer{parts[0]}, parts...)
		}
		c.forwards[7] = &forward{id: 7, waiter: waiter{request: 9}, job: encoder.Job{Key: "k"}}
		c.out = nil
		for _, m := range parts {
			c.forwardAnswer(m)
		}
		if len(c.out) != 1 || len(c.out[0].Answer.Results) != len(sz) {
			t.Fatalf("%d results: got %d effects", len(sz), len(c.out))
		}
		for i, r := range c.out[0].Answer.Results {
			if !bytes.Equal(r.Body, a.Results[i].Body) {
				t.Errorf("%d results: result %d differs", len(sz), i)
			}
		}
	}
}
