package conductor

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// keptBody is a kept job of two steps.
const durableJobBody = `{"Spec":"%s","Steps":[{"Count":2,"Cpu":500,"EstimateMs":3000},{"Count":1,"Cpu":500,"EstimateMs":3000,"After":[0]}]}`

func durableJobID(i int) string { return fmt.Sprintf("%016x", 0x9000+i) }

// submitKept hands a kept job in until it is accepted.
func (f *testCluster) submitDurableJob(at, id, spec string) {
	f.t.Helper()
	f.eventually("job "+id+" is accepted", func() bool {
		status, _ := f.call("POST", at, "/a/"+id, fmt.Sprintf(durableJobBody, spec))
		return status == http.StatusOK
	})
}

func (f *testCluster) state(at, id string) string {
	status, body := f.call("GET", at, "/a/"+id, "")
	return fmt.Sprintf("%d %s", status, strings.TrimSpace(body))
}

func (f *testCluster) waitForState(id, want string) {
	f.t.Helper()
	for _, at := range f.entryAddresses {
		f.eventually("state "+want+" of job "+id, func() bool { return strings.Contains(f.state(at, id), want) })
	}
}

// checkOnce guards against tasks that ran to their end more than once, or not at all.
func (f *testCluster) checkRunOnce(id string) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, task := range []string{".0.0.0", ".0.0.1", ".0.1.0"} {
		if got := f.completedRuns[id+task]; got != 1 {
			f.t.Errorf("task %s%s: got %d runs that were done, want one", id, task, got)
		}
	}
}

// TestKept serves kept jobs at entries that do not own them, and guards against states that differ between entries.
func TestKept(t *testing.T) {
	f := newTestCluster(t, 3, 3)
	if got := f.state(f.entryAddresses[0], durableJobID(0)); got != "410 {}" {
		t.Errorf("before the first kept job: got %s, want 410", got)
	}
	for i := range 12 {
		f.submitDurableJob(f.entryAddresses[i%3], durableJobID(i), "20")
	}
	for i := range 12 {
		f.waitForState(durableJobID(i), "succeeded")
		f.checkRunOnce(durableJobID(i))
	}
	f.submitDurableJob(f.entryAddresses[1], durableJobID(3), "20") // a job that has ended stays one job
	f.checkRunOnce(durableJobID(3))
	f.submitDurableJob(f.entryAddresses[0], durableJobID(20), "4000")
	for _, at := range f.entryAddresses {
		if got := f.state(at, durableJobID(20)); !strings.Contains(got, "running") && !strings.Contains(got, "pending") {
			t.Errorf("long job: got %s, want it in work", got)
		}
	}
	if status, body := f.call("DELETE", f.entryAddresses[2], "/a/"+durableJobID(20), ""); status != http.StatusOK {
		t.Errorf("cancel: got %d %s, want 200", status, body)
	}
	f.waitForState(durableJobID(20), "cancelled")
	f.submitDurableJob(f.entryAddresses[0], durableJobID(21), "0") // the double fails it
	f.waitForState(durableJobID(21), "failed")
	for _, at := range f.entryAddresses {
		if got := f.state(at, durableJobID(22)); got != "410 {}" {
			t.Errorf("unknown job: got %s, want 410", got)
		}
		if status, body := f.call("DELETE", at, "/a/"+durableJobID(22), ""); status != http.StatusGone {
			t.Errorf("cancel of an unknown job: got %d %s, want 410", status, body)
		}
	}
	f.eventually("no runs", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, n := range f.activeRuns {
			if n > 0 {
				return false
			}
		}
		return true
	})
}

// TestKeptHandover guards against kept jobs that get lost, or tasks that run again, when entries stop one after the other
// while the store deals partitions anew and is away for a while.
func TestKeptHandover(t *testing.T) {
	f := newTestCluster(t, 3, 3)
	f.submitDurableJob(f.entryAddresses[0], durableJobID(99), "10")
	for i := range 30 {
		f.submitDurableJob(f.entryAddresses[i%3], durableJobID(i), "60")
		switch i {
		case 8:
			f.store.Rebalance()
		case 14:
			f.stopProcess["entry-0"]()
			f.entryAddresses = f.entryAddresses[1:]
			f.entryAddresses = append(f.entryAddresses, f.entryAddresses[0])
		}
		time.Sleep(30 * time.Millisecond)
	}
	for i := range 30 {
		f.waitForState(durableJobID(i), "succeeded")
		f.checkRunOnce(durableJobID(i))
	}
}
