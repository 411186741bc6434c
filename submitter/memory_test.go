package submitter

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// chargedMemory returns the memory of all jobs that the core holds, in bytes.
func (s *Submitter) chargedMemory() (bytes int64) {
	for _, j := range s.jobs {
		bytes += j.memoryNeed()
	}
	for _, h := range s.handover.jobs {
		bytes += h.job.memoryNeed()
	}
	for _, f := range s.durable.finished {
		bytes += f.memory
	}
	return bytes
}

// TestJobsWithoutMemory guards against jobs beyond the memory of the process: each is refused as not run before it is held, and
// is accepted again once others have ended.
func TestJobsWithoutMemory(t *testing.T) {
	for _, received := range []bool{false, true} {
		s := &Submitter{Name: "entry", Incarnation: 1, Weight: 1, Handover: true, Report: func(Event) {}}
		s.SetSnapshot(1000, testSnapshot())
		free := int64(100_000)
		s.Memory = MemoryBudget{
			Reserve: func(bytes int64) bool {
				if bytes > free {
					return false
				}
				free -= bytes
				return true
			},
			Take: func(bytes int64) { free -= bytes }, Release: func(bytes int64) { free += bytes },
		}
		answers := map[string]Answer{}
		submit := func(id string, tasks uint64) {
			s.submit(Job{
				ID: id, Queue: testQueue, Spec: "1", Steps: []marshaler.Step{{Tasks: tasks, Estimate: 50}}, Deadline: 5000,
				Answer: func(a Answer) { answers[id] = a },
			}, received)
		}
		submit("large", 10_000)
		if got := answers["large"]; got.Kind != AnswerNotRun || got.RetryAfter < memoryRetryAfter {
			t.Errorf("got answer %v for a job without memory, want %v with a delay", got, AnswerNotRun)
		}
		jobs := 0
		for ; answers[fmt.Sprint(jobs-1)].Kind == 0 && jobs < 1000; jobs++ {
			submit(fmt.Sprint(jobs), 5)
		}
		if got, want := s.ActiveJobs(), jobs-1; got != want || want < 5 || free < 0 {
			t.Errorf("got %d active jobs and %d bytes free, want %d jobs and at least 0 bytes", got, free, want)
		}
		s.AbortAll(1001, "test")
		if free != 100_000 || s.ActiveJobs() != 0 {
			t.Errorf("got %d bytes free and %d jobs after their end, want 100,000 and 0", free, s.ActiveJobs())
		}
		submit("next", 5)
		if got := answers["next"]; got.Kind != 0 {
			t.Errorf("got answer %v for a job after the others, want none yet", got)
		}
	}
}
