package server

import (
	"context"
	"encoding/json"

	"github.com/crocuslb/crocuslb/configurer"
	"github.com/crocuslb/crocuslb/timer"
)

const maxHistory = 1000

type (
	// Difference is what a note does to one key. Before is empty for an added key, After for a withdrawn one.
	Difference struct{ Key, Before, After string }

	// Publication is the outcome of a note or of a decision on a failure domain.
	Publication struct {
		ID          string
		Offset      uint64 // offset of the log record, when Recorded is true
		DryRun      bool   // nothing was published
		Recorded    bool   // it is in the log
		Accepted    bool   // it is in the log and at least half of the roster reported it
		InForce     bool   // every known process obeys it
		Provisional bool   // it is obeyed although the log has not recorded it yet
		Took        timer.Millis
		Reason      string
		Differences []Difference
	}

	// Record is a note of the history. Refused is the reason why the fold refused it; it is empty otherwise.
	Record struct {
		Offset  uint64
		Refused string
		Note    configurer.Note
	}

	domainCall = func(ctx context.Context, domain, author string) (Publication, error)

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
		Offset      *uint64          `json:"offset,omitempty"`
		DryRun      bool             `json:"dryRun,omitempty"`
		Accepted    bool             `json:"accepted"`
		InForce     bool             `json:"inForce"`
		Provisional bool             `json:"provisional,omitempty"`
		TookMs      int64            `json:"tookMs"`
		Reason      string           `json:"reason,omitempty"`
		Differences []differenceWire `json:"differences,omitempty"`
	}
)

// DecodeNote reads a note and returns all findings; the note is usable only when there are none.
func DecodeNote(body []byte) (configurer.Note, []Finding) {
	n, found := configurer.ParseNote(body)
	findings := make([]Finding, 0, len(found))
	for _, f := range found {
		findings = append(findings, Finding{Place: nonEmpty(f.Place), Reason: f.Text})
	}
	return n, findings
}

// EncodeHistory maps records to a JSON array.
func EncodeHistory(records []Record) ([]byte, error) {
	rows := make([]recordWire, 0, len(records))
	for _, r := range records {
		rows = append(rows, recordWire{Offset: r.Offset, Refused: r.Refused, Note: configurer.FormatNote(r.Note)})
	}
	return json.Marshal(rows)
}

// EncodePublication maps a publication to JSON. The offset is given only when the log has recorded it.
func EncodePublication(p Publication) ([]byte, error) {
	w := publicationWire{
		ID: p.ID, DryRun: p.DryRun, Accepted: p.Accepted, InForce: p.InForce, Provisional: p.Provisional,
		TookMs: int64(p.Took), Reason: p.Reason,
	}
	if p.Recorded {
		w.Offset = &p.Offset
	}
	for _, d := range p.Differences {
		w.Differences = append(w.Differences, differenceWire(d))
	}
	return json.Marshal(w)
}
