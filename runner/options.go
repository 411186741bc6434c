package runner

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/connector"
	"github.com/crocuslb/crocuslb/limiter"
	"github.com/crocuslb/crocuslb/placer"
	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/recoverer"
	"github.com/crocuslb/crocuslb/reporter"
	"github.com/crocuslb/crocuslb/submitter"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// configurationPollTimeout is how long a long poll of the configuration waits for a change. A connection that has gone
	// silent is noticed after this time plus storeTimeout, 2.6 s. A process counts as in touch again after 3 s, and must not
	// use an older configuration then.
	configurationPollTimeout = 1800 * time.Millisecond
	// sidecarConfigurationPollTimeout is the same for sidecars. It is longer because sidecars only use the withdrawn
	// failure domains, and entries send the configuration to sidecars that lag behind.
	sidecarConfigurationPollTimeout = 10 * time.Second
	// entriesPollTimeout is how long a long poll of the entries' addresses waits for a change. It is the maximum that the
	// store allows; new entries are also announced by other processes.
	entriesPollTimeout = 30 * time.Second
	storeTimeout       = 800 * time.Millisecond
	// backendTimeout bounds a call to the backend server on the same machine, which responds within a few milliseconds. It
	// is short enough that a task of 60 ms whose start call is lost can still be started elsewhere.
	backendTimeout = 40 * time.Millisecond
	// maxPriorityLabel bounds the label values of metrics by priority.
	maxPriorityLabel = 7
)

// Options are the settings of a process.
type Options struct {
	Name    string
	Domain  string
	Address string // ip:port on which entries listen for sessions of other processes
	// Advertise is the address at which other processes reach this one. It defaults to Address.
	Advertise    string
	StoreAddress string // address of the platform's store
	// CallersAddress, ReadyAddress, AnnounceAddress and MetricsAddress are listen addresses. An empty one is not served.
	CallersAddress  string
	ReadyAddress    string
	AnnounceAddress string
	MetricsAddress  string
	// BackendAddress is the address of the backend server beside a sidecar.
	BackendAddress string
	// Seeds are possibly outdated addresses of entries, used to find entries while the store is unavailable.
	Seeds []string
	// Weight is the processor share that the process may use, in thousandths of a core.
	Weight uint64
	// Partitions is the number of partitions of durable jobs. It must be the same for all processes.
	Partitions uint64
	// WritesPerSecond is the store's rate limit for write calls from all processes together.
	WritesPerSecond uint64
	// Machine is the size of the machine, of which clients may use a part. The zero value sets no limits.
	Machine limiter.Machine
	// HeadBytes is the maximum size of a request's head while the configuration sets none; 0 means the default of limiter.
	HeadBytes uint64
	// BodyTimeout is the time in which at least a byte of a request's body must arrive, and AnswerTimeout how long a response
	// may wait for its client to take it. For 0, the defaults of limiter apply.
	BodyTimeout, AnswerTimeout timer.Millis
	// Handover lets an entry hand jobs over to other entries while it is overloaded, and take theirs.
	Handover bool
	// Admission is the policy by which an entry refuses jobs when capacity does not suffice.
	Admission placer.Admission
	// DrainTime bounds the time to finish in-flight work after SIGTERM.
	DrainTime timer.Millis
	Logger    log.Interface
	// DroppedLogLines returns the number of log lines dropped by the rate limit.
	DroppedLogLines func() uint64
}

func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections, DisableCompression: true,
		DialContext:     (&net.Dialer{Timeout: storeTimeout}).DialContext,
		WriteBufferSize: 2 << 10, ReadBufferSize: 2 << 10,
	}}
}

func newStore(address string, pollTimeout time.Duration) *platform.Store {
	return &platform.Store{Address: address, Timeout: storeTimeout, Wait: pollTimeout, Client: newClient(2)}
}

// monitor counts events and serves the metrics.
type monitor struct {
	metrics         reporter.Metrics
	logger          log.Interface
	droppedLogLines func() uint64
	traffic         *connector.Traffic
	// budget bounds what clients make the process hold.
	budget   limiter.Budget
	limitLog limiter.EventLog
}

// reportPanic logs and counts a recovered panic. source is the process that sent the message being handled, or a
// component of this process.
func (m *monitor) reportPanic(source string, err error) {
	m.metrics.Count("crocuslb_panics_total{from=" + strconv.Quote(source) + "}")
	m.logger.WithError(err).WithField("from", source).Error("process: the handling of an event panicked")
}

func (m *monitor) countEvent(kind, detail string) {
	m.metrics.Count("crocuslb_events_total{kind=" + strconv.Quote(kind) + ",detail=" + strconv.Quote(detail) + "}")
}

// countRefusal counts a request that the placing entry refused. Priorities above maxPriorityLabel share a label.
func (m *monitor) countRefusal(e submitter.Event) {
	reason := strconv.Quote(e.Refusal.Reason)
	priority := strconv.FormatUint(min(e.Refusal.Priority, maxPriorityLabel), 10)
	m.metrics.Count("crocuslb_refused_requests_total{reason=" + reason + `,priority="` + priority + `",size="` + e.Refusal.Size + `"}`)
	m.metrics.Observe("crocuslb_refusal_wait_seconds{reason="+reason+"}", e.Took)
}

// recoverPanics wraps the endpoint's handler. A panic fails the request with status 500.
func (m *monitor) recoverPanics(e endpoint) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := recoverer.Call(func() { e.handler.ServeHTTP(w, r) }); err != nil {
			m.reportPanic("http "+e.address, err)
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
}

func (m *monitor) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if m.droppedLogLines != nil {
			m.metrics.SetTotal("crocuslb_dropped_log_lines_total", m.droppedLogLines())
		}
		m.setBudgetGauges()
		if m.traffic != nil {
			for _, s := range m.traffic.Stats() {
				m.metrics.SetTotal("crocuslb_sent_messages_total{message="+strconv.Quote(s.Type)+"}", s.Messages)
				m.metrics.SetTotal("crocuslb_sent_bytes_total{message="+strconv.Quote(s.Type)+"}", s.Bytes)
			}
		}
		m.metrics.Write(w)
	})
}
