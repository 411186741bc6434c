package placer

import (
	"fmt"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/shedder"
	"github.com/crocuslb/crocuslb/timer"
)

// Admission is the policy that decides which requests are refused when capacity does not suffice. The zero value is
// AdmissionDeadline.
type Admission uint8

const (
	// AdmissionDeadline refuses the requests whose deadline cannot be met, whatever their cost.
	AdmissionDeadline Admission = iota
	// AdmissionCost refuses the requests whose refusal costs callers least.
	AdmissionCost
)

// Reasons of refusals for lack of capacity.
const (
	reasonGaveWay = "gave way to work that costs callers more"
	reasonTooLong = "queue is too long"
	reasonExpired = "no room in time"
)

const (
	admitted verdict = iota
	delayed          // admitted, but expected to start late
	refused
	contested // admitted only if other requests or the request itself are given up
)

type (
	verdict uint8

	// assessment is what is decided about an arriving request, and why.
	assessment struct {
		verdict verdict
		reason  string       // of a refusal
		wait    timer.Millis // forecast
		// unservable is set if no worker can run the request, whatever the load.
		unservable bool
	}
)

var admissionNames = [...]string{AdmissionDeadline: "deadline", AdmissionCost: "cost"}

// ParseAdmission returns the policy with a name.
func ParseAdmission(name string) (Admission, error) {
	for a, n := range admissionNames {
		if n == name {
			return Admission(a), nil
		}
	}
	return 0, trace.BadParameter("unknown admission policy %q: want deadline or cost", name)
}

// String returns the name of the policy.
func (a Admission) String() string { return admissionNames[a] }

// assess decides about an arriving request without changing the state. A contested request is queued and decided by the
// next pass; explain returns that decision.
func (p *Placer) assess(now timer.Millis, r *request) assessment {
	if p.queue.length() >= maxQueued {
		return assessment{verdict: refused, reason: "queue is full", wait: p.estimateWait(r)}
	}
	if a := p.assessWorkers(now, r); a.verdict == refused || now-p.firstRequestAt < startupGrace {
		return a
	}
	if p.isConfined(r) {
		return assessment{} // the forecasts do not know which workers it may use
	}
	if l := p.loads[r.service]; p.costDecides(now, l) {
		item := l.item(now, r)
		wait := p.forecastWait(now, l, r)
		if r.started || now+wait <= shedder.RetainedStart(&item) {
			return assessment{verdict: admitted, wait: wait}
		}
		return assessment{verdict: contested, wait: wait}
	}
	wait := p.estimateWait(r)
	if now+wait <= r.softDeadline {
		return assessment{verdict: admitted, wait: wait}
	}
	late := *r
	late.late = true
	if wait = p.estimateWait(&late); now+lateWaitFactor*wait < r.hardDeadline {
		return assessment{verdict: delayed, wait: wait}
	}
	return assessment{verdict: refused, reason: reasonTooLong, wait: wait}
}

// assessWorkers decides whether any worker can run the tasks of a request, whatever its load.
func (p *Placer) assessWorkers(now timer.Millis, r *request) assessment {
	if now-p.firstRequestAt < startupGrace {
		return assessment{}
	}
	service, fits := p.serves(r)
	switch {
	case !r.started && p.isConfined(r) && !p.hasConfinedWorker(r.service):
		return assessment{refused, reasonConfined, confinedRetryAfter, true}
	case !service:
		return assessment{refused, "no backend server of the service is known", timer.Second, true}
	case !fits:
		return assessment{refused, "no worker is large enough", timer.Minute, true}
	}
	return assessment{}
}

// explain decides about a request as if it arrived now, without changing the state.
func (p *Placer) explain(now timer.Millis, r *request) assessment {
	a := p.explainWithoutSlow(now, r)
	if a.verdict == refused && !r.started && p.fitsOnSlow(now, r) {
		return assessment{verdict: admitted}
	}
	return a
}

