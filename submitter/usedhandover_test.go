package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestUsedHandover guards against two runs of one task at once: an entry loses its lease and acquires a partition again, still
// under the same epoch, and applies the previous owner's handover once more, which does not list the runs of this entry.
func TestUsedHandover(t *testing.T) {
	record := &marshaler.JobRecord{ID: "job", Attempts: 3, Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 100}}}
	f := newDurableFixture(record)
	owned := marshaler.Partition{Epoch: 3, Previous: 2}
	f.core.ReleasePartition(f.now, 0, true, "test")
	f.core.onHandover(&marshaler.Handover{Partition: marshaler.Partition{Epoch: 2}})
	f.core.AcquirePartition(f.now, owned, []*marshaler.JobRecord{record})
	f.advance(100)
	if len(f.starts) != 1 {
		t.Fatalf("got starts %v after the handover, want one", f.starts)
	}
	f.core.ReleasePartition(f.now, 0, true, "the lease has ended")
	f.core.AcquirePartition(f.now, owned, []*marshaler.JobRecord{record})
	f.advance(100)
	if len(f.starts) != 1 {
		t.Errorf("got starts %v right after the second acquisition, want the first one only", f.starts)
	}
}
