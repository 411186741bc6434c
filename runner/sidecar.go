package runner

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/connector"
	"github.com/crocuslb/crocuslb/limiter"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/recoverer"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/supervisor"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// busyHoldTimeout and idleHoldTimeout are how long a hold call waits on the backend server for a run to end. While
	// tasks run, their progress is reported every busyHoldTimeout.
	busyHoldTimeout = 60 * time.Millisecond
	idleHoldTimeout = 250 * time.Millisecond
	// unrecordedHoldDelay is the delay between hold calls that return at once because some ends are not recorded yet.
	unrecordedHoldDelay = 10 * time.Millisecond
	// holdRetryDelay is the delay before the hold call that follows one that failed without timing out. Two calls that are
	// refused at this interval show that the backend server has ended.
	holdRetryDelay = 20 * time.Millisecond

	maxBackendConnections = 10
	// runBytes is what a run holds: its calls to the backend server, its row in each hold response, and its messages.
	runBytes = 16 << 10
	// confirmAttempts is the number of calls with which the backend server is asked for its incarnation.
	confirmAttempts = 3
	// persistTimeout is how long the acknowledgement of a draining backend server waits for the store. The backend server
	// waits one second for the acknowledgement and then announces itself again.
	persistTimeout = 700 * time.Millisecond
	// flushDelay is the time left to send the last messages before the process exits.
	flushDelay = 100 * time.Millisecond
	// drainPollPeriod is the period at which a stopping sidecar checks whether its runs have ended.
	drainPollPeriod = 20 * time.Millisecond
)

// Sidecar is the process that runs beside a backend server and starts tasks on it.
type Sidecar struct {
	Options

	loop         *eventLoop
	core         supervisor.Supervisor
	config       configuration
	directory    entryDirectory
	node         connector.Node
	monitor      monitor
	descriptors  descriptorStore
	backend      platform.Backend
	sessions     sessionHandler
	holdRequests chan supervisor.HoldRequest
	holdPending  bool // a hold call is running or queued; owned by the event loop
}

// Run serves until ctx is canceled, then waits up to Options.DrainTime for the runs to end.
func (s *Sidecar) Run(ctx context.Context) error {
	incarnation := uint64(time.Now().UnixMilli())
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.loop = newEventLoop()
	s.monitor.logger, s.monitor.droppedLogLines = s.Logger, s.DroppedLogLines
	s.monitor.setMachine(s.Machine)
	s.loop.onPanic = func(err error) { s.monitor.reportPanic("loop", err) }
	s.backend = platform.NewBackend(s.BackendAddress, maxBackendConnections, backendTimeout)
	s.descriptors = descriptorStore{logger: s.Logger, store: newStore(s.StoreAddress, 0), name: s.Name, pending: make(chan string, 1)}
	s.holdRequests = make(chan supervisor.HoldRequest, 1)
	s.core = supervisor.Supervisor{
		Domain: s.Domain, Partitions: s.Partitions, Report: s.report,
		Start:      func(m marshaler.Start) { s.startTask(runCtx, m) },
		Stop:       func(r marshaler.RunKey) { s.stopRun(runCtx, r) },
		HoldNow:    func() { s.pollRuns(runCtx) },
		ReserveRun: func() bool { return s.monitor.reserve(runBytes, portSessions, limiter.LimitRuns) },
		ReleaseRun: func() { s.monitor.budget.Release(runBytes) },
	}
	s.config = configuration{logger: s.Logger, processName: s.Name, onChange: func(now timer.Millis, c router.Snapshot) {
		s.core.SetOffset(now, c.Offset, c.DomainWithdrawn(s.Domain))
	}}
	s.node = connector.Node{
		Hello: func() marshaler.Hello {
			return marshaler.Hello{Role: marshaler.RoleSidecar, Name: s.Name, Incarnation: incarnation, Domain: s.Domain, Weight: s.Weight}
		},
	}
	s.attachSessions(runCtx)
	s.loop.flush, s.loop.tick = func(timer.Millis) {}, s.core.Tick
	announcements := platform.RegistrationServer{
		OnHeartbeat:  func(b supervisor.Backend) bool { return s.announce(runCtx, b) },
		OnDeregister: func(id string) { s.loop.post(runCtx, func(now timer.Millis) { s.core.OnDeregistered(now, id) }) },
		Bodies:       limiter.BodyReader{Port: portAnnounce, Timeout: s.BodyTimeout, Report: s.monitor.reportLimit},
		OnMalformed:  func(err error) { s.Logger.WithError(err).Warn("sidecar: rejected an invalid announcement") },
	}
	servers, err := startServers(runCtx, &s.monitor, &s.Options, []endpoint{
		{portAnnounce, s.AnnounceAddress, announcements.Handler(), nil}, {portMetrics, s.MetricsAddress, s.monitor.metricsHandler(), nil},
	})
	if err != nil {
		return err
	}
	go s.config.follow(runCtx, s.loop, newStore(s.StoreAddress, sidecarConfigurationPollTimeout))
	s.directory = entryDirectory{
		logger: s.Logger, store: newStore(s.StoreAddress, entriesPollTimeout), connect: s.node.Connect,
		shouldConnect: func(marshaler.Peer) bool { return true },
	}
	s.directory.addSeeds(runCtx, s.Seeds)
	go s.directory.follow(runCtx, func() {})
	s.Logger.WithFields(log.Fields{"name": s.Name, "domain": s.Domain, "backend": s.BackendAddress}).Info("sidecar: started")
	go s.runHolds(runCtx)
	go s.descriptors.writeLoop(runCtx)
	go s.restoreBackend(runCtx)
	loopErr := make(chan error, 1)
	go func() { loopErr <- s.loop.run(runCtx) }()
	select {
	case <-ctx.Done():
	case err := <-loopErr:
		return err
	}
	s.drain(runCtx)
	cancel()
	closeServers(servers)
	s.node.Wait()
	s.Logger.WithField("name", s.Name).Info("sidecar: stopped")
	return nil
}

