package scheduler

import (
	"container/heap"
	"slices"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// maxRoom bounds the tasks for which a new part of a job reserves room.
	maxRoom = 128
	// urgencyHorizon is how long before its latest start a job with a deadline overtakes jobs that arrived earlier.
	urgencyHorizon = 2 * timer.Second
	// virtualUnit scales run times to virtual time, so that weights up to this value keep their precision.
	virtualUnit = 1024
)

type (
	// queue holds the queued tasks by class, team and job. Teams share by start-time fair queueing, jobs of a team are
	// ordered by rank, and tasks of a job by index of arrival.
	queue struct {
		classes []*class
		teams   map[string]*team
		jobs    map[string][]*job // one job has one part for each class that its tasks need
		length  int
		work    timer.Millis // estimated run time of all queued tasks
		virtual int64        // virtual time of the last placed task
		expiry  expiryHeap
	}

	// class is the set of queued tasks that need the same kind and memory.
	class struct {
		kind     string
		memoryMB uint64
		active   laneHeap // lanes with queued jobs whose team is below its quota
		lanes    map[*team]*lane
		shapes   []*shape // sidecar shapes that fit; kept by the fleet
	}

	// lane holds one team's jobs within one class.
	lane struct {
		class *class
		team  *team
		jobs  jobHeap
		// finish is the team's virtual finish time when the lane was last ordered. It only grows, so an old value is
		// corrected when the lane comes to the top.
		finish int64
		index  int // position in the class's active lanes, -1 when not there
	}

	team struct {
		name    string
		weight  uint32
		quota   uint32
		running uint32
		queued  int
		finish  int64   // virtual finish time of the team's last placed task
		waiting []*lane // lanes left out because the quota is reached
	}

	job struct {
		key   string
		rank  timer.Millis
		run   timer.Millis // estimated run time of one task
		tasks []Task
		head  int
		lane  *lane
		index int // position in the lane's heap
	}

	jobHeap []*job

	laneHeap []*lane

	expiryItem struct {
		deadline timer.Millis
		job      string
	}

	expiryHeap []expiryItem
)

