package reviewer

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// writeTree writes files, of which scripts can be run, into a directory.
func writeTree(t *testing.T, files map[string]string) (root string) {
	t.Helper()
	root = t.TempDir()
	for name, text := range files {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	return root
}

// repository returns the root of this repository, with all programs built.
func repository(t *testing.T) string {
	t.Helper()
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	if err := Build(t.Context(), root); err != nil {
		t.Fatal(err)
	}
	return root
}

// TestRun guards against a case that counts as held although it was broken, could not run or did not end, and against a script that
// plays without its disruption where it should have one.
func TestRun(t *testing.T) {
	script := func(text string) string { return "#!/bin/sh\n" + text + "\n" }
	claim := "rule: TWICE\n"
	root := writeTree(t, map[string]string{
		"deploy/entry.env": "", "target/platformnode": "",
		"review/1/run.sh": script("echo held"), "review/1/claim.txt": claim,
		"review/2/run.sh": script("echo broken; echo why > review/2/record.txt; exit $TROUBLE"), "review/2/claim.txt": claim,
		"review/10/run.sh": script("exit 2"), "review/10/claim.txt": claim,
		"review/11/run.sh": script("kill -9 $$"), "review/11/claim.txt": claim,
	})
	cases, err := Cases(root)
	if err != nil {
		t.Fatal(err)
	}
	want := []struct {
		name    string
		trouble bool
		exit    int
		record  string
	}{{"1", true, 0, ""}, {"1", false, 0, ""}, {"2", true, 1, "why\n"}, {"2", false, 0, ""}, {"10", true, 2, ""}, {"10", false, 2, ""}, {"11", true, -1, ""}, {"11", false, -1, ""}}
	results := Run(t.Context(), root, Plays(cases, []bool{true, false}, 1), 3, func(Result) {})
	if len(results) != len(want) {
		t.Fatalf("got %d results, want %d", len(results), len(want))
	}
	for i, r := range results {
		if r.Play.Case.Name != want[i].name || r.Play.Trouble != want[i].trouble || r.Exit != want[i].exit || r.Record != want[i].record {
			t.Errorf("got %+v, want %+v", r, want[i])
		}
	}
	var table strings.Builder
	if failed, err := WriteTable(&table, results); failed != 5 || err != nil {
		t.Errorf("got %d failed, %v, want 5; table: %s", failed, err, table.String())
	}
	if left, _ := filepath.Glob(filepath.Join(root, reviewDir, "*", recordName)); len(left) > 0 {
		t.Errorf("got files %v in the repository, want none", left)
	}
}

// TestRunCancelled guards against a script that goes on after the command was interrupted.
func TestRunCancelled(t *testing.T) {
	root := writeTree(t, map[string]string{
		"deploy/entry.env": "", "target/platformnode": "", "review/1/run.sh": "#!/bin/sh\nexec sleep 60\n", "review/1/claim.txt": "rule: LOST\n",
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	started := time.Now()
	results := Run(ctx, root, []Play{{Case: Case{Name: "1"}}}, 1, func(Result) {})
	if length := time.Since(started); results[0].Held() || length > stopTimeout {
		t.Errorf("got exit %d after %s, want a script that is ended at once", results[0].Exit, length)
	}
}

// TestCases guards against cases that are left out, or played without a word on what they claim.
func TestCases(t *testing.T) {
	cases := []struct {
		name  string
		files map[string]string
		err   string
	}{
		{"no cases", map[string]string{"review/REPORT.md": ""}, "no run.sh"},
		{"no claim", map[string]string{"review/1/run.sh": ""}, "no such file"},
		{"no rule", map[string]string{"review/1/run.sh": "", "review/1/claim.txt": "site: a\n"}, "no line"},
	}
	for _, c := range cases {
		if _, err := Cases(writeTree(t, c.files)); err == nil || !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: got error %v, want one with %q", c.name, err, c.err)
		}
	}
	if _, err := Select([]Case{{Name: "1"}}, []string{"7"}); err == nil {
		t.Error("got no error for a case that does not exist, want one")
	}
}

// TestStandIns guards against review cases that cannot be played any more because the templates of the deploy file, or the programs, have
// changed since: each stand-in is built, and starts an entry and a sidecar.
func TestStandIns(t *testing.T) {
	root := repository(t)
	cases, err := Cases(root)
	if err != nil {
		t.Fatal(err)
	}
	standIns, err := StandIns(root, cases)
	if err != nil {
		t.Fatal(err)
	}
	if len(standIns) != 3 {
		t.Errorf("got stand-ins %+v, want those of three reviews", standIns)
	}
	for _, s := range standIns {
		t.Run(s.Path, func(t *testing.T) {
			t.Parallel()
			if err := s.Probe(t.Context(), root); err != nil {
				t.Error(err)
			}
		})
		t.Run(s.Path+" with a new field", func(t *testing.T) {
			t.Parallel()
			changed, err := newCopy(root)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = os.RemoveAll(changed) })
			template := filepath.Join(changed, deployDir, "sidecar.env")
			text, err := os.ReadFile(template)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(template, append(text, "NEW={{Limits.New}}\n"...), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := s.Probe(t.Context(), changed); err == nil || !strings.Contains(err.Error(), "{{Limits.New}}") {
				t.Errorf("got error %v, want one that names {{Limits.New}}", err)
			}
		})
	}
}
