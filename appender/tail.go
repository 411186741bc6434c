package appender

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	defaultTailWait timer.Millis = 200
	// defaultTailTimeout is less than the freshness lease of 2 s: a later response could not renew the lease.
	defaultTailTimeout timer.Millis = 1000
)

type (
	// Tail reads a stream continuously. Set the fields before Run.
	Tail struct {
		Client *Client
		Stream string
		// From is the offset of the first record to read.
		From uint64
		// Limit bounds the records of one read; 0 means MaxReadRecords.
		Limit int
		// Wait is how long one read waits at the head; 0 means 200 ms. It bounds the age of a confirmed head.
		Wait timer.Millis
		// Timeout bounds a read beyond Wait; 0 means 1 s.
		Timeout timer.Millis
		// OnRecord is called for each record, in offset order.
		OnRecord func(r Record)
		// OnRead is called after each read, after OnRecord was called for all of its records.
		OnRead func(p Progress)
	}

	// Progress describes one read of a Tail.
	Progress struct {
		// StartedAt is the start time of the read. If Head is set, the state from the records so far was current at that
		// time.
		StartedAt timer.Millis
		// Next is the offset at which the next read starts.
		Next uint64
		// FirstRetained is the offset of the first retained record; 0 after a failed read.
		FirstRetained uint64
		// AtHead means that every record that existed when the read started was passed to OnRecord.
		AtHead bool
		// Err is the error of a failed read; the fields except StartedAt and Next are then zero.
		Err error
	}
)

// Run reads until ctx ends, or until the next record is no longer retained; the error then satisfies IsTruncated. Failed
// reads are reported to OnRead and, apart from the latter, repeated.
func (t *Tail) Run(ctx context.Context) error {
	next, backoff, limit := t.From, minBackoff, t.Limit
	if limit <= 0 {
		limit = MaxReadRecords
	}
	// The first read and reads after a failure do not wait at the head, so that OnRead learns without delay that the head
	// is reached.
	wait := timer.Millis(0)
	for ctx.Err() == nil {
		r := t.Client.hedgedRead(ctx, t.Stream, next, limit, wait, orDefault(t.Timeout, defaultTailTimeout))
		switch {
		case r.err != nil && ctx.Err() != nil:
			return ctx.Err()
		case r.err == nil && r.page.Next < next:
			// A log that lost records must not confirm state derived from the lost records.
			r.err = trace.CompareFailed("head %d of stream %q is lower than the next offset %d; the log has lost records", r.page.Next, t.Stream, next)
		}
		if r.err != nil {
			t.report(Progress{StartedAt: r.startedAt, Next: next, Err: r.err})
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
		t.report(Progress{StartedAt: r.startedAt, Next: next, FirstRetained: r.page.First, AtHead: next >= r.page.Next})
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
