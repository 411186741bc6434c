package commander

import (
	"context"

	"github.com/crocuslb/crocuslb/dispatcher"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/reporter"
)

// enqueueTaskReport queues a task report. It is called by the control goroutine of the entry and must not block, so a
// report is dropped and counted if the queue is full.
func (p *entryProcess) enqueueTaskReport(r dispatcher.TaskReport) {
	select {
	case p.reports <- r:
	default:
		p.droppedReports.Add(1)
	}
}

// observeTaskReports passes queued task reports to the reporter, which counts them by worker and failure domain, until
// ctx is canceled.
func (p *entryProcess) observeTaskReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-p.reports:
			if v, ok := taskObservation(r); ok {
				p.Reporter.Observe(p.Entry.Clock.Now(), v)
			}
		}
	}
}

// taskObservation converts a task report into an observation. It returns false for a canceled task, whose end says
// nothing about its worker, and for a task whose worker and failure domain are both unknown.
func taskObservation(r dispatcher.TaskReport) (reporter.Observation, bool) {
	v := reporter.Observation{
		Domain: r.Domain, Worker: r.Worker, Response: r.RunTime, Ideal: r.ExpectedRunTime, Failed: r.Status != encoder.StatusDone, Task: true,
	}
	if r.RunTime == 0 {
		v.Ideal = 0
	}
	return v, !r.Canceled && (r.Domain != "" || r.Worker != "")
}
