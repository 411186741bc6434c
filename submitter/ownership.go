package submitter

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// RenewLease extends the lease on the owned partitions. After it expires, another entry may own them.
func (s *Submitter) RenewLease(now, until timer.Millis) {
	s.durable.leaseUntil = max(s.durable.leaseUntil, until)
	s.updateExpiry()
	s.setNow(now)
}

// LimitOwnership ends the ownership of a partition at a time before the end of the lease, unless ConfirmOwnership is called before.
func (s *Submitter) LimitOwnership(now timer.Millis, number uint64, until timer.Millis) {
	if p := s.durable.owned[number]; p != nil {
		p.limit = until
		s.updateExpiry()
	}
	s.setNow(now)
}

// ConfirmOwnership lifts the limit on the ownership of a partition, because no other entry has owned it.
func (s *Submitter) ConfirmOwnership(now timer.Millis, number uint64) {
	if p := s.durable.owned[number]; p != nil {
		p.limit = 0
		s.updateExpiry()
	}
	s.setNow(now)
	if p := s.durable.owned[number]; p != nil {
		s.answerVerified(p)
	}
}

// updateExpiry computes the earliest end of the ownership of a partition.
func (s *Submitter) updateExpiry() {
	s.durable.expiresAt = s.durable.leaseUntil
	for _, p := range s.durable.owned {
		s.durable.expiresAt = min(s.durable.expiresAt, s.ownedUntil(p))
	}
}

func (s *Submitter) ownedUntil(p *partition) timer.Millis {
	if p.limit != 0 {
		return min(p.limit, s.durable.leaseUntil)
	}
	return s.durable.leaseUntil
}

// releaseExpired releases the partitions whose lease or limit has expired, before any decision is made on them. A process
// that was suspended detects the expiry here first.
func (s *Submitter) releaseExpired() {
	if s.now < s.durable.expiresAt || len(s.durable.owned) == 0 {
		return
	}
	for number, p := range marshaler.SortedByKey(s.durable.owned) {
		if s.now < s.ownedUntil(p) {
			continue
		}
		s.release(number, true, "the lease has ended")
		if s.OwnershipExpired != nil {
			s.OwnershipExpired(number)
		}
	}
	s.updateExpiry()
}

// OnHeartbeat handles the store's confirmation, by a heartbeat that was sent at a time, that this entry owns its partitions. It
// does not count for partitions whose ownership is limited.
func (s *Submitter) OnHeartbeat(now, sent timer.Millis) {
	s.setNow(now)
	s.durable.confirmedAt = sent
	for _, p := range marshaler.SortedByKey(s.durable.owned) {
		s.answerVerified(p)
	}
}

// denyJob answers an operation on a job that this entry, the owner of its partition, does not know. The entry may have lost the
// partition without knowing, so the answer waits until a heartbeat that was sent after the operation arrived confirms that
// it has not.
func (s *Submitter) denyJob(op *operation, p *partition) {
	if s.RequestHeartbeat == nil {
		op.answer(Answer{Kind: AnswerNotFound, Reason: noSuchJob})
		return
	}
	op.heldAt = s.now
	p.unverified = append(p.unverified, op)
	s.RequestHeartbeat()
}

// answerVerified executes the operations again that arrived before the ownership of a partition was confirmed.
func (s *Submitter) answerVerified(p *partition) {
	if p.limit != 0 {
		return
	}
	held := p.unverified
	p.unverified = nil
	for _, op := range held {
		switch {
		case op.heldAt >= s.durable.confirmedAt:
			p.unverified = append(p.unverified, op)
		case s.isUnknown(op):
			op.answer(Answer{Kind: AnswerNotFound, Reason: noSuchJob})
		default:
			s.serve(op, p)
		}
	}
}

// isUnknown reports whether this entry knows no job for an operation on an existing one.
func (s *Submitter) isUnknown(op *operation) bool {
	if finished := s.durable.finished[op.job.ID]; finished != nil && finished.record.Queue == op.queue {
		return false
	}
	j := s.jobs[op.job.ID]
	if j == nil || j.durability.record == nil || j.durability.record.Queue != op.queue {
		return true
	}
	if op.verb == marshaler.VerbCancel {
		return !j.durability.storeRequested
	}
	return !j.durability.stored // a job is not visible before it is in the store
}