func (q *queue) setTeam(name string, weight, quota uint32) {
	t := q.team(name)
	t.weight, t.quota = max(weight, 1), quota
	t.release()
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

func (q *queue) push(t Task, run timer.Millis, c *class) {
	if q.jobs == nil {
		q.jobs = map[string][]*job{}
	}
	tm := q.team(t.Team)
	if tm.queued == 0 {
		// A team that was idle starts at the present virtual time; it saves up no share.
		tm.finish = max(tm.finish, q.virtual)
	}
	tm.queued++
	q.length++
	j := q.part(t, run, c, tm)
	q.work += j.run
	if j.head > 0 && len(j.tasks) == cap(j.tasks) {
		j.tasks = j.tasks[:copy(j.tasks, j.tasks[j.head:])]
		j.head = 0
	}
	j.tasks = append(j.tasks, t)
	if t.Deadline != 0 && len(j.tasks)-j.head == 1 {
		heap.Push(&q.expiry, expiryItem{t.Deadline, t.Key.Job})
	}
}

// part returns the job's part in the class and puts it into its lane when it is new.
func (q *queue) part(t Task, run timer.Millis, c *class, tm *team) *job {
	for _, j := range q.jobs[t.Key.Job] {
		if j.lane.team == tm && j.lane.class == c {
			return j
		}
	}
	j := &job{key: t.Key.Job, run: run, rank: rank(t, run), lane: q.lane(c, tm)}
	j.tasks = make([]Task, 0, min(max(t.JobLeft, 1), maxRoom)) // usually all tasks of a job are queued together
	q.jobs[t.Key.Job] = append(q.jobs[t.Key.Job], j)
	heap.Push(&j.lane.jobs, j)
	j.lane.order()
	return j
}

func (q *queue) lane(c *class, tm *team) *lane {
	l := c.lanes[tm]
	if l == nil {
		if c.lanes == nil {
			c.lanes = map[*team]*lane{}
			q.classes = append(q.classes, c)
		}
		l = &lane{class: c, team: tm, index: -1}
		c.lanes[tm] = l
	}
	return l
}

// order puts the lane in its place among the active lanes of its class, or out of them when it has no jobs.
func (l *lane) order() {
	switch {
	case len(l.jobs) == 0 && l.index >= 0:
		heap.Remove(&l.class.active, l.index)
	case len(l.jobs) == 0:
	case l.index >= 0:
		heap.Fix(&l.class.active, l.index)
	case !slices.Contains(l.team.waiting, l):
		l.finish = l.team.finish
		heap.Push(&l.class.active, l)
	}
}

// top returns the lane whose team comes next, or nil.
func (c *class) top() *lane {
	for len(c.active) > 0 {
		l := c.active[0]
		switch {
		case l.team.quota != 0 && l.team.running >= l.team.quota:
			heap.Pop(&c.active)
			l.team.waiting = append(l.team.waiting, l)
		case l.finish != l.team.finish:
			l.finish = l.team.finish
			heap.Fix(&c.active, 0)
		default:
			return l
		}
	}
	return nil
}

// rank orders the jobs of a team: by arrival, but a job that must start soon to meet its deadline comes earlier.
func rank(t Task, run timer.Millis) timer.Millis {
	if t.Deadline == 0 {
		return t.Arrived
	}
	return min(t.Arrived, t.Deadline-run-urgencyHorizon)
}

// best returns the job to place next and the sidecar for it, or nil when nothing can be placed.
func (q *queue) best(f *fleet, now, wait timer.Millis) (*job, *sidecar) {
	var chosen *job
	var target *sidecar
	for _, c := range q.classes {
		l := c.top()
		if l == nil || chosen != nil && !before(l.jobs[0], chosen) {
			continue
		}
		if sc := f.pick(c, now, wait, l.jobs[0].run); sc != nil {
			chosen, target = l.jobs[0], sc
		}
	}
	return chosen, target
}

func before(a, b *job) bool {
	if a.lane.team != b.lane.team && a.lane.team.finish != b.lane.team.finish {
		return a.lane.team.finish < b.lane.team.finish
	}
	return a.rank < b.rank
}

// pop takes the first task out of the job and charges its team.
func (q *queue) pop(j *job) Task {
	t := j.tasks[j.head]
	j.tasks[j.head] = Task{}
	j.head++
	tm := j.lane.team
	q.virtual = max(q.virtual, tm.finish)
	tm.finish += int64(j.run) * virtualUnit / int64(max(tm.weight, 1))
	tm.running++
	tm.queued--
	q.length--
	q.work -= j.run
	if j.head == len(j.tasks) {
		q.drop(j)
	}
	return t
}

func (q *queue) ended(name string) {
	t := q.teams[name]
	if t == nil || t.running == 0 {
		return
	}
	t.running--
	t.release()
}

// release brings the lanes back that were left out because of the quota.
func (t *team) release() {
	waiting := t.waiting
	t.waiting = t.waiting[:0]
	for _, l := range waiting {
		l.order()
	}
}

// drop removes a job part from its lane.
func (q *queue) drop(j *job) {
	heap.Remove(&j.lane.jobs, j.index)
	j.lane.order()
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

func (q *queue) cancel(key string) []Task {
	var dropped []Task
	for len(q.jobs[key]) > 0 {
		j := q.jobs[key][0]
		left := j.tasks[j.head:]
		dropped = append(dropped, left...)
		j.lane.team.queued -= len(left)
		q.length -= len(left)
		q.work -= j.run * timer.Millis(len(left))
		q.drop(j)
	}
	return dropped
}

func (q *queue) expired(now timer.Millis) []Task {
	var dropped []Task
	for len(q.expiry) > 0 && q.expiry[0].deadline <= now {
		dropped = append(dropped, q.cancel(q.expiry[0].job)...)
		heap.Pop(&q.expiry)
	}
	return dropped
}
