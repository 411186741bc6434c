// Package reporter measures service levels against objectives and keeps metrics. The burn core is pure: the time is an
// argument, and its memory is bounded.
package reporter

import (
	"sync"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	response = iota
	success
	withdrawal
	objectives
)

const (
	bucketCount = 60
	maxDomains  = 64
	maxWorkers  = 4096
	otherLabel  = "(other)"
)

type (
	// Objectives are the service levels that are promised. A zero field means its default.
	Objectives struct {
		ResponseRatio    float64      // a job is slow when it takes more than this times the ideal; 1.10
		ResponseSlack    timer.Millis // added to the limit, since times are measured in whole ms; 2 ms
		ResponseTarget   float64      // share of complete jobs that are not slow; 0.99
		SuccessTarget    float64      // share of jobs that do not fail; 0.999
		WithdrawalLimit  timer.Millis // time in which a withdrawal is obeyed everywhere; 3,000 ms
		WithdrawalTarget float64      // share of withdrawals obeyed in time; 0.999
		Short            timer.Millis // short window; 5 min
		Long             timer.Millis // long window, over which the error budget is counted; 60 min
	}

	// Observation is one answered job, or one ended task when Task is set. The objectives count jobs only; a task
	// counts only for its worker and failure domain, which may be empty. Ideal is 0 when unknown; the response time is
	// not judged then.
	Observation struct {
		Domain, Worker  string
		Response, Ideal timer.Millis
		Failed          bool
		Task            bool
	}

	// Reporter counts observations in a ring of 60 buckets that covers the long window. The zero value is ready to
	// use. Set Objectives before the first call; the methods may be called concurrently.
	Reporter struct {
		Objectives Objectives

		mu      sync.Mutex
		ring    [bucketCount]bucket
		latest  int64 // number of the newest bucket; time never goes back behind it
		domains labels
		workers labels
	}

	count  struct{ bad, total uint32 }
	tally  [objectives]count
	bucket struct {
		number  int64
		all     tally
		domains []tally
		workers []tally
	}

	labels struct {
		ids   map[string]int
		names []string
	}
)

// withDefaults returns o with its zero fields replaced.
func (o Objectives) withDefaults() Objectives {
	for _, f := range []struct {
		field *float64
		value float64
	}{{&o.ResponseRatio, 1.10}, {&o.ResponseTarget, 0.99}, {&o.SuccessTarget, 0.999}, {&o.WithdrawalTarget, 0.999}} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	for _, f := range []struct {
		field *timer.Millis
		value timer.Millis
	}{{&o.ResponseSlack, 2}, {&o.WithdrawalLimit, 3 * timer.Second}, {&o.Short, 5 * timer.Minute}, {&o.Long, 60 * timer.Minute}} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	o.Long = max(o.Long, bucketCount)
	o.Short = min(o.Short, o.Long)
	return o
}

// Observe counts an answered job or an ended task at now.
func (r *Reporter) Observe(now timer.Millis, v Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.Objectives.withDefaults()
	var t tally
	t[success] = judged(v.Failed)
	if !v.Failed && v.Ideal > 0 {
		limit := float64(v.Ideal)*o.ResponseRatio + float64(o.ResponseSlack)
		t[response] = judged(float64(v.Response) > limit)
	}
	r.advance(now, o)
	if !v.Task {
		r.newest().all.add(t)
	}
	r.blame(v.Domain, v.Worker, t)
}

// ObserveWithdrawal counts a withdrawal of a failure domain that took the given time to be obeyed everywhere.
func (r *Reporter) ObserveWithdrawal(now timer.Millis, domain string, took timer.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.Objectives.withDefaults()
	var t tally
	t[withdrawal] = judged(took > o.WithdrawalLimit)
	r.advance(now, o)
	r.newest().all.add(t)
	r.blame(domain, "", t)
}

func judged(bad bool) count {
	if bad {
		return count{bad: 1, total: 1}
	}
	return count{total: 1}
}

func (r *Reporter) newest() *bucket { return &r.ring[r.latest%bucketCount] }

// blame counts t for a failure domain and a worker.
func (r *Reporter) blame(domain, worker string, t tally) {
	b := r.newest()
	if domain != "" {
		b.domains = addTo(b.domains, r.label(&r.domains, domain, maxDomains, domainTallies), t)
	}
	if worker != "" {
		b.workers = addTo(b.workers, r.label(&r.workers, worker, maxWorkers, workerTallies), t)
	}
}

// advance makes the bucket of now the newest one and clears it when it held an older part of time.
func (r *Reporter) advance(now timer.Millis, o Objectives) {
	r.latest = max(r.latest, int64(now/(o.Long/bucketCount)))
	b := &r.ring[r.latest%bucketCount]
	if b.number != r.latest {
		clear(b.domains)
		clear(b.workers)
		*b = bucket{number: r.latest, domains: b.domains, workers: b.workers}
	}
}

// live reports whether the bucket belongs to the last n buckets.
func (r *Reporter) live(b *bucket, n int64) bool {
	return b.number <= r.latest && b.number > r.latest-n
}

func (t *tally) add(u tally) {
	for i := range t {
		t[i].bad += u[i].bad
		t[i].total += u[i].total
	}
}

func addTo(ts []tally, id int, t tally) []tally {
	for len(ts) <= id {
		ts = append(ts, tally{})
	}
	ts[id].add(t)
	return ts
}

func domainTallies(b *bucket) *[]tally { return &b.domains }
func workerTallies(b *bucket) *[]tally { return &b.workers }

// label returns the number of a name. When the table is full, names without counts in the ring make room; when none
// do, the name is counted as "(other)".
func (r *Reporter) label(l *labels, name string, limit int, tallies func(*bucket) *[]tally) int {
	if id, ok := l.ids[name]; ok {
		return id
	}
	if l.ids == nil {
		l.ids = map[string]int{otherLabel: 0}
		l.names = []string{otherLabel}
	}
	if len(l.names) >= limit {
		r.compact(l, tallies)
	}
	if len(l.names) >= limit {
		return 0
	}
	l.ids[name] = len(l.names)
	l.names = append(l.names, name)
	return l.ids[name]
}

// compact drops the names without counts and renumbers the rest in every bucket.
func (r *Reporter) compact(l *labels, tallies func(*bucket) *[]tally) {
	used := make([]bool, len(l.names))
	used[0] = true
	for i := range r.ring {
		if !r.live(&r.ring[i], bucketCount) {
			continue
		}
		for id, t := range *tallies(&r.ring[i]) {
			used[id] = used[id] || t != tally{}
		}
	}
	next := labels{ids: map[string]int{}}
	moved := make([]int, len(l.names))
	for id, name := range l.names {
		if used[id] {
			moved[id] = len(next.names)
			next.ids[name] = len(next.names)
			next.names = append(next.names, name)
		}
	}
	for i := range r.ring {
		old := tallies(&r.ring[i])
		var kept []tally
		if r.live(&r.ring[i], bucketCount) {
			for id, t := range *old {
				if used[id] {
					kept = addTo(kept, moved[id], t)
				}
			}
		}
		*old = kept
	}
	*l = next
}
