package conductor

import (
	"context"
	"sync"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/carrier"
	"github.com/crocuslb/crocuslb/catcher"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// sessions passes what happens on a process's connections to its core, through the loop.
type sessions struct {
	loop      *eventLoop
	config    *configuration
	directory *entryDirectory
	// up, down and message are the core's functions; the loop calls them.
	onUp      func(now timer.Millis, link *marshaler.Link)
	onDown    func(now timer.Millis, link *marshaler.Link, cause error)
	onMessage func(now timer.Millis, link *marshaler.Link, m marshaler.Message)
	// panicked is told of a panic in the handling of a message, with the name of its sender.
	onPanic func(from string, err error)

	links sync.Map // *carrier.Session to *marshaler.Link
}

// attach sets the functions of a node, which serves until ctx ends.
func (s *sessions) attach(ctx context.Context, n *carrier.Node) {
	n.OnUp = func(c *carrier.Session) {
		link := &marshaler.Link{Remote: c.Remote, Send: c.Send, Close: c.Close}
		s.links.Store(c, link)
		s.loop.post(ctx, func(now timer.Millis) { s.onUp(now, link) })
		s.exchangePeers(ctx, c)
	}
	n.OnMessage = func(c *carrier.Session, batch []marshaler.Message) {
		v, _ := s.links.Load(c)
		link, _ := v.(*marshaler.Link)
		s.loop.post(ctx, func(now timer.Millis) {
			for _, m := range batch {
				err := catcher.Catch(func() { s.dispatch(ctx, now, link, m) })
				if err == nil {
					continue
				}
				// Both ends compare what they know when the next session opens.
				s.onPanic(c.Remote.Name, err)
				c.Close(trace.BadParameter("the handling of %T panicked", m))
				return
			}
		})
	}
	n.OnPanic = func(c *carrier.Session, err error) { s.onPanic(c.Remote.Name, err) }
	n.OnDown = func(c *carrier.Session, cause error) {
		v, _ := s.links.LoadAndDelete(c)
		link, _ := v.(*marshaler.Link)
		s.loop.post(ctx, func(now timer.Millis) { s.onDown(now, link, cause) })
	}
}

// introduce tells a new session's other end which entries this process knows, and tells all others of an entry that was
// not known. Processes that start while the store is away find each other in this way, through the seeds.
func (s *sessions) exchangePeers(ctx context.Context, c *carrier.Session) {
	remote := c.Remote
	if remote.Role == marshaler.RoleEntry && s.directory.addPeers(ctx, []marshaler.Peer{{Name: remote.Name, Address: remote.Address, Incarnation: remote.Incarnation}}) {
		s.broadcast(&marshaler.Peers{Peers: s.directory.peers()})
		return
	}
	c.Send(&marshaler.Peers{Peers: s.directory.peers()})
}

// deliver handles the messages that concern the process, and passes on the others.
func (s *sessions) dispatch(ctx context.Context, now timer.Millis, link *marshaler.Link, m marshaler.Message) {
	switch m := m.(type) {
	case *marshaler.Peers:
		s.directory.addPeers(ctx, m.Peers)
	case *marshaler.Configuration:
		s.config.receive(now, m.Body, link.Remote.Name)
	default:
		s.onMessage(now, link, m)
	}
}

// sendAll sends a message on all sessions.
func (s *sessions) broadcast(m marshaler.Message) {
	s.links.Range(func(c, _ any) bool {
		if session, ok := c.(*carrier.Session); ok {
			session.Send(m)
		}
		return true
	})
}
