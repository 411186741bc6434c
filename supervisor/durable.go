package supervisor

import (
	"maps"
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// crashRetention is how long a crash is reported to new owners of a partition. It exceeds the time in which an owner is
// replaced and a backend server restarts, before which no owner gets a list of the partition.
const crashRetention = 30 * timer.Second

type (
	// durableState is the sidecar's state of durable jobs. Each partition of these jobs has one owner at a time. The backend
	// server lists a successful or failed end until the owner has recorded it. The zero value is ready to use.
	durableState struct {
		claims map[uint64]claim // by partition
		// unrecorded has the ends that no owner has recorded yet, by their number.
		unrecorded      map[uint64]unrecordedEnd
		orphanDeadlines map[uint64]timer.Millis // by released partition; its runs are stopped at this time
		crashes         []sentOutcome           // of runs that were active at a crash, for crashRetention
		// leaseExpiring says that the lease is not renewed. Void ends must not count, so they are acknowledged to the backend
		// server only after the lease has expired.
		leaseExpiring bool
	}

	// claim is the ownership of a partition by an entry.
	claim struct {
		epoch     uint64
		entry     string
		censusDue bool // no census was sent since the claim
	}

	unrecordedEnd struct {
		outcome marshaler.Outcome
		void    bool // must not count, because the task was started again
	}
)

// mustRecord reports whether a durable job's run that ended with status s has to be recorded before the backend server
// forgets its end.
func mustRecord(s marshaler.Status) bool {
	return s == marshaler.StatusDone || s == marshaler.StatusFailed
}

func (st *durableState) addEnd(o marshaler.Outcome) {
	if st.unrecorded == nil {
		st.unrecorded = map[uint64]unrecordedEnd{}
	}
	st.unrecorded[o.Number] = unrecordedEnd{outcome: o}
}

// reset discards the ends that a previous incarnation of the backend server listed. They will not be listed again.
func (st *durableState) reset() { st.unrecorded, st.leaseExpiring = nil, false }

// processed returns the number up to which the backend server may forget ends: each unrecorded end has a higher number.
func (k *Supervisor) processed() uint64 {
	number := k.lastEnd
	for n := range k.durable.unrecorded {
		number = min(number, n-1)
	}
	return number
}

func (k *Supervisor) partition(job string) uint64 { return marshaler.PartitionOf(job, k.Partitions) }

// mayStart reports whether the entry owns the job of a start. Restartable jobs have no owner.
func (k *Supervisor) mayStart(e *entry, m *marshaler.Start) bool {
	if m.Epoch == 0 {
		return true
	}
	c := k.durable.claims[k.partition(m.Run.Job)]
	return c.epoch == m.Epoch && c.entry == e.name
}

// onUnknownEnd handles the end of a run that this process does not track: it was started by a previous incarnation of this
// process, or given up.
func (k *Supervisor) onUnknownEnd(e EndedRun) {
	if mustRecord(e.Status) && k.durableInUse() {
		k.durable.addEnd(marshaler.Outcome{Run: e.Run, Status: e.Status, Reason: "found after a restart", Number: e.Number, Stale: true})
		k.sendCensus(k.partition(e.Run.Job))
	}
}

// durableInUse reports whether durable jobs may be in use: a partition was claimed, an entry reports them, or no connected
// entry has reported yet.
func (k *Supervisor) durableInUse() bool {
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

// onClaim handles the list of partitions that an entry owns. Runs that previous owners started in them are reassigned to
// the new owner.
func (k *Supervisor) onClaim(e *entry, partitions []marshaler.Partition) {
	if k.durable.claims == nil {
		k.durable.claims = map[uint64]claim{}
	}
	for _, p := range partitions {
		if p.Epoch < k.durable.claims[p.Number].epoch {
			k.report(Event{Kind: "claimRefused", Entry: e.name, Value: int64(p.Number)})
			continue
		}
		if c, ok := k.durable.claims[p.Number]; ok && c.epoch != p.Epoch && c.epoch != p.Previous {
			k.markEndsStale(p.Number) // an intermediate owner never reached this sidecar
		}
		k.durable.claims[p.Number] = claim{p.Epoch, e.name, true}
		delete(k.durable.orphanDeadlines, p.Number)
		reassigned := 0
		for _, r := range k.runs {
			if r.durable && k.partition(r.key.Job) == p.Number && r.entry != e {
				r.entry = e
				reassigned++
			}
		}
		if reassigned > 0 {
			k.report(Event{Kind: "claim", Entry: e.name, Value: int64(reassigned)})
		}
	}
	k.sendCensuses()
}

// onOwnerLost marks the unrecorded ends in a lost entry's partitions as stale. The entry may still be running and restart
// tasks whose ends it did not receive.
func (k *Supervisor) onOwnerLost(e *entry) {
	for number, c := range k.durable.claims {
		if c.entry == e.name {
			k.markEndsStale(number)
		}
	}
}

func (k *Supervisor) markEndsStale(number uint64) {
	for n, u := range k.durable.unrecorded {
		if k.partition(u.outcome.Run.Job) == number {
			u.outcome.Stale = true
			k.durable.unrecorded[n] = u
		}
	}
}

// sendCensuses answers claims. It does nothing until this process knows all active runs.
func (k *Supervisor) sendCensuses() {
	if !k.knowsAllRuns() {
		return
	}
	for number, c := range marshaler.SortedByKey(k.durable.claims) {
		if c.censusDue {
			k.sendCensus(number)
		}
	}
}

// sendCensus sends the owner of a partition its active runs and unrecorded ends on this sidecar, or notes that it is due.
func (k *Supervisor) sendCensus(number uint64) {
	c, ok := k.durable.claims[number]
	if !ok {
		return
	}
	e := k.entries[c.entry]
	c.censusDue = !k.knowsAllRuns() || e == nil || e.link == nil
	k.durable.claims[number] = c
	if c.censusDue {
		return
	}
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
	for _, c := range k.durable.crashes {
		if k.partition(c.outcome.Run.Job) == number {
			census.Crashes = append(census.Crashes, c.outcome)
		}
	}
	e.link.Send(census)
}

// onRelease handles an entry's message that it no longer owns a partition. The runs of the partition are stopped unless the
// next owner claims it within the entry timeout.
func (k *Supervisor) onRelease(now timer.Millis, e *entry, p marshaler.Partition) {
	if c := k.durable.claims[p.Number]; c.epoch != p.Epoch || c.entry != e.name {
		return
	}
	if k.durable.orphanDeadlines == nil {
		k.durable.orphanDeadlines = map[uint64]timer.Millis{}
	}
	k.durable.orphanDeadlines[p.Number] = now + EntryTimeout
}

// onNoted handles the owner's confirmation that it has recorded or voided an end. A void end
// must not count, so it is not acknowledged to the backend server before the lease has expired.
func (k *Supervisor) onNoted(now timer.Millis, m *marshaler.OutcomeAck) {
	u, ok := k.durable.unrecorded[m.Number]
	if !ok || u.outcome.Run != m.Run {
		return
	}
	if !m.Void {
		delete(k.durable.unrecorded, m.Number)
		return
	}
	k.report(Event{Kind: "void", Run: m.Run, Detail: "the task was started again; the lease is not renewed"})
	u.void = true
	k.durable.unrecorded[m.Number] = u
	if !k.durable.leaseExpiring {
		k.durable.leaseExpiring = true
		k.sendLoads(now)
	}
}

// checkLeaseExpiry acknowledges void ends and resumes lease renewal once the lease has expired on the backend server's
// clock.
func (k *Supervisor) checkLeaseExpiry(clock int64) {
	if k.lease.end == 0 {
		k.lease.end = clock + int64(maxLease) // a previous incarnation of this process may have requested it
	}
	if !k.durable.leaseExpiring || clock <= k.lease.end {
		return
	}
	k.durable.leaseExpiring = false
	maps.DeleteFunc(k.durable.unrecorded, func(_ uint64, u unrecordedEnd) bool { return u.void })
	k.report(Event{Kind: "lapsed", Detail: "void ends are discarded"})
}

// tickDurable stops the runs of partitions that no entry claimed, and discards unrecorded ends when no durable jobs are in
// use.
func (k *Supervisor) tickDurable(now timer.Millis) {
	for number, at := range marshaler.SortedByKey(k.durable.orphanDeadlines) {
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
	k.durable.crashes = slices.DeleteFunc(k.durable.crashes, func(c sentOutcome) bool { return now-c.at > crashRetention })
	if len(k.durable.unrecorded) > 0 && !k.durableInUse() {
		k.durable.unrecorded = nil
	}
}
