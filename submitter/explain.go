package submitter

import (
	"fmt"
	"maps"
	"time"

	"golang.org/x/time/rate"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/recoverer"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// explainTimeout is how long an entry waits for the placing entry's answer to a question. An entry of a version
	// without explanations ignores the question.
	explainTimeout = timer.Second
	// questionsPerSecond limits the questions that the placing entry answers, for its own callers and other entries
	// together.
	questionsPerSecond = 10
	// FailureRate is the failure of a question beyond that limit.
	FailureRate = "the placing entry answers at most 10 questions per second"
	// FailureSize is the failure of a question about more than maxExplainedPairs.
	FailureSize = "the job has too many tasks to be explained with so many workers"
	// maxExplainedPairs is the maximum product of the tasks of a question and the workers. A decision about 710,000 pairs
	// took 39 ms, in which the entry does nothing else.
	maxExplainedPairs = 1_000_000
	// pairsPerQuestion is the number of pairs that count as one more question.
	pairsPerQuestion = 125_000
	// maxOpenQuestions bounds the questions that wait for the placing entry.
	maxOpenQuestions = 32
)

type (
	// Explanation is what the system would decide now about a job that is not submitted.
	Explanation struct {
		Queue   string
		Service string
		// Answer is set if the entry would answer the job itself, without a resource request.
		Answer Answer
		// Asked describes the data of the entry that was asked, and Placing those of the placing entry.
		Asked, Placing marshaler.View
		// Failure is set if the placing entry did not explain the job.
		Failure string
		Steps   []marshaler.StepExplanation
		// LaterSteps is the number of steps that request resources only when other steps are done.
		LaterSteps int
		Durable    bool
		// WithdrawnDomains are the failure domains that the asked entry's configuration withdraws.
		WithdrawnDomains []string
	}

	// explainer is the state of an entry's questions and answers. The zero value is ready to use.
	explainer struct {
		open       map[uint64]*openQuestion
		lastNumber uint64
		limiter    *rate.Limiter
		// snapshotAt is the time at which the configuration was activated. pause is the duration of the latest pause of
		// the process, which ended at pausedUntil.
		snapshotAt  timer.Millis
		pause       timer.Millis
		pausedUntil timer.Millis
	}

	// openQuestion waits for the answer of another entry.
	openQuestion struct {
		explanation Explanation
		sentTo      string
		expiresAt   timer.Millis
		answer      func(e Explanation)
	}
)

// Verdict returns the verdict on the whole job: the worst one of its first steps.
func (e *Explanation) Verdict() marshaler.Verdict {
	if e.Answer.Kind != 0 {
		return marshaler.VerdictRefused
	}
	worst := marshaler.Verdict(0)
	for i := range e.Steps {
		worst = max(worst, e.Steps[i].Verdict)
	}
	return worst
}

// outcome returns the verdict or the failure, and the queue, for logs.
func (e *Explanation) outcome() string {
	if e.Failure != "" {
		return "failed " + e.Queue + ": " + e.Failure
	}
	return e.Verdict().String() + " " + e.Queue
}

// Explain explains what would be decided about a job that was submitted now, without submitting it. askedAt is the time at
// which the question arrived. answer is called exactly once, at the latest after explainTimeout.
func (s *Submitter) Explain(now, askedAt timer.Millis, j Job, answer func(e Explanation)) {
	view := s.view(now)
	view.LoopDelay = now - askedAt
	s.setNow(now)
	deliver := answer
	answer = func(e Explanation) {
		s.report(Event{Kind: "explain", Peer: e.Placing.Entry, Detail: e.outcome()})
		deliver(e)
	}
	view.Pause, view.SincePause = s.latestPause()
	at := s.placingEntry()
	e := Explanation{Queue: j.Queue.Name, Service: j.Queue.Service, Asked: view, Durable: j.Kind.Durable, WithdrawnDomains: s.snapshot.WithdrawnDomains()}
	requests, refusal := s.tryJob(at, j)
	e.Answer = refusal
	e.LaterSteps = len(j.Steps) - len(requests)
	p := s.peers[at]
	switch {
	case refusal.Kind != 0:
		answer(e)
	case at == s.Name:
		e.Placing = view
		e.Steps, e.Failure = s.explainRequests(s.Name, s.Domain, requests)
		answer(e)
	case p == nil || p.link == nil || len(s.explainer.open) >= maxOpenQuestions:
		e.Placing.Entry, e.Failure = at, "the placing entry cannot be asked now"
		answer(e)
	default:
		s.ask(p, requests, &openQuestion{explanation: e, sentTo: at, expiresAt: now + explainTimeout, answer: answer})
	}
}

