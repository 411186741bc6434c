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
	followRetry     = 200 * time.Millisecond
	checkpointRetry = 10 * timer.Second
	// checkpointEach bounds the age of the last checkpoint. The log's retention is not known until records are gone, so a
	// retention of two hours or more always holds a checkpoint.
	checkpointEach = 60 * timer.Minute
	maxHeldChanges = 10_000
)

type (
	// rosterReplay holds back the records of a stream that lost its beginning until a checkpoint closes the gap.
	rosterReplay struct {
		started    bool
		gap        bool
		held       []rosterChange
		checkpoint uint64 // offset of the last checkpoint
		tried      timer.Millis
	}

	rosterChange struct {
		offset uint64
		change elector.Change
	}
)

// follow reads a stream until ctx ends.
func (e *Entry) follow(ctx context.Context, stream string) {
	var from uint64
	for stream == StreamClaims && ctx.Err() == nil {
		if _, next, err := e.Log.Head(ctx, stream); err == nil {
			from = next - min(next, claimsHistory)
			break
		}
		pause(ctx, followRetry)
	}
	for ctx.Err() == nil {
		t := appender.Tail{Client: e.Log, Stream: stream, From: from, Wait: tailWait}
		t.OnRecord = func(r appender.Record) {
			from = r.Offset + 1
			e.post(event{kind: eventRecord, stream: stream, record: r})
		}
		t.OnRead = func(p appender.Progress) { e.post(event{kind: eventRead, stream: stream, progress: p}) }
		if err := t.Run(ctx); err == nil || !appender.IsTruncated(err) {
			pause(ctx, followRetry)
			continue
		}
		page, err := e.Log.Read(ctx, stream, from, 1, 0)
		if appender.IsTruncated(err) {
			e.Logger.Warnf("entry: %s is read from offset %d on, records from %d are gone", stream, page.First, from)
			from = page.First
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// add returns the changes that may be folded now.
func (p *rosterReplay) add(r appender.Record) []rosterChange {
	if !p.started {
		p.started, p.gap = true, r.Offset > 0
	}
	change, err := elector.DecodeChange(r.Body)
	if err != nil {
		return nil
	}
	c := rosterChange{r.Offset, change}
	if change.Kind == elector.ChangeCheckpoint {
		p.checkpoint = r.Offset
	}
	if !p.gap {
		return []rosterChange{c}
	}
	if change.Kind != elector.ChangeCheckpoint {
		if len(p.held) < maxHeldChanges {
			p.held = append(p.held, c)
		}
		return nil
	}
	// The checkpoint states the roster at its epoch; the changes since then follow it.
	out := []rosterChange{c}
	for _, h := range p.held {
		if h.offset >= change.Roster.Epoch {
			out = append(out, h)
		}
	}
	p.gap, p.held = false, nil
	return out
}

func (p *rosterReplay) ready() bool { return !p.gap }

// checkpoint restates the state of a stream before half of its retained records have passed. The first member of the
// roster does so.
func (e *Entry) checkpoint(stream string, p appender.Progress) {
	r := e.core.roster
	if p.Next == 0 || !e.core.joined || r.Entries[0].Member != e.core.self || !e.core.mayDecide() {
		return
	}
	now := e.Clock.Now()
	switch stream {
	case StreamRoster:
		if checkpointDue(p, e.rosters.checkpoint, now-e.rosters.tried) {
			e.rosters.tried = now
			e.core.appendRecord(stream, elector.AppendChange(nil, elector.Change{
				Kind: elector.ChangeCheckpoint, Roster: e.core.folded,
			}))
		}
	case StreamConfiguration:
		if checkpointDue(p, e.checkpointed, now-e.checkpointTried) {
			e.checkpointTried = now
			if body, err := configurer.AppendCheckpoint(nil, e.snapshot); err == nil {
				e.core.appendRecord(stream, body)
			}
		}
	}
}

// checkpointDue reports whether a stream needs a checkpoint: when records have gone and the last checkpoint, at the given
// offset, is in the older half of the rest, or when the last one was tried long ago.
func checkpointDue(p appender.Progress, last uint64, since timer.Millis) bool {
	if since <= checkpointRetry {
		return false
	}
	return p.First > 0 && last < p.First+(p.Next-p.First)/2 || since > checkpointEach
}
