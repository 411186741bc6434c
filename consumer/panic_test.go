package consumer

import (
	"context"
	"testing"
	"time"
)

// TestApplyPanics guards against a panic in the handling of one record that ends the process, or keeps the consumer from the
// records after it.
func TestApplyPanics(t *testing.T) {
	for _, odd := range []Page{{Records: []Record{{Key: "odd"}}, Next: 2}, {Records: []Record{{Key: "odd"}, {Key: "late"}}, Next: 3}} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		var applied []string
		reads := 0
		var skipped []error
		f := &Consumer{
			Newest: func(context.Context) (Page, error) { return Page{Next: 1}, nil },
			Read: func(_ context.Context, from uint64) (Page, error) {
				reads++
				if from == 1 {
					return odd, nil
				}
				if from != odd.Next {
					t.Errorf("got a read from %d, want %d", from, odd.Next)
				}
				return Page{Records: []Record{{Key: "good"}}, Next: from + 1}, nil
			},
			Apply: func(p Page, _ bool) {
				for _, r := range p.Records {
					if r.Key == "odd" {
						panic("injected")
					}
					applied = append(applied, r.Key)
					if r.Key == "good" {
						cancel()
					}
				}
			},
			OnUnavailable: func(error) {}, OnAvailable: func() {},
			OnPanic: func(err error) { skipped = append(skipped, err) },
		}
		f.Run(ctx)
		if len(applied) != 1 || reads != 2 || len(skipped) != 1 {
			t.Errorf("got %v applied after %d reads, panics %v, want the good record after 2 reads and one panic", applied, reads, skipped)
		}
	}
}
