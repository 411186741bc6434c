package configurer

import "github.com/crocuslb/crocuslb/appender"

// maxHeld bounds the records that a Replay holds while it has no state. Newer checkpoints need newer records only, so
// the oldest are dropped first.
const maxHeld = 1 << 16

// Replay folds the stream for a process that has no state or an old one. It may begin at the first retained record:
// until a checkpoint closes the gap it holds the records. The zero value begins with the empty configuration. A Replay is
// used by one goroutine.
type Replay struct {
	state Snapshot
	held  []appender.Record // contiguous, beyond state
}

// NewReplay returns a Replay that goes on from s.
func NewReplay(s Snapshot) *Replay { return &Replay{state: s} }

// Snapshot returns the state so far. ok is false while records are missing before those that were added last.
func (p *Replay) Snapshot() (s Snapshot, ok bool) { return p.state, len(p.held) == 0 }

// Adopt takes over a state fetched from elsewhere when it is later than the own one.
func (p *Replay) Adopt(s Snapshot) {
	if s.offset <= p.state.offset || s.edited {
		return
	}
	s.local = p.state.local
	p.state = s
	p.release()
}

// Add folds the next record of the stream. A checkpoint closes a gap before the held records.
func (p *Replay) Add(r appender.Record) []Finding {
	if r.Offset <= p.state.offset {
		var findings []Finding
		p.state, findings = Fold(p.state, r.Offset, r.Body)
		return findings
	}
	if n := len(p.held); n > 0 && p.held[n-1].Offset+1 != r.Offset {
		p.held = nil
	}
	if len(p.held) >= maxHeld {
		p.held = append([]appender.Record(nil), p.held[maxHeld/2:]...)
	}
	p.held = append(p.held, r)
	c, err := DecodeRecord(r.Body)
	if err != nil || c.Kind != KindCheckpoint {
		return nil
	}
	// The state at the checkpoint's offset needs every record from there on; a checkpoint from the future is false.
	if o := c.Checkpoint.offset; o >= p.held[0].Offset && o <= r.Offset {
		p.Adopt(c.Checkpoint)
	}
	return nil
}

// release folds the held records that follow the state.
func (p *Replay) release() {
	held := p.held
	if len(held) > 0 && held[0].Offset > p.state.offset {
		return
	}
	p.held = nil
	for _, r := range held {
		// Findings were reported by the processes that were up to date; here they only leave the state as it is.
		p.state, _ = Fold(p.state, r.Offset, r.Body)
	}
}
