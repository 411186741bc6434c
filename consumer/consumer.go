// Package consumer consumes a compacted topic of the platform's store: it reads the newest record of each key and then all
// later records.
package consumer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/recoverer"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff after failed calls. The store's recovery is noticed
	// within maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

type (
	// Record is one record of the topic. A nil Value means that the key was deleted.
	Record struct {
		Key   string
		Value []byte
	}

	// Page is a range of records of a topic. Next is the position of the first record after it.
	Page struct {
		Records []Record
		Next    uint64
	}

	// Consumer consumes one topic. The fields must be set before Run is called.
	Consumer struct {
		// Newest returns the newest record of each key.
		Newest func(ctx context.Context) (Page, error)
		// Read returns the records from a position on, as a long poll if there are none yet. Its error satisfies
		// trace.IsNotFound if the records at the position have expired.
		Read func(ctx context.Context, from uint64) (Page, error)
		// Apply handles records in order. whole says that the page is a snapshot: keys without a record in it do not exist.
		Apply func(p Page, whole bool)
		// OnUnavailable and OnAvailable report that the store has become unavailable or available, once per change.
		OnUnavailable func(err error)
		OnAvailable   func()
		// OnPanic is called with a panic in Apply. The consumer goes on after the page. It may be nil.
		OnPanic func(err error)

		unavailable bool
	}
)

// Run consumes the topic until ctx is done.
func (f *Consumer) Run(ctx context.Context) {
	delay := minRetryDelay
	var next uint64
	known, expired := false, false
	for ctx.Err() == nil {
		page, err := f.readNext(ctx, next, known)
		if trace.IsNotFound(err) && known && !expired {
			known, expired = false, true
			continue
		}
		if err != nil {
			known = known && !trace.IsNotFound(err)
			f.backOff(ctx, err, &delay)
			continue
		}
		if known || !expired { // a snapshot is only of use if the records after it can be read
			delay, expired = minRetryDelay, false
		}
		if f.unavailable {
			f.unavailable = false
			f.OnAvailable()
		}
		if !known || len(page.Records) > 0 {
			f.apply(page, !known)
		}
		next, known = page.Next, true
	}
}

// readNext reads the next records, or a snapshot if no position is known. It returns a panic in the handling of the store's
// response as an error.
func (f *Consumer) readNext(ctx context.Context, next uint64, known bool) (page Page, err error) {
	panicked := recoverer.Call(func() {
		if known {
			page, err = f.Read(ctx, next)
		} else {
			page, err = f.Newest(ctx)
		}
	})
	if panicked != nil {
		return Page{}, panicked
	}
	return page, err
}

// apply calls Apply and reports a panic in it.
func (f *Consumer) apply(page Page, whole bool) {
	err := recoverer.Call(func() { f.Apply(page, whole) })
	if err != nil && f.OnPanic != nil {
		f.OnPanic(err)
	}
}

// backOff reports the loss of the store and waits for a random time between half of delay and delay, which it doubles.
func (f *Consumer) backOff(ctx context.Context, err error, delay *time.Duration) {
	if ctx.Err() != nil {
		return
	}
	if !f.unavailable {
		f.unavailable = true
		f.OnUnavailable(err)
	}
	select {
	case <-ctx.Done():
	case <-time.After(*delay/2 + rand.N(*delay/2)):
	}
	*delay = min(2**delay, maxRetryDelay)
}
