package placer

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
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
