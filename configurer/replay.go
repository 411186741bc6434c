package configurer

import "github.com/crocuslb/crocuslb/appender"

// Replay folds the stream for a process that has no state or an old one. It may begin at the first retained record:
// until a checkpoint closes the gap it holds the records. The zero value begins with the empty configuration. A Replay
// is used by one goroutine.
type Replay struct {
	state           Snapshot
	gap             appender.Gap
	afterCheckpoint uint64 // offset after the last checkpoint record, 0 for none
	// owned means that the state's lists were copied and not handed out since, so that the next note needs no copy of
	// its own. A new process folds many thousand records before it looks at the state.
	exclusive bool
}

// Snapshot returns the state so far. ok is false while records are missing between it and those that were added.
func (p *Replay) Snapshot() (s Snapshot, ok bool) {
	p.exclusive = false
	return p.state, !p.gap.Open()
}

// SinceCheckpoint returns the number of records that were folded after the last checkpoint. A checkpoint is due when
// it reaches half of the log's retention.
func (p *Replay) SinceCheckpoint() uint64 {
	return p.state.offset - min(p.afterCheckpoint, p.state.offset)
}

// Adopt takes over a state fetched from elsewhere when it is later than the own one, and reports whether it did.
func (p *Replay) Adopt(s Snapshot) bool {
	if s.offset <= p.state.offset || s.edited {
		return false
	}
	s.provisionalDomains = p.state.provisionalDomains
	p.state, p.exclusive = s, false
	held, _ := p.gap.Close(s.offset)
	for _, r := range held {
		p.fold(r) // findings were reported by the processes that were up to date
	}
	return true
}

// Add folds the next record of the stream and returns the findings that made it ineffective. A checkpoint closes a gap
// before the held records.
func (p *Replay) Add(r appender.Record) []Finding {
	if r.Offset <= p.state.offset {
		return p.fold(r)
	}
	p.gap.Add(r)
	c, err := DecodeRecord(r.Body)
	// A checkpoint whose state lies after its own record is false.
	if err == nil && c.Kind == KindCheckpoint && c.Checkpoint.offset <= r.Offset {
		p.Adopt(c.Checkpoint)
	}
	return nil
}

func (p *Replay) fold(r appender.Record) []Finding {
	if r.Offset < p.state.offset {
		return nil
	}
	record, err := DecodeRecord(r.Body)
	next, findings := p.state.fold(r.Offset, record, p.exclusive)
	p.exclusive = p.exclusive || record.Kind == KindNote && len(findings) == 0
	p.state = next
	if record.Kind == KindCheckpoint {
		p.afterCheckpoint = r.Offset + 1
	}
	return addDecodeError(findings, err)
}
