// Package reporter measures service levels against objectives and keeps metrics. The computation of burn rates takes the
// time as an argument and uses bounded memory.
package reporter

import (
	"sync"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	responseObjective = iota
	successObjective
	withdrawalObjective
	objectiveCount
)

const (
	bucketCount = 60
	maxDomains  = 64
	maxWorkers  = 4096
	otherLabel  = "(other)"
)

type (
	// Objectives are the service-level objectives. Zero fields take the default given at the end of each comment.
	Objectives struct {
		ResponseRatio    float64      // a job is slow if it takes longer than the ideal time multiplied by this, plus the slack; 1.10
		ResponseSlack    timer.Millis // added to the limit because times are measured in whole ms; 2 ms
		ResponseTarget   float64      // share of complete jobs that are not slow; 0.99
		SuccessTarget    float64      // share of jobs that do not fail; 0.999
		WithdrawalLimit  timer.Millis // time within which a withdrawal must apply everywhere; 3,000 ms
		WithdrawalTarget float64      // share of withdrawals applied in time; 0.999
		Short            timer.Millis // short window; 5 min
		Long             timer.Millis // long window, the period of the error budget; 60 min
	}

	// Observation is an answered job, or a finished task if Task is set. Objectives count jobs only; a task counts only
	// for its worker and failure domain, which may be empty. If Ideal is 0 (unknown), the response time is not evaluated.
	Observation struct {
		Domain, Worker  string
		Response, Ideal timer.Millis
		Failed          bool
		Task            bool
	}

	// Reporter counts observations in a ring of 60 buckets that covers the long window. The zero value is ready to use.
	// Set Objectives before the first call. The methods are safe for concurrent use.
	Reporter struct {
		Objectives Objectives

		mu      sync.Mutex
		ring    [bucketCount]bucket
		latest  int64 // number of the newest bucket; never decreases, even if the time does
		domains labelTable
		workers labelTable
	}

	eventCount struct{ bad, total uint32 }
	tally      [objectiveCount]eventCount
	bucket     struct {
		number  int64
		all     tally
		domains []tally
		workers []tally
	}

	labelTable struct {
		ids   map[string]int
		names []string
	}
)

// withDefaults returns o with defaults for its zero fields.
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

// Observe records an answered job or a finished task at now.
func (r *Reporter) Observe(now timer.Millis, v Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.Objectives.withDefaults()
	var t tally
	t[successObjective] = newEventCount(v.Failed)
	if !v.Failed && v.Ideal > 0 {
		limit := float64(v.Ideal)*o.ResponseRatio + float64(o.ResponseSlack)
		t[responseObjective] = newEventCount(float64(v.Response) > limit)
	}
	r.advance(now, o)
	if !v.Task {
		r.newestBucket().all.add(t)
	}
	r.attribute(v.Domain, v.Worker, t)
}

// ObserveWithdrawal records a withdrawal of a failure domain and the time until it applied everywhere.
func (r *Reporter) ObserveWithdrawal(now timer.Millis, domain string, duration timer.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.Objectives.withDefaults()
	var t tally
	t[withdrawalObjective] = newEventCount(duration > o.WithdrawalLimit)
	r.advance(now, o)
	r.newestBucket().all.add(t)
	r.attribute(domain, "", t)
}

func newEventCount(bad bool) eventCount {
	if bad {
		return eventCount{bad: 1, total: 1}
	}
	return eventCount{total: 1}
}

func (r *Reporter) newestBucket() *bucket { return &r.ring[r.latest%bucketCount] }

// attribute adds t to the counts of a failure domain and a worker.
func (r *Reporter) attribute(domain, worker string, t tally) {
	b := r.newestBucket()
	if domain != "" {
		b.domains = addTally(b.domains, r.labelID(&r.domains, domain, maxDomains, domainTallies), t)
	}
	if worker != "" {
		b.workers = addTally(b.workers, r.labelID(&r.workers, worker, maxWorkers, workerTallies), t)
	}
}

// advance makes the bucket of now the newest one and clears it if it holds counts of an earlier interval.
func (r *Reporter) advance(now timer.Millis, o Objectives) {
	r.latest = max(r.latest, int64(now/(o.Long/bucketCount)))
	b := &r.ring[r.latest%bucketCount]
	if b.number != r.latest {
		clear(b.domains)
		clear(b.workers)
		*b = bucket{number: r.latest, domains: b.domains, workers: b.workers}
	}
}

// inLastBuckets reports whether b is one of the last n buckets.
func (r *Reporter) inLastBuckets(b *bucket, n int64) bool {
	return b.number <= r.latest && b.number > r.latest-n
}

func (t *tally) add(u tally) {
	for i := range t {
		t[i].bad += u[i].bad
		t[i].total += u[i].total
	}
}

func addTally(ts []tally, id int, t tally) []tally {
	for len(ts) <= id {
		ts = append(ts, tally{})
	}
	ts[id].add(t)
	return ts
}

func domainTallies(b *bucket) *[]tally { return &b.domains }
func workerTallies(b *bucket) *[]tally { return &b.workers }

// labelID returns the index of a name. If the table is full, names without counts in the ring are evicted; if there are
// none, the name is counted as "(other)".
func (r *Reporter) labelID(l *labelTable, name string, limit int, tallies func(*bucket) *[]tally) int {
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

// compact removes the names without counts and renumbers the others in every bucket.
func (r *Reporter) compact(l *labelTable, tallies func(*bucket) *[]tally) {
	used := make([]bool, len(l.names))
	used[0] = true
	for i := range r.ring {
		if !r.inLastBuckets(&r.ring[i], bucketCount) {
			continue
		}
		for id, t := range *tallies(&r.ring[i]) {
			used[id] = used[id] || t != tally{}
		}
	}
	compacted := labelTable{ids: map[string]int{}}
	newIDs := make([]int, len(l.names))
	for id, name := range l.names {
		if used[id] {
			newIDs[id] = len(compacted.names)
			compacted.ids[name] = len(compacted.names)
			compacted.names = append(compacted.names, name)
		}
	}
	for i := range r.ring {
		old := tallies(&r.ring[i])
		var kept []tally
		if r.inLastBuckets(&r.ring[i], bucketCount) {
			for id, t := range *old {
				if used[id] {
					kept = addTally(kept, newIDs[id], t)
				}
			}
		}
		*old = kept
	}
	*l = compacted
}
