package placer

import (
	"iter"
	"slices"
)

// requestQueue holds the queued requests in the order of compareRequests. Requests that compare equal keep their order of
// insertion. A request must be removed before a field that determines its order changes. The zero value is empty.
type requestQueue struct {
	requests []*request
}

func (q *requestQueue) insert(r *request) {
	i, _ := slices.BinarySearchFunc(q.requests, r, func(queued, r *request) int {
		if compareRequests(queued, r) <= 0 {
			return -1
		}
		return 1
	})
	q.requests = slices.Insert(q.requests, i, r)
}

func (q *requestQueue) remove(r *request) {
	q.requests = slices.DeleteFunc(q.requests, func(o *request) bool { return o == r })
}

func (q *requestQueue) length() int { return len(q.requests) }

// all returns the requests in order. The queue must not change during the iteration.
func (q *requestQueue) all() iter.Seq[*request] { return slices.Values(q.requests) }

// snapshot returns a copy of the requests in order, for loops that change the queue.
func (q *requestQueue) snapshot() []*request { return slices.Clone(q.requests) }

// workBefore returns the work, in millicores times milliseconds, of the queued requests of r's service that are ordered
// before r. r need not be queued.
func (q *requestQueue) workBefore(r *request) (work int64) {
	for o := range q.all() {
		if o != r && o.service == r.service && compareRequests(o, r) <= 0 {
			work += o.work()
		}
	}
	return work
}
