package dispatcher

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/configurer"
	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/messenger"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	tickInterval   = 5 * time.Millisecond
	eventQueueSize = 8192
	// maxEventBatch is the maximum number of events handled before their effects are carried out.
	maxEventBatch = 256
	// tailReadWait is the long-poll time of a read at the head of the log. It bounds the age of a confirmation.
	tailReadWait = 150 * timer.Millisecond
	// claimsHistoryLength is the number of past claims records that a new entry reads.
	claimsHistoryLength = 50_000
	maxHistory          = 1000
	teamPrefix          = "team/"
)

type (
	// Entry is the entry process. The exported fields must be set before Run is called.
	Entry struct {
		ID          string
		Incarnation uint64 // 0 means the wall clock time in milliseconds, which increases on restart
		Listen      string // UDP address of the QUIC listener
		Advertise   string // address at which other processes reach the listener; "" means the bound address
		Domain      string // failure domain of the entry
		Log         *appender.Client
		TLS         *tls.Config // nil means loopback only
		Clock       timer.Clock
		Logger      log.Interface
		Settings    Settings // Member, Address, Domain, WithdrawRecord and OnTask are set by Run

		// OnTask is called for the end of each task that this entry owns. It runs on the control goroutine and must not
		// block. It may be nil.
		OnTask func(TaskReport)

		once           sync.Once
		events         chan event
		stopped        chan struct{}
		lastRequest    atomic.Uint64
		member         atomic.Pointer[encoder.Member]
		roster         atomic.Pointer[encoder.Roster]
		loggedTakeover string // takeover state that was logged last
		address        string

		// The fields below are used by the control goroutine only.
		core                *Core
		node                *messenger.Node
		runCtx              context.Context
		sessions            map[SessionID]*messenger.Session
		sessionIDs          map[*messenger.Session]SessionID
		lastSession         SessionID
		dialCancels         map[string]context.CancelFunc
		pendingAnswers      map[uint64]chan encoder.Answer
		pendingPublications map[uint64]chan Publication
		configurationReplay configurer.Replayer
		configuration       configurer.Snapshot
		rosterReplay        elector.Replayer

		configurationCheckpoints checkpointState
		rosterCheckpoints        checkpointState

		history    []ConfigurationChange
		drained    chan struct{}
		sentCounts MessageCounts
	}

	// ConfigurationChange is a configuration change in the log. Findings is empty if the change took effect.
	ConfigurationChange struct {
		Offset   uint64
		Note     configurer.Note
		Findings []configurer.Finding
	}

	eventKind uint8

	event struct {
		kind     eventKind
		session  *messenger.Session
		message  encoder.Message
		hello    encoder.Hello
		request  uint64
		job      encoder.Job
		answer   chan encoder.Answer
		stream   string
		record   appender.Record
		progress appender.Progress
		tag      uint64
		offset   uint64
		err      error
		call     func()
	}
)

const (
	eventSessionOpened eventKind = iota + 1
	eventSessionClosed
	eventMessage
	eventSubmit
	eventGet
	eventCancel
	eventAbandon
	eventRecord
	eventReadDone
	eventAppendDone
	eventCall
)

func (e *Entry) init() {
	e.once.Do(func() {
		e.events = make(chan event, eventQueueSize)
		e.stopped = make(chan struct{})
		if e.Logger == nil {
			e.Logger = log.Log
		}
	})
}

