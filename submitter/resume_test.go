package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestDepartureDuringPause guards against two runs of one task at once: after a long pause an entry starts a task before it
// notices that the caller's connection has ended, while the caller has sent the job to another entry.
func TestDepartureDuringPause(t *testing.T) {
	cases := []struct {
		name    string
		pause   timer.Millis
		departs bool // the end of the caller's connection is noticed 5 ms after the pause
		want    int  // starts after the pause
	}{
		{"caller has left", 2400, true, 0},
		{"caller waits", 2400, false, 1},
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
		openSession(1)
		s.Tick(now)
		s.Submit(now, Job{
			ID: "job", Queue: testQueue, Deadline: 8000, Answer: func(Answer) {},
			Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 2000}},
		})
		s.Flush(now)
		if starts != 1 {
			t.Fatalf("%s: got %d starts before the pause, want 1", c.name, starts)
		}
		now += c.pause
		openSession(2)
		s.OnMessage(now, s.sidecars["side"].link, &marshaler.ActiveRuns{})
		s.Flush(now)
		now += 5
		if c.departs {
			s.Abort(now, "job", "caller left")
		}
		for range 10 {
			now += 25
			s.Tick(now)
		}
		if got := starts - 1; got != c.want {
			t.Errorf("%s: got %d starts after the pause, want %d", c.name, got, c.want)
		}
	}
}
