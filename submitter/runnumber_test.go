package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestRunNumbersOfOwners guards against a run number of a durable task that two owners give out one after the other: the end of the
// first run, which its sidecar reports later, is taken for that of the second, and the task is done although it was started again.
func TestRunNumbersOfOwners(t *testing.T) {
	highest := uint64(0)
	for epoch := uint64(3); epoch < 6; epoch++ {
		f := newDurableFixture(twoSteps(1))
		f.core.ReleasePartition(f.now, 0, true, "test")
		f.core.AcquirePartition(f.now, marshaler.Partition{Epoch: epoch, Previous: epoch - 1}, []*marshaler.JobRecord{twoStepsInStore()})
		start := f.nextStart(t, 0)
		if start.run.Attempt <= highest {
			t.Errorf("epoch %d: got run number %d, want more than %d of the owner before", epoch, start.run.Attempt, highest)
		}
		highest = start.run.Attempt
		for range 100 { // each refusal uses a number
			f.core.OnMessage(f.now, f.links[start.sidecar], &marshaler.Outcome{Run: start.run, Status: marshaler.StatusRefused})
			start = f.nextStart(t, len(f.starts))
			highest = start.run.Attempt
		}
	}
}

// twoStepsInStore is the record of a job of which no end is recorded.
func twoStepsInStore() *marshaler.JobRecord {
	record := twoSteps(1)
	record.Queue, record.Service = testQueue.Name, "svc"
	return record
}

// TestFirstRunNumber guards against a first run of a new job with another number than 1.
func TestFirstRunNumber(t *testing.T) {
	f := newDurableFixture(twoSteps(1))
	f.core.Submit(f.now, Job{
		ID: "new", Kind: Kind{Durable: true}, Queue: testQueue, Deadline: 2000, Answer: func(Answer) {},
		Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 1000}, Estimate: 100}},
	})
	f.core.Flush(f.now)
	f.advance(100)
	if len(f.starts) != 1 || f.starts[0].run.Attempt != 1 {
		t.Errorf("got starts %v, want run 1 of the new job", f.starts)
	}
}
