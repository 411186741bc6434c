package placer

import (
	"github.com/crocuslb/crocuslb/forecaster"
	"github.com/crocuslb/crocuslb/shedder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// passInterval is the minimum interval between two passes of the shedder.
	passInterval = 10 * timer.Millisecond
	// capacityInterval is the interval at which the capacity of a service is summed up.
	capacityInterval = 10 * timer.Millisecond
	// diversityWindow is how long the cost of refusals decides after two requests of different cost.
	diversityWindow = 10 * timer.Second
)

type (
	// serviceLoad is the load of a service as its placing entry observes it. The zero value is ready to use.
	serviceLoad struct {
		forecast   forecaster.Service
		floor      shedder.Floor
		shedder    shedder.Shedder
		capacityAt timer.Millis
		granted    float64 // work granted since the last observation
		saturated  bool    // requests waited for capacity after the latest Place
		blocked    bool    // requests wait for capacity in the current Place
		passAt     timer.Millis
		passDue    bool // a queued request may not start in time
		latest     requestCost
		differedAt timer.Millis // time of the latest request whose cost differed from that of the one before

		items    []shedder.Item
		requests []*request // by item
		arrivals []queueArrivals
		reserved float64 // share of the work of a starving queue that is served
	}

	// requestCost is what a refusal of a request costs.
	requestCost struct {
		queue    string
		priority uint64
		size     shedder.Size
		perWork  float64
		work     int64
		groups   [3]shedder.Group
		counted  bool // as an arrival of its groups
		// protected is set if a group of the request was served too little when it was queued. It does not change while the
		// request is queued, because all queued requests of a group would otherwise be refused when the group recovers.
		protected bool
	}

	// queueArrivals are the expected arrivals of a queue during a pass.
	queueArrivals struct {
		forecaster.Arrivals
		starving bool
	}
)

// load returns the load of a service.
func (p *Placer) load(service string) *serviceLoad {
	l := p.loads[service]
	if l == nil {
		if p.loads == nil {
			p.loads = map[string]*serviceLoad{}
		}
		l = &serviceLoad{}
		p.loads[service] = l
	}
	return l
}

// costDecides reports whether the cost of refusals decides which requests are refused. Requests that all cost the same,
// forecasts without observed arrivals and services without capacity leave the decision to the deadlines.
func (l *serviceLoad) costDecides(now timer.Millis) bool {
	return l != nil && l.differedAt > 0 && now-l.differedAt < diversityWindow && l.forecast.Ready(now) && l.forecast.DrainRate() > 0
}

// observeArrival records a request that was not queued before.
func (l *serviceLoad) observeArrival(now timer.Millis, r *request) {
	c := &r.cost
	work, weight := float64(c.work), shedder.Weight(c.priority)
	if r.started { // ordered before all requests that have not started
		l.forecast.Arrive(now, "", 1, work, 0)
		return
	}
	if c.priority != l.latest.priority || c.work != l.latest.work {
		if l.latest.work > 0 {
			l.differedAt = now
		}
		l.latest = requestCost{priority: c.priority, work: c.work}
	}
	l.forecast.Arrive(now, c.queue, weight, work, r.softDeadline-now)
	l.floor.Arrive(now, c.groups, work)
}

// setCost sets the cost of refusing an arriving request.
func (p *Placer) setCost(now timer.Millis, r *request) {
	c := &r.cost
	c.work = max(r.work(), 1)
	l := p.loads[r.service]
	if l == nil {
		return
	}
	mean := l.forecast.MeanWork(c.queue)
	c.size = shedder.SizeOf(float64(c.work), mean)
	c.perWork = shedder.Cost(shedder.Weight(c.priority), float64(c.work), mean)
	c.groups = shedder.Groups(c.queue, r.domain, c.size)
	c.protected = l.floor.Starving(now, c.groups[:]...)
}

