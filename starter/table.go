package starter

import (
	"slices"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// detailOverhead is the size of a detail without its contents. Without it, results without bodies would escape the
	// bound; a full table of them takes 17 MB.
	detailOverhead = 64

	lostBody = "the task succeeded, but its result was dropped for lack of memory"
)

type (
	// table is the started-task table. The zero value is ready to use. Keys are kept by job, because the ownership
	// of a job is computed once for all its tasks.
	table struct {
		jobs        map[string]*job
		ended       []endedRow // oldest end first, with few exceptions; the first dropped ones have been forgotten
		dropped     int
		bodiless    int // rows of ended before this one have lost their bodies
		bytes       int // of details
		uncollected int
		early       uint64 // keys forgotten before their retention was over
	}

	job struct {
		key  string
		rows []row // in order of the index
	}

	row struct {
		index  uint32
		status encoder.Status
		state  string
		detail *detail // nil while the task runs, and when memory was short
	}

	detail struct {
		body   []byte
		reason string
		ran    timer.Millis
	}

	endedRow struct {
		job   *job
		index uint32
		at    timer.Millis
	}

	// canceledKeys remembers canceled tasks that were not started here. The zero value is ready to use.
	canceledKeys struct {
		keys  map[encoder.TaskKey]bool
		order []canceledKey
	}

	canceledKey struct {
		task encoder.TaskKey
		at   timer.Millis
	}
)

// find returns the row of a task, or nil. It is valid until the next change of the table.
func (t *table) find(k encoder.TaskKey) *row {
	if j, ok := t.jobs[k.Job]; ok {
		return j.find(k.Index)
	}
	return nil
}

// add records a task as running.
func (t *table) add(k encoder.TaskKey) {
	if t.jobs == nil {
		t.jobs = map[string]*job{}
	}
	j, ok := t.jobs[k.Job]
	if !ok {
		j = &job{key: k.Job}
		t.jobs[k.Job] = j
	}
	i, _ := j.search(k.Index)
	j.rows = slices.Insert(j.rows, i, row{index: k.Index, status: encoder.StatusRunning, state: stateRunning})
}

// end records the end of a running task and returns a copy of its row.
func (t *table) end(now timer.Millis, k encoder.TaskKey, state string, o Outcome) row {
	j := t.jobs[k.Job]
	r := j.find(k.Index)
	r.status, r.state = o.Status, state
	r.detail = &detail{body: o.Body, reason: o.Reason, ran: o.Ran}
	t.bytes += r.detail.size()
	t.uncollected++
	t.ended = append(t.ended, endedRow{j, k.Index, now})
	return *r
}

// remove forgets a task.
func (t *table) remove(k encoder.TaskKey) {
	j := t.jobs[k.Job]
	if i, ok := j.search(k.Index); ok {
		j.rows = slices.Delete(j.rows, i, i+1)
	}
	if len(j.rows) == 0 {
		delete(t.jobs, k.Job)
	}
}

// collect notes that the owner has the result of an ended task. Other tasks are left alone. The body stays while there
// is room, because the owner may die before all callers have their answer.
func (t *table) collect(k encoder.TaskKey) {
	if r := t.find(k); r != nil && r.state == stateEnded {
		r.state = step(attemptChart, r.state, eventCollect)
		t.uncollected--
	}
}

// expire forgets tasks that ended before the given time. It also forgets the oldest collected ones beyond maxKeys, and
// drops the oldest bodies beyond maxBytes. Tasks without collection stay, because their owner may repeat the start.
func (t *table) expire(before timer.Millis, maxKeys, maxBytes int) {
	for t.dropped < len(t.ended) {
		e := t.ended[t.dropped]
		r := e.job.find(e.index)
		if e.at >= before {
			if kept := len(t.ended) - t.dropped; kept <= maxKeys || kept <= t.uncollected {
				break
			}
			if r.state == stateEnded {
				t.ended = append(t.ended, e)
				t.ended[t.dropped] = endedRow{}
				t.dropped++
				continue
			}
			t.early++
		}
		if r.state == stateEnded {
			t.uncollected--
		}
		t.strip(r)
		step(attemptChart, r.state, eventExpire)
		t.remove(encoder.TaskKey{Job: e.job.key, Index: e.index})
		t.ended[t.dropped] = endedRow{}
		t.dropped++
	}
	for t.bodiless = max(t.bodiless, t.dropped); t.bytes > maxBytes && t.bodiless < len(t.ended); t.bodiless++ {
		e := t.ended[t.bodiless]
		t.strip(e.job.find(e.index))
	}
	if t.dropped > 1024 && t.dropped > len(t.ended)/2 {
		t.ended = append([]endedRow(nil), t.ended[t.dropped:]...)
		t.bodiless -= t.dropped
		t.dropped = 0
	}
}

// strip drops the body and the reason of r.
func (t *table) strip(r *row) {
	if r.detail != nil {
		t.bytes -= r.detail.size()
		r.detail = nil
	}
}

func (j *job) search(index uint32) (int, bool) {
	return slices.BinarySearchFunc(j.rows, index, func(r row, i uint32) int { return int(r.index) - int(i) })
}

func (j *job) find(index uint32) *row {
	if i, ok := j.search(index); ok {
		return &j.rows[i]
	}
	return nil
}

// report returns what the sidecar can say about a task. A success without its body is reported as unknown, because an
// empty body would pass for the result.
func (r *row) report() (status encoder.Status, body []byte, reason string, ran timer.Millis) {
	switch {
	case r.detail != nil:
		return r.status, r.detail.body, r.detail.reason, r.detail.ran
	case r.status == encoder.StatusDone:
		return encoder.StatusUnknown, nil, lostBody, 0
	}
	return r.status, nil, "", 0
}

func (d *detail) size() int { return len(d.body) + len(d.reason) + detailOverhead }

func (c *canceledKeys) has(k encoder.TaskKey) bool { return c.keys[k] }

func (c *canceledKeys) add(now timer.Millis, k encoder.TaskKey) {
	if c.keys[k] {
		return
	}
	if c.keys == nil {
		c.keys = map[encoder.TaskKey]bool{}
	}
	c.keys[k] = true
	c.order = append(c.order, canceledKey{k, now})
}

// expire forgets keys that were added before the given time, and the oldest ones beyond maxKeys.
func (c *canceledKeys) expire(before timer.Millis, maxKeys int) {
	for len(c.order) > 0 && (c.order[0].at < before || len(c.order) > maxKeys) {
		delete(c.keys, c.order[0].task)
		c.order = c.order[1:]
	}
}
