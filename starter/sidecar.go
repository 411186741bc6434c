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
	tickPeriod = 50 * time.Millisecond
	// eventRoom lets a burst of messages queue while the control goroutine works; a full queue slows its sessions down.
	eventRoom = 1024
)

type (
	// Sidecar is the sidecar process. Set the fields before Run is called; ID, Domain, Backend, Entries and TLS are
	// needed.
	Sidecar struct {
		ID string
		// Incarnation must be larger than any earlier one of this ID. 0 means the wall clock in microseconds.
		Incarnation  uint64
		Domain       string
		Worker       string
		Slots        uint32 // default 8
		MemoryMB     uint64
		Kinds        []string // empty for all
		Backend      string   // base URL of the backend server
		Entries      []string // addresses of entries, or of a balancer before them
		TLS          *tls.Config
		Clock        timer.Clock
		Log          log.Interface // default log.Log
		RunLimit     timer.Millis  // longest run of any task; default 5 minutes
		KeyRetention timer.Millis  // default 10 minutes

		once    sync.Once
		events  chan event
		drained chan struct{}

		core     Core
		node     messenger.Node
		runner   *runner
		health   *health
		sessions map[uint64]*messenger.Session
		numbers  map[*messenger.Session]uint64
		last     uint64 // number of the newest session
		dials    map[string]context.CancelFunc
		runs     map[encoder.TaskKey]context.CancelFunc
		epoch    uint64 // of the roster that connect has seen
		changed  bool   // sessions came or went since connect has seen them
		ready    bool   // the backend server has been healthy
		backend  error  // why the backend server takes no work
		draining bool
		warned   bool // that keys are forgotten early
	}

	eventKind uint8

	// event is what other goroutines report to the control goroutine.
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
	eventUp eventKind = iota + 1
	eventMessage
	eventDown
	eventEnded
	eventHealth
	eventDrain
)

// Run runs the sidecar until ctx ends. It waits for the backend server to be healthy before it connects to entries.
// Tasks that still run when ctx ends are cut off; call Drain first.
func (s *Sidecar) Run(ctx context.Context) error {
	base, err := url.Parse(s.Backend)
	if err != nil {
		return trace.BadParameter("address of the backend server: %v", err)
	}
	s.init()
	ctx, cancel := context.WithCancel(ctx)
	defer s.node.Wait() // it sends what is queued
	defer cancel()
	s.runner = newRunner(base, s.Clock, s.RunLimit)
	defer s.runner.close()
	s.node.Hello = s.hello
	s.node.TLS = s.TLS
	s.node.OnUp = func(n *messenger.Session) { s.post(ctx, event{kind: eventUp, session: n}) }
	s.node.OnDown = func(n *messenger.Session, err error) { s.post(ctx, event{kind: eventDown, session: n, err: err}) }
	s.node.OnMessage = func(n *messenger.Session, m encoder.Message) {
		s.post(ctx, event{kind: eventMessage, session: n, message: m})
	}
	if s.health == nil {
		s.health = newHealth(base)
	}
	go s.health.watch(ctx, func(err error) { s.post(ctx, event{kind: eventHealth, err: err}) })
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			s.perform(ctx, s.core.Tick(s.Clock.Now()))
			s.warnForgotten()
		case e := <-s.events:
			s.handle(ctx, e)
		}
		s.connect(ctx)
		s.checkDrained()
	}
}

// Drain announces that the sidecar is leaving and waits until running tasks have ended and their results are collected.
// It returns the context's error when that takes too long. Run must be running; it goes on until its context ends.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.init()
	s.post(ctx, event{kind: eventDrain})
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "tasks still run or results are not collected")
	}
}

