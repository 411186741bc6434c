package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/gauger"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestHandoverAfterPause guards against two runs of one task at once: a job that waited during a pause is handed over
// before the entry notices that its caller has left and sent it to another entry. The receiver starts it at once.
func TestHandoverAfterPause(t *testing.T) {
	cases := []struct {
		name  string
		pause timer.Millis
		after timer.Millis // time from the end of the pause to the submission
		want  int          // jobs handed over
	}{
		{"no pause", 25, 0, 1},
		{"right after a pause", 2400, 0, 0},
		{"some time after a pause", 2400, resumeTime + 25, 1},
	}
	for _, c := range cases {
		f := newFixture()
		f.core.Handover = true
		f.core.SetLoad(f.now, gauger.Load{Class: gauger.Overloaded})
		f.core.Tick(f.now)
		handedOver := 0
		heartbeat := &marshaler.Heartbeat{LoadClass: uint8(gauger.Normal), Offset: testSnapshot().Offset}
		connect := func(session uint64) *marshaler.Link {
			link := &marshaler.Link{
				Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: "peer", Incarnation: 2, Session: session, Weight: 400}, Close: func(error) {},
				Send: func(m marshaler.Message) {
					if _, ok := m.(*marshaler.JobHandover); ok {
						handedOver++
					}
				},
			}
			f.core.OnConnect(f.now, link)
			f.core.OnMessage(f.now, link, heartbeat)
			return link
		}
		connect(1)
		f.now += c.pause
		link := connect(2)
		for end := f.now + c.after; f.now < end; f.now += 25 {
			f.core.OnMessage(f.now, link, heartbeat)
			f.core.Tick(f.now)
		}
		f.submit(1)
		if handedOver != c.want {
			t.Errorf("%s: got %d jobs handed over, want %d", c.name, handedOver, c.want)
		}
	}
}
