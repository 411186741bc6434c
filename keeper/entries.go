package keeper

import (
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

var errEntryTimeout = trace.ConnectionProblem(nil, "the entry is silent")

// OnUp takes a new session of an entry. A new life of an entry ends the runs of the earlier one.
func (k *Keeper) OnUp(now timer.Millis, link *marshaler.Link) {
	h := link.Remote
	if k.entries == nil {
		k.entries = map[string]*entry{}
	}
	e := k.entries[h.Name]
	if e != nil && e.incarnation > h.Incarnation {
		link.Close(trace.CompareFailed("a later life of %s is known", h.Name))
		return
	}
	if e != nil && e.incarnation < h.Incarnation {
		k.removeEntry(now, h.Name, e)
		e = nil
	}
	if e == nil {
		e = &entry{name: h.Name, incarnation: h.Incarnation}
		k.entries[h.Name] = e
		k.reattachRuns(e)
	}
	if e.link != nil {
		e.link.Close(trace.ConnectionProblem(nil, "replaced by a newer session"))
	}
	e.link, e.lastReceived, e.synced, e.subscribed, e.heartbeatReceived = link, now, false, false, false
	e.pendingStarts, e.pendingEnds = nil, nil
	k.sendBackend(e)
	k.syncSession(e)
	k.sendLoad(now, e)
}

// readopt lets an entry that returns after it was held for lost learn the ends of its runs that are being stopped.
func (k *Keeper) reattachRuns(e *entry) {
	for _, r := range k.runs {
		if r.entry.name == e.name && r.entry.incarnation == e.incarnation {
			r.entry = e
		}
	}
}

// OnDown takes the end of a session. The runs of its entry go on until VouchLimit.
func (k *Keeper) OnDown(link *marshaler.Link) {
	if e := k.entryByLink(link); e != nil {
		e.link = nil
	}
}

// OnMessage takes a message of an entry.
func (k *Keeper) OnMessage(now timer.Millis, link *marshaler.Link, m marshaler.Message) {
	e := k.entryByLink(link)
	if e == nil {
		return
	}
	e.lastReceived = now
	if k.renewalDue && k.entriesAlive(now) {
		k.renewalDue = false
		k.Look() // extends the lease at once
	}
	switch m := m.(type) {
	case *marshaler.Start:
		k.onStart(now, e, m)
	case *marshaler.Stop:
		if r := k.findRun(m.Run); r != nil && r.entry == e {
			k.stopRun(now, r, marshaler.StatusStopped, "stopped by the entry")
		}
	case *marshaler.Beat:
		e.durableInUse, e.heartbeatReceived = m.Kept, true
	case *marshaler.Claim:
		k.onClaim(e, m.Partitions)
	case *marshaler.Release:
		k.onRelease(now, e, m.Partition)
	case *marshaler.Noted:
		k.onNoted(now, m)
	case *marshaler.Subscribe:
		if e.subscribed != m.On {
			e.subscribed = m.On
			k.replayStarts(e)
			k.sendLoad(now, e)
		}
	}
}

// tellStarted reports the latest starts to an entry that begins to place: they may have come before its subscription.
func (k *Keeper) replayStarts(e *entry) {
	e.pendingStarts = nil
	if !e.subscribed {
		return
	}
	for _, s := range k.recentStarts {
		e.pendingStarts = append(e.pendingStarts, s.job)
	}
}

func (k *Keeper) entryByLink(link *marshaler.Link) *entry {
	if e := k.entries[link.Remote.Name]; e != nil && e.link == link {
		return e
	}
	return nil
}

func (k *Keeper) sendBackend(e *entry) {
	if e.link == nil || !k.announced {
		return
	}
	b := k.backend
	e.link.Send(&marshaler.Backend{ID: b.ID, Born: b.Born, Service: b.Service, Labels: b.Labels, Total: b.Total})
}

// greet repeats the latest outcomes and lists the entry's runs, once this process knows all that runs.
func (k *Keeper) syncSession(e *entry) {
	if e.link == nil || e.synced || !k.reconciled {
		return
	}
	e.synced = true
	for i := range e.outcomes {
		e.link.Send(&e.outcomes[i].outcome)
	}
	held := &marshaler.Held{}
	for _, r := range k.sortedRuns() {
		if r.entry == e {
			held.Runs = append(held.Runs, r.key)
		}
	}
	e.link.Send(held)
}

func (k *Keeper) syncSessions() {
	for _, name := range slices.Sorted(maps.Keys(k.entries)) {
		k.syncSession(k.entries[name])
	}
	k.sendCensuses()
}

// send reports an outcome to the entry that ordered the run, on its current session if it has one.
func (k *Keeper) sendOutcome(now timer.Millis, e *entry, m marshaler.Outcome) {
	e.outcomes = append(e.outcomes, sentOutcome{now, m})
	if e.link != nil && e.synced {
		e.link.Send(&m)
		if !e.subscribed { // it is a sign of life as well
			e.lastSent = now
		}
	}
}

func (k *Keeper) sendLoads(now timer.Millis) {
	for _, e := range marshaler.InOrder(k.entries) {
		k.sendLoad(now, e)
	}
}

func (k *Keeper) sendLoadsToSubscribers(now timer.Millis) {
	for _, e := range marshaler.InOrder(k.entries) {
		if e.subscribed {
			k.sendLoad(now, e)
		}
	}
}

func (k *Keeper) sendLoad(now timer.Millis, e *entry) {
	if e.link == nil {
		return
	}
	ok, _ := k.Accepting()
	e.link.Send(&marshaler.Load{
		Offset: k.offset, Accepting: ok, Free: k.free, Clock: k.Clock(now), Speed: uint64(max(k.speed, 0)),
		Seen: e.pendingStarts, Settled: e.pendingEnds,
	})
	e.pendingStarts, e.pendingEnds, e.lastSent = nil, nil, now
}
