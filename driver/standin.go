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

const standInTick = 50 * time.Millisecond

type (
	// StandIn is a sidecar without a backend server: the real core and real sessions, but each task ends RunTime
	// after the start gate opens, with its payload as the result. Set the exported fields before Connect.
	StandIn struct {
		ID      string
		Slots   uint32
		RunTime timer.Millis // 0 means that tasks end at once
		TLS     *tls.Config
		Clock   timer.Clock

		node messenger.Node

		mu       sync.Mutex // held while the core is called and its effects are performed
		core     starter.Core
		sessions map[uint64]*messenger.Session
		numbers  map[*messenger.Session]uint64
		last     uint64
	}
)

// Connect opens lasting sessions to the entries. They end with ctx.
func (s *StandIn) Connect(ctx context.Context, entries []string) {
	s.sessions, s.numbers = map[uint64]*messenger.Session{}, map[*messenger.Session]uint64{}
	s.core.ID, s.core.Slots = s.ID, s.Slots
	incarnation := uint64(time.Now().UnixMicro())
	s.node = messenger.Node{TLS: s.TLS, OnUp: s.up, OnDown: s.down, OnMessage: s.message, Hello: func() encoder.Hello {
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

func (s *StandIn) tick(ctx context.Context) {
	t := time.NewTicker(standInTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.mu.Lock()
		s.perform(s.core.Tick(s.Clock.Now()))
		s.mu.Unlock()
	}
}

func (s *StandIn) up(n *messenger.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.sessions[s.last], s.numbers[n] = n, s.last
	ack := n.Ack()
	s.perform(s.core.Connected(s.Clock.Now(), s.last, &ack))
}

func (s *StandIn) down(n *messenger.Session, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.numbers[n]
	delete(s.sessions, id)
	delete(s.numbers, n)
	s.perform(s.core.Disconnected(s.Clock.Now(), id))
}

func (s *StandIn) message(n *messenger.Session, m encoder.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, ok := s.numbers[n]; ok {
		s.perform(s.core.Receive(s.Clock.Now(), id, m))
	}
}

// perform carries out effects. The end of a task produces further ones, after which the slice is no longer valid.
func (s *StandIn) perform(effects []starter.Effect) {
	var runs []starter.Run
	for _, e := range effects {
		n := s.sessions[e.Session]
		switch {
		case e.Kind == starter.EffectRun:
			runs = append(runs, e.Run)
		case n == nil:
		case e.Kind == starter.EffectReset || e.Kind == starter.EffectSend && !n.Send(e.Message):
			n.Close()
		}
	}
	for _, r := range runs {
		if s.RunTime > 0 {
			time.AfterFunc(s.RunTime.Duration(), func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.end(r)
			})
			continue
		}
		s.end(r)
	}
}

func (s *StandIn) end(r starter.Run) {
	s.perform(s.core.Ended(s.Clock.Now(), r.Task, starter.Outcome{Status: encoder.StatusDone, Body: r.Payload}))
}

func standInName(i int) string { return "stand-in-" + strconv.Itoa(i) }