// Run serves until ctx is done.
func (e *Entry) Run(ctx context.Context) error {
	e.init()
	defer close(e.stopped)
	if e.ID == "" || e.Log == nil {
		return trace.BadParameter("entry ID and log client must be set")
	}
	if e.Incarnation == 0 {
		e.Incarnation = uint64(time.Now().UnixMilli())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.runCtx = ctx
	member := encoder.Member{ID: e.ID, Incarnation: e.Incarnation}
	e.member.Store(&member)
	e.roster.Store(&encoder.Roster{})
	e.node = &messenger.Node{
		Hello: e.hello, Accept: e.accept, OnConnect: e.onSessionOpened, OnMessage: e.onMessage, OnDisconnect: e.onSessionClosed, TLS: e.TLS,
	}
	bound, err := e.node.Listen(ctx, e.Listen)
	if err != nil {
		return trace.Wrap(err, "entry %s cannot listen", e.ID)
	}
	if e.address = e.Advertise; e.address == "" {
		e.address = bound
	}
	s := e.Settings
	s.Member, s.Address, s.Domain, s.WithdrawRecord = member, e.address, e.Domain, e.withdrawRecord
	s.OnTask = e.OnTask
	e.core = New(s)
	e.sessions, e.sessionIDs = map[SessionID]*messenger.Session{}, map[*messenger.Session]SessionID{}
	e.dialCancels = map[string]context.CancelFunc{}
	e.pendingAnswers, e.pendingPublications = map[uint64]chan encoder.Answer{}, map[uint64]chan Publication{}
	e.Logger.Infof("entry: %s incarnation %d listens on %s, advertised as %s", e.ID, e.Incarnation, bound, e.address)
	var tails sync.WaitGroup
	for _, stream := range []string{StreamConfiguration, StreamRoster, StreamClaims} {
		tails.Go(func() { e.followStream(ctx, stream) })
	}
	defer tails.Wait()
	defer cancel()
	e.controlLoop(ctx)
	return nil
}

// controlLoop handles events and ticks on the goroutine that owns the core, until ctx is done.
func (e *Entry) controlLoop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-e.events:
			e.handleEvent(ev)
			for n := 1; n < maxEventBatch; n++ {
				select {
				case ev = <-e.events:
					e.handleEvent(ev)
					continue
				default:
				}
				break
			}
		case <-tick.C:
			e.core.Tick(e.Clock.Now())
		}
		e.performEffects()
	}
}

func (e *Entry) handleEvent(ev event) {
	now := e.Clock.Now()
	switch ev.kind {
	case eventSessionOpened:
		e.lastSession++
		e.sessions[e.lastSession], e.sessionIDs[ev.session] = ev.session, e.lastSession
		e.core.SessionOpened(now, e.lastSession, ev.hello)
	case eventSessionClosed:
		if id, ok := e.sessionIDs[ev.session]; ok {
			delete(e.sessions, id)
			delete(e.sessionIDs, ev.session)
			e.core.SessionClosed(now, id)
		}
	case eventMessage:
		if m, ok := ev.message.(*encoder.PeerConfiguration); ok {
			e.adoptConfiguration(now, m)
		} else if id, ok := e.sessionIDs[ev.session]; ok {
			e.core.HandleMessage(now, id, ev.message)
		}
	case eventSubmit:
		e.pendingAnswers[ev.request] = ev.answer
		e.core.Submit(now, ev.request, ev.job)
	case eventGet:
		e.pendingAnswers[ev.request] = ev.answer
		e.core.Get(now, ev.request, ev.job.Key)
	case eventCancel:
		e.pendingAnswers[ev.request] = ev.answer
		e.core.Cancel(now, ev.request, ev.job.Key)
	case eventAbandon:
		if _, ok := e.pendingAnswers[ev.request]; ok {
			delete(e.pendingAnswers, ev.request)
			e.core.Abandon(now, ev.request, ev.job.Key)
		}
	case eventRecord:
		e.handleRecord(now, ev.stream, ev.record)
	case eventReadDone:
		e.handleRead(now, ev.stream, ev.progress)
	case eventAppendDone:
		e.core.AppendDone(now, ev.tag, ev.offset, ev.err == nil, ev.err != nil && appender.IsOutcomeUnknown(ev.err))
		if ev.err != nil {
			e.Logger.Warnf("entry: append to log stream %s failed: %v", ev.stream, ev.err)
		}
	case eventCall:
		ev.call()
	}
}

