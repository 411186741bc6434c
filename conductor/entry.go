package conductor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/carrier"
	"github.com/crocuslb/crocuslb/catcher"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/submitter"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// lingerTime is how long an entry that stops still takes requests on open connections, so that the load balancer
	// and callers can turn away first.
	unreadyPeriod = 2500 * time.Millisecond
	// closeTime is the part of the drain time that is left for answers after the last jobs were given up.
	responsePeriod = 300 * time.Millisecond
)

// Entry is an entry process on the users' platform.
type Entry struct {
	Options

	loop      *eventLoop
	core      submitter.Submitter
	config    configuration
	directory entryDirectory
	owner     partitionOwner
	node      carrier.Node
	monitor   monitor
	sessions  sessions
	ready     atomic.Bool
	stopping  atomic.Bool
}

// Run serves until ctx ends, then finishes the work in flight within Options.Drain.
func (e *Entry) Run(ctx context.Context) error {
	incarnation := uint64(time.Now().UnixMilli())
	if e.Advertise == "" {
		e.Advertise = e.Address
	}
	e.loop = newEventLoop()
	e.monitor.logger, e.monitor.droppedLogLines = e.Logger, e.DroppedLogLines
	e.loop.onPanic = func(err error) { e.monitor.reportPanic("loop", err) }
	e.core = submitter.Submitter{Name: e.Name, Incarnation: incarnation, Domain: e.Domain, Weight: e.Weight, Report: e.report, Partitions: e.Partitions}
	e.owner = partitionOwner{
		logger: e.Logger, store: newStore(e.StoreAddress, 0), loop: e.loop, core: &e.core, memberName: e.Name, heartbeatDue: make(chan struct{}, 1),
		limiter: writeLimiter{rate: writeCallShare * float64(e.WritesPerSecond) / float64(max(e.Partitions, 1))},
	}
	e.core.Record, e.core.Redealt = e.owner.appendRecord, e.owner.requestHeartbeat
	e.config = configuration{logger: e.Logger, onChange: e.core.SetSnapshot, available: make(chan struct{})}
	e.node = carrier.Node{
		Hello: func() marshaler.Hello {
			return marshaler.Hello{Role: marshaler.RoleEntry, Name: e.Name, Incarnation: incarnation, Domain: e.Domain, Address: e.Advertise, Weight: e.Weight}
		},
	}
	e.directory = entryDirectory{
		logger: e.Logger, store: newStore(e.StoreAddress, entriesPollTimeout), connect: e.node.Connect,
		self:          marshaler.Peer{Name: e.Name, Address: e.Advertise, Incarnation: incarnation},
		shouldConnect: func(p marshaler.Peer) bool { return p.Name < e.Name },
	}
	// The process outlives ctx by its drain time.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e.directory.onDurableJobs = func(inUse bool) { e.setDurableJobsInUse(runCtx, inUse) }
	e.core.WantKept = func() { e.directory.announceDurableJobs(runCtx) }
	e.sessions = sessions{
		loop: e.loop, config: &e.config, directory: &e.directory, onUp: e.core.OnUp, onDown: e.core.OnDown, onMessage: e.core.OnMessage,
		onPanic: e.monitor.reportPanic,
	}
	e.sessions.attach(runCtx, &e.node)
	e.monitor.traffic = &e.node.Traffic
	e.loop.flush = e.core.Flush
	e.loop.tick = func(now timer.Millis) {
		e.core.Tick(now)
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
	e.Logger.WithFields(log.Fields{"name": e.Name, "domain": e.Domain, "address": e.Address, "callers": e.CallersAddress}).Info("entry: started")
	loopErr := make(chan error, 1)
	go func() { loopErr <- e.loop.run(runCtx) }()
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

// listen starts the HTTP servers. The first one serves callers.
func (e *Entry) startServers(ctx context.Context) ([]*http.Server, error) {
	callers := &platform.Callers{
		Snapshot: func(deadline timer.Millis, canceled <-chan struct{}) (*router.Snapshot, timer.Millis) {
			return e.config.await(e.loop.clock, submitter.Patience(deadline), canceled)
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
			e.query(ctx, func(timer.Millis) bool { waiting = e.core.Waiting(queue); return true })
			return waiting
		},
		Refused: func(id, queue, reason string, status int) {
			e.report(submitter.Event{Kind: "refuse", Job: id, Queue: queue, Detail: "callers " + reason, Value: int64(status)})
		},
		Closing: e.stopping.Load,
	}
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready.Load() || e.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return startServers(ctx, &e.monitor, []endpoint{
		{e.CallersAddress, callers}, {e.ReadyAddress, ready}, {e.MetricsAddress, e.monitor.metricsHandler()},
	})
}

// ask calls f in the loop and waits for its result.
func (e *Entry) query(ctx context.Context, f func(now timer.Millis) bool) bool {
	result := make(chan bool, 1)
	e.loop.post(ctx, func(now timer.Millis) {
		ok := false
		defer func() { result <- ok }() // also when f panics
		ok = f(now)
	})
	select {
	case ok := <-result:
		return ok
	case <-ctx.Done():
		return false
	}
}

// call calls f in the loop and waits for the answer that follows, or until the caller leaves.
func (e *Entry) request(ctx context.Context, canceled <-chan struct{}, f func(now timer.Millis, answer func(a submitter.Answer))) submitter.Answer {
	answer, deliver := newAnswerChannel()
	e.loop.post(ctx, func(now timer.Millis) { e.runRecovering(deliver, func() { f(now, deliver) }) })
	select {
	case a := <-answer:
		return a
	case <-canceled:
		return submitter.Answer{Kind: submitter.AnswerGaveUp, Reason: "caller left"}
	case <-ctx.Done():
		return submitter.Answer{Kind: submitter.AnswerGaveUp, Reason: "the entry ended"}
	}
}

// newAnswer returns a channel that takes the first answer, and the function that gives it.
func newAnswerChannel() (answer chan submitter.Answer, deliver func(a submitter.Answer)) {
	answer = make(chan submitter.Answer, 1)
	return answer, func(a submitter.Answer) {
		select {
		case answer <- a:
		default: // answered already
		}
	}
}

// guard calls f. If it panics, the caller is told that the job's outcome is open, because some of it may have run.
func (e *Entry) runRecovering(deliver func(a submitter.Answer), f func()) {
	if err := catcher.Catch(f); err != nil {
		e.monitor.reportPanic("caller", err)
		deliver(submitter.Answer{Kind: submitter.AnswerGaveUp, Reason: "internal error"})
	}
}

// useKept takes what the store says of kept jobs. This entry owns some of their partitions from then on.
func (e *Entry) setDurableJobsInUse(ctx context.Context, inUse bool) {
	e.loop.post(ctx, func(now timer.Millis) { e.core.SetKept(now, inUse) })
	if inUse {
		e.owner.start(ctx)
	}
}

// submit passes a job to the core and waits for its answer.
func (e *Entry) submit(ctx context.Context, job submitter.Job, canceled <-chan struct{}) submitter.Answer {
	answer, deliver := newAnswerChannel()
	job.Answer = deliver
	e.loop.post(ctx, func(now timer.Millis) { e.runRecovering(deliver, func() { e.core.Submit(now, job) }) })
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return submitter.Answer{Kind: submitter.AnswerGaveUp, Reason: "the entry ended"}
	case <-canceled:
	}
	if job.Kind.Kept { // it may be in the store
		return submitter.Answer{Kind: submitter.AnswerGaveUp, Reason: "caller left"}
	}
	e.loop.post(ctx, func(now timer.Millis) { e.runRecovering(deliver, func() { e.core.Drop(now, job.ID, "caller left") }) })
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return submitter.Answer{Kind: submitter.AnswerGaveUp, Reason: "the entry ended"}
	}
}

