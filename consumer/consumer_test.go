package consumer

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/gravitational/trace"
)

// TestConsume guards against changes that are missed or applied twice when the store fails or its records expire.
func TestConsume(t *testing.T) {
	type step struct {
		call string // newest or read
		page Page
		err  error
	}
	a, b := Record{Key: "a", Value: []byte("1")}, Record{Key: "b", Value: []byte("2")}
	unavailable := errors.New("unavailable")
	cases := []struct {
		name    string
		steps   []step
		applied []Page
		whole   []bool
		lost    int
	}{
		{"changes", []step{{"newest", Page{[]Record{a}, 3}, nil}, {"read", Page{[]Record{b}, 4}, nil}, {"read", Page{nil, 4}, nil}}, []Page{{[]Record{a}, 3}, {[]Record{b}, 4}}, []bool{true, false}, 0},
		{"unavailable at first", []step{{"newest", Page{}, unavailable}, {"newest", Page{[]Record{a}, 3}, nil}}, []Page{{[]Record{a}, 3}}, []bool{true}, 1},
		{"unavailable later", []step{{"newest", Page{nil, 3}, nil}, {"read", Page{}, unavailable}, {"read", Page{}, unavailable}, {"read", Page{[]Record{b}, 4}, nil}}, []Page{{nil, 3}, {[]Record{b}, 4}}, []bool{true, false}, 1},
		{"records expired", []step{{"newest", Page{nil, 3}, nil}, {"read", Page{}, trace.NotFound("records expired")}, {"newest", Page{[]Record{b}, 9}, nil}}, []Page{{nil, 3}, {[]Record{b}, 9}}, []bool{true, true}, 0},
	}
	for _, c := range cases {
		ctx, cancel := context.WithCancel(t.Context())
		var applied []Page
		var whole []bool
		next, lost, regained := 0, 0, 0
		call := func(name string) (Page, error) {
			if next == len(c.steps) {
				cancel()
				return Page{}, ctx.Err()
			}
			s := c.steps[next]
			next++
			if s.call != name {
				t.Errorf("%s, step %d: got call %s, want %s", c.name, next, name, s.call)
			}
			return s.page, s.err
		}
		f := &Consumer{
			Newest:        func(context.Context) (Page, error) { return call("newest") },
			Read:          func(context.Context, uint64) (Page, error) { return call("read") },
			Apply:         func(p Page, w bool) { applied, whole = append(applied, p), append(whole, w) },
			OnUnavailable: func(error) { lost++ },
			OnAvailable:   func() { regained++ },
		}
		f.Run(ctx)
		if !reflect.DeepEqual(applied, c.applied) || !reflect.DeepEqual(whole, c.whole) || lost != c.lost || regained != c.lost {
			t.Errorf("%s: got %+v, whole %v, lost %d, regained %d, want %+v, %v, %d", c.name, applied, whole, lost, regained, c.applied, c.whole, c.lost)
		}
	}
}

// TestExpiredRecords guards against a loop without pauses when the store lists the newest records but never has the
// ones that follow.
func TestExpiredRecords(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	calls := 0
	f := &Consumer{
		Newest:        func(context.Context) (Page, error) { calls++; return Page{Next: 3}, nil },
		Read:          func(context.Context, uint64) (Page, error) { return Page{}, trace.NotFound("records expired") },
		Apply:         func(Page, bool) {},
		OnUnavailable: func(error) {},
		OnAvailable:   func() {},
	}
	f.Run(ctx)
	if want := 12; calls > want { // one pause of at least 50 ms before each but the first two
		t.Errorf("got %d snapshots in 500 ms, want at most %d", calls, want)
	}
}
