package runner

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/acquirer"
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
	// writer acquires a partition and writes its records in order. A write without a response is retried with the same sequence
	// number, so that the store applies it only once.
	writer struct {
		owner     *partitionOwner
		partition uint64
		cancel    context.CancelFunc
		wake      chan struct{}

		// Owned by run.
		fence    uint64 // epoch of the writes; the store rejects lower ones
		sequence uint64 // of the latest write under fence
		end      uint64 // offset after the latest record of this writer

		mu       sync.Mutex
		epoch    uint64 // under which the partition was acquired
		proofDue uint64 // generation for which the ownership must be proven before the next write; 0 for none
		queue    []queuedRecord
	}

	queuedRecord struct {
		body []byte
		done func(now timer.Millis, offset uint64)
	}
)

// enqueue adds a record of the partition's owner under an epoch to the queue. It never blocks.
func (w *writer) enqueue(epoch uint64, body []byte, done func(now timer.Millis, offset uint64)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.epoch != epoch {
		return // the release of the partition is on its way to the core
	}
	w.queue = append(w.queue, queuedRecord{body, done})
	w.wakeUp()
}

// requestProof makes the writer prove before its next write that no other entry has owned the partition.
func (w *writer) requestProof(generation uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.proofDue = generation
	w.wakeUp()
}

func (w *writer) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// next removes what is to be written next: a proof, or the records of one write.
func (w *writer) next() (generation uint64, batch []queuedRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.proofDue != 0 {
		generation, w.proofDue = w.proofDue, 0
		return generation, nil
	}
	size := 0
	for len(batch) < len(w.queue) && (len(batch) == 0 || size+len(w.queue[len(batch)].body) <= maxWriteBytes) {
		size += len(w.queue[len(batch)].body)
		batch = w.queue[:len(batch)+1]
	}
	w.queue = w.queue[len(batch):]
	return 0, batch
}

// run acquires the partition, then writes what is due until ctx is canceled or a later owner fences this one.
func (w *writer) run(ctx context.Context) {
	if !w.acquire(ctx) {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		if !w.writeDue(ctx) {
			return
		}
	}
}

// writeDue writes what is due. It returns false if ctx is canceled or the partition is lost.
func (w *writer) writeDue(ctx context.Context) bool {
	for {
		generation, batch := w.next()
		switch {
		case generation != 0:
			if !w.prove(ctx, generation) {
				return false
			}
		case len(batch) > 0:
			if !w.writeBatch(ctx, batch) {
				return false
			}
		default:
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(w.owner.limiter.reserve(time.Now())):
		}
	}
}

// acquire fences earlier owners, replays the partition's records and passes its jobs to the core.
func (w *writer) acquire(ctx context.Context) bool {
	w.mu.Lock()
	epoch := w.epoch
	w.mu.Unlock()
	if w.fence != epoch {
		w.fence, w.sequence = epoch, 0
	}
	if _, ok := w.append(ctx, [][]byte{ownerRecord(epoch)}); !ok {
		return false
	}
	for ctx.Err() == nil {
		archive, err := w.owner.replay(ctx, w.partition)
		if err == nil {
			w.owner.passToCore(ctx, marshaler.Partition{Number: w.partition, Epoch: epoch, Previous: archive.PreviousEpoch()}, archive.Jobs())
			return true
		}
		w.owner.logger.WithError(err).WithField("partition", w.partition).Warn("owner: cannot read the partition's records; retrying")
		time.Sleep(writeRetryDelay)
	}
	return false
}

func ownerRecord(epoch uint64) []byte {
	return marshaler.Append(nil, &marshaler.OwnerRecord{Epoch: epoch})
}

// prove confirms the ownership under a new generation, which fences the owners of all generations before. An owner writes a record
// before it acts, so no other entry has owned the partition since the latest record if this one follows it directly. Otherwise
// the partition is acquired anew.
func (w *writer) prove(ctx context.Context, generation uint64) bool {
	w.mu.Lock()
	epoch := w.epoch
	w.mu.Unlock()
	expected := w.end
	w.fence, w.sequence = generation, 0
	offset, ok := w.append(ctx, [][]byte{ownerRecord(epoch)})
	if !ok {
		return false
	}
	switch w.owner.onProven(ctx, w, generation, offset == expected) {
	case acquirer.Kept:
		return true
	case acquirer.Broken:
		return w.reacquire(ctx, generation, offset-expected)
	default:
		return false
	}
}

// reacquire acquires the partition under a new epoch after another entry may have owned it. The records that wait are those of
// the former ownership.
func (w *writer) reacquire(ctx context.Context, epoch, foreign uint64) bool {
	w.owner.logger.WithFields(log.Fields{"partition": w.partition, "epoch": epoch, "records": foreign}).
		Warn("owner: another entry may have owned the partition, which has its records; acquiring it anew")
	w.owner.releaseInCore(ctx, acquirer.Release{Partition: w.partition, Stop: true, Reason: "another entry may have owned it"})
	w.mu.Lock()
	w.epoch, w.queue = epoch, nil
	w.mu.Unlock()
	return w.acquire(ctx)
}

// writeBatch writes a batch of records and passes their offsets on.
func (w *writer) writeBatch(ctx context.Context, batch []queuedRecord) bool {
	bodies := make([][]byte, len(batch))
	for i := range batch {
		bodies[i] = batch[i].body
	}
	offset, ok := w.append(ctx, bodies)
	if ok {
		w.owner.loop.post(ctx, func(now timer.Millis) {
			for i := range batch {
				batch[i].done(now, offset+uint64(i))
			}
		})
	}
	return ok
}

// append writes records and retries until the store responds. It returns false if ctx is canceled or the partition is lost to a
// later owner.
func (w *writer) append(ctx context.Context, bodies [][]byte) (offset uint64, ok bool) {
	w.sequence++
	for ctx.Err() == nil {
		offset, err := w.owner.store.AppendPartition(ctx, w.partition, w.fence, w.sequence, bodies)
		switch {
		case err == nil:
			w.end = offset + uint64(len(bodies))
			return offset, true
		case ctx.Err() != nil:
			return 0, false
		case trace.IsCompareFailed(err):
			w.owner.onFenced(w, err)
			return 0, false
		}
		w.owner.logger.WithError(err).WithFields(log.Fields{"partition": w.partition, "records": len(bodies)}).Warn("owner: records are not stored yet")
		time.Sleep(writeRetryDelay)
	}
	return 0, false
}
