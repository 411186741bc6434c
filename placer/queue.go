package placer

import (
	"iter"
	"slices"

	"github.com/crocuslb/crocuslb/indexer"
	"github.com/crocuslb/crocuslb/timer"
)

// requestQueue holds the queued requests in the order of compareRequests. Requests that compare equal keep their order of
// insertion. A request must be removed before a field that determines its order changes. The zero value is empty.
type requestQueue struct{ index indexer.Queue[*request] }

func (q *requestQueue) insert(r *request) {
	r.queued = q.index.Insert(r, r.service, r.rank(), r.deadline(), float64(r.work()))
}

// remove removes a queued request. It does nothing for others.
func (q *requestQueue) remove(r *request) {
	if r.queued != 0 {
		q.index.Remove(r.queued)
		r.queued = 0
	}
}

// updateWork updates the sums after a change of a request's number of tasks.
func (q *requestQueue) updateWork(r *request) { q.index.SetWork(r.queued, float64(r.work())) }

func (q *requestQueue) length() int { return q.index.Len() }

// all returns the requests in order. The queue must not change during the iteration.
func (q *requestQueue) all() iter.Seq[*request] { return q.from(rankStarted) }

// late returns the late requests that have not started in order. The queue must not change during the iteration.
func (q *requestQueue) late() iter.Seq[*request] { return q.from(rankLate) }

func (q *requestQueue) from(rank int) iter.Seq[*request] {
	return func(yield func(*request) bool) {
		for h := q.index.FirstOfRank(rank); h != 0; h = q.index.Next(h) {
			if !yield(q.index.Item(h)) {
				return
			}
		}
	}
}

// snapshot returns a copy of the requests in order, for loops that change the queue.
func (q *requestQueue) snapshot() []*request { return slices.Collect(q.all()) }

// workBefore returns the work, in millicores times milliseconds, of the queued requests of r's service that are ordered
// before r. r must not be queued.
func (q *requestQueue) workBefore(r *request) float64 {
	return q.index.WorkBefore(r.service, r.rank(), r.deadline())
}

// appendExpired appends, in order, the requests that have not started and whose deadline is at or before a time. deadline
// returns a time that is at or after the one by which the request is ordered.
func (q *requestQueue) appendExpired(expired []*request, until timer.Millis, deadline func(*request) timer.Millis) []*request {
	for rank := rankInTime; rank <= rankLate; rank++ {
		for h := q.index.FirstOfRank(rank); h != 0; h = q.index.Next(h) {
			if p := q.index.Position(h); p.Rank != rank || p.Deadline > until {
				break
			}
			if r := q.index.Item(h); deadline(r) <= until {
				expired = append(expired, r)
			}
		}
	}
	return expired
}
