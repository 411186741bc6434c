package conductor

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/carrier"
	"github.com/crocuslb/crocuslb/catcher"
	"github.com/crocuslb/crocuslb/keeper"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// busyWait and idleWait are how long a hold waits for an end. The progress of runs is seen every busyWait.
	busyWait = 60 * time.Millisecond
	idleWait = 250 * time.Millisecond
	// unrecordedPause is the pause between two holds that do not wait, because ends are not recorded yet.
	unrecordedPause = 10 * time.Millisecond
	// holdPause is the pause after a hold that failed at once.
	holdPause = 20 * time.Millisecond
	// backendConnections bounds the connections to the backend server.
	backendConnections = 10
	// storedWait is how long the acknowledgement of a backend server that leaves waits for the store. The server waits for
	// a second, and announces itself again.
	storedWait = 700 * time.Millisecond
	// flushTime is left for the last messages of a process that ends.
	flushTime = 100 * time.Millisecond
	// drainCheck is the period in which a stopping sidecar looks whether its runs have ended.
	drainCheck = 20 * time.Millisecond
)

// Sidecar is the process beside a backend server on the users' platform.
type Sidecar struct {
	Options

	loop    *loop
	core    keeper.Keeper
	config  configuration
	members directory
	node    carrier.Node
	monitor monitor
	memory  memory
	backend platform.Backend
	links   sessions
	holds   chan keeper.HoldRequest
	holding bool // a hold is under way or about to be; owned by the loop
}

// Run serves until ctx ends, then lets the runs end within Options.Drain.
func (s *Sidecar) Run(ctx context.Context) error {
	incarnation := uint64(time.Now().UnixMilli())
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	s.loop = newLoop()
	s.monitor.logger, s.monitor.dropped = s.Logger, s.Dropped
	s.loop.panicked = func(err error) { s.monitor.panicked("loop", err) }
	s.backend = platform.NewBackend(s.Backend, backendConnections, backendTimeout)
	s.memory = memory{logger: s.Logger, store: newStore(s.Store, 0), name: s.Name, pending: make(chan string, 1)}
	s.holds = make(chan keeper.HoldRequest, 1)
	s.core = keeper.Keeper{
		Domain: s.Domain, Partitions: s.Partitions, Report: s.report,
		Start: func(m marshaler.Start) { s.start(life, m) },
		Stop:  func(r marshaler.RunKey) { s.stop(life, r) },
		Look:  func() { s.look(life) },
	}
	s.config = configuration{logger: s.Logger, name: s.Name, changed: func(now timer.Millis, c router.Snapshot) {
		s.core.SetOffset(now, c.Offset, c.Withdrawn(s.Domain))
	}}
	s.node = carrier.Node{
		Hello: func() marshaler.Hello {
			return marshaler.Hello{Role: marshaler.RoleSidecar, Name: s.Name, Incarnation: incarnation, Domain: s.Domain, Weight: s.Weight}
		},
	}
	s.attach(life)
	s.loop.flush, s.loop.tick = func(timer.Millis) {}, s.core.Tick
	announcements := platform.Announcements{
		Announce: func(b keeper.Backend) bool { return s.announce(life, b) },
		Leaves:   func(id string) { s.loop.do(life, func(now timer.Millis) { s.core.Leaves(now, id) }) },
		Refused:  func(err error) { s.Logger.WithError(err).Warn("sidecar: announcement refused") },
	}
	servers, err := serveAll(life, &s.monitor, []endpoint{{s.Announcements, announcements.Handler()}, {s.Metrics, s.monitor.handler()}})
	if err != nil {
		return err
	}
	go s.config.follow(life, s.loop, newStore(s.Store, sidecarConfigurationWait))
	s.members = directory{
		logger: s.Logger, store: newStore(s.Store, entriesWait), connect: s.node.Connect,
		wanted: func(marshaler.Peer) bool { return true },
	}
	s.members.addSeeds(life, s.Seeds)
	go s.members.follow(life, func() {})
	s.Logger.WithFields(log.Fields{"name": s.Name, "domain": s.Domain, "backend": s.Backend}).Info("sidecar: started")
	go s.hold(life)
	go s.memory.write(life)
	go s.recall(life)
	broken := make(chan error, 1)
	go func() { broken <- s.loop.run(life) }()
	select {
	case <-ctx.Done():
	case err := <-broken:
		return err
	}
	s.drain(life)
	end()
	closeAll(servers)
	s.node.Wait()
	s.Logger.WithField("name", s.Name).Info("sidecar: stopped")
	return nil
}

// attach connects the sessions to the core.
func (s *Sidecar) attach(ctx context.Context) {
	s.links = sessions{
		loop: s.loop, config: &s.config, members: &s.members, panicked: s.monitor.panicked,
		up: func(now timer.Millis, link *marshaler.Link) {
			s.Logger.WithField("entry", link.Remote.Name).Info("sidecar: entry connected")
			s.config.relay.Up(now, link.Remote.Name)
			s.core.OnUp(now, link)
		},
		down: func(_ timer.Millis, link *marshaler.Link, cause error) {
			s.Logger.WithError(cause).WithField("entry", link.Remote.Name).Info("sidecar: entry disconnected")
			s.config.relay.Down(link.Remote.Name)
			s.core.OnDown(link)
		},
		message: func(now timer.Millis, link *marshaler.Link, m marshaler.Message) {
			if b, ok := m.(*marshaler.Beat); ok {
				s.config.passOn(now, link, b.Offset)
			}
			s.core.OnMessage(now, link, m)
		},
	}
	s.links.attach(ctx, &s.node)
	s.monitor.traffic = &s.node.Traffic
}

