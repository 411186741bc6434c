package runner

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/connector"
	"github.com/crocuslb/crocuslb/limiter"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/recoverer"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/submitter"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// unreadyPeriod is how long a stopping entry reports itself as not ready but still accepts requests. It gives the load
	// balancer and callers time to switch to other entries.
	unreadyPeriod = 2500 * time.Millisecond
	// responsePeriod is the part of the drain time reserved for sending responses after the remaining jobs are dropped.
	responsePeriod = 300 * time.Millisecond
)

// Entry is the process that accepts jobs from callers and places their tasks.
type Entry struct {
	Options

	loop      *eventLoop
	core      submitter.Submitter
	config    configuration
	directory entryDirectory
	owner     partitionOwner
	node      connector.Node
	monitor   monitor
	sessions  sessionHandler
	ready     atomic.Bool
	stopping  atomic.Bool
}

// Run serves until ctx is canceled, then finishes in-flight work within Options.DrainTime.
func (e *Entry) Run(ctx context.Context) error {
	incarnation := uint64(time.Now().UnixMilli())
	if e.Advertise == "" {
		e.Advertise = e.Address
	}
	e.loop = newEventLoop()
	e.monitor.logger, e.monitor.droppedLogLines = e.Logger, e.DroppedLogLines
	e.monitor.setMachine(e.Machine)
	e.loop.onPanic = func(err error) { e.monitor.reportPanic("loop", err) }
	e.core = submitter.Submitter{
		Name: e.Name, Incarnation: incarnation, Domain: e.Domain, Weight: e.Weight, Report: e.report,
		Memory: submitter.MemoryBudget{
			Reserve: func(bytes int64) bool { return e.monitor.reserve(bytes, portCallers, limiter.LimitJobs) },
			Take:    e.monitor.budget.Take, Release: e.monitor.budget.Release,
		},
		Partitions: e.Partitions, Admission: e.Admission, Handover: e.Handover,
	}
	e.owner = partitionOwner{
		logger: e.Logger, store: newStore(e.StoreAddress, 0), loop: e.loop, core: &e.core, memberName: e.Name, heartbeatDue: make(chan struct{}, 1),
		limiter: writeLimiter{rate: writeCallShare * float64(e.WritesPerSecond) / float64(max(e.Partitions, 1))},
	}
	e.core.Record, e.core.OwnershipExpired = e.owner.appendRecord, e.owner.onOwnershipExpired
	e.core.OwnershipAnnounced, e.core.RequestHeartbeat = e.owner.requestHeartbeat, e.owner.requestHeartbeat
	e.config = configuration{logger: e.Logger, onChange: e.core.SetSnapshot, available: make(chan struct{})}
	e.node = connector.Node{
		Admit: e.monitor.admitSession,
		Hello: func() marshaler.Hello {
			return marshaler.Hello{Role: marshaler.RoleEntry, Name: e.Name, Incarnation: incarnation, Domain: e.Domain, Address: e.Advertise, Weight: e.Weight}
		},
	}
	e.directory = entryDirectory{
		logger: e.Logger, store: newStore(e.StoreAddress, entriesPollTimeout), connect: e.node.Connect,
		self:          marshaler.Peer{Name: e.Name, Address: e.Advertise, Incarnation: incarnation},
		shouldConnect: func(p marshaler.Peer) bool { return p.Name < e.Name },
	}
	// The process keeps running for its drain time after ctx is canceled.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e.directory.onDurableJobs = func(inUse bool) {
		e.loop.post(runCtx, func(now timer.Millis) { e.core.SetDurableInUse(now, inUse) })
	}
	e.core.DurableJobSubmitted = func() { e.directory.announceDurableJobs(runCtx) }
	e.core.DurableJobsFound = func() { e.owner.start(runCtx) }
	e.core.LookUpDurableUse = func(done func(now timer.Millis, inUse, ok bool)) { go e.lookUpDurableUse(runCtx, done) }
	e.sessions = sessionHandler{
		loop: e.loop, config: &e.config, directory: &e.directory, onUp: e.core.OnConnect, onDown: e.core.OnDisconnect, onMessage: e.core.OnMessage,
		onPanic: e.monitor.reportPanic,
	}
	e.sessions.attach(runCtx, &e.node)
	e.monitor.traffic = &e.node.Traffic
	e.loop.flush = e.core.Flush
	e.loop.tick = func(now timer.Millis) {
		e.core.Tick(now)
		e.core.SetLoopDelay(now, e.loop.delay(now))
		e.ready.Store(e.core.Ready())
	}
	if _, err := e.node.Listen(runCtx, e.Address); err != nil {
		return err
	}
	servers, err := e.startServers(runCtx)
	if err != nil {
		return err
	}
	e.directory.addSeeds(runCtx, e.Seeds)
	store := newStore(e.StoreAddress, configurationPollTimeout)
	go e.config.follow(runCtx, e.loop, store)
	go e.directory.follow(runCtx, func() { e.sessions.broadcast(&marshaler.Peers{Peers: e.directory.peers()}) })
	e.Logger.WithFields(log.Fields{
		"name": e.Name, "domain": e.Domain, "address": e.Address, "callers": e.CallersAddress, "handover": e.Handover, "admission": e.Admission.String(),
	}).Info("entry: started")
	loopErr := make(chan error, 1)
	go func() { loopErr <- e.loop.run(runCtx) }()
	go e.measureLoad(runCtx)
	select {
	case <-ctx.Done():
	case err := <-loopErr:
		return err
	}
	e.drain(runCtx, servers)
	cancel()
	closeServers(servers)
	e.node.Wait()
	e.Logger.WithField("name", e.Name).Info("entry: stopped")
	return nil
}

