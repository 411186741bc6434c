package placer

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/shedder"
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

// Explain returns what Request, the next Place and the pass that is due would decide about the requests of a new job. It
// changes no state.
func (p *Placer) Explain(now timer.Millis, entry, domain string, requests []marshaler.ResourceRequest) []marshaler.StepExplanation {
	t := p.newTrial(now)
	steps := make([]marshaler.StepExplanation, len(requests))
	copies := make([]*request, len(requests))
	for i := range requests {
		a := requests[i]
		a.Job = "" // no job has this identifier
		copies[i] = newRequest(now, entry, domain, &a)
		steps[i] = t.forecast(now, copies[i])
		t.Request(now, entry, domain, &a)
		steps[i].Ahead = t.countAhead(copies[i])
	}
	t.Place(now)
	decidedAt := now
	for i := range requests {
		decidedAt = max(decidedAt, t.nextPass(now, requests[i].Service))
	}
	if decidedAt > now {
		t.Place(decidedAt)
	}
	t.updateSpeeds(decidedAt) // Place does not if the queue is empty
	for i := range steps {
		t.describeStep(decidedAt, copies[i], &steps[i])
	}
	return steps
}

func (p *Placer) newTrial(now timer.Millis) *trial {
	t := &trial{
		Placer: Placer{
			Admission: p.Admission, avoidMark: p.avoidMark, placedAt: p.placedAt, firstRequestAt: p.firstRequestAt, medianSpeed: p.medianSpeed,
			medianSpeedAt: p.medianSpeedAt, placed: p.placed, runTimesReportedAt: p.runTimesReportedAt, waitedAt: maps.Clone(p.waitedAt),
		},
		granted: map[uint64][]string{}, rejected: map[uint64]marshaler.Reject{},
	}
	if t.firstRequestAt == 0 {
		t.firstRequestAt = now
	}
	t.runTimes.CopyFrom(&p.runTimes)
	t.copyWorkers(p)
	t.requests = make(map[requestKey]*request, p.queue.length()+1)
	requests := make([]request, 0, p.queue.length())
	for r := range p.queue.all() {
		requests = append(requests, *r)
		c := &requests[len(requests)-1]
		c.granted, c.constraints.placed = slices.Clone(r.granted), maps.Clone(r.constraints.placed)
		t.queue.insert(c)
		t.requests[c.key] = c
	}
	t.loads = make(map[string]*serviceLoad, len(p.loads))
	for service, l := range p.loads {
		t.loads[service] = l.clone()
	}
	t.confinements = make(map[string]*confinement, len(p.confinements))
	for service, c := range p.confinements {
		t.confinements[service] = c.clone()
	}
	t.heldFree = make(map[string]heldWorker, len(p.heldFree))
	for service, h := range p.heldFree {
		t.heldFree[service] = heldWorker{t.workers[h.worker.name], h.until}
	}
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

// copyWorkers copies the workers of p and builds their indexes anew, because the trees of p refer to its own workers.
func (t *trial) copyWorkers(p *Placer) {
	t.workers, t.workersByName = make(map[string]*worker, len(p.workersByName)), make([]*worker, len(p.workersByName))
	t.kinds = make(map[string]*workerKind, len(p.kinds))
	for name, k := range p.kinds {
		t.kinds[name] = &workerKind{name: name, medianSpeed: k.medianSpeed, reference: k.reference}
	}
	workers := make([]worker, len(p.workersByName))
	for i, w := range p.workersByName {
		c := &workers[i]
		*c = *w
		c.reservations, c.indexed = slices.Clone(w.reservations), indexed{open: w.indexed.open}
		c.kind = t.kinds[w.kind.name]
		t.workersByName[i], t.workers[c.name] = c, c
		t.indexWorker(c)
	}
	for _, w := range p.openBreakers {
		t.openBreakers = append(t.openBreakers, t.workers[w.name])
	}
	for _, e := range p.expirations.grants[p.expirations.next:] {
		if w := t.workers[e.w.name]; w != nil {
			t.expirations.push(e.at, w)
		}
	}
}

// clone returns a copy without the buffers.
func (l *serviceLoad) clone() *serviceLoad {
	c := *l
	c.forecast, c.floor, c.shedder = l.forecast.Clone(), l.floor.Clone(), shedder.Shedder{}
	c.items, c.requests, c.arrivals = nil, nil, nil
	return &c
}

// forecast describes the queue before a request arrives, and the forecast on which its admission is decided.
func (t *trial) forecast(now timer.Millis, r *request) marshaler.StepExplanation {
	a := t.explain(now, r)
	return marshaler.StepExplanation{
		Step: r.key.step, Tasks: r.remaining, Slack: r.softDeadline - now, MaxWait: r.hardDeadline - now,
		Queued: uint64(t.queue.length()), Late: a.verdict != admitted, Wait: a.wait,
	}
}

// countAhead returns the number of queued requests that are ordered before a request, which may have been refused.
func (t *trial) countAhead(r *request) (ahead uint64) {
	queued := t.requests[r.key]
	if queued != nil {
		r = queued
	}
	for q := range t.queue.all() {
		if q == queued || compareRequests(q, r) > 0 {
			break
		}
		ahead++
	}
	return ahead
}

// describeStep describes the decision about a request.
func (t *trial) describeStep(now timer.Millis, r *request, s *marshaler.StepExplanation) {
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
	if known, _ := t.serves(r); !known {
		return "no backend server of the service is known yet"
	}
	if now-t.firstRequestAt < startupGrace {
		return fmt.Sprintf("no worker has capacity for a further task, and nothing is refused in the first %d ms of requests", startupGrace)
	}
	return "no worker has capacity for a further task"
}

// listWorkers lists the workers that get tasks, then those that the next tasks would get.
func (t *trial) listWorkers(now timer.Millis, r *request, granted []string, s *marshaler.StepExplanation) {
	listed := func(w *worker) int {
		return slices.IndexFunc(s.Workers, func(e marshaler.WorkerExplanation) bool { return e.Name == w.name })
	}
	for _, name := range granted {
		i := listed(t.workers[name])
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
	for len(s.Workers) < maxExplainedWorkers {
		w := t.selectAmong(now, r, func(w *worker) bool { return listed(w) < 0 })
		if w == nil {
			return
		}
		s.Workers = append(s.Workers, t.describeWorker(now, r, w))
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
	if w.slow {
		reasons = append(reasons, "slow for its kind")
	}
	return marshaler.WorkerExplanation{
		Name: w.name, Domain: w.domain, Reason: strings.Join(reasons, ", "), Free: w.free, Speed: uint64(w.speed),
		ExpectedRun: t.expectedRun(r, w), LoadAge: now - w.loadAt,
	}
}

// countExcluded counts the workers that are not listed by the reason for which they get no task.
func (t *trial) countExcluded(now timer.Millis, r *request, s *marshaler.StepExplanation) {
	service := t.services[r.service]
	avoids := service != nil && t.markAvoided(service, r)
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
		reason := t.exclusionReason(now, r, w, avoids)
		i := slices.IndexFunc(s.Excluded, func(e marshaler.ExcludedWorkers) bool { return e.Reason == reason })
		if i < 0 {
			i = len(s.Excluded)
			s.Excluded = append(s.Excluded, marshaler.ExcludedWorkers{Reason: reason, Example: w.name})
		}
		s.Excluded[i].Workers++
	}
}

// exclusionReason returns why a worker is not among those that come first. avoids is the result of markAvoided.
func (t *trial) exclusionReason(now timer.Millis, r *request, w *worker, avoids bool) string {
	switch offered := t.offered(w); {
	case w.service != r.service:
		return "serves another service"
	case !r.constraints.matchesLabel(w):
		return "lacks the label"
	case !w.total.Contains(r.resources):
		return "too small for a task"
	case !w.accepting:
		return "accepts no starts (draining, cut off or failure domain withdrawn)"
	case !w.breakerAllows(t.placedAt):
		return "breaker is open and no probe is due"
	case !w.maySeparate(r.constraints.suspicion):
		return "another task runs there that may crash the backend server"
	case !t.mayServe(r, w):
		return "reserved, because tasks of a queue crash backend servers"
	case !r.constraints.allows(w):
		return "has as many tasks of the step as one server may have"
	case !t.allows(r, w, avoids):
		return "failed a task of the job"
	case offered == noResources:
		return "slow, and a task is running there as a probe"
	case !offered.Contains(r.resources):
		return "not enough free resources"
	case w.slow && !t.mayProbe(now, r, w):
		return "slow, and a probe would end after the expected response time"
	}
	return "has capacity, and comes after the listed workers"
}