// noteBlocked records that a request waits for capacity. One that waits because of its placement constraints does not
// show that the capacity is used up.
func (p *Placer) noteBlocked(r *request) {
	if l := p.loads[r.service]; l != nil && r.constraints.label == "" && r.constraints.perServer == 0 {
		l.blocked = true
	}
}

// noteGranted records that a task of a request is granted. Grants on slow workers beyond probes are not recorded, because
// the capacity of these workers does not count.
func (p *Placer) noteGranted(r *request) {
	if l := p.loads[r.service]; l != nil {
		l.granted += float64(r.resources.CPU) * float64(r.estimate)
	}
}

// observeGrants updates the capacities and learns from the grants since the previous call.
func (p *Placer) observeGrants(now timer.Millis) {
	for service, l := range p.loads {
		if now-l.capacityAt >= capacityInterval {
			l.forecast.SetCapacity(float64(p.tallyOf(service).usable) / 1000)
			l.capacityAt = now
		}
		l.forecast.Observe(now, l.granted, l.saturated)
		l.granted, l.saturated, l.blocked = 0, l.blocked, false
	}
}

// forecastWait returns the expected wait of a request on time.
func (p *Placer) forecastWait(now timer.Millis, l *serviceLoad, r *request) timer.Millis {
	l.prepareArrivals(now)
	item := l.item(now, r)
	return l.forecast.Wait(p.queue.workBefore(r) + l.overtaking(now, &item))
}

// decide returns the requests of the service to give up. If extra is not nil, it is treated as queued.
func (p *Placer) decide(now timer.Millis, l *serviceLoad, service string, extra *request) []shedder.Decision {
	l.items, l.requests = l.items[:0], l.requests[:0]
	add := func(r *request) {
		l.items, l.requests = append(l.items, l.item(now, r)), append(l.requests, r)
	}
	for r := range p.queue.all() {
		if r.service != service {
			continue
		}
		if extra != nil && compareRequests(extra, r) < 0 {
			add(extra)
			extra = nil
		}
		add(r)
	}
	if extra != nil {
		add(extra)
	}
	l.prepareArrivals(now)
	return l.shedder.Pass(now, l.items, shedder.Forecast{
		DrainRate:  l.forecast.DrainRate(),
		Overtaking: func(i *shedder.Item) float64 { return l.overtaking(now, i) },
		LateWait:   func(work float64) timer.Millis { return l.forecast.LateWait(now, work) },
	})
}

func (l *serviceLoad) item(now timer.Millis, r *request) shedder.Item {
	return shedder.Item{
		Work: max(r.work(), 1), SoftDeadline: r.softDeadline, HardDeadline: r.hardDeadline, Cost: r.cost.perWork, Arrived: r.arrived, New: !r.passed,
		Begun: r.started, Late: r.late, Protected: r.cost.protected || l.floor.Starving(now, r.cost.groups[:]...),
	}
}

func (l *serviceLoad) prepareArrivals(now timer.Millis) {
	l.arrivals, l.reserved = l.arrivals[:0], l.floor.Reserved(now)
	for a := range l.forecast.Arrivals(now) {
		l.arrivals = append(l.arrivals, queueArrivals{a, l.floor.Starving(now, shedder.Group{Queue: a.Queue})})
	}
}

// overtaking returns the work that is expected to arrive, to be ordered before an item and not to give way to it.
func (l *serviceLoad) overtaking(now timer.Millis, i *shedder.Item) (work float64) {
	for n := range l.arrivals {
		a := &l.arrivals[n]
		work += a.Overtaking(i.SoftDeadline-now) * l.outranking(a, i)
	}
	return work
}

// outranking returns the share of a queue's arrivals that do not give way to an item.
func (l *serviceLoad) outranking(a *queueArrivals, i *shedder.Item) float64 {
	switch {
	case a.Queue == "":
		return 1
	case i.Protected:
		return 0
	case a.Weight > i.Cost:
		return 1
	case a.starving:
		return l.reserved
	}
	return 0
}
