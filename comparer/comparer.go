// Package comparer compares the worth of days as the users' bench prints it with the best figures so far, for regression
// runs.
package comparer

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Tolerance is the difference of a day's worth that is noise.
const Tolerance = 0.03

type (
	// Scores is the worth of each day of a site, by name.
	Scores struct {
		Site   string
		Days   map[string]float64
		Passed bool // the site's gate
	}

	// Best has the best worth of each day so far, by site and day.
	Best map[string]map[string]float64
)

const (
	headLine   = "score on the standard days of "
	passedLine = "GATE passed"
	drawnDay   = "fresh-" // drawn anew in each score, so there is nothing to compare it with
	// Positions of the columns of a day's line: name, machines, score, worth.
	dayColumn, machinesColumn, worthColumn = 0, 1, 3
)

// ReadScores reads what a score of one site printed.
func ReadScores(r io.Reader) (s Scores, err error) {
	s.Days = map[string]float64{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		text := lines.Text()
		if site, ok := strings.CutPrefix(text, headLine); ok {
			s.Site, _, _ = strings.Cut(site, " ")
		}
		s.Passed = s.Passed || strings.HasPrefix(text, passedLine)
		if day, worth, ok := parseDay(text); ok {
			s.Days[day] = worth
		}
	}
	if err := lines.Err(); err != nil {
		return s, trace.Wrap(err)
	}
	if s.Site == "" || len(s.Days) == 0 {
		return s, trace.BadParameter("the input has no score: want a line %q and a line for each day", headLine+"SITE")
	}
	return s, nil
}

func parseDay(text string) (day string, worth float64, ok bool) {
	columns := strings.Fields(text)
	if len(columns) <= worthColumn || !strings.Contains(columns[machinesColumn], "/") {
		return "", 0, false
	}
	worth, err := strconv.ParseFloat(columns[worthColumn], 64)
	return columns[dayColumn], worth, err == nil && !strings.HasPrefix(columns[dayColumn], drawnDay)
}

// ReadBest reads lines of a site, a day and its best worth. Empty lines and those that begin with # are left out.
func ReadBest(r io.Reader) (Best, error) {
	b := Best{}
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		columns := strings.Fields(text)
		if len(columns) != 3 {
			return nil, trace.BadParameter("line %d: got %q, want a site, a day and its worth", n, text)
		}
		worth, err := strconv.ParseFloat(columns[2], 64)
		if err != nil {
			return nil, trace.BadParameter("line %d: worth %q is no number", n, columns[2])
		}
		if b[columns[0]] == nil {
			b[columns[0]] = map[string]float64{}
		}
		b[columns[0]][columns[1]] = worth
	}
	return b, trace.Wrap(lines.Err())
}

// Compare returns what is worse than the best so far by more than Tolerance, one text a finding. Days that are missing in
// the scores are findings, too.
func (b Best) Compare(s Scores) (findings []string) {
	if !s.Passed {
		findings = append(findings, fmt.Sprintf("%s: the gate is not passed", s.Site))
	}
	best := b[s.Site]
	if best == nil {
		return append(findings, fmt.Sprintf("%s: there are no figures to compare with", s.Site))
	}
	var days []string
	for day := range best {
		days = append(days, day)
	}
	slices.Sort(days)
	for _, day := range days {
		worth, ok := s.Days[day]
		switch {
		case !ok:
			findings = append(findings, fmt.Sprintf("%s %s: not played", s.Site, day))
		case worth < best[day]-Tolerance:
			findings = append(findings, fmt.Sprintf("%s %s: worth %.3f, best so far %.3f", s.Site, day, worth, best[day]))
		}
	}
	return findings
}
