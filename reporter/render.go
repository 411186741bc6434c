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
	reportWire struct {
		ShortMs    int64     `json:"shortMs"`
		LongMs     int64     `json:"longMs"`
		Objectives []rowWire `json:"objectives"`
	}

	rowWire struct {
		Name       string        `json:"name"`
		Meaning    string        `json:"meaning"`
		Target     float64       `json:"target"`
		Total      uint64        `json:"total"`
		Bad        uint64        `json:"bad"`
		BurnShort  float64       `json:"burnShort"`
		BurnLong   float64       `json:"burnLong"`
		BudgetLeft float64       `json:"budgetLeft"`
		Domains    []culpritWire `json:"domains"`
		Workers    []culpritWire `json:"workers"`
		Series     []pointWire   `json:"series"`
	}

	culpritWire struct {
		Name  string  `json:"name"`
		Total uint64  `json:"total"`
		Bad   uint64  `json:"bad"`
		Share float64 `json:"share"`
	}

	pointWire struct {
		AgeMs int64   `json:"ageMs"`
		Burn  float64 `json:"burn"`
	}
)

// Write writes the report as "text", "json" or "html".
func (p Report) Write(w io.Writer, format string) error {
	switch format {
	case "text":
		return p.text(w)
	case "json":
		return p.json(w)
	case "html":
		return p.html(w)
	}
	return trace.BadParameter("burn report format %q is not one of text, json and html", format)
}

func (p Report) text(w io.Writer) error {
	var b bytes.Buffer
	t := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "objective\ttarget\tburn %v\tburn %v\tbudget left\tbad of all\n", p.Short.Duration(), p.Long.Duration())
	for _, r := range p.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%.4g\t%.2f\t%.2f\t%.1f%%\t%d of %d\n",
			r.Name, r.Target, r.BurnShort, r.BurnLong, 100*r.Left, r.Bad, r.Total)
	}
	_ = t.Flush()
	for _, r := range p.Rows {
		for _, c := range r.Domains {
			_, _ = fmt.Fprintf(&b, "%s is burnt by failure domain %s: %.0f%% (%d of its %d)\n", r.Name, c.Name, 100*c.Share, c.Bad, c.Total)
		}
		for _, c := range r.Workers {
			_, _ = fmt.Fprintf(&b, "%s is burnt by worker %s: %.0f%% (%d of its %d)\n", r.Name, c.Name, 100*c.Share, c.Bad, c.Total)
		}
	}
	_, err := w.Write(b.Bytes())
	return trace.Wrap(err)
}

func (p Report) json(w io.Writer) error {
	out := reportWire{ShortMs: int64(p.Short), LongMs: int64(p.Long), Objectives: []rowWire{}}
	for _, r := range p.Rows {
		row := rowWire{
			Name: r.Name, Meaning: r.Meaning, Target: r.Target, Total: r.Total, Bad: r.Bad, BurnShort: r.BurnShort,
			BurnLong: r.BurnLong, BudgetLeft: r.Left, Domains: wireCulprits(r.Domains), Workers: wireCulprits(r.Workers),
			Series: make([]pointWire, 0, len(r.Series)),
		}
		for _, s := range r.Series {
			row.Series = append(row.Series, pointWire{AgeMs: int64(s.Age), Burn: s.Burn})
		}
		out.Objectives = append(out.Objectives, row)
	}
	return trace.Wrap(json.NewEncoder(w).Encode(out))
}

func wireCulprits(cs []Culprit) []culpritWire {
	out := make([]culpritWire, 0, len(cs))
	for _, c := range cs {
		out = append(out, culpritWire(c))
	}
	return out
}

func (p Report) html(w io.Writer) error {
	var b bytes.Buffer
	b.WriteString("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>crocuslb burn report</title>" +
		"<style>body{font-family:sans-serif;margin:2em}td,th{padding:.3em 1em;text-align:left}svg{max-width:100%}</style></head>" +
		"<body><h1>Service-level burn</h1>\n")
	_, _ = fmt.Fprintf(&b, "<table><tr><th>objective</th><th>target</th><th>burn %v</th><th>burn %v</th><th>budget left</th><th>bad of all</th><th>burnt by</th></tr>\n",
		p.Short.Duration(), p.Long.Duration())
	for _, r := range p.Rows {
		_, _ = fmt.Fprintf(&b, "<tr><td title=\"%s\">%s</td><td>%.4g</td><td>%.2f</td><td>%.2f</td><td>%.1f%%</td><td>%d of %d</td><td>",
			html.EscapeString(r.Meaning), html.EscapeString(r.Name), r.Target, r.BurnShort, r.BurnLong, 100*r.Left, r.Bad, r.Total)
		for _, c := range append(r.Domains[:len(r.Domains):len(r.Domains)], r.Workers...) {
			_, _ = fmt.Fprintf(&b, "%s %.0f%%; ", html.EscapeString(c.Name), 100*c.Share)
		}
		b.WriteString("</td></tr>\n")
	}
	b.WriteString("</table>\n")
	if err := p.plot(&b); err != nil {
		return err
	}
	b.WriteString("</body></html>\n")
	_, err := w.Write(b.Bytes())
	return trace.Wrap(err)
}

// plot draws the burn rates over the long window as SVG.
func (p Report) plot(w io.Writer) error {
	highest := 1.0
	var series []chart.Series
	for _, r := range p.Rows {
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
