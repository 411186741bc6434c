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
	// pattern is a load, with what must come of it.
	pattern struct {
		name string
		// jobs returns the jobs that arrive in a millisecond.
		jobs func(r *rand.Rand, at timer.Millis) []testJob
		// workers changes the workers at a time.
		workers func(f *field, at timer.Millis)
		// minInTime is the least share of the worked time of all jobs, or of what the room allows, that ends in time.
		minInTime float64
		// minServed is the least share of the jobs that end at all.
		minServed float64
	}

	testJob struct {
		id       string
		tasks    int
		run      timer.Millis // true run time of a task at the usual speed
		estimate timer.Millis
		slack    timer.Millis
		patience timer.Millis
	}

	// field runs a placer against workers without a network: starts begin when they are granted, reports arrive at once.
	field struct {
		p       Placer
		r       *rand.Rand
		now     timer.Millis
		workers []*testWorker
		jobs    map[string]*liveJob
		refused int
	}

	testWorker struct {
		name    string
		total   marshaler.Room
		speed   float64 // share of the usual one
		fails   bool
		stuck   bool
		gone    bool
		runs    []testRun
		settled []marshaler.Settled
		seen    []string
	}

	testRun struct {
		job   string
		began timer.Millis
		left  float64
		est   timer.Millis
	}

	liveJob struct {
		testJob
		arrived timer.Millis
		done    int
		started bool
		ended   timer.Millis
		retries int
	}
)

const (
	taskCPU   = 3000
	stretch   = 1.6
	target    = 60
	waitShare = 0.35
	patience  = 900 // ms, for callers with deadlines of about 2.3 s
)

func newField(seed uint64, workers int) *field {
	f := &field{r: rand.New(rand.NewPCG(seed, 7)), now: 1000, jobs: map[string]*liveJob{}}
	f.p.Grant = func(_ string, g marshaler.Grant) {
		for _, name := range g.Sidecars {
			f.start(g.Job, name)
		}
	}
	f.p.Reject = func(_ string, r marshaler.Reject) {
		f.refused++
		if f.jobs[r.Job].started {
			panic("a job that has started was refused")
		}
		delete(f.jobs, r.Job)
	}
	for i := range workers {
		w := &testWorker{name: fmt.Sprintf("worker-%02d", i), total: marshaler.Room{CPU: 32_000, MemoryMB: 64_000}, speed: 1}
		f.workers = append(f.workers, w)
		f.p.SetWorker(w.name, "", &marshaler.Backend{Service: "svc", Total: w.total})
	}
	f.report()
	return f
}

func (f *field) start(job, name string) {
	for _, w := range f.workers {
		if w.name != name {
			continue
		}
		j := f.jobs[job]
		w.seen = append(w.seen, job)
		if w.gone || j == nil {
			return
		}
		j.started = true
		w.runs = append(w.runs, testRun{job: job, began: f.now, left: float64(j.run) * (0.85 + 0.3*f.r.Float64()), est: j.estimate})
	}
}

// step moves the time by a millisecond.
func (f *field) step() {
	f.now++
	for _, w := range f.workers {
		var kept []testRun
		for _, r := range w.runs {
			if !w.stuck {
				r.left -= w.speed
			}
			status := marshaler.StatusDone
			switch {
			case w.stuck && f.now-r.began > 100+r.est/10:
				status = marshaler.StatusStalled
			case r.left > 0:
				kept = append(kept, r)
				continue
			case w.fails:
				status = marshaler.StatusFailed
			}
			f.end(w, r, status)
		}
		w.runs = kept
	}
	f.report()
	f.p.Place(f.now)
}

func (f *field) end(w *testWorker, r testRun, status marshaler.Status) {
	w.settled = append(w.settled, marshaler.Settled{Job: r.job, Status: status, Ran: f.now - r.began, Estimate: r.est})
	j := f.jobs[r.job]
	if j == nil {
		return
	}
	if status != marshaler.StatusDone {
		j.retries++
		f.ask(j, 1)
		return
	}
	if j.done++; j.done == j.tasks {
		j.ended = f.now
	}
}

func (f *field) report() {
	for _, w := range f.workers {
		free := w.total
		for range w.runs {
			free = free.Sub(marshaler.Room{CPU: taskCPU})
		}
		f.p.OnLoad(f.now, w.name, &marshaler.Load{Accepting: !w.gone, Free: free, Speed: uint64(w.speed * 1000), Seen: w.seen, Settled: w.settled})
		w.seen, w.settled = nil, nil
	}
}

