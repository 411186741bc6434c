// Package loader reads settings from flags and environment variables. Settings are declared in code, and a set of them
// is checked as a whole: all findings are reported together, each with its place.
package loader

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
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
	// UnitMillis is a duration: a plain number of milliseconds, or a number with ms, s, m or h.
	UnitMillis
	// UnitCount is a whole number.
	UnitCount
	// UnitMegabytes is a whole number of megabytes (1,000,000 bytes).
	UnitMegabytes
	// UnitShare is a number from 0 to 1.
	UnitShare
	// UnitRatio is a number of at least 0.
	UnitRatio
	// UnitAddress is an IP address with a port, without a host name.
	UnitAddress
	// UnitAddresses is a list of addresses, separated by commas.
	UnitAddresses
	// UnitURL is an http or https URL.
	UnitURL
	// UnitList is a list of words, separated by commas.
	UnitList
	// UnitSwitch is true or false; the flag alone means true.
	UnitSwitch
)

const (
	variablePrefix = "CROCUSLB_"
	maxValue       = 64 << 10 // bytes of one value
)

type (
	// Unit says how the text of a setting is read.
	Unit uint8

	// Setting declares one setting. Min and Max bound numbers and durations (in ms) and are ignored when both are 0.
	Setting struct {
		Name     string // camelCase; the flag's name
		Unit     Unit
		Default  string
		Meaning  string
		Min, Max float64
		Secret   bool // the value is never printed
		Required bool // an empty value is a finding
		// Check refuses a value that the unit and the bounds accept. It may be nil.
		Check func(value string) error
	}
)

// String returns the name of the unit as help texts show it.
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

// check returns the reason why text is not a value of s, or nil.
func (s Setting) check(text string) error {
	if text == "" {
		if s.Required {
			return trace.BadParameter("a value is required")
		}
		if s.Unit == UnitText || s.Unit == UnitList || s.Unit == UnitAddress || s.Unit == UnitAddresses || s.Unit == UnitURL {
			return nil
		}
	}
	if len(text) > maxValue || !utf8.ValidString(text) {
		return trace.BadParameter("want valid UTF-8 of at most %d bytes", maxValue)
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
		return s.bounds(float64(m), " ms")
	case UnitCount, UnitMegabytes:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return trace.BadParameter("%s is not a whole number (unit %s)", quote(text), s.Unit)
		}
		return s.bounds(float64(n), "")
	case UnitShare, UnitRatio:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 || s.Unit == UnitShare && f > 1 {
			return trace.BadParameter("%s is not a %s", quote(text), s.Unit)
		}
		return s.bounds(f, "")
	case UnitAddress:
		return checkAddress(text)
	case UnitAddresses:
		seen := map[string]bool{}
		for i, a := range split(text) {
			if err := checkAddress(a); err != nil {
				return trace.BadParameter("item %d: %v", i+1, err)
			}
			if seen[a] {
				return trace.BadParameter("item %d: %s is listed twice", i+1, quote(a))
			}
			seen[a] = true
		}
	case UnitURL:
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
			return trace.BadParameter("%s is not a plain http or https URL", quote(text))
		}
	case UnitList:
		seen := map[string]bool{}
		for i, w := range split(text) {
			if w == "" || seen[w] {
				return trace.BadParameter("item %d: %s is empty or listed twice", i+1, quote(w))
			}
			seen[w] = true
		}
	case UnitSwitch:
		if _, err := strconv.ParseBool(text); err != nil {
			return trace.BadParameter("%s is neither true nor false", quote(text))
		}
	}
	return nil
}

func (s Setting) bounds(value float64, unit string) error {
	if s.Min == 0 && s.Max == 0 || value >= s.Min && value <= s.Max {
		return nil
	}
	return trace.BadParameter("%s%s is out of range %s..%s%s", number(value), unit, number(s.Min), number(s.Max), unit)
}

// number formats without an exponent.
func number(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// ParseMillis reads a duration: a plain number of milliseconds, or a number with one of the units ms, s, m and h. It
// refuses negative durations and durations over 1,000 days.
func ParseMillis(text string) (timer.Millis, error) {
	const longest = 1000 * 24 * 60 * timer.Minute
	number := strings.TrimRightFunc(text, unicode.IsLetter)
	scale, ok := map[string]float64{"": 1, "ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000}[text[len(number):]]
	if !ok {
		return 0, trace.BadParameter("%s has unit %s; want ms (also without a unit), s, m or h", quote(text), quote(text[len(number):]))
	}
	f, err := strconv.ParseFloat(number, 64)
	if err != nil || math.IsNaN(f) {
		return 0, trace.BadParameter("%s is not a duration", quote(text))
	}
	if f *= scale; f < 0 || f > float64(longest) {
		return 0, trace.BadParameter("%s is out of range 0..%v", quote(text), longest.Duration().Round(time.Hour))
	}
	return timer.Millis(math.Round(f)), nil
}

func checkAddress(text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return trace.BadParameter("%s is not an IP address with a port, like 127.0.0.1:7480", quote(text))
	}
	return nil
}

// split returns the items of a list without the spaces around them.
func split(text string) []string {
	if text == "" {
		return nil
	}
	items := strings.Split(text, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}

// quote shortens long values, so that one bad value cannot fill the report.
func quote(text string) string {
	if len(text) > 80 {
		text = text[:80] + "..."
	}
	return fmt.Sprintf("%q", text)
}
