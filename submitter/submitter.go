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
	// keepaliveExpiry is the time since this entry's last heartbeat or start to a sidecar after which its runs there are guaranteed
	// to have ended: the sidecar's timeout, the lease of 700 ms on a clock that is 2% slow, and the time to stop a run.
	keepaliveExpiry = 1300 * timer.Millisecond
	// startTTL is how long after it was sent a start may still be executed.
	startTTL = 400 * timer.Millisecond
	// attemptGap separates the attempt numbers of this entry from those of another entry that ran the task before.
	attemptGap = 16
	// attemptsPerEpoch is the number of attempt numbers that an owner of a durable job has under one epoch, if it has taken the job
	// over. Former owners' runs that no sidecar reports have lower ones. Refused starts use numbers, too.
	attemptsPerEpoch = 1 << 12
	// schedulerGrace is how long after a job's latest start this entry waits for an answer of the placing entry.
	schedulerGrace = 100 * timer.Millisecond
	// requestRepeatInterval is how long a capacity request of a job that can no longer be refused may stay without a
	// grant before it is repeated. The placing entry may have dropped the request with a session whose loss only it
	// detected.
	requestRepeatInterval = timer.Second
)

// eventRefuse is the kind of the Event of a refused submission.
const eventRefuse = "refuse"

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
		// Handover enables handing restartable jobs over to other entries and taking theirs (jobhandover.go).
		Handover bool
		// Partitions is the number of partitions of the durable jobs.
		Partitions uint64
		// Admission is the policy for overload while this entry is the placing entry.
		Admission placer.Admission
		// Record appends a record of a partition to the store, under the epoch of its owner. done is called in the
		// order of the records, or not at all if the partition is lost.
		Record func(partition, epoch uint64, body []byte, done func(now timer.Millis, offset uint64))
		// Memory is the budget of the jobs.
		Memory MemoryBudget
		// RequestHeartbeat requests a heartbeat to the store before the next one is due, whose response OnHeartbeat handles. It
		// must not block. If it is nil, jobs are denied without confirmation.
		RequestHeartbeat func()
		// OwnershipExpired is called when a partition is released because the lease on it has expired. It must not block.
		OwnershipExpired func(partition uint64)
		// OwnershipAnnounced is called when another entry announces the partitions that it owns.
		OwnershipAnnounced func()
		// DurableJobSubmitted is called when a durable job is submitted while durable jobs are not known to be in use.
		DurableJobSubmitted func()
		// DurableJobsFound is called when it becomes known that durable jobs are in use, so that partitions need owners.
		DurableJobsFound func()
		// LookUpDurableUse asks the store whether durable jobs are in use, and calls done with the result; ok is false if there is
		// none.
		LookUpDurableUse func(done func(now timer.Millis, inUse, ok bool))

		durable                durableJobs
		load                   loadState
		handover               handoverState
		resume                 resumeState
		snapshot               router.Snapshot
		relay                  router.Relay
		explainer              explainer
		placer                 placer.Placer
		now                    timer.Millis // time of the current call
		leaving                bool
		jobs                   map[string]*job
		sidecars               map[string]*sidecar
		peers                  map[string]*peer
		cancelCalls            map[uint64]cancelCall // by number of the call
		subscriptionsCheckedAt timer.Millis
		// patientAt is when a caller with the full time limit of a queue was last seen, by queue.
		patientAt map[string]timer.Millis
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
		// Refusal is set with the kind "reject".
		Refusal placer.Refusal
		// Expected is the response time promised by the job's queue. Set with the kind "answer".
		Expected timer.Millis
		// Deadline is the deadline set by the caller, or 0. Set with the kind "answer".
		Deadline timer.Millis
	}

	// job is an active job.
	job struct {
		Job
		waiters         []func(a Answer)
		leftWaiters     int // number of waiters whose handover was withdrawn
		arrived         timer.Millis
		priorWait       timer.Millis // time that the caller had waited before it sent the job again
		targetStart     timer.Millis // latest first start that meets the expected response time
		latestStart     timer.Millis // latest first start; after it the job is refused
		targetEnd       timer.Millis // latest end that meets the expected response time
		lastUsefulEnd   timer.Millis // latest end at which the answer is still of use to the caller
		expiresAt       timer.Millis // time of the deadline
		steps           []step
		done            int
		assigned        int          // number of tasks in taskAssigned
		hasRun          bool         // a run has started
		grantedAt       timer.Millis // time of the first grant
		avoidedSidecars []string     // sidecars that failed a task of the job or were unreachable
		durability      durableState
		memory          int64 // charged, in bytes
	}

	task struct {
		state              int
		attempt            uint64
		issuedAttempt      uint64 // latest attempt that this entry started or adopted
		failures           uint64
		crashes            []marshaler.TaskCrash
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
		backend     *marshaler.Backend
		clock       int64
		clockAt     timer.Millis
		remote      remoteClock  // of the sidecar process
		keepaliveAt timer.Millis // time of the latest heartbeat or start to the sidecar, on any session
		offset      uint64
		subscribed  bool
		session     uint64 // number of the current session, counted by this entry
		// remoteSession is the number of the current session as counted by the sidecar. Sessions may be reported out of
		// order, because each has its own reader.
		remoteSession uint64
		// assignedRuns holds the runs started on the sidecar, with the session that carried the start.
		assignedRuns map[marshaler.RunKey]uint64
		// unwantedRuns holds the runs that were stopped and whose end the sidecar has not confirmed. Their stops are sent again
		// first on each new session.
		unwantedRuns map[marshaler.RunKey]bool
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
		aliveAt        timer.Millis // latest time at which the entry is known to have been alive, by its heartbeats and handovers
		remote         remoteClock
		requestedAt    timer.Millis // time of the latest capacity request or handover in either direction
		mayHaveDurable bool         // it reports that durable jobs may be in use
		reported       bool         // a heartbeat has arrived since the session opened
		offset         uint64
		leaving        bool
		suspect        bool              // silent for suspectTimeout; requests open there were rerouted
		ownedEpochs    map[uint64]uint64 // latest epochs of the partitions that it has claimed, by partition
		waitingJobs    map[string]uint64 // its durable jobs that have not started a task, by queue
		load           *marshaler.Heartbeat
		loadAt         timer.Millis            // time of the latest heartbeat
		loadSentAt     timer.Millis            // time of the latest heartbeat to the peer
		closed         *marshaler.Link         // latest session that ended
		handedSince    int                     // jobs handed over to the peer since loadAt
		handedOver     map[string]*handedJob   // jobs handed over to the peer, by ID
		received       map[uint64]*receivedJob // jobs that the peer handed over, by number
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
	s.jobs, s.sidecars, s.peers, s.cancelCalls = map[string]*job{}, map[string]*sidecar{}, map[string]*peer{}, map[uint64]cancelCall{}
	s.durable.owned, s.durable.finished, s.durable.calls = map[uint64]*partition{}, map[string]*finishedJob{}, map[uint64]*operation{}
	s.placer.Admission = s.Admission
	s.placer.Grant = s.sendGrant
	s.placer.Reject = s.sendReject
	s.placer.Report = func(e placer.Event) {
		s.report(Event{Kind: e.Kind, Job: e.Job, Peer: e.Entry + e.Worker, Detail: e.Detail, Value: e.Value, Took: e.Took, Refusal: e.Refusal})
	}
}

