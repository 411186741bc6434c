package submitter

import (
	"maps"
	"slices"

	"github.com/crocuslb/crocuslb/acquirer"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/projector"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	testPartitions    = 4
	testMembershipTTL = 1500
	testLease         = 1300
	testJoinInterval  = 400
)

type (
	// fakeStore is a store that assigns partitions to entries and holds their records.
	fakeStore struct {
		w         *simulation
		downUntil timer.Millis
		// refusedUntil has the entries that the store turns away while it serves the others.
		refusedUntil map[string]timer.Millis
		lostShare    float64 // share of the writes that are executed but not answered
		generation   uint64
		members      map[string]*fakeMember
		owners       [testPartitions]string
		epochs       [testPartitions]uint64
		logs         [testPartitions][][]byte
		marked       bool        // it has the marker that durable jobs are in use
		silent       func() bool // draws whether an entry's connection has gone silent
	}

	fakeMember struct {
		expiresAt timer.Millis
		releasing map[uint64]uint64 // partitions that were assigned to others, with the generation
	}

	// fakeMembership stands in for the process of an entry: it maintains the membership and writes records.
	fakeMembership struct {
		w           *simulation
		e           *fakeEntry
		incarnation uint64
		membership  acquirer.Membership
		writers     map[uint64]*fakeWriter
		turn        int  // number of the next heartbeat
		joining     bool // a heartbeat is under way
		joinAgain   bool // another one is requested
	}

	fakeWriter struct {
		epoch    uint64 // under which the partition was acquired
		fence    uint64 // of the writes
		end      int    // offset after the latest record
		proofDue uint64 // generation
		queue    []fakeWrite
		busy     bool
		closed   bool
	}

	fakeWrite struct {
		body []byte
		done func(now timer.Millis, offset uint64)
	}
)

// refuses reports whether the store does not serve an entry.
func (s *fakeStore) refuses(name string) bool {
	return s.downUntil > s.w.now || s.refusedUntil[name] > s.w.now
}

func (s *fakeStore) expire() {
	before := len(s.members)
	for name, m := range s.members {
		if s.w.now > m.expiresAt {
			delete(s.members, name)
		}
	}
	if len(s.members) < before {
		s.assignPartitions(0)
	}
}

// assignPartitions assigns the partitions, which present owners have to release.
func (s *fakeStore) assignPartitions(shift int) {
	names := slices.Sorted(maps.Keys(s.members))
	for p, owner := range s.owners {
		s.owners[p] = memberAt(names, p+shift)
		if m := s.members[owner]; m != nil && s.owners[p] != owner {
			m.releasing[uint64(p)] = s.generation + 1
		}
	}
	s.generation++
}

// reassignAtOnce assigns the partitions to the members that the store serves, without the consent of the present owners. A store that
// serves nobody assigns nothing.
func (s *fakeStore) reassignAtOnce(shift int) {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(s.members)), s.refuses)
	if len(names) == 0 {
		return
	}
	for p := range s.owners {
		s.owners[p] = memberAt(names, p+shift)
	}
	for _, m := range s.members {
		clear(m.releasing)
	}
	s.generation++
}

func memberAt(names []string, n int) string {
	if len(names) == 0 {
		return ""
	}
	return names[n%len(names)]
}

func (s *fakeStore) join(name string, rejoin bool, generation uint64) (uint64, []uint64) {
	s.expire()
	if rejoin && s.members[name] != nil {
		delete(s.members, name)
		s.assignPartitions(0)
	}
	m := s.members[name]
	if m == nil {
		m = &fakeMember{releasing: map[uint64]uint64{}}
		s.members[name] = m
		s.assignPartitions(0)
	}
	m.expiresAt = s.w.now + testMembershipTTL
	for p, g := range m.releasing {
		if generation >= g {
			delete(m.releasing, p)
		}
	}
	var list []uint64
	for p, owner := range s.owners {
		if owner == name && !s.isReleasing(uint64(p), name) {
			list = append(list, uint64(p))
		}
	}
	return s.generation, list
}

func (s *fakeStore) isReleasing(p uint64, except string) bool {
	for name, m := range s.members {
		if _, ok := m.releasing[p]; ok && name != except {
			return true
		}
	}
	return false
}

