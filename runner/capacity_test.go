package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/platform/platformtest"
)

// TestCapacityChangesInDeployment guards against starts that bring a backend server that does not guard its capacity over the one that it
// announced last, and against capacity that is not used again, or jobs that are not answered, after it has grown.
func TestCapacityChangesInDeployment(t *testing.T) {
	tc := newTestCluster(t, 2, 2)
	for _, b := range tc.backends {
		b.SetFaults(platformtest.BackendFaults{Unguarded: true})
	}
	stopCallers := tc.keepCalling(16)
	defer stopCallers()
	used := func(want int64) func() bool {
		return func() bool { return tc.backends[0].Used() >= want }
	}
	tc.eventually("all of the capacity used", used(7000))
	for _, capacity := range []int64{3000, 8000, 1000, 5000, 0, 8000} {
		tc.backends[0].SetCPU(capacity)
		time.Sleep(700 * time.Millisecond) // two announcements
		if got := tc.backends[0].Used(); got > capacity {
			t.Errorf("capacity %d: got %d used 700 ms after it changed, want no more", capacity, got)
		}
		tc.eventually(fmt.Sprintf("capacity %d used", capacity), used(max(capacity-1000, 0)))
	}
	stopCallers()
	for i, b := range tc.backends {
		if got := b.HighestUse(); got.Used > got.Capacity {
			t.Errorf("backend server %d: got a start that brought it to %d of %d, want none over its capacity", i, got.Used, got.Capacity)
		}
	}
}

// keepCalling submits jobs of two tasks from a number of callers, until the returned function is called.
func (tc *testCluster) keepCalling(callers int) (stop func()) {
	ctx, cancel := context.WithCancel(tc.ctx)
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			for ctx.Err() == nil {
				// The estimate is close to the run time, so that no server counts as slow.
				r, err := platformtest.NewJobRequest(tc.entryAddresses[i%2], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 2, "150", 150, 2500)
				if err != nil {
					tc.t.Error(err)
					return
				}
				status, answer := tc.do(r)
				if status == http.StatusServiceUnavailable {
					time.Sleep(5 * time.Millisecond)
				} else if status != http.StatusOK {
					tc.t.Errorf("got %d %s, want 200 or 503", status, answer)
				}
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}
