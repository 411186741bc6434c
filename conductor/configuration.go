package conductor

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/follower"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

// maxWaiting bounds the callers that wait for the first configuration.
const maxWaiting = 2000

// configuration keeps the configuration in force. It comes from the store or from another process, whichever is later.
// Its methods are called by the loop, except current and follow.
type configuration struct {
	logger log.Interface
	// changed is called with each later configuration.
	changed func(now timer.Millis, s router.Snapshot)

	name    string // of this process
	relay   router.Relay
	folded  router.Snapshot // from the store alone
	inForce router.Snapshot
	shared  atomic.Pointer[router.Snapshot]
	known   chan struct{} // closed when there is a configuration
	waiting atomic.Int64  // callers
}

// await returns the configuration in force, and how long it waited for the first one: at most until limit has passed or
// gone is closed. Right after a start it is there within milliseconds if the store answers.
func (c *configuration) await(clock timer.Clock, limit timer.Millis, gone <-chan struct{}) (s *router.Snapshot, waited timer.Millis) {
	if s = c.current(); s.Version > 0 || c.waiting.Load() >= maxWaiting {
		return s, 0
	}
	c.waiting.Add(1)
	defer c.waiting.Add(-1)
	began := clock.Now()
	enough := time.NewTimer(limit.Duration())
	defer enough.Stop()
	select {
	case <-c.known:
	case <-enough.C:
	case <-gone:
	}
	return c.current(), clock.Now() - began
}

// current returns the configuration in force. It may be called by any goroutine.
func (c *configuration) current() *router.Snapshot {
	if s := c.shared.Load(); s != nil {
		return s
	}
	return &router.Snapshot{}
}

// fold applies records of the store.
func (c *configuration) fold(now timer.Millis, p follower.Page, whole bool) {
	next, err := platform.Fold(c.folded, p, whole)
	if err != nil {
		c.logger.WithError(err).Warn("config: unreadable records are left out")
	}
	c.folded = next
	c.adopt(now, next, "store")
}

// receive takes the encoding of a configuration from another process.
func (c *configuration) receive(now timer.Millis, body []byte, from string) {
	s, err := router.Decode(body)
	if err != nil {
		c.logger.WithError(err).WithField("from", from).Warn("config: unreadable configuration of another process")
		return
	}
	c.adopt(now, s, from)
}

// passOn sends the configuration to a process that has had an older one for a while, for example because it started while
// the store was away.
func (c *configuration) passOn(now timer.Millis, link *marshaler.Link, offset uint64) {
	if offset < c.inForce.Offset && c.relay.Due(now, c.name, link.Remote.Name, offset == 0) {
		link.Send(&marshaler.Configuration{Body: c.inForce.Append(nil)})
	}
}

// adopt puts a later configuration into force.
func (c *configuration) adopt(now timer.Millis, s router.Snapshot, source string) {
	if s.Offset <= c.inForce.Offset || s.Version < c.inForce.Version {
		return
	}
	change := s.Since(&c.inForce)
	c.logger.WithFields(log.Fields{
		"version": s.Version, "offset": s.Offset, "source": source, "added": len(change.Added), "changed": change.Changed,
		"withdrawn": change.Withdrawn, "domainsOut": s.WithdrawnDomains(),
	}).Info("config: in force")
	first := c.known != nil && c.inForce.Version == 0 && s.Version > 0
	c.inForce = s
	c.relay.Changed(now)
	c.shared.Store(&s)
	if first {
		close(c.known)
	}
	c.changed(now, s)
}

// follow reads the operator's topic of the store until ctx ends.
func (c *configuration) follow(ctx context.Context, l *loop, store *platform.Store) {
	f := &follower.Follower{
		Newest: func(ctx context.Context) (follower.Page, error) { return store.Newest(ctx, platform.TopicOperator) },
		Read: func(ctx context.Context, from uint64) (follower.Page, error) {
			return store.Read(ctx, platform.TopicOperator, from)
		},
		Apply: func(p follower.Page, whole bool) {
			l.do(ctx, func(now timer.Millis) { c.fold(now, p, whole) })
		},
		Lost:     func(err error) { c.logger.WithError(err).Warn("store: lost") },
		Regained: func() { c.logger.Info("store: regained") },
	}
	f.Run(ctx)
}
