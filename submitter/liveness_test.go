package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestIdleSessions guards against heartbeats whose number grows with entries times sidecars, against a lost sidecar with
// runs that is noticed late because its session was idle before, and against tasks that are started again before their
// runs on it have surely ended.
func TestIdleSessions(t *testing.T) {
	cases := []struct {
		name  string
		runs  bool         // a task is started on the sidecar at once
		idle  timer.Millis // before that, without a sign of life
		beats int          // to the sidecar in the first second
		lost  timer.Millis // after which its session is held for lost, from the start of the task
	}{
		{"no runs", false, 0, 1, marshaler.IdleSilenceLimit},
		{"a run", true, 0, 2, SilenceLimit},
		{"a run after a silence that is allowed", true, 550, 2, SilenceLimit},
	}
	for _, c := range cases {
		s := &Submitter{Name: "entry", Incarnation: 1, Weight: 1}
		now := timer.Millis(1000)
		s.SetSnapshot(now, testSnapshot())
		s.SetKept(now, false)
		beats, restarts := 0, 0
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
			if _, ok := m.(*marshaler.Beat); ok {
				beats++
			}
		}
		placing := &marshaler.Link{
			Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: "placing", Incarnation: 1, Weight: 9}, Close: func(error) {},
			Send: func(marshaler.Message) {},
		}
		s.OnUp(now, placing)
		s.OnUp(now, link)
		heard := now
		s.OnMessage(now, link, &marshaler.Backend{ID: "i", Service: "svc", Total: marshaler.Room{CPU: 9000}})
		s.OnMessage(now, link, &marshaler.Load{Accepting: true, Free: marshaler.Room{CPU: 9000}, Clock: 5, Speed: 1000})
		step := func(length timer.Millis) {
			for end := now + length; now < end; now += 25 {
				s.OnMessage(now, placing, &marshaler.Beat{})
				s.Tick(now)
			}
		}
		step(25)
		step(c.idle)
		began := now
		if c.runs {
			s.Submit(now, Job{
				ID: "job", Queue: testQueue, Deadline: 20_000, Answer: func(Answer) {},
				Steps: []marshaler.Step{{Tasks: 1, Room: marshaler.Room{CPU: 3000}, Estimate: 100}},
			})
			s.OnMessage(now, placing, &marshaler.Grant{Job: "job", Sidecars: []string{"side"}})
		}
		beats = 0
		step(425)
		if !c.runs {
			step(575)
		}
		if beats != c.beats {
			t.Errorf("%s: got %d heartbeats to the sidecar, want %d", c.name, beats, c.beats)
		}
		step(3000)
		expected := heard // when the latest sign of life came, or was due
		if c.runs {
			expected = began
		}
		if got := lostAt - expected; got < c.lost || got > c.lost+25 {
			t.Errorf("%s: got the session held for lost after %s, want %s", c.name, got, c.lost)
		}
		if !c.runs {
			continue
		}
		// The sidecar may have heard the entry until its session ended.
		certain := lostAt + 450 + 700*102/100 + 50 - began
		if got := settledAt - began; restarts != 1 || got < certain {
			t.Errorf("%s: got %d tasks started again, %s after the start, want one not before %s", c.name, restarts, got, certain)
		}
	}
}
