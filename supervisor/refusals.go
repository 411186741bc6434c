package supervisor

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// deferredRefusal is a start that was refused while another run of its task may be active. Its entry starts the task on
// another sidecar once it gets the refusal, so it is sent after the other run has ended.
type deferredRefusal struct {
	entry  *entry
	key    marshaler.RunKey
	reason string
}

// deferRefusal keeps a refusal until another run of the task has ended.
func (k *Supervisor) deferRefusal(other *run, d deferredRefusal) {
	other.refusals = append(other.refusals, d)
	k.report(Event{Kind: "refusalDeferred", Run: d.key, Entry: d.entry.name, Detail: d.reason, Value: k.free.CPU})
}

// sendRefusals sends the refusals that were deferred until run r ended.
func (k *Supervisor) sendRefusals(now timer.Millis, r *run) {
	for _, d := range r.refusals {
		k.sendOutcome(now, d.entry, marshaler.Outcome{Run: d.key, Status: marshaler.StatusRefused, Reason: d.reason})
		k.report(Event{Kind: "refuse", Run: d.key, Entry: d.entry.name, Detail: d.reason, Value: k.free.CPU})
	}
}

// isAwaitedBy reports whether a refusal for an entry is deferred until run r ends.
func (r *run) isAwaitedBy(e *entry) bool { return len(r.refusalsFor(e)) > 0 }

// refusalsFor returns the starts of an entry whose refusals are deferred until run r ends.
func (r *run) refusalsFor(e *entry) (keys []marshaler.RunKey) {
	for _, d := range r.refusals {
		if d.entry == e {
			keys = append(keys, d.key)
		}
	}
	return keys
}
