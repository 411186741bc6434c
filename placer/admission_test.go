package placer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/shedder"
	"github.com/crocuslb/crocuslb/timer"
)

type (
	// jobKind is a kind of jobs of a queue.
	jobKind struct {
		queue    string
		priority uint64
		perSec   float64 // relative to the other kinds
		tasks    int
		maxTasks int
		run      timer.Millis
		cpu      int64
	}

	// mixedLoad is a load of several kinds of jobs.
	mixedLoad struct {
		name string
		// offered returns the arriving work of a kind at a time, as a ratio to the capacity for all kinds.
		offered func(kind int, at timer.Millis) float64
		// speeds are the speeds of the workers, in turns.
		speeds []float64
		tail   float64
	}

	// mixedResult is what callers got of a load.
	mixedResult struct {
		cost, goodput, refused float64 // shares of the weighted work, the work and the jobs
		refusalWaits           []timer.Millis
		refusedBesideFree      int                       // jobs refused with cost while resources were free for one of their tasks
		served                 map[shedder.Group]float64 // share of the work that was not refused
	}
)

const (
	seeds      = 3
	floorShare = 0.7
	allKinds   = -1
)

var (
	kinds = []jobKind{
		{"wide", 0, 206, 8, 32, 60, 3400},
		{"small", 1, 600, 2, 8, 200, 3000},
		{"long", 2, 37.5, 4, 16, 900, 3000},
	}
	overloads = []mixedLoad{
		{"all kinds at 2.2", func(int, timer.Millis) float64 { return 2.2 }, []float64{1}, 0.03},
		{"burst of lowest priority", burstOf(2, 8), []float64{1}, 0.03},
		{"burst of highest priority", burstOf(0, 4), []float64{1}, 0.03},
		{"three speeds, heavy tail, at 1.6", func(int, timer.Millis) float64 { return 1.6 }, []float64{0.7, 0.7, 1.7}, 0.06},
		{"slow workers, burst of 2.5", burstOf(allKinds, 2.5), []float64{1, 1, 0.25, 1, 1, 0.25, 1, 1, 0.25, 1}, 0.03},
	}
	moderate = mixedLoad{"all kinds at 0.6", func(int, timer.Millis) float64 { return 0.6 }, []float64{1}, 0.03}
)

func burstOf(kind int, factor float64) func(int, timer.Millis) float64 {
	return func(k int, at timer.Millis) float64 {
		if (k == kind || kind == allKinds) && at > 3000 && at < 6000 {
			return 0.7 * factor
		}
		return 0.7
	}
}

// jobs returns the jobs that arrive in a millisecond at a number of workers with 32 cores each.
func (l *mixedLoad) jobs(r *rand.Rand, at timer.Millis, workers int) (jobs []jobSpec) {
	var total, speed float64
	for _, k := range kinds {
		total += k.perSec * k.meanTasks() * float64(k.run) / 1000 * float64(k.cpu)
	}
	for i := range workers {
		speed += l.speeds[i%len(l.speeds)] * 32_000
	}
	for i, k := range kinds {
		n := l.offered(i, at) * speed / total * k.perSec / 1000
		for ; n > 0; n-- {
			if r.Float64() < n {
				jobs = append(jobs, k.job(r, at, l.tail))
			}
		}
	}
	return jobs
}

// meanTasks returns the mean number of tasks: most jobs have the usual number, a tenth up to the maximum.
func (k *jobKind) meanTasks() float64 {
	return 0.9*float64(k.tasks) + 0.1*float64(k.tasks+1+k.maxTasks)/2
}

func (k *jobKind) job(r *rand.Rand, at timer.Millis, tail float64) jobSpec {
	j := jobSpec{id: fmt.Sprintf("%s-%d-%d", k.queue, at, r.Uint32()), tasks: k.tasks, queue: k.queue, priority: k.priority, cpu: k.cpu, tail: tail}
	if r.Float64() < 0.1 {
		j.tasks += 1 + r.IntN(k.maxTasks-k.tasks)
	}
	j.domain = []string{"a", "b", "c"}[r.IntN(3)]
	j.run = timer.Millis(float64(k.run) * (0.7 + 0.6*r.Float64()))
	j.estimate = timer.Millis(float64(j.run) * (0.6 + 0.8*r.Float64()))
	response := responseFactor*float64(j.estimate) + responseOffset
	j.slack = timer.Millis(slackShare * response)
	j.maxWait = max(j.slack, min(maxWait, timer.Millis(3*response-1.4*float64(j.estimate))))
	return j
}

