package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestIdleSessions guards against heartbeat traffic that grows with entries times sidecars, against late detection of a
// lost sidecar with runs whose session was idle before, and against tasks that are restarted before their runs on it
// are guaranteed to have ended.
func TestIdleSessions(t *testing.T) {
	cases := []struct {
		name       string
		runs       bool         // a task is started on the sidecar at once
		idle       timer.Millis // time before the start without a message from the sidecar
		heartbeats int          // sent to the sidecar within 425 ms of the start, or within 1 s without a run
		timeout    timer.Millis // time until the session is considered lost, from the start of the task if there is one
	}{
		{"no runs", false, 0, 1, marshaler.IdleTimeout},
		{"a run", true, 0, 2, HeartbeatTimeout},
		{"a run after a silence within the idle timeout", true, 550, 2, HeartbeatTimeout},
	}
	for _, c := range cases {
		s := &Submitter{Name: "entry", Incarnation: 1, Weight: 1}
		now := timer.Millis(1000)
		s.SetSnapshot(now, testSnapshot())
		s.SetDurableInUse(now, false)
		heartbeats, restarts := 0, 0
		var lostAt, settledAt timer.Millis
		s.Report = func(e Event) {
			switch {
			case e.Kind == "sidecarLost" && e.Peer == "side":
				lostAt = now
			case e.Kind == "requeue":
				restarts++
				settledAt = now
			}
		}
		link := &marshaler.Link{Remote: marshaler.Hello{Role: marshaler.RoleSidecar, Name: "side", Incarnation: 1, Session: 1}, Close: func(error) {}}
		link.Send = func(m marshaler.Message) {
			if _, ok := m.(*marshaler.Heartbeat); ok {
				heartbeats++
			}
		}
		scheduler := &marshaler.Link{
			Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: "placing", Incarnation: 1, Weight: 9}, Close: func(error) {},
			Send: func(marshaler.Message) {},
		}
		s.OnConnect(now, scheduler)
		s.OnConnect(now, link)
		lastReceived := now
		s.OnMessage(now, link, &marshaler.Backend{ID: "i", Service: "svc", Capacity: marshaler.Resources{CPU: 9000}})
		s.OnMessage(now, link, &marshaler.Load{Accepting: true, Free: marshaler.Resources{CPU: 9000}, Clock: 5, Speed: 1000})
		advance := func(length timer.Millis) {
			for end := now + length; now < end; now += 25 {
				s.OnMessage(now, scheduler, &marshaler.Heartbeat{})
				s.Tick(now)
			}
		}
		advance(25)
		advance(c.idle)
		startedAt := now
		if c.runs {
			s.Submit(now, Job{
				ID: "job", Queue: testQueue, Deadline: 20_000, Answer: func(Answer) {},
				Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 100}},
			})
			s.OnMessage(now, scheduler, &marshaler.Grant{Job: "job", Sidecars: []string{"side"}})
		}
		heartbeats = 0
		advance(425)
		if !c.runs {
			advance(575)
		}
		if heartbeats != c.heartbeats {
			t.Errorf("%s: got %d heartbeats to the sidecar, want %d", c.name, heartbeats, c.heartbeats)
		}
		advance(3000)
		expected := lastReceived // time from which the heartbeat timeout counts
		if c.runs {
			expected = startedAt
		}
		if got := lostAt - expected; got < c.timeout || got > c.timeout+25 {
			t.Errorf("%s: got the session considered lost after %s, want %s", c.name, got, c.timeout)
		}
		if !c.runs {
			continue
		}
		// The sidecar may have received messages of the entry until its session ended.
		runsExpireAt := lostAt + 450 + 700*102/100 + 50 - startedAt
		if got := settledAt - startedAt; restarts != 1 || got < runsExpireAt {
			t.Errorf("%s: got %d tasks restarted, %s after the start, want one, not before %s", c.name, restarts, got, runsExpireAt)
		}
	}
}
