package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestPausedEntry guards against starts that an entry sends after a pause although its permission expired meanwhile: by
// a grant for a job whose deadline has passed, or on a session that its sidecar has dropped.
func TestPausedEntry(t *testing.T) {
	cases := []struct {
		name       string
		pause      timer.Millis
		reconnects bool // the sidecar opens a new session before the grant is handled
		starts     int
	}{
		{"no pause", 10, false, 1},
		{"short pause", 200, false, 1},
		{"sidecars have dropped the session", 600, false, 0},
		{"deadline has passed", 2500, false, 0},
		{"deadline has passed, new session", 2500, true, 0},
	}
	for _, c := range cases {
		s := &Submitter{Name: "entry", Incarnation: 2, Weight: 1}
		now := timer.Millis(1000)
		s.SetSnapshot(now, testSnapshot())
		starts := 0
		openSession := func(session uint64) {
			link := &marshaler.Link{
				Remote: marshaler.Hello{Role: marshaler.RoleSidecar, Name: "side", Incarnation: 1, Session: session}, Close: func(error) {},
				Send: func(m marshaler.Message) {
					if _, ok := m.(*marshaler.Start); ok {
						starts++
					}
				},
			}
			s.OnConnect(now, link)
			s.OnMessage(now, link, &marshaler.Backend{ID: "i", Service: "svc", Capacity: marshaler.Resources{CPU: 9000}})
			s.OnMessage(now, link, &marshaler.Load{Accepting: true, Free: marshaler.Resources{CPU: 9000}, Clock: 5, Speed: 1000})
		}
		scheduler := &marshaler.Link{
			Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: "placing", Incarnation: 1, Weight: 9}, Close: func(error) {},
			Send: func(marshaler.Message) {},
		}
		s.OnConnect(now, scheduler)
		openSession(1)
		s.Tick(now)
		s.Submit(now, Job{
			ID: "job", Queue: testQueue, Deadline: 2000, Answer: func(Answer) {},
			Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 100}},
		})
		now += c.pause
		if c.reconnects {
			openSession(2)
		}
		s.OnMessage(now, scheduler, &marshaler.Grant{Job: "job", Sidecars: []string{"side"}})
		s.Tick(now)
		if starts != c.starts {
			t.Errorf("%s: got %d starts, want %d", c.name, starts, c.starts)
		}
	}
}