// announce passes on what the backend server says of itself. It returns once that is in force, and reports whether it may
// be acknowledged: that a server leaves is known after a restart of this process, too.
func (s *Sidecar) announce(ctx context.Context, b keeper.Backend) bool {
	done := make(chan struct{})
	s.loop.do(ctx, func(now timer.Millis) {
		defer close(done)
		s.core.Announce(now, b)
		s.memory.remember(s.core.Backend())
		s.nextHold(now)
	})
	select {
	case <-done:
	case <-ctx.Done():
		return false
	}
	return !b.Draining || s.memory.awaitStored(ctx, storedWait)
}

// recall announces the backend server as an earlier life of this process knew it, unless it has announced itself.
func (s *Sidecar) recall(ctx context.Context) {
	b, ok := s.memory.recall(ctx)
	if !ok {
		return
	}
	s.loop.do(ctx, func(now timer.Millis) {
		if s.core.Backend().ID != "" {
			return
		}
		s.Logger.WithField("backend", b.ID).Info("sidecar: backend server is recalled from the store")
		s.core.Announce(now, b)
		s.nextHold(now)
	})
}

// nextHold hands the next hold to its goroutine, unless one is under way. It is called by the loop.
func (s *Sidecar) nextHold(now timer.Millis) {
	if s.holding {
		return
	}
	if h, ok := s.core.BeginHold(now); ok {
		s.holding = true
		s.holds <- h
	}
}

// hold keeps the lease of all runs and waits for their ends.
func (s *Sidecar) hold(ctx context.Context) {
	for {
		var h keeper.HoldRequest
		select {
		case h = <-s.holds:
		case <-ctx.Done():
			return
		}
		wait := idleWait
		if h.Busy {
			wait = busyWait
		}
		if h.Unrecorded {
			time.Sleep(unrecordedPause)
		}
		l, err := s.callHold(h, wait)
		if err != nil && !platform.TimedOut(err) {
			time.Sleep(holdPause)
		}
		s.loop.do(ctx, func(now timer.Millis) {
			s.holding = false
			defer s.nextHold(now) // also when the core panics: the lease must not end with one listing
			if err != nil {
				s.core.OnHoldFailed(now, platform.Gone(err), err.Error())
			} else {
				s.core.OnListing(now, l)
			}
		})
	}
}

// callHold calls the backend server. A panic on its answer is an error of the call.
func (s *Sidecar) callHold(h keeper.HoldRequest, wait time.Duration) (l keeper.Listing, err error) {
	panicked := catcher.Catch(func() { l, err = s.backend.Hold(h, wait) })
	if panicked != nil {
		s.monitor.panicked("backend server", panicked)
		return keeper.Listing{}, panicked
	}
	return l, err
}

// look asks for the lists of runs and ends at once, beside a hold that waits. It is called by the loop.
func (s *Sidecar) look(ctx context.Context) {
	h, ok := s.core.BeginHold(s.loop.clock.Now())
	if !ok {
		return
	}
	go func() {
		l, err := s.callHold(h, 0)
		if err != nil {
			return // the next hold tells the same
		}
		s.loop.do(ctx, func(now timer.Millis) { s.core.OnListing(now, l) })
	}()
}

func (s *Sidecar) start(ctx context.Context, m marshaler.Start) {
	instance := s.core.Backend().ID
	go func() {
		started := keeper.Started{Run: m.Run, Status: keeper.StartUnknown, Reason: "panic on the answer"}
		if err := catcher.Catch(func() { started = s.backend.Start(instance, m) }); err != nil {
			s.monitor.panicked("backend server", err)
		}
		s.loop.do(ctx, func(now timer.Millis) { s.core.OnStarted(now, started) })
	}()
}

func (s *Sidecar) stop(ctx context.Context, r marshaler.RunKey) {
	instance := s.core.Backend().ID
	go func() {
		var ok bool
		var err error
		if panicked := catcher.Catch(func() { ok, err = s.backend.Stop(instance, r) }); panicked != nil {
			s.monitor.panicked("backend server", panicked)
			ok, err = false, panicked
		}
		if err != nil {
			s.Logger.WithError(err).WithField("job", r.Job).Warn("sidecar: no answer to a stop")
		}
		s.loop.do(ctx, func(now timer.Millis) { s.core.OnStopped(now, r, ok, platform.Gone(err)) })
	}()
}

// drain refuses new starts and waits until the runs have ended.
func (s *Sidecar) drain(ctx context.Context) {
	s.Logger.WithField("drain", s.Drain.String()).Info("sidecar: stopping")
	s.loop.do(ctx, s.core.Leave)
	left := make(chan int, 1)
	for started := time.Now(); time.Since(started) < s.Drain.Duration(); time.Sleep(drainCheck) {
		s.loop.do(ctx, func(timer.Millis) { left <- s.core.Running() })
		if <-left == 0 {
			break
		}
	}
	time.Sleep(flushTime)
}

func (s *Sidecar) report(e keeper.Event) {
	detail, _, _ := strings.Cut(e.Detail, " ")
	if e.Kind == "backend" || e.Kind == "backendSilent" || e.Kind == "backendRestarted" || e.Kind == "deregistered" {
		detail = ""
	}
	s.monitor.count(e.Kind, detail)
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
