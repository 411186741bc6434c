package dispatcher

import (
	"context"
	"time"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/configurer"
	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	followRetryDelay        = 200 * time.Millisecond
	checkpointRetryInterval = 10 * timer.Second
	// checkpointInterval bounds the age of the last checkpoint. The log's retention is unknown until records are truncated;
	// with this interval, a retention of two hours or more always contains a checkpoint.
	checkpointInterval = 60 * timer.Minute
	maxHeldChanges     = 10_000
)

// checkpointState tracks the checkpoints of a stream.
type checkpointState struct {
	lastOffset  uint64 // offset of the newest checkpoint
	lastAttempt timer.Millis
}

// followStream tails a log stream until ctx is done and posts its records as events. The claims stream is read from the
// last claimsHistoryLength records on, the others from their first record.
func (e *Entry) followStream(ctx context.Context, stream string) {
	var from uint64
	for stream == StreamClaims && ctx.Err() == nil {
		if _, next, err := e.Log.Head(ctx, stream); err == nil {
			from = next - min(next, claimsHistoryLength)
			break
		}
		sleep(ctx, followRetryDelay)
	}
	for ctx.Err() == nil {
		t := appender.Tail{Client: e.Log, Stream: stream, From: from, Wait: tailReadWait}
		t.OnRecord = func(r appender.Record) {
			from = r.Offset + 1
			e.post(event{kind: eventRecord, stream: stream, record: r})
		}
		t.OnRead = func(p appender.Progress) { e.post(event{kind: eventReadDone, stream: stream, progress: p}) }
		if err := t.Run(ctx); err == nil || !appender.IsTruncated(err) {
			sleep(ctx, followRetryDelay)
			continue
		}
		page, err := e.Log.Read(ctx, stream, from, 1, 0)
		if appender.IsTruncated(err) {
			e.Logger.Warnf("entry: log stream %s continues at offset %d; the records from offset %d on were truncated",
				stream, page.First, from)
			from = page.First
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// appendCheckpointIfDue appends the folded state of a stream as a checkpoint, so that the log may truncate older records.
// Only the first member of the roster does so.
func (e *Entry) appendCheckpointIfDue(stream string, p appender.Progress) {
	r := e.core.roster
	if p.Next == 0 || !e.core.joined || r.Entries[0].Member != e.core.self || !e.core.hasLogQuorum() {
		return
	}
	now := e.Clock.Now()
	state := &e.configurationCheckpoints
	if stream == StreamRoster {
		state = &e.rosterCheckpoints
	}
	if !checkpointDue(p, state.lastOffset, now-state.lastAttempt) {
		return
	}
	state.lastAttempt = now
	switch stream {
	case StreamRoster:
		c := elector.NewCheckpoint(e.core.foldedRoster, e.rosterReplay.Offset())
		e.core.appendRecord(stream, elector.AppendChange(nil, c))
	case StreamConfiguration:
		if body, err := configurer.AppendCheckpoint(nil, e.configuration); err == nil {
			e.core.appendRecord(stream, body)
		}
	}
}

// checkpointDue reports whether a stream needs a checkpoint: if records were truncated and the last checkpoint, at the given
// offset, is in the older half of the retained records, or if the last attempt is older than checkpointInterval.
func checkpointDue(p appender.Progress, last uint64, since timer.Millis) bool {
	if since <= checkpointRetryInterval {
		return false
	}
	return p.FirstRetained > 0 && last < p.FirstRetained+(p.Next-p.FirstRetained)/2 || since > checkpointInterval
}