// tryJob returns the resource requests that the entry would send to the placing entry for a new job, or its own refusal.
// It submits the job to an entry without state, which has one session, to the placing entry.
func (s *Submitter) tryJob(placing string, j Job) (requests []marshaler.ResourceRequest, refusal Answer) {
	t := &Submitter{snapshot: s.snapshot, leaving: true, patientAt: maps.Clone(s.patientAt)}
	t.setNow(s.now)
	t.peers[placing] = &peer{hello: marshaler.Hello{Name: placing}, link: &marshaler.Link{Send: func(m marshaler.Message) {
		if r, ok := m.(*marshaler.ResourceRequest); ok {
			requests = append(requests, *r)
		}
	}}}
	j.Kind.Durable = false // its owner requests the same resources
	j.Answer = func(a Answer) { refusal = a }
	t.Submit(s.now, j)
	return requests, refusal
}

// ask sends a question to the placing entry. The message does not count as a heartbeat, which carries more.
func (s *Submitter) ask(p *peer, requests []marshaler.ResourceRequest, q *openQuestion) {
	if s.explainer.open == nil {
		s.explainer.open = map[uint64]*openQuestion{}
	}
	s.explainer.lastNumber++
	s.explainer.open[s.explainer.lastNumber] = q
	p.link.Send(&marshaler.Question{Number: s.explainer.lastNumber, Requests: requests})
}

// onQuestion answers another entry's question.
func (s *Submitter) onQuestion(p *peer, m *marshaler.Question) {
	if p.link == nil {
		return
	}
	e := &marshaler.Explanation{Number: m.Number, View: s.view(s.now)}
	if s.placingEntry() == s.Name {
		e.Steps, e.Failure = s.explainRequests(p.hello.Name, p.hello.Domain, m.Requests)
	} else {
		e.Failure = "the asked entry does not place tasks any more"
	}
	p.link.Send(e)
}

// explainRequests explains the requests of an entry, within the limit of questions per second. A question about many tasks
// counts as several.
func (s *Submitter) explainRequests(entry, domain string, requests []marshaler.ResourceRequest) (steps []marshaler.StepExplanation, failure string) {
	if s.explainer.limiter == nil {
		s.explainer.limiter = rate.NewLimiter(questionsPerSecond, questionsPerSecond)
	}
	var tasks uint64
	for i := range requests {
		tasks += min(requests[i].Tasks, maxTasks+1)
	}
	pairs := tasks * uint64(len(s.sidecars))
	if pairs > maxExplainedPairs {
		return nil, FailureSize
	}
	if !s.explainer.limiter.AllowN(time.UnixMilli(int64(s.now)), 1+int(pairs/pairsPerQuestion)) {
		return nil, FailureRate
	}
	// A fault in the explanation, which works on a copy, must not end the session that carried the question.
	if err := recoverer.Call(func() { steps = s.placer.Explain(s.now, entry, domain, requests) }); err != nil {
		s.report(Event{Kind: "explainPanicked", Peer: entry, Detail: err.Error()})
		return nil, "internal error"
	}
	return steps, ""
}

// onExplanation answers an open question.
func (s *Submitter) onExplanation(p *peer, m *marshaler.Explanation) {
	q := s.explainer.open[m.Number]
	if q == nil || q.sentTo != p.hello.Name {
		return
	}
	q.explanation.Placing, q.explanation.Failure, q.explanation.Steps = m.View, m.Failure, m.Steps
	s.closeQuestion(m.Number, q)
}

// expireQuestions answers the questions that the placing entry did not answer in time.
func (s *Submitter) expireQuestions() {
	for number, q := range marshaler.SortedByKey(s.explainer.open) {
		if s.now >= q.expiresAt {
			q.explanation.Placing.Entry = q.sentTo
			q.explanation.Failure = fmt.Sprintf("the placing entry did not answer within %d ms; it may be lost, paused or of a version without explanations", explainTimeout)
			s.closeQuestion(number, q)
		}
	}
}

func (s *Submitter) closeQuestion(number uint64, q *openQuestion) {
	delete(s.explainer.open, number)
	q.answer(q.explanation)
}

// view describes the data of this entry.
func (s *Submitter) view(now timer.Millis) marshaler.View {
	v := marshaler.View{
		Entry: s.Name, Version: s.snapshot.Version, Offset: s.snapshot.Offset, NewestOffset: s.snapshot.Offset,
		ConfigurationAge: now - s.explainer.snapshotAt, SinceTick: now - s.lastTick,
	}
	for _, p := range s.peers {
		if p.link != nil {
			v.NewestOffset = max(v.NewestOffset, p.offset)
		}
	}
	v.Pause, v.SincePause = s.latestPause()
	return v
}

// latestPause returns the duration of the latest pause of the process and the time since its end.
func (s *Submitter) latestPause() (pause, since timer.Millis) {
	if s.explainer.pause == 0 {
		return 0, 0
	}
	return s.explainer.pause, s.now - s.explainer.pausedUntil
}