// attachSessions connects the sessions to the core.
func (s *Sidecar) attachSessions(ctx context.Context) {
	s.sessions = sessionHandler{
		loop: s.loop, config: &s.config, directory: &s.directory, onPanic: s.monitor.reportPanic,
		onUp: func(now timer.Millis, link *marshaler.Link) {
			s.Logger.WithField("entry", link.Remote.Name).Info("sidecar: entry connected")
			s.config.relay.OnConnect(now, link.Remote.Name)
			s.core.OnConnect(now, link)
		},
		onDown: func(_ timer.Millis, link *marshaler.Link, cause error) {
			s.Logger.WithError(cause).WithField("entry", link.Remote.Name).Info("sidecar: entry disconnected")
			s.config.relay.OnDisconnect(link.Remote.Name)
			s.core.OnDisconnect(link)
		},
		onMessage: func(now timer.Millis, link *marshaler.Link, m marshaler.Message) {
			if b, ok := m.(*marshaler.Heartbeat); ok {
				s.config.sendIfOutdated(now, link, b.Offset)
			}
			s.core.OnMessage(now, link, m)
		},
	}
	s.sessions.attach(ctx, &s.node)
	s.monitor.traffic = &s.node.Traffic
}

// announce applies an announcement of the backend server and returns once it has taken effect. It reports whether the
// announcement may be acknowledged: draining is acknowledged only after it is stored, so that it survives a restart of
// the sidecar. An announcement of another incarnation than the known one must be confirmed by the backend server.
func (s *Sidecar) announce(ctx context.Context, b supervisor.Backend) bool {
	replaces := false
	ok := s.onLoop(ctx, func(now timer.Millis) {
		if replaces = s.core.Replaces(b); !replaces {
			s.core.Announce(now, b)
			s.afterAnnouncement(now)
		}
	})
	if !ok {
		return false
	}
	if replaces {
		if !s.confirmIncarnation(b) {
			s.Logger.WithField("backend", b.ID).Warn("sidecar: rejected an announcement of an incarnation that the backend server does not confirm")
			return false
		}
		ok = s.onLoop(ctx, func(now timer.Millis) {
			s.core.AnnounceConfirmed(now, b)
			s.afterAnnouncement(now)
		})
	}
	return ok && (!b.Draining || s.descriptors.waitPersisted(ctx, persistTimeout))
}

