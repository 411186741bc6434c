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
	// Finding is a problem with a setting.
	Finding struct {
		Location string // flag, variable or declaration
		Reason   string
	}

	// Set holds the settings of one subcommand.
	Set struct {
		Settings []Setting
		// OtherSettings lists settings of other subcommands. Their environment variables are ignored, not reported.
		OtherSettings []Setting
		Rules         []Rule
	}

	// Rule validates several values together. It is skipped if one of the named values is invalid by itself, so that
	// one mistake does not cause several findings.
	Rule struct {
		Names []string
		Check func(v Values) []Finding
	}

	// LoadResult is the result of Load. Values must not be used if there are findings.
	LoadResult struct {
		Values   Values
		Args     []string // positional arguments
		Help     bool     // -h or -help was given
		Findings []Finding
	}

	// recordedFlag is a flag.Value that records its values and accepts all of them, so that the flag package parses all
	// arguments.
	recordedFlag struct {
		values []string
		isBool bool
	}
)

// String returns the finding as one line.
func (f Finding) String() string { return f.Location + ": " + f.Reason }

// String implements flag.Value.
func (f *recordedFlag) String() string { return strings.Join(f.values, " ") }

// Set implements flag.Value.
func (f *recordedFlag) Set(text string) error {
	f.values = append(f.values, text)
	return nil
}

// IsBoolFlag tells the flag package whether the flag may be given without a value.
func (f *recordedFlag) IsBoolFlag() bool { return f.isBool }

// Load parses args and environ (NAME=value pairs). Flags override variables, and variables override defaults. It reports
// all findings, not only the first.
func (s Set) Load(args, environ []string) LoadResult {
	result := LoadResult{Findings: s.CheckDeclarations()}
	if len(result.Findings) > 0 {
		return result
	}
	flags := make(map[string]*recordedFlag, len(s.Settings))
	fs := flag.NewFlagSet("", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	for _, setting := range s.Settings {
		recorded := &recordedFlag{isBool: setting.Unit == UnitBool}
		flags[setting.Name] = recorded
		fs.Var(recorded, setting.Name, setting.Description)
	}
	result.parse(fs, args)
	variables := s.variables(&result, environ)
	invalid := map[string]bool{}
	result.Values = Values{values: map[string]string{}, sources: map[string]string{}}
	for _, setting := range s.Settings {
		text, place := setting.Default, "default"
		if t, ok := variables[setting.Variable()]; ok {
			text, place = t, setting.Variable()
		}
		if recorded := flags[setting.Name]; len(recorded.values) > 0 {
			text, place = recorded.values[0], "-"+setting.Name
			if len(recorded.values) > 1 {
				result.addFinding(place, "the flag is given %d times", len(recorded.values))
				invalid[setting.Name] = true
			}
		}
		result.Values.values[setting.Name], result.Values.sources[setting.Name] = text, place
		if err := setting.check(text); err != nil {
			if place == "default" {
				place = "-" + setting.Name + " or " + setting.Variable()
			}
			result.addFinding(place, "%s", err.Error())
			invalid[setting.Name] = true
		}
	}
	for _, rule := range s.Rules {
		if !slices.ContainsFunc(rule.Names, func(n string) bool { return invalid[n] }) {
			result.Findings = append(result.Findings, rule.Check(result.Values)...)
		}
	}
	return result
}

// CheckDeclarations validates the declarations: duplicate or malformed names and missing descriptions.
func (s Set) CheckDeclarations() []Finding {
	var result LoadResult
	seen := map[string]bool{}
	for _, setting := range s.Settings {
		place := "declaration of " + setting.Name
		if setting.Name == "" || strings.ContainsFunc(setting.Name, func(r rune) bool { return r < '0' || r > 'z' || r > '9' && r < 'A' || r > 'Z' && r < 'a' }) {
			result.addFinding(place, "the name is not camelCase")
		}
		if seen[setting.Variable()] {
			result.addFinding(place, "the name is declared more than once")
		}
		seen[setting.Variable()] = true
		if setting.Description == "" {
			result.addFinding(place, "the description is missing")
		}
	}
	return result.Findings
}

// variables returns the values of the set's environment variables and reports unknown ones.
func (s Set) variables(result *LoadResult, environ []string) map[string]string {
	known := map[string]bool{}
	for _, setting := range slices.Concat(s.Settings, s.OtherSettings) {
		known[setting.Variable()] = true
	}
	found := map[string]string{}
	for _, pair := range environ {
		name, value, _ := strings.Cut(pair, "=")
		if !strings.HasPrefix(name, variablePrefix) {
			continue
		}
		if !known[name] {
			result.addFinding(name, "unknown variable")
			continue
		}
		found[name] = value
	}
	return found
}

// parse parses all flags, including those after positional arguments, and continues after unknown flags.
func (l *LoadResult) parse(fs *flag.FlagSet, args []string) {
	for len(args) > 0 {
		err := fs.Parse(args)
		rest := fs.Args()
		if errors.Is(err, flag.ErrHelp) {
			l.Help = true
			args = rest
			continue
		}
		if err != nil {
			badSyntax := strings.HasPrefix(err.Error(), "bad flag syntax")
			if badSyntax { // the flag package does not consume the argument
				args, rest = rest, rest[1:]
			}
			argument := args[len(args)-len(rest)-1]
			place, _, hasValue := strings.Cut(argument, "=")
			reason := "unknown flag"
			switch {
			case badSyntax:
				reason = "is not a flag"
			case fs.Lookup(strings.TrimLeft(place, "-")) != nil:
				reason = "the value is missing"
			case !hasValue && len(rest) > 0 && !strings.HasPrefix(rest[0], "-"):
				rest = rest[1:] // probably the value of the unknown flag
			}
			l.addFinding(place, "%s", reason)
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

func (l *LoadResult) addFinding(place, format string, args ...any) {
	l.Findings = append(l.Findings, Finding{Location: place, Reason: fmt.Sprintf(format, args...)})
}
