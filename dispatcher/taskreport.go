package dispatcher

import (
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// TaskReport describes the end of a task. Domain and Worker are those of the sidecar that ran it, or empty if it is not
// known. Status is done, failed or unknown. RunTime is the run time, or 0 if unknown. ExpectedRunTime is the declared run time, else
// the learnt one, else 0. Canceled means that the submission had already failed or been canceled, so that its started tasks
// were asked to stop.
type TaskReport struct {
	Domain, Worker           string
	Status                   encoder.Status
	RunTime, ExpectedRunTime timer.Millis
	Canceled                 bool
}

// reportTaskEnd calls OnTask for the end of a task. It must be called before the end is applied to s.
func (c *Core) reportTaskEnd(s *submission, i int, sc *sidecar, status encoder.Status, ran timer.Millis) {
	if c.settings.OnTask == nil {
		return
	}
	spec := &s.specs[i]
	r := TaskReport{
		Status: status, RunTime: ran, ExpectedRunTime: c.queue.ExpectedRunTime(spec.Kind, spec.RunTime), Canceled: s.state == submissionClosing,
	}
	if sc != nil {
		r.Domain, r.Worker = sc.hello.Domain, sc.hello.Worker
	}
	c.settings.OnTask(r)
}