// Snapshot returns the active configuration.
func (s *Submitter) Snapshot() router.Snapshot { return s.snapshot }

// SetSnapshot activates a configuration and forwards it to other processes. The caller ensures that it is not older
// than the active one.
func (s *Submitter) SetSnapshot(now timer.Millis, snapshot router.Snapshot) {
	s.setNow(now)
	s.snapshot, s.explainer.snapshotAt = snapshot, now
	s.moveJobs()
	s.relay.OnConfigurationChanged(now)
	s.sendAllHeartbeats()
}

// Ready reports whether the entry can serve callers.
func (s *Submitter) Ready() bool { return s.snapshot.Version > 0 && !s.leaving && len(s.sidecars) > 0 }

// ActiveJobs returns the number of active jobs, including those handed over to other entries.
func (s *Submitter) ActiveJobs() int { return len(s.jobs) + len(s.handover.jobs) }

// Submit accepts a job. If a restartable job with this ID is active already, the caller is added to it.
func (s *Submitter) Submit(now timer.Millis, j Job) {
	s.setNow(now)
	s.submit(j, false)
}

// submit accepts a job of a caller, or of another entry that handed it over.
func (s *Submitter) submit(j Job, received bool) {
	old := s.jobs[j.ID]
	if h := s.handover.jobs[j.ID]; old == nil && h != nil {
		old = h.job
	}
	if !j.Kind.Durable && s.refusesIdentifier(&j, old) {
		return
	}
	if old != nil && !j.Kind.Durable {
		old.waiters = append(old.waiters, j.Answer)
		s.report(Event{Kind: "attach", Job: j.ID, Queue: j.Queue.Name})
		return
	}
	if reason := j.invalidReason(); reason != "" {
		s.report(Event{Kind: eventRefuse, Queue: j.Queue.Name, Detail: "submitter " + reason})
		j.Answer(Answer{Kind: AnswerMalformed, Reason: reason})
		return
	}
	if reason := j.unsupportedReason(); reason != "" {
		s.report(Event{Kind: eventRefuse, Job: j.ID, Queue: j.Queue.Name, Detail: "submitter " + reason})
		j.Answer(Answer{Kind: AnswerNotRun, Reason: reason, RetryAfter: unsupportedRetryAfter})
		return
	}
	if !j.Kind.Durable {
		s.acceptRestartable(j, received)
		return
	}
	if !s.durable.use.inUse && s.DurableJobSubmitted != nil {
		s.DurableJobSubmitted()
	}
	s.route(&operation{verb: marshaler.VerbSubmit, job: j, queue: j.Queue.Name, respond: j.Answer, expiresAt: s.now + submitRouteTimeout})
}

// admit adds a new job and requests capacity for it.
func (s *Submitter) admit(j *job) {
	s.setLimits(j)
	if j.priorWait > 0 {
		s.report(Event{Kind: "returning", Job: j.ID, Queue: j.Queue.Name, Took: j.priorWait, Deadline: j.Deadline})
	}
	s.jobs[j.ID] = j
	s.requestReadySteps(j)
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
	s.releaseGrants()
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
	s.expireHandovers()
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
	s.releaseMemory(j)
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
	if sc.unwantedRuns == nil {
		sc.unwantedRuns = map[marshaler.RunKey]bool{}
	}
	sc.unwantedRuns[key] = true
	if sc.link != nil {
		sc.link.Send(&marshaler.Stop{Run: key})
	}
}

func (s *Submitter) report(e Event) {
	if s.Report != nil {
		s.Report(e)
	}
}