func (f *field) ask(j *liveJob, tasks int) {
	f.p.Ask(f.now, "entry", "", &marshaler.Ask{
		Job: j.id, Service: "svc", Tasks: uint64(tasks), Room: marshaler.Room{CPU: taskCPU}, Estimate: j.estimate, Slack: j.slack, Patience: j.patience,
		Started: j.started,
	})
}

func mixed(perSecond float64) func(r *rand.Rand, at timer.Millis) []testJob {
	return func(r *rand.Rand, at timer.Millis) (jobs []testJob) {
		for n := perSecond / 1000; n > 0; n-- {
			if r.Float64() >= n {
				continue
			}
			j := testJob{id: fmt.Sprintf("%d-%d", at, r.Uint32()), tasks: 2, run: 200}
			switch k := r.Float64(); {
			case k < 0.25:
				j.tasks, j.run = 8, 60
			case k < 0.30:
				j.tasks, j.run = 4, 900
			}
			j.run = timer.Millis(float64(j.run) * (0.7 + 0.6*r.Float64()))
			j.estimate = timer.Millis(float64(j.run) * (0.6 + 0.8*r.Float64()))
			j.slack = timer.Millis(waitShare * (stretch*float64(j.estimate) + target))
			j.patience = patience
			jobs = append(jobs, j)
		}
		return jobs
	}
}

// TestPatterns plays loads against the policy alone. Each pattern names the load that it guards against.
func TestPatterns(t *testing.T) {
	// 11 workers hold 110 tasks at a time; 140 jobs a second take about 70 of them.
	calm := mixed(140)
	patterns := []pattern{
		{"calm", calm, func(*field, timer.Millis) {}, 0.99, 1},
		{"burst of one kind", func(r *rand.Rand, at timer.Millis) []testJob {
			jobs := calm(r, at)
			if at > 2000 && at < 4000 && r.Float64() < 0.12 {
				jobs = append(jobs, testJob{id: fmt.Sprintf("b%d", at), tasks: 2, run: 200, estimate: 200, slack: 133, patience: patience})
			}
			return jobs
		}, func(*field, timer.Millis) {}, 0.75, 0.85},
		{"burst of all kinds", func(r *rand.Rand, at timer.Millis) []testJob {
			if at > 2000 && at < 4000 {
				return mixed(300)(r, at)
			}
			return calm(r, at)
		}, func(*field, timer.Millis) {}, 0.70, 0.75},
		{"callers come back at once after a restart", func(r *rand.Rand, at timer.Millis) []testJob {
			switch {
			case at > 2000 && at <= 3000:
				return nil // nobody is served
			case at > 3000 && at <= 3400:
				return mixed(420)(r, at)
			}
			return calm(r, at)
		}, func(*field, timer.Millis) {}, 0.80, 0.97},
		{"capacity lost and back", calm, func(f *field, at timer.Millis) {
			for _, w := range f.workers[:4] {
				w.gone = at > 2000 && at < 4000
			}
		}, 0.80, 0.85},
		{"workers replaced one after another", calm, func(f *field, at timer.Millis) {
			// Two of eleven leave at a time, for 800 ms, while their runs end.
			for i, w := range f.workers {
				w.gone = at > 1000 && at < 5400 && int(at-1000)/800 == i/2
			}
		}, 0.97, 0.99},
		{"nearly all of one kind", func(r *rand.Rand, at timer.Millis) (jobs []testJob) {
			for _, j := range calm(r, at) {
				if r.Float64() < 0.9 {
					j.tasks, j.run, j.estimate, j.slack = 8, 60, 60, 54 // ms
				}
				jobs = append(jobs, j)
			}
			return jobs
		}, func(*field, timer.Millis) {}, 0.97, 0.99},
		{"some workers fail all", calm, func(f *field, at timer.Millis) { f.workers[0].fails = at > 2000 && at < 4000 }, 0.93, 0.99},
		{"runs on some workers stand still", calm, func(f *field, at timer.Millis) { f.workers[0].stuck = at > 2000 && at < 4000 }, 0.93, 0.99},
		{"some workers slow", calm, func(f *field, at timer.Millis) {
			f.workers[0].speed, f.workers[1].speed = 1, 1
			if at > 2000 && at < 4000 {
				f.workers[0].speed, f.workers[1].speed = 0.2, 0.2
			}
		}, 0.90, 0.99},
	}
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			f := newField(1, 11)
			total, inTime, served := 0, 0, 0
			all := map[string]*liveJob{}
			for at := timer.Millis(0); at < 7000; at++ {
				p.workers(f, at)
				if at < 5000 {
					for _, tj := range p.jobs(f.r, at) {
						j := &liveJob{testJob: tj, arrived: f.now}
						f.jobs[tj.id], all[tj.id] = j, j
						total++
						f.ask(j, j.tasks)
					}
				}
				f.step()
			}
			for _, j := range all {
				limit := timer.Millis(stretch*float64(j.run)*1.15) + target
				if j.ended != 0 {
					served++
				}
				if j.ended != 0 && j.ended-j.arrived <= limit {
					inTime++
				}
			}
			if got := float64(inTime) / float64(total); got < p.minInTime {
				t.Errorf("got %.3f of %d jobs in time (%d refused), want %.2f", got, total, f.refused, p.minInTime)
			}
			if got := float64(served) / float64(total); got < p.minServed {
				t.Errorf("got %.3f of %d jobs served (%d refused), want %.2f", got, total, f.refused, p.minServed)
			}
			if f.p.Queued() != 0 {
				t.Errorf("got %d requests in the queue at the end, want 0", f.p.Queued())
			}
		})
	}
}

