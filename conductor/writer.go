package conductor

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
	// writePause is the pause before a write is repeated after a failure.
	writeRetryDelay = 50 * time.Millisecond
	// maxWriteBytes bounds the records of one write. The store takes 2 MiB.
	maxWriteBytes = 1 << 20
)

type (
	// writer writes the records of one partition in their order. A write without an answer is repeated under the same
	// number, which the store carries out once.
	writer struct {
		owner     *partitionOwner
		partition uint64 // of the partition
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

// add queues a record. It never blocks.
func (w *writer) enqueue(body []byte, done func(now timer.Millis, offset uint64)) {
	w.mu.Lock()
	w.queue = append(w.queue, queuedRecord{body, done})
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// take removes the records of the next write.
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

// run takes the partition over, then writes until ctx ends or a later owner shows.
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

// acquire keeps earlier owners out, reads the records and hands the jobs to the core.
func (w *writer) acquire(ctx context.Context) bool {
	begin := queuedRecord{marshaler.Append(nil, &marshaler.OwnerRecord{Epoch: w.epoch}), func(timer.Millis, uint64) {}}
	if !w.writeBatch(ctx, 1, []queuedRecord{begin}) {
		return false
	}
	for ctx.Err() == nil {
		archive, err := w.owner.replay(ctx, w.partition)
		if err == nil {
			partition, jobs := marshaler.Partition{Number: w.partition, Epoch: w.epoch, Previous: archive.Previous()}, archive.Jobs()
			w.owner.loop.post(ctx, func(now timer.Millis) {
				if ctx.Err() == nil {
					w.owner.core.Acquire(now, partition, jobs)
				}
			})
			return true
		}
		w.owner.logger.WithError(err).WithField("partition", w.partition).Warn("owner: records cannot be read yet")
		time.Sleep(writeRetryDelay)
	}
	return false
}

// write writes a batch, again and again until the store has answered. It returns false once the partition is lost.
func (w *writer) writeBatch(ctx context.Context, sequence uint64, batch []queuedRecord) bool {
	bodies := make([][]byte, len(batch))
	for i := range batch {
		bodies[i] = batch[i].body
	}
	for ctx.Err() == nil {
		offset, err := w.owner.store.Write(ctx, w.partition, w.epoch, sequence, bodies)
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
