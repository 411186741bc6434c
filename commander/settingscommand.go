package commander

import (
	"context"
	"encoding/json"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/crocuslb/crocuslb/loader"
)

type versionWire struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

func listSettings(_ context.Context, c invocation) int {
	set := loader.Set{Settings: allSettings()}
	if len(c.args) > 0 {
		cmd, rest := (&Program{Args: c.args}).findCommand()
		if cmd == nil || len(rest) > 0 {
			c.errorf("there is no subcommand %q\n", strings.Join(c.args, " "))
			return ExitUsage
		}
		set = cmd.settingSet()
	}
	if !c.jsonRequested() {
		c.printf("%s", set.Text())
		return ExitSuccess
	}
	body, err := set.JSON()
	if err != nil {
		return c.fail(err)
	}
	c.printf("%s\n", body)
	return ExitSuccess
}

// checkSettings checks the settings of another subcommand, loaded from the same flags and variables as by that
// subcommand. The flag -json must precede the name of the subcommand; after the name it belongs to the subcommand.
func (p *Program) checkSettings(args []string) int {
	helpRequested := len(args) == 0 || slices.Contains([]string{"-h", "-help", "--help"}, args[0])
	printJSON := !helpRequested && (args[0] == "-json" || args[0] == "--json")
	if printJSON {
		args = args[1:]
	}
	cmd, rest := (&Program{Args: args}).findCommand()
	if cmd == nil || helpRequested {
		p.errorf("usage: crocuslb settings check [-json] SUBCOMMAND [flags]\n")
		if len(args) > 0 && helpRequested {
			return ExitSuccess
		}
		return ExitUsage
	}
	set := cmd.settingSet()
	loaded := set.Load(rest, p.Environ)
	status := ExitSuccess
	if len(loaded.Findings) > 0 {
		status = ExitUsage
	}
	if !printJSON {
		p.printf("%s", set.CheckText(loaded))
		return status
	}
	body, err := set.CheckJSON(loaded)
	if err != nil {
		return p.fail(err)
	}
	p.printf("%s\n", body)
	return status
}

// version returns the version in the build information of the binary.
func version() versionWire {
	v := versionWire{Version: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Version, v.Go = info.Main.Version, info.GoVersion
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			v.Revision = s.Value
		case "vcs.modified":
			v.Modified = s.Value == "true"
		}
	}
	return v
}

func showVersion(_ context.Context, c invocation) int {
	v := version()
	if !c.jsonRequested() {
		c.printf("crocuslb %s %s %s\n", v.Version, v.Revision, v.Go)
		return ExitSuccess
	}
	body, err := json.Marshal(v)
	if err != nil {
		return c.fail(err)
	}
	c.printf("%s\n", body)
	return ExitSuccess
}
