package conductor

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/carrier"
	"github.com/crocuslb/crocuslb/catcher"
	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/reporter"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// configurationWait is how long a read of the configuration waits for a change. A connection that went silent is
	// noticed after this and storeTimeout, within the time in which a configuration has to be in force.
	configurationPollTimeout = 3 * time.Second
	// sidecarConfigurationWait is the same for sidecars. Of a configuration they use the withdrawn domains only, and entries
	// pass it on to sidecars that lag.
	sidecarConfigurationPollTimeout = 10 * time.Second
	// entriesWait is how long a read of the entries' addresses waits for a change, the longest that the store allows. New
	// entries are also heard of from others.
	entriesPollTimeout = 30 * time.Second
	storeTimeout       = 800 * time.Millisecond
	// backendTimeout bounds a call to the backend server on the same machine, which answers within a few milliseconds.
	// It leaves a task of 60 ms, whose start is lost, time to start elsewhere.
	backendTimeout = 40 * time.Millisecond
	// headerTimeout and idleTimeout bound callers' connections without a request.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Options are the settings of a process.
type Options struct {
	Name    string
	Domain  string
	Address string // listen address of the sessions between processes, ip:port; entries only
	// Advertise is the address at which other processes reach this one; Address when empty.
	Advertise    string
	StoreAddress string // address of the platform's store
	// Callers, Ready and Announcements are listen addresses. An empty one is not served.
	CallersAddress  string
	ReadyAddress    string
	AnnounceAddress string
	MetricsAddress  string
	// Backend is the address of the backend server beside a sidecar.
	BackendAddress string
	// Seeds are addresses of entries that may be out of date, for times in which the store does not answer.
	Seeds []string
	// Weight is the share of a processor that the process may use, in thousandths.
	Weight uint64
	// Partitions is the number of partitions of the kept jobs, the same for all processes.
	Partitions uint64
	// Writes is the number of write calls a second that the store takes from all processes together.
	WritesPerSecond uint64
	// Drain bounds the time to finish the work in flight after SIGTERM.
	DrainTime timer.Millis
	Logger    log.Interface
	// Dropped counts log lines that were not written.
	DroppedLogLines func() uint64
}

// newClient returns an HTTP client that keeps connections open.
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

// monitor counts events and serves the counters.
type monitor struct {
	metrics         reporter.Metrics
	logger          log.Interface
	droppedLogLines func() uint64 // log lines that were not written
	traffic         *carrier.Traffic
}

// panicked logs and counts a panic that ended only the handling of one event. from names the process whose message it
// was, or the part of this process.
func (m *monitor) reportPanic(source string, err error) {
	m.metrics.Count("crocuslb_panics_total{from=" + strconv.Quote(source) + "}")
	m.logger.WithError(err).WithField("from", source).Error("process: the handling of an event panicked")
}

func (m *monitor) countEvent(kind, detail string) {
	m.metrics.Count("crocuslb_events_total{kind=" + strconv.Quote(kind) + ",detail=" + strconv.Quote(detail) + "}")
}

// guarded returns the endpoint's handler. A panic in it ends its request with status 500.
func (m *monitor) recoverPanics(e endpoint) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := catcher.Catch(func() { e.handler.ServeHTTP(w, r) }); err != nil {
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
		if m.traffic != nil {
			for _, s := range m.traffic.Sent() {
				m.metrics.SetTotal("crocuslb_sent_messages_total{message="+strconv.Quote(s.Message)+"}", s.Messages)
				m.metrics.SetTotal("crocuslb_sent_bytes_total{message="+strconv.Quote(s.Message)+"}", s.Bytes)
			}
		}
		m.metrics.Write(w)
	})
}
