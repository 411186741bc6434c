// Package submitter is the core of an entry on the path of restartable jobs. It owns the jobs of its callers, starts
// their tasks on the workers that a placing entry grants, and answers once each task has ended for certain. It is pure:
// it has no clock and no I/O, and one goroutine calls it.
package submitter

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/placer"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// SilenceLimit is the time without a sign of life after which a process is held for lost. It equals the sidecar's
	// limit, so that both ends give up at about the same time.
	SilenceLimit = 450 * timer.Millisecond
	// suspectLimit is the time without a sign of life, of two heartbeats, after which an entry is not asked to place any
	// more. Asking another one is harmless if the first one is only slow, because sidecars keep account of the room.
	suspectLimit = 300 * timer.Millisecond
	// beatPeriod is the time between two heartbeats on a session without other messages.
	beatPeriod = 150 * timer.Millisecond
	// certainAfter is the time since a sidecar's last sign of life after which its runs have surely ended. The sidecar may
	// hear the entry for SilenceLimit longer, then stops them within its own limit and one tick; if it is suspended, their
	// lease of 700 ms on a clock that is 2% slow ends them.
	certainAfter = 1750 * timer.Millisecond
	// startLife is how long after its sending a start may still be carried out.
	startLife = 400 * timer.Millisecond
	// attemptGap separates the attempt numbers of this entry from those of another one that ran the task before.
	attemptGap = 16
	// placerWait is how long after the end of a job's patience an answer of the placing entry is awaited.
	placerWait = 100 * timer.Millisecond
	// waitShare is the part of the expected response time that a job may wait for its first start. The rest covers its
	// run and estimates that are off by 40%; a caller that is refused within it can still go elsewhere.
	waitShare = 0.35
	// patienceShare is the part of a caller's deadline for which a job may wait for its first start. An answer after the
	// expected response time is worth more to the caller than a refusal, and a caller that is refused by then still has
	// most of its time to go elsewhere.
	patienceShare = 0.4
	// maxPatience bounds the wait of jobs with long deadlines.
	maxPatience = 2 * timer.Second
	// usefulShare is the multiple of the expected response time after which an answer is of no use to a caller.
	usefulShare = 3
	// lateRun is the factor on a job's estimated run time that has to be left before its deadline at a late start.
	lateRun = 1.4
	// maxDeadline bounds the deadlines that callers state, so that sums with them stay in range.
	maxDeadline = 60 * timer.Minute
	// defaultDeadline bounds jobs whose callers state no deadline.
	defaultDeadline = 30 * timer.Second
	// repeatAfter is how long a request for room of a job that can no longer be refused stays without a grant before it is
	// repeated. The placing entry may have dropped it with a session that only its end saw break.
	repeatAfter = timer.Second
)

const (
	taskQueued = iota + 1 // waits for a grant
	taskPlaced            // ordered on a sidecar, without an outcome
	taskDone
)

type (
	// Job is a job of a caller. Nothing is kept of a restartable one, and its tasks may run again once their earlier
	// attempt has surely ended. A kept one is stored before it begins, and its owner may change (kept.go).
	Job struct {
		ID       string
		Kind     Kind
		Queue    router.Queue
		Spec     string
		Steps    []marshaler.Step
		Deadline timer.Millis // time for which the caller waits; 0 for none stated
		Waited   timer.Millis // part of that time that had passed before Submit
		// Answer is called once.
		Answer func(a Answer)
	}

	// Submitter is the state of an entry. Set the exported fields before the first call.
	Submitter struct {
		Name        string
		Incarnation uint64
		Domain      string
		Weight      uint64
		Report      func(e Event)
		// Partitions is the number of partitions of the kept jobs.
		Partitions uint64
		// Record hands a record of a partition to the store, under the epoch of its owner. done is called in the order of
		// the records, or not at all when the partition is lost.
		Record func(partition, epoch uint64, body []byte, done func(now timer.Millis, offset uint64))
		// Redealt is called when another entry says that it owns other partitions than before.
		Redealt func()
		// WantKept is called when a kept job comes and none is known to the store.
		WantKept func()

		kept     keptJobs
		snapshot router.Snapshot
		relay    router.Relay
		placer   placer.Placer
		now      timer.Millis // of the current call
		leaving  bool
		jobs     map[string]*job
		sidecars map[string]*sidecar
		peers    map[string]*peer
		ticked   timer.Millis
		// beganTick is the time of the latest Tick, or of the latest notice of a pause.
		beganTick timer.Millis
	}

	// Event is a decision, for logs and counters.
	Event struct {
		Kind   string
		Job    string
		Queue  string
		Peer   string
		Detail string
		Value  int64
		Count  int64
		Took   timer.Millis
		// Expected is the response time that the job's queue promises, in an answer.
		Expected timer.Millis
		// Deadline is the time that the caller stated, in an answer; 0 for none.
		Deadline timer.Millis
	}

	// job is a job in work.
	job struct {
		Job
		waiters   []func(a Answer)
		arrived   timer.Millis
		latest    timer.Millis // latest start within the expected response time
		last      timer.Millis // latest first start at all
		until     timer.Millis // deadline
		steps     []step
		done      int
		unsettled int          // tasks in taskPlaced
		ran       bool         // some run began
		granted   timer.Millis // of the first grant
		avoid     []string     // sidecars that failed a task of the job or could not be reached
		keeping   keeping
	}

	task struct {
		state    int
		attempt  uint64
		ordered  uint64 // latest attempt that this entry ordered or adopted
		recorded uint64 // latest attempt of a kept job whose end is recorded
		failures uint64
		sidecar  string
		sidecarN uint64 // incarnation of the sidecar
	}

	// sidecar is a sidecar process as this entry sees it.
	sidecar struct {
		name        string
		incarnation uint64
		link        *marshaler.Link
		domain      string
		liveness
		backend    *marshaler.Backend
		clock      int64
		clockAt    timer.Millis
		offset     uint64
		subscribed bool
		session    uint64                      // number of the current session at this entry
		remote     uint64                      // number that the sidecar gave it; readers of two sessions may overtake each other
		placed     map[marshaler.RunKey]uint64 // ordered runs, with the session that carried the order
		doubtful   bool                        // no session: placed runs end for certain at certainAt
		certainAt  timer.Millis
	}

	// peer is another entry.
	peer struct {
		hello marshaler.Hello
		link  *marshaler.Link
		liveness
		askedAt timer.Millis // of the latest request for room between the two
		mayKeep bool         // it says that kept jobs may be in use
		offset  uint64
		leaving bool
		suspect bool              // silent for suspectLimit; its open requests were repeated elsewhere
		owned   map[uint64]uint64 // epochs of its partitions
		waiting map[string]uint64 // its kept jobs that have not begun, by queue
	}
)

