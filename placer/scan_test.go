package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// scanEligible is the definition of an eligible worker, which reads all workers.
func scanEligible(p *Placer, now timer.Millis, r *request, w *worker) bool {
	if !w.accepting || w.service != r.service || !w.breakerAllows(now) || !r.constraints.allows(w) {
		return false
	}
	avoidsAll := !slices.ContainsFunc(p.workersByName, func(o *worker) bool {
		return o.accepting && o.service == r.service && !slices.Contains(r.avoided, o.name)
	})
	if slices.Contains(r.avoided, w.name) && !avoidsAll {
		return false
	}
	return w.speed/p.medianSpeed >= slowSpeedRatio || !w.busy()
}

// scanSelect is the definition of selectFastest: the highest score, then the first by name.
func scanSelect(p *Placer, now timer.Millis, r *request, filter func(*worker) bool) (best *worker) {
	var bestScore float64
	for _, w := range p.workersByName {
		if !filter(w) || !w.free.Contains(r.resources) || !scanEligible(p, now, r, w) {
			continue
		}
		factor := 1.0
		if r.constraints.rack != "" && !slices.Contains(w.labels, r.constraints.rack) {
			factor = remoteRackFactor
		}
		score := w.speed / p.medianSpeed * factor
		if w.domain == r.domain {
			score += sameDomainBonus
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// scanSlowest is the definition of selectSlowest.
func scanSlowest(p *Placer, now timer.Millis, r *request, minSpeed float64, filter func(*worker) bool) (best *worker) {
	for _, w := range p.workersByName {
		rack := r.constraints.rack
		if w.speed < minSpeed || w.breaker.open || w.speed/p.medianSpeed < slowSpeedRatio || rack != "" && !slices.Contains(w.labels, rack) {
			continue
		}
		if !filter(w) || !w.free.Contains(r.resources) || !scanEligible(p, now, r, w) {
			continue
		}
		local, bestLocal := w.domain == r.domain, best != nil && best.domain == r.domain
		if best == nil || w.speed < best.speed || w.speed == best.speed && local && !bestLocal {
			best = w
		}
	}
	return best
}

func scanMedian(p *Placer) float64 {
	var speeds []float64
	for _, w := range p.workersByName {
		if w.accepting {
			speeds = append(speeds, w.speed)
		}
	}
	if len(speeds) == 0 {
		return defaultSpeed
	}
	slices.Sort(speeds)
	return max(speeds[len(speeds)/2], 1)
}

// scanTally returns the sum over the workers of a service, and whether one is large enough for a request.
func scanTally(p *Placer, r *request) (t tally, fits bool) {
	for _, w := range p.workersByName {
		if w.service != r.service {
			continue
		}
		fits = fits || w.total.Contains(r.resources) && r.constraints.matchesLabel(w)
		t.workers++
		if !w.accepting {
			continue
		}
		t.accepting++
		t.freeCPU += w.free.CPU
		if w.breaker.open {
			t.open++
			continue
		}
		capacity := w.total.CPU * int64(max(w.speed, 1))
		t.capacity += capacity
		if w.speed/p.medianSpeed < slowSpeedRatio {
			t.slow++
			continue
		}
		t.usable += capacity
	}
	return t, fits
}

// fleet changes a placer's workers at random.
type fleet struct {
	p      Placer
	r      *rand.Rand
	now    timer.Millis
	size   int
	speeds []uint64 // reported speeds
}

func pick[T any](r *rand.Rand, values ...T) T { return values[r.IntN(len(values))] }

func (f *fleet) name() string { return fmt.Sprintf("w%03d", f.r.IntN(f.size)) }

func (f *fleet) resources() marshaler.Resources {
	return marshaler.Resources{CPU: int64(1000 * f.r.IntN(8)), MemoryMB: int64(f.r.IntN(4)), Accelerators: int64(max(0, f.r.IntN(12)-10))}
}

func (f *fleet) change() {
	switch name, k := f.name(), f.r.IntN(100); {
	case k < 12:
		total := marshaler.Resources{CPU: pick(f.r, int64(4000), 8000), MemoryMB: 3, Accelerators: int64(f.r.IntN(2))}
		labels := []string{pick(f.r, "big", "small"), pick(f.r, "r1", "r2", "r3", "r3"), pick(f.r, "r1", "r4")}
		f.p.SetWorker(name, pick(f.r, "d1", "d2", "d3"), &marshaler.Backend{Service: pick(f.r, "a", "a", "a", "b"), Labels: labels, Capacity: total})
	case k < 14:
		f.p.RemoveWorker(name)
	case k < 16:
		f.p.SetAccepting(name, f.r.IntN(2) == 0)
	default:
		w := f.p.workers[name]
		if w == nil {
			return
		}
		l := marshaler.Load{Accepting: f.r.IntN(10) > 0, Free: f.resources(), Speed: pick(f.r, f.speeds...)}
		if f.r.IntN(3) > 0 {
			l.Free = w.total
		}
		if len(w.reservations) > 0 && f.r.IntN(2) == 0 {
			l.HandledStarts = []string{pick(f.r, w.reservations...).job}
		}
		if f.r.IntN(4) == 0 {
			status := pick(f.r, marshaler.StatusDone, marshaler.StatusDone, marshaler.StatusFailed, marshaler.StatusStalled)
			l.CompletedRuns = []marshaler.CompletedRun{{Job: pick(f.r, "x", "y", "z"), Status: status}}
		}
		f.p.OnLoad(f.now, name, &l)
	}
}

func (f *fleet) request() *request {
	a := marshaler.ResourceRequest{
		Service: pick(f.r, "a", "a", "a", "b", "c"), Label: pick(f.r, "", "", "", "big", "r1", "none"), Rack: pick(f.r, "", "", "", "r1", "r3", "none"),
		ServerTaskLimit: pick(f.r, uint64(0), 0, 1, 2), Placed: []string{f.name(), f.name()},
	}
	for range pick(f.r, 0, 0, 1, 3, f.size) {
		a.Avoid = append(a.Avoid, f.name())
	}
	return &request{
		key: requestKey{job: fmt.Sprint(f.r.IntN(1000))}, domain: pick(f.r, "d1", "d2", "d3", "d4"), service: a.Service, resources: f.resources(),
		avoided: a.Avoid, constraints: newConstraints(&a),
	}
}

// check compares each result of the indexes with that of the scan.
func (f *fleet) check(t *testing.T, r *request) *worker {
	t.Helper()
	open := 0
	for _, w := range f.p.workersByName {
		if w.breaker.open {
			open++
		}
		for _, reservation := range w.reservations {
			if f.now-reservation.grantedAt > reservationTTL {
				t.Fatalf("got a reservation of %s that is %d ms old, want it expired", w.name, f.now-reservation.grantedAt)
			}
		}
	}
	mayOpen := (open+1)*workersPerOpenBreaker <= len(f.p.workers)
	wantTally, wantFits := scanTally(&f.p, r)
	gotTally := f.p.tallyOf(r.service)
	service, fits := f.p.serves(r)
	minSpeed := float64(f.r.IntN(1500))
	kind := pick(f.r, "big", "small")
	all, some := func(*worker) bool { return true }, func(w *worker) bool { return w.labels[0] == kind }
	best := f.p.selectWorker(r)
	cases := []struct {
		name      string
		got, want any
	}{
		{"worker", best, scanSelect(&f.p, f.now, r, all)},
		{"worker that passes", f.p.selectFastest(r, some), scanSelect(&f.p, f.now, r, some)},
		{"slowest worker", f.p.selectSlowest(r, minSpeed, nil), scanSlowest(&f.p, f.now, r, minSpeed, all)},
		{"slowest worker that passes", f.p.selectSlowest(r, minSpeed, some), scanSlowest(&f.p, f.now, r, minSpeed, some)},
		{"tally", gotTally, wantTally},
		{"served", service, wantTally.workers > 0},
		{"large enough", fits, wantFits},
		{"may open a breaker", f.p.mayOpenBreaker(), mayOpen},
	}
	for _, c := range cases {
		if c.got != c.want {
			t.Fatalf("%s at %d ms: got %+v, want %+v for %+v", c.name, f.now, c.got, c.want, r)
		}
	}
	return best
}

// TestEqualToScan guards against a choice of worker, a median or a sum that differs from that of a scan of all workers.
func TestEqualToScan(t *testing.T) {
	cases := []struct {
		name   string
		size   int
		speeds []uint64
	}{
		{"equal speeds", 12, []uint64{1000}},
		{"three kinds", 30, []uint64{700, 700, 1700}},
		{"many speeds", 60, []uint64{1000, 1001, 999, 400, 350, 300, 349, 940, 1060, 0, 1}},
		{"bonus and rack factor tie", 20, []uint64{1000, 940, 500, 440, 2000, 1880}},
		{"speeds out of range", 8, []uint64{math.MaxUint64, math.MaxUint64 - 1, 1e9, 1e9 - 1, 1e9 + 1, 1000}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				f := fleet{r: rand.New(rand.NewPCG(seed, 9)), now: 1000, size: c.size, speeds: c.speeds}
				for step := range 1500 {
					f.change()
					if step%4 > 0 {
						continue
					}
					f.now += pick(f.r, timer.Millis(0), 1, 7, 60, 200)
					f.p.expireReservations(f.now)
					f.p.updateProbes(f.now)
					due := f.p.medianSpeed == 0 || f.now-f.p.medianSpeedAt >= medianSpeedInterval
					f.p.updateMedianSpeed(f.now)
					if got, want := f.p.medianSpeed, scanMedian(&f.p); due && got != want {
						t.Fatalf("got median %v, want %v", got, want)
					}
					r := f.request()
					for range 3 {
						w := f.check(t, r)
						if w == nil {
							break
						}
						f.p.reserve(f.now, w, r)
						r.constraints.countPlaced(w.name)
					}
				}
			}
		})
	}
}
