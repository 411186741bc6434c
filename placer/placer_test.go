package placer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

type (
	// loadPattern is a load and the results required under it.
	loadPattern struct {
		name string
		// jobs returns the jobs that arrive in the millisecond at.
		jobs func(r *rand.Rand, at timer.Millis) []jobSpec
		// workers changes the state of the workers at a time.
		workers func(s *simulation, at timer.Millis)
		// minInTime is the minimum share of the jobs that end in time.
		minInTime float64
		// minServed is the minimum share of the jobs that end.
		minServed float64
	}
)

const (
	taskCPU        = 3000
	responseFactor = 1.6
	responseOffset = 60
	slackShare     = 0.35
	maxWait        = 900 // ms, for callers with deadlines of about 2.3 s
)

func mixedJobs(perSecond float64) func(r *rand.Rand, at timer.Millis) []jobSpec {
	return func(r *rand.Rand, at timer.Millis) (jobs []jobSpec) {
		for n := perSecond / 1000; n > 0; n-- {
			if r.Float64() >= n {
				continue
			}
			j := jobSpec{id: fmt.Sprintf("%d-%d", at, r.Uint32()), tasks: 2, run: 200}
			switch k := r.Float64(); {
			case k < 0.25:
				j.tasks, j.run = 8, 60
			case k < 0.30:
				j.tasks, j.run = 4, 900
			}
			j.run = timer.Millis(float64(j.run) * (0.7 + 0.6*r.Float64()))
			j.estimate = timer.Millis(float64(j.run) * (0.6 + 0.8*r.Float64()))
			j.slack = timer.Millis(slackShare * (responseFactor*float64(j.estimate) + responseOffset))
			j.maxWait = maxWait
			jobs = append(jobs, j)
		}
		return jobs
	}
}

// TestPatterns guards against a policy that serves too few jobs in time under the load patterns below.
func TestPatterns(t *testing.T) {
	// 11 workers can run 110 tasks at a time. 140 jobs per second need about 70.
	steady := mixedJobs(140)
	patterns := []loadPattern{
		{"steady", steady, func(*simulation, timer.Millis) {}, 0.99, 1},
		{"burst of one kind", func(r *rand.Rand, at timer.Millis) []jobSpec {
			jobs := steady(r, at)
			if at > 2000 && at < 4000 && r.Float64() < 0.12 {
				jobs = append(jobs, jobSpec{id: fmt.Sprintf("b%d", at), tasks: 2, run: 200, estimate: 200, slack: 133, maxWait: maxWait})
			}
			return jobs
		}, func(*simulation, timer.Millis) {}, 0.75, 0.85},
		{"burst of all kinds", func(r *rand.Rand, at timer.Millis) []jobSpec {
			if at > 2000 && at < 4000 {
				return mixedJobs(300)(r, at)
			}
			return steady(r, at)
		}, func(*simulation, timer.Millis) {}, 0.70, 0.75},
		{"callers come back at once after a restart", func(r *rand.Rand, at timer.Millis) []jobSpec {
			switch {
			case at > 2000 && at <= 3000:
				return nil // outage
			case at > 3000 && at <= 3400:
				return mixedJobs(420)(r, at)
			}
			return steady(r, at)
		}, func(*simulation, timer.Millis) {}, 0.80, 0.97},
		{"capacity lost and restored", steady, func(s *simulation, at timer.Millis) {
			for _, w := range s.workers[:4] {
				w.unavailable = at > 2000 && at < 4000
			}
		}, 0.80, 0.85},
		{"workers replaced one after another", steady, func(s *simulation, at timer.Millis) {
			// Two of the eleven workers leave at a time, for 800 ms. Their runs continue to the end.
			for i, w := range s.workers {
				w.unavailable = at > 1000 && at < 5400 && int(at-1000)/800 == i/2
			}
		}, 0.97, 0.99},
		{"nearly all of one kind", func(r *rand.Rand, at timer.Millis) (jobs []jobSpec) {
			for _, j := range steady(r, at) {
				if r.Float64() < 0.9 {
					j.tasks, j.run, j.estimate, j.slack = 8, 60, 60, 54 // ms
				}
				jobs = append(jobs, j)
			}
			return jobs
		}, func(*simulation, timer.Millis) {}, 0.97, 0.99},
		{"some workers fail all tasks", steady, func(s *simulation, at timer.Millis) { s.workers[0].fails = at > 2000 && at < 4000 }, 0.93, 0.99},
		{"runs on some workers stall", steady, func(s *simulation, at timer.Millis) { s.workers[0].stalled = at > 2000 && at < 4000 }, 0.93, 0.99},
		{"some workers slow", steady, func(s *simulation, at timer.Millis) {
			s.workers[0].speed, s.workers[1].speed = 1, 1
			if at > 2000 && at < 4000 {
				s.workers[0].speed, s.workers[1].speed = 0.2, 0.2
			}
		}, 0.90, 0.99},
	}
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			s := newSimulation(1, 11)
			total, inTime, served := 0, 0, 0
			all := map[string]*simJob{}
			for at := timer.Millis(0); at < 7000; at++ {
				p.workers(s, at)
				if at < 5000 {
					for _, tj := range p.jobs(s.r, at) {
						j := &simJob{jobSpec: tj, arrivedAt: s.now}
						s.jobs[tj.id], all[tj.id] = j, j
						total++
						s.request(j, j.tasks)
					}
				}
				s.advance()
			}
			for _, j := range all {
				limit := timer.Millis(responseFactor*float64(j.run)*1.15) + responseOffset
				if j.endedAt != 0 {
					served++
				}
				if j.endedAt != 0 && j.endedAt-j.arrivedAt <= limit {
					inTime++
				}
			}
			if got := float64(inTime) / float64(total); got < p.minInTime {
				t.Errorf("got %.3f of %d jobs in time (%d refused), want %.2f", got, total, s.refused, p.minInTime)
			}
			if got := float64(served) / float64(total); got < p.minServed {
				t.Errorf("got %.3f of %d jobs served (%d refused), want %.2f", got, total, s.refused, p.minServed)
			}
			if s.p.QueueLen() != 0 {
				t.Errorf("got %d requests in the queue at the end, want 0", s.p.QueueLen())
			}
		})
	}
}

