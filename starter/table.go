package starter

import (
	"slices"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// resultOverhead is the size of a taskResult without its contents. If it were not counted, empty results would not
	// count toward MaxResultBytes; a full table of them uses 17 MB.
	resultOverhead = 64

	droppedResultReason = "the task succeeded, but its result was dropped for lack of memory"
)

type (
	// startedTable is the started-task table, which deduplicates starts. The zero value is ready to use. Tasks are
	// grouped by job, so that the owner is computed once per job.
	startedTable struct {
		jobs         map[string]*job
		ended        []endedTask // approximately in order of endedAt; the first evicted elements are cleared
		evicted      int
		strippedEnd  int // the results of the elements of ended before this index have been dropped
		resultBytes  int // total size of the retained results
		uncollected  int
		evictedEarly uint64 // number of keys evicted before the end of their retention
	}

	job struct {
		key  string
		rows []row // sorted by index
	}

	row struct {
		index  uint32
		status encoder.Status
		state  string
		result *taskResult // nil while the task runs, and after the result was dropped
	}

	taskResult struct {
		body    []byte
		reason  string
		runTime timer.Millis
	}

	endedTask struct {
		job     *job
		index   uint32
		endedAt timer.Millis
	}

	// canceledKeys is the set of canceled tasks. The zero value is ready to use.
	canceledKeys struct {
		keys  map[encoder.TaskKey]bool
		order []canceledKey
	}

	canceledKey struct {
		task       encoder.TaskKey
		canceledAt timer.Millis
	}
)

// find returns the row of a task, or nil. The pointer is valid until the next change of the table.
func (t *startedTable) find(k encoder.TaskKey) *row {
	if j, ok := t.jobs[k.Job]; ok {
		return j.findRow(k.Index)
	}
	return nil
}

// add records a task as running.
func (t *startedTable) add(k encoder.TaskKey) {
	if t.jobs == nil {
		t.jobs = map[string]*job{}
	}
	j, ok := t.jobs[k.Job]
	if !ok {
		j = &job{key: k.Job}
		t.jobs[k.Job] = j
	}
	i, _ := j.searchRow(k.Index)
	j.rows = slices.Insert(j.rows, i, row{index: k.Index, status: encoder.StatusRunning, state: stateRunning})
}

// end records the outcome of a running task and returns a copy of its row.
func (t *startedTable) end(now timer.Millis, k encoder.TaskKey, state string, o Outcome) row {
	j := t.jobs[k.Job]
	r := j.findRow(k.Index)
	r.status, r.state = o.Status, state
	r.result = &taskResult{body: o.Body, reason: o.Reason, runTime: o.RunTime}
	t.resultBytes += r.result.size()
	t.uncollected++
	t.ended = append(t.ended, endedTask{j, k.Index, now})
	return *r
}

func (t *startedTable) remove(k encoder.TaskKey) {
	j := t.jobs[k.Job]
	if i, ok := j.searchRow(k.Index); ok {
		j.rows = slices.Delete(j.rows, i, i+1)
	}
	if len(j.rows) == 0 {
		delete(t.jobs, k.Job)
	}
}

// markCollected records that the owner has the result of an ended task. It ignores other tasks. The result is retained
// as long as memory allows, because the owner may fail before all callers have received their answers.
func (t *startedTable) markCollected(k encoder.TaskKey) {
	if r := t.find(k); r != nil && r.state == stateEnded {
		r.state = nextState(attemptChart, r.state, eventCollect)
		t.uncollected--
	}
}

// evict removes tasks that ended before the given time. If more than maxKeys remain, it also removes the oldest
// collected ones, but not uncollected ones, because their owner may repeat the start. If the results exceed maxBytes,
// it drops the oldest ones.
func (t *startedTable) evict(before timer.Millis, maxKeys, maxBytes int) {
	for t.evicted < len(t.ended) {
		e := t.ended[t.evicted]
		r := e.job.findRow(e.index)
		if e.endedAt >= before {
			if remaining := len(t.ended) - t.evicted; remaining <= maxKeys || remaining <= t.uncollected {
				break
			}
			if r.state == stateEnded {
				t.ended = append(t.ended, e)
				t.ended[t.evicted] = endedTask{}
				t.evicted++
				continue
			}
			t.evictedEarly++
		}
		if r.state == stateEnded {
			t.uncollected--
		}
		t.dropResult(r)
		nextState(attemptChart, r.state, eventExpire)
		t.remove(encoder.TaskKey{Job: e.job.key, Index: e.index})
		t.ended[t.evicted] = endedTask{}
		t.evicted++
	}
	for t.strippedEnd = max(t.strippedEnd, t.evicted); t.resultBytes > maxBytes && t.strippedEnd < len(t.ended); t.strippedEnd++ {
		e := t.ended[t.strippedEnd]
		t.dropResult(e.job.findRow(e.index))
	}
	if t.evicted > 1024 && t.evicted > len(t.ended)/2 {
		t.ended = append([]endedTask(nil), t.ended[t.evicted:]...)
		t.strippedEnd -= t.evicted
		t.evicted = 0
	}
}

// dropResult drops the body and the reason of r.
func (t *startedTable) dropResult(r *row) {
	if r.result != nil {
		t.resultBytes -= r.result.size()
		r.result = nil
	}
}

func (j *job) searchRow(index uint32) (int, bool) {
	return slices.BinarySearchFunc(j.rows, index, func(r row, i uint32) int { return int(r.index) - int(i) })
}

func (j *job) findRow(index uint32) *row {
	if i, ok := j.searchRow(index); ok {
		return &j.rows[i]
	}
	return nil
}

// resultFields returns the contents of a Result message for a task. If the body of a success was dropped, the status is
// unknown, because the owner would take an empty body for the result.
func (r *row) resultFields() (status encoder.Status, body []byte, reason string, runTime timer.Millis) {
	switch {
	case r.result != nil:
		return r.status, r.result.body, r.result.reason, r.result.runTime
	case r.status == encoder.StatusDone:
		return encoder.StatusUnknown, nil, droppedResultReason, 0
	}
	return r.status, nil, "", 0
}

func (r *taskResult) size() int { return len(r.body) + len(r.reason) + resultOverhead }

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

// evict removes keys that were added before the given time, and the oldest ones if there are more than maxKeys.
func (c *canceledKeys) evict(before timer.Millis, maxKeys int) {
	for len(c.order) > 0 && (c.order[0].canceledAt < before || len(c.order) > maxKeys) {
		delete(c.keys, c.order[0].task)
		c.order = c.order[1:]
	}
}
