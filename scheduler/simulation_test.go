package scheduler_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// The benchmarks run the scheduler in a discrete-event simulation with simulated sidecars and compare it with baseline
// policies on the same trace of jobs. Times are in microseconds. Delays, slots and run times are those of docs/design.md,
// section 2.

const (
	sidecars        = 11
	slots           = 8
	entries         = 3
	callerDelay     = 1000 // one way between caller and entry
	sameDomainDelay = 100  // one way within a failure domain
	traceSpan       = 240_000_000
)

type (
	deployment struct {
		name             string
		domains          int
		crossDomainDelay int64
	}

	fault struct {
		load        float64
		failing     bool // host 0 fails every task after 1 ms
		straggler   bool // host 1 runs tasks ten times slower
		misdeclared bool // declared run times are a tenth or ten times the real ones
		cancel      bool // 30% of the unfinished jobs are canceled at 30 s
		deadline    int64
		withdraw    bool // domain 0 is withdrawn at 20 s and returns at 30 s
	}

	jobSpec struct {
		key         string
		arrival     int64
		entry       int
		runs        []int64
		ideal       int64
		completedAt int64
		remaining   int
		failed      bool
		refused     bool
		toCancel    bool
	}

	event struct {
		at  int64
		seq int
		run func()
	}

	events []event

	// engine is a discrete-event simulator. Events at the same time run in the order in which they were scheduled.
	engine struct {
		now   int64
		seq   int
		queue events
	}

	host struct {
		domain    int
		running   int
		queue     []func()
		withdrawn bool
	}

	simulation struct {
		engine
		deployment deployment
		fault      fault
		random     *rand.Rand
		hosts      [sidecars]host
		jobs       []*jobSpec
		messages   int
		wasted     int
		busyTime   int64 // slot time used from 20 s to 32 s, around the withdrawal and return of domain 0
		usefulWork int64 // run time of successful tasks
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

// trace generates jobs with Poisson arrivals. In each 20 s, there is a burst of three times the rate for 1 s. The load is
// the average including bursts.
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
		j := &jobSpec{key: fmt.Sprint("job-", len(jobs)), arrival: at, entry: r.IntN(entries), toCancel: r.Float64() < 0.3}
		n := int(math.Exp(r.Float64() * math.Log(100.5)))
		for range max(n, 1) {
			j.runs = append(j.runs, runTime(r))
		}
		j.remaining = len(j.runs)
		jobs = append(jobs, j)
	}
	return jobs
}

// runTime draws a run time: log-uniform from 50 ms to 1 s, and for one task in fifty uniform from 2 s to 5 s.
func runTime(r *rand.Rand) int64 {
	if r.IntN(50) == 0 {
		return 2_000_000 + r.Int64N(3_000_000)
	}
	return int64(50_000 * math.Exp(r.Float64()*math.Log(20)))
}

func newSimulation(d deployment, f fault, seed uint64) *simulation {
	sim := &simulation{deployment: d, fault: f, random: rand.New(rand.NewPCG(seed, 99)), jobs: trace(d, f, seed)}
	for i := range sim.hosts {
		sim.hosts[i].domain = i % d.domains
	}
	return sim
}

func (sim *simulation) delay(a, b int) int64 {
	if a == b {
		return sameDomainDelay
	}
	return sim.deployment.crossDomainDelay
}

func (sim *simulation) entryDomain(e int) int { return e % sim.deployment.domains }

// runTask occupies a slot of host h for a task and calls end with whether the task succeeded.
func (sim *simulation) runTask(h int, run int64, end func(ok bool)) {
	ok := true
	if sim.fault.failing && h == 0 {
		run, ok = 1000, false
	}
	if sim.fault.straggler && h == 1 {
		run *= 10
	}
	sim.hosts[h].running++
	started := sim.now
	sim.after(run, func() {
		sim.hosts[h].running--
		sim.busyTime += max(0, min(sim.now, 32_000_000)-max(started, 20_000_000))
		end(ok)
	})
}

// onDomainChange calls change when domain 0 is withdrawn and when it returns, after the delay with which the policy learns
// of it.
func (sim *simulation) onDomainChange(delay int64, change func(withdrawn bool)) {
	if !sim.fault.withdraw {
		return
	}
	sim.after(20_000_000+delay, func() { change(true) })
	sim.after(30_000_000+delay, func() { change(false) })
}

// startQueued starts queued tasks of host h while it has free slots.
func (sim *simulation) startQueued(h int) {
	for sim.hosts[h].running < slots && !sim.hosts[h].withdrawn && len(sim.hosts[h].queue) > 0 {
		start := sim.hosts[h].queue[0]
		sim.hosts[h].queue = sim.hosts[h].queue[1:]
		start()
	}
}

func (sim *simulation) taskEnded(j *jobSpec, run int64, ok bool, answerDelay int64) {
	if ok {
		sim.usefulWork += run
	}
	j.failed = j.failed || !ok
	if j.remaining--; j.remaining == 0 {
		j.completedAt = sim.now + answerDelay
	}
}

