// Package submitter implements the core of an entry. It owns the jobs of its callers, starts their tasks on the workers
// granted by the placing entry, and answers once every task is guaranteed to have ended. It is a pure state machine:
// it has no clock and no I/O, and must be called from a single goroutine.
package submitter

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/placer"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// HeartbeatTimeout is the heartbeat timeout after which a process is considered lost. It equals the sidecar's timeout,
	// so that both ends drop the session at about the same time.
	HeartbeatTimeout = 450 * timer.Millisecond
	// suspectTimeout is the time without a message, two heartbeats long, after which an entry no longer gets capacity
	// requests. Sending them to another entry is harmless if the first one is only slow, because sidecars check their
	// own capacity.
	suspectTimeout = 300 * timer.Millisecond
	// heartbeatInterval is the time between two heartbeats on a session without other messages.
	heartbeatInterval = 150 * timer.Millisecond
	// runExpiry is the time since a sidecar's last message after which its runs are guaranteed to have ended. The
	// sidecar may receive messages of the entry for one more heartbeat timeout, then stops the runs within its own
	// timeout and one tick. If it is suspended, their lease of 700 ms on a clock that is 2% slow ends them.
	runExpiry = 1750 * timer.Millisecond
	// startTTL is how long after it was sent a start may still be executed.
	startTTL = 400 * timer.Millisecond
	// attemptGap separates the attempt numbers of this entry from those of another entry that ran the task before.
	attemptGap = 16
	// schedulerGrace is how long after a job's latest start this entry waits for an answer of the placing entry.
	schedulerGrace = 100 * timer.Millisecond
	// responseWaitShare is the share of the expected response time that a job may wait for its first start. The rest
	// covers its run and estimates that are off by 40%. A caller that is refused within this time can still retry
	// elsewhere.
	responseWaitShare = 0.35
	// deadlineWaitShare is the share of a caller's deadline that a job may wait for its first start. A caller prefers
	// an answer after the expected response time to a refusal, and after a refusal within this time it still has most
	// of its deadline to retry elsewhere.
	deadlineWaitShare = 0.4
	// maxStartWait bounds the wait of jobs with long deadlines.
	maxStartWait = 2 * timer.Second
	// usefulResponseFactor is the multiple of the expected response time after which an answer is useless to a caller.
	usefulResponseFactor = 3
	// lateRunFactor is the multiple of a job's estimated run time that must remain before its deadline at a late start.
	lateRunFactor = 1.4
	// maxDeadline bounds the deadlines set by callers, so that sums with them do not overflow.
	maxDeadline = 60 * timer.Minute
	// defaultDeadline applies to jobs whose callers set no deadline.
	defaultDeadline = 30 * timer.Second
	// requestRepeatInterval is how long a capacity request of a job that can no longer be refused may stay without a
	// grant before it is repeated. The placing entry may have dropped the request with a session whose loss only it
	// detected.
	requestRepeatInterval = timer.Second
)

const (
	taskQueued   = iota + 1 // waits for a grant
	taskAssigned            // sent to a sidecar, without an outcome
	taskDone
)

