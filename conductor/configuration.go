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
const maxWaiters = 2000

// configuration keeps the configuration in force. It comes from the store or from another process, whichever is later.
// Its methods are called by the loop, except current and follow.
type configuration struct {
	logger log.Interface
	// changed is called with each later configuration.
	onChange func(now timer.Millis, s router.Snapshot)

	processName string // of this process
	relay       router.Relay
	stored      router.Snapshot // from the store alone
	active      router.Snapshot
	published   atomic.Pointer[router.Snapshot]
	available   chan struct{} // closed when there is a configuration
	waiters     atomic.Int64  // callers
}

// await returns the configuration in force, and how long it waited for the first one: at most until limit has passed or
// gone is closed. Right after a start it is there within milliseconds if the store answers.
func (c *configuration) await(clock timer.Clock, maxWait timer.Millis, canceled <-chan struct{}) (s *router.Snapshot, waited timer.Millis) {
	if s = c.current(); s.Version > 0 || c.waiters.Load() >= maxWaiters {
		return s, 0
	}
	c.waiters.Add(1)
	defer c.waiters.Add(-1)
	started := clock.Now()
	timeout := time.NewTimer(maxWait.Duration())
	defer timeout.Stop()
	select {
	case <-c.available:
	case <-timeout.C:
	case <-canceled:
	}
	return c.current(), clock.Now() - started
}

// current returns the configuration in force. It may be called by any goroutine.
func (c *configuration) current() *router.Snapshot {
	if s := c.published.Load(); s != nil {
		return s
	}
	return &router.Snapshot{}
}

// fold applies records of the store.
func (c *configuration) applyRecords(now timer.Millis, p follower.Page, complete bool) {
	next, err := platform.Fold(c.stored, p, complete)
	if err != nil {
		c.logger.WithError(err).Warn("config: unreadable records are left out")
	}
	c.stored = next
	c.activate(now, next, "store")
}

// receive takes the encoding of a configuration from another process.
func (c *configuration) receive(now timer.Millis, body []byte, from string) {
	s, err := router.Decode(body)
	if err != nil {
		c.logger.WithError(err).WithField("from", from).Warn("config: unreadable configuration of another process")
		return
	}
	c.activate(now, s, from)
}

// passOn sends the configuration to a process that has had an older one for a while, for example because it started while
// the store was away.
func (c *configuration) sendIfOutdated(now timer.Millis, link *marshaler.Link, offset uint64) {
	if offset < c.active.Offset && c.relay.Due(now, c.processName, link.Remote.Name, offset == 0) {
		link.Send(&marshaler.Configuration{Body: c.active.Append(nil)})
	}
}

// adopt puts a later configuration into force.
func (c *configuration) activate(now timer.Millis, s router.Snapshot, source string) {
	if s.Offset <= c.active.Offset || s.Version < c.active.Version {
		return
	}
	change := s.Since(&c.active)
	c.logger.WithFields(log.Fields{
		"version": s.Version, "offset": s.Offset, "source": source, "added": len(change.Added), "changed": change.Changed,
		"withdrawn": change.Withdrawn, "domainsOut": s.WithdrawnDomains(),
	}).Info("config: in force")
	first := c.available != nil && c.active.Version == 0 && s.Version > 0
	c.active = s
	c.relay.Changed(now)
	c.published.Store(&s)
	if first {
		close(c.available)
	}
	c.onChange(now, s)
}

// follow reads the operator's topic of the store until ctx ends.
func (c *configuration) follow(ctx context.Context, l *eventLoop, store *platform.Store) {
	f := &follower.Follower{
		Newest: func(ctx context.Context) (follower.Page, error) { return store.Newest(ctx, platform.TopicOperator) },
		Read: func(ctx context.Context, from uint64) (follower.Page, error) {
			return store.Read(ctx, platform.TopicOperator, from)
		},
		Apply: func(p follower.Page, complete bool) {
			l.post(ctx, func(now timer.Millis) { c.applyRecords(now, p, complete) })
		},
		Lost:     func(err error) { c.logger.WithError(err).Warn("store: lost") },
		Regained: func() { c.logger.Info("store: regained") },
	}
	f.Run(ctx)
}
