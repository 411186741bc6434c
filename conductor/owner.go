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
	leaseTime = 1300 * timer.Millisecond
	// joinPeriod is the time between two signs of life. Two may fail within the lease.
	joinPeriod = 400 * time.Millisecond
	// nudgePause is the pause after another entry gave partitions up, until the store has heard of it, too.
	nudgePause = 20 * time.Millisecond
	// joinPause is the pause after a failed sign of life.
	joinPause = 100 * time.Millisecond
	// leaseCheck is the period in which the end of the lease is noticed.
	leaseCheck = 50 * time.Millisecond
	// writeShare is the share of the store's write calls that records of kept jobs may use.
	writeShare = 0.6
)

// owner owns partitions of the kept jobs as the store deals them, and writes their records. Use start once kept jobs are
// in use.
type owner struct {
	logger log.Interface
	store  *platform.Store
	loop   *loop
	core   *submitter.Submitter
	member string
	// budget bounds the writes of all partitions of this entry together.
	budget budget
	// nudges asks for a sign of life before its time.
	nudges chan struct{}

	once       sync.Once
	end        context.CancelFunc
	ended      chan struct{} // closed when run has ended
	generation uint64        // of run
	// again says that the next sign of life begins a new membership, with new epochs.
	again atomic.Bool

	mu      sync.Mutex
	until   timer.Millis       // end of the lease
	writers map[uint64]*writer // by partition
}

// start begins to own partitions until ctx ends. Further calls do nothing.
func (o *owner) start(ctx context.Context) {
	o.once.Do(func() {
		ctx, o.end = context.WithCancel(ctx)
		o.ended = make(chan struct{})
		o.again.Store(true)
		go o.run(ctx)
	})
}

// leave hands all partitions over to other entries.
func (o *owner) leave(ctx context.Context) {
	o.once.Do(func() {}) // it must not start from now on
	if o.end == nil {
		return
	}
	o.end()
	<-o.ended
	o.releaseAll(ctx, false, "the entry stops")
	if err := o.store.LeaveGroup(ctx, o.member); err != nil {
		o.logger.WithError(err).Warn("owner: the store was not told that this entry leaves")
	}
}

func (o *owner) run(ctx context.Context) {
	defer close(o.ended)
	go o.watchLease(ctx)
	for ctx.Err() == nil {
		pause := joinPeriod
		changed, err := o.join(ctx)
		switch {
		case err != nil:
			o.logger.WithError(err).Warn("owner: no answer to the sign of life")
			pause = joinPause
		case changed:
			pause = 0 // the store waits for this before it deals the partitions to others
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-o.nudges:
			time.Sleep(nudgePause)
		}
	}
}

// nudge asks for a sign of life soon, because the store may deal partitions to this entry. It never blocks.
func (o *owner) nudge() {
	select {
	case o.nudges <- struct{}{}:
	default:
	}
}

// join sends a sign of life and acts on the answer. changed says that partitions were given up.
func (o *owner) join(ctx context.Context) (changed bool, err error) {
	if o.again.Swap(false) {
		// An earlier life may have been a member under this name. Its epochs must not be used again.
		o.releaseAll(ctx, true, "a new membership begins")
		if err := o.store.LeaveGroup(ctx, o.member); err != nil {
			o.again.Store(true)
			return false, err
		}
		o.generation = 0
	}
	sent := o.loop.clock.Now()
	dealt, err := o.store.Join(ctx, o.member, int64(memberTTL), o.generation)
	if err != nil {
		return false, err
	}
	if o.leaseOver() { // before the answer came; the core has given its partitions up
		o.endLease(ctx)
		return true, nil
	}
	o.mu.Lock()
	o.until = sent + leaseTime
	o.mu.Unlock()
	o.loop.do(ctx, func(now timer.Millis) { o.core.Renew(now, sent+leaseTime) })
	o.generation = dealt.Generation
	for _, number := range o.numbers() {
		if !slices.Contains(dealt.Partitions, number) {
			o.release(ctx, number, false, "dealt to another entry")
			changed = true
		}
	}
	for _, number := range dealt.Partitions {
		o.acquire(ctx, number, dealt.Generation)
	}
	return changed, nil
}

// watchLease gives all partitions up when the lease ends without a sign of life that the store took.
func (o *owner) watchLease(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(leaseCheck):
		}
		if o.leaseOver() {
			o.endLease(ctx)
		}
	}
}

// leaseOver reports whether partitions are owned and the lease has ended.
func (o *owner) leaseOver() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.writers) > 0 && o.loop.clock.Now() >= o.until
}

// endLease gives all partitions up and begins a new membership.
func (o *owner) endLease(ctx context.Context) {
	o.again.Store(true)
	o.releaseAll(ctx, true, "the lease has ended")
}

func (o *owner) numbers() []uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	var numbers []uint64
	for number := range o.writers {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

func (o *owner) releaseAll(ctx context.Context, stop bool, reason string) {
	for _, number := range o.numbers() {
		o.release(ctx, number, stop, reason)
	}
}

// release stops the writer of a partition and tells the core.
func (o *owner) release(ctx context.Context, number uint64, stop bool, reason string) {
	o.mu.Lock()
	w := o.writers[number]
	delete(o.writers, number)
	o.budget.setShares(len(o.writers))
	o.mu.Unlock()
	if w == nil {
		return
	}
	w.end()
	done := make(chan struct{})
	o.loop.do(ctx, func(now timer.Millis) {
		o.core.Release(now, number, stop, reason)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// acquire begins to own a partition, unless it is owned already.
func (o *owner) acquire(ctx context.Context, number, epoch uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.writers[number] != nil {
		return
	}
	if o.writers == nil {
		o.writers = map[uint64]*writer{}
	}
	life, end := context.WithCancel(ctx)
	w := &writer{owner: o, number: number, epoch: epoch, end: end, wake: make(chan struct{}, 1)}
	o.writers[number] = w
	o.budget.setShares(len(o.writers))
	go w.run(life)
}

// record hands a record to the writer of its partition. It never blocks; the loop calls it.
func (o *owner) record(number, epoch uint64, body []byte, done func(now timer.Millis, offset uint64)) {
	o.mu.Lock()
	w := o.writers[number]
	o.mu.Unlock()
	if w == nil || w.epoch != epoch {
		return // the core is about to be told that the partition is lost
	}
	w.add(body, done)
}

// lost takes the refusal of a writer's epoch.
func (o *owner) lost(ctx context.Context, w *writer, err error) {
	o.logger.WithError(err).WithFields(log.Fields{"partition": w.number, "epoch": w.epoch}).Warn("owner: partition is lost")
	o.again.Store(true)
	o.release(ctx, w.number, true, "the store knows a later owner")
}

// replay reads a partition's records.
func (o *owner) replay(ctx context.Context, number uint64) (archiver.Archive, error) {
	var a archiver.Archive
	for from := uint64(0); ; {
		r, err := o.store.Records(ctx, number, from)
		if err != nil {
			return a, trace.Wrap(err)
		}
		for i, body := range r.Bodies {
			var err error
			if panicked := catcher.Catch(func() { err = a.Add(body) }); panicked != nil {
				err = panicked
			}
			if err != nil {
				o.logger.WithError(err).WithFields(log.Fields{"partition": number, "offset": r.From + uint64(i)}).Warn("owner: unreadable record is left out")
			}
		}
		if from = r.Next; from >= r.End {
			return a, nil
		}
	}
}
