package runner

import (
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// recordOf reads the record of a durable job from the store.
func (tc *testCluster) recordOf(id string, partitions uint64) *marshaler.JobRecord {
	tc.t.Helper()
	page, err := newStore(tc.address(250, 7000), 0).ReadPartition(tc.ctx, marshaler.PartitionOf(id, partitions), 0)
	if err != nil {
		tc.t.Fatal(err)
	}
	for _, body := range page.Bodies {
		if m, err := marshaler.Decode(body); err == nil {
			if record, ok := m.(*marshaler.JobRecord); ok && record.ID == id {
				return record
			}
		}
	}
	tc.t.Fatalf("got no record of job %s in the store", id)
	return nil
}

// TestPartitionReassignedAndBack guards against an entry that goes on as the owner of a partition, with its former memory of the jobs,
// after another entry has owned the partition between two of its heartbeats. The test acts as that other entry, which accepts a job:
// all entries denied the job for ever.
func TestPartitionReassignedAndBack(t *testing.T) {
	tc := newTestCluster(t, 3, 3)
	partitions := tc.options("", "", 0).Partitions
	const jobs = 6
	for i := range jobs {
		tc.submitDurableJob(tc.entryAddresses[i%3], durableJobID(i), "20")
	}
	for i := range jobs {
		tc.waitForState(durableJobID(i), "succeeded")
	}
	record := tc.recordOf(durableJobID(0), partitions)
	record.ID = durableJobID(50)
	epoch := tc.store.ReassignAtOnce(2) + 1
	bodies := [][]byte{marshaler.Append(nil, &marshaler.OwnerRecord{Epoch: epoch}), marshaler.Append(nil, record)}
	if _, err := newStore(tc.address(250, 7000), 0).AppendPartition(t.Context(), marshaler.PartitionOf(record.ID, partitions), epoch, 1, bodies); err != nil {
		t.Fatal(err)
	}
	tc.waitForState(record.ID, "succeeded")
	tc.checkRunOnce(record.ID)
	for i := range jobs {
		if got := tc.state(tc.entryAddresses[0], durableJobID(i)); !strings.Contains(got, "succeeded") {
			t.Errorf("job %s: got %s, want succeeded", durableJobID(i), got)
		}
		tc.checkRunOnce(durableJobID(i))
	}
}
