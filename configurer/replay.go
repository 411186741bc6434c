package configurer

import "github.com/crocuslb/crocuslb/appender"

// Replayer folds the configuration stream in a process whose state is empty or outdated. It can start at the first
// retained record: it buffers records until a checkpoint closes the gap between its state and them. The zero value
// starts with the empty configuration. A Replayer is not safe for concurrent use.
type Replayer struct {
	state           Snapshot
	gap             appender.RecordBuffer
	afterCheckpoint uint64 // offset following the last checkpoint record; 0 if there was none
	// exclusive is set if the slices of the state were copied and the state has not been returned since. The next note
	// can then be applied in place. A new process folds many thousands of records before it reads the state.
	exclusive bool
}

// Snapshot returns the current state. ok is false while records are missing between it and the buffered records.
func (p *Replayer) Snapshot() (s Snapshot, ok bool) {
	p.exclusive = false
	return p.state, !p.gap.HasRecords()
}

// SinceCheckpoint returns the number of records folded after the last checkpoint. A new checkpoint is due when it
// reaches half of the log's retention.
func (p *Replayer) SinceCheckpoint() uint64 {
	return p.state.offset - min(p.afterCheckpoint, p.state.offset)
}

// InstallSnapshot replaces the state with s, for example from a checkpoint or a peer, if s has a later offset. It reports whether
// the state was replaced.
func (p *Replayer) InstallSnapshot(s Snapshot) bool {
	if s.offset <= p.state.offset || s.edited {
		return false
	}
	s.provisionalDomains = p.state.provisionalDomains
	p.state, p.exclusive = s, false
	held, _ := p.gap.TakeFrom(s.offset)
	for _, r := range held {
		p.fold(r) // the findings were already reported by the processes that were up to date
	}
	return true
}

// Add folds the next record of the stream and returns the findings for which it was rejected. If records before it are
// missing, it buffers the record instead. A checkpoint closes such a gap.
func (p *Replayer) Add(r appender.Record) []Finding {
	if r.Offset <= p.state.offset {
		return p.fold(r)
	}
	p.gap.Add(r)
	c, err := DecodeRecord(r.Body)
	// A checkpoint is invalid if its state is later than its own record.
	if err == nil && c.Kind == KindCheckpoint && c.Checkpoint.offset <= r.Offset {
		p.InstallSnapshot(c.Checkpoint)
	}
	return nil
}

func (p *Replayer) fold(r appender.Record) []Finding {
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
