package submitter

import (
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// fixture is an entry that schedules for itself on two sidecars. It records what the entry sends to them.
type fixture struct {
	core    *Submitter
	now     timer.Millis
	links   map[string]*marshaler.Link
	starts  []startOrder
	stops   int
	answers []Answer
}

type startOrder struct {
	sidecar string
	run     marshaler.RunKey
}

func newFixture() *fixture {
	f := &fixture{core: &Submitter{Name: "entry", Incarnation: 1}, now: 1000, links: map[string]*marshaler.Link{}}
	f.core.SetSnapshot(f.now, testSnapshot())
	for _, name := range []string{"side-a", "side-b"} {
		f.links[name] = &marshaler.Link{
			Remote: marshaler.Hello{Role: marshaler.RoleSidecar, Name: name, Incarnation: 1, Session: 1}, Close: func(error) {},
			Send: func(m marshaler.Message) {
				switch m := m.(type) {
				case *marshaler.Start:
					f.starts = append(f.starts, startOrder{name, m.Run})
				case *marshaler.Stop:
					f.stops++
				}
			},
		}
		f.core.OnConnect(f.now, f.links[name])
		f.core.OnMessage(f.now, f.links[name], &marshaler.Backend{ID: name, Service: "svc", Capacity: marshaler.Resources{CPU: 9000}})
		f.load(name)
	}
	return f
}

func (f *fixture) load(name string) {
	speed := map[string]uint64{"side-a": 1200, "side-b": 1000}[name] // the faster side-a is preferred
	f.core.OnMessage(f.now, f.links[name], &marshaler.Load{Accepting: true, Free: marshaler.Resources{CPU: 9000}, Clock: 5, Speed: speed, HandledStarts: []string{"job"}})
}

func (f *fixture) submit(tasks int) {
	f.core.Submit(f.now, Job{
		ID: "job", Queue: testQueue, Steps: []marshaler.Step{{Tasks: uint64(tasks), Resources: marshaler.Resources{CPU: 3000}, Estimate: 100}}, Deadline: 2000,
		Answer: func(a Answer) { f.answers = append(f.answers, a) },
	})
	f.core.Flush(f.now)
}

// TestOutcomes guards against wrong retries: on the worker that failed the task, under an old attempt number, or after
// the end of the job.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name     string
		statuses []marshaler.Status // status of the latest attempt, one after the other
		sidecars []string           // sidecars of all attempts
		attempts []uint64
		answer   AnswerKind
	}{
		{"done", []marshaler.Status{marshaler.StatusDone}, []string{"side-a"}, []uint64{1}, AnswerDone},
		{"failed once", []marshaler.Status{marshaler.StatusFailed, marshaler.StatusDone}, []string{"side-a", "side-b"}, []uint64{1, 2}, AnswerDone},
		{"failed three times", []marshaler.Status{marshaler.StatusFailed, marshaler.StatusFailed, marshaler.StatusFailed}, []string{"side-a", "side-b", "side-a"}, []uint64{1, 2, 3}, AnswerFailed},
		{"stalled", []marshaler.Status{marshaler.StatusStalled, marshaler.StatusDone}, []string{"side-a", "side-b"}, []uint64{1, 2}, AnswerDone},
		{"lost", []marshaler.Status{marshaler.StatusLost, marshaler.StatusLost, marshaler.StatusLost, marshaler.StatusDone}, []string{"side-a", "side-a", "side-a", "side-a"}, []uint64{1, 2, 3, 4}, AnswerDone},
		{"refused", []marshaler.Status{marshaler.StatusRefused, marshaler.StatusDone}, []string{"side-a", "side-a"}, []uint64{1, 2}, AnswerDone},
		{"known under a later attempt number", []marshaler.Status{marshaler.StatusSuperseded, marshaler.StatusDone}, []string{"side-a", "side-a"}, []uint64{1, 2 + attemptGap}, AnswerDone},
	}
	for _, c := range cases {
		f := newFixture()
		f.submit(1)
		for _, status := range c.statuses {
			latest := f.starts[len(f.starts)-1]
			f.now++
			f.core.OnMessage(f.now, f.links[latest.sidecar], &marshaler.Outcome{Run: latest.run, Status: status})
			f.load("side-a")
			f.load("side-b")
			f.core.Flush(f.now)
		}
		if len(f.answers) != 1 || f.answers[0].Kind != c.answer {
			t.Errorf("%s: got answers %v, want one of kind %s", c.name, f.answers, c.answer)
		}
		if len(f.starts) != len(c.sidecars) {
			t.Errorf("%s: got starts %v, want %d", c.name, f.starts, len(c.sidecars))
			continue
		}
		for i, s := range f.starts {
			if s.sidecar != c.sidecars[i] || s.run.Attempt != c.attempts[i] {
				t.Errorf("%s, start %d: got %s with attempt %d, want %s with %d", c.name, i, s.sidecar, s.run.Attempt, c.sidecars[i], c.attempts[i])
			}
		}
	}
}

// TestEndOfJob guards against runs that continue after their job has ended.
func TestEndOfJob(t *testing.T) {
	cases := []struct {
		name   string
		end    func(f *fixture)
		answer AnswerKind
	}{
		{"caller disconnects", func(f *fixture) { f.core.Abort(f.now, "job", "caller left") }, AnswerAborted},
		{"deadline", func(f *fixture) {
			for end := f.now + 2100; f.now < end; f.now += 100 {
				f.load("side-a")
				f.load("side-b")
				f.core.Tick(f.now)
			}
		}, AnswerAborted},
		{"entry shuts down", func(f *fixture) { f.core.AbortAll(f.now, "the entry ends") }, AnswerAborted},
	}
	for _, c := range cases {
		f := newFixture()
		f.submit(2)
		c.end(f)
		if len(f.answers) != 1 || f.answers[0].Kind != c.answer || f.stops != 2 || f.core.ActiveJobs() != 0 {
			t.Errorf("%s: got answers %v, %d stops, %d jobs, want one of kind %s, 2 and 0", c.name, f.answers, f.stops, f.core.ActiveJobs(), c.answer)
		}
	}
}

