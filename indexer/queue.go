package indexer

import (
	"cmp"

	"github.com/crocuslb/crocuslb/timer"
)

type (
	// Position orders the elements of a queue: by rank, then by deadline, then by arrival.
	Position struct {
		Rank     int
		Deadline timer.Millis
		Arrival  uint64 // number of the insertion
	}

	// Queue holds elements in the order of their positions, with the sum of their work by service. The zero value is ready
	// to use.
	Queue[T any] struct {
		order    Tree[Position, struct{}]
		entries  []entry[T] // by handle in order
		services map[string]*Tree[Position, float64]
		spare    []*Tree[Position, float64] // trees of services without elements
		arrivals uint64
	}

	// entry is an element of a queue.
	entry[T any] struct {
		item    T
		service string
		works   *Tree[Position, float64] // of the service
		work    Handle                   // in works
	}
)

// Compare is negative if p is ordered before o.
func (p Position) Compare(o Position) int {
	switch {
	case p.Rank != o.Rank:
		return cmp.Compare(p.Rank, o.Rank)
	case p.Deadline != o.Deadline:
		return cmp.Compare(p.Deadline, o.Deadline)
	}
	return cmp.Compare(p.Arrival, o.Arrival)
}

// Insert adds an element behind those with an equal rank and deadline. Sums are exact while they stay below 2^53 and the
// work has no fraction.
func (q *Queue[T]) Insert(item T, service string, rank int, deadline timer.Millis, work float64) Handle {
	if q.services == nil {
		q.services = map[string]*Tree[Position, float64]{}
		q.order.Compare = Position.Compare
		q.order.Merge = func(a, _ struct{}) struct{} { return a }
	}
	q.arrivals++
	position := Position{rank, deadline, q.arrivals}
	works := q.worksOf(service)
	h := q.order.Insert(position, struct{}{})
	for len(q.entries) <= int(h) {
		q.entries = append(q.entries, entry[T]{})
	}
	q.entries[h] = entry[T]{item, service, works, works.Insert(position, work)}
	return h
}

// Remove removes an element.
func (q *Queue[T]) Remove(h Handle) {
	e := q.entries[h]
	q.order.Remove(h)
	q.entries[h] = entry[T]{}
	e.works.Remove(e.work)
	if e.works.Len() == 0 {
		delete(q.services, e.service)
		q.spare = append(q.spare, e.works)
	}
}

// SetWork replaces the work of an element.
func (q *Queue[T]) SetWork(h Handle, work float64) {
	q.entries[h].works.Update(q.entries[h].work, work)
}

// Len returns the number of elements.
func (q *Queue[T]) Len() int { return q.order.Len() }

// LenOf returns the number of elements of a service.
func (q *Queue[T]) LenOf(service string) int {
	if works := q.services[service]; works != nil {
		return works.Len()
	}
	return 0
}

// First returns the first element in order, or 0.
func (q *Queue[T]) First() Handle { return q.order.First() }

// Next returns the element after another one, or 0.
func (q *Queue[T]) Next(h Handle) Handle { return q.order.Next(h) }

// FirstOfRank returns the first element whose rank is at least rank, or 0.
func (q *Queue[T]) FirstOfRank(rank int) Handle {
	return q.order.Seek(func(p Position) bool { return p.Rank >= rank })
}

// Item returns an element.
func (q *Queue[T]) Item(h Handle) T { return q.entries[h].item }

// Position returns the position of an element.
func (q *Queue[T]) Position(h Handle) Position { return q.order.Key(h) }

// EarliestDeadline returns the earliest deadline of a rank, and whether the rank has elements.
func (q *Queue[T]) EarliestDeadline(rank int) (timer.Millis, bool) {
	h := q.FirstOfRank(rank)
	if h == 0 {
		return 0, false
	}
	position := q.Position(h)
	return position.Deadline, position.Rank == rank
}

// Work returns the work of all elements of a service.
func (q *Queue[T]) Work(service string) float64 {
	if works := q.services[service]; works != nil {
		return works.Sum()
	}
	return 0
}

// WorkBefore returns the work of a service that would be ordered before an element inserted now with a rank and deadline.
func (q *Queue[T]) WorkBefore(service string, rank int, deadline timer.Millis) float64 {
	if works := q.services[service]; works != nil {
		return works.SumBefore(Position{rank, deadline, q.arrivals + 1})
	}
	return 0
}

func (q *Queue[T]) worksOf(service string) *Tree[Position, float64] {
	works := q.services[service]
	if works != nil {
		return works
	}
	if last := len(q.spare) - 1; last >= 0 {
		works, q.spare = q.spare[last], q.spare[:last]
	} else {
		works = &Tree[Position, float64]{Compare: Position.Compare, Merge: func(a, b float64) float64 { return a + b }}
	}
	q.services[service] = works
	return works
}
