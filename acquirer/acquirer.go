// Package acquirer decides which partitions of the durable jobs an entry owns. The store assigns partitions to the members of a
// group and may reassign all of them at any time, also away from a member and back to it between two of its heartbeats. A
// partition therefore stays owned only while it is proven that nobody else has owned it since: by a heartbeat whose response
// has the generation of the one before, or, after a change of the generation, by a write to the partition under the new one
// that follows the last write of this entry directly. The package has no clock, I/O or locking.
package acquirer

import (
	"maps"
	"slices"

	"github.com/crocuslb/crocuslb/timer"
)

type (
	// Membership is the state of an entry as a member of the group. The zero value has to join the group first.
	Membership struct {
		// LeaseDuration is how long after sending a heartbeat the entry owns its partitions, if the store took the heartbeat.
		LeaseDuration timer.Millis

		joined     bool   // the membership has begun, and does not have to begin anew
		generation uint64 // last one that the store returned
		leaseUntil timer.Millis
		tenures    map[uint64]*tenure // by partition
		// epochs has the latest epoch under which this process wrote, by partition. An epoch is used once: handovers, the runs of
		// sidecars and the sequence of writes are tied to it.
		epochs map[uint64]uint64
	}

	// tenure is the ownership of a partition.
	tenure struct {
		// limit is the time at which the ownership ends unless it is proven for the present generation before; 0 if it is proven.
		limit timer.Millis
		// lapsed says that the ownership has ended at its limit. The partition is acquired anew when the proof is answered.
		lapsed bool
	}

	// Changes are the actions that follow from an event. Partitions are released first, then the lease is renewed.
	Changes struct {
		Release []Release
		Prove   []Proof
		Acquire []Acquisition
		// LeaseUntil is the new end of the lease on all partitions, 0 if it does not change. An earlier limit of a Proof counts.
		LeaseUntil timer.Millis
		// ConfirmedAt is the time of the heartbeat that has renewed the lease.
		ConfirmedAt timer.Millis
	}

	// Release is the end of the ownership of a partition.
	Release struct {
		Partition uint64
		// Stop says that another entry may own the partition already, so that its runs must be stopped.
		Stop   bool
		Reason string
	}

	// Proof asks for a write to an owned partition under a generation. Until is when the ownership ends without it.
	Proof struct {
		Partition, Generation uint64
		Until                 timer.Millis
	}

	// Acquisition is the begin of the ownership of a partition. The epoch fences the writes of earlier owners.
	Acquisition struct {
		Partition, Epoch uint64
	}

	// Verdict is the decision on an answered proof.
	Verdict uint8
)

const (
	// Kept means that the entry has owned the partition all the while.
	Kept Verdict = iota + 1
	// Broken means that another entry may have owned the partition. It must be released and acquired under the epoch of the proof.
	Broken
	// Outdated means that the partition has been released since.
	Outdated
)

// MustJoin reports whether the next heartbeat has to begin a new membership. The entry then releases all partitions, leaves the
// group and calls Join.
func (m *Membership) MustJoin() bool { return !m.joined }

// Join begins a new membership.
func (m *Membership) Join() { m.joined, m.generation = true, 0 }

// Rejoin lets the next heartbeat begin a new membership.
func (m *Membership) Rejoin() { m.joined = false }

// Generation returns the last generation that the store returned. Heartbeats confirm it.
func (m *Membership) Generation() uint64 { return m.generation }

// Partitions returns the number of partitions that are owned or being acquired.
func (m *Membership) Partitions() int { return len(m.tenures) }

// Limit returns when the ownership of a partition ends without a proof; 0 for none.
func (m *Membership) Limit(partition uint64) timer.Millis {
	if t := m.tenures[partition]; t != nil {
		return t.limit
	}
	return 0
}

