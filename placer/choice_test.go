package placer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const testNow = timer.Millis(10_000)

// newFleet returns a placer with three workers of each of three kinds, whose speeds are 700, 1000 and 1700.
func newFleet() *Placer {
	p := &Placer{Grant: func(string, marshaler.Grant) {}, Reject: func(string, marshaler.Reject) {}}
	capacity := marshaler.Resources{CPU: 4000}
	for i, speed := range []uint64{700, 1000, 1700} {
		for n := range 3 {
			name := fmt.Sprintf("kind%d-%d", i, n)
			p.SetWorker(name, "", &marshaler.Backend{Service: "svc", Labels: []string{fmt.Sprint("kind", i)}, Capacity: capacity})
			p.OnLoad(1, name, &marshaler.Load{Accepting: true, Free: capacity, Speed: speed})
		}
	}
	p.updateSpeeds(1)
	return p
}

// TestKindByTarget guards against tasks that take a fast worker while capacity is scarce although a slower one is fast
// enough, and against tasks that miss their target on a slower one.
func TestKindByTarget(t *testing.T) {
	cases := []struct {
		name      string
		scarce    bool
		targetEnd timer.Millis // after now; 0 if not stated
		learned   float64      // ratio of the queue on all kinds; 0 if not learned
		full      string       // kind without room
		want      string
	}{
		{"capacity is not scarce", false, 500, 0, "", "kind2-0"},
		{"target not stated", true, 0, 0, "", "kind2-0"},
		{"the slowest meets the target", true, 150, 0, "", "kind0-0"},
		{"only the second meets it", true, 130, 0, "", "kind1-0"},
		{"only the fastest meets it", true, 90, 0, "", "kind2-0"},
		{"none meets it", true, 20, 0, "", "kind2-0"},
		{"the target has passed", true, -10, 0, "", "kind2-0"},
		{"the slowest has no room", true, 150, 0, "kind0", "kind1-0"},
		{"the slowest has no room, the second is too slow", true, 90, 0, "kind0", "kind2-0"},
		{"tasks run longer than stated", true, 150, 1.4, "", "kind1-0"},
		{"tasks run shorter than stated", true, 90, 0.5, "", "kind0-0"},
	}
	for _, c := range cases {
		p := newFleet()
		if c.scarce {
			p.setScarce(testNow-scarcityWindow, &request{service: "svc"})
		}
		r := &request{service: "svc", cost: requestCost{queue: "queue"}, resources: marshaler.Resources{CPU: 1000}, estimate: 100, remaining: 1}
		if c.targetEnd != 0 {
			r.targetEnd = testNow + c.targetEnd
		}
		for _, w := range p.workersByName {
			for range 20 {
				p.runTimes.Add(testNow, "queue", w.kind.name, c.learned)
			}
			if c.full != "" && w.labels[0] == c.full {
				w.free = marshaler.Resources{}
				p.updateIndex(w)
			}
		}
		if got := p.selectWorker(testNow, r); got == nil || got.name != c.want {
			t.Errorf("%s: got %+v, want %s", c.name, got, c.want)
		}
	}
}

// formerChoice is the selection before there were kinds: the fastest worker that fits, with a bonus for the domain.
func formerChoice(p *Placer, r *request) (best *worker) {
	var bestScore float64
	for _, w := range p.workersByName {
		score := w.speed / scanMedian(p)
		if w.domain == r.domain {
			score += sameDomainBonus
		}
		if w.accepting && w.free.Contains(r.resources) && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}

// TestSameChoice guards against another selection than the former one on workers of one kind, and on all workers while
// capacity is not scarce.
func TestSameChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Placer{}
		oneKind := rapid.Bool().Draw(t, "one kind")
		for i := range rapid.IntRange(1, 12).Draw(t, "workers") {
			name := fmt.Sprint("w", i)
			b := &marshaler.Backend{Service: "svc", Capacity: marshaler.Resources{CPU: 8000}}
			if !oneKind {
				b.Labels = []string{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "label")}
			}
			p.SetWorker(name, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "domain"), b)
			p.OnLoad(1, name, &marshaler.Load{
				Accepting: rapid.Bool().Draw(t, "accepting"), Free: marshaler.Resources{CPU: int64(rapid.IntRange(0, 8).Draw(t, "free")) * 1000},
				Speed: uint64(rapid.IntRange(600, 1600).Draw(t, "speed")),
			})
		}
		p.updateSpeeds(1)
		if oneKind && rapid.Bool().Draw(t, "scarce") {
			p.setScarce(testNow, &request{service: "svc"})
		}
		r := &request{
			service: "svc", domain: "x", resources: marshaler.Resources{CPU: 2000}, estimate: 100, remaining: 1,
			targetEnd: testNow + timer.Millis(rapid.IntRange(-50, 400).Draw(t, "target")), lastEnd: testNow + 500,
		}
		if got, want := p.selectWorker(testNow, r), formerChoice(&p, r); got != want {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// TestTurnsSlow guards against a worker that turns slow and still gets the tasks of a usual one after a second.
func TestTurnsSlow(t *testing.T) {
	s := newSimulation(1, 11)
	for _, w := range s.workers {
		w.reported = 1
	}
	detected := timer.Millis(0)
	for at := timer.Millis(0); at < 4000; at++ {
		if at == 2000 {
			s.workers[0].speed = 0.25
		}
		for _, spec := range mixedJobs(180)(s.r, at) {
			j := &simJob{jobSpec: spec, arrivedAt: s.now}
			s.jobs[spec.id] = j
			s.request(j, j.tasks)
		}
		s.advance()
		if detected == 0 && at >= 2000 && s.p.isSlow(s.p.workers["worker-00"]) {
			detected = at
		}
	}
	if got := detected - 2000; detected == 0 || got > timer.Second {
		t.Errorf("got detection after %d ms, want at most 1 s", got)
	}
}
