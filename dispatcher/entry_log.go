package dispatcher

import (
	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/configurer"
	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/messenger"
	"github.com/crocuslb/crocuslb/timer"
)

// handleRecord folds a record of a log stream.
func (e *Entry) handleRecord(now timer.Millis, stream string, r appender.Record) {
	switch stream {
	case StreamConfiguration:
		findings := e.configurationReplay.Add(r)
		if r.Offset >= e.configuration.Offset() {
			// The findings of a record that is part of a configuration adopted from a peer are unknown, so they are not
			// reported.
			e.core.ConfigurationRecord(now, r.Offset, findings)
		}
		if d, err := configurer.DecodeRecord(r.Body); err == nil && d.Kind == configurer.KindNote {
			e.history = append(e.history, ConfigurationChange{Offset: r.Offset, Note: d.Note, Findings: findings})
			if len(e.history) > 2*maxHistory {
				e.history = append([]ConfigurationChange(nil), e.history[maxHistory:]...)
			}
		}
		if d, err := configurer.DecodeRecord(r.Body); err == nil && d.Kind == configurer.KindCheckpoint {
			e.configurationCheckpoints.lastOffset = r.Offset
		}
		if s, ok := e.configurationReplay.Snapshot(); ok && e.core.confirmations[StreamConfiguration] != 0 {
			e.setConfiguration(now, s)
		}
	case StreamRoster:
		e.handleRosterRecord(now, r)
	case StreamClaims:
		if claims, err := elector.DecodeClaims(r.Body); err == nil {
			e.core.ClaimsRecord(now, claims)
		}
	}
}

// handleRosterRecord folds a record of the roster stream. The core receives each change, or the whole roster after a gap.
func (e *Entry) handleRosterRecord(now timer.Millis, r appender.Record) {
	_, known := e.rosterReplay.Roster()
	_ = e.rosterReplay.Add(r) // every reader rejects the same record
	roster, ok := e.rosterReplay.Roster()
	change, err := elector.DecodeChange(r.Body)
	if err == nil && change.Kind == elector.ChangeCheckpoint {
		e.rosterCheckpoints.lastOffset = r.Offset
	}
	switch {
	case ok && !known:
		e.core.RosterGap(now, roster)
	case ok && err == nil:
		e.core.RosterRecord(now, r.Offset, change)
	}
}

func (e *Entry) setConfiguration(now timer.Millis, s configurer.Snapshot) {
	old := e.configuration
	e.configuration = s
	for _, key := range append(old.KeysWithPrefix(teamPrefix), s.KeysWithPrefix(teamPrefix)...) {
		name := key[len(teamPrefix):]
		if t := s.Team(name); t != old.Team(name) {
			e.core.queue.SetTeam(name, t.Weight, t.Quota)
		}
	}
	e.core.SetConfiguration(now, s.Offset(), s.DomainInService)
}

// sendConfiguration sends the current configuration to a peer as a checkpoint.
func (e *Entry) sendConfiguration(s *messenger.Session) {
	body, err := configurer.AppendCheckpoint(nil, e.configuration)
	if s == nil || err != nil {
		return
	}
	s.Send(&encoder.PeerConfiguration{Checkpoint: body}) // offerConfiguration repeats a lost message
}

// adoptConfiguration adopts a later configuration from a peer. The records that it includes are skipped when the log can be
// read again.
func (e *Entry) adoptConfiguration(now timer.Millis, m *encoder.PeerConfiguration) {
	r, err := configurer.DecodeRecord(m.Checkpoint)
	if err != nil || r.Kind != configurer.KindCheckpoint || !e.configurationReplay.InstallSnapshot(r.Checkpoint) {
		return
	}
	if s, ok := e.configurationReplay.Snapshot(); ok {
		e.Logger.Infof("entry: adopted the configuration at offset %d from a peer", s.Offset())
		e.setConfiguration(now, s)
	}
}

// handleRead handles a completed read of the log. A read that reached the head confirms the stream, unless its state is not
// known yet.
func (e *Entry) handleRead(now timer.Millis, stream string, p appender.Progress) {
	if p.Err != nil || !p.AtHead {
		return
	}
	switch stream {
	case StreamConfiguration:
		s, ok := e.configurationReplay.Snapshot()
		if !ok {
			return
		}
		if s.Offset() != e.configuration.Offset() || e.core.confirmations[stream] == 0 {
			e.setConfiguration(now, s)
		}
	case StreamRoster:
		if _, ok := e.rosterReplay.Roster(); !ok {
			return
		}
	}
	e.core.StreamConfirmed(now, stream, p.StartedAt)
	e.appendCheckpointIfDue(stream, p)
}
