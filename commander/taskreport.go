package commander

import (
	"context"

	"github.com/crocuslb/crocuslb/dispatcher"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/reporter"
)

// reportTask queues a task report. The control goroutine of the entry calls it, so a report that finds the queue full is
// dropped and counted.
func (p *entryProcess) enqueueTaskReport(r dispatcher.TaskReport) {
	select {
	case p.reports <- r:
	default:
		p.droppedReports.Add(1)
	}
}

// observeTasks counts task reports for their workers and failure domains until ctx ends.
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

// observation judges a task. It returns false for a task that was asked to stop, whose end says nothing about its worker,
// and for one that ran at an unknown place.
func taskObservation(r dispatcher.TaskReport) (reporter.Observation, bool) {
	v := reporter.Observation{
		Domain: r.Domain, Worker: r.Worker, Response: r.Ran, Ideal: r.Expected, Failed: r.Status != encoder.StatusDone, Task: true,
	}
	if r.Ran == 0 {
		v.Ideal = 0
	}
	return v, !r.Canceled && (r.Domain != "" || r.Worker != "")
}
