package placer

import (
	"math/rand/v2"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	usefulFactor = 3
	lateValue    = 0.2  // of an answer after the expected response time
	deadline     = 2300 // ms
)

// unevenLoad is a load on workers of different speeds and sizes, and the mean value of an answer that is required.
type unevenLoad struct {
	name    string
	jobs    func(r *rand.Rand, at timer.Millis) []jobSpec
	workers func(w *simWorker, i int, at timer.Millis)
	want    float64
}

// run applies a load for 8 s and returns the mean value of the answers and the number of refused jobs.
func (u *unevenLoad) run(seed uint64, states bool) (value float64, refused int) {
	s := newSimulation(seed, 12)
	s.now = 2000
	s.p.firstRequestAt = 1
	var all []*simJob
	for at := timer.Millis(0); at < 12_000; at++ {
		for i, w := range s.workers {
			w.reported = max(w.reported, 0.001)
			u.workers(w, i, at)
		}
		if at < 8000 {
			for _, spec := range u.jobs(s.r, at) {
				spec.target = timer.Millis(responseFactor*float64(spec.run)*1.15) + responseOffset
				spec.useful = min(usefulFactor*spec.target, deadline)
				if !states {
					spec.useful = 0
				}
				j := &simJob{jobSpec: spec, arrivedAt: s.now}
				s.jobs[spec.id] = j
				all = append(all, j)
				s.request(j, j.tasks)
			}
		}
		s.advance()
	}
	for _, j := range all {
		took := j.endedAt - j.arrivedAt
		switch {
		case j.endedAt == 0 || took > min(usefulFactor*j.target, deadline):
		case took <= j.target:
			value++
		default:
			value += lateValue
		}
	}
	return value / float64(len(all)), s.refused
}

func slowThird(from, to timer.Millis) func(w *simWorker, i int, at timer.Millis) {
	return func(w *simWorker, i int, at timer.Millis) {
		w.speed = 1
		if i%3 == 0 && at >= from && at < to {
			w.speed = 0.25
		}
	}
}

func burst(usual, high float64, from, to timer.Millis) func(r *rand.Rand, at timer.Millis) []jobSpec {
	return func(r *rand.Rand, at timer.Millis) []jobSpec {
		if at >= from && at < to {
			return mixedJobs(high)(r, at)
		}
		return mixedJobs(usual)(r, at)
	}
}

func TestUneven(t *testing.T) {
	loads := []unevenLoad{
		{"a third slow during a burst", burst(140, 350, 2000, 6000), slowThird(1000, 6000), 0},
		{"a third slow", burst(140, 140, 2000, 6000), slowThird(1000, 6000), 0},
		{"a third slow, slightly high", burst(140, 180, 2000, 6000), slowThird(1000, 6000), 0},
		{"three", burst(140, 250, 2000, 6000), func(w *simWorker, i int, _ timer.Millis) {
			w.speed, w.total.CPU = 0.7, 32_000
			if i%3 == 0 {
				w.speed, w.total.CPU = 1.7, 48_000
			}
		}, 0},
	}
	for _, u := range loads {
		for _, states := range []bool{false, true} {
			var v float64
			var rej int
			for seed := uint64(1); seed <= 5; seed++ {
				got, refused := u.run(seed, states)
				v += got / 5
				rej += refused
			}
			t.Logf("%s states %v: value %.4f refused %d", u.name, states, v, rej)
		}
	}
}
