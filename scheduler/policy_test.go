package scheduler_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// The benchmark runs the scheduler in virtual time (microseconds) against small fakes of sidecars and compares it with
// simple policies on the same trace of jobs. Delays, slots and run times are those of docs/design.md, section 2.

const (
	sidecars   = 11
	slots      = 8
	entries    = 3
	callerHop  = 1000 // one way between caller and entry
	sameDomain = 100  // one way within a failure domain
	traceSpan  = 240_000_000
)

type (
	deployment struct {
		name    string
		domains int
		oneWay  int64
	}

	fault struct {
		load      float64
		failing   bool // sidecar 0 fails every task after 1 ms
		straggler bool // sidecar 1 runs at a tenth of the speed
		declared  bool // declared run times are wrong by ten times, either way
		cancel    bool // 30% of the jobs in the system are cancelled at 30 s
		deadline  int64
		leave     bool // domain 0 leaves at 20 s and returns at 30 s
	}

	jobSpec struct {
		key     string
		at      int64
		entry   int
		runs    []int64
		ideal   int64
		done    int64
		left    int
		failed  bool
		refused bool
		cancels bool
	}

	event struct {
		at  int64
		seq int
		run func()
	}

	events []event

	// engine runs events in the order of virtual time.
	engine struct {
		now   int64
		seq   int
		queue events
	}

	host struct {
		domain  int
		running int
		queue   []func()
		out     bool
	}

	world struct {
		engine
		deployment deployment
		fault      fault
		random     *rand.Rand
		hosts      [sidecars]host
		jobs       []*jobSpec
		messages   int
		wasted     int
		busy       int64 // slot time used in the observed period while a domain leaves and returns
		useful     int64 // run time of tasks that ended well
	}
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (e *engine) after(delay int64, run func()) {
	e.seq++
	heap.Push(&e.queue, event{e.now + delay, e.seq, run})
}

func (e *engine) runUntil(end int64) {
	for len(e.queue) > 0 && e.queue[0].at <= end {
		x := heap.Pop(&e.queue).(event)
		e.now = x.at
		x.run()
	}
}

// trace makes Poisson arrivals with a burst of three times the rate for 1 s in every 20 s. The load is the average.
func trace(d deployment, f fault, seed uint64) []*jobSpec {
	r := rand.New(rand.NewPCG(seed, uint64(d.domains)))
	const meanTasks, burstShare = 21.5, 1.1 // (19 + 3) / 20
	meanRun := 0.0
	for range 20000 {
		meanRun += float64(runTime(r)) / 20000
	}
	rate := f.load / burstShare * sidecars * slots / (meanRun * meanTasks)
	var jobs []*jobSpec
	for at := int64(0); at < traceSpan; {
		now := rate
		if at%20_000_000 >= 10_000_000 && at%20_000_000 < 11_000_000 {
			now *= 3
		}
		at += int64(r.ExpFloat64() / now)
		j := &jobSpec{key: fmt.Sprint("job-", len(jobs)), at: at, entry: r.IntN(entries), cancels: r.Float64() < 0.3}
		n := int(math.Exp(r.Float64() * math.Log(100.5)))
		for range max(n, 1) {
			j.runs = append(j.runs, runTime(r))
		}
		j.left = len(j.runs)
		jobs = append(jobs, j)
	}
	return jobs
}

// runTime is 50 ms to 1 s, log-uniform, with one task in fifty of 2 to 5 s.
func runTime(r *rand.Rand) int64 {
	if r.IntN(50) == 0 {
		return 2_000_000 + r.Int64N(3_000_000)
	}
	return int64(50_000 * math.Exp(r.Float64()*math.Log(20)))
}

func newWorld(d deployment, f fault, seed uint64) *world {
	w := &world{deployment: d, fault: f, random: rand.New(rand.NewPCG(seed, 99)), jobs: trace(d, f, seed)}
	for i := range w.hosts {
		w.hosts[i].domain = i % d.domains
	}
	return w
}

func (w *world) delay(a, b int) int64 {
	if a == b {
		return sameDomain
	}
	return w.deployment.oneWay
}

func (w *world) entryDomain(e int) int { return e % w.deployment.domains }

// occupy runs a task on a slot of host h and calls end with its success.
func (w *world) occupy(h int, run int64, end func(ok bool)) {
	ok := true
	if w.fault.failing && h == 0 {
		run, ok = 1000, false
	}
	if w.fault.straggler && h == 1 {
		run *= 10
	}
	w.hosts[h].running++
	started := w.now
	w.after(run, func() {
		w.hosts[h].running--
		w.busy += max(0, min(w.now, 32_000_000)-max(started, 20_000_000))
		end(ok)
	})
}

// domainChange calls change when the domain leaves and returns; delay is the time until the policy knows.
func (w *world) domainChange(delay int64, change func(out bool)) {
	if !w.fault.leave {
		return
	}
	w.after(20_000_000+delay, func() { change(true) })
	w.after(30_000_000+delay, func() { change(false) })
}

// pump starts tasks that wait at host h while it has slots.
func (w *world) pump(h int) {
	for w.hosts[h].running < slots && !w.hosts[h].out && len(w.hosts[h].queue) > 0 {
		start := w.hosts[h].queue[0]
		w.hosts[h].queue = w.hosts[h].queue[1:]
		start()
	}
}

func (w *world) taskEnded(j *jobSpec, run int64, ok bool, answerDelay int64) {
	if ok {
		w.useful += run
	}
	j.failed = j.failed || !ok
	if j.left--; j.left == 0 {
		j.done = w.now + answerDelay
	}
}

// runIdeal fills in each job's response time under one queue that knows everything and pays only the network.
func runIdeal(d deployment, f fault, seed uint64, jobs []*jobSpec) int64 {
	w := newWorld(d, fault{load: f.load, leave: f.leave}, seed)
	// The ideal knows the bad worker and leaves it out.
	w.hosts[0].out, w.hosts[1].out = f.failing, f.straggler
	type item struct {
		j   *jobSpec
		run int64
	}
	var queue []item
	var place func()
	place = func() {
		for len(queue) > 0 {
			x := queue[0]
			best := -1
			for h := range w.hosts {
				if w.hosts[h].running < slots && !w.hosts[h].out && (best < 0 ||
					w.delay(w.entryDomain(x.j.entry), w.hosts[h].domain) < w.delay(w.entryDomain(x.j.entry), w.hosts[best].domain)) {
					best = h
				}
			}
			if best < 0 {
				return
			}
			queue = queue[1:]
			net := w.delay(w.entryDomain(x.j.entry), w.hosts[best].domain)
			w.occupy(best, x.run, func(bool) {
				w.taskEnded(x.j, x.run, true, 2*net+2*callerHop)
				place()
			})
		}
	}
	w.domainChange(0, func(out bool) {
		for h := range w.hosts {
			if w.hosts[h].domain == 0 {
				w.hosts[h].out = out
			}
		}
		place()
	})
	for _, j := range w.jobs {
		w.after(j.at, func() {
			for _, r := range j.runs {
				queue = append(queue, item{j, r})
			}
			place()
		})
	}
	w.runUntil(math.MaxInt64)
	for i, j := range jobs {
		j.ideal = w.jobs[i].done - w.jobs[i].at
	}
	return w.busy
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// BenchmarkPolicy reports, for each policy on the same traces, the job response time over the ideal, wasted and all
// messages per task, and the share of the ideal's work while a failure domain leaves and returns.
func BenchmarkPolicy(b *testing.B) {
	deployments := []deployment{{"lyhtyoljy", 3, 1500}, {"plumaNueva", 4, 500}}
	policies := []struct {
		name string
		run  func(w *world)
	}{
		{"random", runRandom}, {"roundRobin", runRoundRobin}, {"twoChoices", runTwoChoices},
		{"crocuslb", func(w *world) { runCredits(w, 1, 0) }},
		{"crocuslbOneExtra", func(w *world) { runCredits(w, 1, 1) }},
		{"crocuslbTwoExtra", func(w *world) { runCredits(w, 1, 2) }},
		{"crocuslbThreeOwners", func(w *world) { runCredits(w, 3, 0) }},
	}
	for _, d := range deployments {
		for _, p := range policies {
			b.Run(d.name+"/"+p.name, func(b *testing.B) {
				for range b.N {
					measurePolicy(b, d, p.run)
				}
			})
		}
	}
}

func measurePolicy(b *testing.B, d deployment, run func(w *world)) {
	var ratios []float64
	tasks, messages, wasted := 0, 0, 0
	for seed := uint64(1); seed <= 3; seed++ {
		w := newWorld(d, fault{load: 0.8}, seed)
		runIdeal(d, w.fault, seed, w.jobs)
		run(w)
		w.runUntil(math.MaxInt64)
		for _, j := range w.jobs {
			ratios = append(ratios, float64(j.done-j.at)/float64(j.ideal))
			tasks += len(j.runs)
		}
		messages += w.messages
		wasted += w.wasted
	}
	slices.Sort(ratios)
	var busy, ideal int64
	for seed := uint64(1); seed <= 3; seed++ {
		w := newWorld(d, fault{load: 0.8, leave: true}, seed)
		ideal += runIdeal(d, w.fault, seed, w.jobs)
		run(w)
		w.runUntil(math.MaxInt64)
		busy += w.busy
	}
	b.ReportMetric(quantile(ratios, 0.5), "p50-ratio")
	b.ReportMetric(quantile(ratios, 0.99), "p99-ratio")
	b.ReportMetric(quantile(ratios, 0.999), "p999-ratio")
	b.ReportMetric(float64(messages)/float64(tasks), "messages/task")
	b.ReportMetric(float64(wasted)/float64(tasks), "wasted/task")
	b.ReportMetric(float64(busy)/float64(ideal), "leave-share")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkFaults reports how the scheduler copes with one fault at a time, on the trace of Lyhtyoljy: response time
// over the ideal without the fault for jobs that ended well, the share of jobs that failed, the share refused, the share
// that missed the deadline after they were admitted, and the useful work as a share of the capacity and of the offer.
func BenchmarkFaults(b *testing.B) {
	d := deployment{"lyhtyoljy", 3, 1500}
	cases := []struct {
		name  string
		fault fault
	}{
		{"none", fault{load: 0.8}},
		{"failingWorker", fault{load: 0.8, failing: true}},
		{"straggler", fault{load: 0.8, straggler: true}},
		{"wrongRunTimes", fault{load: 0.8, declared: true}},
		{"cancelWave", fault{load: 0.8, cancel: true}},
		{"load130", fault{load: 1.3, deadline: 8_000_000}},
		{"load130wrongRunTimes", fault{load: 1.3, deadline: 8_000_000, declared: true}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				measureFault(b, d, c.fault)
			}
		})
	}
}

func measureFault(b *testing.B, d deployment, f fault) {
	w := newWorld(d, f, 1)
	runIdeal(d, f, 1, w.jobs)
	runCredits(w, 1, 0)
	w.runUntil(math.MaxInt64)
	var ratios []float64
	var offered, good int64
	failed, refused, late := 0, 0, 0
	for _, j := range w.jobs {
		var work int64
		for _, r := range j.runs {
			work += r
		}
		offered += work
		switch {
		case j.refused:
			refused++
		case j.failed:
			failed++
		case f.deadline != 0 && j.done > j.at+f.deadline:
			late++
		default:
			good += work
			ratios = append(ratios, float64(j.done-j.at)/float64(j.ideal))
		}
	}
	slices.Sort(ratios)
	jobs := float64(len(w.jobs))
	b.ReportMetric(quantile(ratios, 0.5), "p50-ratio")
	b.ReportMetric(quantile(ratios, 0.99), "p99-ratio")
	b.ReportMetric(float64(failed)/jobs, "failed-share")
	b.ReportMetric(float64(refused)/jobs, "refused-share")
	b.ReportMetric(float64(late)/jobs, "late-share")
	b.ReportMetric(float64(good)/float64(min(offered, traceSpan*sidecars*slots)), "goodput-share")
	b.ReportMetric(0, "ns/op")
}