type (
	// Job is a job submitted by a caller. A restartable job is not stored, and its tasks may run again once their
	// previous attempt is guaranteed to have ended. A durable job is stored before any of its tasks starts, and its
	// owner may change (durable.go).
	Job struct {
		ID       string
		Kind     Kind
		Queue    router.Queue
		Spec     string
		Steps    []marshaler.Step
		Deadline timer.Millis // how long the caller waits; 0 if unset
		Waited   timer.Millis // time that the caller had waited before Submit
		// Answer is called exactly once.
		Answer func(a Answer)
	}

	// Submitter is the state of an entry. The exported fields must be set before the first call.
	Submitter struct {
		Name        string
		Incarnation uint64
		Domain      string
		Weight      uint64
		Report      func(e Event)
		// Partitions is the number of partitions of the durable jobs.
		Partitions uint64
		// Record appends a record of a partition to the store, under the epoch of its owner. done is called in the
		// order of the records, or not at all if the partition is lost.
		Record func(partition, epoch uint64, body []byte, done func(now timer.Millis, offset uint64))
		// OwnershipAnnounced is called when another entry announces the partitions that it owns.
		OwnershipAnnounced func()
		// DurableJobSubmitted is called when a durable job is submitted while durable jobs are not known to be in use.
		DurableJobSubmitted func()

		durable                durableJobs
		snapshot               router.Snapshot
		relay                  router.Relay
		explainer              explainer
		placer                 placer.Placer
		now                    timer.Millis // time of the current call
		leaving                bool
		jobs                   map[string]*job
		sidecars               map[string]*sidecar
		peers                  map[string]*peer
		subscriptionsCheckedAt timer.Millis
		// lastTick is the time of the latest Tick or of the latest detected pause.
		lastTick timer.Millis
	}

	// Event is a decision, reported for logs and metrics.
	Event struct {
		Kind   string
		Job    string
		Queue  string
		Peer   string
		Detail string
		Value  int64
		Count  int64
		Took   timer.Millis
		// Expected is the response time promised by the job's queue. Set with the kind "answer".
		Expected timer.Millis
		// Deadline is the deadline set by the caller, or 0. Set with the kind "answer".
		Deadline timer.Millis
	}

	// job is an active job.
	job struct {
		Job
		waiters         []func(a Answer)
		arrived         timer.Millis
		targetStart     timer.Millis // latest first start that meets the expected response time
		latestStart     timer.Millis // latest first start; after it the job is refused
		expiresAt       timer.Millis // time of the deadline
		steps           []step
		done            int
		assigned        int          // number of tasks in taskAssigned
		hasRun          bool         // a run has started
		grantedAt       timer.Millis // time of the first grant
		avoidedSidecars []string     // sidecars that failed a task of the job or were unreachable
		durability      durableState
	}

	task struct {
		state              int
		attempt            uint64
		issuedAttempt      uint64 // latest attempt that this entry started or adopted
		recordedAttempt    uint64 // latest attempt of a durable job whose end is recorded
		failures           uint64
		sidecar            string
		sidecarIncarnation uint64
	}

	// sidecar is a sidecar process as seen by this entry.
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
		session    uint64 // number of the current session, counted by this entry
		// remoteSession is the number of the current session as counted by the sidecar. Sessions may be reported out of
		// order, because each has its own reader.
		remoteSession uint64
		// assignedRuns holds the runs started on the sidecar, with the session that carried the start.
		assignedRuns map[marshaler.RunKey]uint64
		// runsUnconfirmed is set from the loss of a session until the sidecar lists its runs on a new one. Without a new
		// session, all assignedRuns are guaranteed to have ended at runsExpireAt.
		runsUnconfirmed bool
		runsExpireAt    timer.Millis
	}

	// peer is another entry.
	peer struct {
		hello marshaler.Hello
		link  *marshaler.Link
		liveness
		requestedAt    timer.Millis // time of the latest capacity request in either direction
		mayHaveDurable bool         // it reports that durable jobs may be in use
		offset         uint64
		leaving        bool
		suspect        bool              // silent for suspectTimeout; requests open there were rerouted
		ownedEpochs    map[uint64]uint64 // epochs of its partitions, by partition
		waitingJobs    map[string]uint64 // its durable jobs that have not started a task, by queue
	}
)

// setNow sets the time of the current call. The first call initializes the state, the later ones apply expired time
// limits.
func (s *Submitter) setNow(now timer.Millis) {
	s.now = now
	if s.jobs != nil {
		s.releaseExpired()
		s.handlePause()
		return
	}
	s.jobs, s.sidecars, s.peers = map[string]*job{}, map[string]*sidecar{}, map[string]*peer{}
	s.durable.owned, s.durable.finished, s.durable.calls = map[uint64]*partition{}, map[string]*finishedJob{}, map[uint64]*operation{}
	s.placer.Grant = s.sendGrant
	s.placer.Reject = s.sendReject
	s.placer.Report = func(e placer.Event) {
		s.report(Event{Kind: e.Kind, Job: e.Job, Peer: e.Entry + e.Worker, Detail: e.Detail, Value: e.Value})
	}
}

