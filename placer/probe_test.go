package placer

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestProbeWithoutResult guards against a breaker that stays open forever because its probe ended neither done nor
// failed: the worker then gets no further task.
func TestProbeWithoutResult(t *testing.T) {
	cases := []struct {
		name   string
		status marshaler.Status // of the probe
	}{
		{"lost", marshaler.StatusLost}, {"stopped", marshaler.StatusStopped}, {"refused", marshaler.StatusRefused},
		{"stalled", marshaler.StatusStalled}, {"failed", marshaler.StatusFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			grants := 0
			p := Placer{Grant: func(string, marshaler.Grant) { grants++ }, Reject: func(string, marshaler.Reject) {}}
			capacity := marshaler.Resources{CPU: 1000}
			report := func(now timer.Millis, worker string, accepting bool, completed ...marshaler.CompletedRun) {
				p.OnLoad(now, worker, &marshaler.Load{Accepting: accepting, Free: capacity, Speed: 1000, CompletedRuns: completed})
			}
			for _, worker := range []string{"a", "b", "c"} { // the breaker limits how many workers may be excluded
				p.SetWorker(worker, "", &marshaler.Backend{Service: "svc", Capacity: capacity})
			}
			p.firstRequestAt = 1
			report(10_000, "a", true, marshaler.CompletedRun{Job: "x", Status: marshaler.StatusStalled})
			report(10_000, "b", false)
			report(10_000, "c", false)
			for now := timer.Millis(10_001); now < 30_000; now++ {
				if now == 10_002 || now == 12_000 {
					p.Request(now, "entry", "", &marshaler.ResourceRequest{
						Job: now.String(), Service: "svc", Tasks: 1, Resources: capacity, Estimate: 10, Slack: 1000, Started: true,
					})
				}
				if now == 11_500 {
					report(now, "a", true, marshaler.CompletedRun{Job: timer.Millis(10_002).String(), Status: c.status})
				}
				p.Place(now)
			}
			if grants != 2 {
				t.Errorf("got %d grants, want the probe and a second one after it", grants)
			}
		})
	}
}