// TestRefusals guards against requests that wait although they cannot be served.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		ask    marshaler.Ask
		prior  int // tasks of 100 ms that are queued before
		reason string
	}{
		{"fits", marshaler.Ask{Service: "svc", Tasks: 1, Room: marshaler.Room{CPU: 3000}, Estimate: 100, Slack: 50}, 0, ""},
		{"other service", marshaler.Ask{Service: "other", Tasks: 1, Room: marshaler.Room{CPU: 3000}, Slack: 50}, 0, "no backend server of the service is known"},
		{"too large", marshaler.Ask{Service: "svc", Tasks: 1, Room: marshaler.Room{CPU: 64_000}, Slack: 50}, 0, "no worker is large enough"},
		{"accelerators", marshaler.Ask{Service: "svc", Tasks: 1, Room: marshaler.Room{CPU: 1, Accelerators: 1}, Slack: 50}, 0, "no worker is large enough"},
		{"long queue", marshaler.Ask{Service: "svc", Tasks: 1, Room: marshaler.Room{CPU: 3000}, Estimate: 100, Slack: 50}, 40, "queue is too long"},
		{"long queue, started", marshaler.Ask{Service: "svc", Tasks: 1, Room: marshaler.Room{CPU: 3000}, Estimate: 100, Slack: 50, Started: true}, 40, ""},
	}
	for _, c := range cases {
		f := newField(1, 2)
		f.now = 5000
		var got string
		f.p.Reject = func(_ string, r marshaler.Reject) {
			if r.Job == "job" {
				got = r.Reason
			}
		}
		f.p.Grant = func(string, marshaler.Grant) {}
		f.p.Ask(f.now-2000, "entry", "", &marshaler.Ask{Job: "first", Service: "svc"}) // workers had time to report
		f.p.Withdraw("entry", "first", 0)
		if c.prior > 0 {
			f.p.Ask(f.now, "entry", "", &marshaler.Ask{Job: "prior", Service: "svc", Tasks: uint64(c.prior), Room: marshaler.Room{CPU: 3000}, Estimate: 100, Slack: 40})
		}
		c.ask.Job = "job"
		f.p.Ask(f.now, "entry", "", &c.ask)
		if got != c.reason {
			t.Errorf("%s: got reason %q, want %q", c.name, got, c.reason)
		}
	}
}