// at sets the time of the current call and, at the first one, the functions of the placer.
func (s *Submitter) at(now timer.Millis) {
	s.now = now
	if s.jobs != nil {
		s.checkLease()
		s.noticePause()
		return
	}
	s.jobs, s.sidecars, s.peers = map[string]*job{}, map[string]*sidecar{}, map[string]*peer{}
	s.kept.owned, s.kept.over, s.kept.calls = map[uint64]*partition{}, map[string]*overJob{}, map[uint64]*operation{}
	s.placer.Grant = s.sendGrant
	s.placer.Reject = s.sendReject
	s.placer.Report = func(e placer.Event) {
		s.report(Event{Kind: e.Kind, Job: e.Job, Peer: e.Entry + e.Worker, Detail: e.Detail, Value: e.Value})
	}
}

// Snapshot returns the configuration in force.
func (s *Submitter) Snapshot() router.Snapshot { return s.snapshot }

// SetSnapshot puts a configuration into force and passes it on. The caller makes sure that it is not older.
func (s *Submitter) SetSnapshot(now timer.Millis, snapshot router.Snapshot) {
	s.at(now)
	s.snapshot = snapshot
	s.relay.Changed(now)
	s.beatAll()
}

// Ready reports whether the entry can serve callers.
func (s *Submitter) Ready() bool { return s.snapshot.Version > 0 && !s.leaving && len(s.sidecars) > 0 }

// Active returns the number of jobs in work.
func (s *Submitter) Active() int { return len(s.jobs) }

// Submit takes a job. A job that is in work already gets one more caller.
func (s *Submitter) Submit(now timer.Millis, j Job) {
	s.at(now)
	if old := s.jobs[j.ID]; old != nil && !j.Kind.Kept {
		old.waiters = append(old.waiters, j.Answer)
		s.report(Event{Kind: "attach", Job: j.ID, Queue: j.Queue.Name})
		return
	}
	if reason := j.malformed(); reason != "" {
		s.report(Event{Kind: "refuse", Queue: j.Queue.Name, Detail: "submitter " + reason})
		j.Answer(Answer{Kind: AnswerMalformed, Reason: reason})
		return
	}
	if reason := j.unsupported(); reason != "" {
		s.report(Event{Kind: "refuse", Job: j.ID, Queue: j.Queue.Name, Detail: "submitter " + reason})
		j.Answer(Answer{Kind: AnswerNotRun, Reason: reason, RetryAfter: unsupportedRetry})
		return
	}
	if !j.Kind.Kept {
		s.admit(&job{Job: j, steps: newSteps(j.Steps)})
		return
	}
	if !s.kept.inUse && s.WantKept != nil {
		s.WantKept()
	}
	s.route(&operation{verb: marshaler.VerbSubmit, job: j, queue: j.Queue.Name, answer: j.Answer, until: now + submitRouteTime})
}

