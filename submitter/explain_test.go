package submitter

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// explainPair is a placing entry and another one, with sidecars connected to both.
type explainPair struct {
	placing, other *Submitter
	now            timer.Millis
	started        []string // sidecars that were told to start a task
	cut            bool     // messages between the entries are dropped
	old            bool     // the placing entry ignores questions
}

func newExplainPair(sidecars int) *explainPair {
	p := &explainPair{
		placing: &Submitter{Name: "placing", Incarnation: 1, Domain: "north", Weight: 9}, other: &Submitter{Name: "other", Incarnation: 1, Domain: "south", Weight: 1}, now: 1000,
	}
	for _, s := range []*Submitter{p.placing, p.other} {
		s.SetSnapshot(p.now, testSnapshot())
		s.SetDurableInUse(p.now, false)
	}
	var toPlacing, toOther *marshaler.Link
	link := func(to **Submitter, from *Submitter, weight uint64, back **marshaler.Link) *marshaler.Link {
		return &marshaler.Link{
			Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: (*to).Name, Incarnation: 1, Domain: (*to).Domain, Weight: weight}, Close: func(error) {},
			Send: func(m marshaler.Message) {
				if _, question := m.(*marshaler.Question); !p.cut && (!question || !p.old) {
					(*to).OnMessage(p.now, *back, m)
				}
			},
		}
	}
	p.cut = true // until both ends know of the session
	toPlacing, toOther = link(&p.placing, p.other, 9, &toOther), link(&p.other, p.placing, 1, &toPlacing)
	p.other.OnConnect(p.now, toPlacing)
	p.placing.OnConnect(p.now, toOther)
	p.cut = false
	for i := range sidecars {
		for _, s := range []*Submitter{p.placing, p.other} {
			p.connectSidecar(s, fmt.Sprintf("side-%d", i), testDomain(i))
		}
	}
	p.tick(25)
	p.placing.placer.Request(p.now, "other", "", &marshaler.ResourceRequest{Job: "first", Tasks: 1})
	p.advance(2 * timer.Second) // the placing entry refuses requests by then
	return p
}

func testDomain(i int) string { return []string{"north", "south"}[i%2] }

func (p *explainPair) connectSidecar(s *Submitter, name, domain string) {
	link := &marshaler.Link{
		Remote: marshaler.Hello{Role: marshaler.RoleSidecar, Name: name, Incarnation: 1, Domain: domain}, Close: func(error) {},
		Send: func(m marshaler.Message) {
			if _, ok := m.(*marshaler.Start); ok {
				p.started = append(p.started, name)
			}
		},
	}
	s.OnConnect(p.now, link)
	s.OnMessage(p.now, link, &marshaler.Backend{ID: name, Service: "svc", Capacity: marshaler.Resources{CPU: 9000}})
	p.report(s, name)
}

func (p *explainPair) report(s *Submitter, name string) {
	s.OnMessage(p.now, s.sidecars[name].link, &marshaler.Load{Accepting: true, Free: marshaler.Resources{CPU: 9000}, Clock: int64(p.now), Speed: 1000})
}

func (p *explainPair) tick(d timer.Millis) {
	p.now += d
	p.placing.Tick(p.now)
	p.other.Tick(p.now)
}

// advance passes time with ticks and load reports.
func (p *explainPair) advance(d timer.Millis) {
	for end := p.now + d; p.now < end; {
		for _, s := range []*Submitter{p.placing, p.other} {
			for name := range marshaler.SortedByKey(s.sidecars) {
				p.report(s, name)
			}
		}
		p.tick(25)
	}
}

func (p *explainPair) explain(s *Submitter, j Job) (answers []Explanation) {
	s.Explain(p.now, p.now, j, func(e Explanation) { answers = append(answers, e) })
	if len(answers) == 0 {
		p.advance(explainTimeout + 50)
	}
	return answers
}

// state returns the state of both entries that a job would change, except the time of a peer's latest message. The placer
// is compared in its own package.
func (p *explainPair) state() string {
	var b strings.Builder
	for _, s := range []*Submitter{p.placing, p.other} {
		fmt.Fprintf(&b, "%+v\n", s.jobs)
		for _, sc := range marshaler.SortedByKey(s.sidecars) {
			fmt.Fprintf(&b, "%+v\n", *sc)
		}
		for _, peer := range marshaler.SortedByKey(s.peers) {
			c := *peer
			c.lastReceived = 0
			fmt.Fprintf(&b, "%+v\n", c)
		}
	}
	return b.String()
}

func explainJob(tasks uint64, cpu int64) Job {
	return Job{ID: "explained", Queue: testQueue, Deadline: 2000, Answer: func(Answer) {}, Steps: []marshaler.Step{
		{Tasks: tasks, Resources: marshaler.Resources{CPU: cpu}, Estimate: 100}, {Tasks: 1, Estimate: 100, After: []uint64{0}},
	}}
}

