package reviewer

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

const (
	program = "platformnode"
	// startTimeout is how long an entry and a sidecar may take to get ready, like that of the stand-ins.
	startTimeout  = 20 * time.Second
	probeInterval = 50 * time.Millisecond
	settingsName  = "settings"
	outputName    = "output"
	readySetting  = "READY_ADDRESS"
	roleEntry     = "entry"
	roleSidecar   = "sidecar"
	// wrapper keeps the settings and the output of the first process of each role in a directory, %[1]s, and runs the program, %[2]s.
	// Further processes of a role do nothing until they are killed.
	wrapper = `#!/bin/sh
mkdir '%[1]s'/$1 2>/dev/null || exec sleep 60
cp "$CROCUSLB_CONFIG" '%[1]s'/$1/new && mv '%[1]s'/$1/new '%[1]s'/$1/%[3]s
exec '%[2]s' "$@" >'%[1]s'/$1/%[4]s 2>&1
`
)

var (
	roles          = []string{roleEntry, roleSidecar}
	standInPattern = regexp.MustCompile(`(?m)^exec (target/\S+)`)
	fieldPattern   = regexp.MustCompile(`^(\w+)=.*(\{\{.+\}\})`)
)

// StandIn is a program that plays review cases.
type StandIn struct {
	Path string // below the repository
	Case Case   // one that it plays
}

// StandIns returns the programs that the scripts of the cases start, each with the first of its cases.
func StandIns(root string, cases []Case) (list []StandIn, err error) {
	for _, c := range cases {
		script, err := os.ReadFile(filepath.Join(root, reviewDir, c.Name, scriptName)) //nolint:gosec // a file of the repository
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		found := standInPattern.FindSubmatch(script)
		if found == nil {
			return nil, trace.BadParameter("the script of case %s starts no program in target", c.Name)
		}
		path := string(found[1])
		if !slices.ContainsFunc(list, func(s StandIn) bool { return s.Path == path }) {
			list = append(list, StandIn{Path: path, Case: c})
		}
	}
	return list, nil
}

// Probe checks that a stand-in fills in all fields of the settings templates, and that one entry and one sidecar get ready with them.
// All other processes that the stand-in starts do nothing.
func (s *StandIn) Probe(ctx context.Context, root string) error {
	dir, err := newCopy(root)
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // files left over in the temporary directory do no harm
	if err := wrapProgram(dir); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var output bytes.Buffer
	command := newCommand(ctx, dir, filepath.Join(reviewDir, s.Case.Name, scriptName), &output)
	if err := command.Start(); err != nil {
		return trace.Wrap(err)
	}
	ready := s.awaitReady(ctx, dir)
	cancel()
	_ = command.Wait() // it is stopped before the end of its case
	if ready != nil {
		return trace.Wrap(ready, "%s: %s", s.Path, strings.TrimSpace(output.String()))
	}
	return nil
}

// wrapProgram puts the wrapper in the place of the project's program in a copy.
func wrapProgram(dir string) error {
	target := filepath.Join(dir, targetDir)
	built, err := os.Readlink(target)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := os.Remove(target); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := os.Mkdir(target, 0o700); err != nil {
		return trace.ConvertSystemError(err)
	}
	entries, err := os.ReadDir(built)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	for _, e := range entries {
		if e.Name() == program {
			continue
		}
		if err := os.Symlink(filepath.Join(built, e.Name()), filepath.Join(target, e.Name())); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	script := fmt.Sprintf(wrapper, dir, filepath.Join(built, program), settingsName, outputName)
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(target, program), []byte(script), 0o700)) //nolint:gosec // it has to be run
}

// awaitReady returns once an entry with one sidecar is ready.
func (s *StandIn) awaitReady(ctx context.Context, dir string) error {
	settings := map[string]string{} // by role
	for _, role := range roles {
		text, err := awaitFile(ctx, filepath.Join(dir, role, settingsName))
		if err != nil {
			return trace.Wrap(err, "no %s was started", role)
		}
		if err := checkFields(dir, role, text); err != nil {
			return err
		}
		settings[role] = text
	}
	address := settingOf(settings[roleEntry], readySetting)
	for {
		if isReady(ctx, address) {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("no entry is ready with a sidecar; they printed %s", outputsOf(dir))
		case <-time.After(probeInterval):
		}
	}
}

// awaitFile returns the content of a file that a process is going to write.
func awaitFile(ctx context.Context, path string) (string, error) {
	for {
		text, err := os.ReadFile(path) //nolint:gosec // in the copy
		if err == nil {
			return string(text), nil
		}
		select {
		case <-ctx.Done():
			return "", trace.ConvertSystemError(err)
		case <-time.After(probeInterval):
		}
	}
}

// checkFields compares settings with their template, and names the first field that is not filled in.
func checkFields(dir, role, settings string) error {
	path := filepath.Join(deployDir, role+".env")
	template, err := os.ReadFile(filepath.Join(dir, path)) //nolint:gosec // in the copy
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	for line := range strings.Lines(string(template)) {
		found := fieldPattern.FindStringSubmatch(line)
		if found == nil {
			continue
		}
		if value := settingOf(settings, found[1]); value == "" || strings.Contains(value, "{{") {
			return trace.BadParameter("the stand-in does not fill in %s (%s in %s)", found[2], found[1], path)
		}
	}
	return nil
}

// settingOf returns the value of a setting in a settings file, or "".
func settingOf(settings, name string) string {
	for line := range strings.Lines(settings) {
		if value, ok := strings.CutPrefix(line, name+"="); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

func isReady(ctx context.Context, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // the status is all that counts
	return response.StatusCode == http.StatusOK
}

// outputsOf returns the end of what the entry and the sidecar have printed.
func outputsOf(dir string) string {
	const limit = 500
	var all []string
	for _, role := range roles {
		text, _ := os.ReadFile(filepath.Join(dir, role, outputName)) //nolint:gosec // in the copy; empty if there is none
		all = append(all, role+": "+string(text[max(0, len(text)-limit):]))
	}
	return strings.Join(all, "; ")
}
