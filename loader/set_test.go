package loader

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

var sample = Set{
	Settings: []Setting{
		{Name: "drainMs", Unit: UnitMillis, Default: "30000", Min: 0, Max: 60_000, Description: "drain"},
		{Name: "slots", Unit: UnitCount, Default: "8", Min: 1, Max: 64, Description: "slots"},
		{Name: "target", Unit: UnitShare, Default: "0.99", Description: "target"},
		{Name: "ratio", Unit: UnitRatio, Default: "1.1", Description: "ratio"},
		{Name: "address", Unit: UnitAddress, Default: "127.0.0.1:1", Description: "address"},
		{Name: "entries", Unit: UnitAddresses, Description: "entries"},
		{Name: "logUrl", Unit: UnitURL, Required: true, Default: "http://127.0.0.1:2", Description: "log"},
		{Name: "kinds", Unit: UnitList, Description: "kinds"},
		{Name: "json", Unit: UnitBool, Default: "false", Description: "json"},
		{Name: "secret", Secret: true, Description: "secret"},
	},
	OtherSettings: []Setting{{Name: "elsewhere", Description: "of another subcommand"}},
	Rules: []Rule{{Names: []string{"slots", "drainMs"}, Check: func(v Values) []Finding {
		if v.Count("slots") == 64 && v.Millis("drainMs") == 0 {
			return []Finding{{Location: "-slots", Reason: "needs -drainMs"}}
		}
		return nil
	}}},
}

// TestLoadFindings guards against missed findings, which let a process start with settings that the operator did not
// intend.
func TestLoadFindings(t *testing.T) {
	tests := []struct {
		name    string
		args    string
		environ []string
		want    []string // places, in order
	}{
		{name: "valid defaults"},
		{name: "unknown flag", args: "-slot 5", want: []string{"-slot"}},
		{name: "unknown flag with =", args: "-slot=5 -slots 0", want: []string{"-slot", "-slots"}},
		{name: "unknown variable", environ: []string{"CROCUSLB_SLOT=5", "OTHER=1"}, want: []string{"CROCUSLB_SLOT"}},
		{name: "variable of another subcommand", environ: []string{"CROCUSLB_ELSEWHERE=5"}},
		{name: "invalid variable", environ: []string{"CROCUSLB_SLOTS=x"}, want: []string{"CROCUSLB_SLOTS"}},
		{name: "flag overrides invalid variable", args: "-slots 5", environ: []string{"CROCUSLB_SLOTS=x"}},
		{name: "wrong unit", args: "-drainMs 5kg", want: []string{"-drainMs"}},
		{name: "duration is not a number", args: "-drainMs ms", want: []string{"-drainMs"}},
		{name: "negative duration", args: "-drainMs=-5", want: []string{"-drainMs"}},
		{name: "duration out of range", args: "-drainMs 2m", want: []string{"-drainMs"}},
		{name: "count with unit", args: "-slots 5ms", want: []string{"-slots"}},
		{name: "count out of range", args: "-slots 65", want: []string{"-slots"}},
		{name: "count overflows", args: "-slots 99999999999999999999", want: []string{"-slots"}},
		{name: "share over one", args: "-target 1.1", want: []string{"-target"}},
		{name: "share is NaN", args: "-target NaN", want: []string{"-target"}},
		{name: "ratio is infinite", args: "-ratio Inf", want: []string{"-ratio"}},
		{name: "host name", args: "-address localhost:1", want: []string{"-address"}},
		{name: "port out of range", args: "-address 127.0.0.1:70000", want: []string{"-address"}},
		{name: "address listed twice", args: "-entries 127.0.0.1:1,127.0.0.1:1", want: []string{"-entries"}},
		{name: "empty address in list", args: "-entries 127.0.0.1:1,", want: []string{"-entries"}},
		{name: "URL with password", args: "-logUrl http://a:b@127.0.0.1", want: []string{"-logUrl"}},
		{name: "URL of another scheme", args: "-logUrl ftp://127.0.0.1", want: []string{"-logUrl"}},
		{name: "required but empty", args: "-logUrl=", want: []string{"-logUrl"}},
		{name: "word listed twice", args: "-kinds a,a", want: []string{"-kinds"}},
		{name: "switch with another word", args: "-json=maybe", want: []string{"-json"}},
		{name: "missing value", args: "-slots", want: []string{"-slots"}},
		{name: "given twice", args: "-slots 5 -slots 6", want: []string{"-slots"}},
		{name: "not a flag", args: "-=5", want: []string{"-"}},
		{name: "rule", args: "-slots 64 -drainMs 0", want: []string{"-slots"}},
		{name: "rule is skipped for an invalid value", args: "-slots 64 -drainMs 0kg", want: []string{"-drainMs"}},
		{
			name: "several findings", args: "-nothing -slots 0 word -target 2", environ: []string{"CROCUSLB_X=1", "CROCUSLB_RATIO=y"},
			want: []string{"-nothing", "CROCUSLB_X", "-slots", "-target", "CROCUSLB_RATIO"},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			for _, f := range sample.Load(strings.Fields(tc.args), tc.environ).Findings {
				got = append(got, f.Location)
			}
			if strings.Join(got, " ") != strings.Join(tc.want, " ") {
				t.Errorf("got findings at %q, want %q", got, tc.want)
			}
		})
	}
}