func (j *simJob) work() float64 { return float64(j.tasks) * float64(j.cores()) * float64(j.run) }

// value returns the share of a job's value that its caller got: all within the expected response time, a fifth up to
// three times this time.
func (j *simJob) value() float64 {
	expected := timer.Millis(responseFactor*j.longest) + responseOffset
	switch {
	case j.endedAt == 0 || j.endedAt-j.arrivedAt > 3*expected:
		return 0
	case j.endedAt-j.arrivedAt > expected:
		return 0.2
	}
	return 1
}

// run simulates a load for some seconds under a policy.
func (l *mixedLoad) run(admission Admission, workers int, seconds timer.Millis, seed uint64) (result mixedResult) {
	s := newSimulation(seed, workers)
	s.p.Admission = admission
	for i, w := range s.workers {
		w.speed = l.speeds[i%len(l.speeds)]
	}
	arrivals := rand.New(rand.NewPCG(seed, 3))
	var all []*simJob
	reject := s.p.Reject
	s.p.Reject = func(entry string, m marshaler.Reject) {
		j := s.jobs[m.Job]
		if s.p.Admission == AdmissionCost && s.p.selectWorker(s.now, newRequest(s.now, entry, j.domain, s.message(j, j.tasks))) != nil {
			result.refusedBesideFree++
		}
		reject(entry, m)
	}
	for at := timer.Millis(0); at < (seconds+4)*timer.Second; at++ {
		if at < seconds*timer.Second {
			for _, spec := range l.jobs(arrivals, at, workers) {
				j := &simJob{jobSpec: spec, arrivedAt: s.now}
				s.jobs[j.id] = j
				all = append(all, j)
				s.request(j, j.tasks)
			}
		}
		s.advance()
	}
	var weighted, work, inTime float64
	served, arrived := map[shedder.Group]float64{}, map[shedder.Group]float64{}
	for _, j := range all {
		w := shedder.Weight(j.priority) * j.work()
		weighted, work = weighted+w, work+j.work()
		result.cost += w * (1 - j.value())
		if j.value() == 1 {
			inTime += j.work()
		}
		kind := &kinds[slices.IndexFunc(kinds, func(k jobKind) bool { return k.queue == j.queue })]
		size := shedder.SizeOf(float64(j.tasks)*float64(j.estimate), kind.meanTasks()*float64(kind.run))
		groups := shedder.Groups(j.queue, j.domain, size)
		for _, g := range append(groups[:], shedder.Group{}) {
			arrived[g] += j.work()
			if s.jobs[j.id] != nil {
				served[g] += j.work()
			}
		}
	}
	for g := range served {
		served[g] /= arrived[g]
	}
	result.cost /= weighted
	result.goodput, result.refused, result.refusalWaits, result.served = inTime/work, float64(s.refused)/float64(len(all)), s.refusalWaits, served
	slices.Sort(result.refusalWaits)
	return result
}

func (r *mixedResult) refusalWait(quantile float64) timer.Millis {
	if len(r.refusalWaits) == 0 {
		return 0
	}
	return r.refusalWaits[int(quantile*float64(len(r.refusalWaits)-1))]
}

// mean returns the mean result of several seeds.
func (l *mixedLoad) mean(admission Admission, workers int, seconds timer.Millis) mixedResult {
	total := mixedResult{served: map[shedder.Group]float64{}}
	for seed := range uint64(seeds) {
		r := l.run(admission, workers, seconds, seed)
		total.cost, total.goodput, total.refused = total.cost+r.cost/seeds, total.goodput+r.goodput/seeds, total.refused+r.refused/seeds
		total.refusalWaits = append(total.refusalWaits, r.refusalWaits...)
		for g, share := range r.served {
			total.served[g] += share / seeds
		}
	}
	slices.Sort(total.refusalWaits)
	return total
}

