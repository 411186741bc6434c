package reporter

import (
	"cmp"
	"slices"

	"github.com/crocuslb/crocuslb/timer"
)

const maxCulprits = 5

type (
	// Report is the state of all objectives at a point in time.
	Report struct {
		Short, Long timer.Millis
		Rows        []Row
	}

	// Row is the state of one objective. A burn rate of 1 uses up the error budget exactly by the end of the long
	// window. Left is the share of the budget that is left; it is negative when the budget is overdrawn.
	Row struct {
		Name                string
		Meaning             string
		Target              float64
		Total, Bad          uint64 // in the long window
		BurnShort, BurnLong float64
		Left                float64
		Domains, Workers    []Culprit // those that burn most, in the long window
		Series              []Point
	}

	// Culprit is a failure domain or a worker with its part of the burnt budget.
	Culprit struct {
		Name       string
		Total, Bad uint64
		Share      float64 // its share of all that was bad at a known failure domain or worker
	}

	// Point is the burn rate of one bucket that ends Age ago.
	Point struct {
		Age  timer.Millis
		Burn float64
	}

	sum struct{ bad, total uint64 }
)

// Report returns the state of all objectives at now.
func (r *Reporter) Report(now timer.Millis) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.Objectives.withDefaults()
	r.advance(now, o)
	width := o.Long / bucketCount
	// The short window has at least one bucket, and the newest bucket is only partly filled, so one is added.
	short := int64(min(bucketCount, (o.Short+width-1)/width+1))
	out := Report{Short: o.Short, Long: o.Long}
	for k := range objectives {
		row := describe(k, o)
		recent, all := r.sum(k, short), r.sum(k, bucketCount)
		row.Total, row.Bad = all.total, all.bad
		row.BurnShort, row.BurnLong = burn(recent, row.Target), burn(all, row.Target)
		row.Left = 1 - row.BurnLong
		row.Domains = r.culprits(k, r.domains.names, domainTallies)
		row.Workers = r.culprits(k, r.workers.names, workerTallies)
		row.Series = r.series(k, row.Target, width)
		out.Rows = append(out.Rows, row)
	}
	return out
}

func describe(k int, o Objectives) Row {
	switch k {
	case response:
		return Row{Name: "response", Target: o.ResponseTarget, Meaning: "complete jobs within the ideal response time times the allowed ratio"}
	case success:
		return Row{Name: "success", Target: o.SuccessTarget, Meaning: "jobs that do not fail"}
	}
	return Row{Name: "withdrawal", Target: o.WithdrawalTarget, Meaning: "withdrawals of failure domains obeyed everywhere in time"}
}

// burn is the share of bad events divided by the share that the target allows.
func burn(s sum, target float64) float64 {
	if s.total == 0 || s.bad == 0 {
		return 0
	}
	allowed := max(1-target, 1e-9) // a target of 1 allows nothing; the rate stays finite for JSON
	return float64(s.bad) / float64(s.total) / allowed
}

func (r *Reporter) sum(k int, n int64) sum {
	var s sum
	for i := range r.ring {
		if b := &r.ring[i]; r.live(b, n) {
			s.bad += uint64(b.all[k].bad)
			s.total += uint64(b.all[k].total)
		}
	}
	return s
}

func (r *Reporter) culprits(k int, names []string, tallies func(*bucket) *[]tally) []Culprit {
	sums := make([]sum, len(names))
	for i := range r.ring {
		if !r.live(&r.ring[i], bucketCount) {
			continue
		}
		for id, t := range *tallies(&r.ring[i]) {
			sums[id].bad += uint64(t[k].bad)
			sums[id].total += uint64(t[k].total)
		}
	}
	var bad uint64 // jobs and tasks, so it may exceed the bad events of the objective
	for _, s := range sums {
		bad += s.bad
	}
	var out []Culprit
	for id, s := range sums {
		if s.bad > 0 {
			out = append(out, Culprit{Name: names[id], Total: s.total, Bad: s.bad, Share: float64(s.bad) / float64(bad)})
		}
	}
	slices.SortFunc(out, func(a, b Culprit) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Name, b.Name))
	})
	return out[:min(len(out), maxCulprits)]
}

func (r *Reporter) series(k int, target float64, width timer.Millis) []Point {
	points := make([]Point, 0, bucketCount)
	for age := int64(bucketCount - 1); age >= 0; age-- {
		p := Point{Age: timer.Millis(age) * width}
		if n := r.latest - age; n >= 0 {
			if b := &r.ring[n%bucketCount]; b.number == n {
				p.Burn = burn(sum{uint64(b.all[k].bad), uint64(b.all[k].total)}, target)
			}
		}
		points = append(points, p)
	}
	return points
}
