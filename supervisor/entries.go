package supervisor

import (
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

var errEntryTimeout = trace.ConnectionProblem(nil, "no message from the entry within the timeout")

// OnConnect handles a new session of an entry. A new incarnation of an entry ends the runs of the previous one.
func (k *Supervisor) OnConnect(now timer.Millis, link *marshaler.Link) {
	h := link.Remote
	if k.entries == nil {
		k.entries = map[string]*entry{}
	}
	e := k.entries[h.Name]
	if e != nil && e.incarnation > h.Incarnation {
		link.Close(trace.CompareFailed("a newer incarnation of %s is known", h.Name))
		return
	}
	if e != nil && e.incarnation < h.Incarnation {
		k.removeEntry(now, h.Name, e)
		e = nil
	}
	if e == nil {
		e = &entry{name: h.Name, incarnation: h.Incarnation, aliveAt: now}
		k.entries[h.Name] = e
		k.reattachRuns(e)
	}
	if e.link != nil {
		e.link.Close(trace.ConnectionProblem(nil, "replaced by a newer session"))
	}
	e.link, e.synced, e.subscribed, e.heartbeatReceived = link, false, false, false
	e.pendingStarts, e.pendingEnds = nil, nil
	k.sendBackend(e)
	k.syncSession(e)
	k.sendLoad(now, e)
}

// reattachRuns assigns runs that are still being stopped to their entry when it reconnects after it was declared lost, so
// that it gets their outcomes.
func (k *Supervisor) reattachRuns(e *entry) {
	for _, r := range k.runs {
		if r.entry.name == e.name && r.entry.incarnation == e.incarnation {
			r.entry = e
		}
		for i, d := range r.refusals {
			if d.entry.name == e.name && d.entry.incarnation == e.incarnation {
				r.refusals[i].entry = e
			}
		}
	}
}

// OnDisconnect handles the end of a session. The runs of its entry continue until the entry times out.
func (k *Supervisor) OnDisconnect(link *marshaler.Link) {
	if e := k.entryByLink(link); e != nil {
		e.link = nil
	}
}

// OnMessage handles a message from an entry.
func (k *Supervisor) OnMessage(now timer.Millis, link *marshaler.Link, m marshaler.Message) {
	e := k.entryByLink(link)
	if e == nil {
		return
	}
	e.aliveAt = max(e.aliveAt, sentAt(now, m))
	k.noteActivation(now, e, m)
	if k.lease.withheld {
		k.updateLease(now)
		if !k.lease.withheld {
			k.HoldNow() // renews the lease immediately
		}
	}
	switch m := m.(type) {
	case *marshaler.Start:
		k.onStart(now, e, m)
	case *marshaler.Stop:
		if r := k.findRun(m.Run); r != nil && r.entry == e {
			k.stopRun(now, r, marshaler.StatusStopped, "stopped by the entry")
		}
	case *marshaler.Heartbeat:
		e.durableInUse, e.heartbeatReceived = m.DurableInUse, true
	case *marshaler.Claim:
		k.onClaim(e, m.Partitions)
	case *marshaler.Release:
		k.onRelease(now, e, m.Partition)
	case *marshaler.OutcomeAck:
		k.onNoted(now, m)
	case *marshaler.LoadSubscription:
		if e.subscribed != m.Enabled {
			e.subscribed = m.Enabled
			k.replayStarts(e)
			k.sendLoad(now, e)
		}
	}
}

// noteActivation notes that an idle session becomes active by a message that does not show when it was sent. The entry's latest
// heartbeat may be as old as the idle interval then.
func (k *Supervisor) noteActivation(now timer.Millis, e *entry, m marshaler.Message) {
	switch m.(type) {
	case *marshaler.LoadSubscription, *marshaler.Claim:
		if !k.active(e) {
			e.activeSince = now
		}
	}
}

// sentAt returns the time at which a heartbeat or start was sent, or 0 for other messages. A message may have waited for long
// before it is handled, and its sender may be lost since.
func sentAt(now timer.Millis, m marshaler.Message) timer.Millis {
	switch m := m.(type) {
	case *marshaler.Heartbeat:
		return marshaler.TimeSent(now, m.SentAt)
	case *marshaler.Start:
		return marshaler.TimeSent(now, m.SentAt)
	}
	return 0
}

// replayStarts queues the recent starts for a new placing entry, because they may precede its subscription.
func (k *Supervisor) replayStarts(e *entry) {
	e.pendingStarts = nil
	if !e.subscribed {
		return
	}
	for _, s := range k.recentStarts {
		e.pendingStarts = append(e.pendingStarts, s.job)
	}
}

func (k *Supervisor) entryByLink(link *marshaler.Link) *entry {
	if e := k.entries[link.Remote.Name]; e != nil && e.link == link {
		return e
	}
	return nil
}

func (k *Supervisor) sendBackend(e *entry) {
	if e.link == nil || !k.announced {
		return
	}
	b := k.backend
	e.link.Send(&marshaler.Backend{ID: b.ID, StartTime: b.StartTime, Service: b.Service, Labels: b.Labels, Capacity: b.Capacity})
}

// syncSession resends the recent outcomes and lists the entry's runs. It does nothing until this process knows all runs.
func (k *Supervisor) syncSession(e *entry) {
	if e.link == nil || e.synced || !k.knowsAllRuns() {
		return
	}
	e.synced = true
	for _, o := range e.outcomes {
		e.link.Send(&o.outcome) // a copy, because outcomes are removed from the list in place
	}
	held := &marshaler.ActiveRuns{}
	for _, r := range k.sortedRuns() {
		if r.entry == e {
			held.Runs = append(held.Runs, r.key)
		}
		held.Runs = append(held.Runs, r.refusalsFor(e)...)
	}
	e.link.Send(held)
}

func (k *Supervisor) syncSessions() {
	for _, name := range slices.Sorted(maps.Keys(k.entries)) {
		k.syncSession(k.entries[name])
	}
	k.sendCensuses()
}

// sendOutcome reports an outcome to the entry that started the run, on its current session if there is one, and keeps it
// for a later session.
func (k *Supervisor) sendOutcome(now timer.Millis, e *entry, m marshaler.Outcome) {
	e.outcomes = append(e.outcomes, sentOutcome{now, m})
	if e.link != nil && (e.synced || k.reconciled) {
		e.link.Send(&m)
		if !e.subscribed { // an outcome also serves as a heartbeat
			e.lastSent = now
		}
	}
}

func (k *Supervisor) sendLoads(now timer.Millis) {
	for _, e := range marshaler.SortedByKey(k.entries) {
		k.sendLoad(now, e)
	}
}

func (k *Supervisor) sendLoadsToSubscribers(now timer.Millis) {
	for _, e := range marshaler.SortedByKey(k.entries) {
		if e.subscribed {
			k.sendLoad(now, e)
		}
	}
}

func (k *Supervisor) sendLoad(now timer.Millis, e *entry) {
	if e.link == nil {
		return
	}
	ok, _ := k.Accepting()
	e.link.Send(&marshaler.Load{
		Offset: k.offset, Accepting: ok, Free: k.free, Clock: k.Clock(now), Speed: uint64(max(k.speed, 0)),
		HandledStarts: e.pendingStarts, CompletedRuns: e.pendingEnds, Time: now, SuspectRuns: k.suspectRuns(now),
	})
	e.pendingStarts, e.pendingEnds, e.lastSent = nil, nil, now
}
