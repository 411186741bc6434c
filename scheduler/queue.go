package scheduler

import (
	"container/heap"
	"slices"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// maxPreallocatedTasks limits the capacity that is allocated up front for the task list of a new job part.
	maxPreallocatedTasks = 128
	// urgencyHorizon is how long before its latest start time a job with a deadline takes precedence over jobs that
	// arrived earlier.
	urgencyHorizon = 2 * timer.Second
	// virtualTimeScale is the number of units of virtual time per millisecond of run time at weight 1. It keeps the
	// integer division by weights up to this value precise.
	virtualTimeScale = 1024
)

type (
	// queue holds the queued tasks by class, team and job. Teams share capacity by start-time fair queueing, the jobs of
	// a team are ordered by rank, and the tasks of a job are served in the order in which they were queued.
	queue struct {
		classes     []*taskClass
		teams       map[string]*team
		jobs        map[string][]*job // by job key; a job has one part per task class
		length      int
		queuedWork  timer.Millis // estimated run time of all queued tasks
		virtualTime int64        // virtual time at which the last placed task started
		expiry      expiryHeap
	}

	// taskClass groups the queued tasks that have the same kind and memory requirement.
	taskClass struct {
		kind       string
		memoryMB   uint64
		active     teamQueueHeap // queues with jobs whose team is below its quota
		teamQueues map[*team]*teamQueue
		shapes     []*shape // sidecar shapes that can run the class; maintained by fleet
	}

	// teamQueue holds the jobs of one team within one task class.
	teamQueue struct {
		class *taskClass
		team  *team
		jobs  jobHeap
		// orderedFinish is the team's virtualFinish as of the last time the queue was positioned in the heap. virtualFinish
		// never decreases, so it is enough to correct a stale value when the queue reaches the top of the heap.
		orderedFinish int64
		index         int // position in the class's active heap, -1 when absent
	}

	team struct {
		name          string
		weight        uint32
		quota         uint32
		running       uint32
		queued        int
		virtualFinish int64        // virtual finish time of the team's last placed task
		blocked       []*teamQueue // queues removed from their active heaps while the team is at its quota
	}

	job struct {
		key     string
		rank    timer.Millis
		runTime timer.Millis // estimated run time of one task
		tasks   []Task
		head    int
		queue   *teamQueue
		index   int // position in the queue's job heap
	}

	jobHeap []*job

	teamQueueHeap []*teamQueue

	expiryItem struct {
		deadline timer.Millis
		job      string
	}

	expiryHeap []expiryItem
)

func (q *queue) setTeam(name string, weight, quota uint32) {
	t := q.team(name)
	t.weight, t.quota = max(weight, 1), quota
	t.unblock()
}

func (q *queue) team(name string) *team {
	t := q.teams[name]
	if t == nil {
		if q.teams == nil {
			q.teams = map[string]*team{}
		}
		t = &team{name: name, weight: 1}
		q.teams[name] = t
	}
	return t
}

func (q *queue) push(t Task, runTime timer.Millis, c *taskClass) {
	if q.jobs == nil {
		q.jobs = map[string][]*job{}
	}
	tm := q.team(t.Team)
	if tm.queued == 0 {
		// An idle team does not accumulate a share: it resumes at the current virtual time.
		tm.virtualFinish = max(tm.virtualFinish, q.virtualTime)
	}
	tm.queued++
	q.length++
	j := q.jobPart(t, runTime, c, tm)
	q.queuedWork += j.runTime
	if j.head > 0 && len(j.tasks) == cap(j.tasks) {
		j.tasks = j.tasks[:copy(j.tasks, j.tasks[j.head:])]
		j.head = 0
	}
	j.tasks = append(j.tasks, t)
	if t.Deadline != 0 && len(j.tasks)-j.head == 1 {
		heap.Push(&q.expiry, expiryItem{t.Deadline, t.Key.Job})
	}
}

// jobPart returns the part of the task's job in class c, and creates and enqueues it if needed.
func (q *queue) jobPart(t Task, runTime timer.Millis, c *taskClass, tm *team) *job {
	for _, j := range q.jobs[t.Key.Job] {
		if j.queue.team == tm && j.queue.class == c {
			return j
		}
	}
	j := &job{key: t.Key.Job, runTime: runTime, rank: rank(t, runTime), queue: q.teamQueue(c, tm)}
	j.tasks = make([]Task, 0, min(max(t.JobRemaining, 1), maxPreallocatedTasks)) // all tasks of a job are usually queued together
	q.jobs[t.Key.Job] = append(q.jobs[t.Key.Job], j)
	heap.Push(&j.queue.jobs, j)
	j.queue.reposition()
	return j
}

func (q *queue) teamQueue(c *taskClass, tm *team) *teamQueue {
	tq := c.teamQueues[tm]
	if tq == nil {
		if c.teamQueues == nil {
			c.teamQueues = map[*team]*teamQueue{}
			q.classes = append(q.classes, c)
		}
		tq = &teamQueue{class: c, team: tm, index: -1}
		c.teamQueues[tm] = tq
	}
	return tq
}

