package placer

import (
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestConfinementLeavesWorker guards against requests that wait until a confinement ends, because the workers that they need
// serve only the confined queues.
func TestConfinementLeavesWorker(t *testing.T) {
	cases := []struct {
		name  string
		queue string
		label string
		cpu   int64
		want  []string
	}{
		{"any worker", "good", "", 1000, []string{"w0"}},
		{"label of a worker that serves confined queues", "good", "gpu", 1000, []string{"w1"}},
		{"size of a worker that serves confined queues", "good", "", 5000, []string{"w1"}},
		{"confined queue", "bad", "", 1000, []string{"w1"}},
		{"confined queue, label of another worker", "bad", "ssd", 1000, []string{"w6"}},
	}
	for _, c := range cases {
		f := newCrashFixture()
		f.SetWorker("w1", "", &marshaler.Backend{Service: "svc", Labels: []string{"gpu"}, Capacity: marshaler.Resources{CPU: 8000}})
		f.SetWorker("w6", "", &marshaler.Backend{Service: "svc", Labels: []string{"ssd"}, Capacity: marshaler.Resources{CPU: 4000}})
		f.report(1, 8000)
		f.report(6, 4000)
		for n := range 3 {
			f.report(2+n, 4000, marshaler.CompletedRun{Job: "x", Status: marshaler.StatusCrashed, Queue: "bad", Blame: marshaler.BlamePossible})
		}
		f.Request(f.now, "entry", "", &marshaler.ResourceRequest{
			Job: "job", Service: "svc", Queue: c.queue, Tasks: 1, Resources: marshaler.Resources{CPU: c.cpu}, Estimate: 100, Slack: 50, MaxWait: 50, Started: true,
			Label: c.label,
		})
		f.Place(f.now)
		if got := f.granted; !slices.Equal(got, c.want) {
			t.Errorf("%s: got workers %v, want %v", c.name, got, c.want)
		}
	}
}
