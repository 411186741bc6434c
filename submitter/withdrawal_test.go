package submitter

import (
	"slices"
	"strconv"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestCancelWhileQueued guards against a durable job that runs although its cancellation was answered with "no such job": it waits for
// capacity, or its submission arrives after the cancellation.
func TestCancelWhileQueued(t *testing.T) {
	cases := []struct {
		name         string
		submitBefore bool
	}{{"waits for capacity", true}, {"submitted afterwards", false}}
	for _, c := range cases {
		f := newDurableFixture(twoSteps(1))
		f.core.RequestHeartbeat = func() {}
		var submitted, cancelled []AnswerKind
		submit := func() {
			f.core.Submit(f.now, Job{
				ID: "queued", Kind: Kind{Durable: true}, Queue: testQueue, Deadline: 2000, Answer: func(a Answer) { submitted = append(submitted, a.Kind) },
				Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 1000}, Estimate: 100}},
			})
		}
		if c.submitBefore {
			submit()
		}
		f.core.Cancel(f.now, testQueue.Name, "queued", func(a Answer) { cancelled = append(cancelled, a.Kind) })
		f.now++
		f.core.OnHeartbeat(f.now, f.now)
		submit()
		f.core.Flush(f.now)
		f.advance(500)
		if len(cancelled) != 1 || cancelled[0] != AnswerNotFound {
			t.Errorf("%s: got answers %v to the cancellation, want %s", c.name, cancelled, AnswerNotFound)
		}
		for _, kind := range submitted {
			if kind != AnswerNotRun {
				t.Errorf("%s: got answer %s to a submission, want %s", c.name, kind, AnswerNotRun)
			}
		}
		for _, start := range f.starts {
			if start.run.Job == "queued" {
				t.Errorf("%s: got a start of the cancelled job, want none", c.name)
			}
		}
	}
}

// TestWithdrawalsBounded guards against callers that make an entry keep cancellations without bound.
func TestWithdrawalsBounded(t *testing.T) {
	var l withdrawals
	for n := range 2 * maxWithdrawals {
		l.add(1000, withdrawnJob{"q", strconv.Itoa(n)})
	}
	if len(l.times) != maxWithdrawals || !l.contains(withdrawnJob{"q", strconv.Itoa(2*maxWithdrawals - 1)}) || l.contains(withdrawnJob{"q", "0"}) {
		t.Errorf("got %d cancellations, want the latest %d", len(l.times), maxWithdrawals)
	}
	l.expire(1000 + withdrawalRetention)
	if len(l.times) != 0 || len(l.order) != 0 {
		t.Errorf("got %d cancellations after their retention, want none", len(l.times))
	}
}

// TestCancelOnAnotherQueue guards against a cancellation on one queue that refuses the job of another queue with the same identifier.
func TestCancelOnAnotherQueue(t *testing.T) {
	f := newDurableFixture(twoSteps(1))
	f.core.RequestHeartbeat = func() {}
	var submitted []AnswerKind
	f.core.Cancel(f.now, "other", "job-1", func(Answer) {})
	f.core.Submit(f.now, Job{
		ID: "job-1", Kind: Kind{Durable: true}, Queue: testQueue, Deadline: 2000, Answer: func(a Answer) { submitted = append(submitted, a.Kind) },
		Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 1000}, Estimate: 100}},
	})
	f.advance(500)
	if want := []AnswerKind{AnswerAccepted}; !slices.Equal(submitted, want) {
		t.Errorf("got answers %v to the submission, want %v", submitted, want)
	}
}