// admit asks for room for a new job.
func (s *Submitter) admit(j *job) {
	wait := min(j.Deadline, maxDeadline)
	if wait <= 0 {
		wait = defaultDeadline
	}
	slack := timer.Millis(waitShare * float64(j.expected()))
	j.waiters = []func(a Answer){j.Answer}
	j.arrived = s.now - j.Waited
	j.latest, j.until = j.arrived+slack, j.arrived+wait
	useful := min(j.until, j.arrived+timer.Millis(usefulShare*float64(j.expected())))
	j.last = max(j.latest, min(j.arrived+Patience(j.Deadline), useful-timer.Millis(lateRun*float64(j.longestChain()))))
	s.jobs[j.ID] = j
	s.askReady(j)
}

// expected returns the response time that the job's queue promises for its estimated run time.
func (j *Job) expected() timer.Millis {
	return timer.Millis(j.Queue.Stretch*float64(j.longestChain())) + j.Queue.Target
}

// Patience returns for how long a job may wait for its first start, by its caller's deadline; 0 means none stated.
func Patience(deadline timer.Millis) timer.Millis {
	if deadline <= 0 {
		return maxPatience
	}
	return min(timer.Millis(patienceShare*float64(deadline)), maxPatience)
}

// Drop ends a job whose caller left or cancelled it.
func (s *Submitter) Drop(now timer.Millis, id, reason string) bool {
	s.at(now)
	j := s.jobs[id]
	if j == nil || j.keeping.storing {
		return false
	}
	s.finish(j, Answer{Kind: AnswerGaveUp, Reason: reason})
	return true
}

// Waiting returns the number of the queue's jobs of which no task has started.
func (s *Submitter) Waiting(queue string) (waiting int) {
	for _, j := range s.jobs {
		if j.Queue.Name == queue && !j.ran && j.unsettled == 0 {
			waiting++
		}
	}
	for _, p := range s.peers {
		if p.link != nil {
			waiting += int(p.waiting[queue])
		}
	}
	return waiting
}

// Tick handles what depends on the time. It is called several times in each beatPeriod.
func (s *Submitter) Tick(now timer.Millis) {
	s.at(now)
	s.beganTick = now
	s.checkActivity()
	s.checkSilence()
	s.repeatRequests()
	s.expireJobs()
	s.tickKept()
	s.beat()
	s.Flush(now)
}

// expireJobs ends the jobs whose deadline or patience has passed.
func (s *Submitter) expireJobs() {
	now := s.now
	for _, j := range marshaler.InOrder(s.jobs) {
		switch {
		case j.keeping.storing:
			if now >= j.until {
				j.answerAll(Answer{Kind: AnswerGaveUp, Reason: "the store did not answer in time"})
			}
		case now >= j.until:
			s.finish(j, Answer{Kind: AnswerGaveUp, Reason: "deadline passed"})
		case j.asking() && !j.begun() && now >= j.last+placerWait:
			s.finish(j, Answer{Kind: AnswerNotRun, Reason: "no answer from the placing entry", RetryAfter: timer.Second})
		}
	}
}

// Flush grants the free room. It is called after each batch of events.
func (s *Submitter) Flush(now timer.Millis) {
	s.at(now)
	s.placer.Place(now)
}

// begun reports whether a run of the job began or may have begun.
func (j *job) begun() bool { return j.ran || j.unsettled > 0 }

// committed reports whether the job can no longer be refused.
func (j *job) committed() bool { return j.begun() || j.keeping.storing }

// finish answers a job and stops what runs of it.
func (s *Submitter) finish(j *job, a Answer) {
	delete(s.jobs, j.ID)
	if a.Kind == AnswerNotRun {
		a.RetryAfter += spread(j.ID)
	}
	s.stopAll(j)
	s.report(Event{
		Kind: "answer", Job: j.ID, Queue: j.Queue.Name, Detail: a.Kind.String() + " " + a.Reason, Value: int64(j.done),
		Took: s.now - j.arrived, Expected: j.expected(), Deadline: j.Deadline,
	})
	j.answerAll(a)
}

// stopAll ends whatever of a job waits or runs.
func (s *Submitter) stopAll(j *job) {
	for n := range j.steps {
		s.withdraw(j, n)
		for i := range j.steps[n].tasks {
			t := &j.steps[n].tasks[i]
			if t.state == taskPlaced {
				s.stop(marshaler.RunKey{Job: j.ID, Index: marshaler.TaskIndex(n, i), Attempt: t.attempt}, t.sidecar)
				j.unsettled--
			}
			if t.state != taskDone {
				t.state = taskEnded
			}
		}
	}
}

// stop orders the end of a run whose job is over.
func (s *Submitter) stop(key marshaler.RunKey, name string) {
	sc := s.sidecars[name]
	if sc == nil {
		return
	}
	delete(sc.placed, key)
	if sc.link != nil {
		sc.link.Send(&marshaler.Stop{Run: key})
	}
}

func (s *Submitter) report(e Event) {
	if s.Report != nil {
		s.Report(e)
	}
}

// DropAll ends all jobs, because the entry ends.
func (s *Submitter) DropAll(now timer.Millis, reason string) {
	for id := range marshaler.InOrder(s.jobs) {
		s.Drop(now, id, reason)
	}
}
