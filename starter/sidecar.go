package starter

import (
	"context"
	"crypto/tls"
	"net/url"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/messenger"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	tickInterval = 50 * time.Millisecond
	// eventQueueSize is large enough for bursts of messages. If the queue is full, the sessions block until the control
	// goroutine catches up.
	eventQueueSize = 1024
)

type (
	// Sidecar is the sidecar process. The exported fields must be set before Run is called; ID, Domain, Backend,
	// Entries and TLS are required.
	Sidecar struct {
		ID string
		// Incarnation must be greater than that of any previous process with this ID. 0 means the Unix time in
		// microseconds.
		Incarnation  uint64
		Domain       string
		Worker       string
		Slots        uint32 // default 8
		MemoryMB     uint64
		Kinds        []string // kinds of tasks that the backend server runs; empty for all
		Backend      string   // base URL of the backend server
		Entries      []string // addresses of entries or of a load balancer in front of them
		TLS          *tls.Config
		Clock        timer.Clock
		Log          log.Interface // default log.Log
		RunTimeout   timer.Millis  // maximum run time of a task; default 5 minutes
		KeyRetention timer.Millis  // default 10 minutes

		once    sync.Once
		events  chan event
		drained chan struct{}

		core             Core
		node             messenger.Node
		runner           *runner
		health           *healthChecker
		sessions         map[uint64]*messenger.Session
		sessionIDs       map[*messenger.Session]uint64
		lastSessionID    uint64 // identifier of the latest session
		cancelDials      map[string]context.CancelFunc
		cancelRuns       map[encoder.TaskKey]context.CancelFunc
		connectedEpoch   uint64 // epoch of the roster at the last call of updateConnections
		connectionsStale bool   // sessions or health changed since the last call of updateConnections
		wasHealthy       bool   // the backend server has been healthy at least once
		backendErr       error  // why the backend server is unhealthy; nil if it is healthy
		draining         bool
		warnedEvicted    bool // a warning about keys evicted early has been logged
	}

	eventKind uint8

	// event is sent by other goroutines to the control goroutine.
	event struct {
		kind    eventKind
		session *messenger.Session
		message encoder.Message
		task    encoder.TaskKey
		outcome Outcome
		err     error
	}
)

const (
	eventConnected eventKind = iota + 1
	eventMessage
	eventDisconnected
	eventRunEnded
	eventHealthChanged
	eventDrainRequested
)

// Run runs the sidecar until ctx is done. It connects to entries once the backend server is healthy. Tasks that are
// still running when ctx is done are aborted; call Drain first.
func (s *Sidecar) Run(ctx context.Context) error {
	base, err := url.Parse(s.Backend)
	if err != nil {
		return trace.BadParameter("invalid backend server address: %v", err)
	}
	s.init()
	ctx, cancel := context.WithCancel(ctx)
	defer s.node.Wait() // sends the queued messages
	defer cancel()
	s.runner = newRunner(base, s.Clock, s.RunTimeout)
	defer s.runner.close()
	s.node.Hello = s.hello
	s.node.TLS = s.TLS
	s.node.OnConnect = func(n *messenger.Session) { s.enqueue(ctx, event{kind: eventConnected, session: n}) }
	s.node.OnDisconnect = func(n *messenger.Session, err error) {
		s.enqueue(ctx, event{kind: eventDisconnected, session: n, err: err})
	}
	s.node.OnMessage = func(n *messenger.Session, m encoder.Message) {
		s.enqueue(ctx, event{kind: eventMessage, session: n, message: m})
	}
	if s.health == nil {
		s.health = newHealthChecker(base)
	}
	go s.health.watch(ctx, func(err error) { s.enqueue(ctx, event{kind: eventHealthChanged, err: err}) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			s.applyEffects(ctx, s.core.Tick(s.Clock.Now()))
			s.warnEvictedEarly()
		case e := <-s.events:
			s.handleEvent(ctx, e)
		}
		s.updateConnections(ctx)
		s.checkDrained()
	}
}

// Drain announces that the sidecar is leaving and waits until the running tasks have ended and their results have been
// collected. It returns an error if ctx is done first. Run must be active; it continues until its own context is done.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.init()
	s.enqueue(ctx, event{kind: eventDrainRequested})
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "drain interrupted: tasks are still running or results have not been collected")
	}
}

func (s *Sidecar) init() {
	s.once.Do(func() {
		s.events = make(chan event, eventQueueSize)
		s.drained = make(chan struct{})
		s.sessions = map[uint64]*messenger.Session{}
		s.sessionIDs = map[*messenger.Session]uint64{}
		s.cancelDials = map[string]context.CancelFunc{}
		s.cancelRuns = map[encoder.TaskKey]context.CancelFunc{}
		if s.Incarnation == 0 {
			s.Incarnation = uint64(time.Now().UnixMicro())
		}
		if s.Log == nil {
			s.Log = log.Log
		}
		s.Slots = orDefault(s.Slots, defaultSlots)
		s.core.ID, s.core.Slots = s.ID, s.Slots
		s.core.KeyRetention = s.KeyRetention
	})
}

func (s *Sidecar) hello() encoder.Hello {
	return encoder.Hello{
		Role: encoder.RoleSidecar, Member: encoder.Member{ID: s.ID, Incarnation: s.Incarnation},
		Domain: s.Domain, Worker: s.Worker, Slots: s.Slots, MemoryMB: s.MemoryMB, Kinds: s.Kinds,
	}
}

