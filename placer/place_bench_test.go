package placer

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// BenchmarkPlace measures queueing and placing a request with 1,700 workers and a full queue.
func BenchmarkPlace(b *testing.B) {
	s := newSimulation(1, 1700)
	s.p.Grant = func(string, marshaler.Grant) {}
	s.p.Reject = func(string, marshaler.Reject) {}
	for i := 0; b.Loop(); i++ {
		s.p.Request(s.now, "entry", "", &marshaler.ResourceRequest{Job: fmt.Sprint(i), Service: "svc", Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 100, Slack: 50})
		s.p.Place(s.now)
		if i%100 == 0 {
			s.now += 301 // reservations expire
			s.p.Place(s.now)
		}
	}
}