// startMembership starts the membership of an entry's current incarnation.
func (w *simulation) startMembership(e *fakeEntry) {
	o := &fakeMembership{w: w, e: e, incarnation: e.incarnation, membership: acquirer.Membership{LeaseDuration: testLease}, writers: map[uint64]*fakeWriter{}}
	e.core.OwnershipExpired, e.core.RequestHeartbeat = o.membership.OnExpired, o.requestHeartbeat
	e.core.Partitions = testPartitions
	e.core.Record = o.record
	e.core.DurableJobsFound = func() {
		o.scheduleJoin(2)
		w.schedule(50, o.watchLease)
	}
	e.core.DurableJobSubmitted, e.core.LookUpDurableUse = o.writeMarker, o.lookUpMarker
	e.core.SetDurableInUse(w.now, w.store.marked)
}

func (o *fakeMembership) current() bool { return o.e.incarnation == o.incarnation }

// scheduleJoin schedules the next heartbeat, in place of one that is scheduled already.
func (o *fakeMembership) scheduleJoin(delay timer.Millis) {
	o.turn++
	turn := o.turn
	o.joining = false
	o.w.schedule(delay, func() {
		if turn == o.turn {
			o.join()
		}
	})
}

// requestHeartbeat brings the next heartbeat forward.
func (o *fakeMembership) requestHeartbeat() {
	if o.joining {
		o.joinAgain = true
	} else if o.turn > 0 {
		o.scheduleJoin(20)
	}
}

func (o *fakeMembership) join() {
	w := o.w
	w.runOn(&o.e.process, o.current, func() {
		o.joining, o.joinAgain = true, false
		restart := o.membership.MustJoin()
		if restart {
			o.apply(o.membership.End("new membership"))
		}
		sent, generation := w.now, o.membership.Generation()
		if w.store.refuses(o.e.name) {
			o.scheduleJoin(100)
			return
		}
		if restart {
			o.membership.Join()
			generation = 0
		}
		w.schedule(3, func() {
			next, list := w.store.join(o.e.name, restart, generation)
			w.runOn(&o.e.process, o.current, func() {
				changes := o.membership.OnAssigned(w.now, sent, next, list)
				o.apply(changes)
				delay := timer.Millis(testJoinInterval)
				if len(changes.Release) > 0 {
					delay = 1
				} else if o.joinAgain {
					delay = 20
				}
				o.scheduleJoin(delay)
			})
		})
	})
}

// apply carries out changes of the membership.
func (o *fakeMembership) apply(c acquirer.Changes) {
	for _, r := range c.Release {
		if writer := o.writers[r.Partition]; writer != nil {
			writer.closed = true
		}
		delete(o.writers, r.Partition)
		o.e.core.ReleasePartition(o.w.now, r.Partition, r.Stop, r.Reason)
	}
	for _, p := range c.Prove {
		o.e.core.LimitOwnership(o.w.now, p.Partition, p.Until)
	}
	if c.LeaseUntil != 0 {
		o.e.core.RenewLease(o.w.now, c.LeaseUntil)
		o.e.core.OnHeartbeat(o.w.now, c.ConfirmedAt)
	}
	for _, p := range c.Prove {
		if writer := o.writers[p.Partition]; writer != nil {
			writer.proofDue = p.Generation
			o.write(p.Partition, writer)
		}
	}
	for _, a := range c.Acquire {
		o.writers[a.Partition] = &fakeWriter{epoch: a.Epoch, fence: a.Epoch}
		o.acquire(a.Partition, o.writers[a.Partition])
	}
}

func (o *fakeMembership) watchLease() {
	o.w.runOn(&o.e.process, o.current, func() {
		o.apply(o.membership.CheckLease(o.w.now))
		o.w.schedule(50, o.watchLease)
	})
}

