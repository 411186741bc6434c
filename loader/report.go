package loader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"text/tabwriter"
)

const redacted = "(not shown)"

type (
	settingJSON struct {
		Name     string  `json:"name"`
		Variable string  `json:"variable"`
		Unit     string  `json:"unit"`
		Default  string  `json:"default"`
		Meaning  string  `json:"meaning"`
		Min      float64 `json:"min,omitempty"`
		Max      float64 `json:"max,omitempty"`
		Required bool    `json:"required,omitempty"`
		Secret   bool    `json:"secret,omitempty"`
	}

	valueJSON struct {
		Name   string `json:"name"`
		Value  string `json:"value"`
		Unit   string `json:"unit"`
		Source string `json:"source"`
	}

	findingJSON struct {
		Place  string `json:"place"`
		Reason string `json:"reason"`
	}

	checkJSON struct {
		Valid    bool          `json:"valid"`
		Findings []findingJSON `json:"findings"`
		Values   []valueJSON   `json:"values"`
	}
)

// Text returns the settings as a table with flags, variables, units, defaults and descriptions.
func (s Set) Text() string {
	var b bytes.Buffer
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	for _, st := range s.Settings {
		value := "default " + st.Default
		switch {
		case st.Required && st.Default == "":
			value = "required"
		case st.Default == "":
			value = "no default"
		}
		if st.Min != 0 || st.Max != 0 {
			value += ", " + formatNumber(st.Min) + ".." + formatNumber(st.Max)
		}
		_, _ = fmt.Fprintf(w, "  -%s\t%s\t%s\t%s\t%s\n", st.Name, st.Unit, value, st.Variable(), st.Meaning)
	}
	_ = w.Flush()
	return b.String()
}

// JSON returns the settings as a JSON array.
func (s Set) JSON() ([]byte, error) {
	rows := make([]settingJSON, 0, len(s.Settings))
	for _, st := range s.Settings {
		rows = append(rows, settingJSON{
			Name: st.Name, Variable: st.Variable(), Unit: st.Unit.String(), Default: st.Default, Meaning: st.Meaning,
			Min: st.Min, Max: st.Max, Required: st.Required, Secret: st.Secret,
		})
	}
	return json.MarshalIndent(rows, "", "  ")
}

// CheckText returns the findings, or the values with their sources if there are none. Secrets are redacted.
func (s Set) CheckText(l LoadResult) string {
	var b bytes.Buffer
	if len(l.Findings) > 0 {
		_, _ = fmt.Fprintf(&b, "%d findings in the settings:\n", len(l.Findings))
		for _, f := range l.Findings {
			_, _ = fmt.Fprintf(&b, "  %s\n", f)
		}
		return b.String()
	}
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	for _, v := range s.valuesJSON(l) {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\tfrom %s\n", v.Name, v.Value, v.Unit, v.Source)
	}
	_ = w.Flush()
	return b.String()
}

// CheckJSON returns the findings and, if there are none, the values with their sources as JSON. Secrets are redacted.
func (s Set) CheckJSON(l LoadResult) ([]byte, error) {
	out := checkJSON{Valid: len(l.Findings) == 0, Findings: []findingJSON{}, Values: []valueJSON{}}
	for _, f := range l.Findings {
		out.Findings = append(out.Findings, findingJSON(f))
	}
	if out.Valid {
		out.Values = s.valuesJSON(l)
	}
	return json.MarshalIndent(out, "", "  ")
}

func (s Set) valuesJSON(l LoadResult) []valueJSON {
	rows := make([]valueJSON, 0, len(s.Settings))
	for _, st := range s.Settings {
		value := l.Values.Text(st.Name)
		if st.Secret && value != "" {
			value = redacted
		}
		rows = append(rows, valueJSON{Name: st.Name, Value: value, Unit: st.Unit.String(), Source: l.Values.Source(st.Name)})
	}
	return rows
}