// TestLate guards against callers that are refused although they could be served a little later, against late requests
// that take room from those that are on time, and against waits without a chance.
func TestLate(t *testing.T) {
	room := marshaler.Room{CPU: 3000}
	cases := []struct {
		name string
		// free is the number of tasks that fit; it becomes freeLater after 100 ms.
		free, freeLater int
		// onTime is the number of tasks of a request that comes when the room comes.
		onTime  int
		ask     marshaler.Ask
		granted int
		reason  string // of a refusal at any time
		at      timer.Millis
	}{
		{"room comes late", 0, 10, 0, marshaler.Ask{Tasks: 2, Slack: 50, Patience: 900}, 2, "", 100},
		{"no patience", 0, 10, 0, marshaler.Ask{Tasks: 2, Slack: 50}, 0, "no room in time", 50},
		{"patience ends", 0, 0, 0, marshaler.Ask{Tasks: 2, Slack: 50, Patience: 300}, 0, "no room in time", 300},
		{"others are on time", 0, 2, 2, marshaler.Ask{Tasks: 2, Slack: 50, Patience: 900}, 0, "no room in time", 900},
		{"room for both", 0, 4, 2, marshaler.Ask{Tasks: 2, Slack: 50, Patience: 900}, 2, "", 100},
		{"room for a part", 0, 1, 0, marshaler.Ask{Tasks: 2, Slack: 50, Patience: 900}, 1, "", 100},
	}
	for _, c := range cases {
		var granted int
		var reason string
		var at timer.Millis
		now := timer.Millis(10_000)
		var p Placer
		free := c.free
		load := func() {
			p.OnLoad(now, "a", &marshaler.Load{Accepting: true, Free: marshaler.Room{CPU: int64(free) * room.CPU}, Speed: 1000})
		}
		p = Placer{
			Grant: func(_ string, g marshaler.Grant) {
				if g.Job == "late" {
					granted += len(g.Sidecars)
					at = now
				}
				free -= len(g.Sidecars) // the tasks run to the end of the test
				p.OnLoad(now, "a", &marshaler.Load{Accepting: true, Speed: 1000, Seen: slices.Repeat([]string{g.Job}, len(g.Sidecars))})
				load()
			},
			Reject: func(_ string, r marshaler.Reject) {
				if r.Job == "late" {
					reason, at = r.Reason, now
				}
			},
		}
		p.SetWorker("a", "", &marshaler.Backend{Service: "svc", Total: marshaler.Room{CPU: 64_000}})
		load()
		p.began = 1
		c.ask.Job, c.ask.Service, c.ask.Room, c.ask.Estimate = "late", "svc", room, 60
		p.Ask(now, "entry", "", &c.ask)
		began := now
		for ; now < began+1000; now++ {
			if now == began+100 {
				free = c.freeLater
				load()
				if c.onTime > 0 {
					p.Ask(now, "entry", "", &marshaler.Ask{Job: "b", Service: "svc", Room: room, Estimate: 60, Tasks: uint64(c.onTime), Slack: 50, Patience: 900})
				}
			}
			p.Place(now)
		}
		if granted != c.granted || reason != c.reason || at-began != c.at {
			t.Errorf("%s: got %d granted, refusal %q, after %d ms, want %d, %q, %d ms", c.name, granted, reason, at-began, c.granted, c.reason, c.at)
		}
	}
}

// TestLeave guards against requests that stay with an entry that stops.
func TestLeave(t *testing.T) {
	f := newField(1, 1)
	var moved []string
	f.p.Reject = func(_ string, r marshaler.Reject) {
		if r.Reason == ReasonMoved {
			moved = append(moved, r.Job)
		}
	}
	for _, id := range []string{"a", "b"} {
		f.p.Ask(f.now, "entry", "", &marshaler.Ask{Job: id, Service: "svc", Tasks: 1, Room: marshaler.Room{CPU: 3000}, Estimate: 100, Slack: 5000})
	}
	f.p.Leave()
	if len(moved) != 2 || f.p.Queued() != 0 {
		t.Errorf("got %v moved and %d queued, want a and b moved and 0 queued", moved, f.p.Queued())
	}
}

// BenchmarkPlace measures a decision with 1,700 workers and a full queue.
func BenchmarkPlace(b *testing.B) {
	f := newField(1, 1700)
	f.p.Grant = func(string, marshaler.Grant) {}
	f.p.Reject = func(string, marshaler.Reject) {}
	for i := 0; b.Loop(); i++ {
		f.p.Ask(f.now, "entry", "", &marshaler.Ask{Job: fmt.Sprint(i), Service: "svc", Tasks: 1, Room: marshaler.Room{CPU: 3000}, Estimate: 100, Slack: 50})
		f.p.Place(f.now)
		if i%100 == 0 {
			f.now += 301 // reservations expire
			f.p.Place(f.now)
		}
	}
}