// BenchmarkAdmission measures what callers get of four overloads and of a moderate load under each policy.
func BenchmarkAdmission(b *testing.B) {
	for _, workers := range []int{11, 72} {
		for _, l := range append(overloads, moderate) {
			for _, admission := range []Admission{AdmissionDeadline, AdmissionCost} {
				b.Run(fmt.Sprintf("%s/%d workers/%s", l.name, workers, admission), func(b *testing.B) {
					var r mixedResult
					for b.Loop() {
						r = l.mean(admission, workers, 9)
					}
					b.ReportMetric(r.cost, "cost")
					b.ReportMetric(r.goodput, "goodput")
					b.ReportMetric(r.refused, "refused")
					b.ReportMetric(float64(r.refusalWait(0.5)), "medianRefusalMs")
					b.ReportMetric(float64(r.refusalWait(0.9)), "p90RefusalMs")
					for _, k := range kinds {
						b.ReportMetric(r.served[shedder.Group{Queue: k.queue}], "served-"+k.queue)
					}
				})
			}
		}
	}
}

// TestOverload guards against refusals while resources are free, against a cost to
// callers near that of the former policy, and against callers that wait for their refusal.
func TestOverload(t *testing.T) {
	for _, l := range overloads {
		deadline, cost := l.run(AdmissionDeadline, 40, 6, 1), l.run(AdmissionCost, 40, 6, 1)
		if want := 0.85 * deadline.cost; cost.cost > want {
			t.Errorf("%s: got a cost of %.3f, want at most %.3f", l.name, cost.cost, want)
		}
		if got := cost.refusalWait(0.5); got > 40 {
			t.Errorf("%s: got a median of %s until a refusal, want at most 40 ms", l.name, got)
		}
		if cost.refusedBesideFree > 0 {
			t.Errorf("%s: got %d refusals while resources were free, want 0", l.name, cost.refusedBesideFree)
		}
	}
}

// TestFloor guards against groups of requests that starve during a long overload. Groups by size are small, so their shares
// vary more.
func TestFloor(t *testing.T) {
	for _, l := range []mixedLoad{overloads[0], overloads[3]} {
		for seed := range uint64(2) {
			served := l.run(AdmissionCost, 30, 12, seed).served
			for g, share := range served {
				tolerance := 0.05
				if g.Size > 0 {
					tolerance = 0.12
				}
				if want := (floorShare - tolerance) * served[shedder.Group{}]; share < want {
					t.Errorf("%s: seed %d: got a share of %.3f for %+v, want at least %.3f", l.name, seed, share, g, want)
				}
			}
		}
	}
}

// TestSufficientCapacity guards against decisions that differ from the former policy where capacity suffices.
func TestSufficientCapacity(t *testing.T) {
	var grants [2][]string
	for _, admission := range []Admission{AdmissionDeadline, AdmissionCost} {
		s := newSimulation(1, 40)
		s.p.Admission = admission
		grant := s.p.Grant
		s.p.Grant = func(entry string, g marshaler.Grant) {
			grants[admission] = append(grants[admission], fmt.Sprint(s.now, g))
			grant(entry, g)
		}
		for at := timer.Millis(0); at < 6*timer.Second; at++ {
			for _, spec := range moderate.jobs(s.r, at, 40) {
				j := &simJob{jobSpec: spec, arrivedAt: s.now}
				s.jobs[j.id] = j
				s.request(j, j.tasks)
			}
			s.advance()
		}
		if s.refused > 0 {
			t.Errorf("%s: got %d refusals, want 0", admission, s.refused)
		}
	}
	if len(grants[0]) < 1000 || !slices.Equal(grants[AdmissionDeadline], grants[AdmissionCost]) {
		t.Errorf("got %d grants, want those of the former policy, %d", len(grants[AdmissionCost]), len(grants[AdmissionDeadline]))
	}
}

