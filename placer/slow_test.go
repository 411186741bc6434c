package placer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestSlowGrants guards against refusals while slow workers could serve the job in useful time, and against slow workers
// that get jobs which are of no use there or only part of a job.
func TestSlowGrants(t *testing.T) {
	task := marshaler.Resources{CPU: 1000}
	request := func(job string, tasks uint64, estimate, slack, useful timer.Millis) marshaler.ResourceRequest {
		return marshaler.ResourceRequest{
			Job: job, Service: "svc", Queue: "queue", Tasks: tasks, Resources: task, Estimate: estimate, Slack: slack, MaxWait: slack, TargetEnd: min(estimate, useful), LastUsefulEnd: useful,
		}
	}
	old := request("a", 2, 100, 50, 450)
	old.TargetEnd, old.LastUsefulEnd = 0, 0
	begun := request("a", 2, 100, 50, 1000)
	begun.Started = true
	patient := request("a", 2, 100, 20, 1000)
	patient.MaxWait = 900
	shorter := request("b", 2, 50, 20, 450)
	shorter.MaxWait = 400
	cases := []struct {
		name     string
		requests []marshaler.ResourceRequest
		learned  float64 // ratio of the queue; 0 if not learned
		// slowFree is the number of tasks that fit on the two slow workers, whose speed is 250. No other worker has room.
		slowFree int64
		// longQueue says that a job which has begun waits before the others, for longer than they can wait.
		longQueue bool
		granted   []string
		refused   []string
	}{
		{"refusal averted", []marshaler.ResourceRequest{request("a", 2, 100, 50, 450)}, 0, 2, true, []string{"a:2"}, nil},
		{"late", []marshaler.ResourceRequest{patient}, 0, 2, false, []string{"a:2"}, nil},
		{"ends too late", []marshaler.ResourceRequest{request("a", 2, 100, 50, 390)}, 0, 2, true, nil, []string{"a"}},
		{"ends too late with the learned run time", []marshaler.ResourceRequest{request("a", 2, 100, 50, 500)}, 1.5, 2, true, nil, []string{"a"}},
		{"not all tasks fit", []marshaler.ResourceRequest{request("a", 3, 100, 50, 450)}, 0, 2, true, nil, []string{"a"}},
		{"ends not stated", []marshaler.ResourceRequest{old}, 0, 2, true, nil, []string{"a"}},
		{"the job has begun", []marshaler.ResourceRequest{begun}, 0, 2, true, nil, nil},
		{"the short one first", []marshaler.ResourceRequest{patient, shorter}, 0, 2, false, []string{"b:2", "a:2"}, nil},
	}
	for _, c := range cases {
		var granted, refused []string
		p := Placer{
			Grant: func(_ string, g marshaler.Grant) {
				granted = append(granted, fmt.Sprintf("%s:%d", g.Job, len(g.Sidecars)))
			},
			Reject: func(_ string, r marshaler.Reject) { refused = append(refused, r.Job) },
		}
		p.firstRequestAt = 1
		report := func() {
			for i, speed := range []uint64{1000, 1000, 1000, 250, 250} {
				name, free := fmt.Sprint("w", i), marshaler.Resources{}
				p.SetWorker(name, "", &marshaler.Backend{Service: "svc", Capacity: marshaler.Resources{CPU: 8000}})
				if speed < 1000 {
					free.CPU = c.slowFree * task.CPU / 2
				}
				p.OnLoad(testNow, name, &marshaler.Load{Accepting: true, Free: free, Speed: speed})
			}
		}
		report()
		p.updateSpeeds(testNow)
		for range 20 {
			p.runTimes.Add(testNow, "queue", p.workers["w0"].kind.name, c.learned)
		}
		first := marshaler.ResourceRequest{Job: "first", Service: "svc", Tasks: 100, Resources: marshaler.Resources{CPU: 8000}, Estimate: 1000, Started: true}
		if c.longQueue {
			p.Request(testNow, "entry", "", &first)
		}
		for i := range c.requests {
			p.Request(testNow, "entry", "", &c.requests[i])
		}
		for now := testNow; now < testNow+1000; now++ {
			p.Place(now)
		}
		if !slices.Equal(granted, c.granted) || !slices.Equal(refused, c.refused) {
			t.Errorf("%s: got %v granted, %v refused, want %v, %v", c.name, granted, refused, c.granted, c.refused)
		}
	}
}
