package placer

import (
	"fmt"
	"math/rand/v2"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

type (
	jobSpec struct {
		id       string
		tasks    int
		run      timer.Millis // actual run time of a task at normal speed
		estimate timer.Millis
		slack    timer.Millis
		maxWait  timer.Millis
		queue    string
		domain   string
		priority uint64
		cpu      int64   // 0 means taskCPU
		tail     float64 // share of the tasks that take tailFactor times as long
		// target and useful are the times after arrival until the ends that a request states; 0 for none.
		target, useful timer.Millis
	}

	// simulation runs a placer against simulated workers without network delay: a granted task starts at once, and load
	// reports arrive at once.
	simulation struct {
		p       Placer
		r       *rand.Rand
		now     timer.Millis
		workers []*simWorker
		jobs    map[string]*simJob
		refused int
		tail    float64 // of all jobs
		// refusalWaits are the times from arrival to refusal.
		refusalWaits []timer.Millis
	}

	simWorker struct {
		name        string
		total       marshaler.Resources
		speed       float64 // relative to normal speed
		reported    float64 // speed in the load reports, if it lags behind; 0 if it does not
		fails       bool
		stalled     bool
		unavailable bool
		runs        []simRun
		spare       []simRun // memory for the next runs
		settled     []marshaler.CompletedRun
		seen        []string
	}

	simRun struct {
		job       string
		startedAt timer.Millis
		left      float64
		queue     string
		ratio     float64 // estimated over actual run time
		estimate  timer.Millis
		cpu       int64
	}

	simJob struct {
		jobSpec
		arrivedAt timer.Millis
		done      int
		longest   float64 // run time of the longest task at normal speed
		started   bool
		endedAt   timer.Millis
		retries   int
	}
)

const tailFactor = 7

func newSimulation(seed uint64, workers int) *simulation {
	s := &simulation{r: rand.New(rand.NewPCG(seed, 7)), now: 1000, jobs: map[string]*simJob{}}
	s.p.Grant = func(_ string, g marshaler.Grant) {
		for _, name := range g.Sidecars {
			s.start(g.Job, name)
		}
	}
	s.p.Reject = func(_ string, r marshaler.Reject) {
		s.refused++
		if s.jobs[r.Job].started {
			panic("a job that has started was refused")
		}
		s.refusalWaits = append(s.refusalWaits, s.now-s.jobs[r.Job].arrivedAt)
		delete(s.jobs, r.Job)
	}
	for i := range workers {
		w := &simWorker{name: fmt.Sprintf("worker-%02d", i), total: marshaler.Resources{CPU: 32_000, MemoryMB: 64_000}, speed: 1}
		s.workers = append(s.workers, w)
		s.p.SetWorker(w.name, "", &marshaler.Backend{Service: "svc", Capacity: w.total})
	}
	s.report()
	return s
}

func (s *simulation) start(job, name string) {
	for _, w := range s.workers {
		if w.name != name {
			continue
		}
		j := s.jobs[job]
		w.seen = append(w.seen, job)
		if w.unavailable || j == nil {
			return
		}
		j.started = true
		left := float64(j.run) * (0.85 + 0.3*s.r.Float64())
		if tail := max(j.tail, s.tail); tail > 0 && s.r.Float64() < tail {
			left *= tailFactor
		}
		j.longest = max(j.longest, left)
		w.runs = append(w.runs, simRun{job: job, startedAt: s.now, left: left, queue: j.queue, ratio: float64(j.estimate) / left, estimate: j.estimate, cpu: j.cores()})
	}
}

// advance advances the time by a millisecond.
func (s *simulation) advance() {
	s.now++
	for _, w := range s.workers {
		running := w.spare[:0]
		for _, r := range w.runs {
			if !w.stalled {
				r.left -= w.speed
			}
			status := marshaler.StatusDone
			switch {
			case w.stalled && s.now-r.startedAt > 100+r.estimate/10:
				status = marshaler.StatusStalled
			case r.left > 0:
				running = append(running, r)
				continue
			case w.fails:
				status = marshaler.StatusFailed
			}
			s.end(w, r, status)
		}
		w.runs, w.spare = running, w.runs
	}
	s.report()
	s.p.Place(s.now)
}

func (s *simulation) end(w *simWorker, r simRun, status marshaler.Status) {
	w.settled = append(w.settled, marshaler.CompletedRun{Job: r.job, Status: status, RunTime: s.now - r.startedAt, Estimate: r.estimate, Queue: r.queue})
	j := s.jobs[r.job]
	if j == nil {
		return
	}
	if status != marshaler.StatusDone {
		j.retries++
		s.request(j, 1)
		return
	}
	if j.done++; j.done == j.tasks {
		j.endedAt = s.now
	}
}

func (s *simulation) report() {
	for _, w := range s.workers {
		free := w.total
		for _, r := range w.runs {
			free = free.Sub(marshaler.Resources{CPU: r.cpu})
		}
		s.p.OnLoad(s.now, w.name, &marshaler.Load{Accepting: !w.unavailable, Free: free, Speed: w.measure(), HandledStarts: w.seen, CompletedRuns: w.settled})
		w.seen, w.settled = nil, nil
	}
}

func (s *simulation) request(j *simJob, tasks int) {
	s.p.Request(s.now, "entry", j.domain, s.message(j, tasks))
}

func (s *simulation) message(j *simJob, tasks int) *marshaler.ResourceRequest {
	m := &marshaler.ResourceRequest{
		Job: j.id, Service: "svc", Tasks: uint64(tasks), Resources: marshaler.Resources{CPU: j.cores()}, Estimate: j.estimate, Slack: j.slack, MaxWait: j.maxWait,
		Started: j.started, Queue: j.queue, Priority: j.priority,
	}
	if j.useful > 0 {
		m.TargetEnd, m.LastUsefulEnd = max(j.arrivedAt+j.target-s.now, 1), max(j.arrivedAt+j.useful-s.now, 1)
	}
	return m
}

// cores returns the processors of a task, in millicores.
func (j *simJob) cores() int64 {
	if j.cpu == 0 {
		return taskCPU
	}
	return j.cpu
}
