package starter

import (
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// maxReplyPartBytes limits the row sizes in one part of a census reply, so that each part fits in a frame. A single
	// row is always smaller than that.
	maxReplyPartBytes = 2 << 20
	// rowOverhead is the size of the encoded numbers and length prefixes of a row.
	rowOverhead = 64
)

// handleCensus adopts the roster of the request and replies with the started tasks that e owns under it. Waiting tasks
// with an older epoch are refused first, so that a task that is missing in the reply cannot start later. If the request
// has an older roster than the sidecar, the reply is empty and contains the sidecar's epoch.
func (c *Core) handleCensus(now timer.Millis, e *entry, m *encoder.Census) {
	c.adoptRoster(m.Roster)
	c.recheckWaiting(now)
	reply := &encoder.CensusReply{Epoch: c.roster.Epoch}
	if m.Roster.Epoch < c.roster.Epoch {
		reply.Last = true
		c.send(e, reply)
		return
	}
	size := 0
	for _, j := range c.started.jobs {
		if owner, ok := c.ownerOf(j.key); !ok || owner != e.member {
			continue
		}
		for i := range j.rows {
			r := &j.rows[i]
			t := encoder.StartedTask{Task: encoder.TaskKey{Job: j.key, Index: r.index}}
			t.Status, t.Reason = r.censusStatus()
			n := len(t.Task.Job) + len(t.Reason) + rowOverhead
			if size+n > maxReplyPartBytes && len(reply.Started) > 0 {
				c.send(e, reply)
				reply, size = &encoder.CensusReply{Epoch: c.roster.Epoch}, 0
			}
			reply.Started = append(reply.Started, t)
			size += n
			if a, ok := c.running[t.Task]; ok {
				a.session = e.session
			}
		}
	}
	reply.Last = true
	c.send(e, reply)
}

// censusStatus returns the status and reason of a task for a census reply. Results are left out to keep takeovers fast,
// because the new owner needs few of them.
func (r *row) censusStatus() (status encoder.Status, reason string) {
	status, _, reason, _ = r.resultFields()
	if status == encoder.StatusDone {
		status = encoder.StatusRetained
	}
	return status, reason
}

// resendResults sends the results that e owns and has not collected, because they may have been lost with the previous
// session.
func (c *Core) resendResults(e *entry) {
	if c.started.uncollected == 0 {
		return
	}
	for _, j := range c.started.jobs {
		if owner, ok := c.ownerOf(j.key); !ok || owner != e.member {
			continue
		}
		for i := range j.rows {
			if r := &j.rows[i]; r.state == stateEnded && r.result != nil {
				c.sendResult(e, encoder.TaskKey{Job: j.key, Index: r.index}, r, 0)
			}
		}
	}
}