// drain ends the process: callers are turned away first, then the jobs in work end, then what is left is given up.
func (e *Entry) drain(ctx context.Context, servers []*http.Server) {
	e.stopping.Store(true)
	e.owner.leave(ctx)
	e.loop.post(ctx, e.core.Leave)
	e.Logger.WithField("drain", e.DrainTime.String()).Info("entry: stopping")
	started := time.Now()
	drainTime := e.DrainTime.Duration()
	time.Sleep(min(unreadyPeriod, drainTime))
	shutdownCtx, cancel := context.WithTimeout(ctx, drainTime-time.Since(started)-responsePeriod)
	defer cancel()
	err := servers[0].Shutdown(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		e.query(ctx, func(now timer.Millis) bool { e.core.DropAll(now, "the entry ends"); return true })
		time.Sleep(responsePeriod) // the answers are on their way
	}
}

func (e *Entry) report(event submitter.Event) {
	detail, _, _ := strings.Cut(event.Detail, " ")
	if event.Kind == "reject" || event.Kind == "release" || event.Kind == "sidecarLost" || event.Kind == "entryLost" {
		detail = ""
	}
	e.monitor.countEvent(event.Kind, detail)
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

// closeAll ends the servers of a process that has answered what it could.
func closeServers(servers []*http.Server) {
	for _, server := range servers {
		_ = server.Close() // the process ends in any case
	}
}

// endpoint is a listen address with its handler.
type endpoint struct {
	address string
	handler http.Handler
}

// serveAll starts a server for each endpoint with an address.
func startServers(ctx context.Context, m *monitor, endpoints []endpoint) ([]*http.Server, error) {
	var servers []*http.Server
	for _, e := range endpoints {
		if e.address == "" {
			continue
		}
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.address)
		if err != nil {
			return servers, trace.ConnectionProblem(err, "cannot listen on %q: %v", e.address, err)
		}
		server := &http.Server{Handler: m.recoverPanics(e), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				m.logger.WithError(err).WithField("address", e.address).Error("http: listener ended")
			}
		}()
	}
	return servers, nil
}
