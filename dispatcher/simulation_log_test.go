package dispatcher

import (
	"slices"

	"github.com/crocuslb/crocuslb/elector"
)

// completeAppend completes a pending append. The record is written unless the log is unreachable. If lost is set, the entry
// is told that the outcome is unknown.
func (sm *simulation) completeAppend(i int, lost bool) {
	p := sm.appends[i]
	sm.appends = slices.Delete(sm.appends, i, i+1)
	var offset uint64
	failed := sm.logOutage || p.entry.logUnreachable
	var r logRecord
	switch p.effect.Stream {
	case StreamRoster:
		r.change, _ = elector.DecodeChange(p.effect.Body)
		failed = failed || r.change.Kind == elector.ChangeRemove && !sm.evidenceRemainsWithout(r.change.Entry.Member.ID)
	case StreamClaims:
		r.claims, _ = elector.DecodeClaims(p.effect.Body)
	case StreamConfiguration:
		r.withdrawn = p.effect.Body[0] == 1
	}
	if !failed {
		if p.effect.Stream == StreamConfiguration {
			sm.withdrawalAcceptedAt = 0
		}
		offset = uint64(len(sm.log[p.effect.Stream]))
		sm.log[p.effect.Stream] = append(sm.log[p.effect.Stream], r)
		sm.logf("%s record %d of %s: %+v", p.effect.Stream, offset, p.entry.id, r)
	}
	if p.entry.core == p.core && p.entry.alive {
		p.core.AppendDone(sm.now, p.effect.Tag, offset, !failed && !lost, lost)
		sm.perform(p.entry)
	}
}

// readLog lets an entry read all streams up to the head of the log.
func (sm *simulation) readLog(n *simEntry) {
	if sm.logOutage || n.logUnreachable {
		return
	}
	for _, stream := range []string{StreamConfiguration, StreamRoster, StreamClaims} {
		for ; n.nextOffset[stream] < len(sm.log[stream]); n.nextOffset[stream]++ {
			r := sm.log[stream][n.nextOffset[stream]]
			offset := uint64(n.nextOffset[stream])
			switch stream {
			case StreamRoster:
				n.core.RosterRecord(sm.now, offset, r.change)
			case StreamClaims:
				n.core.ClaimsRecord(sm.now, r.claims)
			default:
				n.core.ConfigurationRecord(sm.now, offset, nil)
				n.core.SetConfiguration(sm.now, offset+1, func(domain string) bool { return !r.withdrawn || domain != "s0" })
			}
		}
		n.core.StreamConfirmed(sm.now, stream, sm.now)
	}
	sm.perform(n)
}