// explainWithoutSlow does the same without the slow workers that may run a request that would be refused.
func (p *Placer) explainWithoutSlow(now timer.Millis, r *request) assessment {
	l := p.loads[r.service]
	p.setCost(now, r)
	a := p.assess(now, r)
	if a.verdict != contested {
		return a
	}
	if p.selectWorker(now, r) != nil {
		return assessment{verdict: admitted}
	}
	for _, d := range p.decide(now, l, r.service, r) {
		if l.requests[d.Index] == r {
			return assessOutcome(d, now, r)
		}
	}
	return assessment{verdict: admitted, wait: a.wait}
}

// assessOutcome translates a decision of the shedder.
func assessOutcome(d shedder.Decision, now timer.Millis, r *request) assessment {
	switch {
	case d.Verdict == shedder.Delayed:
		return assessment{verdict: delayed, wait: d.Wait}
	case d.GaveWay:
		return assessment{verdict: refused, reason: reasonGaveWay, wait: d.Wait}
	case !r.passed:
		return assessment{verdict: refused, reason: reasonTooLong, wait: d.Wait}
	}
	return assessment{verdict: refused, reason: reasonExpired, wait: d.Wait}
}

// costDecides reports whether the cost of refusals decides in a service.
func (p *Placer) costDecides(now timer.Millis, l *serviceLoad) bool {
	return p.Admission == AdmissionCost && l.costDecides(now)
}

// contest decides about a queued request that is not expected to start in time. If capacity was freed since the latest
// Place, or a pass has just been done, the next Place decides.
func (p *Placer) contest(now timer.Millis, r *request) {
	l := p.loads[r.service]
	l.passDue = true
	if !p.placed {
		return
	}
	if p.selectWorker(now, r) != nil { // before the pass grants these resources to others
		p.grantAhead(now, r)
	}
	if p.queued(r) {
		p.pass(now, r.service, l)
	}
}

// nextPass returns the time of the pass that is due in a service, or now if none is.
func (p *Placer) nextPass(now timer.Millis, service string) timer.Millis {
	if l := p.loads[service]; p.costDecides(now, l) && l.passDue {
		return max(now, l.passAt+passInterval)
	}
	return now
}

// shed does the passes that are due.
func (p *Placer) shed(now timer.Millis) {
	for service, l := range marshaler.SortedByKey(p.loads) {
		if (l.passDue || l.saturated) && p.costDecides(now, l) {
			p.pass(now, service, l)
		}
	}
}

// pass refuses or delays the requests whose refusal costs least, until the others are expected to start in time. There is
// at most one pass in passInterval.
func (p *Placer) pass(now timer.Millis, service string, l *serviceLoad) {
	if now-l.passAt < passInterval {
		return
	}
	l.passAt, l.passDue = now, false
	refusals, delays := 0, 0
	queued := p.queue.length()
	for _, d := range p.decide(now, l, service, nil) {
		r := l.requests[d.Index]
		if !p.queued(r) {
			continue
		}
		if p.selectWorker(now, r) != nil {
			p.grantAhead(now, r)
			continue
		}
		a := assessOutcome(d, now, r)
		p.dequeue(r)
		if a.verdict == refused {
			if !p.grantOnSlow(now, r) {
				refusals++
				p.reject(now, r, a.reason, a.wait)
			}
			continue
		}
		delays++
		r.late = true
		p.requests[r.key] = r
		p.queue.insert(r)
	}
	for i, r := range l.requests {
		r.passed, l.requests[i] = true, nil
	}
	if refusals+delays == 0 {
		return
	}
	p.report(Event{Kind: "shed", Value: int64(refusals), Detail: fmt.Sprintf(
		"%s: refused %d, delayed %d of %d queued, capacity %.0f, efficiency %.2f, utilization %.2f, served share %.2f", service, refusals, delays, queued,
		l.forecast.DrainRate()/l.forecast.Efficiency(), l.forecast.Efficiency(), l.forecast.Utilization(now), l.floor.Served(now),
	)})
}

// grantAhead grants free resources that fit a request on time behind requests that they do not fit. A late request stays
// queued instead, because the others may need the resources.
func (p *Placer) grantAhead(now timer.Millis, r *request) {
	if r.late {
		return
	}
	p.grantTasks(now, r)
	p.sendGrants([]*request{r})
}
