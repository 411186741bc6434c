package runner

import (
	"net"
	"strings"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/limiter"
	"github.com/crocuslb/crocuslb/loader"
	"github.com/crocuslb/crocuslb/placer"
)

const (
	roleEntry   = "entry"
	roleSidecar = "sidecar"
	// roleExplain is not a process that runs on: it asks an entry and prints the answer.
	roleExplain = "explain"
	// defaultMetricsPort is the default metrics port on the process's own address.
	defaultMetricsPort = "9464"
	millicoresPerCore  = 1000
	valueOn            = "on"
	valueOff           = "off"
)

// Settings declares the settings of both roles. A settings file uses the same variable names as the environment and
// takes precedence over it.
var Settings = loader.Set{Settings: []loader.Setting{
	{Name: "config", Description: "path of a settings file with NAME=value lines; read again on SIGHUP"},
	{Name: "name", Required: true, Description: "name of the process, unique in the deployment"},
	{Name: "domain", Required: true, Description: "failure domain of the process"},
	{Name: "ip", Required: true, Description: "IP address at which other processes reach this one"},
	{Name: "internalPort", Unit: loader.UnitCount, Default: "7720", Min: 1, Max: 65535, Description: "TCP port of the sessions between processes, the same on all machines"},
	{Name: "advertise", Unit: loader.UnitAddress, Description: "address at which other processes reach this entry; its own IP address and internal port when empty"},
	{Name: "storeAddress", Unit: loader.UnitAddress, Required: true, Description: "address of the platform's store"},
	{Name: "callersAddress", Unit: loader.UnitAddress, Description: "listen address for callers; entries only"},
	{Name: "readyAddress", Unit: loader.UnitAddress, Description: "listen address for the load balancer's readiness checks; entries only"},
	{Name: "announceAddress", Unit: loader.UnitAddress, Description: "listen address for the backend server's announcements; sidecars only"},
	{Name: "backendAddress", Unit: loader.UnitAddress, Description: "address of the backend server; sidecars only"},
	{Name: "partitions", Unit: loader.UnitCount, Default: "12", Min: 1, Max: 1024, Description: "number of partitions of durable jobs; the same for all processes"},
	{Name: "writes", Unit: loader.UnitCount, Default: "800", Min: 1, Max: 1_000_000, Description: "rate limit of the platform's store for write calls from all processes together, per second"},
	{Name: "seeds", Unit: loader.UnitAddresses, Description: "addresses on machines that may run an entry; only their IP addresses are used"},
	{Name: "cores", Unit: loader.UnitRatio, Default: "1", Description: "number of processor cores that the process may use"},
	{Name: "memoryMb", Unit: loader.UnitMegabytes, Default: "256", Min: 64, Max: 1 << 20, Description: "memory of the machine that the process may use; clients may make it hold 40% of that (docs/OPERATIONS.md)"},
	{Name: "descriptors", Unit: loader.UnitCount, Default: "4096", Min: 256, Max: 1 << 24, Description: "number of descriptors that the process may open; connections of clients may take half of them"},
	{Name: "headBytes", Unit: loader.UnitCount, Default: "65536", Min: 1024, Max: 1 << 20, Description: "maximum size of a request's head in bytes, on the callers' port while the configuration sets none"},
	{Name: "bodyTimeoutMs", Unit: loader.UnitMillis, Default: "30000", Min: 1, Max: 3_600_000, Description: "time in which at least a byte of a request's body must arrive"},
	{Name: "answerTimeoutMs", Unit: loader.UnitMillis, Default: "10000", Min: 1, Max: 3_600_000, Description: "time for which a response may wait for its client to take it"},
	{Name: "handover", Default: valueOn, Check: checkOnOff, Description: "on or off: whether an overloaded entry hands new restartable jobs over to other entries, takes theirs, and steps down as the placing entry; entries only"},
	{Name: "admission", Default: "cost", Description: "which jobs are refused when capacity does not suffice: deadline (those that cannot start in time) or cost (those whose refusal costs callers least); entries only"},
	{Name: "drainMs", Unit: loader.UnitMillis, Default: "5000", Min: 0, Max: 3_600_000, Description: "maximum time to finish in-flight work after SIGTERM"},
	{Name: "metricsPort", Unit: loader.UnitCount, Default: defaultMetricsPort, Min: 0, Max: 65535, Description: "port of the metrics endpoint; 0 disables it"},
	{Name: "logLines", Unit: loader.UnitCount, Default: "4000", Min: 1, Max: 1_000_000, Description: "maximum number of log lines per second; the excess is dropped and counted"},
}}