// startServers starts the HTTP servers. The first one serves callers.
func (e *Entry) startServers(ctx context.Context) ([]*http.Server, error) {
	callers := &platform.JobServer{
		Bodies: limiter.BodyReader{Port: portCallers, Timeout: e.BodyTimeout, Report: e.monitor.reportLimit},
		Snapshot: func(deadline timer.Millis, canceled <-chan struct{}) (*router.Snapshot, timer.Millis) {
			return e.config.await(e.loop.clock, submitter.StartWaitLimit(deadline), canceled)
		},
		Submit: func(job submitter.Job, canceled <-chan struct{}) submitter.Answer {
			return e.submit(ctx, job, canceled)
		},
		Cancel: func(queue, id string, canceled <-chan struct{}) submitter.Answer {
			return e.request(ctx, canceled, func(now timer.Millis, answer func(a submitter.Answer)) { e.core.Cancel(now, queue, id, answer) })
		},
		State: func(queue, id string, canceled <-chan struct{}) submitter.Answer {
			return e.request(ctx, canceled, func(now timer.Millis, answer func(a submitter.Answer)) { e.core.State(now, queue, id, answer) })
		},
		Waiting: func(queue string) (waiting int) {
			e.query(ctx, func(timer.Millis) bool { waiting = e.core.WaitingJobs(queue); return true })
			return waiting
		},
		OnRejected: func(id, queue, reason string, status int) {
			e.report(submitter.Event{Kind: "refuse", Job: id, Queue: queue, Detail: "callers " + reason, Value: int64(status)})
		},
		Closing: e.stopping.Load,
	}
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready.Load() || e.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	headBytes := func() uint64 { return e.config.current().Limits.HeaderBytesLimit }
	return startServers(ctx, &e.monitor, &e.Options, []endpoint{
		{portCallers, e.CallersAddress, callers, headBytes}, {portReady, e.ReadyAddress, ready, nil}, {portMetrics, e.MetricsAddress, e.metricsHandler(), nil},
	})
}

// query calls f on the event loop and returns its result. It returns false if f panics or ctx is canceled.
func (e *Entry) query(ctx context.Context, f func(now timer.Millis) bool) bool {
	result := make(chan bool, 1)
	e.loop.post(ctx, func(now timer.Millis) {
		ok := false
		defer func() { result <- ok }() // also after a panic in f
		ok = f(now)
	})
	select {
	case ok := <-result:
		return ok
	case <-ctx.Done():
		return false
	}
}

// request calls f on the event loop and waits for the answer, or until the caller cancels the request.
func (e *Entry) request(ctx context.Context, canceled <-chan struct{}, f func(now timer.Millis, answer func(a submitter.Answer))) submitter.Answer {
	answer, deliver := newAnswerChannel()
	e.loop.post(ctx, func(now timer.Millis) { e.runRecovering(deliver, func() { f(now, deliver) }) })
	select {
	case a := <-answer:
		return a
	case <-canceled:
		return submitter.Answer{Kind: submitter.AnswerAborted, Reason: "caller left"}
	case <-ctx.Done():
		return submitter.Answer{Kind: submitter.AnswerAborted, Reason: "the entry ended"}
	}
}

