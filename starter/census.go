package starter

import (
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// maxPart is the largest sum of row sizes in one part of a census reply. A single row is smaller, so that each part
	// fits a frame.
	maxPart = 2 << 20
	// rowOverhead covers the encoding of a row's numbers and lengths.
	rowOverhead = 64
)

// census promises the roster's epoch and lists the started tasks that e owns under it. Waiting tasks of older epochs
// are refused first, so a task that the reply lacks cannot start any more. An asker with an older roster gets an empty
// reply with the known epoch.
func (c *Core) census(now timer.Millis, e *entry, m *encoder.Census) {
	c.adopt(m.Roster)
	c.sweep(now)
	reply := &encoder.CensusReply{Epoch: c.roster.Epoch}
	if m.Roster.Epoch < c.roster.Epoch {
		reply.Last = true
		c.send(e, reply)
		return
	}
	size := 0
	for _, j := range c.started.jobs {
		if owner, ok := c.owner(j.key); !ok || owner != e.member {
			continue
		}
		for i := range j.rows {
			r := &j.rows[i]
			t := encoder.StartedTask{Task: encoder.TaskKey{Job: j.key, Index: r.index}}
			t.Status, t.Reason = r.evidence()
			n := len(t.Task.Job) + len(t.Reason) + rowOverhead
			if size+n > maxPart && len(reply.Started) > 0 {
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

// evidence returns what a census reply says about a task. Bodies stay here: a takeover has to be quick, and the new owner
// needs the results of few of the listed tasks.
func (r *row) evidence() (status encoder.Status, reason string) {
	status, _, reason, _ = r.report()
	if status == encoder.StatusDone {
		status = encoder.StatusKept
	}
	return status, reason
}

// resend sends the results that e owns and has not collected; some may have been lost with the previous session.
func (c *Core) resend(e *entry) {
	if c.started.uncollected == 0 {
		return
	}
	for _, j := range c.started.jobs {
		if owner, ok := c.owner(j.key); !ok || owner != e.member {
			continue
		}
		for i := range j.rows {
			if r := &j.rows[i]; r.state == stateEnded && r.detail != nil {
				c.result(e, encoder.TaskKey{Job: j.key, Index: r.index}, r, 0)
			}
		}
	}
}
