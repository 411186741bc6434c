package keeper

import (
	"maps"
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// maxLease is the longest lease that a backend server gives. An earlier life of this process may have asked for it.
const maxLease = 1000 // ms on the backend server's clock

type (
	// kept is what a sidecar knows of kept jobs. Each of their partitions has one owner at a time, and an end with success
	// or failure is listed by the backend server until the owner has recorded it. The zero value is ready to use.
	kept struct {
		claims map[uint64]claim // by partition
		// ends are those that no owner has recorded yet, by their number.
		ends    map[uint64]unrecorded
		orphans map[uint64]timer.Millis // time after which the runs of a released partition are stopped
		// leaseEnd is the latest end of the lease that was or may have been asked for, on the backend server's clock; 0
		// before the first listing.
		leaseEnd int64
		// lapsing says that the lease is left to lapse, because void ends must not count.
		lapsing bool
	}

	// claim is the owner of a partition.
	claim struct {
		epoch uint64
		entry string
		due   bool // its Census was not sent yet
	}

	unrecorded struct {
		outcome marshaler.Outcome
		void    bool
	}
)

// lasting reports whether an end of a run of a kept job has to be recorded before the backend server forgets it.
func lasting(s marshaler.Status) bool {
	return s == marshaler.StatusDone || s == marshaler.StatusFailed
}

func (kp *kept) add(o marshaler.Outcome) {
	if kp.ends == nil {
		kp.ends = map[uint64]unrecorded{}
	}
	kp.ends[o.Number] = unrecorded{outcome: o}
}

// forget drops what an earlier life of the backend server listed. That life's ends cannot be listed any more.
func (kp *kept) forget() { kp.ends, kp.leaseEnd, kp.lapsing = nil, 0, false }

func (kp *kept) extend(until int64) {
	if kp.leaseEnd != 0 {
		kp.leaseEnd = max(kp.leaseEnd, until)
	}
}

// processed returns the number up to which ends need not be listed again.
func (k *Keeper) processed() uint64 {
	number := k.lastSeen
	for n := range k.kept.ends {
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
	c := k.kept.claims[k.partition(m.Run.Job)]
	return c.epoch == m.Epoch && c.entry == e.name
}

// found takes an end of a run that this process does not know: one of an earlier life of it, or one that was given up.
func (k *Keeper) found(e End) {
	if lasting(e.Status) && k.keptInUse() {
		k.kept.add(marshaler.Outcome{Run: e.Run, Status: e.Status, Reason: "found after a restart", Number: e.Number, Stale: true})
		k.offer(k.partition(e.Run.Job))
	}
}

// keptInUse reports whether kept jobs may be in use: a partition was claimed, or no entry knows that there are none.
func (k *Keeper) keptInUse() bool {
	if len(k.kept.claims) > 0 {
		return true
	}
	known := false
	for _, e := range k.entries {
		if e.link != nil && e.beaten {
			if e.kept {
				return true
			}
			known = true
		}
	}
	return !known
}

// claim takes the partitions that an entry owns. What earlier owners started there is the new owner's from now on.
func (k *Keeper) claim(e *entry, partitions []marshaler.Partition) {
	if k.kept.claims == nil {
		k.kept.claims = map[uint64]claim{}
	}
	for _, p := range partitions {
		if p.Epoch < k.kept.claims[p.Number].epoch {
			k.report(Event{Kind: "claimRefused", Entry: e.name, Value: int64(p.Number)})
			continue
		}
		if c, ok := k.kept.claims[p.Number]; ok && c.epoch != p.Epoch && c.epoch != p.Previous {
			k.ageEnds(p.Number) // an owner between the two never reached this sidecar
		}
		k.kept.claims[p.Number] = claim{p.Epoch, e.name, true}
		delete(k.kept.orphans, p.Number)
		taken := 0
		for _, r := range k.runs {
			if r.kept && k.partition(r.key.Job) == p.Number && r.entry != e {
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
func (k *Keeper) lostOwner(e *entry) {
	for number, c := range k.kept.claims {
		if c.entry == e.name {
			k.ageEnds(number)
		}
	}
}

// ageEnds marks the unrecorded ends of a partition as stale.
func (k *Keeper) ageEnds(number uint64) {
	for n, u := range k.kept.ends {
		if k.partition(u.outcome.Run.Job) == number {
			u.outcome.Stale = true
			k.kept.ends[n] = u
		}
	}
}

// sendCensuses answers claims, once this process knows all that runs.
func (k *Keeper) sendCensuses() {
	if !k.clean {
		return
	}
	for number, c := range marshaler.InOrder(k.kept.claims) {
		if c.due {
			k.offer(number)
		}
	}
}

// offer sends the owner of a partition what this sidecar has of it.
func (k *Keeper) offer(number uint64) {
	c, ok := k.kept.claims[number]
	e := k.entries[c.entry]
	if !ok || !k.clean || e == nil || e.link == nil {
		return
	}
	c.due = false
	k.kept.claims[number] = c
	census := &marshaler.Census{Partition: marshaler.Partition{Number: number, Epoch: c.epoch}}
	for _, r := range k.sorted() {
		if r.kept && k.partition(r.key.Job) == number {
			census.Runs = append(census.Runs, r.key)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(k.kept.ends)) {
		if u := k.kept.ends[n]; !u.void && k.partition(u.outcome.Run.Job) == number {
			census.Ends = append(census.Ends, u.outcome)
		}
	}
	e.link.Send(census)
}

// release takes the message that an entry does not own a partition any more. The next owner has VouchLimit to claim it.
func (k *Keeper) release(now timer.Millis, e *entry, p marshaler.Partition) {
	if c := k.kept.claims[p.Number]; c.epoch != p.Epoch || c.entry != e.name {
		return
	}
	if k.kept.orphans == nil {
		k.kept.orphans = map[uint64]timer.Millis{}
	}
	k.kept.orphans[p.Number] = now + VouchLimit
}

// noted takes the owner's answer to an end.
func (k *Keeper) noted(now timer.Millis, m *marshaler.Noted) {
	u, ok := k.kept.ends[m.Number]
	if !ok || u.outcome.Run != m.Run {
		return
	}
	if !m.Void {
		delete(k.kept.ends, m.Number)
		return
	}
	k.report(Event{Kind: "void", Run: m.Run, Detail: "the task was started again; the lease is left to lapse"})
	u.void = true
	k.kept.ends[m.Number] = u
	if !k.kept.lapsing {
		k.kept.lapsing = true
		k.sendLoads(now)
	}
}

// checkLapse ends the pause of the lease once the backend server's clock has passed the end of the lease.
func (k *Keeper) checkLapse(clock int64) {
	if k.kept.leaseEnd == 0 {
		k.kept.leaseEnd = clock + maxLease
	}
	if !k.kept.lapsing || clock <= k.kept.leaseEnd {
		return
	}
	k.kept.lapsing = false
	maps.DeleteFunc(k.kept.ends, func(_ uint64, u unrecorded) bool { return u.void })
	k.report(Event{Kind: "lapsed", Detail: "void ends are forgotten"})
}

// tickKept stops the runs of partitions that nobody claimed, and forgets ends when there are no kept jobs.
func (k *Keeper) tickKept(now timer.Millis) {
	for number, at := range marshaler.InOrder(k.kept.orphans) {
		if now < at {
			continue
		}
		delete(k.kept.orphans, number)
		for _, r := range k.sorted() {
			if r.kept && k.partition(r.key.Job) == number {
				k.stop(now, r, marshaler.StatusStopped, "no entry owns the job")
			}
		}
	}
	if len(k.kept.ends) > 0 && !k.keptInUse() {
		k.kept.ends = nil
	}
}
