package placer

import (
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestConstraints guards against tasks on workers that a step's constraints exclude, and against tasks outside the
// preferred rack while the rack has free resources.
func TestConstraints(t *testing.T) {
	cases := []struct {
		name    string
		request marshaler.ResourceRequest
		want    []string
		reject  bool
	}{
		{"unconstrained", marshaler.ResourceRequest{Tasks: 2}, []string{"a", "a"}, false},
		{"label", marshaler.ResourceRequest{Tasks: 2, Label: "big"}, []string{"b", "b"}, false},
		{"label of no worker", marshaler.ResourceRequest{Tasks: 1, Label: "none"}, nil, true},
		{"rack", marshaler.ResourceRequest{Tasks: 2, Rack: "r2"}, []string{"c", "c"}, false},
		{"rack too small for all", marshaler.ResourceRequest{Tasks: 4, Rack: "r2"}, []string{"a", "c", "c", "c"}, false},
		{"one on each server", marshaler.ResourceRequest{Tasks: 3, ServerTaskLimit: 1}, []string{"a", "b", "c"}, false},
		{"one on each server, more tasks than servers", marshaler.ResourceRequest{Tasks: 5, ServerTaskLimit: 1}, []string{"a", "b", "c"}, false},
		{"one on each server, two placed", marshaler.ResourceRequest{Tasks: 2, ServerTaskLimit: 1, Placed: []string{"a", "b"}}, []string{"c"}, false},
		{"two on each server, one placed", marshaler.ResourceRequest{Tasks: 4, ServerTaskLimit: 2, Placed: []string{"a"}, Label: "small"}, []string{"a", "c", "c"}, false},
	}
	for _, c := range cases {
		var got []string
		rejected := false
		p := Placer{
			Grant:  func(_ string, g marshaler.Grant) { got = append(got, g.Sidecars...) },
			Reject: func(string, marshaler.Reject) { rejected = true },
		}
		capacity := marshaler.Resources{CPU: 3000}
		p.SetWorker("a", "", &marshaler.Backend{Service: "svc", Capacity: capacity, Labels: []string{"small", "r1"}})
		p.SetWorker("b", "", &marshaler.Backend{Service: "svc", Capacity: capacity, Labels: []string{"big", "r1"}})
		p.SetWorker("c", "", &marshaler.Backend{Service: "svc", Capacity: capacity, Labels: []string{"small", "r2"}})
		for i, name := range []string{"a", "b", "c"} {
			p.OnLoad(1, name, &marshaler.Load{Accepting: true, Free: capacity, Speed: uint64(1000 - i)})
		}
		p.firstRequestAt = 1
		c.request.Job, c.request.Service, c.request.Resources, c.request.Estimate, c.request.Slack = "job", "svc", marshaler.Resources{CPU: 1000}, 10, 100
		p.Request(5000, "entry", "", &c.request)
		p.Place(5000)
		slices.Sort(got)
		if !slices.Equal(got, c.want) || rejected != c.reject {
			t.Errorf("%s: got %v, rejected %v, want %v, %v", c.name, got, rejected, c.want, c.reject)
		}
	}
}
