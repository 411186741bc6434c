// Package loader reads settings from flags and environment variables. Settings are declared in code and validated as a
// set: all findings are reported together, each with the flag, variable or declaration that it concerns.
package loader

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// UnitText is free text.
	UnitText Unit = iota
	// UnitMillis is a duration: a number with the suffix ms, s, m or h, or in milliseconds without a suffix.
	UnitMillis
	// UnitCount is an integer.
	UnitCount
	// UnitMegabytes is an integer number of megabytes (1,000,000 bytes).
	UnitMegabytes
	// UnitShare is a number from 0 to 1.
	UnitShare
	// UnitRatio is a number of at least 0.
	UnitRatio
	// UnitAddress is an IP address and port. Host names are not accepted.
	UnitAddress
	// UnitAddresses is a comma-separated list of addresses.
	UnitAddresses
	// UnitURL is an http or https URL.
	UnitURL
	// UnitList is a comma-separated list of words.
	UnitList
	// UnitBool is a Boolean; a flag without a value means true.
	UnitBool
)

const (
	variablePrefix = "CROCUSLB_"
	maxValueBytes  = 64 << 10
)

// templateField matches a placeholder of a settings template.
var templateField = regexp.MustCompile(`\{\{[^{}]*\}\}`)

type (
	// Unit determines how the text of a setting is parsed.
	Unit uint8

	// Setting declares a setting. Min and Max limit numbers and durations (in ms); they are ignored if both are 0.
	Setting struct {
		Name        string // name of the flag in camelCase
		Unit        Unit
		Default     string
		Description string
		Min, Max    float64
		Secret      bool // the value is never printed
		Required    bool // an empty value is a finding
		// Check validates a value that satisfies the unit and the bounds. It may be nil.
		Check func(value string) error
	}
)

// String returns the name of the unit for help texts.
func (u Unit) String() string {
	names := [...]string{"text", "ms", "count", "MB", "share 0..1", "ratio", "ip:port", "ip:port,...", "URL", "word,...", "true|false"}
	if int(u) < len(names) {
		return names[u]
	}
	return "unit " + strconv.Itoa(int(u))
}

// Variable returns the name of the environment variable that sets s: logUrl becomes CROCUSLB_LOG_URL.
func (s Setting) Variable() string {
	var b strings.Builder
	b.WriteString(variablePrefix)
	for _, r := range s.Name {
		if unicode.IsUpper(r) {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToUpper(r))
	}
	return b.String()
}

// WithDefault returns a copy of s with another default.
func (s Setting) WithDefault(value string) Setting {
	s.Default = value
	return s
}

// check returns an error if text is not a valid value of s.
func (s Setting) check(text string) error {
	if text == "" {
		if s.Required {
			return trace.BadParameter("a value is required")
		}
		if s.Unit == UnitText || s.Unit == UnitList || s.Unit == UnitAddress || s.Unit == UnitAddresses || s.Unit == UnitURL {
			return nil
		}
	}
	if len(text) > maxValueBytes || !utf8.ValidString(text) {
		return trace.BadParameter("want valid UTF-8 of at most %d bytes", maxValueBytes)
	}
	if templateField.MatchString(text) {
		return trace.BadParameter("%s is a template field that was not filled in", quoteTruncated(text))
	}
	if err := s.checkUnit(text); err != nil {
		return err
	}
	if s.Check != nil {
		return s.Check(text)
	}
	return nil
}

func (s Setting) checkUnit(text string) error {
	switch s.Unit {
	case UnitMillis:
		m, err := ParseMillis(text)
		if err != nil {
			return err
		}
		return s.checkBounds(float64(m), " ms")
	case UnitCount, UnitMegabytes:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return trace.BadParameter("%s is not an integer (unit %s)", quoteTruncated(text), s.Unit)
		}
		return s.checkBounds(float64(n), "")
	case UnitShare, UnitRatio:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 || s.Unit == UnitShare && f > 1 {
			return trace.BadParameter("%s is not a %s", quoteTruncated(text), s.Unit)
		}
		return s.checkBounds(f, "")
	case UnitAddress:
		return checkAddress(text)
	case UnitAddresses:
		seen := map[string]bool{}
		for i, a := range splitList(text) {
			if err := checkAddress(a); err != nil {
				return trace.BadParameter("item %d: %v", i+1, err)
			}
			if seen[a] {
				return trace.BadParameter("item %d: %s is listed twice", i+1, quoteTruncated(a))
			}
			seen[a] = true
		}
	case UnitURL:
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
			return trace.BadParameter("%s is not a plain http or https URL", quoteTruncated(text))
		}
	case UnitList:
		seen := map[string]bool{}
		for i, w := range splitList(text) {
			if w == "" || seen[w] {
				return trace.BadParameter("item %d: %s is empty or listed twice", i+1, quoteTruncated(w))
			}
			seen[w] = true
		}
	case UnitBool:
		if _, err := strconv.ParseBool(text); err != nil {
			return trace.BadParameter("%s is neither true nor false", quoteTruncated(text))
		}
	}
	return nil
}

func (s Setting) checkBounds(value float64, unit string) error {
	if s.Min == 0 && s.Max == 0 || value >= s.Min && value <= s.Max {
		return nil
	}
	return trace.BadParameter("%s%s is out of range %s..%s%s", formatNumber(value), unit, formatNumber(s.Min), formatNumber(s.Max), unit)
}

// formatNumber formats f without an exponent.
func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// ParseMillis parses a duration: a number with the unit ms, s, m or h, or in milliseconds without a unit. Negative
// durations and durations over 1,000 days are errors.
func ParseMillis(text string) (timer.Millis, error) {
	const maxDuration = 1000 * 24 * 60 * timer.Minute
	digits := strings.TrimRightFunc(text, unicode.IsLetter)
	scale, ok := map[string]float64{"": 1, "ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000}[text[len(digits):]]
	if !ok {
		return 0, trace.BadParameter("%s has unit %s; want ms, s, m, h or none for ms", quoteTruncated(text), quoteTruncated(text[len(digits):]))
	}
	f, err := strconv.ParseFloat(digits, 64)
	if err != nil || math.IsNaN(f) {
		return 0, trace.BadParameter("%s is not a duration", quoteTruncated(text))
	}
	if f *= scale; f < 0 || f > float64(maxDuration) {
		return 0, trace.BadParameter("%s is out of range 0..%v", quoteTruncated(text), maxDuration.Duration().Round(time.Hour))
	}
	return timer.Millis(math.Round(f)), nil
}

func checkAddress(text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return trace.BadParameter("%s is not an IP address with a port, such as 127.0.0.1:7480", quoteTruncated(text))
	}
	return nil
}

// splitList splits a comma-separated list and trims the spaces around its items.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	items := strings.Split(text, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}

// quoteTruncated quotes text and truncates it, so that a long invalid value does not fill the report.
func quoteTruncated(text string) string {
	if len(text) > 80 {
		text = text[:80] + "..."
	}
	return fmt.Sprintf("%q", text)
}
