package runner

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/acquirer"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/projector"
	"github.com/crocuslb/crocuslb/recoverer"
	"github.com/crocuslb/crocuslb/submitter"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// memberTTL is the time without a heartbeat after which the store assigns an entry's partitions to other entries.
	memberTTL = 1500 * timer.Millisecond
	// leaseDuration is how long after sending a successful heartbeat an entry considers itself the owner of its
	// partitions. The remainder of memberTTL covers clock drift and the time needed to release the partitions.
	leaseDuration = 1300 * timer.Millisecond
	// heartbeatPeriod is the time between two heartbeats. Two of them may fail within a lease.
	heartbeatPeriod = 400 * time.Millisecond
	// rebalanceDelay is the delay before a heartbeat that follows a release by another entry. It lets the store learn of
	// the release first.
	rebalanceDelay = 20 * time.Millisecond
	// heartbeatRetryDelay is the delay after a failed heartbeat.
	heartbeatRetryDelay = 100 * time.Millisecond
	// leaseCheckPeriod is the period at which the lease is checked for expiry.
	leaseCheckPeriod = 50 * time.Millisecond
	// writeCallShare is the share of the store's write calls that records of durable jobs may use.
	writeCallShare = 0.6
)

// partitionOwner owns the partitions of durable jobs that the store assigns to this entry, and writes their records.
// Call start once durable jobs are in use.
type partitionOwner struct {
	logger     log.Interface
	store      *platform.Store
	loop       *eventLoop
	core       *submitter.Submitter
	memberName string
	// limiter bounds the write rate of all partitions of this entry together.
	limiter writeLimiter
	// heartbeatDue triggers a heartbeat before the period has passed.
	heartbeatDue chan struct{}

	startOnce sync.Once
	ctx       context.Context // of run
	cancel    context.CancelFunc
	done      chan struct{} // closed when run returns

	changing   sync.Mutex // held while the changes after one event are carried out
	mu         sync.Mutex // not held while the event loop is waited for
	membership acquirer.Membership
	writers    map[uint64]*writer // by partition
}

// start begins to own partitions until ctx is canceled. Further calls do nothing.
func (o *partitionOwner) start(ctx context.Context) {
	o.startOnce.Do(func() {
		o.ctx, o.cancel = context.WithCancel(ctx)
		o.done = make(chan struct{})
		o.membership.LeaseDuration = leaseDuration
		go o.run(o.ctx)
	})
}

// leave hands all partitions over to other entries and leaves the group.
func (o *partitionOwner) leave(ctx context.Context) {
	o.startOnce.Do(func() {}) // prevents a later start
	if o.cancel == nil {
		return
	}
	o.cancel()
	<-o.done
	o.change(ctx, func(m *acquirer.Membership) acquirer.Changes { return m.Leave("entry is stopping") })
	if err := o.store.LeaveGroup(ctx, o.memberName); err != nil {
		o.logger.WithError(err).Warn("owner: cannot leave the group")
	}
}

func (o *partitionOwner) run(ctx context.Context) {
	defer close(o.done)
	go o.watchLease(ctx)
	for ctx.Err() == nil {
		delay := heartbeatPeriod
		changed, err := o.heartbeat(ctx)
		switch {
		case err != nil:
			o.logger.WithError(err).Warn("owner: heartbeat failed")
			delay = heartbeatRetryDelay
		case changed:
			delay = 0 // the store assigns released partitions only after the next heartbeat
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		case <-o.heartbeatDue:
			time.Sleep(rebalanceDelay)
		}
	}
}

// requestHeartbeat triggers an early heartbeat, because the store may assign partitions to this entry. It never blocks.
func (o *partitionOwner) requestHeartbeat() {
	select {
	case o.heartbeatDue <- struct{}{}:
	default:
	}
}

// heartbeat renews the membership and applies the returned assignment. changed reports whether partitions were
// released.
func (o *partitionOwner) heartbeat(ctx context.Context) (changed bool, err error) {
	if err := o.join(ctx); err != nil {
		return false, err
	}
	sent := o.loop.clock.Now()
	assignment, err := o.store.JoinGroup(ctx, o.memberName, int64(memberTTL), o.generation())
	if err != nil {
		return false, err
	}
	changes := o.change(ctx, func(m *acquirer.Membership) acquirer.Changes {
		return m.OnAssigned(o.loop.clock.Now(), sent, assignment.Generation, assignment.Partitions)
	})
	return len(changes.Release) > 0, nil
}

// join begins a new membership if one is due. A previous run of the process may have been a member under the same name. Its epochs
// must not be reused.
func (o *partitionOwner) join(ctx context.Context) error {
	o.mu.Lock()
	due := o.membership.MustJoin()
	o.mu.Unlock()
	if !due {
		return nil
	}
	o.change(ctx, func(m *acquirer.Membership) acquirer.Changes { return m.End("membership restarted") })
	if err := o.store.LeaveGroup(ctx, o.memberName); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.membership.Join()
	return nil
}

func (o *partitionOwner) generation() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.membership.Generation()
}

// watchLease releases all partitions when the lease expires without a successful heartbeat.
func (o *partitionOwner) watchLease(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(leaseCheckPeriod):
		}
		o.change(ctx, func(m *acquirer.Membership) acquirer.Changes { return m.CheckLease(o.loop.clock.Now()) })
	}
}

