package submitter

import (
	"slices"

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
		w          *simulation
		downUntil  timer.Millis
		lostShare  float64 // share of the writes that are executed but not answered
		generation uint64
		members    map[string]*fakeMember
		owners     [testPartitions]string
		epochs     [testPartitions]uint64
		logs       [testPartitions][][]byte
		marked     bool        // it has the marker that durable jobs are in use
		silent     func() bool // draws whether an entry's connection has gone silent
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
		generation  uint64
		rejoin      bool // the next call starts a new membership
		leaseUntil  timer.Millis
		writers     map[uint64]*fakeWriter
		epochs      map[uint64]uint64 // latest epoch by partition
	}

	fakeWriter struct {
		epoch  uint64
		queue  []fakeWrite
		busy   bool
		closed bool
	}

	fakeWrite struct {
		body []byte
		done func(now timer.Millis, offset uint64)
	}
)

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

func (s *fakeStore) assignPartitions(shift int) {
	s.generation++
	var names []string
	for name := range marshaler.SortedByKey(s.members) {
		names = append(names, name)
	}
	for p, owner := range s.owners {
		s.owners[p] = ""
		if len(names) > 0 {
			s.owners[p] = names[(p+shift)%len(names)]
		}
		if m := s.members[owner]; m != nil && s.owners[p] != owner {
			m.releasing[uint64(p)] = s.generation
		}
	}
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
	o := &fakeMembership{w: w, e: e, incarnation: e.incarnation, rejoin: true, writers: map[uint64]*fakeWriter{}, epochs: map[uint64]uint64{}}
	e.core.Partitions = testPartitions
	e.core.Record = o.record
	e.core.DurableJobsFound = func() {
		w.schedule(2, o.join)
		w.schedule(50, o.watchLease)
	}
	e.core.DurableJobSubmitted, e.core.LookUpDurableUse = o.writeMarker, o.lookUpMarker
	e.core.SetDurableInUse(w.now, w.store.marked)
}

func (o *fakeMembership) current() bool { return o.e.incarnation == o.incarnation }

func (o *fakeMembership) join() {
	w := o.w
	w.runOn(&o.e.process, o.current, func() {
		if o.rejoin {
			o.releaseAll(true, "new membership")
		}
		sent, rejoin, generation := w.now, o.rejoin, o.generation
		if w.store.downUntil > w.now {
			w.schedule(100, o.join)
			return
		}
		w.schedule(3, func() {
			next, list := w.store.join(o.e.name, rejoin, generation)
			w.runOn(&o.e.process, o.current, func() { o.joined(sent, next, list) })
		})
	})
}

func (o *fakeMembership) joined(sent timer.Millis, generation uint64, list []uint64) {
	if len(o.writers) > 0 && o.w.now >= o.leaseUntil {
		o.rejoin = true
		o.releaseAll(true, "the lease has ended")
		o.w.schedule(1, o.join)
		return
	}
	o.rejoin, o.generation, o.leaseUntil = false, generation, sent+testLease
	o.e.core.RenewLease(o.w.now, o.leaseUntil)
	delay := timer.Millis(testJoinInterval)
	for p := range marshaler.SortedByKey(o.writers) {
		if !slices.Contains(list, p) {
			o.release(p, false, "assigned to another entry")
			delay = 1
		}
	}
	for _, p := range list {
		if o.writers[p] != nil {
			continue
		}
		if o.epochs[p] == generation { // an epoch is used once
			o.rejoin = true
			o.releaseAll(true, "membership outlived the lease")
			o.w.schedule(1, o.join)
			return
		}
		o.epochs[p], o.writers[p] = generation, &fakeWriter{epoch: generation}
		o.acquire(p, o.writers[p])
	}
	o.w.schedule(delay, o.join)
}

func (o *fakeMembership) watchLease() {
	o.w.runOn(&o.e.process, o.current, func() {
		if len(o.writers) > 0 && o.w.now >= o.leaseUntil {
			o.rejoin = true
			o.releaseAll(true, "the lease has ended")
		}
		o.w.schedule(50, o.watchLease)
	})
}

func (o *fakeMembership) releaseAll(stop bool, reason string) {
	for p := range marshaler.SortedByKey(o.writers) {
		o.release(p, stop, reason)
	}
}

func (o *fakeMembership) release(p uint64, stop bool, reason string) {
	if writer := o.writers[p]; writer != nil {
		writer.closed = true
	}
	delete(o.writers, p)
	o.e.core.ReleasePartition(o.w.now, p, stop, reason)
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
			if w.store.downUntil > w.now {
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

func (o *fakeMembership) acquire(p uint64, writer *fakeWriter) {
	store := o.w.store
	o.callStore(writer, func() bool {
		if writer.epoch < store.epochs[p] {
			return false
		}
		store.epochs[p] = writer.epoch
		store.logs[p] = append(store.logs[p], marshaler.Append(nil, &marshaler.OwnerRecord{Epoch: writer.epoch}))
		return true
	}, func(ok bool) {
		if !ok {
			o.onFenced(p)
			return
		}
		o.callStore(writer, func() bool { return true }, func(bool) {
			var a projector.Projection
			for _, body := range store.logs[p] {
				if err := a.Apply(body); err != nil {
					o.w.t.Errorf("record of partition %d: %v", p, err)
				}
			}
			o.e.core.AcquirePartition(o.w.now, marshaler.Partition{Number: p, Epoch: writer.epoch, Previous: a.PreviousEpoch()}, a.Jobs())
			o.e.core.Flush(o.w.now)
		})
	})
}

func (o *fakeMembership) onFenced(p uint64) {
	o.rejoin = true
	o.release(p, true, "fenced by a later owner")
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
	if writer.busy || len(writer.queue) == 0 {
		return
	}
	batch := writer.queue
	writer.queue, writer.busy = nil, true
	store := o.w.store
	o.callStore(writer, func() bool {
		if writer.epoch < store.epochs[p] {
			return false
		}
		for _, r := range batch {
			store.logs[p] = append(store.logs[p], r.body)
		}
		return true
	}, func(ok bool) {
		if !ok {
			o.onFenced(p)
			return
		}
		writer.busy = false
		for _, r := range batch {
			r.done(o.w.now, 0)
		}
		o.e.core.Flush(o.w.now)
		o.write(p, writer)
	})
}
