package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestReturningCallers guards against jobs that were sent again after a broken connection, and can no longer be answered
// in time, that take resources from jobs that can.
func TestReturningCallers(t *testing.T) {
	queue := testQueue
	queue.Timeout = 1500
	cases := []struct {
		name     string
		usual    timer.Millis // deadline of a caller before; 0 for none
		usualAge timer.Millis
		timeout  timer.Millis
		deadline timer.Millis
		slack    timer.Millis // time left for a start that meets the expected response time of 380 ms
		maxWait  timer.Millis
	}{
		{"first send", 2400, 0, 1500, 2400, 133, 860},
		{"sent again, still on time", 2400, 0, 1500, 1400, 33, 560},
		{"sent again, late", 2400, 0, 1500, 1100, 0, 440},
		{"sent again, no useful answer", 2400, 0, 1500, 600, 0, 240},
		{"sent again, deadline nearly over", 2400, 0, 1500, 200, 0, 0},
		{"all callers are impatient", 0, 0, 1500, 600, 133, 240},
		{"callers have become impatient", 2400, 11_000, 1500, 600, 133, 240},
		{"queue without a time limit", 2400, 0, 0, 600, 133, 240},
	}
	for _, c := range cases {
		now := timer.Millis(1000)
		s := &Submitter{Name: "entry", Incarnation: 2, Weight: 1}
		s.SetSnapshot(now, testSnapshot())
		var got *marshaler.ResourceRequest
		placing := &marshaler.Link{
			Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: "placing", Incarnation: 1, Weight: 9}, Close: func(error) {},
			Send: func(m marshaler.Message) {
				if r, ok := m.(*marshaler.ResourceRequest); ok {
					got = r
				}
			},
		}
		s.OnConnect(now, placing)
		submit := func(id string, deadline timer.Millis) {
			q := queue
			q.Timeout = c.timeout
			s.Submit(now, Job{
				ID: id, Queue: q, Deadline: deadline, Answer: func(Answer) {},
				Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 200}},
			})
		}
		if c.usual > 0 {
			submit("usual", c.usual)
		}
		for end := now + c.usualAge; now < end; now += 100 {
			s.OnMessage(now, placing, &marshaler.Heartbeat{})
			s.Tick(now)
		}
		submit("job", c.deadline)
		if got == nil || got.Job != "job" || got.Slack != c.slack || got.MaxWait != c.maxWait {
			t.Errorf("%s: got request %+v, want slack %d, maximum wait %d", c.name, got, c.slack, c.maxWait)
		}
	}
}
