package placer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestSlow guards against treating one of several speeds in a fleet as a fault, and against missing a slow worker of a
// fast kind.
func TestSlow(t *testing.T) {
	type group struct {
		label  string
		cores  int64
		speeds []uint64
	}
	cases := []struct {
		name   string
		groups []group
		want   []string // the slow workers: label and position in the group
	}{
		{"equal workers, one slow", []group{{"a", 64, []uint64{1000, 1000, 1000, 250}}}, []string{"a3"}},
		{"three kinds", []group{{"a", 64, []uint64{700, 690, 710}}, {"b", 64, []uint64{700, 720, 700}}, {"c", 96, []uint64{1700, 1750, 1650}}}, nil},
		{"one slow of each kind", []group{{"a", 64, []uint64{700, 175, 710}}, {"b", 64, []uint64{170, 720, 700}}, {"c", 96, []uint64{1700, 1750, 425}}}, []string{"a1", "b0", "c2"}},
		{"few slower ones beside a fast majority", []group{{"a", 64, []uint64{500, 510, 490}}, {"c", 64, []uint64{1700, 1700, 1700, 1700, 1700}}}, nil},
		{"a kind of two workers, one slow", []group{{"a", 64, []uint64{700, 175}}, {"b", 64, []uint64{700, 720, 700}}}, []string{"a1"}},
		{"the same label, another size", []group{{"a", 64, []uint64{700, 700, 700}}, {"a", 96, []uint64{1700, 425, 1700}}}, []string{"a4"}},
	}
	for _, c := range cases {
		p := Placer{}
		n := map[string]int{}
		for _, g := range c.groups {
			for _, speed := range g.speeds {
				name := fmt.Sprintf("%s%d", g.label, n[g.label])
				n[g.label]++
				capacity := marshaler.Resources{CPU: g.cores * 1000}
				p.SetWorker(name, "", &marshaler.Backend{Service: "svc", Labels: []string{g.label, "rack-" + name}, Capacity: capacity})
				p.OnLoad(1, name, &marshaler.Load{Accepting: true, Free: capacity, Speed: speed})
			}
		}
		p.updateSpeeds(1)
		var got []string
		for _, w := range p.workersByName {
			if p.isSlow(w) {
				got = append(got, w.name)
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v slow, want %v", c.name, got, c.want)
		}
		for name := range p.workers {
			p.RemoveWorker(name)
		}
		if len(p.kinds) != 0 {
			t.Errorf("%s: got %d kinds without workers, want 0", c.name, len(p.kinds))
		}
	}
}

// TestRecovery guards against a slow worker that counts as recovered as soon as its reported speed rises, which it does
// while the worker has no runs.
func TestRecovery(t *testing.T) {
	p := newFleet()
	w := p.workers["kind1-0"] // its usual speed is 1000
	steps := []struct {
		speed uint64
		want  bool
	}{{1000, false}, {400, false}, {340, true}, {400, true}, {790, true}, {800, false}, {400, false}}
	for i, s := range steps {
		p.OnLoad(testNow, w.name, &marshaler.Load{Accepting: true, Speed: s.speed})
		if got := p.isSlow(w); got != s.want {
			t.Errorf("step %d, speed %d: got slow %v, want %v", i, s.speed, got, s.want)
		}
	}
}
