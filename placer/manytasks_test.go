package placer

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// requestFree requests capacity for tasks that declare no resources.
func (f *crashFixture) requestFree(job string, tasks uint64) {
	f.Request(f.now, "entry", "", &marshaler.ResourceRequest{
		Job: job, Service: "svc", Queue: "queue", Tasks: tasks, Estimate: 100, Slack: 5000, MaxWait: 5000,
	})
	f.Place(f.now)
}

// TestManyTasksWithoutResources guards against jobs of very many tasks that declare no resources: thousands of starts at once keep
// the processes from their heartbeats, and leave no place for the tasks of others.
func TestManyTasksWithoutResources(t *testing.T) {
	f := newCrashFixture()
	for i := range 6 {
		f.requestFree(fmt.Sprint("large-", i), 10_000)
	}
	if got, want := len(f.granted), 8*maxReservations; got > want || got < want/2 {
		t.Fatalf("got %d grants for six large jobs, want %d at most and half of that at least", got, want)
	}
	before := len(f.granted)
	f.requestFree("small", 4)
	if got := len(f.granted) - before; got != 4 {
		t.Errorf("got %d grants for a small job beside large ones, want 4", got)
	}
	f.now += reservationTTL + 1 // the sidecars have not reported the starts
	before = len(f.granted)
	f.Place(f.now)
	if got := len(f.granted) - before; got < 4*maxReservations {
		t.Errorf("got %d grants after the reservations have expired, want at least %d", got, 4*maxReservations)
	}
}

// TestDistrustedJob guards against a job whose tasks need more than they declare: its starts take each place that becomes free on
// a worker before those of other jobs, although nearly all of them are refused.
func TestDistrustedJob(t *testing.T) {
	f := newCrashFixture()
	refused := func(job string, n int) (runs []marshaler.CompletedRun) {
		for range n {
			runs = append(runs, marshaler.CompletedRun{Job: job, Status: marshaler.StatusRefused})
		}
		return runs
	}
	grantsOf := func(job string) int {
		before := len(f.granted)
		f.requestFree(job, 1000)
		got := len(f.granted) - before
		f.Cancel("entry", job, 0)
		f.now += reservationTTL + 1
		f.Place(f.now)
		return got
	}
	f.report(0, 4000, refused("few", distrustedRefusals-1)...)
	f.report(0, 4000, refused("many", distrustedRefusals)...)
	f.report(0, 4000, append(refused("mixed", distrustedRefusals), marshaler.CompletedRun{Job: "mixed", Status: marshaler.StatusDone})...)
	cases := []struct {
		job string
		one bool // on each worker
	}{{"few", false}, {"many", true}, {"mixed", false}, {"none", false}}
	for _, c := range cases {
		if got := grantsOf(c.job); (got == 8) != c.one || got < 8 {
			t.Errorf("job %s: got %d grants on 8 workers, want one on each: %v", c.job, got, c.one)
		}
	}
	f.now += refusalTTL
	f.Place(f.now)
	if got := grantsOf("many"); got == 8 {
		t.Errorf("got %d grants %s after the last refusal, want more than one on each worker", got, refusalTTL)
	}
	for i := range 1000 {
		f.now += timer.Second
		f.report(0, 4000, refused(fmt.Sprint("job-", i), 1)...)
	}
	if got, want := len(f.refusals), int(refusalTTL/timer.Second)+1; got > want {
		t.Errorf("got %d jobs with refusals kept, want at most %d", got, want)
	}
}
