package placer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// scanAllowed is the definition of a worker that may run a task of a request, regardless of its resources and speed. It reads
// all workers.
func (f *fleet) scanAllowed(r *request, w *worker) bool {
	if !w.accepting || w.service != r.service || !w.breakerAllows(f.now) || !r.constraints.allows(w) {
		return false
	}
	avoidsAll := !slices.ContainsFunc(f.p.workersByName, func(o *worker) bool {
		return o.accepting && o.service == r.service && !slices.Contains(r.avoided, o.name)
	})
	return avoidsAll || !slices.Contains(r.avoided, w.name)
}

// scanEligible is the definition of an eligible worker.
func (f *fleet) scanEligible(r *request, w *worker) bool {
	return w.free.Contains(r.resources) && f.scanAllowed(r, w) && (!f.slow[w] || !w.busy())
}

func (f *fleet) scanScore(r *request, w *worker) float64 {
	score := w.speed / f.p.medianSpeed * r.constraints.rackFactor(w)
	if w.domain == r.domain {
		score += sameDomainBonus
	}
	return score
}

// scanFastest is the definition of selectFastest: the highest score, then the first by name.
func (f *fleet) scanFastest(r *request, filter func(*worker) bool) (best *worker) {
	for _, w := range f.p.workersByName {
		if filter(w) && f.scanEligible(r, w) && (best == nil || f.scanScore(r, w) > f.scanScore(r, best)) {
			best = w
		}
	}
	return best
}

// scanSelect is the definition of selectWorker: the fastest worker of the slowest kind that is fast enough while capacity is
// scarce and the service has several kinds, and the fastest worker otherwise.
func (f *fleet) scanSelect(r *request) (best *worker) {
	mayRun := func(w *worker) bool { return !f.slow[w] || f.p.mayProbe(f.now, r, w) }
	fastest := f.scanFastest(r, mayRun)
	kinds := map[*workerKind]bool{}
	for _, w := range f.p.workersByName {
		if w.service == r.service {
			kinds[w.kind] = true
		}
	}
	at, waited := f.p.waitedAt[r.service]
	left := r.targetEnd - f.now
	if !waited || f.now-at > scarcityWindow || r.targetEnd == 0 || left <= 0 || len(kinds) < 2 {
		return fastest
	}
	for _, w := range f.p.workersByName {
		minSpeed := normalSpeed * float64(r.estimate) / float64(left) * f.p.runTimes.Ratio(r.cost.queue, w.kind.name).High
		if !f.scanEligible(r, w) || !mayRun(w) || w.speed*r.constraints.rackFactor(w) < minSpeed {
			continue
		}
		if best == nil || f.scanUsual(w) < f.scanUsual(best) || f.scanUsual(w) == f.scanUsual(best) && f.scanScore(r, w) > f.scanScore(r, best) {
			best = w
		}
	}
	return cmp.Or(best, fastest)
}

// scanSlowest is the definition of selectSlowest.
func (f *fleet) scanSlowest(r *request, minSpeed float64, filter func(*worker) bool) (best *worker) {
	for _, w := range f.p.workersByName {
		rack := r.constraints.rack
		if w.speed < minSpeed || w.breaker.open || f.slow[w] || rack != "" && !slices.Contains(w.labels, rack) || !filter(w) || !f.scanEligible(r, w) {
			continue
		}
		local, bestLocal := w.domain == r.domain, best != nil && best.domain == r.domain
		if best == nil || w.speed < best.speed || w.speed == best.speed && local && !bestLocal {
			best = w
		}
	}
	return best
}

