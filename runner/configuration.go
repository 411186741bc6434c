package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/consumer"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

// maxWaiters bounds the number of callers that wait for the first configuration.
const maxWaiters = 2000

// configuration holds the active configuration, which is the latest one received from the store or from another
// process. Its methods are called by the event loop, except await, current and follow.
type configuration struct {
	logger log.Interface
	// onChange is called with each new active configuration.
	onChange func(now timer.Millis, s router.Snapshot)

	processName string
	relay       router.Relay
	stored      router.Snapshot // latest one from the store
	active      router.Snapshot
	published   atomic.Pointer[router.Snapshot]
	available   chan struct{} // closed once there is a configuration
	waiters     atomic.Int64  // callers in await
}

// await returns the active configuration. If there is none yet, it waits for the first one until maxWait has passed or
// canceled is closed, and also returns the time waited. After a start the first configuration arrives within
// milliseconds if the store responds.
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

// current returns the active configuration. It may be called concurrently.
func (c *configuration) current() *router.Snapshot {
	if s := c.published.Load(); s != nil {
		return s
	}
	return &router.Snapshot{}
}

// applyRecords applies records read from the store.
func (c *configuration) applyRecords(now timer.Millis, p consumer.Page, complete bool) {
	next, err := platform.ApplyOperatorRecords(c.stored, p, complete)
	if err != nil {
		c.logger.WithError(err).Warn("config: skipped records that cannot be decoded")
	}
	c.stored = next
	c.activate(now, next, "store")
}

// receive decodes a configuration sent by another process and activates it if it is newer.
func (c *configuration) receive(now timer.Millis, body []byte, from string) {
	s, err := router.Decode(body)
	if err != nil {
		c.logger.WithError(err).WithField("from", from).Warn("config: cannot decode a configuration sent by another process")
		return
	}
	c.activate(now, s, from)
}

// sendIfOutdated sends the configuration to a process that has lagged behind for a while, for example because it
// started while the store was unavailable.
func (c *configuration) sendIfOutdated(now timer.Millis, link *marshaler.Link, offset uint64) {
	if offset < c.active.Offset && c.relay.ShouldSend(now, c.processName, link.Remote.Name, offset == 0) {
		link.Send(&marshaler.Configuration{Body: c.active.Append(nil)})
	}
}

// activate makes s the active configuration if it is newer.
func (c *configuration) activate(now timer.Millis, s router.Snapshot, source string) {
	if s.Offset <= c.active.Offset || s.Version < c.active.Version {
		return
	}
	change := s.ChangesSince(&c.active)
	c.logger.WithFields(log.Fields{
		"version": s.Version, "offset": s.Offset, "source": source, "added": len(change.Added), "changed": change.Changed,
		"withdrawn": change.Withdrawn, "domainsOut": s.WithdrawnDomains(),
	}).Info("config: in force")
	first := c.available != nil && c.active.Version == 0 && s.Version > 0
	c.active = s
	c.relay.OnConfigurationChanged(now)
	c.published.Store(&s)
	if first {
		close(c.available)
	}
	c.onChange(now, s)
}

// follow reads the operator's topic in the store until ctx is canceled.
func (c *configuration) follow(ctx context.Context, l *eventLoop, store *platform.Store) {
	store.OnSkipped = func(err error) { c.logger.WithError(err).Warn("config: skipped a record") }
	f := &consumer.Consumer{
		Newest: func(ctx context.Context) (consumer.Page, error) { return store.ReadLatest(ctx, platform.TopicOperator) },
		Read: func(ctx context.Context, from uint64) (consumer.Page, error) {
			return store.Read(ctx, platform.TopicOperator, from)
		},
		Apply: func(p consumer.Page, complete bool) {
			l.post(ctx, func(now timer.Millis) { c.applyRecords(now, p, complete) })
		},
		OnUnavailable: func(err error) { c.logger.WithError(err).Warn("store: lost") },
		OnAvailable:   func() { c.logger.Info("store: regained") },
		OnPanic:       func(err error) { c.logger.WithError(err).Error("config: panic while handling records") },
	}
	f.Run(ctx)
}
