package placer

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// maxExplainedWorkers is the number of workers that the explanation of a step names.
const maxExplainedWorkers = 8

// trial is a copy of a Placer that decides about requests which are not queued. It shares no memory with the original
// that a decision changes.
type trial struct {
	Placer
	granted  map[uint64][]string // workers of the requests under explanation, by step
	rejected map[uint64]marshaler.Reject
}

// Explain returns what Request and the next Place would decide about the requests of a new job. It changes no state.
func (p *Placer) Explain(now timer.Millis, entry, domain string, requests []marshaler.ResourceRequest) []marshaler.StepExplanation {
	t := p.newTrial(now)
	steps := make([]marshaler.StepExplanation, len(requests))
	copies := make([]*request, len(requests))
	for i := range requests {
		a := requests[i]
		a.Job = "" // no job has this identifier
		copies[i] = newTrialRequest(now, entry, domain, &a)
		steps[i] = t.forecast(now, copies[i])
		t.Request(now, entry, domain, &a)
	}
	t.Place(now)
	if t.medianSpeed == 0 { // the queue was empty
		t.medianSpeed = t.computeMedianSpeed()
	}
	for i := range steps {
		t.explain(now, copies[i], &steps[i])
	}
	return steps
}

func (p *Placer) newTrial(now timer.Millis) *trial {
	t := &trial{Placer: *p, granted: map[uint64][]string{}, rejected: map[uint64]marshaler.Reject{}}
	t.workers, t.workersByName = make(map[string]*worker, len(p.workersByName)), make([]*worker, len(p.workersByName))
	workers := make([]worker, len(p.workersByName))
	for i, w := range p.workersByName {
		c := &workers[i]
		*c = *w
		c.reservations = slices.Clone(w.reservations)
		t.workersByName[i], t.workers[c.name] = c, c
	}
	t.requests, t.queue = make(map[requestKey]*request, len(p.queue)+1), make([]*request, len(p.queue), len(p.queue)+1)
	requests := make([]request, len(p.queue))
	for i, r := range p.queue {
		c := &requests[i]
		*c = *r
		c.granted, c.constraints.placed = slices.Clone(r.granted), maps.Clone(r.constraints.placed)
		t.queue[i], t.requests[c.key] = c, c
	}
	if t.firstRequestAt == 0 {
		t.firstRequestAt = now
	}
	t.Report = nil
	t.Grant = func(_ string, g marshaler.Grant) {
		if g.Job == "" {
			t.granted[g.Step] = append(t.granted[g.Step], g.Sidecars...)
		}
	}
	t.Reject = func(_ string, r marshaler.Reject) {
		if r.Job == "" {
			t.rejected[r.Step] = r
		}
	}
	return t
}

// newTrialRequest returns the request that Request would queue, whether it would refuse it or not.
func newTrialRequest(now timer.Millis, entry, domain string, a *marshaler.ResourceRequest) *request {
	var p Placer
	started := *a
	started.Started = true // so that it is not refused
	p.Request(now, entry, domain, &started)
	r := p.requests[requestKey{entry, a.Job, a.Step}]
	r.started = a.Started
	return r
}

// forecast describes the queue before a request arrives. It marks r late if the request would be.
func (t *trial) forecast(now timer.Millis, r *request) marshaler.StepExplanation {
	_, _ = t.rejectReason(now, r)
	s := marshaler.StepExplanation{
		Step: r.key.step, Tasks: r.remaining, Slack: r.softDeadline - now, MaxWait: r.hardDeadline - now,
		Queued: uint64(len(t.queue)), Late: r.late, Wait: t.estimateWait(r),
	}
	for _, q := range t.queue {
		if compareRequests(q, r) <= 0 {
			s.Ahead++
		}
	}
	return s
}

// explain describes the decision about a request after Place.
func (t *trial) explain(now timer.Millis, r *request, s *marshaler.StepExplanation) {
	granted := t.granted[s.Step]
	for _, name := range granted {
		r.constraints.countPlaced(name)
	}
	s.Granted = uint64(len(granted))
	if queued := t.requests[r.key]; queued != nil {
		s.Late = queued.late
	}
	rejection, refused := t.rejected[s.Step]
	switch {
	case refused:
		s.Verdict, s.Reason, s.RetryAfter = marshaler.VerdictRefused, rejection.Reason, rejection.RetryAfter
	case s.Granted == s.Tasks:
		s.Verdict = marshaler.VerdictRuns
	default:
		s.Verdict, s.Reason = marshaler.VerdictWaits, t.waitReason(now, r)
	}
	t.listWorkers(now, r, granted, s)
	t.countExcluded(now, r, s)
}

