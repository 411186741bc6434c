package submitter

import (
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

// TestIdentifierOfAnotherJob guards against a caller that is told that its job is stored, or gets a result, because a job of another
// queue or kind has the same identifier.
func TestIdentifierOfAnotherJob(t *testing.T) {
	other := router.Queue{Name: "other", Service: testQueue.Service, AttemptLimit: 2}
	durable, restartable := Kind{Durable: true}, Kind{}
	cases := []struct {
		name        string
		firstKind   Kind
		length      timer.Millis // of the first job's task
		secondKind  Kind
		secondQueue router.Queue
		want        []AnswerKind // to the second submission
	}{
		{"same durable job", durable, 900, durable, testQueue, []AnswerKind{AnswerAccepted}},
		{"durable, another queue", durable, 900, durable, other, []AnswerKind{AnswerNotRun}},
		{"ended durable, same queue", durable, 20, durable, testQueue, []AnswerKind{AnswerAccepted}},
		{"ended durable, another queue", durable, 20, durable, other, []AnswerKind{AnswerNotRun}},
		{"restartable, after a durable one", durable, 900, restartable, testQueue, []AnswerKind{AnswerNotRun}},
		{"durable, after a restartable one", restartable, 900, durable, testQueue, []AnswerKind{AnswerNotRun}},
		{"restartable, another queue", restartable, 900, restartable, other, []AnswerKind{AnswerNotRun}},
	}
	for _, c := range cases {
		w := newDurableSimulation(t, 1, 1, 2)
		w.advance(2500)
		got := []AnswerKind{}
		submit := func(kind Kind, queue router.Queue, length timer.Millis, answer func(a Answer)) {
			w.entries[0].core.Submit(w.now, Job{
				ID: "job", Kind: kind, Queue: queue, Deadline: 2000, Answer: answer,
				Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 1000}, Estimate: length}},
			})
			w.entries[0].core.Flush(w.now)
		}
		submit(c.firstKind, testQueue, c.length, func(Answer) {})
		w.advance(300)
		submit(c.secondKind, c.secondQueue, c.length, func(a Answer) { got = append(got, a.Kind) })
		w.advance(100)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got answers %v, want %v", c.name, got, c.want)
		}
	}
}
