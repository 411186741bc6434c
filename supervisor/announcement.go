package supervisor

import (
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// maxSequenceGap is the largest difference between the sequence numbers of two announcements of one incarnation. At one
	// announcement a second it takes 12 days.
	maxSequenceGap = 1 << 20
	// maxLabels is the maximum number of labels of a backend server.
	maxLabels = 1000
)

// maxCapacity is the maximum capacity of a backend server. Sums over all of them do not overflow.
var maxCapacity = marshaler.Resources{CPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40}

// valid reports whether the description can be encoded for entries, and its capacity summed up. Other software may send
// announcements too.
func (b *Backend) valid() bool {
	long := func(text string) bool { return len(text) > marshaler.MaxNameLen }
	return b.ID != "" && !long(b.ID) && !long(b.Service) && len(b.Labels) <= maxLabels && !slices.ContainsFunc(b.Labels, long) &&
		b.Capacity.Contains(marshaler.Resources{}) && maxCapacity.Contains(b.Capacity)
}

// Announce handles an announcement of the backend server. It returns false if the announcement is invalid or outdated.
func (k *Supervisor) Announce(now timer.Millis, b Backend) bool {
	return k.announce(now, b, false)
}

// AnnounceConfirmed handles an announcement of an incarnation as which the backend server has answered a call. It takes effect
// whichever incarnation is known.
func (k *Supervisor) AnnounceConfirmed(now timer.Millis, b Backend) bool {
	return k.announce(now, b, true)
}

// Replaces reports whether an announcement names another incarnation than the known one. Other software may have sent it, so the
// caller confirms such an announcement with the backend server.
func (k *Supervisor) Replaces(b Backend) bool {
	return k.announced && (b.ID != k.backend.ID || b.StartTime != k.backend.StartTime)
}

// sequenceOutdated reports whether a sequence number of the known incarnation is that of a late announcement, or so far ahead that
// another writer must have sent it. If the known number is far ahead, that one came from another writer.
func (k *Supervisor) sequenceOutdated(sequence uint64) bool {
	known := k.backend.Sequence
	if sequence > known {
		return known != 0 && sequence-known > maxSequenceGap
	}
	return known-sequence <= maxSequenceGap
}

func (k *Supervisor) announce(now timer.Millis, b Backend, confirmed bool) bool {
	if !b.valid() {
		k.report(Event{Kind: "announcementRefused", Detail: "a name is missing or too long, or the capacity is negative or too large"})
		return false
	}
	if k.announced {
		if !confirmed && b.StartTime < k.backend.StartTime || !k.Replaces(b) && k.sequenceOutdated(b.Sequence) {
			return false
		}
	}
	restarted := !k.announced || k.Replaces(b)
	changed := restarted || !k.described || b.Draining != k.backend.Draining || b.Capacity != k.backend.Capacity || b.Service != k.backend.Service ||
		!slices.Equal(b.Labels, k.backend.Labels)
	if restarted && k.announced {
		k.noteCrash(now)
		k.lease.incarnationSince = now
	}
	k.backend, k.announced, k.described = b, true, true
	if restarted {
		k.resetBackend(now, b.StartTime)
		k.HoldNow() // a pending hold may still wait for the previous incarnation
	}
	k.recomputeFree()
	if changed {
		k.report(Event{Kind: "backend", Detail: b.ID, Value: b.Capacity.CPU})
		for _, e := range marshaler.SortedByKey(k.entries) {
			k.sendBackend(e)
		}
		k.sendLoads(now)
	}
	return true
}

// OnDeregistered handles the deregistration of the backend server.
func (k *Supervisor) OnDeregistered(now timer.Millis, id string) {
	if k.announced && k.backend.ID == id {
		k.backend.Draining = true
		k.report(Event{Kind: "deregistered", Detail: id})
		k.sendLoads(now)
	}
}

// resetBackend discards the state of the previous backend server incarnation, whose runs have ended with it.
func (k *Supervisor) resetBackend(now timer.Millis, born uint64) {
	k.backend.StartTime = born
	k.lastEnd, k.reconciled, k.backendClock, k.backendClockAt, k.speed = 0, false, 0, 0, NormalSpeed
	k.refusedHold, k.goneRuns = 0, 0
	k.lease.end, k.lease.expiredAt, k.lease.runsEnded = 0, 0, false
	k.endListedRuns(now, "backend server restarted")
	k.durable.reset()
	k.unconfirmed = slices.DeleteFunc(k.unconfirmed, func(d unconfirmedStart) bool { return now-d.at > maxStartDelay })
	for _, d := range k.unconfirmed {
		k.Stop(d.key)
	}
}
