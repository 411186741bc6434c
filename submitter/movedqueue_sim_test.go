package submitter

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	otherService = "other"
	// configurationDelay bounds how much later one entry learns of a configuration than another.
	configurationDelay = 400
)

// moveQueue gives the queue of all jobs another service, which may have no servers, and its own one back later.
func (w *simulation) moveQueue() {
	w.queueMoved = true
	w.configure(otherService)
	w.schedule(timer.Millis(100+w.random.IntN(1200)), func() { w.configure(testQueue.Service) })
}

// configure puts a configuration with another service of the queue in force. Entries learn of it one after another.
func (w *simulation) configure(service string) {
	queue := testQueue
	queue.Service = service
	version := w.snapshot.Version + 1
	w.snapshot = w.snapshot.WithConfiguration(version, []router.Queue{queue}, []router.Service{
		{Name: testQueue.Service, EnforcesCapacity: true}, {Name: otherService, EnforcesCapacity: true},
	}, router.Limits{}).WithOffset(version)
	snapshot := w.snapshot
	for _, e := range w.entries {
		incarnation := e.incarnation
		w.schedule(timer.Millis(1+w.random.IntN(configurationDelay)), func() {
			w.runOn(&e.process, func() bool { return e.incarnation == incarnation && e.core.Snapshot().Version < version }, func() {
				e.core.SetSnapshot(w.now, snapshot)
				e.core.Flush(w.now)
			})
		})
	}
}

// queue returns the queue of the jobs as an entry's configuration has it.
func (e *fakeEntry) queue() router.Queue {
	snapshot := e.core.Snapshot()
	return snapshot.Queues()[0]
}

// repeatSubmission lets the submission of some accepted jobs arrive again seconds later, at any entry. It remains one job.
func (w *simulation) repeatSubmission(id string, steps []marshaler.Step) {
	if w.repeats.IntN(8) > 0 {
		return
	}
	e := w.entries[w.repeats.IntN(len(w.entries))]
	w.schedule(timer.Millis(1000+w.repeats.IntN(3000)), func() {
		incarnation := e.incarnation
		w.runOn(&e.process, func() bool { return e.incarnation == incarnation }, func() {
			e.core.Submit(w.now, Job{ID: id, Kind: Kind{Durable: true}, Queue: e.queue(), Steps: steps, Deadline: 2000, Answer: func(Answer) {}})
			e.core.Flush(w.now)
		})
	})
}