// TestKinds guards against jobs that run although a feature that they request is not supported.
func TestKinds(t *testing.T) {
	cases := []struct {
		name string
		kind Kind
		ok   bool
	}{
		{"restartable", Kind{}, true}, {"repeats", Kind{Recurring: true}, false},
		{"lasts", Kind{UntilCancelled: true}, false}, {"fills", Kind{SpareCapacity: true}, false}, {"together", Kind{Coscheduled: true}, false},
	}
	for _, c := range cases {
		f := newFixture()
		f.core.Submit(f.now, Job{ID: "job", Kind: c.kind, Queue: testQueue, Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 1}, Estimate: 10}}, Answer: func(a Answer) { f.answers = append(f.answers, a) }})
		f.core.Flush(f.now)
		if got := len(f.starts) == 1; got != c.ok {
			t.Errorf("%s: got started %v, want %v", c.name, got, c.ok)
		}
		if !c.ok && (len(f.answers) != 1 || f.answers[0].Kind != AnswerNotRun || f.answers[0].RetryAfter == 0) {
			t.Errorf("%s: got answers %+v, want one of kind notRun with a retry delay", c.name, f.answers)
		}
	}
}

// TestMalformed guards against jobs that other processes cannot decode, or that increase a worker's free capacity.
func TestMalformed(t *testing.T) {
	valid := marshaler.Step{Tasks: 1, Resources: marshaler.Resources{CPU: 1}, Estimate: 10}
	cases := []struct {
		name   string
		change func(j *Job)
	}{
		{"no identifier", func(j *Job) { j.ID = "" }}, {"long identifier", func(j *Job) { j.ID = strings.Repeat("x", maxIDLength+1) }},
		{"dot in the identifier", func(j *Job) { j.ID = "a.0.0.1" }}, {"slash in the identifier", func(j *Job) { j.ID = "a/b" }},
		{"long specification", func(j *Job) { j.Spec = strings.Repeat("x", marshaler.MaxSpecLen+1) }},
		{"negative CPU", func(j *Job) { j.Steps[0].Resources.CPU = -1 }}, {"negative memory", func(j *Job) { j.Steps[0].Resources.MemoryMB = -1 }},
		{"negative accelerators", func(j *Job) { j.Steps[0].Resources.Accelerators = -1 }}, {"negative estimate", func(j *Job) { j.Steps[0].Estimate = -1 }},
		{"estimate above the limit", func(j *Job) { j.Steps[0].Estimate = maxEstimate + 1 }},
		{"no steps", func(j *Job) { j.Steps = nil }}, {"too many steps", func(j *Job) { j.Steps = make([]marshaler.Step, MaxSteps+1) }},
		{"no tasks", func(j *Job) { j.Steps[0].Tasks = 0 }}, {"number of tasks that overflows", func(j *Job) { j.Steps = []marshaler.Step{valid, valid}; j.Steps[1].Tasks = 1<<64 - 1 }}, {"too many tasks", func(j *Job) { j.Steps[0].Tasks = maxTasks + 1 }},
		{"long label", func(j *Job) { j.Steps[0].Label = strings.Repeat("x", marshaler.MaxNameLen+1) }},
		{"long rack", func(j *Job) { j.Steps[0].Rack = strings.Repeat("x", marshaler.MaxNameLen+1) }},
		{"step that depends on itself", func(j *Job) { j.Steps[0].After = []uint64{0} }},
		{"step that depends on a later one", func(j *Job) { j.Steps = append(j.Steps, valid); j.Steps[0].After = []uint64{1} }},
	}
	for _, c := range cases {
		f := newFixture()
		j := Job{ID: "job", Queue: testQueue, Steps: []marshaler.Step{valid}}
		j.Answer = func(a Answer) { f.answers = append(f.answers, a) }
		c.change(&j)
		f.core.Submit(f.now, j)
		f.core.Flush(f.now)
		if len(f.starts) != 0 || len(f.answers) != 1 || f.answers[0].Kind != AnswerMalformed || f.core.ActiveJobs() != 0 {
			t.Errorf("%s: got %d starts and answers %+v, want none and one of kind malformed", c.name, len(f.starts), f.answers)
		}
	}
}

// TestActiveRunsBeforeStart guards against a start that is considered lost because the sidecar listed its runs before the start arrived.
func TestActiveRunsBeforeStart(t *testing.T) {
	cases := []struct {
		name    string
		session uint64 // session of the list; the start was sent on session 1
		starts  int
	}{
		{"list of the start's own session", 1, 1}, {"list of a later session", 2, 2},
	}
	for _, c := range cases {
		f := newFixture()
		f.submit(1)
		current := f.links["side-a"]
		if c.session > 1 {
			later := *current
			later.Remote.Session = c.session
			current = &later
			f.core.OnConnect(f.now, current)
			f.load("side-b")
		}
		f.core.OnMessage(f.now, current, &marshaler.ActiveRuns{})
		f.core.Flush(f.now)
		f.core.Flush(f.now) // the first grant names the sidecar that has not reported on its new session
		if len(f.starts) != c.starts {
			t.Errorf("%s: got %d starts, want %d", c.name, len(f.starts), c.starts)
		}
	}
}