// runIdeal sets the ideal response time of each job, from a single queue with perfect knowledge and no cost but network
// delays. It returns the busy time.
func runIdeal(d deployment, f fault, seed uint64, jobs []*jobSpec) int64 {
	sim := newSimulation(d, fault{load: f.load, withdraw: f.withdraw}, seed)
	// The ideal policy does not use the faulty hosts.
	sim.hosts[0].withdrawn, sim.hosts[1].withdrawn = f.failing, f.straggler
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
			for h := range sim.hosts {
				if sim.hosts[h].running < slots && !sim.hosts[h].withdrawn && (best < 0 ||
					sim.delay(sim.entryDomain(x.j.entry), sim.hosts[h].domain) < sim.delay(sim.entryDomain(x.j.entry), sim.hosts[best].domain)) {
					best = h
				}
			}
			if best < 0 {
				return
			}
			queue = queue[1:]
			net := sim.delay(sim.entryDomain(x.j.entry), sim.hosts[best].domain)
			sim.runTask(best, x.run, func(bool) {
				sim.taskEnded(x.j, x.run, true, 2*net+2*callerDelay)
				place()
			})
		}
	}
	sim.onDomainChange(0, func(withdrawn bool) {
		for h := range sim.hosts {
			if sim.hosts[h].domain == 0 {
				sim.hosts[h].withdrawn = withdrawn
			}
		}
		place()
	})
	for _, j := range sim.jobs {
		sim.after(j.arrival, func() {
			for _, r := range j.runs {
				queue = append(queue, item{j, r})
			}
			place()
		})
	}
	sim.runUntil(math.MaxInt64)
	for i, j := range jobs {
		j.ideal = sim.jobs[i].completedAt - sim.jobs[i].arrival
	}
	return sim.busyTime
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// BenchmarkPolicy reports for each policy, on the same traces: the ratio of job response time to the ideal, all and wasted
// messages per task, and the busy time as a share of the ideal's while a failure domain is withdrawn and returns.
func BenchmarkPolicy(b *testing.B) {
	deployments := []deployment{{"lyhtyoljy", 3, 1500}, {"plumaNueva", 4, 500}}
	policies := []struct {
		name string
		run  func(sim *simulation)
	}{
		{"random", runRandom}, {"roundRobin", runRoundRobin}, {"twoChoices", runTwoChoices},
		{"crocuslb", func(sim *simulation) { runCredits(sim, 1, 0) }},
		{"crocuslbOneExtra", func(sim *simulation) { runCredits(sim, 1, 1) }},
		{"crocuslbTwoExtra", func(sim *simulation) { runCredits(sim, 1, 2) }},
		{"crocuslbThreeOwners", func(sim *simulation) { runCredits(sim, 3, 0) }},
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

func measurePolicy(b *testing.B, d deployment, run func(sim *simulation)) {
	var ratios []float64
	tasks, messages, wasted := 0, 0, 0
	for seed := uint64(1); seed <= 3; seed++ {
		sim := newSimulation(d, fault{load: 0.8}, seed)
		runIdeal(d, sim.fault, seed, sim.jobs)
		run(sim)
		sim.runUntil(math.MaxInt64)
		for _, j := range sim.jobs {
			ratios = append(ratios, float64(j.completedAt-j.arrival)/float64(j.ideal))
			tasks += len(j.runs)
		}
		messages += sim.messages
		wasted += sim.wasted
	}
	slices.Sort(ratios)
	var busy, ideal int64
	for seed := uint64(1); seed <= 3; seed++ {
		sim := newSimulation(d, fault{load: 0.8, withdraw: true}, seed)
		ideal += runIdeal(d, sim.fault, seed, sim.jobs)
		run(sim)
		sim.runUntil(math.MaxInt64)
		busy += sim.busyTime
	}
	b.ReportMetric(quantile(ratios, 0.5), "p50-ratio")
	b.ReportMetric(quantile(ratios, 0.99), "p99-ratio")
	b.ReportMetric(quantile(ratios, 0.999), "p999-ratio")
	b.ReportMetric(float64(messages)/float64(tasks), "messages/task")
	b.ReportMetric(float64(wasted)/float64(tasks), "wasted/task")
	b.ReportMetric(float64(busy)/float64(ideal), "leave-share")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkFaults reports the scheduler's performance under one fault at a time, on the trace of Lyhtyoljy: the ratio of
// response time to the ideal without the fault for successful jobs, the shares of jobs that failed, were refused, or were
// admitted and missed their deadline, and the useful work as a share of the lower of capacity and offered load.
func BenchmarkFaults(b *testing.B) {
	d := deployment{"lyhtyoljy", 3, 1500}
	cases := []struct {
		name  string
		fault fault
	}{
		{"none", fault{load: 0.8}},
		{"failingWorker", fault{load: 0.8, failing: true}},
		{"straggler", fault{load: 0.8, straggler: true}},
		{"wrongRunTimes", fault{load: 0.8, misdeclared: true}},
		{"cancelWave", fault{load: 0.8, cancel: true}},
		{"load130", fault{load: 1.3, deadline: 8_000_000}},
		{"load130wrongRunTimes", fault{load: 1.3, deadline: 8_000_000, misdeclared: true}},
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
	sim := newSimulation(d, f, 1)
	runIdeal(d, f, 1, sim.jobs)
	runCredits(sim, 1, 0)
	sim.runUntil(math.MaxInt64)
	var ratios []float64
	var offered, good int64
	failed, refused, late := 0, 0, 0
	for _, j := range sim.jobs {
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
		case f.deadline != 0 && j.completedAt > j.arrival+f.deadline:
			late++
		default:
			good += work
			ratios = append(ratios, float64(j.completedAt-j.arrival)/float64(j.ideal))
		}
	}
	slices.Sort(ratios)
	jobs := float64(len(sim.jobs))
	b.ReportMetric(quantile(ratios, 0.5), "p50-ratio")
	b.ReportMetric(quantile(ratios, 0.99), "p99-ratio")
	b.ReportMetric(float64(failed)/jobs, "failed-share")
	b.ReportMetric(float64(refused)/jobs, "refused-share")
	b.ReportMetric(float64(late)/jobs, "late-share")
	b.ReportMetric(float64(good)/float64(min(offered, traceSpan*sidecars*slots)), "goodput-share")
	b.ReportMetric(0, "ns/op")
}