// Snapshot returns the active configuration.
func (s *Submitter) Snapshot() router.Snapshot { return s.snapshot }

// SetSnapshot activates a configuration and forwards it to other processes. The caller ensures that it is not older
// than the active one.
func (s *Submitter) SetSnapshot(now timer.Millis, snapshot router.Snapshot) {
	s.setNow(now)
	s.snapshot, s.explainer.snapshotAt = snapshot, now
	s.relay.OnConfigurationChanged(now)
	s.sendAllHeartbeats()
}

// Ready reports whether the entry can serve callers.
func (s *Submitter) Ready() bool { return s.snapshot.Version > 0 && !s.leaving && len(s.sidecars) > 0 }

// ActiveJobs returns the number of active jobs.
func (s *Submitter) ActiveJobs() int { return len(s.jobs) }

// Submit accepts a job. If a restartable job with this ID is active already, the caller is added to it.
func (s *Submitter) Submit(now timer.Millis, j Job) {
	s.setNow(now)
	if old := s.jobs[j.ID]; old != nil && !j.Kind.Durable {
		old.waiters = append(old.waiters, j.Answer)
		s.report(Event{Kind: "attach", Job: j.ID, Queue: j.Queue.Name})
		return
	}
	if reason := j.invalidReason(); reason != "" {
		s.report(Event{Kind: "refuse", Queue: j.Queue.Name, Detail: "submitter " + reason})
		j.Answer(Answer{Kind: AnswerMalformed, Reason: reason})
		return
	}
	if reason := j.unsupportedReason(); reason != "" {
		s.report(Event{Kind: "refuse", Job: j.ID, Queue: j.Queue.Name, Detail: "submitter " + reason})
		j.Answer(Answer{Kind: AnswerNotRun, Reason: reason, RetryAfter: unsupportedRetryAfter})
		return
	}
	if !j.Kind.Durable {
		s.admit(&job{Job: j, steps: newSteps(j.Steps)})
		return
	}
	if !s.durable.inUse && s.DurableJobSubmitted != nil {
		s.DurableJobSubmitted()
	}
	s.route(&operation{verb: marshaler.VerbSubmit, job: j, queue: j.Queue.Name, answer: j.Answer, expiresAt: now + submitRouteTimeout})
}

// admit adds a new job and requests capacity for it.
func (s *Submitter) admit(j *job) {
	wait := min(j.Deadline, maxDeadline)
	if wait <= 0 {
		wait = defaultDeadline
	}
	slack := timer.Millis(responseWaitShare * float64(j.expectedResponse()))
	j.waiters = []func(a Answer){j.Answer}
	j.arrived = s.now - j.Waited
	j.targetStart, j.expiresAt = j.arrived+slack, j.arrived+wait
	useful := min(j.expiresAt, j.arrived+timer.Millis(usefulResponseFactor*float64(j.expectedResponse())))
	j.latestStart = max(j.targetStart, min(j.arrived+StartWaitLimit(j.Deadline), useful-timer.Millis(lateRunFactor*float64(j.criticalPath()))))
	s.jobs[j.ID] = j
	s.requestReadySteps(j)
}

// expectedResponse returns the response time that the job's queue promises for its estimated run time.
func (j *Job) expectedResponse() timer.Millis {
	return timer.Millis(j.Queue.Stretch*float64(j.criticalPath())) + j.Queue.ResponseAllowance
}

// StartWaitLimit returns how long a job may wait for its first start, given its caller's deadline; 0 means unset.
func StartWaitLimit(deadline timer.Millis) timer.Millis {
	if deadline <= 0 {
		return maxStartWait
	}
	return min(timer.Millis(deadlineWaitShare*float64(deadline)), maxStartWait)
}

// Abort aborts a job whose caller disconnected or cancelled it. It returns false if the job is unknown or its record was
// handed to the store.
func (s *Submitter) Abort(now timer.Millis, id, reason string) bool {
	s.setNow(now)
	j := s.jobs[id]
	if j == nil || j.durability.storeRequested {
		return false
	}
	s.finish(j, Answer{Kind: AnswerAborted, Reason: reason})
	return true
}

