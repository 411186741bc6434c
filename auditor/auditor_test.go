package auditor

import (
	"strings"
	"testing"
)

// TestCauses guards against lost jobs that are counted under a wrong cause or not counted.
func TestCauses(t *testing.T) {
	cases := []struct {
		name  string
		lines []string
		want  string // cause; empty when the job completed in time
	}{
		{"done", []string{`entry: answer","detail":"done ","tookMs":100,"expectedMs":150`}, ""},
		{"done after a repeated request", []string{`entry: answer","detail":"gaveUp deadline passed"`, `entry: answer","detail":"done "`}, ""},
		{"late", []string{`entry: answer","detail":"done ","tookMs":200,"expectedMs":150`}, "late by its estimated run time: the job waited for room or ran longer than estimated"},
		{"late after a stall", []string{`entry: requeue","detail":"stalled no progress"`, `entry: answer","detail":"done ","tookMs":200,"expectedMs":150`},
			"late by its estimated run time: a task stood still on its worker"},
		{"refused", []string{`entry: answer","detail":"notRun no room in time"`}, "refused: no room within the caller's patience"},
		{"refused before it was parsed", []string{`entry: refuse","detail":"callers no configuration yet"`}, "refused: the entry had no configuration"},
		{"deadline", []string{`entry: grant","detail":""`, `entry: answer","detail":"gaveUp deadline passed"`}, "deadline passed"},
		{"deadline after a lost sidecar", []string{`entry: requeue","detail":"lost sidecar was lost"`, `entry: answer","detail":"gaveUp deadline passed"`},
			"deadline passed, after a sidecar was lost with a task"},
		{"caller left", []string{`entry: answer","detail":"gaveUp caller left"`}, "the caller left"},
		{"failed", []string{`entry: answer","detail":"failed a task failed as often as its queue allows"`}, "failed: a task failed as often as allowed"},
		{"no answer", []string{`entry: grant","detail":""`}, "no answer: the entry was lost with the job"},
		{"kept job", []string{`entry: unanswered","detail":"notRun the job has no owner at present"`}, "refused: a kept job's partition had no owner"},
	}
	for _, c := range cases {
		var text strings.Builder
		for _, l := range c.lines {
			text.WriteString(`  12.5 front-1 {"time":"x","job":"/q/00000000000000aa","queue":"q","message":"` + l + "}\n")
		}
		text.WriteString("no log line\n{\"message\":\"entry: started\"}\n{broken\n")
		var a Auditor
		if err := a.Read(strings.NewReader(text.String())); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		r := a.Report()
		got := ""
		if len(r.Losses) > 0 {
			got = r.Losses[0].Cause
		}
		if got != c.want || r.Jobs != 1 || (r.Done == 1) != (c.want == "") {
			t.Errorf("%s: got cause %q of %d jobs, want %q of one", c.name, got, r.Jobs, c.want)
		}
	}
}

// TestReport guards against a wrong order of causes: the report must list the most frequent cause first.
func TestReport(t *testing.T) {
	var a Auditor
	lines := `{"message":"entry: answer","job":"a","queue":"q","detail":"notRun queue is too long"}
{"message":"entry: answer","job":"b","queue":"q","detail":"notRun no room in time"}
{"message":"entry: answer","job":"c","queue":"q","detail":"notRun no room in time"}
{"message":"sidecar: end","job":"d"}
{"message":"entry: answer","job":"e","queue":"q","detail":"done ","tookMs":9,"expectedMs":8}
{"message":"entry: answer","job":"f","queue":"q","detail":"done ","tookMs":9,"expectedMs":8}
{"message":"entry: answer","job":"g","queue":"q","detail":"done ","tookMs":9,"expectedMs":8}
`
	if err := a.Read(strings.NewReader(lines)); err != nil {
		t.Fatal(err)
	}
	want := `6 jobs in 7 lines, 0 done in time

| jobs | cause | possible improvement | first job |
|---|---|---|---|
| 2 | refused: no room within the caller's patience | capacity; the order of the queue | b |
| 1 | refused on arrival: the queue was too long | capacity; the order of the queue | a |
| 3 | late by its estimated run time: the job waited for room or ran longer than estimated | capacity; the order of the queue | e |
`
	if got := a.Report().String(); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if err := a.Read(strings.NewReader(strings.Repeat("x", maxLine+1))); err == nil {
		t.Error("got no error for a line over the limit, want one")
	}
}