// performEffects carries out the effects of the core, including those that result from messages that could not be sent.
func (e *Entry) performEffects() {
	for {
		effects := e.core.TakeEffects()
		if len(effects) == 0 {
			break
		}
		var unsent []Effect
		for i := range effects {
			f := &effects[i]
			if f.Kind == EffectSend {
				if s := e.sessions[f.Session]; s == nil || !s.Send(f.Message) {
					unsent = append(unsent, *f)
				} else {
					e.sentCounts[encoder.TypeOf(f.Message)]++
				}
				continue
			}
			e.performEffect(f)
		}
		clear(effects)
		for i := range unsent {
			e.core.MessageNotSent(e.Clock.Now(), unsent[i].Session, unsent[i].Message)
		}
	}
	for _, p := range e.core.TakePublished() {
		if ch := e.pendingPublications[p.Request]; ch != nil {
			delete(e.pendingPublications, p.Request)
			ch <- p.Publication
		}
	}
	if r := e.core.Roster(); r.Epoch != e.roster.Load().Epoch {
		e.Logger.Infof("entry: roster has epoch %d and %d members", r.Epoch, len(r.Entries))
		e.roster.Store(&r)
	}
	if state := e.core.takeover.state; state != e.loggedTakeover {
		e.loggedTakeover = state
		e.Logger.Infof("entry: takeover is %s%s", state, e.core.takeover.missingSummary())
	}
	if e.drained != nil && !e.core.joined && e.core.Idle() {
		close(e.drained)
		e.drained = nil
	}
}

func (e *Entry) performEffect(f *Effect) {
	switch f.Kind {
	case EffectAnswer:
		if ch := e.pendingAnswers[f.Request]; ch != nil {
			delete(e.pendingAnswers, f.Request)
			ch <- f.Answer
		}
	case EffectAppend:
		stream, tag, body := f.Stream, f.Tag, f.Body
		go func() {
			offset, err := e.Log.Append(e.runCtx, stream, appender.NewID(), body)
			e.post(event{kind: eventAppendDone, stream: stream, tag: tag, offset: offset, err: err})
		}()
	case EffectDial:
		if e.dialCancels[f.Address] == nil {
			ctx, cancel := context.WithCancel(e.runCtx)
			e.dialCancels[f.Address] = cancel
			e.node.Connect(ctx, f.Address)
		}
	case EffectDisconnect:
		if cancel := e.dialCancels[f.Address]; cancel != nil {
			cancel()
			delete(e.dialCancels, f.Address)
		}
	case EffectCloseSession:
		if s := e.sessions[f.Session]; s != nil {
			s.Close()
		}
	case EffectSendConfiguration:
		e.sendConfiguration(e.sessions[f.Session])
	case EffectNewIncarnation:
		member := f.Member
		e.member.Store(&member)
		e.Logger.Warnf("entry: removed from the roster; continues as incarnation %d", member.Incarnation)
	}
}

// post sends an event to the control goroutine. It returns false if the entry has stopped.
func (e *Entry) post(ev event) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.stopped:
		return false
	}
}

func (e *Entry) hello() encoder.Hello {
	return encoder.Hello{Role: encoder.RoleEntry, Member: *e.member.Load(), Address: e.address}
}

// accept acknowledges a session. A sidecar is registered with the core before it receives the acknowledgement, because from
// then on it may accept starts, which a census must be able to find.
func (e *Entry) accept(h *encoder.Hello) (encoder.HelloAck, error) {
	if h.Role == encoder.RoleSidecar {
		known := make(chan struct{})
		m := h.Member
		if !e.post(event{kind: eventCall, call: func() {
			e.core.RegisterSidecar(e.Clock.Now(), m)
			close(known)
		}}) {
			return encoder.HelloAck{}, trace.ConnectionProblem(nil, "entry %s has stopped", e.ID)
		}
		select {
		case <-known:
		case <-e.stopped:
			return encoder.HelloAck{}, trace.ConnectionProblem(nil, "entry %s has stopped", e.ID)
		}
	}
	return encoder.HelloAck{Member: *e.member.Load(), Roster: *e.roster.Load()}, nil
}

func (e *Entry) onSessionOpened(s *messenger.Session) {
	e.post(event{kind: eventSessionOpened, session: s, hello: s.Peer()})
}
func (e *Entry) onSessionClosed(s *messenger.Session, _ error) {
	e.post(event{kind: eventSessionClosed, session: s})
}
func (e *Entry) onMessage(s *messenger.Session, m encoder.Message) {
	e.post(event{kind: eventMessage, session: s, message: m})
}
