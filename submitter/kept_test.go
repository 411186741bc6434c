package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestFoundEnd guards against an entry that fails on ends that a restarted sidecar found, whatever job they belong to.
func TestFoundEnd(t *testing.T) {
	cases := []struct {
		name   string
		job    string
		status marshaler.Status
	}{
		{"restartable job in work", "job", marshaler.StatusDone}, {"its failure", "job", marshaler.StatusFailed},
		{"unknown job", "other", marshaler.StatusDone},
	}
	for _, c := range cases {
		b := newBench()
		b.s.Partitions = 1
		b.s.Renew(b.now, b.now+1000)
		b.s.Acquire(b.now, marshaler.Partition{Epoch: 3}, nil)
		b.submit(1)
		var noted []marshaler.Noted
		send := b.links["side-a"].Send
		b.links["side-a"].Send = func(m marshaler.Message) {
			if n, ok := m.(*marshaler.Noted); ok {
				noted = append(noted, *n)
			}
			send(m)
		}
		run := marshaler.RunKey{Job: c.job, Attempt: 1}
		b.s.OnMessage(b.now, b.links["side-a"], &marshaler.Census{
			Partition: marshaler.Partition{Epoch: 3}, Ends: []marshaler.Outcome{{Run: run, Status: c.status, Number: 5, Stale: true}},
		})
		if len(noted) != 1 || noted[0] != (marshaler.Noted{Number: 5, Run: run}) {
			t.Errorf("%s: got %+v, want the end noted, and not void", c.name, noted)
		}
	}
}
