package submitter

import "github.com/crocuslb/crocuslb/timer"

// lookupRetryDelay is the delay before the store is asked again whether durable jobs are in use, after a call that failed.
const lookupRetryDelay = 100 * timer.Millisecond

// durableUse is what an entry knows of whether durable jobs are in use, that is, whether any was ever submitted to the
// installation. The store has a marker, which is written before the first one is accepted. A reader may learn of the marker much
// later than it is written: its connection to the store may be cut off, or silent. The owners of durable jobs announce
// their partitions to the other entries, which shows the same.
type durableUse struct {
	inUse bool
	known bool // inUse has been read from the store, or learned from another entry
	// waiting has the operations on existing jobs that are answered once it is known whether there are any.
	waiting []*operation
	// asked has those for which the call to the store that is under way counts, because they arrived before it.
	asked   []*operation
	calling bool
	callAt  timer.Millis // earliest time of the next call
}

// SetDurableInUse sets whether durable jobs are in use according to the store.
func (s *Submitter) SetDurableInUse(now timer.Millis, inUse bool) {
	s.setNow(now)
	s.setDurableUse(inUse, "marker in the store")
}

// setDurableUse notes whether durable jobs are in use. Once they are, they stay so.
func (s *Submitter) setDurableUse(inUse bool, source string) {
	u := &s.durable.use
	if u.inUse {
		return
	}
	before := s.mayHaveDurable()
	u.inUse, u.known = inUse, true
	if s.mayHaveDurable() != before { // it determines the heartbeat interval that peers expect
		s.sendAllHeartbeats()
	}
	if inUse {
		s.onDurableJobsFound(source)
	}
}

// onDurableJobsFound routes the operations that waited for durable jobs to be known.
func (s *Submitter) onDurableJobsFound(source string) {
	s.report(Event{Kind: "keptInUse", Detail: source})
	if s.DurableJobsFound != nil {
		s.DurableJobsFound()
	}
	u := &s.durable.use
	s.durable.unrouted = append(s.durable.unrouted, append(u.asked, u.waiting...)...)
	u.asked, u.waiting = nil, nil
	s.retryUnrouted()
}

// mayHaveDurable reports whether durable jobs may be in use. Heartbeats carry it.
func (s *Submitter) mayHaveDurable() bool { return s.durable.use.inUse || !s.durable.use.known }

// knowsNoDurable reports whether it is certain that no durable job exists: the store had no marker, and all other entries are
// connected and say that there are none. An entry announces its partitions to all others before it accepts the first job.
func (s *Submitter) knowsNoDurable() bool {
	if s.mayHaveDurable() {
		return false
	}
	for _, p := range s.peers {
		if p.link == nil || p.suspect || !p.reported || p.mayHaveDurable {
			return false
		}
	}
	return true
}

// routeExisting executes an operation on a job that was submitted before. If this entry does not know whether there are durable
// jobs, the operation waits until it does: the answer that a job does not exist must be true.
func (s *Submitter) routeExisting(op *operation) {
	switch {
	case s.durable.use.inUse:
		s.route(op)
	case s.knowsNoDurable():
		op.answer(Answer{Kind: AnswerNotFound, Reason: "there are no kept jobs"})
	default:
		s.report(Event{Kind: "keptUnknown", Job: op.job.ID, Queue: op.queue})
		s.durable.use.waiting = append(s.durable.use.waiting, op)
		s.lookUpDurableUse()
	}
}

// lookUpDurableUse asks the store whether durable jobs are in use if operations wait for that.
func (s *Submitter) lookUpDurableUse() {
	u := &s.durable.use
	if u.calling || len(u.waiting) == 0 || s.now < u.callAt || s.LookUpDurableUse == nil {
		return
	}
	u.calling, u.asked, u.waiting = true, u.waiting, nil
	s.LookUpDurableUse(s.onDurableUse)
}

// onDurableUse handles the end of a call to the store. ok is false if the store did not answer.
func (s *Submitter) onDurableUse(now timer.Millis, inUse, ok bool) {
	u := &s.durable.use
	u.calling = false
	if !ok {
		u.waiting, u.asked = append(u.asked, u.waiting...), nil
		u.callAt = now + lookupRetryDelay
		return
	}
	s.SetDurableInUse(now, inUse)
	asked := u.asked // empty if durable jobs are in use
	u.asked = nil
	for _, op := range asked {
		op.answer(Answer{Kind: AnswerNotFound, Reason: "there are no kept jobs"})
	}
	s.lookUpDurableUse()
}
