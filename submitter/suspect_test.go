package submitter

import (
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestSuspectedEntry guards against jobs that wait for a lost placing entry until its session times out, and against
// entries that are excluded for good although they are only slow.
func TestSuspectedEntry(t *testing.T) {
	s := &Submitter{Name: "entry-c", Incarnation: 3, Weight: 1}
	now := timer.Millis(1000)
	s.SetSnapshot(now, testSnapshot())
	var requested []string
	links := map[string]*marshaler.Link{}
	for i, name := range []string{"entry-a", "entry-b"} {
		links[name] = &marshaler.Link{
			Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: name, Incarnation: uint64(i + 1), Weight: uint64(9 - i)},
			Close:  func(error) {},
			Send: func(m marshaler.Message) {
				if _, ok := m.(*marshaler.ResourceRequest); ok {
					requested = append(requested, name)
				}
			},
		}
		s.OnConnect(now, links[name])
	}
	submit := func(id string) {
		s.Submit(now, Job{
			ID: id, Queue: testQueue, Deadline: 2000, Answer: func(Answer) {},
			Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 60}},
		})
	}
	submit("one")
	advance := func(d timer.Millis, heartbeating ...string) {
		for end := now + d; now < end; now += 25 {
			for _, name := range heartbeating {
				s.OnMessage(now, links[name], &marshaler.Heartbeat{})
			}
			s.Tick(now)
		}
	}
	advance(suspectTimeout-25, "entry-b")
	submit("two")
	advance(50, "entry-b")
	submit("three")
	s.OnMessage(now, links["entry-a"], &marshaler.Heartbeat{})
	submit("four")
	want := []string{"entry-a", "entry-a", "entry-b", "entry-b", "entry-b", "entry-a"}
	if !slices.Equal(requested, want) {
		t.Errorf("got requests to %v, want one and two to entry-a, both again and three to entry-b, four to entry-a: %v", requested, want)
	}
}
