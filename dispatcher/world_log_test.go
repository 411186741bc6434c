package dispatcher

import (
	"slices"

	"github.com/crocuslb/crocuslb/elector"
)

// resolve ends an append: it takes effect or not, and the entry learns so or not.
func (w *world) resolve(i int, lost bool) {
	p := w.appends[i]
	w.appends = slices.Delete(w.appends, i, i+1)
	var offset uint64
	cut := w.outage || p.by.cut
	var r logRecord
	switch p.f.Stream {
	case StreamRoster:
		r.change, _ = elector.DecodeChange(p.f.Body)
		cut = cut || r.change.Kind == elector.ChangeRemove && !w.spared(r.change.Entry.Member.ID)
	case StreamClaims:
		r.claims, _ = elector.DecodeClaims(p.f.Body)
	case StreamConfiguration:
		r.out = p.f.Body[0] == 1
	}
	if !cut {
		if p.f.Stream == StreamConfiguration {
			w.accepted = 0
		}
		offset = uint64(len(w.log[p.f.Stream]))
		w.log[p.f.Stream] = append(w.log[p.f.Stream], r)
		w.logf("%s record %d of %s: %+v", p.f.Stream, offset, p.by.id, r)
	}
	if p.by.core == p.core && p.by.alive {
		p.core.Appended(w.now, p.f.Tag, offset, !cut && !lost, lost)
		w.perform(p.by)
	}
}

// readLog brings an entry up to the head of the log.
func (w *world) readLog(n *node) {
	if w.outage || n.cut {
		return
	}
	for _, stream := range []string{StreamConfiguration, StreamRoster, StreamClaims} {
		for ; n.read[stream] < len(w.log[stream]); n.read[stream]++ {
			r := w.log[stream][n.read[stream]]
			offset := uint64(n.read[stream])
			switch stream {
			case StreamRoster:
				n.core.RosterRecord(w.now, offset, r.change)
			case StreamClaims:
				n.core.ClaimsRecord(w.now, r.claims)
			default:
				n.core.ConfigurationRecord(w.now, offset, nil)
				n.core.SetConfiguration(w.now, offset+1, func(domain string) bool { return !r.out || domain != "s0" })
			}
		}
		n.core.Confirmed(w.now, stream, w.now)
	}
	w.perform(n)
}
