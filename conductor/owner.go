package conductor

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/archiver"
	"github.com/crocuslb/crocuslb/catcher"
	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/submitter"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// memberTTL is the time without a sign of life after which the store deals an entry's partitions to others.
	memberTTL = 1500 * timer.Millisecond
	// leaseTime is how long after a successful call an entry holds itself for an owner. The rest of memberTTL covers
	// clocks that differ in speed and the work until the partitions are given up.
	leaseDuration = 1300 * timer.Millisecond
	// joinPeriod is the time between two signs of life. Two may fail within the lease.
	heartbeatPeriod = 400 * time.Millisecond
	// nudgePause is the pause after another entry gave partitions up, until the store has heard of it, too.
	rebalanceDelay = 20 * time.Millisecond
	// joinPause is the pause after a failed sign of life.
	heartbeatRetryDelay = 100 * time.Millisecond
	// leaseCheck is the period in which the end of the lease is noticed.
	leaseCheckPeriod = 50 * time.Millisecond
	// writeShare is the share of the store's write calls that records of kept jobs may use.
	writeCallShare = 0.6
)

// owner owns partitions of the kept jobs as the store deals them, and writes their records. Use start once kept jobs are
// in use.
type partitionOwner struct {
	logger     log.Interface
	store      *platform.Store
	loop       *eventLoop
	core       *submitter.Submitter
	memberName string
	// budget bounds the writes of all partitions of this entry together.
	limiter writeLimiter
	// nudges asks for a sign of life before its time.
	heartbeatDue chan struct{}

	startOnce  sync.Once
	cancel     context.CancelFunc
	done       chan struct{} // closed when run has ended
	generation uint64        // of run
	// again says that the next sign of life begins a new membership, with new epochs.
	rejoin atomic.Bool

	mu       sync.Mutex
	leaseEnd timer.Millis       // end of the lease
	writers  map[uint64]*writer // by partition
}

// start begins to own partitions until ctx ends. Further calls do nothing.
func (o *partitionOwner) start(ctx context.Context) {
	o.startOnce.Do(func() {
		ctx, o.cancel = context.WithCancel(ctx)
		o.done = make(chan struct{})
		o.rejoin.Store(true)
		go o.run(ctx)
	})
}

// leave hands all partitions over to other entries.
func (o *partitionOwner) leave(ctx context.Context) {
	o.startOnce.Do(func() {}) // it must not start from now on
	if o.cancel == nil {
		return
	}
	o.cancel()
	<-o.done
	o.releaseAll(ctx, false, "the entry stops")
	if err := o.store.LeaveGroup(ctx, o.memberName); err != nil {
		o.logger.WithError(err).Warn("owner: the store was not told that this entry leaves")
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
			o.logger.WithError(err).Warn("owner: no answer to the sign of life")
			delay = heartbeatRetryDelay
		case changed:
			delay = 0 // the store waits for this before it deals the partitions to others
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		case <-o.heartbeatDue:
			time.Sleep(rebalanceDelay)
		}
	}
}

// nudge asks for a sign of life soon, because the store may deal partitions to this entry. It never blocks.
func (o *partitionOwner) requestHeartbeat() {
	select {
	case o.heartbeatDue <- struct{}{}:
	default:
	}
}

// join sends a sign of life and acts on the answer. changed says that partitions were given up.
func (o *partitionOwner) heartbeat(ctx context.Context) (changed bool, err error) {
	if o.rejoin.Swap(false) {
		// An earlier life may have been a member under this name. Its epochs must not be used again.
		o.releaseAll(ctx, true, "a new membership begins")
		if err := o.store.LeaveGroup(ctx, o.memberName); err != nil {
			o.rejoin.Store(true)
			return false, err
		}
		o.generation = 0
	}
	sent := o.loop.clock.Now()
	assignment, err := o.store.Join(ctx, o.memberName, int64(memberTTL), o.generation)
	if err != nil {
		return false, err
	}
	if o.leaseExpired() { // before the answer came; the core has given its partitions up
		o.expireLease(ctx)
		return true, nil
	}
	o.mu.Lock()
	o.leaseEnd = sent + leaseDuration
	o.mu.Unlock()
	o.loop.post(ctx, func(now timer.Millis) { o.core.Renew(now, sent+leaseDuration) })
	o.generation = assignment.Generation
	for _, partition := range o.ownedPartitions() {
		if !slices.Contains(assignment.Partitions, partition) {
			o.release(ctx, partition, false, "dealt to another entry")
			changed = true
		}
	}
	for _, partition := range assignment.Partitions {
		o.acquire(ctx, partition, assignment.Generation)
	}
	return changed, nil
}

// watchLease gives all partitions up when the lease ends without a sign of life that the store took.
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

// leaseOver reports whether partitions are owned and the lease has ended.
func (o *partitionOwner) leaseExpired() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.writers) > 0 && o.loop.clock.Now() >= o.leaseEnd
}

// endLease gives all partitions up and begins a new membership.
func (o *partitionOwner) expireLease(ctx context.Context) {
	o.rejoin.Store(true)
	o.releaseAll(ctx, true, "the lease has ended")
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

// release stops the writer of a partition and tells the core.
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
		o.core.Release(now, partition, stop, reason)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// acquire begins to own a partition, unless it is owned already.
func (o *partitionOwner) acquire(ctx context.Context, partition, epoch uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.writers[partition] != nil {
		return
	}
	if o.writers == nil {
		o.writers = map[uint64]*writer{}
	}
	writerCtx, cancel := context.WithCancel(ctx)
	w := &writer{owner: o, partition: partition, epoch: epoch, cancel: cancel, wake: make(chan struct{}, 1)}
	o.writers[partition] = w
	o.limiter.setPartitions(len(o.writers))
	go w.run(writerCtx)
}

// record hands a record to the writer of its partition. It never blocks; the loop calls it.
func (o *partitionOwner) appendRecord(partition, epoch uint64, body []byte, done func(now timer.Millis, offset uint64)) {
	o.mu.Lock()
	w := o.writers[partition]
	o.mu.Unlock()
	if w == nil || w.epoch != epoch {
		return // the core is about to be told that the partition is lost
	}
	w.enqueue(body, done)
}

// lost takes the refusal of a writer's epoch.
func (o *partitionOwner) onFenced(ctx context.Context, w *writer, err error) {
	o.logger.WithError(err).WithFields(log.Fields{"partition": w.partition, "epoch": w.epoch}).Warn("owner: partition is lost")
	o.rejoin.Store(true)
	o.release(ctx, w.partition, true, "the store knows a later owner")
}

// replay reads a partition's records.
func (o *partitionOwner) replay(ctx context.Context, partition uint64) (archiver.Archive, error) {
	var archive archiver.Archive
	for from := uint64(0); ; {
		page, err := o.store.Records(ctx, partition, from)
		if err != nil {
			return archive, trace.Wrap(err)
		}
		for i, body := range page.Bodies {
			var err error
			if panicked := catcher.Catch(func() { err = archive.Add(body) }); panicked != nil {
				err = panicked
			}
			if err != nil {
				o.logger.WithError(err).WithFields(log.Fields{"partition": partition, "offset": page.From + uint64(i)}).Warn("owner: unreadable record is left out")
			}
		}
		if from = page.Next; from >= page.End {
			return archive, nil
		}
	}
}
