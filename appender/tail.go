package appender

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	defaultTailWait timer.Millis = 200
	// defaultTailTimeout is below the freshness lease of 2 s: a later answer would confirm nothing.
	defaultTailTimeout timer.Millis = 1000
)

type (
	// Tail follows a stream. Set the fields before Run.
	Tail struct {
		Client *Client
		Stream string
		// From is the offset of the first record to read.
		From uint64
		// Limit bounds the records of one read; 0 means MaxLimit.
		Limit int
		// Wait is how long one read waits at the head; 0 means 200 ms. It bounds the age of a confirmed head.
		Wait timer.Millis
		// Timeout bounds a read beyond Wait; 0 means 1 s.
		Timeout timer.Millis
		// OnRecord is called for each record, in offset order.
		OnRecord func(r Record)
		// OnRead is called after each read, when OnRecord was called for all of its records.
		OnRead func(p Progress)
	}

	// Progress describes one read of a Tail.
	Progress struct {
		// Began is when the exchange began. The state that was folded so far is known to be current as of then, if
		// Head is set.
		Began timer.Millis
		// Next is the offset from which the following read goes on.
		Next uint64
		// First is the offset of the first retained record; 0 after a failed read.
		First uint64
		// Head means that every record that existed when the exchange began was passed to OnRecord.
		Head bool
		// Err is the reason why the read failed; the other fields but Began and Next are then zero.
		Err error
	}
)

// Run reads until ctx ends or the next record is no longer retained; the error then satisfies IsTruncated. Failed reads
// are reported to OnRead and repeated.
func (t *Tail) Run(ctx context.Context) error {
	next, backoff, limit := t.From, minBackoff, t.Limit
	if limit <= 0 {
		limit = MaxReadRecords
	}
	// The first read does not wait, so that a new process learns at once that it has reached the head. Neither does
	// one after a failure.
	wait := timer.Millis(0)
	for ctx.Err() == nil {
		r := t.Client.hedgedRead(ctx, t.Stream, next, limit, wait, orDefault(t.Timeout, defaultTailTimeout))
		switch {
		case r.err != nil && ctx.Err() != nil:
			return ctx.Err()
		case r.err == nil && r.page.Next < next:
			// A log that lost records must not confirm a state that is ahead of it.
			r.err = trace.CompareFailed("head %d of stream %q lies before offset %d, which was read already", r.page.Next, t.Stream, next)
		}
		if r.err != nil {
			t.report(Progress{Began: r.startedAt, Next: next, Err: r.err})
			if IsTruncated(r.err) {
				return r.err
			}
			sleep(ctx, backoff)
			wait, backoff = 0, min(2*backoff, maxBackoff)
			continue
		}
		for _, record := range r.page.Records {
			if t.OnRecord != nil {
				t.OnRecord(record)
			}
			next = record.Offset + 1
		}
		t.report(Progress{Began: r.startedAt, Next: next, First: r.page.First, Head: next >= r.page.Next})
		wait, backoff = orDefault(t.Wait, defaultTailWait), minBackoff
	}
	return ctx.Err()
}

func (t *Tail) report(p Progress) {
	if t.OnRead != nil {
		t.OnRead(p)
	}
}

func orDefault(d, fallback timer.Millis) timer.Millis {
	if d > 0 {
		return d
	}
	return fallback
}
