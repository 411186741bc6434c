package commander

import (
	"github.com/crocuslb/crocuslb/loader"
)

// commands returns the subcommands in the order of the usage overview.
func commands() []command {
	limitSetting := loader.Setting{Name: "limit", Unit: loader.UnitCount, Default: "20", Min: 1, Max: 1000, Description: "number of notes to show"}
	keySetting := loader.Setting{Name: "key", Description: "idempotency key; a random one when empty"}
	dryRunSetting := loader.Setting{Name: "dryRun", Unit: loader.UnitBool, Default: "false", Description: "check the note and show the differences without publishing it"}
	formatSetting := loader.Setting{Name: "format", Default: "text", Description: "format of the report: text, json or html", Check: checkOneOf("text", "json", "html")}
	entryRules := append(requireSecretAndToken("httpAddress", "address", "advertise"),
		loader.Rule{Names: []string{"advertise", "address"}, Check: checkAdvertise},
		loader.Rule{Names: []string{"burnShortMs", "burnLongMs"}, Check: checkBurnWindows}, membershipRule)
	sidecarRules := []loader.Rule{{Names: []string{"entries", secretSetting.Name}, Check: requireSecretForEntries}, membershipRule}
	return []command{
		{name: "entry", summary: "Run an entry, which accepts jobs and places their tasks", settings: entrySettings,
			rules: entryRules, run: runEntry},
		{name: "sidecar", summary: "Run a sidecar, which starts tasks on the backend server beside it", settings: sidecarSettings,
			rules: sidecarRules, run: runSidecar},
		{name: "demo", summary: "Run a complete cluster on loopback, verify its guarantees and exit", settings: demoSettings, run: runDemo},
		{name: "job submit", args: "[FILE]", argCount: 1, optionalArgs: true, summary: "Submit a job from a JSON file or standard input and wait for its answer",
			settings: withSettings(clientSettings, keySetting), run: submitJob},
		{name: "job get", args: "KEY", argCount: 1, summary: "Show the state of a submission", settings: clientSettings, run: getJob},
		{name: "job cancel", args: "KEY", argCount: 1, summary: "Cancel a submission", settings: clientSettings, run: cancelJob},
		{name: "note publish", args: "[FILE]", argCount: 1, optionalArgs: true, summary: "Publish a configuration change from a JSON file or standard input",
			settings: withSettings(clientSettings, dryRunSetting), run: publishNote},
		{name: "note history", summary: "Show the newest configuration changes", settings: withSettings(clientSettings, limitSetting), run: showHistory},
		{name: "domain withdraw", args: "NAME", argCount: 1, summary: "Withdraw a failure domain from service", settings: withSettings(clientSettings, authorSetting), run: withdrawDomain},
		{name: "domain return", args: "NAME", argCount: 1, summary: "Return a failure domain to service", settings: withSettings(clientSettings, authorSetting), run: returnDomain},
		{name: "status", summary: "Show the state of an entry and of the processes it knows", settings: clientSettings, run: showStatus},
		{name: "burn", summary: "Show the service-level burn report", settings: withSettings(clientSettings, formatSetting), run: showBurn},
		{name: "settings list", args: "[SUBCOMMAND]", argCount: 2, optionalArgs: true, summary: "List all settings, or those of a subcommand", settings: []loader.Setting{jsonSetting}, run: listSettings},
		{name: "settings check", args: "SUBCOMMAND [flags]", summary: "Check the settings of a subcommand without starting it", settings: []loader.Setting{jsonSetting}},
		{name: "version", summary: "Show the version", settings: []loader.Setting{jsonSetting}, run: showVersion},
	}
}