// OnAssigned handles the response to a heartbeat that was sent at a time.
func (m *Membership) OnAssigned(now, sent timer.Millis, generation uint64, partitions []uint64) (c Changes) {
	if c = m.CheckLease(now); len(c.Release) > 0 {
		return c // the lease expired while the heartbeat was under way
	}
	for _, number := range m.numbers() {
		if !slices.Contains(partitions, number) {
			c.Release = append(c.Release, m.release(number, false, "assigned to another entry"))
		}
	}
	if generation != m.generation {
		c.Prove = m.requireProofs(generation)
	}
	for _, number := range partitions {
		if m.tenures[number] != nil {
			continue
		}
		if m.epochs[number] == generation {
			// The lease expired while a heartbeat was under way, and the membership outlived it.
			return m.End("membership outlived the lease")
		}
		m.acquire(number, generation)
		c.Acquire = append(c.Acquire, Acquisition{number, generation})
	}
	m.generation, m.leaseUntil = generation, sent+m.LeaseDuration
	c.LeaseUntil, c.ConfirmedAt = m.leaseUntil, sent
	return c
}

// requireProofs limits the ownership of the partitions to the present lease, until it is proven for a new generation.
func (m *Membership) requireProofs(generation uint64) (proofs []Proof) {
	for _, number := range m.numbers() {
		t := m.tenures[number]
		if t.limit == 0 {
			t.limit = m.leaseUntil
		}
		m.epochs[number] = generation
		proofs = append(proofs, Proof{number, generation, t.limit})
	}
	return proofs
}

func (m *Membership) acquire(number, epoch uint64) {
	if m.tenures == nil {
		m.tenures, m.epochs = map[uint64]*tenure{}, map[uint64]uint64{}
	}
	m.tenures[number] = &tenure{}
	m.epochs[number] = epoch
}

// OnProven handles the answer to the write of a proof. unbroken says that it follows the last write of this entry directly.
func (m *Membership) OnProven(now timer.Millis, partition, generation uint64, unbroken bool) Verdict {
	t := m.tenures[partition]
	if t == nil {
		return Outdated
	}
	broken := !unbroken || t.lapsed || t.limit != 0 && now >= t.limit
	switch {
	case generation == m.generation:
		t.limit = 0
	case broken: // acquired anew, but not proven for a later generation yet
		t.limit = m.leaseUntil
	}
	t.lapsed = false
	if broken {
		return Broken
	}
	return Kept
}

// OnExpired handles the end of the ownership of a partition that the event loop has noticed before any other event.
func (m *Membership) OnExpired(partition uint64) {
	t := m.tenures[partition]
	switch {
	case t == nil:
	case t.limit != 0:
		t.lapsed = true // the answer to the proof brings the partition back
	default:
		m.joined = false
	}
}

// OnFenced handles the rejection of a write because of the epoch of a later owner.
func (m *Membership) OnFenced(partition uint64) (c Changes) {
	m.joined = false
	if m.tenures[partition] != nil {
		c.Release = append(c.Release, m.release(partition, true, "fenced by a later owner"))
	}
	return c
}

// CheckLease ends the ownership of all partitions once the lease has expired.
func (m *Membership) CheckLease(now timer.Millis) Changes {
	if len(m.tenures) == 0 || now < m.leaseUntil {
		return Changes{}
	}
	return m.End("lease expired")
}

// End ends the ownership of all partitions, which other entries may own already. The next heartbeat begins a new membership.
func (m *Membership) End(reason string) Changes {
	m.joined = false
	return Changes{Release: m.releaseAll(true, reason)}
}

// Leave ends the ownership of all partitions for the owners to come.
func (m *Membership) Leave(reason string) Changes {
	return Changes{Release: m.releaseAll(false, reason)}
}

func (m *Membership) releaseAll(stop bool, reason string) (list []Release) {
	for _, number := range m.numbers() {
		list = append(list, m.release(number, stop, reason))
	}
	return list
}

func (m *Membership) release(partition uint64, stop bool, reason string) Release {
	delete(m.tenures, partition)
	return Release{partition, stop, reason}
}

// numbers returns the numbers of the partitions in ascending order.
func (m *Membership) numbers() []uint64 { return slices.Sorted(maps.Keys(m.tenures)) }
