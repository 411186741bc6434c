package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestDepartureDuringPauses guards against two runs of one task at once: pauses with little time between them are each too
// short for a caller to send its job again, but not together, and the entry starts a task before it notices that the
// caller has left.
func TestDepartureDuringPauses(t *testing.T) {
	cases := []struct {
		name   string
		pauses []timer.Millis
		gap    timer.Millis // between the pauses
		want   int          // starts right after the last pause
	}{
		{"one short pause", []timer.Millis{700}, 25, 1},
		{"two short pauses", []timer.Millis{700, 700}, 25, 0},
		{"ticks that are late", []timer.Millis{200, 200, 200, 200, 200, 200}, 25, 1},
		{"two short pauses far apart", []timer.Millis{700, 700}, 600, 1},
	}
	for _, c := range cases {
		f := newFixture()
		f.core.Tick(f.now)
		f.core.Submit(f.now, Job{
			ID: "job", Queue: testQueue, Deadline: 8000, Answer: func(Answer) {},
			Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: 2000}},
		})
		f.core.Flush(f.now)
		if len(f.starts) != 1 {
			t.Fatalf("%s: got %d starts before the pauses, want 1", c.name, len(f.starts))
		}
		for n, pause := range c.pauses {
			if n > 0 {
				for end := f.now + c.gap; f.now < end; {
					f.now += 25
					f.core.Tick(f.now)
				}
			}
			f.now += pause
			f.core.Tick(f.now)
		}
		for _, name := range []string{"side-a", "side-b"} {
			f.links[name].Remote.Session++
			f.core.OnConnect(f.now, f.links[name])
			f.core.OnMessage(f.now, f.links[name], &marshaler.Backend{ID: name, Service: "svc", Capacity: marshaler.Resources{CPU: 9000}})
			f.load(name)
			f.core.OnMessage(f.now, f.links[name], &marshaler.ActiveRuns{})
		}
		f.core.Flush(f.now)
		if got := len(f.starts) - 1; got != c.want {
			t.Errorf("%s: got %d starts after the pauses, want %d", c.name, got, c.want)
		}
	}
}
