package runner

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// durableJobBody is the body of a durable job with two steps.
const durableJobBody = `{"Spec":"%s","Steps":[{"Count":2,"Cpu":500,"EstimateMs":3000},{"Count":1,"Cpu":500,"EstimateMs":3000,"After":[0]}]}`

func durableJobID(i int) string { return fmt.Sprintf("%016x", 0x9000+i) }

// submitDurableJob submits a durable job until it is accepted.
func (tc *testCluster) submitDurableJob(at, id, spec string) {
	tc.t.Helper()
	tc.eventually("job "+id+" is accepted", func() bool {
		status, _ := tc.call("POST", at, "/a/"+id, fmt.Sprintf(durableJobBody, spec))
		return status == http.StatusOK
	})
}

func (tc *testCluster) state(at, id string) string {
	status, body := tc.call("GET", at, "/a/"+id, "")
	return fmt.Sprintf("%d %s", status, strings.TrimSpace(body))
}

func (tc *testCluster) waitForState(id, want string) {
	tc.t.Helper()
	for _, at := range tc.entryAddresses {
		tc.eventually("state "+want+" of job "+id, func() bool { return strings.Contains(tc.state(at, id), want) })
	}
}

// checkRunOnce fails the test unless each task of a job completed exactly once.
func (tc *testCluster) checkRunOnce(id string) {
	tc.t.Helper()
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, task := range []string{".0.0.0", ".0.0.1", ".0.1.0"} {
		if got := tc.completedRuns[id+task]; got != 1 {
			tc.t.Errorf("task %s%s: got %d completed runs, want 1", id, task, got)
		}
	}
}

// TestDurableJobs submits durable jobs to entries that do not own them, and guards against entries that report different
// states.
func TestDurableJobs(t *testing.T) {
	tc := newTestCluster(t, 3, 3)
	if got := tc.state(tc.entryAddresses[0], durableJobID(0)); got != "410 {}" {
		t.Errorf("before the first durable job: got %s, want 410", got)
	}
	for i := range 12 {
		tc.submitDurableJob(tc.entryAddresses[i%3], durableJobID(i), "20")
	}
	for i := range 12 {
		tc.waitForState(durableJobID(i), "succeeded")
		tc.checkRunOnce(durableJobID(i))
	}
	tc.submitDurableJob(tc.entryAddresses[1], durableJobID(3), "20") // submitting a finished job again must not run it again
	tc.checkRunOnce(durableJobID(3))
	tc.submitDurableJob(tc.entryAddresses[0], durableJobID(20), "4000")
	for _, at := range tc.entryAddresses {
		if got := tc.state(at, durableJobID(20)); !strings.Contains(got, "running") && !strings.Contains(got, "pending") {
			t.Errorf("long job: got %s, want running or pending", got)
		}
	}
	if status, body := tc.call("DELETE", tc.entryAddresses[2], "/a/"+durableJobID(20), ""); status != http.StatusOK {
		t.Errorf("cancel: got %d %s, want 200", status, body)
	}
	tc.waitForState(durableJobID(20), "cancelled")
	tc.submitDurableJob(tc.entryAddresses[0], durableJobID(21), "0") // the fake backend server fails such a task
	tc.waitForState(durableJobID(21), "failed")
	for _, at := range tc.entryAddresses {
		if got := tc.state(at, durableJobID(22)); got != "410 {}" {
			t.Errorf("unknown job: got %s, want 410", got)
		}
		if status, body := tc.call("DELETE", at, "/a/"+durableJobID(22), ""); status != http.StatusGone {
			t.Errorf("cancel of an unknown job: got %d %s, want 410", status, body)
		}
	}
	tc.eventually("no runs", func() bool {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		for _, n := range tc.activeRuns {
			if n > 0 {
				return false
			}
		}
		return true
	})
}

// TestDurableJobHandover guards against lost durable jobs and repeated tasks when the store rebalances the partitions and an
// entry stops while jobs are running.
func TestDurableJobHandover(t *testing.T) {
	tc := newTestCluster(t, 3, 3)
	tc.submitDurableJob(tc.entryAddresses[0], durableJobID(99), "10")
	for i := range 30 {
		tc.submitDurableJob(tc.entryAddresses[i%3], durableJobID(i), "60")
		switch i {
		case 8:
			tc.store.Rebalance()
		case 14:
			tc.stopProcess["entry-0"]()
			tc.entryAddresses = tc.entryAddresses[1:]
			tc.entryAddresses = append(tc.entryAddresses, tc.entryAddresses[0])
		}
		time.Sleep(30 * time.Millisecond)
	}
	for i := range 30 {
		tc.waitForState(durableJobID(i), "succeeded")
		tc.checkRunOnce(durableJobID(i))
	}
}
