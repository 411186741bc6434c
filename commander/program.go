// Package commander implements the subcommands of the crocuslb binary.
package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/apex/log"
	jsonhandler "github.com/apex/log/handlers/json"
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/loader"
	"github.com/crocuslb/crocuslb/server"
)

const (
	// ExitSuccess is the exit status of a subcommand that succeeded.
	ExitSuccess = 0
	// ExitFailure is the exit status of a subcommand that failed.
	ExitFailure = 1
	// ExitUsage is the exit status for wrong usage or invalid settings. Nothing was started.
	ExitUsage = 2
)

type (
	// Program is one invocation of the binary. Args excludes the program name; Environ holds NAME=value pairs.
	Program struct {
		Args    []string
		Environ []string
		Stdin   io.Reader
		Stdout  io.Writer
		Stderr  io.Writer
	}

	command struct {
		name         string // words separated by a space
		args         string // argument names in help texts
		argCount     int    // number of positional arguments
		optionalArgs bool   // the arguments may be omitted
		summary      string
		settings     []loader.Setting
		rules        []loader.Rule
		run          func(ctx context.Context, c invocation) int
	}

	// invocation is the invocation of a subcommand, with its validated settings and positional arguments.
	invocation struct {
		*Program
		values loader.Values
		args   []string
	}
)

// Run executes the subcommand and returns the exit status.
func (p *Program) Run(ctx context.Context) int {
	cmd, rest := p.findCommand()
	if cmd == nil {
		return p.reportUnknownSubcommand()
	}
	set := cmd.settingSet()
	if cmd.name == "settings check" {
		return p.checkSettings(rest)
	}
	loaded := set.Load(rest, p.Environ)
	if loaded.Help {
		p.printHelp(cmd)
		return ExitSuccess
	}
	if n := len(loaded.Args); n != cmd.argCount && (!cmd.optionalArgs || n > cmd.argCount) {
		loaded.Findings = append(loaded.Findings, loader.Finding{
			Location: "arguments", Reason: fmt.Sprintf("got %d, want %d (usage: crocuslb %s)", n, cmd.argCount, cmd.usage()),
		})
	}
	if len(loaded.Findings) > 0 {
		p.errorf("%s", set.CheckText(loaded))
		return ExitUsage
	}
	return cmd.run(ctx, invocation{p, loaded.Values, loaded.Args})
}

// findCommand returns the subcommand with the longest matching name and the remaining arguments, or nil if none matches.
func (p *Program) findCommand() (*command, []string) {
	for words := min(2, len(p.Args)); words > 0; words-- {
		name := strings.Join(p.Args[:words], " ")
		for _, c := range commands() {
			if c.name == name {
				return &c, p.Args[words:]
			}
		}
	}
	return nil, nil
}

// reportUnknownSubcommand prints the overview and returns the exit status, which is a success only if help was requested.
func (p *Program) reportUnknownSubcommand() int {
	group := ""
	if len(p.Args) > 0 {
		group = p.Args[0]
	}
	helpRequested := false
	for _, a := range p.Args {
		helpRequested = helpRequested || a == "-h" || a == "-help" || a == "--help" || a == "help"
	}
	w, status := p.Stderr, ExitUsage
	if helpRequested {
		w, status = p.Stdout, ExitSuccess
	} else if group != "" {
		p.errorf("there is no subcommand %q\n", strings.Join(p.Args[:min(2, len(p.Args))], " "))
	}
	p.printOverview(w, group)
	return status
}

// printOverview lists the subcommands of a group, such as "job", or all subcommands if there is no such group.
func (p *Program) printOverview(w io.Writer, group string) {
	var matching []command
	for _, c := range commands() {
		if strings.HasPrefix(c.name, group+" ") {
			matching = append(matching, c)
		}
	}
	if len(matching) == 0 {
		matching = commands()
	}
	_, _ = fmt.Fprint(w, "usage: crocuslb SUBCOMMAND [flags]\n\n")
	for _, c := range matching {
		_, _ = fmt.Fprintf(w, "  %-34s %s\n", c.usage(), c.summary)
	}
	_, _ = fmt.Fprint(w, "\ncrocuslb SUBCOMMAND -help shows the settings of a subcommand with their units and defaults.\n"+
		"The program platformnode runs entries and sidecars on the users' platform; platformnode -help shows its settings.\n"+
		"Exit status: 0 success, 1 failure, 2 wrong usage or settings.\n")
}

func (p *Program) printHelp(c *command) {
	_, _ = fmt.Fprintf(p.Stdout, "usage: crocuslb %s [flags]\n\n%s.\n\nsettings (flag, unit, default, variable, meaning):\n%s\n"+
		"Flags win over variables. Durations are plain numbers in ms, or numbers with ms, s, m or h.\n"+
		"Exit status: 0 success, 1 failure, 2 wrong usage or settings.\n",
		c.usage(), c.summary, c.settingSet().Text())
}

func (c command) usage() string { return strings.TrimSpace(c.name + " " + c.args) }

func (c command) settingSet() loader.Set {
	return loader.Set{Settings: c.settings, OtherSettings: allSettings(), Rules: c.rules}
}

// allSettings returns the distinct settings of all subcommands, in the order of the subcommands.
func allSettings() []loader.Setting {
	var all []loader.Setting
	seen := map[string]bool{}
	for _, c := range commands() {
		for _, s := range c.settings {
			if !seen[s.Name] {
				seen[s.Name] = true
				all = append(all, s)
			}
		}
	}
	return all
}

func (p *Program) errorf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.Stderr, "crocuslb: "+format, args...)
}

func (p *Program) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.Stdout, format, args...)
}

// fail prints the error and returns ExitFailure.
func (p *Program) fail(err error) int {
	p.errorf("%s\n", trace.UserMessage(err))
	return ExitFailure
}

// logger returns a logger configured by the settings. It writes to standard error.
func (c invocation) logger() *log.Logger {
	l := &log.Logger{Handler: textHandler(c.Stderr), Level: log.InfoLevel}
	if c.values.Text(logFormatSetting.Name) == logFormatJSON {
		l.Handler = jsonhandler.New(c.Stderr)
	}
	if level, err := log.ParseLevel(c.values.Text(logLevelSetting.Name)); err == nil {
		l.Level = level
	}
	return l
}

// textHandler returns a log handler that writes one line per message. Unlike the text handler of the library it uses no
// colors, which would be unreadable in log files.
func textHandler(w io.Writer) log.Handler {
	var mu sync.Mutex
	return log.HandlerFunc(func(e *log.Entry) error {
		line := fmt.Sprintf("%s %-5s %s", e.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z"), e.Level, e.Message)
		for _, name := range e.Fields.Names() {
			line += fmt.Sprintf(" %s=%v", name, e.Fields.Get(name))
		}
		mu.Lock()
		defer mu.Unlock()
		_, err := io.WriteString(w, line+"\n")
		return trace.Wrap(err)
	})
}

// client returns a client of the entry and a context with the timeout of the settings.
func (c invocation) client(ctx context.Context) (server.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, c.values.Millis(timeoutSetting.Name).Duration())
	return server.Client{URL: c.values.Text(entryURLSetting.Name), Token: c.values.Text(tokenSetting.Name), HTTP: &http.Client{}}, ctx, cancel
}

func (c invocation) jsonRequested() bool { return c.values.Bool(jsonSetting.Name) }