// TestExplainAgrees guards against an explanation at an entry that differs from what the system does with the job, and
// against one that leaves something behind.
func TestExplainAgrees(t *testing.T) {
	cases := []struct {
		name    string
		tasks   uint64
		cpu     int64
		verdict marshaler.Verdict
		starts  int
		reason  string
	}{
		{"runs", 5, 3000, marshaler.VerdictRuns, 5, ""},
		{"a part waits", 8, 3000, marshaler.VerdictWaits, 6, "no worker has capacity for a further task"},
		{"too large", 1, 90_000, marshaler.VerdictRefused, 0, "no worker is large enough"},
	}
	for _, c := range cases {
		for _, at := range []string{"placing", "other"} {
			p := newExplainPair(2)
			s := map[string]*Submitter{"placing": p.placing, "other": p.other}[at]
			before := p.state()
			answers := p.explain(s, explainJob(c.tasks, c.cpu))
			if got := p.state(); got != before {
				t.Errorf("%s at %s: got state\n%s\nafter the explanation, want\n%s", c.name, at, got, before)
			}
			if len(answers) != 1 || answers[0].Failure != "" || answers[0].Verdict() != c.verdict || answers[0].Steps[0].Reason != c.reason {
				t.Fatalf("%s at %s: got %+v, want one answer with the verdict %s and the reason %q", c.name, at, answers, c.verdict, c.reason)
			}
			e := answers[0]
			if e.Asked.Entry != at || e.Placing.Entry != "placing" || e.LaterSteps != 1 {
				t.Errorf("%s at %s: got asked %s, placing %s and %d later steps, want %s, placing and 1", c.name, at, e.Asked.Entry, e.Placing.Entry, e.LaterSteps, at)
			}
			if len(p.started) > 0 || p.placing.placer.QueueLen() > 0 || len(s.explainer.open) > 0 {
				t.Errorf("%s at %s: got starts, requests or questions that stay after the explanation, want none", c.name, at)
			}
			var answer Answer
			j := explainJob(c.tasks, c.cpu)
			j.Answer = func(a Answer) { answer = a }
			s.Submit(p.now, j)
			p.placing.Flush(p.now)
			var want []string
			for _, w := range e.Steps[0].Workers {
				want = append(want, slices.Repeat([]string{w.Name}, int(w.Tasks))...)
			}
			if !slices.Equal(p.started, want) || len(p.started) != c.starts || c.verdict == marshaler.VerdictRefused != (answer.Kind == AnswerNotRun) || answer.Reason != map[bool]string{true: c.reason}[answer.Kind != 0] {
				t.Errorf("%s at %s: got starts on %v and answer %+v, want %v as explained and %d", c.name, at, p.started, answer, want, c.starts)
			}
		}
	}
}

// TestExplainFailures guards against a question that is never answered, and against unclear errors.
func TestExplainFailures(t *testing.T) {
	cases := []struct {
		name   string
		change func(p *explainPair)
		job    Job
		want   string
	}{
		{"a placing entry of an older version", func(p *explainPair) { p.old = true }, explainJob(1, 1000), "did not answer within 1000 ms"},
		{"a placing entry that is cut off", func(p *explainPair) { p.cut = true }, explainJob(1, 1000), "did not answer within 1000 ms"},
		{"too many questions", func(p *explainPair) {
			for range questionsPerSecond {
				p.explain(p.placing, explainJob(1, 1000))
			}
		}, explainJob(1, 1000), FailureRate},
		{"too many tasks for the workers", func(p *explainPair) {
			for i := range 100 {
				p.connectSidecar(p.placing, fmt.Sprintf("more-%d", i), "north")
			}
		}, explainJob(9999, 1), FailureSize},
		{"questions about many tasks", func(p *explainPair) {
			for i := range 50 {
				p.connectSidecar(p.placing, fmt.Sprintf("more-%d", i), "north")
			}
			for range 2 {
				p.explain(p.placing, explainJob(9999, 1))
			}
		}, explainJob(1, 1000), FailureRate},
		{"no tasks", func(*explainPair) {}, explainJob(0, 1000), "a step has no tasks, or the job has too many"},
		{"100,000 tasks", func(*explainPair) {}, explainJob(100_000, 1000), "a step has no tasks, or the job has too many"},
		{"more than 64 bits of tasks", func(*explainPair) {}, explainJob(1<<64-1, 1000), "a step has no tasks, or the job has too many"},
		{"less than nothing", func(*explainPair) {}, explainJob(1, -1), "less than nothing"},
		{"no steps", func(*explainPair) {}, Job{ID: "x", Queue: testQueue}, "no or too many steps"},
		{"an unsupported feature", func(*explainPair) {}, Job{ID: "x", Queue: testQueue, Kind: Kind{Coscheduled: true}, Steps: []marshaler.Step{{Tasks: 1}}}, "not supported"},
	}
	for _, c := range cases {
		p := newExplainPair(1)
		c.change(p)
		answers := p.explain(p.other, c.job)
		if len(answers) != 1 || !strings.Contains(answers[0].Failure+answers[0].Answer.Reason, c.want) {
			t.Errorf("%s: got %+v, want one answer with %q", c.name, answers, c.want)
		}
	}
}

// TestExplainView guards against an entry that explains from old data without saying so.
func TestExplainView(t *testing.T) {
	p := newExplainPair(1)
	p.now += 200
	e := p.explain(p.placing, explainJob(1, 1000))[0]
	if e.Asked.SinceTick != 200 || e.Asked.Pause != 200 || e.Steps[0].OldestLoad < 200 {
		t.Errorf("after a pause: got %+v and loads that are %d ms old, want 200 ms or more each", e.Asked, e.Steps[0].OldestLoad)
	}
	p.advance(100)
	p.placing.SetSnapshot(p.now, testSnapshot().WithOffset(8))
	p.other.OnMessage(p.now, p.other.peers["placing"].link, &marshaler.Heartbeat{Offset: 8})
	e = p.explain(p.other, explainJob(1, 1000))[0]
	if e.Asked.Offset != 1 || e.Asked.NewestOffset != 8 || e.Placing.Offset != 8 || e.Placing.SincePause < 100 {
		t.Errorf("with an old configuration: got %+v and %+v, want offset 1 of 8, and 8 with a pause 100 ms ago", e.Asked, e.Placing)
	}
}
