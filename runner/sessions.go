package runner

import (
	"context"
	"sync"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/connector"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/recoverer"
	"github.com/crocuslb/crocuslb/timer"
)

// sessionHandler passes session events of a process to its core on the event loop.
type sessionHandler struct {
	loop      *eventLoop
	config    *configuration
	directory *entryDirectory
	// onUp, onDown and onMessage are called on the event loop.
	onUp      func(now timer.Millis, link *marshaler.Link)
	onDown    func(now timer.Millis, link *marshaler.Link, cause error)
	onMessage func(now timer.Millis, link *marshaler.Link, m marshaler.Message)
	// onPanic is called after a panic while handling a message, with the name of its sender.
	onPanic func(from string, err error)

	links sync.Map // *connector.Session to *marshaler.Link
}

// attach sets the callbacks of a node. They stop posting events once ctx is canceled.
func (s *sessionHandler) attach(ctx context.Context, n *connector.Node) {
	n.OnConnect = func(c *connector.Session) {
		link := &marshaler.Link{Remote: c.Remote, Send: c.Send, Close: c.Close}
		s.links.Store(c, link)
		s.loop.post(ctx, func(now timer.Millis) { s.onUp(now, link) })
		s.exchangePeers(ctx, c)
	}
	n.OnMessage = func(c *connector.Session, batch []marshaler.Message) {
		v, _ := s.links.Load(c)
		link, _ := v.(*marshaler.Link)
		received := s.loop.clock.Now()
		s.loop.post(ctx, func(now timer.Millis) {
			for _, m := range batch {
				marshaler.AddWait(m, max(now-received, 0))
				err := recoverer.Call(func() { s.dispatch(ctx, now, link, m) })
				if err == nil {
					continue
				}
				// Close the session, because both ends reconcile their state when the next one opens.
				s.onPanic(c.Remote.Name, err)
				c.Close(trace.BadParameter("panic while handling %T", m))
				return
			}
		})
	}
	n.OnPanic = func(c *connector.Session, err error) { s.onPanic(c.Remote.Name, err) }
	n.OnDisconnect = func(c *connector.Session, cause error) {
		v, _ := s.links.LoadAndDelete(c)
		link, _ := v.(*marshaler.Link)
		s.loop.post(ctx, func(now timer.Millis) { s.onDown(now, link, cause) })
	}
}

// exchangePeers sends the known entries to the remote end of a new session. If the remote end is a new entry, it sends
// them on all sessions. Processes that start while the store is unavailable discover each other this way, starting from
// the seeds.
func (s *sessionHandler) exchangePeers(ctx context.Context, c *connector.Session) {
	remote := c.Remote
	if remote.Role == marshaler.RoleEntry && s.directory.addPeers(ctx, []marshaler.Peer{{Name: remote.Name, Address: remote.Address, Incarnation: remote.Incarnation}}) {
		s.broadcast(&marshaler.Peers{Peers: s.directory.peers()})
		return
	}
	c.Send(&marshaler.Peers{Peers: s.directory.peers()})
}

// dispatch handles peer and configuration messages, and passes all others to the core.
func (s *sessionHandler) dispatch(ctx context.Context, now timer.Millis, link *marshaler.Link, m marshaler.Message) {
	switch m := m.(type) {
	case *marshaler.Peers:
		s.directory.addPeers(ctx, m.Peers)
	case *marshaler.Configuration:
		s.config.receive(now, m.Body, link.Remote.Name)
	default:
		s.onMessage(now, link, m)
	}
}

func (s *sessionHandler) broadcast(m marshaler.Message) {
	s.links.Range(func(c, _ any) bool {
		if session, ok := c.(*connector.Session); ok {
			session.Send(m)
		}
		return true
	})
}
