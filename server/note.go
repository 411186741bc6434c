package server

import (
	"context"
	"encoding/json"

	"github.com/crocuslb/crocuslb/configurer"
	"github.com/crocuslb/crocuslb/timer"
)

const maxHistoryLimit = 1000

type (
	// Difference is what a note does to one key. Before is empty for an added key, After for a withdrawn one.
	Difference struct{ Key, Before, After string }

	// Publication is the outcome of a note or of a decision on a failure domain. Exactly one of Accepted, Recorded,
	// Provisional, Refused, Unknown and DryRun is set; a dry run with findings is Refused.
	Publication struct {
		ID          string
		Offset      uint64       // offset of the log record, when Accepted or Recorded
		DryRun      bool         // the note is sound and was not published
		Accepted    bool         // it is in the log and at least half of the roster reported it
		Recorded    bool         // it is in the log
		Provisional bool         // it is obeyed although the log has not recorded it yet
		Refused     bool         // it is not in force and will not be
		Unknown     bool         // it may be in the log or may get there yet
		Lagging     int          // processes that are not known to obey it
		Domain      string       // the failure domain that the decision is about; empty for a note
		Sidecars    int          // known sidecars in that domain
		Took        timer.Millis // until it was accepted
		InForce     timer.Millis // until every known process obeyed it; 0 when that was not awaited or did not come
		Findings    []Finding
		Differences []Difference
	}

	// Record is a note of the history. Refused is the reason why the fold refused it; it is empty otherwise.
	Record struct {
		Offset  uint64
		Refused string
		Note    configurer.Note
	}

	domainFunc = func(ctx context.Context, domain, author string) (Publication, error)

	recordWire struct {
		Offset  uint64          `json:"offset"`
		Refused string          `json:"refused,omitempty"`
		Note    json.RawMessage `json:"note"`
	}

	differenceWire struct {
		Key    string `json:"key"`
		Before string `json:"before"`
		After  string `json:"after"`
	}

	publicationWire struct {
		ID          string           `json:"id,omitempty"`
		State       string           `json:"state"`
		Outcome     string           `json:"outcome,omitempty"`
		Offset      *uint64          `json:"offset,omitempty"`
		InForce     bool             `json:"inForce"`
		Lagging     int              `json:"lagging"`
		Domain      string           `json:"domain,omitempty"`
		Sidecars    *int             `json:"sidecars,omitempty"`
		TookMs      int64            `json:"tookMs"`
		InForceMs   int64            `json:"inForceMs,omitempty"`
		Reason      string           `json:"reason,omitempty"`
		Findings    []findingWire    `json:"findings,omitempty"`
		Differences []differenceWire `json:"differences,omitempty"`
	}
)

// DecodeNote reads a note and returns all findings; the note is usable only when there are none.
func DecodeNote(body []byte) (configurer.Note, []Finding) {
	n, parsed := configurer.ParseNote(body)
	findings := make([]Finding, 0, len(parsed))
	for _, f := range parsed {
		findings = append(findings, Finding{Place: placeOrBody(f.Place), Reason: f.Text})
	}
	return n, findings
}

// EncodeHistory maps records to a JSON array.
func EncodeHistory(records []Record) ([]byte, error) {
	wire := make([]recordWire, 0, len(records))
	for _, r := range records {
		wire = append(wire, recordWire{Offset: r.Offset, Refused: r.Refused, Note: configurer.FormatNote(r.Note)})
	}
	return json.Marshal(wire)
}

// EncodePublication maps a publication to JSON. The offset is given only when the log has recorded it.
func EncodePublication(p Publication) ([]byte, error) {
	w := publicationWire{ID: p.ID, TookMs: int64(p.Took), InForceMs: int64(p.InForce), Lagging: p.Lagging}
	if p.Domain != "" {
		w.Domain, w.Sidecars = p.Domain, &p.Sidecars
	}
	switch {
	case p.Refused:
		w.State, w.Outcome, w.Reason = "refused", notRun, "the change is refused"
	case p.DryRun:
		w.State = "dryRun"
	case p.Accepted:
		w.State, w.Offset, w.InForce = "accepted", &p.Offset, p.Lagging == 0
	case p.Recorded:
		w.State, w.Offset = "recorded", &p.Offset
	case p.Provisional:
		w.State, w.InForce, w.Reason = "provisional", p.Lagging == 0, "in force, not yet recorded"
	default:
		w.State, w.Outcome, w.Reason = unknown, unknown, "the change may be in the log or may get there yet"
	}
	for _, f := range p.Findings {
		w.Findings = append(w.Findings, findingWire(f))
	}
	for _, d := range p.Differences {
		w.Differences = append(w.Differences, differenceWire(d))
	}
	return json.Marshal(w)
}
