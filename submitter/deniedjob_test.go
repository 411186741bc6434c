package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestDeniedJob guards against an entry that denies an accepted job, because it takes itself for the owner of a partition that
// another entry has got meanwhile: the answer waits for a heartbeat that was sent after the request.
func TestDeniedJob(t *testing.T) {
	const heartbeat = 3 * timer.Millisecond
	cases := []struct {
		name   string
		before bool // the heartbeat that confirms the ownership was sent before the request
		event  func(f *durableFixture)
		want   AnswerKind // 0 for none
	}{
		{"no heartbeat", false, func(*durableFixture) {}, 0},
		{"confirmed", false, func(f *durableFixture) { f.core.OnHeartbeat(f.now+heartbeat, f.now) }, AnswerNotFound},
		{"confirmed by a former heartbeat", true, func(f *durableFixture) { f.core.OnHeartbeat(f.now+heartbeat, f.now) }, 0},
		{"ownership in doubt", false, func(f *durableFixture) {
			f.core.LimitOwnership(f.now, 0, f.now+1000)
			f.core.OnHeartbeat(f.now+heartbeat, f.now)
		}, 0},
		{"doubt removed", false, func(f *durableFixture) {
			f.core.LimitOwnership(f.now, 0, f.now+1000)
			f.core.OnHeartbeat(f.now+heartbeat, f.now)
			f.core.ConfirmOwnership(f.now+heartbeat, 0)
		}, AnswerNotFound},
		{"another entry has accepted the job", false, func(f *durableFixture) {
			f.core.ReleasePartition(f.now, 0, true, "test")
			record := twoStepsInStore()
			record.ID = "other"
			f.core.AcquirePartition(f.now, marshaler.Partition{Epoch: 5, Previous: 4}, []*marshaler.JobRecord{record})
			f.advance(stateWaitTimeout + 50)
		}, AnswerPending},
	}
	for _, verb := range []marshaler.Verb{marshaler.VerbState, marshaler.VerbCancel} {
		for _, c := range cases {
			f := newDurableFixture(twoSteps(1))
			requested := 0
			f.core.RequestHeartbeat = func() { requested++ }
			var got AnswerKind
			answer := func(a Answer) { got = a.Kind }
			if verb == marshaler.VerbCancel {
				f.core.Cancel(f.now, testQueue.Name, "other", answer)
			} else {
				f.core.State(f.now, testQueue.Name, "other", answer)
			}
			if got != 0 || requested != 1 {
				t.Errorf("%s: got answer %s and %d requests for a heartbeat, want none and 1", c.name, got, requested)
			}
			if !c.before {
				f.now++
			}
			c.event(f)
			want := c.want
			if verb == marshaler.VerbCancel && want == AnswerPending {
				want = AnswerCancelled
			}
			if got != want {
				t.Errorf("%s, verb %d: got answer %s, want %s", c.name, verb, got, want)
			}
		}
	}
}

// TestExpiredPartition guards against a partition that the core has released and that its process takes for owned: it would have no
// owner. It also guards against decisions on a partition after the limit of its ownership.
func TestExpiredPartition(t *testing.T) {
	f := newDurableFixture(twoSteps(1))
	var expired []uint64
	f.core.OwnershipExpired = func(number uint64) { expired = append(expired, number) }
	f.core.LimitOwnership(f.now, 0, f.now+200)
	f.core.RenewLease(f.now, f.now+200_000)
	f.advance(175)
	if len(f.core.OwnedPartitionNumbers()) != 1 || len(expired) != 0 {
		t.Errorf("before the limit: got partitions %v owned, %v expired, want 1 owned", f.core.OwnedPartitionNumbers(), expired)
	}
	f.advance(25)
	if len(f.core.OwnedPartitionNumbers()) != 0 || len(expired) != 1 {
		t.Errorf("at the limit: got partitions %v owned, %v expired, want 1 expired", f.core.OwnedPartitionNumbers(), expired)
	}
	f.core.AcquirePartition(f.now+300_000, marshaler.Partition{Epoch: 5}, nil)
	if len(expired) != 2 {
		t.Errorf("got %v expired, want one more for the acquisition after the end of the lease", expired)
	}
}
