// Package follower keeps up with a topic of the platform's store that has one newest record for each key.
package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/catcher"
)

const (
	// firstPause and lastPause bound the pause after a failed call. The store's return is noticed within lastPause.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

type (
	// Record is the newest record of a key. A nil Value means that the key was dropped.
	Record struct {
		Key   string
		Value []byte
	}

	// Page is a part of a topic. Next is the position from which the following records are read.
	Page struct {
		Records []Record
		Next    uint64
	}

	// Follower reads one topic. Set the fields before Run.
	Follower struct {
		// Newest returns the newest record of each key.
		Newest func(ctx context.Context) (Page, error)
		// Read returns the records from a position on, and waits for one for a while. Its error satisfies
		// trace.IsNotFound when the records at the position have expired.
		Read func(ctx context.Context, from uint64) (Page, error)
		// Apply takes records in order. whole says that keys without a record do not exist.
		Apply func(p Page, whole bool)
		// Lost and Regained report the state of the store, once for each change.
		Lost     func(err error)
		Regained func()

		unavailable bool
	}
)

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := minRetryDelay
	var next uint64
	known := false
	for ctx.Err() == nil {
		page, err := f.readNext(ctx, next, known)
		if trace.IsNotFound(err) && known {
			known = false
			continue
		}
		if err != nil {
			f.backOff(ctx, err, &pause)
			continue
		}
		pause = minRetryDelay
		if f.unavailable {
			f.unavailable = false
			f.Regained()
		}
		if !known || len(page.Records) > 0 {
			f.Apply(page, !known)
		}
		next, known = page.Next, true
	}
}

// step reads the next records. A panic on the store's answer is an error of the call.
func (f *Follower) readNext(ctx context.Context, next uint64, known bool) (page Page, err error) {
	panicked := catcher.Catch(func() {
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

func (f *Follower) backOff(ctx context.Context, err error, pause *time.Duration) {
	if ctx.Err() != nil {
		return
	}
	if !f.unavailable {
		f.unavailable = true
		f.Lost(err)
	}
	select {
	case <-ctx.Done():
	case <-time.After(*pause/2 + rand.N(*pause/2)):
	}
	*pause = min(2**pause, maxRetryDelay)
}