// TestRefusedAtArrival guards against queueing a request with much slack that arrivals with less slack will overtake, and
// against forecasts of a new placing entry before it has observed arrivals.
func TestRefusedAtArrival(t *testing.T) {
	l := mixedLoad{offered: func(kind int, _ timer.Millis) float64 { return []float64{6, 0, 0}[kind] }, speeds: []float64{1}}
	cases := []struct {
		name   string
		forget bool
		want   int // at least
	}{{"overload", false, 19}, {"new placing entry", true, 0}}
	for _, c := range cases {
		s := newSimulation(1, 40)
		s.p.Admission = AdmissionCost
		refusedAtOnce := 0
		for at := timer.Millis(0); at < 3000; at++ {
			for _, spec := range l.jobs(s.r, at, 40) {
				s.jobs[spec.id] = &simJob{jobSpec: spec, arrivedAt: s.now}
				s.request(s.jobs[spec.id], spec.tasks)
			}
			s.advance()
		}
		if c.forget {
			s.p.loads = nil
		}
		for i := range 20 {
			j := &simJob{jobSpec: kinds[2].job(s.r, timer.Millis(i), 0), arrivedAt: s.now}
			s.jobs[j.id] = j
			if l := s.p.loads["svc"]; l != nil {
				l.passAt = 0 // a pass is possible at once
				l.floor = shedder.Floor{}
			}
			s.request(j, 1)
			if s.jobs[j.id] == nil {
				refusedAtOnce++
			}
		}
		if refusedAtOnce < c.want || c.want == 0 && refusedAtOnce > 0 {
			t.Errorf("%s: got %d of 20 requests refused at once, want %d", c.name, refusedAtOnce, c.want)
		}
	}
}

// TestExplain guards against an explanation that differs from the decision about a request, or that changes it.
func TestExplain(t *testing.T) {
	got := map[verdict]int{}
	for seed := range uint64(3) {
		s := newSimulation(seed, 11)
		s.p.Admission = AdmissionCost
		l := overloads[0]
		for at := timer.Millis(0); at < 4*timer.Second; at++ {
			for _, spec := range l.jobs(s.r, at, 11) {
				j := &simJob{jobSpec: spec, arrivedAt: s.now}
				s.jobs[j.id] = j
				message := s.message(j, j.tasks)
				a := s.p.explain(s.now, newRequest(s.now, "entry", j.domain, message))
				again := s.p.explain(s.now, newRequest(s.now, "entry", j.domain, message))
				if load := s.p.loads["svc"]; load != nil {
					load.passAt = 0 // a pass is possible at once
				}
				s.p.Request(s.now, "entry", j.domain, message)
				got[a.verdict]++
				r := s.p.requests[requestKey{"entry", j.id, 0}]
				if isRefused := s.jobs[j.id] == nil; isRefused != (a.verdict == refused) || a != again || r != nil && r.late != (a.verdict == delayed) {
					t.Fatalf("seed %d at %s: got %+v and request %+v, explained as %+v", seed, at, again, r, a)
				}
			}
			s.advance()
		}
	}
	if got[admitted] < 100 || got[refused] < 100 {
		t.Errorf("got %v verdicts, want at least 100 admitted and refused", got)
	}
}

// TestCanceledByRefusal guards against requests that stay queued although the refusal of another step of their job has
// canceled them.
func TestCanceledByRefusal(t *testing.T) {
	for _, admission := range []Admission{AdmissionDeadline, AdmissionCost} {
		p := Placer{Admission: admission, Grant: func(string, marshaler.Grant) {}}
		p.Reject = func(entry string, r marshaler.Reject) {
			for step := range uint64(2) {
				p.Cancel(entry, r.Job, step)
			}
		}
		capacity := marshaler.Resources{CPU: 1000}
		p.SetWorker("a", "", &marshaler.Backend{Service: "svc", Capacity: capacity})
		p.OnLoad(1000, "a", &marshaler.Load{Accepting: true, Speed: 1000})
		for step, wait := range []timer.Millis{20, 900} {
			p.Request(1000, "entry", "", &marshaler.ResourceRequest{Job: "a", Service: "svc", Step: uint64(step), Tasks: 1, Resources: capacity, Estimate: 20, Slack: 20, MaxWait: wait})
		}
		p.Place(1020)
		if got := p.QueueLen(); got != 0 {
			t.Errorf("%s: got %d queued requests, want 0", admission, got)
		}
	}
}
