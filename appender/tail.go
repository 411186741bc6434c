package appender

import (
	"context"

	"github.com/crocuslb/crocuslb/timer"
)

const defaultTailWait = 200 * timer.Millis(1)

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
	next, pause := t.From, firstBackoff
	limit, wait := t.Limit, t.Wait
	if limit <= 0 {
		limit = MaxLimit
	}
	if wait <= 0 {
		wait = defaultTailWait
	}
	// The first read does not wait, so that a new process learns at once that it has reached the head.
	nextWait := timer.Millis(0)
	for ctx.Err() == nil {
		began := t.Client.Clock.Now()
		p, err := t.Client.Read(ctx, t.Stream, next, limit, nextWait)
		if err != nil && ctx.Err() != nil {
			break
		}
		if err != nil {
			t.report(Progress{Began: began, Next: next, Err: err})
			if IsTruncated(err) {
				return err
			}
			if !sleep(ctx, pause) {
				break
			}
			nextWait, pause = 0, min(2*pause, lastBackoff)
			continue
		}
		for _, r := range p.Records {
			if t.OnRecord != nil {
				t.OnRecord(r)
			}
			next = r.Offset + 1
		}
		t.report(Progress{Began: began, Next: next, First: p.First, Head: next >= p.Next})
		nextWait, pause = wait, firstBackoff
	}
	return ctx.Err()
}

func (t *Tail) report(p Progress) {
	if t.OnRead != nil {
		t.OnRead(p)
	}
}