func (s *Sidecar) init() {
	s.once.Do(func() {
		s.events = make(chan event, eventRoom)
		s.drained = make(chan struct{})
		s.sessions = map[uint64]*messenger.Session{}
		s.numbers = map[*messenger.Session]uint64{}
		s.dials = map[string]context.CancelFunc{}
		s.runs = map[encoder.TaskKey]context.CancelFunc{}
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

// post hands an event to the control goroutine.
func (s *Sidecar) post(ctx context.Context, e event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// handle passes an event to the core. The time is read here, after the event was taken, because the process may have
// been paused while it was queued.
func (s *Sidecar) handle(ctx context.Context, e event) {
	now := s.Clock.Now()
	s.changed = s.changed || e.kind == eventUp || e.kind == eventDown || e.kind == eventHealth
	switch e.kind {
	case eventUp:
		s.last++
		s.sessions[s.last], s.numbers[e.session] = e.session, s.last
		ack := e.session.Ack()
		s.Log.Infof("sidecar: connected to entry %s", ack.Member.ID)
		s.perform(ctx, s.core.Connected(now, s.last, &ack))
	case eventMessage:
		if n, ok := s.numbers[e.session]; ok {
			s.perform(ctx, s.core.Receive(now, n, e.message))
		}
	case eventDown:
		if n, ok := s.numbers[e.session]; ok {
			delete(s.sessions, n)
			delete(s.numbers, e.session)
			s.Log.Infof("sidecar: lost entry %s: %v", e.session.Ack().Member.ID, e.err)
			s.perform(ctx, s.core.Disconnected(now, n))
		}
	case eventEnded:
		delete(s.runs, e.task)
		if e.outcome.Status == encoder.StatusNotStarted {
			s.health.recheck()
		}
		s.perform(ctx, s.core.Ended(now, e.task, e.outcome))
	case eventHealth:
		s.ready, s.backend = true, e.err
		if e.err != nil {
			s.Log.Warnf("sidecar: backend server takes no work: %v", e.err)
		} else {
			s.Log.Info("sidecar: backend server is healthy")
		}
		s.perform(ctx, s.core.SetLeaving(now, s.draining || s.backend != nil))
	case eventDrain:
		s.draining = true
		s.perform(ctx, s.core.SetLeaving(now, true))
	}
}

// perform carries out the core's effects in order.
func (s *Sidecar) perform(ctx context.Context, effects []Effect) {
	for _, e := range effects {
		switch e.Kind {
		case EffectSend:
			if n, ok := s.sessions[e.Session]; ok && !n.Send(e.Message) {
				n.Close() // both ends begin again without credits; a silent loss would leave them at odds
			}
		case EffectRun:
			s.run(ctx, e.Run)
		case EffectCancel:
			if cancel, ok := s.runs[e.Task]; ok {
				cancel()
			}
		case EffectReset:
			if n, ok := s.sessions[e.Session]; ok {
				n.Close()
			}
		}
	}
}

func (s *Sidecar) run(ctx context.Context, r Run) {
	runCtx, cancel := context.WithCancel(ctx)
	s.runs[r.Task] = cancel
	go func() {
		defer cancel()
		o := s.runner.run(runCtx, r)
		s.post(ctx, event{kind: eventEnded, task: r.Task, outcome: o})
	}()
}

// connect keeps one connection to each entry of the roster. The configured addresses are used until one of those is up.
func (s *Sidecar) connect(ctx context.Context) {
	roster, direct := s.core.Roster(), false
	if !s.ready || !s.changed && roster.Epoch == s.epoch {
		return
	}
	s.changed = false
	wanted := map[string]bool{}
	for _, e := range roster.Entries {
		wanted[e.Address] = true
	}
	for n := range s.numbers {
		direct = direct || wanted[n.Peer().Address]
	}
	if !direct {
		for _, a := range s.Entries {
			wanted[a] = true
		}
	}
	for a, cancel := range s.dials {
		if !wanted[a] {
			cancel()
			delete(s.dials, a)
		}
	}
	for a := range wanted {
		if s.dials[a] == nil {
			dialCtx, cancel := context.WithCancel(ctx)
			s.dials[a] = cancel
			s.node.Connect(dialCtx, a)
		}
	}
	if roster.Epoch != s.epoch {
		s.epoch = roster.Epoch
		s.Log.Infof("sidecar: roster of epoch %d has %d entries", roster.Epoch, len(roster.Entries))
	}
}

// warnForgotten reports once that the started-task table is too small for the rate of starts.
func (s *Sidecar) warnForgotten() {
	if n := s.core.ForgottenEarly(); n > 0 && !s.warned {
		s.warned = true
		s.Log.Warn("sidecar: the table of started tasks is full; keys are forgotten before their retention is over")
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