// onLoop calls f on the event loop and waits for its end. It returns false if ctx is canceled before.
func (s *Sidecar) onLoop(ctx context.Context, f func(now timer.Millis)) bool {
	done := make(chan struct{})
	s.loop.post(ctx, func(now timer.Millis) {
		defer close(done)
		f(now)
	})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// afterAnnouncement stores the backend server's descriptor and schedules the next hold call. It is called by the event loop.
func (s *Sidecar) afterAnnouncement(now timer.Millis) {
	s.descriptors.save(s.core.Backend())
	s.scheduleHold(now)
}

// confirmIncarnation reports whether the backend server answers as the incarnation in an announcement. A call without a
// response is repeated.
func (s *Sidecar) confirmIncarnation(b supervisor.Backend) bool {
	for range confirmAttempts {
		response, err := s.callHold(supervisor.HoldRequest{ID: b.ID, StartTime: b.StartTime}, 0)
		if err == nil {
			return response.StartTime == b.StartTime
		}
	}
	return false
}

// restoreBackend announces the backend server with the descriptor stored by a previous run of the sidecar, unless the
// backend server has announced itself already.
func (s *Sidecar) restoreBackend(ctx context.Context) {
	b, ok := s.descriptors.load(ctx)
	if !ok {
		return
	}
	s.loop.post(ctx, func(now timer.Millis) {
		if s.core.Backend().ID != "" {
			return
		}
		s.Logger.WithField("backend", b.ID).Info("sidecar: restored the backend server's descriptor from the store")
		s.core.Announce(now, b)
		s.scheduleHold(now)
	})
}

// scheduleHold passes the next hold call to runHolds, unless one is pending. It is called by the event loop.
func (s *Sidecar) scheduleHold(now timer.Millis) {
	if s.holdPending {
		return
	}
	if request, ok := s.core.BeginHold(now); ok {
		s.holdPending = true
		s.holdRequests <- request
	}
}

// runHolds makes the hold calls, which renew the leases of all runs and wait for runs to end.
func (s *Sidecar) runHolds(ctx context.Context) {
	var retryDelay time.Duration
	for {
		var request supervisor.HoldRequest
		select {
		case request = <-s.holdRequests:
		case <-ctx.Done():
			return
		}
		timeout := idleHoldTimeout
		if request.HasRuns {
			timeout = busyHoldTimeout
		}
		delay := retryDelay
		if request.HasUnrecordedEnds {
			delay = max(delay, unrecordedHoldDelay)
		}
		time.Sleep(delay)
		listing, err := s.callHold(request, timeout)
		retryDelay = 0
		if err != nil && !platform.IsTimeout(err) {
			retryDelay = holdRetryDelay
		}
		s.loop.post(ctx, func(now timer.Millis) {
			s.holdPending = false
			defer s.scheduleHold(now) // also after a panic in the core: one bad listing must not let the leases expire
			if err != nil {
				s.core.OnHoldFailed(now, request, platform.IsConnectionRefused(err), err.Error())
			} else {
				s.core.OnHoldResponse(now, listing)
			}
		})
	}
}

// callHold makes a hold call to the backend server. A panic while handling the response is returned as an error.
func (s *Sidecar) callHold(request supervisor.HoldRequest, timeout time.Duration) (listing supervisor.HoldResponse, err error) {
	panicked := recoverer.Call(func() { listing, err = s.backend.Hold(request, timeout) })
	if panicked != nil {
		s.monitor.reportPanic("backend server", panicked)
		return supervisor.HoldResponse{}, panicked
	}
	return listing, err
}

// pollRuns requests the list of runs and ends without waiting, in parallel to a pending hold call. It is called by the
// event loop.
func (s *Sidecar) pollRuns(ctx context.Context) {
	request, ok := s.core.BeginHold(s.loop.clock.Now())
	if !ok {
		return
	}
	go func() {
		listing, err := s.callHold(request, 0)
		if err != nil {
			return // the hold calls of runHolds report the same failure
		}
		s.loop.post(ctx, func(now timer.Millis) { s.core.OnHoldResponse(now, listing) })
	}()
}

func (s *Sidecar) startTask(ctx context.Context, m marshaler.Start) {
	instance := s.core.Backend().ID
	go func() {
		started := supervisor.StartResult{Run: m.Run, Status: supervisor.StartUnknown, Reason: "panic on the answer"}
		if err := recoverer.Call(func() { started = s.backend.Start(instance, m) }); err != nil {
			s.monitor.reportPanic("backend server", err)
		}
		s.loop.post(ctx, func(now timer.Millis) { s.core.OnStarted(now, started) })
	}()
}

func (s *Sidecar) stopRun(ctx context.Context, r marshaler.RunKey) {
	instance := s.core.Backend().ID
	go func() {
		var stopped bool
		var err error
		if panicked := recoverer.Call(func() { stopped, err = s.backend.Stop(instance, r) }); panicked != nil {
			s.monitor.reportPanic("backend server", panicked)
			stopped, err = false, panicked
		}
		if err != nil {
			s.Logger.WithError(err).WithField("job", r.Job).Warn("sidecar: stop call to the backend server failed")
		}
		s.loop.post(ctx, func(timer.Millis) { s.core.OnStopped(r, stopped) })
	}()
}

// drain rejects new starts and waits up to Options.DrainTime for the runs to end.
func (s *Sidecar) drain(ctx context.Context) {
	s.Logger.WithField("drain", s.DrainTime.String()).Info("sidecar: stopping")
	s.loop.post(ctx, s.core.Drain)
	running := make(chan int, 1)
	for started := time.Now(); time.Since(started) < s.DrainTime.Duration(); time.Sleep(drainPollPeriod) {
		s.loop.post(ctx, func(timer.Millis) { running <- s.core.Running() })
		if <-running == 0 {
			break
		}
	}
	time.Sleep(flushDelay)
}

func (s *Sidecar) report(e supervisor.Event) {
	detail, _, _ := strings.Cut(e.Detail, " ")
	if e.Kind == "backend" || e.Kind == "backendSilent" || e.Kind == "backendRestarted" || e.Kind == "leaseExpired" || e.Kind == "deregistered" {
		detail = ""
	}
	s.monitor.countEvent(e.Kind, detail)
	fields := log.Fields{"detail": e.Detail, "value": e.Value}
	if e.Run.Job != "" {
		fields["job"], fields["task"], fields["attempt"] = e.Run.Job, e.Run.Index, e.Run.Attempt
	}
	if e.Entry != "" {
		fields["entry"] = e.Entry
	}
	fields["offset"] = s.config.current().Offset
	s.Logger.WithFields(fields).Info("sidecar: " + e.Kind)
}
