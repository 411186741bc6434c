package placer

import (
	"maps"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// distrustedRefusals is the number of refused starts of a job, less those that succeeded, from which on its tasks are taken to
	// need more than the job declares. It then gets one start at a time on each worker, so that it does not take each place that
	// becomes free from the jobs that declare what they need.
	distrustedRefusals = 16
	// refusalTTL is how long refusals count.
	refusalTTL = 5 * timer.Second
)

// refusalCount counts the refused starts of a job.
type refusalCount struct {
	count int
	at    timer.Millis // of the latest one
}

// recordRefusal counts a refused start of a job, or one that has succeeded.
func (p *Placer) recordRefusal(now timer.Millis, s marshaler.CompletedRun) {
	c, known := p.refusals[s.Job]
	switch {
	case s.Status == marshaler.StatusDone && known:
		c.count--
	case s.Status == marshaler.StatusRefused:
		c.count, c.at = min(c.count+1, 2*distrustedRefusals), now
	default:
		return
	}
	if !known {
		maps.DeleteFunc(p.refusals, func(_ string, c refusalCount) bool { return now-c.at > refusalTTL })
	}
	if p.refusals == nil {
		p.refusals = map[string]refusalCount{}
	}
	p.refusals[s.Job] = c
	if c.count <= 0 {
		delete(p.refusals, s.Job)
	}
}

// distrusts reports whether so many starts of a job were refused that it gets one at a time on each worker.
func (p *Placer) distrusts(job string) bool {
	c, known := p.refusals[job]
	return known && c.count >= distrustedRefusals && p.placedAt-c.at <= refusalTTL
}
