// Package reviewer builds the stand-ins of the review cases and plays the cases, which are scripts that start the project's programs.
package reviewer

import (
	"bufio"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

const (
	reviewDir  = "review"
	deployDir  = "deploy"
	targetDir  = "target"
	scriptName = "run.sh"
	claimName  = "claim.txt"
	recordName = "record.txt" // written by the script
	rulePrefix = "rule:"
)

// Case is a review case.
type Case struct {
	Name string // its directory below review/
	Rule string // that it says is broken
}

// Cases returns the cases of a repository, ordered by number.
func Cases(root string) ([]Case, error) {
	scripts, err := filepath.Glob(filepath.Join(root, reviewDir, "*", scriptName))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(scripts) == 0 {
		return nil, trace.NotFound("no %s below %s", scriptName, reviewDir)
	}
	var cases []Case
	for _, script := range scripts {
		dir := filepath.Dir(script)
		rule, err := readRule(filepath.Join(dir, claimName))
		if err != nil {
			return nil, err
		}
		cases = append(cases, Case{Name: filepath.Base(dir), Rule: rule})
	}
	slices.SortFunc(cases, func(a, b Case) int {
		x, _ := strconv.Atoi(a.Name) // a name that is no number comes first
		y, _ := strconv.Atoi(b.Name)
		return x - y
	})
	return cases, nil
}

// Select returns the cases with the given names. Without names it returns all of them.
func Select(cases []Case, names []string) ([]Case, error) {
	if len(names) == 0 {
		return cases, nil
	}
	var selected []Case
	for _, name := range names {
		i := slices.IndexFunc(cases, func(c Case) bool { return c.Name == name })
		if i < 0 {
			return nil, trace.NotFound("no review case has the name %q", name)
		}
		selected = append(selected, cases[i])
	}
	return selected, nil
}

// readRule returns the rule that a claim names in a line of its own.
func readRule(path string) (string, error) {
	f, err := os.Open(path) //nolint:gosec // a file of the repository
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }() // it was only read
	for s := bufio.NewScanner(f); s.Scan(); {
		if rule, ok := strings.CutPrefix(s.Text(), rulePrefix); ok {
			return strings.TrimSpace(rule), nil
		}
	}
	return "", trace.BadParameter("%s has no line %q", filepath.Base(path), rulePrefix)
}
