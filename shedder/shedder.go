// Package shedder selects the queued requests to give up under overload, so that their refusal costs callers least. It
// uses no clock and no I/O, and is not safe for concurrent use.
package shedder

import (
	"cmp"
	"math"
	"slices"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// maxWeightExponent bounds the weight of a refusal from below. Priorities beyond it count alike.
	maxWeightExponent = 6
	// maxSizeFactor bounds the factor on the cost of small requests.
	maxSizeFactor = 4
	// retainedShare is the share of a request's slack that its forecast wait may take when it is queued. The rest covers
	// errors of the forecast, so that few queued requests are refused later.
	retainedShare = 0.85
)

const (
	// Delayed means that the request is late: it may start after its soft deadline.
	Delayed Verdict = iota + 1
	// Refused means that the request is refused.
	Refused
)

type (
	// Verdict is what happens to a request that is given up.
	Verdict uint8

	// Item is a queued request of a service.
	Item struct {
		// Work is at least 1, in units of the forecast.
		Work         int64
		SoftDeadline timer.Millis // latest start on time
		HardDeadline timer.Millis // latest start
		// Cost is the cost of a refusal per unit of work.
		Cost    float64
		Arrived timer.Millis
		// New is set if the request was not in an earlier pass.
		New bool
		// Begun is set if the request must not be given up.
		Begun bool
		Late  bool
		// Protected is set if a group of the request is served too little. Such requests are given up last.
		Protected bool
	}

	// Forecast is the forecast that a pass relies on.
	Forecast struct {
		// DrainRate is the work granted per millisecond.
		DrainRate float64
		// Overtaking returns the work that is expected to arrive, to be ordered before the item and to cost more.
		Overtaking func(i *Item) float64
		// LateWait returns the time until the given work is granted from the capacity that other requests leave.
		LateWait func(work float64) timer.Millis
	}

	// Decision concerns an item that is given up.
	Decision struct {
		Index   int
		Verdict Verdict
		// GaveWay is set if the item was given up in favor of another one.
		GaveWay bool
		// Wait is the forecast wait without the other items that are given up.
		Wait timer.Millis
	}

	// Shedder selects requests. It keeps only memory between passes. The zero value is ready to use.
	Shedder struct {
		order     []int // item indexes by rising preference
		rank      []int // position in order by item index
		candidate ranks
		given     []bool
		decisions []Decision
	}
)

// Weight returns the weight of a priority, of which 0 is the highest.
func Weight(priority uint64) float64 {
	return math.Exp2(-float64(min(priority, maxWeightExponent)))
}

// Cost returns the cost per work of refusing a request. meanWork is the mean work of its queue's requests.
func Cost(weight, work, meanWork float64) float64 {
	if work <= 0 || meanWork <= 0 {
		return weight
	}
	return weight * min((1+meanWork/work)/2, maxSizeFactor)
}

// Pass traverses the items of a service, which are in queue order, and returns those that are given up. The result is
// valid until the next call.
//
// It follows Moore and Hodgson: where an item would start too late, the items of lowest cost among those up to this point
// are given up until it fits. They are spared if giving all of them up does not suffice, or if the item is new and its own
// refusal costs less than that of the first of them.
func (s *Shedder) Pass(now timer.Millis, items []Item, f Forecast) []Decision {
	s.prepare(items)
	if f.DrainRate <= 0 {
		return nil
	}
	var work int64 // of the items before the current one that are kept on time
	for i := range items {
		item := &items[i]
		if !item.Begun && !item.Late {
			s.candidate.add(s.rank[i], item.Work)
			work -= s.makeRoom(now, items, i, float64(work), f)
		}
		if !item.Late && !s.given[i] {
			work += item.Work
		}
	}
	s.placeLate(now, items, work, f)
	return s.decisions
}

func (s *Shedder) prepare(items []Item) {
	s.order, s.rank, s.given = s.order[:0], s.rank[:0], s.given[:0]
	s.decisions = s.decisions[:0]
	for i := range items {
		s.order, s.rank, s.given = append(s.order, i), append(s.rank, 0), append(s.given, false)
	}
	slices.SortFunc(s.order, func(a, b int) int { return compareItems(&items[a], &items[b]) })
	for rank, i := range s.order {
		s.rank[i] = rank
	}
	s.candidate.reset(len(items))
}

// compareItems orders items by preference, the first one to give up first. Of equal items and of protected ones, the latest
// arrival is given up first, because its caller has waited least. If the cost decided among protected items, the costly
// ones would take the floors of the others.
func compareItems(a, b *Item) int {
	switch {
	case a.Protected && b.Protected:
		return cmp.Compare(b.Arrived, a.Arrived)
	case b.Protected:
		return -1
	case a.Protected:
		return 1
	}
	return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(b.Arrived, a.Arrived))
}

// makeRoom gives items up until item i fits behind the given work, and returns the work of those before item i.
func (s *Shedder) makeRoom(now timer.Millis, items []Item, i int, before float64, f Forecast) (freed int64) {
	work := before + f.Overtaking(&items[i])
	excess := work - f.DrainRate*float64(RetainedStart(&items[i])-now)
	if excess <= 0 {
		return 0
	}
	if excess > float64(s.candidate.before(s.rank[i])) {
		if items[i].New || work > f.DrainRate*float64(items[i].SoftDeadline-now) {
			s.giveUp(items, i, false, f, before)
		}
		return 0
	}
	first := &items[s.order[s.candidate.first()]]
	if items[i].New && !items[i].Protected && first.total() > items[i].total() {
		s.giveUp(items, i, false, f, before)
		return 0
	}
	for float64(freed) < excess && s.candidate.first() < s.rank[i] {
		victim := s.order[s.candidate.first()]
		s.giveUp(items, victim, true, f, before)
		freed += items[victim].Work
	}
	return freed
}

// RetainedStart returns the latest start on time, less the reserve for errors of the forecast.
func RetainedStart(i *Item) timer.Millis {
	return i.Arrived + timer.Millis(retainedShare*float64(i.SoftDeadline-i.Arrived))
}

// total returns the cost of refusing an item.
func (i *Item) total() float64 { return i.Cost * float64(i.Work) }

func (s *Shedder) giveUp(items []Item, i int, gaveWay bool, f Forecast, before float64) {
	s.given[i] = true
	s.candidate.add(s.rank[i], -items[i].Work)
	s.decisions = append(s.decisions, Decision{Index: i, Verdict: Refused, GaveWay: gaveWay, Wait: timer.Millis((before + f.Overtaking(&items[i])) / f.DrainRate)})
}

// placeLate keeps those of the given-up and late items that are expected to start before their hard deadlines, and refuses
// the others. work is the work of the items on time.
func (s *Shedder) placeLate(now timer.Millis, items []Item, work int64, f Forecast) {
	for i := range items {
		if items[i].Late && !items[i].Begun {
			s.decisions = append(s.decisions, Decision{Index: i, Verdict: Refused, Wait: timer.Millis(float64(work) / f.DrainRate)})
		}
	}
	slices.SortStableFunc(s.decisions, func(a, b Decision) int {
		return cmp.Compare(items[a.Index].HardDeadline, items[b.Index].HardDeadline)
	})
	n := 0
	for _, d := range s.decisions {
		item := &items[d.Index]
		wait := f.LateWait(float64(work))
		fits := now+wait < item.HardDeadline
		if fits {
			work += item.Work
			d.Verdict = Delayed
		}
		if fits && item.Late {
			continue // as before
		}
		s.decisions[n] = d
		n++
	}
	s.decisions = s.decisions[:n]
}