func TestLoadValues(t *testing.T) {
	l := sample.Load([]string{"first", "-json", "-drainMs", "1.5s", "-kinds", "a, b", "second", "--", "-third"},
		[]string{"CROCUSLB_SLOTS=9", "CROCUSLB_DRAIN_MS=7"})
	if len(l.Findings) > 0 {
		t.Fatalf("got findings %v, want none", l.Findings)
	}
	v := l.Values
	if got, want := strings.Join(l.Args, " "), "first second -third"; got != want {
		t.Errorf("got arguments %q, want %q", got, want)
	}
	if v.Millis("drainMs") != 1500*timer.Millis(1) || v.Count("slots") != 9 || !v.Bool("json") || len(v.List("kinds")) != 2 {
		t.Errorf("got %v, want drainMs 1500, slots 9, json true and two kinds", v.values)
	}
	for name, want := range map[string]string{"drainMs": "-drainMs", "slots": "CROCUSLB_SLOTS", "target": "default"} {
		if got := v.Source(name); got != want {
			t.Errorf("source of %s: got %q, want %q", name, got, want)
		}
	}
}

// TestDeclared guards against two settings with the same name, one of which could not be set.
func TestDeclared(t *testing.T) {
	tests := []struct {
		name     string
		settings []Setting
		want     int
	}{
		{"valid", []Setting{{Name: "aB", Description: "m"}}, 0},
		{"duplicate", []Setting{{Name: "aB", Description: "m"}, {Name: "aB", Description: "m"}}, 1},
		{"not camelCase", []Setting{{Name: "a-b", Description: "m"}}, 1},
		{"no description", []Setting{{Name: "a"}}, 1},
	}
	for _, tc := range tests {
		if got := (Set{Settings: tc.settings}).Load(nil, nil).Findings; len(got) != tc.want {
			t.Errorf("%s: got %v, want %d findings", tc.name, got, tc.want)
		}
	}
}

// TestSecretsAreHidden guards against secrets in reports, which end up in files and tickets.
func TestSecretsAreHidden(t *testing.T) {
	const value = "do-not-print-this"
	l := sample.Load([]string{"-secret", value}, nil)
	body, err := sample.CheckJSON(l)
	if err != nil || !json.Valid(body) {
		t.Fatalf("got %s, %v, want valid JSON", body, err)
	}
	if text := sample.CheckText(l) + string(body) + sample.Text(); strings.Contains(text, value) {
		t.Errorf("got a report with the secret: %s", text)
	}
}
