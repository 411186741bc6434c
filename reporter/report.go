package reporter

import (
	"cmp"
	"slices"

	"github.com/crocuslb/crocuslb/timer"
)

const maxContributors = 5

type (
	// Report is the state of all objectives at a point in time.
	Report struct {
		Short, Long timer.Millis
		Objectives  []ObjectiveStatus
	}

	// ObjectiveStatus is the state of an objective. A burn rate of 1 consumes the error budget exactly by the end of the
	// long window. BudgetLeft is the remaining share of the budget; it is negative if the budget is exceeded.
	ObjectiveStatus struct {
		Name                string
		Description         string
		Target              float64
		Total, Bad          uint64 // in the long window
		BurnShort, BurnLong float64
		BudgetLeft          float64
		Domains, Workers    []Contributor // the largest contributors in the long window
		Series              []BurnPoint
	}

	// Contributor is a failure domain or a worker that consumed part of the error budget.
	Contributor struct {
		Name       string
		Total, Bad uint64
		Share      float64 // its share of the bad events with a known failure domain or worker
	}

	// BurnPoint is the burn rate of the bucket that is Age older than the newest one.
	BurnPoint struct {
		Age  timer.Millis
		Burn float64
	}

	windowCount struct{ bad, total uint64 }
)

// Report returns the state of all objectives at now.
func (r *Reporter) Report(now timer.Millis) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.Objectives.withDefaults()
	r.advance(now, o)
	width := o.Long / bucketCount
	// Rounded up to whole buckets, plus one because the newest bucket covers only part of its interval.
	short := int64(min(bucketCount, (o.Short+width-1)/width+1))
	out := Report{Short: o.Short, Long: o.Long}
	for objective := range objectiveCount {
		row := newStatus(objective, o)
		shortCount, longCount := r.sumLast(objective, short), r.sumLast(objective, bucketCount)
		row.Total, row.Bad = longCount.total, longCount.bad
		row.BurnShort, row.BurnLong = burnRate(shortCount, row.Target), burnRate(longCount, row.Target)
		row.BudgetLeft = 1 - row.BurnLong
		row.Domains = r.contributors(objective, r.domains.names, domainTallies)
		row.Workers = r.contributors(objective, r.workers.names, workerTallies)
		row.Series = r.burnSeries(objective, row.Target, width)
		out.Objectives = append(out.Objectives, row)
	}
	return out
}

func newStatus(objective int, o Objectives) ObjectiveStatus {
	switch objective {
	case responseObjective:
		return ObjectiveStatus{Name: "response", Target: o.ResponseTarget, Description: "complete jobs within the ideal response time times the allowed ratio"}
	case successObjective:
		return ObjectiveStatus{Name: "success", Target: o.SuccessTarget, Description: "jobs that do not fail"}
	}
	return ObjectiveStatus{Name: "withdrawal", Target: o.WithdrawalTarget, Description: "withdrawals of failure domains obeyed everywhere in time"}
}

// burnRate returns the share of bad events divided by the share that the target allows.
func burnRate(s windowCount, target float64) float64 {
	if s.total == 0 || s.bad == 0 {
		return 0
	}
	allowed := max(1-target, 1e-9) // keeps the rate finite for a target of 1, since JSON has no infinity
	return float64(s.bad) / float64(s.total) / allowed
}

// sumLast returns the events of the objective in the last n buckets.
func (r *Reporter) sumLast(objective int, n int64) windowCount {
	var s windowCount
	for i := range r.ring {
		if b := &r.ring[i]; r.inLastBuckets(b, n) {
			s.bad += uint64(b.all[objective].bad)
			s.total += uint64(b.all[objective].total)
		}
	}
	return s
}

// contributors returns the failure domains or workers with the most bad events in the long window.
func (r *Reporter) contributors(objective int, names []string, tallies func(*bucket) *[]tally) []Contributor {
	sums := make([]windowCount, len(names))
	for i := range r.ring {
		if !r.inLastBuckets(&r.ring[i], bucketCount) {
			continue
		}
		for id, t := range *tallies(&r.ring[i]) {
			sums[id].bad += uint64(t[objective].bad)
			sums[id].total += uint64(t[objective].total)
		}
	}
	var bad uint64 // counts jobs and tasks, so it may exceed the bad events of the objective
	for _, s := range sums {
		bad += s.bad
	}
	var out []Contributor
	for id, s := range sums {
		if s.bad > 0 {
			out = append(out, Contributor{Name: names[id], Total: s.total, Bad: s.bad, Share: float64(s.bad) / float64(bad)})
		}
	}
	slices.SortFunc(out, func(a, b Contributor) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Name, b.Name))
	})
	return out[:min(len(out), maxContributors)]
}

func (r *Reporter) burnSeries(objective int, target float64, width timer.Millis) []BurnPoint {
	points := make([]BurnPoint, 0, bucketCount)
	for age := int64(bucketCount - 1); age >= 0; age-- {
		p := BurnPoint{Age: timer.Millis(age) * width}
		if n := r.latest - age; n >= 0 {
			if b := &r.ring[n%bucketCount]; b.number == n {
				p.Burn = burnRate(windowCount{uint64(b.all[objective].bad), uint64(b.all[objective].total)}, target)
			}
		}
		points = append(points, p)
	}
	return points
}