// scanSlots is the definition of slowSlots.
func (f *fleet) scanSlots(r *request) (slots []string) {
	var candidates []*worker
	for _, w := range f.p.workersByName {
		if w.free.Contains(r.resources) && f.slow[w] && f.scanAllowed(r, w) && f.p.endsUsefully(f.now, r, w) {
			candidates = append(candidates, w)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int {
		return cmp.Compare(b.speed*r.constraints.rackFactor(b), a.speed*r.constraints.rackFactor(a))
	})
	for _, w := range candidates {
		n := min(tasksThatFit(w.free, r.resources), r.constraints.tasksLeft(w), r.remaining-uint64(len(slots)))
		if w.breaker.open {
			n = min(n, 1)
		}
		slots = append(slots, slices.Repeat([]string{w.name}, int(n))...)
	}
	return slots
}

// scanUsual is the definition of usualSpeed.
func (f *fleet) scanUsual(w *worker) float64 {
	if usual := f.usual[w.kind]; usual > 0 {
		return usual
	}
	return f.median
}

// scanUsuals recomputes the usual speeds by scans.
func (f *fleet) scanUsuals() {
	f.median, f.usual = scanMedian(&f.p), map[*workerKind]float64{}
	speeds := map[*workerKind][]float64{}
	for _, w := range f.p.workersByName {
		if w.accepting {
			speeds[w.kind] = append(speeds[w.kind], w.speed)
		}
	}
	for k, of := range speeds {
		if slices.Sort(of); len(of) >= minKindWorkers {
			f.usual[k] = max(of[len(of)/2], 1)
		}
	}
	f.judge()
}

// judge applies the definition of a slow worker to those that accept starts and to those given.
func (f *fleet) judge(others ...*worker) {
	if f.slow == nil {
		f.slow = map[*worker]bool{}
	}
	for _, w := range f.p.workersByName {
		if f.median > 0 && (w.accepting || slices.Contains(others, w)) {
			ratio := w.speed / f.scanUsual(w)
			f.slow[w] = ratio < slowSpeedRatio || f.slow[w] && ratio < recoveredSpeedRatio
		}
	}
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
func (f *fleet) scanTally(r *request) (t tally, fits bool) {
	for _, w := range f.p.workersByName {
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
		if f.slow[w] {
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

	median float64 // when the usual speeds were last recomputed, as usual
	usual  map[*workerKind]float64
	slow   map[*worker]bool
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
		labels := []string{pick(f.r, "big", "small"), pick(f.r, "rack1", "rack2", "rack3", "rack3"), pick(f.r, "rack1", "rack4")}
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
			run := marshaler.CompletedRun{Job: pick(f.r, "x", "y", "z"), Status: status, Queue: pick(f.r, "q1", "q2"), RunTime: timer.Millis(f.r.IntN(300)), Estimate: 100}
			l.CompletedRuns = []marshaler.CompletedRun{run}
		}
		f.p.OnLoad(f.now, name, &l)
		f.judge(w)
	}
}

func (f *fleet) request() *request {
	a := marshaler.ResourceRequest{
		Service: pick(f.r, "a", "a", "a", "b", "c"), Label: pick(f.r, "", "", "", "big", "rack1", "none"), Rack: pick(f.r, "", "", "", "rack1", "rack3", "none"),
		ServerTaskLimit: pick(f.r, uint64(0), 0, 1, 2), Placed: []string{f.name(), f.name()},
	}
	for range pick(f.r, 0, 0, 1, 3, f.size) {
		a.Avoid = append(a.Avoid, f.name())
	}
	r := &request{
		key: requestKey{job: fmt.Sprint(f.r.IntN(1000))}, domain: pick(f.r, "d1", "d2", "d3", "d4"), service: a.Service, resources: f.resources(),
		avoided: a.Avoid, constraints: newConstraints(&a), cost: requestCost{queue: pick(f.r, "q1", "q2")}, remaining: f.r.Uint64N(12),
		estimate: timer.Millis(f.r.IntN(200)),
	}
	if f.r.IntN(3) > 0 {
		r.targetEnd, r.lastEnd = f.now+timer.Millis(f.r.IntN(300)-50), f.now+timer.Millis(f.r.IntN(1000)-50)
	}
	return r
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
	wantTally, wantFits := f.scanTally(r)
	gotTally := f.p.tallyOf(r.service)
	service, fits := f.p.serves(r)
	minSpeed := float64(f.r.IntN(1500))
	kind := pick(f.r, "big", "small")
	all, some := func(*worker) bool { return true }, func(w *worker) bool { return w.labels[0] == kind }
	if f.r.IntN(3) == 0 {
		f.p.setScarce(f.now, r)
	}
	for _, w := range f.p.workersByName {
		if w.accepting && f.p.isSlow(w) != f.slow[w] {
			t.Fatalf("%s at %d ms: got slow %v at speed %v, want %v", w.name, f.now, f.p.isSlow(w), w.speed, f.slow[w])
		}
	}
	var slots []string
	for _, w := range f.p.slowSlots(f.now, r) {
		slots = append(slots, w.name)
	}
	best := f.p.selectWorker(f.now, r)
	cases := []struct {
		name      string
		got, want any
	}{
		{"worker", best, f.scanSelect(r)},
		{"fastest worker", f.p.selectFastest(r, nil), f.scanFastest(r, all)},
		{"tasks on slow workers", fmt.Sprint(slots), fmt.Sprint(f.scanSlots(r))},
		{"worker that passes", f.p.selectFastest(r, some), f.scanFastest(r, some)},
		{"slowest worker", f.p.selectSlowest(r, minSpeed, nil), f.scanSlowest(r, minSpeed, all)},
		{"slowest worker that passes", f.p.selectSlowest(r, minSpeed, some), f.scanSlowest(r, minSpeed, some)},
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
					f.judge()
					if step%4 > 0 {
						continue
					}
					f.now += pick(f.r, timer.Millis(0), 1, 7, 60, 200)
					f.p.expireReservations(f.now)
					f.p.updateProbes(f.now)
					due := f.p.medianSpeed == 0 || f.now-f.p.medianSpeedAt >= medianSpeedInterval
					f.p.updateSpeeds(f.now)
					if due {
						f.scanUsuals()
					}
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
