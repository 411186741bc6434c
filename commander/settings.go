package commander

import (
	"strings"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/loader"
)

const (
	logFormatText = "text"
	logFormatJSON = "json"

	minSecretLength = 32
	minTokenLength  = 16
	dayMs           = 24 * 60 * 60 * 1000
)

var (
	logLevelSetting  = loader.Setting{Name: "logLevel", Default: "info", Description: "least level of log messages: debug, info, warn or error", Check: checkOneOf("debug", "info", "warn", "error")}
	logFormatSetting = loader.Setting{Name: "logFormat", Default: logFormatText, Description: "format of log messages: text or json", Check: checkOneOf(logFormatText, logFormatJSON)}
	secretSetting    = loader.Setting{Name: "secret", Secret: true, Description: "secret from which the processes derive their keys, at least 32 characters; without it they listen on loopback only", Check: checkMinLength(minSecretLength)}
	tokenSetting     = loader.Setting{Name: "token", Secret: true, Description: "bearer token of the operators' calls, at least 16 characters; without it they are refused", Check: checkMinLength(minTokenLength)}
	drainSetting     = loader.Setting{Name: "drainMs", Unit: loader.UnitMillis, Default: "30000", Min: 0, Max: 3_600_000, Description: "longest time to finish the work in flight after SIGTERM"}
	domainSetting    = loader.Setting{Name: "domain", Required: true, Description: "failure domain of the worker", Check: checkWord}

	jsonSetting     = loader.Setting{Name: "json", Unit: loader.UnitBool, Default: "false", Description: "answer in JSON"}
	entryURLSetting = loader.Setting{Name: "entryUrl", Unit: loader.UnitURL, Default: "http://127.0.0.1:7480", Required: true, Description: "base URL of an entry or of the load balancer"}
	timeoutSetting  = loader.Setting{Name: "timeoutMs", Unit: loader.UnitMillis, Default: "75000", Min: 1, Max: 3_600_000, Description: "longest time for the call"}
	authorSetting   = loader.Setting{Name: "author", Description: "author recorded with the decision", Check: checkWord}

	entrySettings = []loader.Setting{
		{Name: "id", Description: "identifier of the entry; a random one when empty", Check: checkWord},
		{Name: "httpAddress", Unit: loader.UnitAddress, Default: "127.0.0.1:7480", Required: true, Description: "address of the HTTP listener (TCP)"},
		{Name: "address", Unit: loader.UnitAddress, Default: "127.0.0.1:7481", Required: true, Description: "address of the QUIC listener (UDP)"},
		{Name: "advertise", Unit: loader.UnitAddress, Description: "address at which other processes reach the QUIC listener; the listener's own when empty"},
		{Name: "logUrl", Unit: loader.UnitURL, Required: true, Description: "base URL of the platform's log"},
		{Name: "logTimeoutMs", Unit: loader.UnitMillis, Default: "1000", Min: 10, Max: 60_000, Description: "time after which a call to the log counts as failed"},
		{Name: domainSetting.Name, Description: "failure domain of the entry, for the choice of near sidecars; not known when empty", Check: checkWord},
		{Name: "connections", Unit: loader.UnitCount, Default: "4096", Min: 1, Max: 1_000_000, Description: "open HTTP connections at most"},
		{Name: "clientMemoryMb", Unit: loader.UnitMegabytes, Default: "256", Min: 16, Max: 1 << 20, Description: "memory that HTTP connections and requests may hold together"},
		memberAddressSetting, memberSeedsSetting, drainSetting, secretSetting, tokenSetting, logLevelSetting, logFormatSetting,
		{Name: "responseRatio", Unit: loader.UnitRatio, Default: "1.10", Min: 1, Max: 1000, Description: "objective: response time over ideal at which a job counts as slow"},
		{Name: "responseTarget", Unit: loader.UnitShare, Default: "0.99", Min: 0.5, Max: 1, Description: "objective: share of complete jobs that are not slow"},
		{Name: "successTarget", Unit: loader.UnitShare, Default: "0.999", Min: 0.5, Max: 1, Description: "objective: share of jobs that do not fail"},
		{Name: "withdrawalMs", Unit: loader.UnitMillis, Default: "3000", Min: 100, Max: 60_000, Description: "objective: time in which a withdrawal is obeyed everywhere"},
		{Name: "withdrawalTarget", Unit: loader.UnitShare, Default: "0.999", Min: 0.5, Max: 1, Description: "objective: share of withdrawals obeyed in time"},
		{Name: "burnShortMs", Unit: loader.UnitMillis, Default: "300000", Min: 1000, Max: dayMs, Description: "short window of the burn report"},
		{Name: "burnLongMs", Unit: loader.UnitMillis, Default: "3600000", Min: 60_000, Max: 30 * dayMs, Description: "long window of the burn report, over which the error budget counts"},
	}

	sidecarSettings = []loader.Setting{
		{Name: "id", Description: "identifier of the sidecar; a random one when empty", Check: checkWord},
		domainSetting,
		{Name: "worker", Required: true, Description: "name of the worker", Check: checkWord},
		{Name: "slots", Unit: loader.UnitCount, Default: "8", Min: 1, Max: 4096, Description: "tasks that the backend server runs concurrently"},
		{Name: "memoryMb", Unit: loader.UnitMegabytes, Default: "0", Min: 0, Max: 16 << 20, Description: "memory of the worker; 0 when unknown"},
		{Name: "kinds", Unit: loader.UnitList, Description: "kinds of task that the backend server runs; all when empty"},
		{Name: "backendUrl", Unit: loader.UnitURL, Required: true, Description: "base URL of the backend server"},
		{Name: "entries", Unit: loader.UnitAddresses, Required: true, Description: "QUIC addresses of entries, one at least; the others are learnt from them"},
		memberAddressSetting, memberSeedsSetting, drainSetting, secretSetting, logLevelSetting, logFormatSetting,
	}

	clientSettings = []loader.Setting{entryURLSetting, tokenSetting, timeoutSetting, jsonSetting}

	demoSettings = []loader.Setting{
		{Name: "seed", Unit: loader.UnitCount, Default: "1", Min: 0, Max: 1 << 53, Description: "seed of the job mix"},
		{Name: "jobs", Unit: loader.UnitCount, Default: "260", Min: 1, Max: 1000, Description: "number of jobs"},
		jsonSetting, logLevelSetting.WithDefault("error"), logFormatSetting,
	}
)

