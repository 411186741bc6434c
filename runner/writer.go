package runner

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// writeRetryDelay is the delay before a failed read or write is retried.
	writeRetryDelay = 50 * time.Millisecond
	// maxWriteBytes bounds the total size of the records in one write. The store accepts up to 2 MiB.
	maxWriteBytes = 1 << 20
)

type (
	// writer writes the records of one partition in order. A write without a response is retried with the same sequence
	// number, so that the store applies it only once.
	writer struct {
		owner     *partitionOwner
		partition uint64
		epoch     uint64
		cancel    context.CancelFunc
		wake      chan struct{}

		mu    sync.Mutex
		queue []queuedRecord
	}

	queuedRecord struct {
		body []byte
		done func(now timer.Millis, offset uint64)
	}
)

// enqueue adds a record to the queue. It never blocks.
func (w *writer) enqueue(body []byte, done func(now timer.Millis, offset uint64)) {
	w.mu.Lock()
	w.queue = append(w.queue, queuedRecord{body, done})
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// nextBatch removes the records of the next write from the queue.
func (w *writer) nextBatch() (batch []queuedRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	size := 0
	for len(batch) < len(w.queue) && (len(batch) == 0 || size+len(w.queue[len(batch)].body) <= maxWriteBytes) {
		size += len(w.queue[len(batch)].body)
		batch = w.queue[:len(batch)+1]
	}
	w.queue = w.queue[len(batch):]
	return batch
}

// run acquires the partition, then writes queued records until ctx is canceled or a later owner fences this one.
func (w *writer) run(ctx context.Context) {
	if !w.acquire(ctx) {
		return
	}
	sequence := uint64(1)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		for batch := w.nextBatch(); len(batch) > 0; batch = w.nextBatch() {
			sequence++
			if !w.writeBatch(ctx, sequence, batch) {
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(w.owner.limiter.reserve(time.Now())):
			}
		}
	}
}

// acquire fences earlier owners, replays the partition's records and passes its jobs to the core.
func (w *writer) acquire(ctx context.Context) bool {
	begin := queuedRecord{marshaler.Append(nil, &marshaler.OwnerRecord{Epoch: w.epoch}), func(timer.Millis, uint64) {}}
	if !w.writeBatch(ctx, 1, []queuedRecord{begin}) {
		return false
	}
	for ctx.Err() == nil {
		archive, err := w.owner.replay(ctx, w.partition)
		if err == nil {
			partition, jobs := marshaler.Partition{Number: w.partition, Epoch: w.epoch, Previous: archive.PreviousEpoch()}, archive.Jobs()
			w.owner.loop.post(ctx, func(now timer.Millis) {
				if ctx.Err() == nil {
					w.owner.core.AcquirePartition(now, partition, jobs)
				}
			})
			return true
		}
		w.owner.logger.WithError(err).WithField("partition", w.partition).Warn("owner: cannot read the partition's records; retrying")
		time.Sleep(writeRetryDelay)
	}
	return false
}

// writeBatch writes a batch and retries until the store responds. It returns false if ctx is canceled or the partition
// is lost to a later owner.
func (w *writer) writeBatch(ctx context.Context, sequence uint64, batch []queuedRecord) bool {
	bodies := make([][]byte, len(batch))
	for i := range batch {
		bodies[i] = batch[i].body
	}
	for ctx.Err() == nil {
		offset, err := w.owner.store.AppendPartition(ctx, w.partition, w.epoch, sequence, bodies)
		switch {
		case err == nil:
			w.owner.loop.post(ctx, func(now timer.Millis) {
				for i := range batch {
					batch[i].done(now, offset+uint64(i))
				}
			})
			return true
		case ctx.Err() != nil:
			return false
		case trace.IsCompareFailed(err):
			w.owner.onFenced(ctx, w, err)
			return false
		}
		w.owner.logger.WithError(err).WithFields(log.Fields{"partition": w.partition, "records": len(batch)}).Warn("owner: records are not stored yet")
		time.Sleep(writeRetryDelay)
	}
	return false
}