// callStore calls the store repeatedly until it answers. do is executed at most once.
func (o *fakeMembership) callStore(writer *fakeWriter, do func() bool, answered func(ok bool)) {
	w := o.w
	carried, ok := false, false
	var try func()
	try = func() {
		w.runOn(&o.e.process, o.current, func() {
			if writer.closed {
				return
			}
			if w.store.refuses(o.e.name) {
				w.schedule(50, try)
				return
			}
			w.schedule(4, func() {
				if !carried {
					carried, ok = true, do()
				}
				if w.random.Float64() < w.store.lostShare {
					w.schedule(800, try)
					return
				}
				w.schedule(2, func() {
					w.runOn(&o.e.process, o.current, func() {
						if !writer.closed {
							answered(ok)
						}
					})
				})
			})
		})
	}
	try()
}

// append writes records and passes on the offset of the first one, unless a later owner has fenced the writer.
func (o *fakeMembership) append(p uint64, writer *fakeWriter, bodies [][]byte, done func(offset int)) {
	store, offset := o.w.store, 0
	o.callStore(writer, func() bool {
		if writer.fence < store.epochs[p] {
			return false
		}
		store.epochs[p], offset = writer.fence, len(store.logs[p])
		store.logs[p] = append(store.logs[p], bodies...)
		return true
	}, func(ok bool) {
		if !ok {
			o.apply(o.membership.OnFenced(p))
			return
		}
		writer.end = offset + len(bodies)
		done(offset)
	})
}

func (o *fakeMembership) acquire(p uint64, writer *fakeWriter) {
	writer.busy = true
	o.append(p, writer, [][]byte{marshaler.Append(nil, &marshaler.OwnerRecord{Epoch: writer.epoch})}, func(int) {
		o.callStore(writer, func() bool { return true }, func(bool) {
			var a projector.Projection
			for _, body := range o.w.store.logs[p] {
				if err := a.Apply(body); err != nil {
					o.w.t.Errorf("record of partition %d: %v", p, err)
				}
			}
			limit := o.membership.Limit(p)
			o.e.core.AcquirePartition(o.w.now, marshaler.Partition{Number: p, Epoch: writer.epoch, Previous: a.PreviousEpoch()}, a.Jobs())
			if limit != 0 {
				o.e.core.LimitOwnership(o.w.now, p, limit)
			}
			o.e.core.Flush(o.w.now)
			writer.busy = false
			o.write(p, writer)
		})
	})
}

func (o *fakeMembership) record(p, epoch uint64, body []byte, done func(now timer.Millis, offset uint64)) {
	writer := o.writers[p]
	if writer == nil || writer.epoch != epoch {
		return
	}
	writer.queue = append(writer.queue, fakeWrite{body, done})
	o.write(p, writer)
}

func (o *fakeMembership) write(p uint64, writer *fakeWriter) {
	switch {
	case writer.busy:
		return
	case writer.proofDue != 0:
		o.prove(p, writer)
		return
	case len(writer.queue) == 0:
		return
	}
	batch := writer.queue
	writer.queue, writer.busy = nil, true
	var bodies [][]byte
	for _, r := range batch {
		bodies = append(bodies, r.body)
	}
	o.append(p, writer, bodies, func(offset int) {
		writer.busy = false
		for i, r := range batch {
			r.done(o.w.now, uint64(offset+i))
		}
		o.e.core.Flush(o.w.now)
		o.write(p, writer)
	})
}

// prove writes the proof that no other entry has owned a partition.
func (o *fakeMembership) prove(p uint64, writer *fakeWriter) {
	generation, expected := writer.proofDue, writer.end
	writer.proofDue, writer.fence, writer.busy = 0, generation, true
	o.append(p, writer, [][]byte{marshaler.Append(nil, &marshaler.OwnerRecord{Epoch: writer.epoch})}, func(offset int) {
		switch o.membership.OnProven(o.w.now, p, generation, offset == expected) {
		case acquirer.Kept:
			if o.membership.Limit(p) == 0 {
				o.e.core.ConfirmOwnership(o.w.now, p)
			}
			writer.busy = false
			o.write(p, writer)
		case acquirer.Broken:
			o.e.core.ReleasePartition(o.w.now, p, true, "another entry may have owned it")
			writer.epoch, writer.queue = generation, nil
			o.acquire(p, writer)
		case acquirer.Outdated:
		}
	})
}