// checkOnOff validates a setting that is on or off.
func checkOnOff(value string) error {
	if value != valueOn && value != valueOff {
		return trace.BadParameter("%q is neither %s nor %s", value, valueOn, valueOff)
	}
	return nil
}

// LoadOptions reads the settings from flags, environment and settings file. It also returns the maximum number of log
// lines per second. The error lists all invalid settings.
func LoadOptions(role string, args, environ []string) (Options, int, error) {
	loaded := Settings.Load(args, environ)
	if path := loaded.Values.Text("config"); path != "" {
		pairs, err := loader.ReadFile(path)
		if err != nil {
			return Options{}, 0, trace.Wrap(err)
		}
		loaded = Settings.Load(args, append(environ, pairs...))
	}
	if len(loaded.Findings) > 0 {
		var errs []error
		for _, f := range loaded.Findings {
			errs = append(errs, trace.BadParameter("%s", f.String()))
		}
		return Options{}, 0, trace.NewAggregate(errs...)
	}
	values := loaded.Values
	options := Options{
		Name: values.Text("name"), Domain: values.Text("domain"), StoreAddress: values.Text("storeAddress"),
		Address: net.JoinHostPort(values.Text("ip"), values.Text("internalPort")),
		Weight:  uint64(values.Number("cores") * millicoresPerCore), DrainTime: values.Millis("drainMs"),
	}
	options.Advertise, options.Handover = values.Text("advertise"), values.Text("handover") != valueOff
	options.Machine = limiter.NewMachine(values.Count("memoryMb"), int(values.Count("descriptors")))
	options.BodyTimeout, options.AnswerTimeout = values.Millis("bodyTimeoutMs"), values.Millis("answerTimeoutMs")
	options.HeadBytes = uint64(values.Count("headBytes"))
	options.Partitions, options.WritesPerSecond = uint64(values.Count("partitions")), uint64(values.Count("writes"))
	if values.Count("metricsPort") != 0 {
		options.MetricsAddress = net.JoinHostPort(values.Text("ip"), values.Text("metricsPort"))
	}
	for _, seed := range strings.Split(values.Text("seeds"), ",") {
		if host, _, err := net.SplitHostPort(strings.TrimSpace(seed)); err == nil {
			options.Seeds = append(options.Seeds, net.JoinHostPort(host, values.Text("internalPort")))
		}
	}
	admission, err := placer.ParseAdmission(values.Text("admission"))
	if err != nil {
		return options, 0, trace.BadParameter("%s: %v", loaded.Values.Source("admission"), err)
	}
	options.Admission = admission
	var missing string
	switch role {
	case roleEntry:
		options.CallersAddress, options.ReadyAddress = values.Text("callersAddress"), values.Text("readyAddress")
		if options.CallersAddress == "" {
			missing = "callersAddress"
		}
	case roleSidecar:
		options.AnnounceAddress, options.BackendAddress = values.Text("announceAddress"), values.Text("backendAddress")
		if options.AnnounceAddress == "" || options.BackendAddress == "" {
			missing = "announceAddress and backendAddress"
		}
	default:
		return options, 0, trace.BadParameter("unknown role %q: want %s or %s", role, roleEntry, roleSidecar)
	}
	if missing != "" {
		return options, 0, trace.BadParameter("role %s requires %s", role, missing)
	}
	return options, int(values.Count("logLines")), nil
}
