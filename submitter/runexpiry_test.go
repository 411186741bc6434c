package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/supervisor"
	"github.com/crocuslb/crocuslb/timer"
)

// TestRunExpiry guards against a task that is started again on another sidecar while its run may be alive, because the entry
// kept it alive by messages that it sent late in a session or on a session that followed.
func TestRunExpiry(t *testing.T) {
	const (
		stopTime  = 50 * timer.Millisecond
		slowLease = supervisor.LeaseDuration * 102 / 100 // on a clock that is 2% slow
	)
	cases := []struct {
		name     string
		tick     timer.Millis // time between two ticks of the entry
		sessions int          // number of sessions that end before the sidecar has listed its runs
	}{
		{"calm", 25, 0},
		{"late ticks", 95, 0},
		{"one more session", 25, 1},
		{"sessions that follow each other", 25, 4},
		{"sessions that follow each other, late ticks", 95, 4},
	}
	for _, c := range cases {
		s := &Submitter{Name: "entry", Incarnation: 1, Weight: 1}
		now := timer.Millis(1000)
		s.SetSnapshot(now, testSnapshot())
		var lastSent, restarted timer.Millis
		s.Report = func(e Event) {
			if e.Kind == "requeue" && restarted == 0 {
				restarted = now
			}
		}
		var session uint64
		connect := func() *marshaler.Link {
			session++
			link := &marshaler.Link{
				Remote: marshaler.Hello{Role: marshaler.RoleSidecar, Name: "side", Incarnation: 1, Session: session}, Close: func(error) {},
				Send: func(m marshaler.Message) {
					switch m.(type) {
					case *marshaler.Heartbeat, *marshaler.Start:
						lastSent = now
					}
				},
			}
			s.OnConnect(now, link)
			return link
		}
		advance := func(length timer.Millis) {
			for end := now + length; now < end; now += c.tick {
				s.Tick(now)
			}
		}
		link := connect()
		s.OnMessage(now, link, &marshaler.Backend{ID: "i", Service: "svc", Capacity: marshaler.Resources{CPU: 9000}})
		s.OnMessage(now, link, &marshaler.Load{Accepting: true, Free: marshaler.Resources{CPU: 9000}, Clock: 5, Speed: 1000, Time: 1})
		s.Tick(now)
		submit := func(id string) {
			s.Submit(now, Job{
				ID: id, Queue: testQueue, Deadline: 20_000, Answer: func(Answer) {},
				Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 3000}},
			})
			s.Flush(now)
		}
		submit("first")
		advance(HeartbeatTimeout - 5)
		now = min(now, 1000+HeartbeatTimeout+c.tick-5)
		submit("second") // starts until the next tick notices the silence
		for range c.sessions {
			link = connect()
			advance(300)
			s.OnDisconnect(now, link, errConnectionCut)
		}
		advance(4000)
		// The sidecar counts the entry as alive until lastSent.
		if got, want := restarted-lastSent, supervisor.EntryTimeout+slowLease+stopTime; got < want {
			t.Errorf("%s: got a restart %s after the entry's last message, want at least %s", c.name, got, want)
		}
	}
}
