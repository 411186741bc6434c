package runner

import (
	"net"
	"runtime/debug"
	"strconv"
	"sync"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/limiter"
	"github.com/crocuslb/crocuslb/timer"
)

// limitLogInterval is the minimum interval between two log lines about the same limit, so that a crowd that meets it does not
// displace other lines.
const limitLogInterval = timer.Second

// limitLog counts the meetings with each limit since its last log line. The zero value is ready to use.
type limitLog struct {
	clock timer.Clock

	mu       sync.Mutex
	loggedAt map[limiter.Event]timer.Millis
	counts   map[limiter.Event]int
}

// add counts an event. It returns the number of equal events to log, or 0 if a line was logged a short time ago.
func (l *limitLog) add(e limiter.Event) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.loggedAt, l.counts = map[limiter.Event]timer.Millis{}, map[limiter.Event]int{}
	}
	l.counts[e]++
	now := l.clock.Now()
	if at, logged := l.loggedAt[e]; logged && now-at < limitLogInterval {
		return 0
	}
	count = l.counts[e]
	l.loggedAt[e], l.counts[e] = now, 0
	return count
}

// setMachine sets the limits of the clients for a machine. The Go runtime is told the machine's memory, too.
func (m *monitor) setMachine(machine limiter.Machine) {
	if machine.MemoryBytes == 0 {
		return
	}
	m.budget.Limits = machine.ClientLimits()
	debug.SetMemoryLimit(machine.RuntimeMemory())
}

// reserve charges memory that belongs to no connection, and reports whether there is room.
func (m *monitor) reserve(bytes int64, port string, l limiter.Limit) bool {
	if m.budget.Reserve(bytes) {
		return true
	}
	m.reportLimit(limiter.Event{Port: port, Limit: l, Action: limiter.ActionRefuse})
	return false
}

// admitSession charges a connection of another process until it has said which one it is. Other processes are trusted, but
// anyone may connect.
func (m *monitor) admitSession(conn net.Conn) (known func(), ok bool) {
	account, ok := m.budget.Open(true, func() {
		m.reportLimit(limiter.Event{Port: portSessions, Limit: limiter.LimitConnections, Action: limiter.ActionEvict})
		_ = conn.Close() // the connection is over even if this fails
	})
	if !ok {
		m.reportLimit(limiter.Event{Port: portSessions, Limit: limiter.LimitConnections, Action: limiter.ActionRefuse})
		return nil, false
	}
	account.SetPhase(limiter.Receiving)
	return account.Close, true
}

// reportLimit counts and logs a client's meeting with a limit. It does not block.
func (m *monitor) reportLimit(e limiter.Event) {
	m.metrics.Count("crocuslb_client_limits_total{port=" + strconv.Quote(e.Port) + ",limit=" + strconv.Quote(string(e.Limit)) + ",action=" + strconv.Quote(string(e.Action)) + "}")
	if count := m.limitLogs.add(e); count > 0 {
		m.logger.WithFields(log.Fields{"port": e.Port, "limit": string(e.Limit), "action": string(e.Action), "count": count}).Warn("http: a client met a limit")
	}
}

func (m *monitor) setBudgetGauges() {
	connections, memory := m.budget.Use()
	m.metrics.SetGauge("crocuslb_client_connections", float64(connections))
	m.metrics.SetGauge("crocuslb_client_connections_limit", float64(m.budget.Limits.Connections))
	m.metrics.SetGauge("crocuslb_client_memory_bytes", float64(memory))
	m.metrics.SetGauge("crocuslb_client_memory_limit_bytes", float64(m.budget.Limits.MemoryBytes))
}