// TestRefusals guards against queueing requests that cannot be served in time.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		request marshaler.ResourceRequest
		prior   int // number of tasks of 100 ms that are queued before
		reason  string
	}{
		{"fits", marshaler.ResourceRequest{Service: "svc", Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 100, Slack: 50}, 0, ""},
		{"other service", marshaler.ResourceRequest{Service: "other", Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Slack: 50}, 0, "no backend server of the service is known"},
		{"too large", marshaler.ResourceRequest{Service: "svc", Tasks: 1, Resources: marshaler.Resources{CPU: 64_000}, Slack: 50}, 0, "no worker is large enough"},
		{"accelerators", marshaler.ResourceRequest{Service: "svc", Tasks: 1, Resources: marshaler.Resources{CPU: 1, Accelerators: 1}, Slack: 50}, 0, "no worker is large enough"},
		{"long queue", marshaler.ResourceRequest{Service: "svc", Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 100, Slack: 50}, 40, "queue is too long"},
		{"long queue, started", marshaler.ResourceRequest{Service: "svc", Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 100, Slack: 50, Started: true}, 40, ""},
	}
	for _, c := range cases {
		s := newSimulation(1, 2)
		s.now = 5000
		var got string
		s.p.Reject = func(_ string, r marshaler.Reject) {
			if r.Job == "job" {
				got = r.Reason
			}
		}
		s.p.Grant = func(string, marshaler.Grant) {}
		s.p.Request(s.now-2000, "entry", "", &marshaler.ResourceRequest{Job: "first", Service: "svc"}) // ends the startup grace period
		s.p.Cancel("entry", "first", 0)
		if c.prior > 0 {
			s.p.Request(s.now, "entry", "", &marshaler.ResourceRequest{Job: "prior", Service: "svc", Tasks: uint64(c.prior), Resources: marshaler.Resources{CPU: 3000}, Estimate: 100, Slack: 40})
		}
		c.request.Job = "job"
		s.p.Request(s.now, "entry", "", &c.request)
		if got != c.reason {
			t.Errorf("%s: got reason %q, want %q", c.name, got, c.reason)
		}
	}
}

