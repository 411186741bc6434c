package submitter

import (
	"math"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestStartWait guards against refusing callers that could still be served within their deadline, and against waits that
// leave no time for the run.
func TestStartWait(t *testing.T) {
	cases := []struct {
		name             string
		deadline, waited timer.Millis
		estimate         timer.Millis
		refused          timer.Millis // time of the refusal after the submission, when no worker accepts starts
	}{
		{"short task, until an answer is useless", 2000, 0, 60, 384},
		{"task of average length", 2000, 0, 200, 800},
		{"long task, leaving time for its run", 2000, 0, 900, 740},
		{"too long for its deadline, within the expected response time", 1500, 0, 1200, 693},
		{"waited before", 2000, 500, 200, 300},
		{"no deadline", 0, 0, 900, 2000},
		{"long deadline", 60_000, 0, 900, 2000},
		{"deadline above the limit", math.MaxInt64, 0, 900, 2000},
	}
	for _, c := range cases {
		f := newFixture()
		for name, link := range f.links {
			f.core.OnMessage(f.now, link, &marshaler.Load{Clock: 5, Speed: 1000, HandledStarts: []string{name}})
		}
		f.core.Submit(f.now, Job{
			ID: "job", Queue: testQueue, Deadline: c.deadline, Waited: c.waited,
			Steps:  []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: c.estimate}},
			Answer: func(a Answer) { f.answers = append(f.answers, a) },
		})
		submittedAt := f.now
		for ; len(f.answers) == 0 && f.now < submittedAt+3000; f.now++ {
			for _, link := range f.links {
				f.core.OnMessage(f.now, link, &marshaler.Load{Clock: 5, Speed: 1000})
			}
			f.core.Flush(f.now)
			f.core.Tick(f.now)
		}
		if got := f.now - 1 - submittedAt; got != c.refused || len(f.answers) != 1 || f.answers[0].Kind != AnswerNotRun {
			t.Errorf("%s: got answers %v after %d ms, want a refusal after %d ms", c.name, f.answers, got, c.refused)
		}
	}
}
