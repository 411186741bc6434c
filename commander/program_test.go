package commander

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/configurer"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/server"
)

const operatorToken = "0123456789abcdef"

// runProgram runs the program with the arguments in args, separated by spaces. FILE is replaced by the name of a file
// with the given input, which is also the standard input.
func runProgram(t *testing.T, args string, environ []string, input string) (status int, stdout, stderr string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "input.json")
	if err := os.WriteFile(file, []byte(input), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	p := Program{
		Args: strings.Fields(strings.ReplaceAll(args, "FILE", file)), Environ: environ,
		Stdin: strings.NewReader(input), Stdout: &out, Stderr: &errs,
	}
	status = p.Run(context.Background())
	return status, out.String(), errs.String()
}

// TestExitStatus guards against wrong exit statuses, on which scripts depend: 2 must mean that nothing was started.
func TestExitStatus(t *testing.T) {
	tests := []struct {
		args     string
		environ  []string
		status   int
		contains string
	}{
		{"", nil, 2, "usage"},
		{"-help", nil, 0, "subcommand"},
		{"nothing", nil, 2, `no subcommand "nothing"`},
		{"job", nil, 2, "job submit"},
		{"job -help", nil, 0, "job submit"},
		{"entry -help", nil, 0, "ms"},
		{"entry", nil, 2, "-logUrl"},
		{"entry -logUrl http://127.0.0.1:1 extra", nil, 2, "arguments"},
		{"entry -logUrl http://127.0.0.1:1 -httpAddress 0.0.0.0:0", nil, 2, "-httpAddress"},
		{"entry -logUrl http://127.0.0.1:1 -address 0.0.0.0:0 -secret 0123456789abcdef0123456789abcdef -token 0123456789abcdef", nil, 2, "-advertise"},
		{"entry -logUrl http://127.0.0.1:1 -burnShortMs 2h", nil, 2, "-burnShortMs"},
		{"entry -secret short", nil, 2, "at least 32"},
		{"sidecar", nil, 2, "4 findings"},
		{"sidecar -domain a -worker w -backendUrl http://127.0.0.1:1 -entries 10.0.0.1:1", nil, 2, "-entries"},
		{"entry -logUrl http://127.0.0.1:1 -memberAddress 10.0.0.1:1", nil, 2, "-memberAddress: an address beyond loopback"},
		{"sidecar -memberAddress 0.0.0.0:1", nil, 2, "single interface"},
		{"sidecar -memberAddress 127.0.0.1:1 -memberSeeds 127.0.0.1:2,10.0.0.1:1", nil, 2, "-memberSeeds: 10.0.0.1:1"},
		{"sidecar -memberSeeds 127.0.0.1:2", nil, 2, "needs -memberAddress"},
		{"status", []string{"CROCUSLB_NOTHING=1"}, 2, "CROCUSLB_NOTHING"},
		{"status -timeoutMs 0", nil, 2, "-timeoutMs"},
		{"job get", nil, 2, "usage: crocuslb job get KEY"},
		{"domain withdraw", nil, 2, "arguments"},
		{"settings list", nil, 0, "CROCUSLB_LOG_URL"},
		{"settings list -json entry", nil, 0, `"name": "logUrl"`},
		{"settings list nothing", nil, 2, "no subcommand"},
		{"settings check", nil, 2, "usage"},
		{"settings check entry", nil, 2, "-logUrl"},
		{"settings check -json entry -logUrl http://127.0.0.1:1", nil, 0, `"valid": true`},
		{"version", nil, 0, "crocuslb"},
		{"version -json", nil, 0, `"version"`},
	}
	for _, tc := range tests {
		t.Run(tc.args, func(t *testing.T) {
			status, stdout, stderr := runProgram(t, tc.args, tc.environ, "")
			if status != tc.status || !strings.Contains(stdout+stderr, tc.contains) {
				t.Errorf("got %d\n%s%s\nwant %d with %q", status, stdout, stderr, tc.status, tc.contains)
			}
		})
	}
}

