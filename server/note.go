package server

import (
	"context"
	"encoding/json"

	"github.com/crocuslb/crocuslb/configurer"
	"github.com/crocuslb/crocuslb/timer"
)

const maxHistoryLimit = 1000

type (
	// Difference is the change that a note makes to one key. Before is empty for an added key, After for a withdrawn one.
	Difference struct{ Key, Before, After string }

	// Publication is the result of publishing a note, or of withdrawing or returning a failure domain. Exactly one of
	// Accepted, Recorded, Provisional, Refused, Unknown and DryRun is set; a dry run with findings is Refused.
	Publication struct {
		ID              string
		Offset          uint64       // offset of the log record, when Accepted or Recorded
		DryRun          bool         // the note is valid and was not published
		Accepted        bool         // it is in the log and at least half of the roster reported having read it
		Recorded        bool         // it is in the log
		Provisional     bool         // it is applied although it is not in the log yet
		Refused         bool         // it is not in effect and will not be
		Unknown         bool         // it may be in the log or may still be appended
		Lagging         int          // number of processes that are not known to have applied it
		Domain          string       // the withdrawn or returned failure domain; empty for a note
		Sidecars        int          // number of known sidecars in Domain
		Elapsed         timer.Millis // time until the outcome was known
		PropagationTime timer.Millis // time until every known process had applied it; 0 if that was not awaited or did not happen in time
		Findings        []Finding
		Differences     []Difference
	}

	// HistoryRecord is a note in the history. Refused is the reason for which the note was rejected when the log was read; it is
	// empty for a note that was applied.
	HistoryRecord struct {
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

// DecodeNote decodes a note and returns all findings; the note is valid only if there are none.
func DecodeNote(body []byte) (configurer.Note, []Finding) {
	n, parsed := configurer.ParseNote(body)
	findings := make([]Finding, 0, len(parsed))
	for _, f := range parsed {
		findings = append(findings, Finding{Place: placeOrBody(f.Location), Reason: f.Message})
	}
	return n, findings
}

// EncodeHistory encodes records as a JSON array.
func EncodeHistory(records []HistoryRecord) ([]byte, error) {
	wire := make([]recordWire, 0, len(records))
	for _, r := range records {
		wire = append(wire, recordWire{Offset: r.Offset, Refused: r.Refused, Note: configurer.FormatNote(r.Note)})
	}
	return json.Marshal(wire)
}

// EncodePublication encodes a publication as JSON. The offset is included only if the change is in the log.
func EncodePublication(p Publication) ([]byte, error) {
	w := publicationWire{ID: p.ID, TookMs: int64(p.Elapsed), InForceMs: int64(p.PropagationTime), Lagging: p.Lagging}
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
