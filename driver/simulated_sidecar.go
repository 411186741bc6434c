package driver

import (
	"context"
	"crypto/tls"
	"strconv"
	"sync"
	"time"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/messenger"
	"github.com/crocuslb/crocuslb/starter"
	"github.com/crocuslb/crocuslb/timer"
)

const tickInterval = 50 * time.Millisecond

type (
	// SimulatedSidecar is a sidecar without a backend server. It uses the production core and sessions, but each task
	// ends RunTime after the core starts it, with its payload as the result. Set the exported fields before Connect.
	SimulatedSidecar struct {
		ID      string
		Slots   uint32
		RunTime timer.Millis // 0 ends tasks immediately
		TLS     *tls.Config
		Clock   timer.Clock

		node messenger.Node

		mu            sync.Mutex // held while calling the core and applying its effects
		core          starter.Core
		sessions      map[uint64]*messenger.Session
		sessionIDs    map[*messenger.Session]uint64
		lastSessionID uint64
	}
)

// Connect opens sessions to the entries and keeps them open until ctx is done.
func (s *SimulatedSidecar) Connect(ctx context.Context, entries []string) {
	s.sessions, s.sessionIDs = map[uint64]*messenger.Session{}, map[*messenger.Session]uint64{}
	s.core.ID, s.core.Slots = s.ID, s.Slots
	incarnation := uint64(time.Now().UnixMicro())
	s.node = messenger.Node{TLS: s.TLS, OnConnect: s.sessionOpened, OnDisconnect: s.sessionClosed, OnMessage: s.messageReceived, Hello: func() encoder.Hello {
		return encoder.Hello{
			Role: encoder.RoleSidecar, Member: encoder.Member{ID: s.ID, Incarnation: incarnation}, Slots: s.Slots,
			Domain: "domain-0", Worker: "worker-" + s.ID,
		}
	}}
	for _, address := range entries {
		s.node.Connect(ctx, address)
	}
	go s.tick(ctx)
}

func (s *SimulatedSidecar) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.mu.Lock()
		s.applyEffects(s.core.Tick(s.Clock.Now()))
		s.mu.Unlock()
	}
}

func (s *SimulatedSidecar) sessionOpened(session *messenger.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSessionID++
	s.sessions[s.lastSessionID], s.sessionIDs[session] = session, s.lastSessionID
	ack := session.Ack()
	s.applyEffects(s.core.Connected(s.Clock.Now(), s.lastSessionID, &ack))
}

func (s *SimulatedSidecar) sessionClosed(session *messenger.Session, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.sessionIDs[session]
	delete(s.sessions, id)
	delete(s.sessionIDs, session)
	s.applyEffects(s.core.Disconnected(s.Clock.Now(), id))
}

func (s *SimulatedSidecar) messageReceived(session *messenger.Session, m encoder.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, ok := s.sessionIDs[session]; ok {
		s.applyEffects(s.core.Receive(s.Clock.Now(), id, m))
	}
}

// applyEffects applies the effects of the core. It collects the runs first, because finishing a task makes the core reuse
// the slice of effects.
func (s *SimulatedSidecar) applyEffects(effects []starter.Effect) {
	var runs []starter.Run
	for _, e := range effects {
		session := s.sessions[e.Session]
		switch {
		case e.Kind == starter.EffectRun:
			runs = append(runs, e.Run)
		case session == nil:
		case e.Kind == starter.EffectReset || e.Kind == starter.EffectSend && !session.Send(e.Message):
			session.Close()
		}
	}
	for _, run := range runs {
		if s.RunTime > 0 {
			time.AfterFunc(s.RunTime.Duration(), func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.finishTask(run)
			})
			continue
		}
		s.finishTask(run)
	}
}

func (s *SimulatedSidecar) finishTask(r starter.Run) {
	s.applyEffects(s.core.RunEnded(s.Clock.Now(), r.Task, starter.Outcome{Status: encoder.StatusDone, Body: r.Payload}))
}

func simulatedSidecarID(i int) string { return "stand-in-" + strconv.Itoa(i) }
