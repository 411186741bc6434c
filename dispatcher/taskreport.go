package dispatcher

import (
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// TaskReport describes the end of a task. Domain and Worker are those of the sidecar that ran it, and empty when it is
// not known. Status is done, failed or unknown. Ran is 0 when unknown. Expected is the declared run time, else the
// learnt one, else 0. Canceled says that the submission had failed or was canceled before, so that its started tasks
// were asked to stop.
type TaskReport struct {
	Domain, Worker string
	Status         encoder.Status
	Ran, Expected  timer.Millis
	Canceled       bool
}

// reportTask tells the process about the end of a task. The caller has not applied the end to s yet.
func (c *Core) reportTaskEnd(s *submission, i int, sc *sidecar, status encoder.Status, ran timer.Millis) {
	if c.settings.OnTask == nil {
		return
	}
	spec := &s.specs[i]
	r := TaskReport{
		Status: status, Ran: ran, Expected: c.queue.Expected(spec.Kind, spec.RunTime), Canceled: s.state == submissionClosing,
	}
	if sc != nil {
		r.Domain, r.Worker = sc.hello.Domain, sc.hello.Worker
	}
	c.settings.OnTask(r)
}
