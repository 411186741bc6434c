package keeper

import (
	"maps"
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// maxLease is the longest lease that a backend server gives. An earlier life of this process may have asked for it.
const maxLeaseMs = 1000 // ms on the backend server's clock

type (
	// kept is what a sidecar knows of kept jobs. Each of their partitions has one owner at a time, and an end with success
	// or failure is listed by the backend server until the owner has recorded it. The zero value is ready to use.
	durableState struct {
		claims map[uint64]claim // by partition
		// ends are those that no owner has recorded yet, by their number.
		unrecorded      map[uint64]unrecordedEnd
		orphanDeadlines map[uint64]timer.Millis // time after which the runs of a released partition are stopped
		// leaseEnd is the latest end of the lease that was or may have been asked for, on the backend server's clock; 0
		// before the first listing.
		leaseEnd int64
		// lapsing says that the lease is left to lapse, because void ends must not count.
		leaseExpiring bool
	}

	// claim is the owner of a partition.
	claim struct {
		epoch     uint64
		entry     string
		censusDue bool // its Census was not sent yet
	}

	unrecordedEnd struct {
		outcome marshaler.Outcome
		void    bool
	}
)

// lasting reports whether an end of a run of a kept job has to be recorded before the backend server forgets it.
func mustRecord(s marshaler.Status) bool {
	return s == marshaler.StatusDone || s == marshaler.StatusFailed
}

func (kp *durableState) addEnd(o marshaler.Outcome) {
	if kp.unrecorded == nil {
		kp.unrecorded = map[uint64]unrecordedEnd{}
	}
	kp.unrecorded[o.Number] = unrecordedEnd{outcome: o}
}

// forget drops what an earlier life of the backend server listed. That life's ends cannot be listed any more.
func (kp *durableState) reset() { kp.unrecorded, kp.leaseEnd, kp.leaseExpiring = nil, 0, false }

func (kp *durableState) extendLease(until int64) {
	if kp.leaseEnd != 0 {
		kp.leaseEnd = max(kp.leaseEnd, until)
	}
}

// processed returns the number up to which ends need not be listed again.
func (k *Keeper) processed() uint64 {
	number := k.lastEnd
	for n := range k.durable.unrecorded {
		number = min(number, n-1)
	}
	return number
}

func (k *Keeper) partition(job string) uint64 { return marshaler.PartitionOf(job, k.Partitions) }

// mayStart reports whether an entry owns the job of a start. Restartable jobs have no owner.
func (k *Keeper) mayStart(e *entry, m *marshaler.Start) bool {
	if m.Epoch == 0 {
		return true
	}
	c := k.durable.claims[k.partition(m.Run.Job)]
	return c.epoch == m.Epoch && c.entry == e.name
}

// found takes an end of a run that this process does not know: one of an earlier life of it, or one that was given up.
func (k *Keeper) onUnknownEnd(e End) {
	if mustRecord(e.Status) && k.durableInUse() {
		k.durable.addEnd(marshaler.Outcome{Run: e.Run, Status: e.Status, Reason: "found after a restart", Number: e.Number, Stale: true})
		k.sendCensus(k.partition(e.Run.Job))
	}
}

// keptInUse reports whether kept jobs may be in use: a partition was claimed, or no entry knows that there are none.
func (k *Keeper) durableInUse() bool {
	if len(k.durable.claims) > 0 {
		return true
	}
	known := false
	for _, e := range k.entries {
		if e.link != nil && e.heartbeatReceived {
			if e.durableInUse {
				return true
			}
			known = true
		}
	}
	return !known
}

// claim takes the partitions that an entry owns. What earlier owners started there is the new owner's from now on.
func (k *Keeper) onClaim(e *entry, partitions []marshaler.Partition) {
	if k.durable.claims == nil {
		k.durable.claims = map[uint64]claim{}
	}
	for _, p := range partitions {
		if p.Epoch < k.durable.claims[p.Number].epoch {
			k.report(Event{Kind: "claimRefused", Entry: e.name, Value: int64(p.Number)})
			continue
		}
		if c, ok := k.durable.claims[p.Number]; ok && c.epoch != p.Epoch && c.epoch != p.Previous {
			k.markEndsStale(p.Number) // an owner between the two never reached this sidecar
		}
		k.durable.claims[p.Number] = claim{p.Epoch, e.name, true}
		delete(k.durable.orphanDeadlines, p.Number)
		taken := 0
		for _, r := range k.runs {
			if r.durable && k.partition(r.key.Job) == p.Number && r.entry != e {
				r.entry = e
				taken++
			}
		}
		if taken > 0 {
			k.report(Event{Kind: "claim", Entry: e.name, Value: int64(taken)})
		}
	}
	k.sendCensuses()
}

// lostOwner takes the loss of an entry. It may start tasks again whose ends it could not learn.
func (k *Keeper) onOwnerLost(e *entry) {
	for number, c := range k.durable.claims {
		if c.entry == e.name {
			k.markEndsStale(number)
		}
	}
}

// ageEnds marks the unrecorded ends of a partition as stale.
func (k *Keeper) markEndsStale(number uint64) {
	for n, u := range k.durable.unrecorded {
		if k.partition(u.outcome.Run.Job) == number {
			u.outcome.Stale = true
			k.durable.unrecorded[n] = u
		}
	}
}

// sendCensuses answers claims, once this process knows all that runs.
func (k *Keeper) sendCensuses() {
	if !k.reconciled {
		return
	}
	for number, c := range marshaler.InOrder(k.durable.claims) {
		if c.censusDue {
			k.sendCensus(number)
		}
	}
}

// offer sends the owner of a partition what this sidecar has of it.
func (k *Keeper) sendCensus(number uint64) {
	c, ok := k.durable.claims[number]
	e := k.entries[c.entry]
	if !ok || !k.reconciled || e == nil || e.link == nil {
		return
	}
	c.censusDue = false
	k.durable.claims[number] = c
	census := &marshaler.Census{Partition: marshaler.Partition{Number: number, Epoch: c.epoch}}
	for _, r := range k.sortedRuns() {
		if r.durable && k.partition(r.key.Job) == number {
			census.Runs = append(census.Runs, r.key)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(k.durable.unrecorded)) {
		if u := k.durable.unrecorded[n]; !u.void && k.partition(u.outcome.Run.Job) == number {
			census.Ends = append(census.Ends, u.outcome)
		}
	}
	e.link.Send(census)
}

// release takes the message that an entry does not own a partition any more. The next owner has VouchLimit to claim it.
func (k *Keeper) onRelease(now timer.Millis, e *entry, p marshaler.Partition) {
	if c := k.durable.claims[p.Number]; c.epoch != p.Epoch || c.entry != e.name {
		return
	}
	if k.durable.orphanDeadlines == nil {
		k.durable.orphanDeadlines = map[uint64]timer.Millis{}
	}
	k.durable.orphanDeadlines[p.Number] = now + VouchLimit
}

// noted takes the owner's answer to an end.
func (k *Keeper) onNoted(now timer.Millis, m *marshaler.Noted) {
	u, ok := k.durable.unrecorded[m.Number]
	if !ok || u.outcome.Run != m.Run {
		return
	}
	if !m.Void {
		delete(k.durable.unrecorded, m.Number)
		return
	}
	k.report(Event{Kind: "void", Run: m.Run, Detail: "the task was started again; the lease is left to lapse"})
	u.void = true
	k.durable.unrecorded[m.Number] = u
	if !k.durable.leaseExpiring {
		k.durable.leaseExpiring = true
		k.sendLoads(now)
	}
}

// checkLapse ends the pause of the lease once the backend server's clock has passed the end of the lease.
func (k *Keeper) checkLeaseExpiry(clock int64) {
	if k.durable.leaseEnd == 0 {
		k.durable.leaseEnd = clock + maxLeaseMs
	}
	if !k.durable.leaseExpiring || clock <= k.durable.leaseEnd {
		return
	}
	k.durable.leaseExpiring = false
	maps.DeleteFunc(k.durable.unrecorded, func(_ uint64, u unrecordedEnd) bool { return u.void })
	k.report(Event{Kind: "lapsed", Detail: "void ends are forgotten"})
}

// tickKept stops the runs of partitions that nobody claimed, and forgets ends when there are no kept jobs.
func (k *Keeper) tickDurable(now timer.Millis) {
	for number, at := range marshaler.InOrder(k.durable.orphanDeadlines) {
		if now < at {
			continue
		}
		delete(k.durable.orphanDeadlines, number)
		for _, r := range k.sortedRuns() {
			if r.durable && k.partition(r.key.Job) == number {
				k.stopRun(now, r, marshaler.StatusStopped, "no entry owns the job")
			}
		}
	}
	if len(k.durable.unrecorded) > 0 && !k.durableInUse() {
		k.durable.unrecorded = nil
	}
}