// WaitingJobs returns the number of jobs of a queue that have not started a task. It includes durable jobs of other
// entries.
func (s *Submitter) WaitingJobs(queue string) (waiting int) {
	for _, j := range s.jobs {
		if j.Queue.Name == queue && !j.hasRun && j.assigned == 0 {
			waiting++
		}
	}
	for _, p := range s.peers {
		if p.link != nil {
			waiting += int(p.waitingJobs[queue])
		}
	}
	return waiting
}

// Tick handles timeouts and periodic work. It must be called several times in each heartbeatInterval.
func (s *Submitter) Tick(now timer.Millis) {
	s.setNow(now)
	s.lastTick = now
	s.updateActivity()
	s.checkTimeouts()
	s.repeatRequests()
	s.expireJobs()
	s.tickDurable()
	s.expireQuestions()
	s.sendDueHeartbeats()
	s.Flush(now)
}

// expireJobs ends the jobs whose deadline or latest start has passed.
func (s *Submitter) expireJobs() {
	now := s.now
	for _, j := range marshaler.SortedByKey(s.jobs) {
		switch {
		case j.durability.storeRequested:
			if now >= j.expiresAt {
				j.answerWaiters(Answer{Kind: AnswerAborted, Reason: "the store did not answer in time"})
			}
		case now >= j.expiresAt:
			s.finish(j, Answer{Kind: AnswerAborted, Reason: "deadline passed"})
		case j.hasOpenRequest() && !j.hasBegun() && now >= j.latestStart+schedulerGrace:
			s.finish(j, Answer{Kind: AnswerNotRun, Reason: "no answer from the placing entry", RetryAfter: timer.Second})
		}
	}
}

// Flush grants free capacity to queued requests. It is called after each batch of events.
func (s *Submitter) Flush(now timer.Millis) {
	s.setNow(now)
	s.placer.Place(now)
}

// hasBegun reports whether a run of the job has started or may have started.
func (j *job) hasBegun() bool { return j.hasRun || j.assigned > 0 }

// committed reports whether the job can no longer be refused.
func (j *job) committed() bool { return j.hasBegun() || j.durability.storeRequested }

// finish answers a job and stops its runs.
func (s *Submitter) finish(j *job, a Answer) {
	delete(s.jobs, j.ID)
	if a.Kind == AnswerNotRun {
		a.RetryAfter += jitter(j.ID)
	}
	s.stopTasks(j)
	s.report(Event{
		Kind: "answer", Job: j.ID, Queue: j.Queue.Name, Detail: a.Kind.String() + " " + a.Reason, Value: int64(j.done),
		Took: s.now - j.arrived, Expected: j.expectedResponse(), Deadline: j.Deadline,
	})
	j.answerWaiters(a)
}

// stopTasks withdraws the open requests of a job and stops its runs.
func (s *Submitter) stopTasks(j *job) {
	for n := range j.steps {
		s.withdrawRequest(j, n)
		for i := range j.steps[n].tasks {
			t := &j.steps[n].tasks[i]
			if t.state == taskAssigned {
				s.stopRun(marshaler.RunKey{Job: j.ID, Index: marshaler.TaskIndex(n, i), Attempt: t.attempt}, t.sidecar)
				j.assigned--
			}
			if t.state != taskDone {
				t.state = taskAborted
			}
		}
	}
}

// stopRun stops a run whose job is over.
func (s *Submitter) stopRun(key marshaler.RunKey, name string) {
	sc := s.sidecars[name]
	if sc == nil {
		return
	}
	delete(sc.assignedRuns, key)
	if sc.link != nil {
		sc.link.Send(&marshaler.Stop{Run: key})
	}
}

func (s *Submitter) report(e Event) {
	if s.Report != nil {
		s.Report(e)
	}
}

// AbortAll aborts all jobs because the entry shuts down.
func (s *Submitter) AbortAll(now timer.Millis, reason string) {
	for id := range marshaler.SortedByKey(s.jobs) {
		s.Abort(now, id, reason)
	}
}
