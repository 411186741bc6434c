package runner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

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

	startOnce  sync.Once
	cancel     context.CancelFunc
	done       chan struct{} // closed when run returns
	generation uint64        // last one that the store assigned; owned by run
	// rejoin makes the next heartbeat start a new membership, with new epochs.
	rejoin atomic.Bool

	mu       sync.Mutex
	leaseEnd timer.Millis
	writers  map[uint64]*writer // by partition
	epochs   map[uint64]uint64  // latest epoch under which this process owned a partition, by partition
}

// start begins to own partitions until ctx is canceled. Further calls do nothing.
func (o *partitionOwner) start(ctx context.Context) {
	o.startOnce.Do(func() {
		ctx, o.cancel = context.WithCancel(ctx)
		o.done = make(chan struct{})
		o.rejoin.Store(true)
		go o.run(ctx)
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
	o.releaseAll(ctx, false, "entry is stopping")
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
	if o.rejoin.Swap(false) {
		// A previous run of the process may have been a member under the same name. Its epochs must not be reused.
		o.releaseAll(ctx, true, "membership restarted")
		if err := o.store.LeaveGroup(ctx, o.memberName); err != nil {
			o.rejoin.Store(true)
			return false, err
		}
		o.generation = 0
	}
	sent := o.loop.clock.Now()
	assignment, err := o.store.JoinGroup(ctx, o.memberName, int64(memberTTL), o.generation)
	if err != nil {
		return false, err
	}
	if o.leaseExpired() { // expired before the response arrived; the core has released its partitions
		o.expireLease(ctx)
		return true, nil
	}
	o.mu.Lock()
	o.leaseEnd = sent + leaseDuration
	o.mu.Unlock()
	o.loop.post(ctx, func(now timer.Millis) { o.core.RenewLease(now, sent+leaseDuration) })
	o.generation = assignment.Generation
	for _, partition := range o.ownedPartitions() {
		if !slices.Contains(assignment.Partitions, partition) {
			o.release(ctx, partition, false, "assigned to another entry")
			changed = true
		}
	}
	for _, partition := range assignment.Partitions {
		if !o.acquire(ctx, partition, assignment.Generation) {
			o.expireLease(ctx)
			return true, nil
		}
	}
	return changed, nil
}

// watchLease releases all partitions when the lease expires without a successful heartbeat.
func (o *partitionOwner) watchLease(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(leaseCheckPeriod):
		}
		if o.leaseExpired() {
			o.expireLease(ctx)
		}
	}
}

// leaseExpired reports whether partitions are owned and the lease has expired.
func (o *partitionOwner) leaseExpired() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.writers) > 0 && o.loop.clock.Now() >= o.leaseEnd
}

// expireLease releases all partitions. The next heartbeat starts a new membership.
func (o *partitionOwner) expireLease(ctx context.Context) {
	o.rejoin.Store(true)
	o.releaseAll(ctx, true, "lease expired")
}

func (o *partitionOwner) ownedPartitions() []uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	var partitions []uint64
	for partition := range o.writers {
		partitions = append(partitions, partition)
	}
	slices.Sort(partitions)
	return partitions
}

func (o *partitionOwner) releaseAll(ctx context.Context, stop bool, reason string) {
	for _, partition := range o.ownedPartitions() {
		o.release(ctx, partition, stop, reason)
	}
}

// release stops the writer of a partition and releases the partition in the core.
func (o *partitionOwner) release(ctx context.Context, partition uint64, stop bool, reason string) {
	o.mu.Lock()
	w := o.writers[partition]
	delete(o.writers, partition)
	o.limiter.setPartitions(len(o.writers))
	o.mu.Unlock()
	if w == nil {
		return
	}
	w.cancel()
	done := make(chan struct{})
	o.loop.post(ctx, func(now timer.Millis) {
		o.core.ReleasePartition(now, partition, stop, reason)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// acquire starts the writer of a partition, unless the partition is owned already. It returns false if this process has owned
// the partition under the epoch before: the lease expired while a heartbeat was under way, and the membership outlived it.
// Handovers, the runs of sidecars and the sequence of writes are tied to the epoch, so a new membership is required.
func (o *partitionOwner) acquire(ctx context.Context, partition, epoch uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.writers[partition] != nil {
		return true
	}
	if o.epochs[partition] == epoch {
		return false
	}
	if o.epochs == nil {
		o.epochs = map[uint64]uint64{}
	}
	o.epochs[partition] = epoch
	if o.writers == nil {
		o.writers = map[uint64]*writer{}
	}
	writerCtx, cancel := context.WithCancel(ctx)
	w := &writer{owner: o, partition: partition, epoch: epoch, cancel: cancel, wake: make(chan struct{}, 1)}
	o.writers[partition] = w
	o.limiter.setPartitions(len(o.writers))
	go w.run(writerCtx)
	return true
}

// appendRecord queues a record with the writer of its partition. It never blocks and is called by the event loop.
func (o *partitionOwner) appendRecord(partition, epoch uint64, body []byte, done func(now timer.Millis, offset uint64)) {
	o.mu.Lock()
	w := o.writers[partition]
	o.mu.Unlock()
	if w == nil || w.epoch != epoch {
		return // the release of the partition is on its way to the core
	}
	w.enqueue(body, done)
}

// onFenced handles the store's rejection of a writer's epoch.
func (o *partitionOwner) onFenced(ctx context.Context, w *writer, err error) {
	o.logger.WithError(err).WithFields(log.Fields{"partition": w.partition, "epoch": w.epoch}).Warn("owner: epoch rejected by the store; releasing the partition")
	o.rejoin.Store(true)
	o.release(ctx, w.partition, true, "fenced by a later owner")
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
