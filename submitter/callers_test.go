package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestUnansweredCall guards against telling a caller that its durable job did not run when an entry that received it, and
// was lost before it answered, may have stored it.
func TestUnansweredCall(t *testing.T) {
	cases := []struct {
		name   string
		lost   bool // the first owner is lost after it received the job
		answer AnswerKind
	}{
		{"the first entry answers that it does not own the job", false, AnswerNotRun},
		{"the first entry is lost, the next one answers that it does not own the job", true, AnswerAborted},
	}
	for _, c := range cases {
		s := &Submitter{Name: "entry", Incarnation: 9, Weight: 1, Partitions: 1}
		now := timer.Millis(1000)
		s.SetSnapshot(now, testSnapshot())
		s.SetDurableInUse(now, true)
		links := map[string]*marshaler.Link{}
		var calls []string
		var latest uint64
		for _, name := range []string{"owner-a", "owner-b"} {
			links[name] = &marshaler.Link{
				Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: name, Incarnation: 1}, Close: func(error) {},
				Send: func(m marshaler.Message) {
					if call, ok := m.(*marshaler.Call); ok {
						calls, latest = append(calls, name), call.Number
					}
				},
			}
			s.OnConnect(now, links[name])
		}
		own := func(name string, epoch uint64) {
			s.OnMessage(now, links[name], &marshaler.OwnedPartitions{Partitions: []marshaler.Partition{{Number: 0, Epoch: epoch}}})
		}
		own("owner-a", 1)
		var got []Answer
		s.Submit(now, Job{
			ID: "job", Kind: Kind{Durable: true}, Queue: testQueue, Deadline: 2000, Answer: func(a Answer) { got = append(got, a) },
			Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 60}},
		})
		if c.lost {
			s.OnDisconnect(now, links["owner-a"], errHeartbeatTimeout)
			own("owner-b", 2)
			s.Tick(now)
		} else {
			own("owner-a", 0)
			s.OnMessage(now, links["owner-a"], &marshaler.OwnedPartitions{})
		}
		s.OnMessage(now, links[calls[len(calls)-1]], &marshaler.Reply{Number: latest, Kind: uint8(AnswerNotOwner)})
		s.OnMessage(now, links["owner-b"], &marshaler.OwnedPartitions{})
		for range 400 {
			now += 10
			for _, link := range links {
				s.OnMessage(now, link, &marshaler.Heartbeat{DurableInUse: true})
			}
			s.Tick(now)
		}
		if len(got) != 1 || got[0].Kind != c.answer {
			t.Errorf("%s: got answers %v (calls to %v), want one of kind %s", c.name, got, calls, c.answer)
		}
	}
}