// change passes an event to the membership and carries out the changes that follow.
func (o *partitionOwner) change(ctx context.Context, event func(m *acquirer.Membership) acquirer.Changes) acquirer.Changes {
	o.changing.Lock()
	defer o.changing.Unlock()
	o.mu.Lock()
	changes := event(&o.membership)
	o.mu.Unlock()
	for _, r := range changes.Release {
		o.stopWriter(r.Partition)
		o.releaseInCore(ctx, r)
	}
	if changes.LeaseUntil != 0 {
		o.loop.post(ctx, func(now timer.Millis) {
			for _, p := range changes.Prove {
				o.core.LimitOwnership(now, p.Partition, p.Until)
			}
			o.core.RenewLease(now, changes.LeaseUntil)
			o.core.OnHeartbeat(now, changes.ConfirmedAt)
		})
	}
	for _, p := range changes.Prove {
		o.requestProof(p)
	}
	for _, a := range changes.Acquire {
		o.startWriter(ctx, a)
	}
	return changes
}

// releaseInCore releases a partition in the core and waits until that has been done.
func (o *partitionOwner) releaseInCore(ctx context.Context, r acquirer.Release) {
	done := make(chan struct{})
	o.loop.post(ctx, func(now timer.Millis) {
		defer close(done)
		o.core.ReleasePartition(now, r.Partition, r.Stop, r.Reason)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (o *partitionOwner) requestProof(p acquirer.Proof) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.writers[p.Partition]; w != nil {
		w.requestProof(p.Generation)
	}
}

// startWriter starts the writer of a partition, which acquires it.
func (o *partitionOwner) startWriter(ctx context.Context, a acquirer.Acquisition) {
	ctx, cancel := context.WithCancel(ctx)
	w := &writer{owner: o, partition: a.Partition, epoch: a.Epoch, cancel: cancel, wake: make(chan struct{}, 1)}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.writers == nil {
		o.writers = map[uint64]*writer{}
	}
	o.writers[a.Partition] = w
	o.limiter.setPartitions(len(o.writers))
	go w.run(ctx)
}

func (o *partitionOwner) stopWriter(partition uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.writers[partition]; w != nil {
		w.cancel()
	}
	delete(o.writers, partition)
	o.limiter.setPartitions(len(o.writers))
}

// appendRecord queues a record with the writer of its partition. It never blocks and is called by the event loop.
func (o *partitionOwner) appendRecord(partition, epoch uint64, body []byte, done func(now timer.Millis, offset uint64)) {
	o.mu.Lock()
	w := o.writers[partition]
	o.mu.Unlock()
	if w != nil {
		w.enqueue(epoch, body, done)
	}
}

// onOwnershipExpired handles the release of a partition by the core, whose lease has expired. It never blocks and is called by the
// event loop.
func (o *partitionOwner) onOwnershipExpired(partition uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.membership.OnExpired(partition)
}

// onProven decides whether a partition is still owned after the proof of a writer was answered.
func (o *partitionOwner) onProven(ctx context.Context, w *writer, generation uint64, unbroken bool) acquirer.Verdict {
	o.mu.Lock()
	verdict := acquirer.Outdated
	if o.writers[w.partition] == w {
		verdict = o.membership.OnProven(o.loop.clock.Now(), w.partition, generation, unbroken)
	}
	limited := o.membership.Limit(w.partition) != 0
	o.mu.Unlock()
	if verdict == acquirer.Kept && !limited {
		o.loop.post(ctx, func(now timer.Millis) { o.core.ConfirmOwnership(now, w.partition) })
	}
	return verdict
}

// passToCore passes an acquired partition to the core.
func (o *partitionOwner) passToCore(ctx context.Context, partition marshaler.Partition, jobs []*marshaler.JobRecord) {
	o.loop.post(ctx, func(now timer.Millis) {
		if ctx.Err() != nil {
			return
		}
		o.mu.Lock()
		limit := o.membership.Limit(partition.Number)
		o.mu.Unlock()
		o.core.AcquirePartition(now, partition, jobs)
		if limit != 0 {
			o.core.LimitOwnership(now, partition.Number, limit)
		}
	})
}

// onFenced handles the store's rejection of a writer's epoch. The writer's own context ends with it.
func (o *partitionOwner) onFenced(w *writer, err error) {
	o.logger.WithError(err).WithField("partition", w.partition).Warn("owner: epoch rejected by the store; releasing the partition")
	o.change(o.ctx, func(m *acquirer.Membership) acquirer.Changes {
		if o.writers[w.partition] != w {
			return acquirer.Changes{}
		}
		return m.OnFenced(w.partition)
	})
}

// replay reads all records of a partition. Records that cannot be decoded are logged and skipped.
func (o *partitionOwner) replay(ctx context.Context, partition uint64) (projector.Projection, error) {
	var archive projector.Projection
	for from := uint64(0); ; {
		page, err := o.store.ReadPartition(ctx, partition, from)
		if err != nil {
			return archive, trace.Wrap(err)
		}
		for i, body := range page.Bodies {
			var err error
			if panicked := recoverer.Call(func() { err = archive.Apply(body) }); panicked != nil {
				err = panicked
			}
			if err != nil {
				o.logger.WithError(err).WithFields(log.Fields{"partition": partition, "offset": page.From + uint64(i)}).Warn("owner: skipped a record that cannot be decoded")
			}
		}
		if from = page.Next; from >= page.End {
			return archive, nil
		}
	}
}