// TestLate guards against refusing requests that can be served within their maximum wait, against late requests that take
// resources from requests that are on time, and against waits that cannot succeed.
func TestLate(t *testing.T) {
	taskSize := marshaler.Resources{CPU: 3000}
	cases := []struct {
		name string
		// free is the number of tasks that fit at first, and freeLater the number after 100 ms.
		free, freeLater int
		// onTime is the number of tasks of another request, which arrives after 100 ms.
		onTime  int
		request marshaler.ResourceRequest
		granted int
		reason  string // of a refusal, if any
		at      timer.Millis
	}{
		{"resources free up late", 0, 10, 0, marshaler.ResourceRequest{Tasks: 2, Slack: 50, MaxWait: 900}, 2, "", 100},
		{"no maximum wait", 0, 10, 0, marshaler.ResourceRequest{Tasks: 2, Slack: 50}, 0, "no room in time", 50},
		{"maximum wait passes", 0, 0, 0, marshaler.ResourceRequest{Tasks: 2, Slack: 50, MaxWait: 300}, 0, "no room in time", 300},
		{"others are on time", 0, 2, 2, marshaler.ResourceRequest{Tasks: 2, Slack: 50, MaxWait: 900}, 0, "no room in time", 900},
		{"resources for both", 0, 4, 2, marshaler.ResourceRequest{Tasks: 2, Slack: 50, MaxWait: 900}, 2, "", 100},
		{"resources for some tasks", 0, 1, 0, marshaler.ResourceRequest{Tasks: 2, Slack: 50, MaxWait: 900}, 1, "", 100},
	}
	for _, c := range cases {
		var granted int
		var reason string
		var at timer.Millis
		now := timer.Millis(10_000)
		var p Placer
		free := c.free
		load := func() {
			p.OnLoad(now, "a", &marshaler.Load{Accepting: true, Free: marshaler.Resources{CPU: int64(free) * taskSize.CPU}, Speed: 1000})
		}
		p = Placer{
			Grant: func(_ string, g marshaler.Grant) {
				if g.Job == "late" {
					granted += len(g.Sidecars)
					at = now
				}
				free -= len(g.Sidecars) // the tasks run until the end of the test
				p.OnLoad(now, "a", &marshaler.Load{Accepting: true, Speed: 1000, HandledStarts: slices.Repeat([]string{g.Job}, len(g.Sidecars))})
				load()
			},
			Reject: func(_ string, r marshaler.Reject) {
				if r.Job == "late" {
					reason, at = r.Reason, now
				}
			},
		}
		p.SetWorker("a", "", &marshaler.Backend{Service: "svc", Capacity: marshaler.Resources{CPU: 64_000}})
		load()
		p.firstRequestAt = 1
		c.request.Job, c.request.Service, c.request.Resources, c.request.Estimate = "late", "svc", taskSize, 60
		p.Request(now, "entry", "", &c.request)
		began := now
		for ; now < began+1000; now++ {
			if now == began+100 {
				free = c.freeLater
				load()
				if c.onTime > 0 {
					p.Request(now, "entry", "", &marshaler.ResourceRequest{Job: "b", Service: "svc", Resources: taskSize, Estimate: 60, Tasks: uint64(c.onTime), Slack: 50, MaxWait: 900})
				}
			}
			p.Place(now)
		}
		if granted != c.granted || reason != c.reason || at-began != c.at {
			t.Errorf("%s: got %d granted, refusal %q, after %d ms, want %d, %q, %d ms", c.name, granted, reason, at-began, c.granted, c.reason, c.at)
		}
	}
}

// TestRejectAll guards against requests that remain queued at an entry that shuts down.
func TestRejectAll(t *testing.T) {
	s := newSimulation(1, 1)
	var moved []string
	s.p.Reject = func(_ string, r marshaler.Reject) {
		if r.Reason == ReasonMoved {
			moved = append(moved, r.Job)
		}
	}
	for _, id := range []string{"a", "b"} {
		s.p.Request(s.now, "entry", "", &marshaler.ResourceRequest{Job: id, Service: "svc", Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 100, Slack: 5000})
	}
	s.p.RejectAll()
	if len(moved) != 2 || s.p.QueueLen() != 0 {
		t.Errorf("got %v moved and %d queued, want a and b moved and 0 queued", moved, s.p.QueueLen())
	}
}
