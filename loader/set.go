package loader

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
)

type (
	// Finding is one fault in the settings.
	Finding struct {
		Place  string // flag, variable or declaration
		Reason string
	}

	// Set is the settings of one subcommand.
	Set struct {
		Settings []Setting
		// Known lists further settings of other subcommands, whose variables are allowed to be set.
		Known []Setting
		Rules []Rule
	}

	// Rule checks several values together. It is skipped when one of the named values is unsound by itself, so that
	// no finding is a consequence of another.
	Rule struct {
		Names []string
		Check func(v Values) []Finding
	}

	// Loaded is the outcome of Load. Values must not be used when there are findings.
	Loaded struct {
		Values   Values
		Args     []string // arguments that are no flags
		Help     bool     // -h or -help was given
		Findings []Finding
	}

	// given is a flag.Value that records texts and refuses nothing, so that the flag package goes on to the end.
	given struct {
		texts    []string
		isSwitch bool
	}
)

// String returns the finding as one line.
func (f Finding) String() string { return f.Place + ": " + f.Reason }

// String implements flag.Value.
func (g *given) String() string { return strings.Join(g.texts, " ") }

// Set implements flag.Value.
func (g *given) Set(text string) error {
	g.texts = append(g.texts, text)
	return nil
}

// IsBoolFlag makes the flag package accept the flag without a value.
func (g *given) IsBoolFlag() bool { return g.isSwitch }

// Load reads args and environ (NAME=value pairs). Flags win over variables, variables over defaults. It never stops at
// the first finding.
func (s Set) Load(args, environ []string) Loaded {
	out := Loaded{Findings: s.Declared()}
	if len(out.Findings) > 0 {
		return out
	}
	flags := make(map[string]*given, len(s.Settings))
	fs := flag.NewFlagSet("", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	for _, st := range s.Settings {
		g := &given{isSwitch: st.Unit == UnitSwitch}
		flags[st.Name] = g
		fs.Var(g, st.Name, st.Meaning)
	}
	out.parse(fs, args)
	variables := s.variables(&out, environ)
	unsound := map[string]bool{}
	out.Values = Values{texts: map[string]string{}, sources: map[string]string{}}
	for _, st := range s.Settings {
		text, place := st.Default, "default"
		if t, ok := variables[st.Variable()]; ok {
			text, place = t, st.Variable()
		}
		if g := flags[st.Name]; len(g.texts) > 0 {
			text, place = g.texts[0], "-"+st.Name
			if len(g.texts) > 1 {
				out.add(place, "is given %d times", len(g.texts))
				unsound[st.Name] = true
			}
		}
		out.Values.texts[st.Name], out.Values.sources[st.Name] = text, place
		if err := st.check(text); err != nil {
			if place == "default" {
				place = "-" + st.Name + " or " + st.Variable()
			}
			out.add(place, "%s", err.Error())
			unsound[st.Name] = true
		}
	}
	for _, rule := range s.Rules {
		if !slices.ContainsFunc(rule.Names, func(n string) bool { return unsound[n] }) {
			out.Findings = append(out.Findings, rule.Check(out.Values)...)
		}
	}
	return out
}

// Declared checks the declarations themselves: names that are doubled or malformed.
func (s Set) Declared() []Finding {
	var out Loaded
	seen := map[string]bool{}
	for _, st := range s.Settings {
		place := "declaration of " + st.Name
		if st.Name == "" || strings.ContainsFunc(st.Name, func(r rune) bool { return r < '0' || r > 'z' || r > '9' && r < 'A' || r > 'Z' && r < 'a' }) {
			out.add(place, "the name is not camelCase")
		}
		if seen[st.Variable()] {
			out.add(place, "the name is declared twice")
		}
		seen[st.Variable()] = true
		if st.Meaning == "" {
			out.add(place, "the meaning is missing")
		}
	}
	return out.Findings
}

// variables returns the variables of the set and reports unknown ones.
func (s Set) variables(out *Loaded, environ []string) map[string]string {
	known := map[string]bool{}
	for _, st := range slices.Concat(s.Settings, s.Known) {
		known[st.Variable()] = true
	}
	found := map[string]string{}
	for _, pair := range environ {
		name, value, _ := strings.Cut(pair, "=")
		if !strings.HasPrefix(name, variablePrefix) {
			continue
		}
		if !known[name] {
			out.add(name, "the variable names no setting")
			continue
		}
		found[name] = value
	}
	return found
}

// parse reads all flags, also those after other arguments, and goes on after a flag that it does not know.
func (l *Loaded) parse(fs *flag.FlagSet, args []string) {
	for len(args) > 0 {
		err := fs.Parse(args)
		rest := fs.Args()
		if errors.Is(err, flag.ErrHelp) {
			l.Help = true
			args = rest
			continue
		}
		if err != nil {
			syntax := strings.HasPrefix(err.Error(), "bad flag syntax")
			if syntax { // the flag package leaves the argument in place
				args, rest = rest, rest[1:]
			}
			bad := args[len(args)-len(rest)-1]
			place, _, hasValue := strings.Cut(bad, "=")
			reason := "the flag names no setting"
			switch {
			case syntax:
				reason = "is not a flag"
			case fs.Lookup(strings.TrimLeft(place, "-")) != nil:
				reason = "the value is missing"
			case !hasValue && len(rest) > 0 && !strings.HasPrefix(rest[0], "-"):
				rest = rest[1:] // most likely the value of the unknown flag
			}
			l.add(place, "%s", reason)
			args = rest
			continue
		}
		if len(rest) == 0 {
			return
		}
		if n := len(args) - len(rest); n > 0 && args[n-1] == "--" {
			l.Args = append(l.Args, rest...)
			return
		}
		l.Args = append(l.Args, rest[0])
		args = rest[1:]
	}
}

func (l *Loaded) add(place, format string, args ...any) {
	l.Findings = append(l.Findings, Finding{Place: place, Reason: fmt.Sprintf(format, args...)})
}
