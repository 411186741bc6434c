package keeper

import (
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

var errSilent = trace.ConnectionProblem(nil, "the entry is silent")

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
		k.loseEntry(now, h.Name, e)
		e = nil
	}
	if e == nil {
		e = &entry{name: h.Name, incarnation: h.Incarnation}
		k.entries[h.Name] = e
		k.readopt(e)
	}
	if e.link != nil {
		e.link.Close(trace.ConnectionProblem(nil, "replaced by a newer session"))
	}
	e.link, e.heard, e.greeted, e.subscribed, e.beaten = link, now, false, false, false
	e.seen, e.settled = nil, nil
	k.sendBackend(e)
	k.greet(e)
	k.sendLoad(now, e)
}

// readopt lets an entry that returns after it was held for lost learn the ends of its runs that are being stopped.
func (k *Keeper) readopt(e *entry) {
	for _, r := range k.runs {
		if r.entry.name == e.name && r.entry.incarnation == e.incarnation {
			r.entry = e
		}
	}
}

// OnDown takes the end of a session. The runs of its entry go on until VouchLimit.
func (k *Keeper) OnDown(link *marshaler.Link) {
	if e := k.entryOf(link); e != nil {
		e.link = nil
	}
}

// OnMessage takes a message of an entry.
func (k *Keeper) OnMessage(now timer.Millis, link *marshaler.Link, m marshaler.Message) {
	e := k.entryOf(link)
	if e == nil {
		return
	}
	e.heard = now
	if k.lookDue && k.vouched(now) {
		k.lookDue = false
		k.Look() // extends the lease at once
	}
	switch m := m.(type) {
	case *marshaler.Start:
		k.order(now, e, m)
	case *marshaler.Stop:
		if r := k.find(m.Run); r != nil && r.entry == e {
			k.stop(now, r, marshaler.StatusStopped, "stopped by the entry")
		}
	case *marshaler.Beat:
		e.kept, e.beaten = m.Kept, true
	case *marshaler.Claim:
		k.claim(e, m.Partitions)
	case *marshaler.Release:
		k.release(now, e, m.Partition)
	case *marshaler.Noted:
		k.noted(now, m)
	case *marshaler.Subscribe:
		if e.subscribed != m.On {
			e.subscribed = m.On
			k.tellStarted(e)
			k.sendLoad(now, e)
		}
	}
}

// tellStarted reports the latest starts to an entry that begins to place: they may have come before its subscription.
func (k *Keeper) tellStarted(e *entry) {
	e.seen = nil
	if !e.subscribed {
		return
	}
	for _, s := range k.started {
		e.seen = append(e.seen, s.job)
	}
}

func (k *Keeper) entryOf(link *marshaler.Link) *entry {
	if e := k.entries[link.Remote.Name]; e != nil && e.link == link {
		return e
	}
	return nil
}

func (k *Keeper) sendBackend(e *entry) {
	if e.link == nil || !k.known {
		return
	}
	b := k.backend
	e.link.Send(&marshaler.Backend{ID: b.ID, Born: b.Born, Service: b.Service, Labels: b.Labels, Total: b.Total})
}

// greet repeats the latest outcomes and lists the entry's runs, once this process knows all that runs.
func (k *Keeper) greet(e *entry) {
	if e.link == nil || e.greeted || !k.clean {
		return
	}
	e.greeted = true
	for i := range e.outcomes {
		e.link.Send(&e.outcomes[i].m)
	}
	held := &marshaler.Held{}
	for _, r := range k.sorted() {
		if r.entry == e {
			held.Runs = append(held.Runs, r.key)
		}
	}
	e.link.Send(held)
}

func (k *Keeper) greetAll() {
	for _, name := range slices.Sorted(maps.Keys(k.entries)) {
		k.greet(k.entries[name])
	}
	k.sendCensuses()
}

// send reports an outcome to the entry that ordered the run, on its current session if it has one.
func (k *Keeper) send(now timer.Millis, e *entry, m marshaler.Outcome) {
	e.outcomes = append(e.outcomes, sentOutcome{now, m})
	if e.link != nil && e.greeted {
		e.link.Send(&m)
		if !e.subscribed { // it is a sign of life as well
			e.sent = now
		}
	}
}

func (k *Keeper) sendLoads(now timer.Millis) {
	for _, e := range marshaler.InOrder(k.entries) {
		k.sendLoad(now, e)
	}
}

func (k *Keeper) sendSubscribed(now timer.Millis) {
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
		Seen: e.seen, Settled: e.settled,
	})
	e.seen, e.settled, e.sent = nil, nil, now
}
