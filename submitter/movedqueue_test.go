package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

// movedSnapshot is a configuration in which the test queue has another service.
func movedSnapshot() router.Snapshot {
	queue := testQueue
	queue.Service = "other"
	return testSnapshot().WithConfiguration(2, []router.Queue{queue}, []router.Service{{Name: "svc"}, {Name: "other"}}, router.Limits{}).WithOffset(2)
}

// TestMovedQueue guards against an accepted job that stands still after the configuration has given its queue another service: it asked
// for capacity of the former one, which has no servers any more.
func TestMovedQueue(t *testing.T) {
	move := func(f *durableFixture) {
		f.core.SetSnapshot(f.now, movedSnapshot())
		for _, name := range []string{"side-a", "side-b"} { // the servers of the former service have left
			f.core.OnMessage(f.now, f.links[name], &marshaler.Backend{ID: name + "-2", Service: "other", Capacity: marshaler.Resources{CPU: 9000}})
		}
	}
	cases := []struct {
		name string
		move func(f *durableFixture)
	}{
		{"job waits for capacity", func(f *durableFixture) {
			f.core.ReleasePartition(f.now, 0, true, "test")
			f.core.AcquirePartition(f.now, marshaler.Partition{Epoch: 4, Previous: 3}, []*marshaler.JobRecord{twoStepsInStore()})
			for _, name := range []string{"side-a", "side-b"} {
				f.core.OnMessage(f.now, f.links[name], &marshaler.Load{Clock: 5, Speed: 1000})
			}
			f.advanceFull(runExpiry + 100)
			move(f)
		}},
		{"the next owner knows the change", func(f *durableFixture) {
			f.core.ReleasePartition(f.now, 0, true, "test")
			move(f)
			f.core.AcquirePartition(f.now, marshaler.Partition{Epoch: 4, Previous: 3}, []*marshaler.JobRecord{twoStepsInStore()})
		}},
	}
	for _, c := range cases {
		f := newDurableFixture(twoSteps(1))
		services := map[string]bool{}
		for _, link := range f.links {
			send := link.Send
			link.Send = func(m marshaler.Message) {
				if start, ok := m.(*marshaler.Start); ok {
					services[start.Service] = true
				}
				send(m)
			}
		}
		c.move(f)
		f.advance(runExpiry + 200)
		if len(services) != 1 || !services["other"] {
			t.Errorf("%s: got starts for services %v, want only the new one", c.name, services)
		}
	}
}

// advanceFull moves the time on while no sidecar has free capacity.
func (f *durableFixture) advanceFull(length timer.Millis) {
	for end := f.now + length; f.now < end; {
		f.now += 25
		for _, name := range []string{"side-a", "side-b"} {
			f.core.OnMessage(f.now, f.links[name], &marshaler.Load{Clock: 5, Speed: 1000})
		}
		f.core.Tick(f.now)
	}
}