func (t *trial) waitReason(now timer.Millis, r *request) string {
	if t.selectWorker(now, r) != nil {
		return "requests that are ordered before it wait"
	}
	if !slices.ContainsFunc(t.workersByName, func(w *worker) bool { return w.service == r.service }) {
		return "no backend server of the service is known yet"
	}
	if now-t.firstRequestAt < startupGrace {
		return fmt.Sprintf("no worker has capacity for a further task, and nothing is refused in the first %d ms of requests", startupGrace)
	}
	return "no worker has capacity for a further task"
}

// listWorkers lists the workers that get tasks, then those that the next tasks would get.
func (t *trial) listWorkers(now timer.Millis, r *request, granted []string, s *marshaler.StepExplanation) {
	for _, name := range granted {
		i := slices.IndexFunc(s.Workers, func(w marshaler.WorkerExplanation) bool { return w.Name == name })
		if i < 0 {
			if len(s.Workers) == maxExplainedWorkers {
				continue
			}
			i = len(s.Workers)
			s.Workers = append(s.Workers, t.describeWorker(now, r, t.workers[name]))
		}
		s.Workers[i].Tasks++
		s.Workers[i].Free = s.Workers[i].Free.Add(r.resources)
	}
	next := *r
	next.avoided = append(slices.Clone(r.avoided), granted...)
	for len(s.Workers) < maxExplainedWorkers {
		w := t.selectWorker(now, &next)
		if w == nil || slices.Contains(next.avoided, w.name) {
			return
		}
		s.Workers = append(s.Workers, t.describeWorker(now, r, w))
		next.avoided = append(next.avoided, w.name)
	}
}

func (t *trial) describeWorker(now timer.Millis, r *request, w *worker) marshaler.WorkerExplanation {
	factor := r.constraints.rackFactor(w)
	reasons := []string{fmt.Sprintf("speed %.2f of the median", w.speed/t.medianSpeed)}
	if w.domain == r.domain {
		reasons = append(reasons, "in the failure domain of the asking entry")
	}
	if r.constraints.label != "" {
		reasons = append(reasons, "has the label")
	}
	if r.constraints.rack != "" {
		reasons = append(reasons, map[bool]string{true: "on the rack", false: "outside the rack"}[factor == 1])
	}
	if w.breaker.open {
		reasons = append(reasons, "probe of an open breaker")
	}
	if w.speed/t.medianSpeed < slowSpeedRatio {
		reasons = append(reasons, "probe of a slow worker")
	}
	return marshaler.WorkerExplanation{
		Name: w.name, Domain: w.domain, Reason: strings.Join(reasons, ", "), Free: w.free, Speed: uint64(w.speed),
		ExpectedRun: timer.Millis(float64(r.estimate) * 1000 / (max(w.speed, 1) * factor)), LoadAge: now - w.loadAt,
	}
}

// countExcluded counts the workers that are not listed by the reason for which they get no task.
func (t *trial) countExcluded(now timer.Millis, r *request, s *marshaler.StepExplanation) {
	for _, w := range t.workersByName {
		if w.service == r.service {
			age := now - w.loadAt
			if s.Known == 0 {
				s.NewestLoad = age
			}
			s.Known, s.NewestLoad, s.OldestLoad = s.Known+1, min(s.NewestLoad, age), max(s.OldestLoad, age)
		}
		if slices.ContainsFunc(s.Workers, func(e marshaler.WorkerExplanation) bool { return e.Name == w.name }) {
			continue
		}
		reason := t.exclusionReason(now, r, w)
		i := slices.IndexFunc(s.Excluded, func(e marshaler.ExcludedWorkers) bool { return e.Reason == reason })
		if i < 0 {
			i = len(s.Excluded)
			s.Excluded = append(s.Excluded, marshaler.ExcludedWorkers{Reason: reason, Example: w.name})
		}
		s.Excluded[i].Workers++
	}
}

// exclusionReason returns why a worker is not among those that come first.
func (t *trial) exclusionReason(now timer.Millis, r *request, w *worker) string {
	switch {
	case w.service != r.service:
		return "serves another service"
	case !r.constraints.matchesLabel(w):
		return "lacks the label"
	case !w.total.Contains(r.resources):
		return "too small for a task"
	case !w.accepting:
		return "accepts no starts (draining, cut off or failure domain withdrawn)"
	case !w.breakerAllows(now):
		return "breaker is open and no probe is due"
	case t.excludes(r, w):
		return "failed a task of the job"
	case !r.constraints.allows(w):
		return "has as many tasks of the step as one server may have"
	case !t.eligible(now, r, w):
		return "slow, and a task is running there as a probe"
	case !w.free.Contains(r.resources):
		return "not enough free resources"
	}
	return "has capacity, and comes after the listed workers"
}
