package conductor

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// keptBody is a kept job of two steps.
const keptBody = `{"Spec":"%s","Steps":[{"Count":2,"Cpu":500,"EstimateMs":3000},{"Count":1,"Cpu":500,"EstimateMs":3000,"After":[0]}]}`

func keptID(i int) string { return fmt.Sprintf("%016x", 0x9000+i) }

// submitKept hands a kept job in until it is accepted.
func (f *fleet) submitKept(at, id, spec string) {
	f.t.Helper()
	f.eventually("job "+id+" is accepted", func() bool {
		status, _ := f.call("POST", at, "/a/"+id, fmt.Sprintf(keptBody, spec))
		return status == http.StatusOK
	})
}

func (f *fleet) state(at, id string) string {
	status, body := f.call("GET", at, "/a/"+id, "")
	return fmt.Sprintf("%d %s", status, strings.TrimSpace(body))
}

func (f *fleet) awaitState(id, want string) {
	f.t.Helper()
	for _, at := range f.entries {
		f.eventually("state "+want+" of job "+id, func() bool { return strings.Contains(f.state(at, id), want) })
	}
}

// checkOnce guards against tasks that ran to their end more than once, or not at all.
func (f *fleet) checkOnce(id string) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, task := range []string{".0.0.0", ".0.0.1", ".0.1.0"} {
		if got := f.done[id+task]; got != 1 {
			f.t.Errorf("task %s%s: got %d runs that were done, want one", id, task, got)
		}
	}
}

// TestKept serves kept jobs at entries that do not own them, and guards against states that differ between entries.
func TestKept(t *testing.T) {
	f := newFleet(t, 3, 3)
	if got := f.state(f.entries[0], keptID(0)); got != "410 {}" {
		t.Errorf("before the first kept job: got %s, want 410", got)
	}
	for i := range 12 {
		f.submitKept(f.entries[i%3], keptID(i), "20")
	}
	for i := range 12 {
		f.awaitState(keptID(i), "succeeded")
		f.checkOnce(keptID(i))
	}
	f.submitKept(f.entries[1], keptID(3), "20") // a job that has ended stays one job
	f.checkOnce(keptID(3))
	f.submitKept(f.entries[0], keptID(20), "4000")
	for _, at := range f.entries {
		if got := f.state(at, keptID(20)); !strings.Contains(got, "running") && !strings.Contains(got, "pending") {
			t.Errorf("long job: got %s, want it in work", got)
		}
	}
	if status, body := f.call("DELETE", f.entries[2], "/a/"+keptID(20), ""); status != http.StatusOK {
		t.Errorf("cancel: got %d %s, want 200", status, body)
	}
	f.awaitState(keptID(20), "cancelled")
	f.submitKept(f.entries[0], keptID(21), "0") // the double fails it
	f.awaitState(keptID(21), "failed")
	for _, at := range f.entries {
		if got := f.state(at, keptID(22)); got != "410 {}" {
			t.Errorf("unknown job: got %s, want 410", got)
		}
		if status, body := f.call("DELETE", at, "/a/"+keptID(22), ""); status != http.StatusGone {
			t.Errorf("cancel of an unknown job: got %d %s, want 410", status, body)
		}
	}
	f.eventually("no runs", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, n := range f.running {
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
	f := newFleet(t, 3, 3)
	f.submitKept(f.entries[0], keptID(99), "10")
	for i := range 30 {
		f.submitKept(f.entries[i%3], keptID(i), "60")
		switch i {
		case 8:
			f.store.Rebalance()
		case 14:
			f.stops["entry-0"]()
			f.entries = f.entries[1:]
			f.entries = append(f.entries, f.entries[0])
		}
		time.Sleep(30 * time.Millisecond)
	}
	for i := range 30 {
		f.awaitState(keptID(i), "succeeded")
		f.checkOnce(keptID(i))
	}
}
