package runner

import (
	"net"
	"runtime/debug"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/limiter"
)

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
	m.metrics.CountLimit(e.Port, string(e.Limit), string(e.Action))
	if count := m.limitLog.Add(e); count > 0 {
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
