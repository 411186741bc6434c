package reporter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/wcharczuk/go-chart/v2"
)

type (
	reportJSON struct {
		ShortMs    int64           `json:"shortMs"`
		LongMs     int64           `json:"longMs"`
		Objectives []objectiveJSON `json:"objectives"`
	}

	objectiveJSON struct {
		Name       string            `json:"name"`
		Meaning    string            `json:"meaning"`
		Target     float64           `json:"target"`
		Total      uint64            `json:"total"`
		Bad        uint64            `json:"bad"`
		BurnShort  float64           `json:"burnShort"`
		BurnLong   float64           `json:"burnLong"`
		BudgetLeft float64           `json:"budgetLeft"`
		Domains    []contributorJSON `json:"domains"`
		Workers    []contributorJSON `json:"workers"`
		Series     []pointJSON       `json:"series"`
	}

	contributorJSON struct {
		Name  string  `json:"name"`
		Total uint64  `json:"total"`
		Bad   uint64  `json:"bad"`
		Share float64 `json:"share"`
	}

	pointJSON struct {
		AgeMs int64   `json:"ageMs"`
		Burn  float64 `json:"burn"`
	}
)

// Write writes the report in the format "text", "json" or "html".
func (p Report) Write(w io.Writer, format string) error {
	switch format {
	case "text":
		return p.writeText(w)
	case "json":
		return p.writeJSON(w)
	case "html":
		return p.writeHTML(w)
	}
	return trace.BadParameter("burn report format %q is not one of text, json and html", format)
}

func (p Report) writeText(w io.Writer) error {
	var b bytes.Buffer
	t := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "objective\ttarget\tburn %v\tburn %v\tbudget left\tbad of all\n", p.Short.Duration(), p.Long.Duration())
	for _, r := range p.Objectives {
		_, _ = fmt.Fprintf(t, "%s\t%.4g\t%.2f\t%.2f\t%.1f%%\t%d of %d\n",
			r.Name, r.Target, r.BurnShort, r.BurnLong, 100*r.BudgetLeft, r.Bad, r.Total)
	}
	_ = t.Flush()
	for _, r := range p.Objectives {
		for _, c := range r.Domains {
			_, _ = fmt.Fprintf(&b, "%s: budget used by failure domain %s: %.0f%% (%d bad of %d)\n", r.Name, c.Name, 100*c.Share, c.Bad, c.Total)
		}
		for _, c := range r.Workers {
			_, _ = fmt.Fprintf(&b, "%s: budget used by worker %s: %.0f%% (%d bad of %d)\n", r.Name, c.Name, 100*c.Share, c.Bad, c.Total)
		}
	}
	_, err := w.Write(b.Bytes())
	return trace.Wrap(err)
}

func (p Report) writeJSON(w io.Writer) error {
	out := reportJSON{ShortMs: int64(p.Short), LongMs: int64(p.Long), Objectives: []objectiveJSON{}}
	for _, r := range p.Objectives {
		row := objectiveJSON{
			Name: r.Name, Meaning: r.Description, Target: r.Target, Total: r.Total, Bad: r.Bad, BurnShort: r.BurnShort,
			BurnLong: r.BurnLong, BudgetLeft: r.BudgetLeft, Domains: contributorsJSON(r.Domains), Workers: contributorsJSON(r.Workers),
			Series: make([]pointJSON, 0, len(r.Series)),
		}
		for _, s := range r.Series {
			row.Series = append(row.Series, pointJSON{AgeMs: int64(s.Age), Burn: s.Burn})
		}
		out.Objectives = append(out.Objectives, row)
	}
	return trace.Wrap(json.NewEncoder(w).Encode(out))
}

func contributorsJSON(cs []Contributor) []contributorJSON {
	out := make([]contributorJSON, 0, len(cs))
	for _, c := range cs {
		out = append(out, contributorJSON(c))
	}
	return out
}

func (p Report) writeHTML(w io.Writer) error {
	var b bytes.Buffer
	b.WriteString("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>crocuslb burn report</title>" +
		"<style>body{font-family:sans-serif;margin:2em}td,th{padding:.3em 1em;text-align:left}svg{max-width:100%}</style></head>" +
		"<body><h1>Error budget burn rates</h1>\n")
	_, _ = fmt.Fprintf(&b, "<table><tr><th>objective</th><th>target</th><th>burn %v</th><th>burn %v</th><th>budget left</th><th>bad of all</th><th>budget used by</th></tr>\n",
		p.Short.Duration(), p.Long.Duration())
	for _, r := range p.Objectives {
		_, _ = fmt.Fprintf(&b, "<tr><td title=\"%s\">%s</td><td>%.4g</td><td>%.2f</td><td>%.2f</td><td>%.1f%%</td><td>%d of %d</td><td>",
			html.EscapeString(r.Description), html.EscapeString(r.Name), r.Target, r.BurnShort, r.BurnLong, 100*r.BudgetLeft, r.Bad, r.Total)
		for _, c := range append(r.Domains[:len(r.Domains):len(r.Domains)], r.Workers...) {
			_, _ = fmt.Fprintf(&b, "%s %.0f%%; ", html.EscapeString(c.Name), 100*c.Share)
		}
		b.WriteString("</td></tr>\n")
	}
	b.WriteString("</table>\n")
	if err := p.writeChart(&b); err != nil {
		return err
	}
	b.WriteString("</body></html>\n")
	_, err := w.Write(b.Bytes())
	return trace.Wrap(err)
}

// writeChart writes an SVG chart of the burn rates over the long window.
func (p Report) writeChart(w io.Writer) error {
	highest := 1.0
	var series []chart.Series
	for _, r := range p.Objectives {
		s := chart.ContinuousSeries{Name: r.Name}
		for _, q := range r.Series {
			s.XValues = append(s.XValues, -q.Age.Duration().Minutes())
			s.YValues = append(s.YValues, q.Burn)
			highest = max(highest, q.Burn)
		}
		series = append(series, s)
	}
	c := chart.Chart{
		Title: "burn rate", Width: 1000, Height: 400, Series: series,
		Background: chart.Style{Padding: chart.Box{Top: 40, Left: 20, Right: 20, Bottom: 20}},
		XAxis:      chart.XAxis{Name: "minutes"},
		YAxis:      chart.YAxis{Name: "burn rate", Range: &chart.ContinuousRange{Min: 0, Max: highest * 1.1}},
	}
	c.Elements = []chart.Renderable{chart.Legend(&c)}
	return trace.Wrap(c.Render(chart.SVG, w))
}