// enqueue sends an event to the control goroutine.
func (s *Sidecar) enqueue(ctx context.Context, e event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// handleEvent passes an event to the core. The time is read after the event was dequeued, because the process may have
// been paused while the event was in the queue.
func (s *Sidecar) handleEvent(ctx context.Context, e event) {
	now := s.Clock.Now()
	s.connectionsStale = s.connectionsStale ||
		e.kind == eventConnected || e.kind == eventDisconnected || e.kind == eventHealthChanged
	switch e.kind {
	case eventConnected:
		s.lastSessionID++
		s.sessions[s.lastSessionID], s.sessionIDs[e.session] = e.session, s.lastSessionID
		ack := e.session.Ack()
		s.Log.Infof("sidecar: connected to entry %s", ack.Member.ID)
		s.applyEffects(ctx, s.core.Connected(now, s.lastSessionID, &ack))
	case eventMessage:
		if n, ok := s.sessionIDs[e.session]; ok {
			s.applyEffects(ctx, s.core.Receive(now, n, e.message))
		}
	case eventDisconnected:
		if n, ok := s.sessionIDs[e.session]; ok {
			delete(s.sessions, n)
			delete(s.sessionIDs, e.session)
			s.Log.Infof("sidecar: disconnected from entry %s: %v", e.session.Ack().Member.ID, e.err)
			s.applyEffects(ctx, s.core.Disconnected(now, n))
		}
	case eventRunEnded:
		delete(s.cancelRuns, e.task)
		if e.outcome.Status == encoder.StatusNotStarted {
			s.health.recheck()
		}
		s.applyEffects(ctx, s.core.RunEnded(now, e.task, e.outcome))
	case eventHealthChanged:
		s.wasHealthy, s.backendErr = true, e.err
		if e.err != nil {
			s.Log.Warnf("sidecar: backend server is unhealthy: %v", e.err)
		} else {
			s.Log.Info("sidecar: backend server is healthy")
		}
		s.applyEffects(ctx, s.core.SetLeaving(now, s.draining || s.backendErr != nil))
	case eventDrainRequested:
		s.draining = true
		s.applyEffects(ctx, s.core.SetLeaving(now, true))
	}
}

// applyEffects carries out the effects of the core in order.
func (s *Sidecar) applyEffects(ctx context.Context, effects []Effect) {
	for _, e := range effects {
		switch e.Kind {
		case EffectSend:
			if n, ok := s.sessions[e.Session]; ok && !n.Send(e.Message) {
				// Without the message, the peers could have different credit counts. A new session starts without credits.
				n.Close()
			}
		case EffectRun:
			s.startRun(ctx, e.Run)
		case EffectCancel:
			if cancel, ok := s.cancelRuns[e.Task]; ok {
				cancel()
			}
		case EffectReset:
			if n, ok := s.sessions[e.Session]; ok {
				n.Close()
			}
		}
	}
}

func (s *Sidecar) startRun(ctx context.Context, r Run) {
	runCtx, cancel := context.WithCancel(ctx)
	s.cancelRuns[r.Task] = cancel
	go func() {
		defer cancel()
		o := s.runner.run(runCtx, r)
		s.enqueue(ctx, event{kind: eventRunEnded, task: r.Task, outcome: o})
	}()
}

// updateConnections maintains one connection to each entry of the roster. It also connects to the configured addresses
// until a connection to an entry of the roster is established.
func (s *Sidecar) updateConnections(ctx context.Context) {
	roster, rosterConnected := s.core.Roster(), false
	if !s.wasHealthy || !s.connectionsStale && roster.Epoch == s.connectedEpoch {
		return
	}
	s.connectionsStale = false
	wanted := map[string]bool{}
	for _, e := range roster.Entries {
		wanted[e.Address] = true
	}
	for n := range s.sessionIDs {
		rosterConnected = rosterConnected || wanted[n.Peer().Address]
	}
	if !rosterConnected {
		for _, a := range s.Entries {
			wanted[a] = true
		}
	}
	for a, cancel := range s.cancelDials {
		if !wanted[a] {
			cancel()
			delete(s.cancelDials, a)
		}
	}
	for a := range wanted {
		if s.cancelDials[a] == nil {
			dialCtx, cancel := context.WithCancel(ctx)
			s.cancelDials[a] = cancel
			s.node.Connect(dialCtx, a)
		}
	}
	if roster.Epoch != s.connectedEpoch {
		s.connectedEpoch = roster.Epoch
		s.Log.Infof("sidecar: roster of epoch %d has %d entries", roster.Epoch, len(roster.Entries))
	}
}

// warnEvictedEarly logs a warning once if the started-task table is too small for the rate of starts.
func (s *Sidecar) warnEvictedEarly() {
	if n := s.core.EvictedEarly(); n > 0 && !s.warnedEvicted {
		s.warnedEvicted = true
		s.Log.Warn("sidecar: started-task table is full; keys are evicted before the end of their retention")
	}
}

func (s *Sidecar) checkDrained() {
	if s.draining && s.core.Drained() {
		select {
		case <-s.drained:
		default:
			close(s.drained)
		}
	}
}