func withSettings(settings []loader.Setting, more ...loader.Setting) []loader.Setting {
	return append(settings[:len(settings):len(settings)], more...)
}

func checkOneOf(words ...string) func(string) error {
	return func(value string) error {
		for _, w := range words {
			if value == w {
				return nil
			}
		}
		return trace.BadParameter("%q is not one of %s", value, strings.Join(words, ", "))
	}
}

// checkMinLength returns a check that a value, if given, has at least n characters. The error does not quote the value,
// because it is a secret.
func checkMinLength(n int) func(string) error {
	return func(value string) error {
		if value != "" && len(value) < n {
			return trace.BadParameter("has %d characters, want at least %d", len(value), n)
		}
		return nil
	}
}

func checkWord(value string) error {
	if len(value) > 100 || strings.ContainsFunc(value, func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && !strings.ContainsRune("-._", c)
	}) {
		return trace.BadParameter("%.80q is not a word of at most 100 letters, digits and -._", value)
	}
	return nil
}

// requireSecretAndToken returns rules that reject listener addresses beyond loopback if there is no secret or no token.
func requireSecretAndToken(names ...string) []loader.Rule {
	var rules []loader.Rule
	for _, name := range names {
		rules = append(rules, loader.Rule{Names: []string{name, secretSetting.Name, tokenSetting.Name}, Check: func(v loader.Values) []loader.Finding {
			if v.IsLoopback(name) || v.Text(secretSetting.Name) != "" && v.Text(tokenSetting.Name) != "" {
				return nil
			}
			return []loader.Finding{{Location: "-" + name, Reason: "an address beyond loopback needs -secret and -token"}}
		}})
	}
	return rules
}

// requireSecretForEntries rejects addresses of entries beyond loopback if there is no secret.
func requireSecretForEntries(v loader.Values) []loader.Finding {
	if v.Text(secretSetting.Name) != "" {
		return nil
	}
	for _, a := range v.List("entries") {
		if !strings.HasPrefix(a, "127.") && !strings.HasPrefix(a, "[::1]") {
			return []loader.Finding{{Location: "-entries", Reason: a + " is beyond loopback and needs -secret"}}
		}
	}
	return nil
}

func checkBurnWindows(v loader.Values) []loader.Finding {
	if v.Millis("burnShortMs") >= v.Millis("burnLongMs") {
		return []loader.Finding{{Location: "-burnShortMs", Reason: "must be less than -burnLongMs"}}
	}
	return nil
}

// checkAdvertise rejects an advertised address that is unspecified, such as 0.0.0.0.
func checkAdvertise(v loader.Values) []loader.Finding {
	a := v.Text("advertise")
	if a == "" {
		a = v.Text("address")
	}
	if strings.HasPrefix(a, "0.0.0.0:") || strings.HasPrefix(a, "[::]:") {
		return []loader.Finding{{Location: "-advertise", Reason: "must be given when -address names no single interface"}}
	}
	return nil
}
