package elector

import (
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/encoder"
)

// Replay folds the roster stream for a process that has no roster or an old one. It may begin at the first retained
// record: until a checkpoint closes the gap it holds the records. The zero value begins with the empty roster. A Replay
// is used by one goroutine.
type Replay struct {
	roster     encoder.Roster
	next       uint64 // offset of the first record that is not folded
	gap        appender.Gap
	checkpoint uint64 // offset after the last checkpoint record, 0 for none
}

// NewCheckpoint returns the change that restates the roster as of the offset of the next record.
func NewCheckpoint(r encoder.Roster, offset uint64) Change {
	return Change{Kind: ChangeCheckpoint, Base: offset, Roster: r}
}

// Roster returns the roster so far. ok is false while records are missing between it and those that were added.
func (p *Replay) Roster() (r encoder.Roster, ok bool) { return p.roster, !p.gap.Open() }

// Offset returns the offset of the first record that is not part of the roster.
func (p *Replay) Offset() uint64 { return p.next }

// SinceCheckpoint returns the number of records that were folded after the last checkpoint. A checkpoint is due when
// it reaches half of the log's retention.
func (p *Replay) SinceCheckpoint() uint64 { return p.next - min(p.checkpoint, p.next) }

// Adopt takes over a roster fetched from elsewhere, as of an offset, when it is later than the own one, and reports
// whether it did. The roster's epoch must not lie after the offset; the epoch itself is always a valid offset.
func (p *Replay) Adopt(r encoder.Roster, offset uint64) bool {
	if offset <= p.next || r.Epoch > offset || r.Epoch < p.roster.Epoch {
		return false
	}
	p.roster, p.next = r, offset
	rest, _ := p.gap.Close(offset)
	for _, r := range rest {
		_ = p.fold(r) // the error was reported by the processes that were up to date
	}
	return true
}

// Add folds the next record of the stream and returns the error that made it ineffective. A checkpoint closes a gap
// before the held records.
func (p *Replay) Add(r appender.Record) error {
	if r.Offset <= p.next {
		return p.fold(r)
	}
	p.gap.Add(r)
	c, err := DecodeChange(r.Body)
	if err == nil && c.Kind == ChangeCheckpoint {
		// A checkpoint whose roster lies after its own record is false.
		if as := max(c.Base, c.Roster.Epoch); as <= r.Offset {
			p.Adopt(c.Roster, as)
		}
	}
	return nil
}

func (p *Replay) fold(r appender.Record) error {
	if r.Offset < p.next {
		return nil
	}
	p.next = r.Offset + 1
	c, err := DecodeChange(r.Body)
	if err != nil {
		return trace.Wrap(err, "roster record at offset %d", r.Offset)
	}
	if c.Kind == ChangeCheckpoint {
		p.checkpoint = p.next
	}
	p.roster, err = Apply(p.roster, r.Offset, c)
	return err
}
