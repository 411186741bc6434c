package placer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// capacityFixture is a Placer with workers that report a use and a capacity.
type capacityFixture struct {
	p        Placer
	now      timer.Millis
	granted  []string // jobs
	rejected []string
	reasons  []string
}

func newCapacityFixture(admission Admission) *capacityFixture {
	f := &capacityFixture{now: 1000}
	f.p = Placer{
		Admission: admission,
		Grant: func(_ string, g marshaler.Grant) {
			for range g.Sidecars {
				f.granted = append(f.granted, g.Job)
			}
		},
		Reject: func(_ string, r marshaler.Reject) {
			f.rejected, f.reasons = append(f.rejected, r.Job), append(f.reasons, r.Reason)
		},
	}
	f.report("a", 8000, 0)
	f.request("first", 1000, false) // ends the time in which no request is refused for lack of workers
	f.now += startupGrace
	f.p.Place(f.now)
	f.report("a", 8000, 0)
	f.granted = nil
	return f
}

// report sets the capacity of a worker and the CPU that its runs use.
func (f *capacityFixture) report(name string, capacity, used int64) {
	f.p.SetWorker(name, "north", &marshaler.Backend{ID: name, Service: "svc", Capacity: marshaler.Resources{CPU: capacity}})
	f.p.OnLoad(f.now, name, &marshaler.Load{Accepting: true, Free: marshaler.Resources{CPU: capacity - used}, Speed: 1000, HandledStarts: f.granted})
}

func (f *capacityFixture) request(job string, cpu int64, started bool) {
	f.p.Request(f.now, "entry", "north", &marshaler.ResourceRequest{
		Job: job, Service: "svc", Queue: "q", Tasks: 1, Resources: marshaler.Resources{CPU: cpu}, Estimate: 1000, Slack: 500, MaxWait: 2000, Started: started,
	})
	f.p.Place(f.now)
}

// TestShrunkWorker guards against grants on a worker whose runs exceed its capacity since that has shrunk, against
// requests that wait for a worker that is large enough when none is any more, and against capacity that is not used again.
func TestShrunkWorker(t *testing.T) {
	for _, admission := range []Admission{AdmissionDeadline, AdmissionCost} {
		f := newCapacityFixture(admission)
		f.report("a", 8000, 6000)
		f.request("large", 4000, false)
		f.report("a", 3000, 6000)
		f.p.Place(f.now)
		if want := []string{"large"}; !slices.Equal(f.rejected, want) || f.reasons[0] != "no worker is large enough" {
			t.Errorf("%s, queued: got %v refused (%v), want %v at once because no worker is large enough", admission, f.rejected, f.reasons, want)
		}
		f.request("large again", 4000, false)
		if want := []string{"large", "large again"}; !slices.Equal(f.rejected, want) {
			t.Errorf("%s, new: got %v refused, want %v", admission, f.rejected, want)
		}
		f.request("small", 2000, false)
		f.now += 100
		f.report("a", 3000, 2000) // runs have ended
		f.p.Place(f.now)
		if len(f.granted) != 0 {
			t.Errorf("%s: got %v granted without free capacity, want none", admission, f.granted)
		}
		f.now += 100
		f.report("a", 3000, 1000)
		f.p.Place(f.now)
		if want := []string{"small"}; !slices.Equal(f.granted, want) {
			t.Errorf("%s: got %v granted once there is free capacity, want %v", admission, f.granted, want)
		}
		f.report("a", 8000, 3000)
		f.request("large at last", 4000, false)
		if want := []string{"small", "large at last"}; !slices.Equal(f.granted, want) || len(f.rejected) != 2 {
			t.Errorf("%s: got %v granted and %v refused after it grew, want %v granted", admission, f.granted, f.rejected, want)
		}
	}
}

// TestUnservableStarted guards against tasks of started jobs that no worker is large enough for any more, and that keep
// the requests behind them from free capacity.
func TestUnservableStarted(t *testing.T) {
	const jobs = 20
	for _, admission := range []Admission{AdmissionDeadline, AdmissionCost} {
		f := newCapacityFixture(admission)
		f.report("a", 8000, 8000)
		for i := range jobs {
			f.request(fmt.Sprintf("started %d", i), 6000, true)
		}
		f.report("a", 3000, 0)
		f.request("small", 1000, false)
		if want := []string{"small"}; !slices.Equal(f.granted, want) || len(f.rejected) != 0 {
			t.Errorf("%s: got %v granted and %v refused, want %v granted", admission, f.granted, f.rejected, want)
		}
		f.granted = []string{"small"}
		for range jobs {
			f.now += 10
			f.report("a", 8000, 0)
			f.p.Place(f.now)
		}
		if got, want := len(f.granted), 1+jobs; got != want || len(f.rejected) != 0 {
			t.Errorf("%s: got %d granted and %v refused after it grew, want %d granted", admission, got, f.rejected, want)
		}
	}
}
