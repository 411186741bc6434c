// Package comparer compares scores printed by the users' benchmark with the best scores so far, to detect regressions.
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

// Tolerance is the largest decrease of a day's worth that counts as noise.
const Tolerance = 0.03

type (
	// Scores holds the worth of each day of a site by the day's name.
	Scores struct {
		Site   string
		Days   map[string]float64
		Passed bool // whether the site passed the gate
	}

	// Best holds the best worth so far by site and day.
	Best map[string]map[string]float64
)

const (
	scorePrefix      = "score on the standard days of "
	gatePassedPrefix = "GATE passed"
	randomDayPrefix  = "fresh-" // generated anew for each score, so there is no earlier figure to compare with
	// Column positions in the line of a day. The columns are name, machines, score and worth.
	dayColumn, machinesColumn, worthColumn = 0, 1, 3
)

// ReadScores parses the benchmark output for one site.
func ReadScores(r io.Reader) (s Scores, err error) {
	s.Days = map[string]float64{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		text := lines.Text()
		if site, ok := strings.CutPrefix(text, scorePrefix); ok {
			s.Site, _, _ = strings.Cut(site, " ")
		}
		s.Passed = s.Passed || strings.HasPrefix(text, gatePassedPrefix)
		if day, worth, ok := parseDay(text); ok {
			s.Days[day] = worth
		}
	}
	if err := lines.Err(); err != nil {
		return s, trace.Wrap(err)
	}
	if s.Site == "" || len(s.Days) == 0 {
		return s, trace.BadParameter("the input has no score: want a line %q and a line for each day", scorePrefix+"SITE")
	}
	return s, nil
}

func parseDay(text string) (day string, worth float64, ok bool) {
	columns := strings.Fields(text)
	if len(columns) <= worthColumn || !strings.Contains(columns[machinesColumn], "/") {
		return "", 0, false
	}
	worth, err := strconv.ParseFloat(columns[worthColumn], 64)
	return columns[dayColumn], worth, err == nil && !strings.HasPrefix(columns[dayColumn], randomDayPrefix)
}

// ReadBest reads lines with a site, a day and its best worth. It skips empty lines and lines that begin with #.
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
			return nil, trace.BadParameter("line %d: worth %q is not a number", n, columns[2])
		}
		if b[columns[0]] == nil {
			b[columns[0]] = map[string]float64{}
		}
		b[columns[0]][columns[1]] = worth
	}
	return b, trace.Wrap(lines.Err())
}

// Compare returns one finding for each day whose worth is below the best by more than Tolerance or missing from the
// scores, and one if the gate was not passed.
func (b Best) Compare(s Scores) (findings []string) {
	if !s.Passed {
		findings = append(findings, fmt.Sprintf("%s: the gate was not passed", s.Site))
	}
	best := b[s.Site]
	if best == nil {
		return append(findings, fmt.Sprintf("%s: there are no best scores to compare with", s.Site))
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
			findings = append(findings, fmt.Sprintf("%s %s: missing from the scores", s.Site, day))
		case worth < best[day]-Tolerance:
			findings = append(findings, fmt.Sprintf("%s %s: worth %.3f, best so far %.3f", s.Site, day, worth, best[day]))
		}
	}
	return findings
}
