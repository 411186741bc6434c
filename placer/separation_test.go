package placer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// crashFixture is a placer with eight workers of one service.
type crashFixture struct {
	Placer
	now     timer.Millis
	granted []string // workers, in the order of the grants
	refused []string // jobs
}

func newCrashFixture() *crashFixture {
	f := &crashFixture{now: 10_000}
	f.Grant = func(_ string, g marshaler.Grant) { f.granted = append(f.granted, g.Sidecars...) }
	f.Reject = func(_ string, r marshaler.Reject) { f.refused = append(f.refused, r.Job) }
	f.firstRequestAt = 1
	for i := range 8 {
		f.SetWorker(fmt.Sprint("w", i), "", &marshaler.Backend{Service: "svc", Capacity: marshaler.Resources{CPU: 4000}})
		f.report(i, 4000)
	}
	return f
}

// report reports the load of a worker.
func (f *crashFixture) report(worker int, free int64, completed ...marshaler.CompletedRun) {
	f.OnLoad(f.now, fmt.Sprint("w", worker), &marshaler.Load{Accepting: true, Free: marshaler.Resources{CPU: free}, Speed: 1000, CompletedRuns: completed})
}

func (f *crashFixture) request(job, queue string, tasks uint64, s marshaler.Suspicion) {
	f.Request(f.now, "entry", "", &marshaler.ResourceRequest{
		Job: job, Service: "svc", Queue: queue, Tasks: tasks, Resources: marshaler.Resources{CPU: 1000}, Estimate: 100, Slack: 50, MaxWait: 50,
		Started: s > marshaler.SuspicionNone, Suspicion: s,
	})
	f.Place(f.now)
}

// TestSuspectsApart guards against two suspect tasks on one worker, where a second crash would not tell which one is at fault.
func TestSuspectsApart(t *testing.T) {
	f := newCrashFixture()
	f.request("suspect", "queue", 10, marshaler.SuspicionPossible)
	f.request("ordinary", "queue", 8, marshaler.SuspicionNone)
	suspects := slices.Clone(f.granted[:8])
	slices.Sort(suspects)
	if got := len(slices.Compact(suspects)); got != 8 {
		t.Errorf("got the first 8 suspect tasks on %d workers, want 8", got)
	}
	if got := len(f.granted); got != 16 {
		t.Errorf("got %d grants, want 8 of suspect and 8 of ordinary tasks", got)
	}
}

// TestRunAlone guards against a task that must run alone and never gets a worker, because each one always has others.
func TestRunAlone(t *testing.T) {
	f := newCrashFixture()
	free := []int64{1000, 1000, 1000, 2000, 1000, 1000, 1000, 1000}
	for i := range free {
		f.report(i, free[i])
	}
	f.request("alone", "queue", 1, marshaler.SuspicionStrong)
	f.request("ordinary", "queue", 9, marshaler.SuspicionNone)
	if slices.Contains(f.granted, "w3") || len(f.granted) != 7 {
		t.Errorf("got grants on %v, want one on each worker but w3, which is kept free", f.granted)
	}
	f.granted = nil
	f.report(3, 4000)
	f.Place(f.now)
	if got := f.granted; !slices.Equal(got, []string{"w3"}) {
		t.Errorf("got grants on %v once w3 is idle, want w3", got)
	}
}
