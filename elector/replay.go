package elector

import (
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/encoder"
)

// Replayer rebuilds the roster from the roster stream in a process that has no roster or an outdated one. It may start at
// the first retained record: records after a gap are buffered until a checkpoint or an adopted roster closes it. The zero
// value starts with the empty roster. A Replayer is not safe for concurrent use.
type Replayer struct {
	roster     encoder.Roster
	nextOffset uint64 // offset of the first record that is not applied
	gap        appender.RecordBuffer
	checkpoint uint64 // offset after the last checkpoint record, 0 if none
}

// NewCheckpoint returns a checkpoint of the roster. offset is that of the first record that r does not include.
func NewCheckpoint(r encoder.Roster, offset uint64) Change {
	return Change{Kind: ChangeCheckpoint, Base: offset, Roster: r}
}

// Roster returns the current roster. ok is false while records are missing between it and the added records.
func (p *Replayer) Roster() (r encoder.Roster, ok bool) { return p.roster, !p.gap.HasRecords() }

// Offset returns the offset of the first record that is not part of the roster.
func (p *Replayer) Offset() uint64 { return p.nextOffset }

// SinceCheckpoint returns the number of records applied since the last checkpoint. A new checkpoint is due when it reaches
// half of the log's retention.
func (p *Replayer) SinceCheckpoint() uint64 { return p.nextOffset - min(p.checkpoint, p.nextOffset) }

// InstallSnapshot replaces the roster by one from another source, which includes the records before the offset, if it is newer than
// the current roster. It reports whether it did. The roster's epoch must not be later than the offset; the epoch itself is
// always a valid offset.
func (p *Replayer) InstallSnapshot(r encoder.Roster, offset uint64) bool {
	if offset <= p.nextOffset || r.Epoch > offset || r.Epoch < p.roster.Epoch {
		return false
	}
	p.roster, p.nextOffset = r, offset
	rest, _ := p.gap.TakeFrom(offset)
	for _, r := range rest {
		_ = p.apply(r) // the error is reported by up-to-date processes
	}
	return true
}

// Add applies the next record of the stream and returns an error if the record had no effect. A record after a gap is
// buffered; if it is a checkpoint, it closes the gap.
func (p *Replayer) Add(r appender.Record) error {
	if r.Offset <= p.nextOffset {
		return p.apply(r)
	}
	p.gap.Add(r)
	c, err := DecodeChange(r.Body)
	if err == nil && c.Kind == ChangeCheckpoint {
		// A checkpoint whose roster is later than its own record is invalid.
		if asOf := max(c.Base, c.Roster.Epoch); asOf <= r.Offset {
			p.InstallSnapshot(c.Roster, asOf)
		}
	}
	return nil
}

func (p *Replayer) apply(r appender.Record) error {
	if r.Offset < p.nextOffset {
		return nil
	}
	p.nextOffset = r.Offset + 1
	c, err := DecodeChange(r.Body)
	if err != nil {
		return trace.Wrap(err, "roster record at offset %d", r.Offset)
	}
	if c.Kind == ChangeCheckpoint {
		p.checkpoint = p.nextOffset
	}
	p.roster, err = Apply(p.roster, r.Offset, c)
	return err
}