// TestSettingDeclarations guards against invalid declarations of settings, and against a setting that has different units
// in different subcommands.
func TestSettingDeclarations(t *testing.T) {
	units := map[string]string{}
	for _, c := range commands() {
		if found := c.settingSet().CheckDeclarations(); len(found) > 0 {
			t.Errorf("%s: got %v", c.name, found)
		}
		for _, s := range c.settings {
			if u := s.Unit.String(); units[s.Name] == "" {
				units[s.Name] = u
			} else if units[s.Name] != u {
				t.Errorf("%s: got unit %s for -%s, want %s", c.name, u, s.Name, units[s.Name])
			}
		}
		if c.name == "settings check" {
			continue
		}
		if status, stdout, _ := runProgram(t, c.name+" -help", nil, ""); status != 0 || !strings.Contains(stdout, "default") {
			t.Errorf("%s -help: got %d %s", c.name, status, stdout)
		}
	}
}

func TestClientSubcommands(t *testing.T) {
	complete := encoder.Answer{State: encoder.JobComplete, Results: []encoder.TaskResult{{Body: []byte("done")}}}
	s := &server.Server{
		Token:  operatorToken,
		Submit: func(context.Context, encoder.Job) encoder.Answer { return complete },
		Get:    func(context.Context, string) encoder.Answer { return encoder.Answer{State: encoder.JobRunning} },
		Cancel: func(context.Context, string) encoder.Answer {
			return encoder.Answer{State: encoder.JobFailed, Code: encoder.CodeNotFound, Outcome: encoder.OutcomeNotRun, Reason: "unheard of"}
		},
		Publish: func(_ context.Context, n configurer.Note, dryRun bool) (server.Publication, error) {
			return server.Publication{
				DryRun: dryRun, Accepted: !dryRun, Offset: 7,
				Differences: []server.Difference{{Key: n.Added[0].Key, After: n.Added[0].Value}},
			}, nil
		},
		History: func(context.Context, int) ([]server.HistoryRecord, error) {
			return []server.HistoryRecord{{Offset: 3, Refused: "newer", Note: configurer.Note{ID: "n", Withdrawn: []string{"domain/a"}}}}, nil
		},
		Withdraw: func(_ context.Context, domain, _ string) (server.Publication, error) {
			return server.Publication{Provisional: true, Domain: domain}, nil
		},
		Return: func(context.Context, string, string) (server.Publication, error) {
			return server.Publication{}, trace.CompareFailed("the log is down")
		},
		Status: func(context.Context) (server.State, error) {
			return server.State{ID: "e1", Domains: []server.DomainState{{Name: "north"}}}, nil
		},
		Burn: func(w io.Writer, format string) error {
			_, err := io.WriteString(w, "burn as "+format)
			return err
		},
	}
	h, err := s.Handler()
	if err != nil {
		t.Fatal(err)
	}
	httpServer := httptest.NewServer(h)
	defer httpServer.Close()
	environ := []string{"CROCUSLB_ENTRY_URL=" + httpServer.URL, "CROCUSLB_TOKEN=" + operatorToken}
	job, note := `{"tasks":[{"kind":"k"}]}`, `{"id":"n","added":[{"key":"domain/a","value":"out"}]}`
	tests := []struct {
		args, input string
		status      int
		contains    string
	}{
		{"job submit FILE", job, 0, "0: done"},
		{"job submit -json -key a", job, 0, `"key":"a"`},
		{"job submit", `{"tasks":[{}]}`, 2, "tasks[0].kind"},
		{"job submit nowhere.json", "", 1, "nowhere.json"},
		{"job get a", "", 0, "running"},
		{"job cancel a", "", 1, "unheard of"},
		{"note publish -dryRun FILE", note, 0, "+ domain/a = out\ndry run"},
		{"note publish", note, 0, "offset 7"},
		{"note publish", `{"x":1}`, 2, "x"},
		{"note history", "", 0, "refused: newer"},
		{"domain withdraw north", "", 0, "not yet recorded"},
		{"domain withdraw north", "", 0, "is the name right"},
		{"domain return north -json", "", 1, `"outcome":"notRun"`},
		{"domain return north", "", 1, "the log is down"},
		{"status", "", 0, "failure domain  north"},
		{"status -token 0123456789abcdeX", "", 1, "401"},
		{"burn", "", 0, "burn as text"},
		{"burn -json", "", 0, "burn as json"},
		{"status -entryUrl http://127.0.0.1:1", "", 1, "failed"},
	}
	for _, tc := range tests {
		t.Run(tc.args, func(t *testing.T) {
			status, stdout, stderr := runProgram(t, tc.args, environ, tc.input)
			if status != tc.status || !strings.Contains(stdout+stderr, tc.contains) {
				t.Errorf("got %d\n%s%s\nwant %d with %q", status, stdout, stderr, tc.status, tc.contains)
			}
		})
	}
}
