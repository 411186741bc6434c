package submitter

import (
	"math"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestPatience guards against callers that are refused while they could still be served within their deadline, and
// against waits that leave no time for the run.
func TestPatience(t *testing.T) {
	cases := []struct {
		name             string
		deadline, waited timer.Millis
		estimate         timer.Millis
		refused          timer.Millis // after the submission, with no worker that takes starts
	}{
		{"short task, while an answer is of use", 2000, 0, 60, 384},
		{"task of usual length", 2000, 0, 200, 800},
		{"long task keeps time for its run", 2000, 0, 900, 740},
		{"too long for its deadline, within the expected response time", 1500, 0, 1200, 693},
		{"waited before", 2000, 500, 200, 300},
		{"no deadline stated", 0, 0, 900, 2000},
		{"long deadline", 60_000, 0, 900, 2000},
		{"deadline beyond all bounds", math.MaxInt64, 0, 900, 2000},
	}
	for _, c := range cases {
		b := newBench()
		for name, link := range b.links {
			b.s.OnMessage(b.now, link, &marshaler.Load{Clock: 5, Speed: 1000, Seen: []string{name}})
		}
		b.s.Submit(b.now, Job{
			ID: "job", Queue: testQueue, Deadline: c.deadline, Waited: c.waited,
			Steps:  []marshaler.Step{{Tasks: 1, Room: marshaler.Room{CPU: 3000}, Estimate: c.estimate}},
			Answer: func(a Answer) { b.answer = append(b.answer, a) },
		})
		began := b.now
		for ; len(b.answer) == 0 && b.now < began+3000; b.now++ {
			for _, link := range b.links {
				b.s.OnMessage(b.now, link, &marshaler.Load{Clock: 5, Speed: 1000})
			}
			b.s.Flush(b.now)
			b.s.Tick(b.now)
		}
		if got := b.now - 1 - began; got != c.refused || len(b.answer) != 1 || b.answer[0].Kind != AnswerNotRun {
			t.Errorf("%s: got answers %v after %d ms, want a refusal after %d ms", c.name, b.answer, got, c.refused)
		}
	}
}