// reposition restores the queue's position in the active heap of its class, and removes it when it has no jobs. A queue
// that is blocked by its team's quota stays out.
func (tq *teamQueue) reposition() {
	switch {
	case len(tq.jobs) == 0 && tq.index >= 0:
		heap.Remove(&tq.class.active, tq.index)
	case len(tq.jobs) == 0:
	case tq.index >= 0:
		heap.Fix(&tq.class.active, tq.index)
	case !slices.Contains(tq.team.blocked, tq):
		tq.orderedFinish = tq.team.virtualFinish
		heap.Push(&tq.class.active, tq)
	}
}

// nextQueue returns the active queue with the lowest virtual finish time, or nil. It moves queues of teams at their quota
// to the team's blocked list.
func (c *taskClass) nextQueue() *teamQueue {
	for len(c.active) > 0 {
		tq := c.active[0]
		switch {
		case tq.team.quota != 0 && tq.team.running >= tq.team.quota:
			heap.Pop(&c.active)
			tq.team.blocked = append(tq.team.blocked, tq)
		case tq.orderedFinish != tq.team.virtualFinish:
			tq.orderedFinish = tq.team.virtualFinish
			heap.Fix(&c.active, 0)
		default:
			return tq
		}
	}
	return nil
}

// rank returns the sort key of a job within its team: the arrival time, or an earlier time if the job must start soon to
// meet its deadline.
func rank(t Task, runTime timer.Millis) timer.Millis {
	if t.Deadline == 0 {
		return t.Arrived
	}
	return min(t.Arrived, t.Deadline-runTime-urgencyHorizon)
}

// selectNext returns the next job to place and the sidecar for it, or nil if no task can be placed.
func (q *queue) selectNext(f *fleet, now, wait timer.Millis) (*job, *sidecar) {
	var chosen *job
	var target *sidecar
	for _, c := range q.classes {
		tq := c.nextQueue()
		if tq == nil || chosen != nil && !precedes(tq.jobs[0], chosen) {
			continue
		}
		if sc := f.pick(c, now, wait, tq.jobs[0].runTime); sc != nil {
			chosen, target = tq.jobs[0], sc
		}
	}
	return chosen, target
}

func precedes(a, b *job) bool {
	if a.queue.team != b.queue.team && a.queue.team.virtualFinish != b.queue.team.virtualFinish {
		return a.queue.team.virtualFinish < b.queue.team.virtualFinish
	}
	return a.rank < b.rank
}

// pop removes the first task of the job part and charges its run time to the team.
func (q *queue) pop(j *job) Task {
	t := j.tasks[j.head]
	j.tasks[j.head] = Task{}
	j.head++
	tm := j.queue.team
	q.virtualTime = max(q.virtualTime, tm.virtualFinish)
	tm.virtualFinish += int64(j.runTime) * virtualTimeScale / int64(max(tm.weight, 1))
	tm.running++
	tm.queued--
	q.length--
	q.queuedWork -= j.runTime
	if j.head == len(j.tasks) {
		q.removePart(j)
	}
	return t
}

func (q *queue) taskEnded(name string) {
	t := q.teams[name]
	if t == nil || t.running == 0 {
		return
	}
	t.running--
	t.unblock()
}

// unblock returns the queues that were blocked by the team's quota to the active heaps.
func (t *team) unblock() {
	blocked := t.blocked
	t.blocked = t.blocked[:0]
	for _, tq := range blocked {
		tq.reposition()
	}
}

// removePart removes a job part from its queue and from the job index.
func (q *queue) removePart(j *job) {
	heap.Remove(&j.queue.jobs, j.index)
	j.queue.reposition()
	parts := q.jobs[j.key]
	for i := range parts {
		if parts[i] == j {
			parts = append(parts[:i], parts[i+1:]...)
			break
		}
	}
	if len(parts) == 0 {
		delete(q.jobs, j.key)
	} else {
		q.jobs[j.key] = parts
	}
}

func (q *queue) cancelJob(key string) []Task {
	var dropped []Task
	for len(q.jobs[key]) > 0 {
		j := q.jobs[key][0]
		left := j.tasks[j.head:]
		dropped = append(dropped, left...)
		j.queue.team.queued -= len(left)
		q.length -= len(left)
		q.queuedWork -= j.runTime * timer.Millis(len(left))
		q.removePart(j)
	}
	return dropped
}

func (q *queue) removeExpired(now timer.Millis) []Task {
	var dropped []Task
	for len(q.expiry) > 0 && q.expiry[0].deadline <= now {
		dropped = append(dropped, q.cancelJob(q.expiry[0].job)...)
		heap.Pop(&q.expiry)
	}
	return dropped
}