// newAnswerChannel returns a channel that receives the first answer, and the function that delivers it.
func newAnswerChannel() (answer chan submitter.Answer, deliver func(a submitter.Answer)) {
	answer = make(chan submitter.Answer, 1)
	return answer, func(a submitter.Answer) {
		select {
		case answer <- a:
		default: // answered already
		}
	}
}

// runRecovering calls f and reports whether it returned without panicking. If f panics, the caller is told that the outcome
// is unknown, because part of the job may have run.
func (e *Entry) runRecovering(deliver func(a submitter.Answer), f func()) bool {
	err := recoverer.Call(f)
	if err != nil {
		e.monitor.reportPanic("caller", err)
		deliver(submitter.Answer{Kind: submitter.AnswerAborted, Reason: "internal error"})
	}
	return err == nil
}

// lookUpDurableUse reads from the store whether durable jobs are in use, and calls done on the event loop.
func (e *Entry) lookUpDurableUse(ctx context.Context, done func(now timer.Millis, inUse, ok bool)) {
	inUse, err := e.directory.hasDurableJobs(ctx)
	if err != nil {
		e.Logger.WithError(err).Warn("entry: cannot read from the store whether durable jobs are in use")
	}
	e.loop.post(ctx, func(now timer.Millis) { done(now, inUse, err == nil) })
}

// submit passes a job to the core and waits for its answer. If the caller cancels the request, it drops the job, unless
// the job is durable.
func (e *Entry) submit(ctx context.Context, job submitter.Job, canceled <-chan struct{}) submitter.Answer {
	answer, deliver := newAnswerChannel()
	job.Answer = deliver
	s := &submission{entry: e, job: job, postedAt: e.loop.clock.Now()}
	e.loop.post(ctx, s.run)
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return submitter.Answer{Kind: submitter.AnswerAborted, Reason: "the entry ended"}
	case <-canceled:
	}
	if job.Kind.Durable { // the job may be stored already
		return submitter.Answer{Kind: submitter.AnswerAborted, Reason: "caller left"}
	}
	e.loop.postUrgent(ctx, s.abandon)
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return submitter.Answer{Kind: submitter.AnswerAborted, Reason: "the entry ended"}
	}
}

// drain stops the entry in stages: it turns new callers away, then finishes the jobs in flight, and drops the remaining
// jobs when the drain time is over.
func (e *Entry) drain(ctx context.Context, servers []*http.Server) {
	e.stopping.Store(true)
	e.owner.leave(ctx)
	e.loop.post(ctx, e.core.Drain)
	e.Logger.WithField("drain", e.DrainTime.String()).Info("entry: stopping")
	started := time.Now()
	drainTime := e.DrainTime.Duration()
	time.Sleep(min(unreadyPeriod, drainTime))
	shutdownCtx, cancel := context.WithTimeout(ctx, drainTime-time.Since(started)-responsePeriod)
	defer cancel()
	err := servers[0].Shutdown(shutdownCtx)
	if err == nil {
		err = e.waitReceivedJobs(shutdownCtx)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		e.query(ctx, func(now timer.Millis) bool { e.core.AbortAll(now, "the entry ends"); return true })
		time.Sleep(responsePeriod) // time to send the answers
	}
}

func (e *Entry) report(event submitter.Event) {
	detail, _, _ := strings.Cut(event.Detail, " ")
	if event.Kind == "reject" || event.Kind == "shed" || event.Kind == "release" || event.Kind == "sidecarLost" || event.Kind == "entryLost" {
		detail = ""
	}
	e.monitor.countEvent(event.Kind, detail)
	if event.Kind == "reject" {
		e.monitor.countRefusal(event)
	}
	if event.Kind == "answer" {
		e.monitor.metrics.Observe(`crocuslb_job_response_seconds{answer="`+detail+`"}`, event.Took)
	}
	fields := log.Fields{"detail": event.Detail, "value": event.Value}
	if event.Job != "" {
		fields["job"], fields["queue"] = event.Job, event.Queue
	}
	if event.Peer != "" {
		fields["peer"] = event.Peer
	}
	if event.Took != 0 {
		fields["tookMs"] = int64(event.Took)
	}
	if event.Expected != 0 {
		fields["expectedMs"], fields["deadlineMs"] = int64(event.Expected), int64(event.Deadline)
	}
	s := e.config.current()
	fields["version"] = s.Version
	e.Logger.WithFields(fields).Info("entry: " + event.Kind)
}

// closeServers closes the servers of a process that has sent all answers it could.
func closeServers(servers []*http.Server) {
	for _, server := range servers {
		_ = server.Close() // the process exits anyway
	}
}
