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
		Location string `json:"place"`
		Reason   string `json:"reason"`
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
	for _, setting := range s.Settings {
		value := "default " + setting.Default
		switch {
		case setting.Required && setting.Default == "":
			value = "required"
		case setting.Default == "":
			value = "no default"
		}
		if setting.Min != 0 || setting.Max != 0 {
			value += ", " + formatNumber(setting.Min) + ".." + formatNumber(setting.Max)
		}
		_, _ = fmt.Fprintf(w, "  -%s\t%s\t%s\t%s\t%s\n", setting.Name, setting.Unit, value, setting.Variable(), setting.Description)
	}
	_ = w.Flush()
	return b.String()
}

// JSON returns the settings as a JSON array.
func (s Set) JSON() ([]byte, error) {
	rows := make([]settingJSON, 0, len(s.Settings))
	for _, setting := range s.Settings {
		rows = append(rows, settingJSON{
			Name: setting.Name, Variable: setting.Variable(), Unit: setting.Unit.String(), Default: setting.Default, Meaning: setting.Description,
			Min: setting.Min, Max: setting.Max, Required: setting.Required, Secret: setting.Secret,
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
	for _, setting := range s.Settings {
		value := l.Values.Text(setting.Name)
		if setting.Secret && value != "" {
			value = redacted
		}
		rows = append(rows, valueJSON{Name: setting.Name, Value: value, Unit: setting.Unit.String(), Source: l.Values.Source(setting.Name)})
	}
	return rows
}
