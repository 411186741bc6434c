package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestEndFoundAfterRestart guards against an entry that mishandles ends found by a restarted sidecar, whatever job they belong to.
func TestEndFoundAfterRestart(t *testing.T) {
	cases := []struct {
		name   string
		job    string
		status marshaler.Status
	}{
		{"active restartable job", "job", marshaler.StatusDone}, {"failure of an active restartable job", "job", marshaler.StatusFailed},
		{"unknown job", "other", marshaler.StatusDone},
	}
	for _, c := range cases {
		f := newFixture()
		f.core.Partitions = 1
		f.core.RenewLease(f.now, f.now+1000)
		f.core.AcquirePartition(f.now, marshaler.Partition{Epoch: 3}, nil)
		f.submit(1)
		var acknowledged []marshaler.OutcomeAck
		send := f.links["side-a"].Send
		f.links["side-a"].Send = func(m marshaler.Message) {
			if n, ok := m.(*marshaler.OutcomeAck); ok {
				acknowledged = append(acknowledged, *n)
			}
			send(m)
		}
		run := marshaler.RunKey{Job: c.job, Attempt: 1}
		f.core.OnMessage(f.now, f.links["side-a"], &marshaler.Census{
			Partition: marshaler.Partition{Epoch: 3}, Ends: []marshaler.Outcome{{Run: run, Status: c.status, Number: 5, Stale: true}},
		})
		if len(acknowledged) != 1 || acknowledged[0] != (marshaler.OutcomeAck{Number: 5, Run: run}) {
			t.Errorf("%s: got %+v, want the end acknowledged and not void", c.name, acknowledged)
		}
	}
}
