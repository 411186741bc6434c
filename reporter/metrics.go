package reporter

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/crocuslb/crocuslb/timer"
)

// Metrics holds the counters, gauges and histograms of a process. The zero value is ready to use, and the methods are
// safe for concurrent use. Label values must come from a bounded set.
type Metrics struct {
	once sync.Once
	set  *metrics.Set
}

// CountRequest records an HTTP request with its status and duration.
func (m *Metrics) CountRequest(call string, status int, duration timer.Millis) {
	s := m.init()
	s.GetOrCreateCounter(fmt.Sprintf(`crocuslb_http_requests_total{call=%q,status="%d"}`, call, status)).Inc()
	s.GetOrCreateHistogram(fmt.Sprintf(`crocuslb_http_request_duration_seconds{call=%q}`, call)).Update(duration.Duration().Seconds())
}

// CountJob records an answered job with the number of its tasks and the sizes of its payloads and results.
func (m *Metrics) CountJob(state string, tasks, payloadBytes, resultBytes int, duration timer.Millis) {
	s := m.init()
	s.GetOrCreateCounter(fmt.Sprintf(`crocuslb_jobs_total{state=%q}`, state)).Inc()
	s.GetOrCreateCounter(`crocuslb_job_tasks_total`).Add(tasks)
	s.GetOrCreateCounter(`crocuslb_job_payload_bytes_total`).Add(payloadBytes)
	s.GetOrCreateCounter(`crocuslb_job_result_bytes_total`).Add(resultBytes)
	s.GetOrCreateHistogram(fmt.Sprintf(`crocuslb_job_response_seconds{state=%q}`, state)).Update(duration.Duration().Seconds())
}

// Count increments a counter. The name may include labels.
func (m *Metrics) Count(name string) { m.init().GetOrCreateCounter(name).Inc() }

// CountLimit counts a client that met a limit on a port, and what was done with it.
func (m *Metrics) CountLimit(port, limit, action string) {
	m.Count(fmt.Sprintf(`crocuslb_client_limits_total{port=%q,limit=%q,action=%q}`, port, limit, action))
}

// Observe adds a duration to a histogram. The name must end in _seconds and may include labels.
func (m *Metrics) Observe(name string, duration timer.Millis) {
	m.init().GetOrCreateHistogram(name).Update(duration.Duration().Seconds())
}

// AddGauge registers a gauge whose value is read at each Write. The name must have the unit as its suffix and may include
// labels. If the name is already registered, the existing gauge is kept.
func (m *Metrics) AddGauge(name string, read func() float64) { m.init().GetOrCreateGauge(name, read) }

// SetGauge sets a gauge that was not registered with AddGauge.
func (m *Metrics) SetGauge(name string, value float64) {
	m.init().GetOrCreateGauge(name, nil).Set(value)
}

// SetTotal sets a counter to a total that is counted elsewhere. The name must end in _total.
func (m *Metrics) SetTotal(name string, total uint64) { m.init().GetOrCreateCounter(name).Set(total) }

// AddBurnRates registers gauges for the burn rates and remaining error budgets of r.
func (m *Metrics) AddBurnRates(r *Reporter, c timer.Clock) {
	for i, row := range r.Report(c.Now()).Objectives {
		read := func(selectValue func(ObjectiveStatus) float64) func() float64 {
			return func() float64 { return selectValue(r.Report(c.Now()).Objectives[i]) }
		}
		m.AddGauge(fmt.Sprintf(`crocuslb_burn_ratio{objective=%q,window="short"}`, row.Name), read(func(w ObjectiveStatus) float64 { return w.BurnShort }))
		m.AddGauge(fmt.Sprintf(`crocuslb_burn_ratio{objective=%q,window="long"}`, row.Name), read(func(w ObjectiveStatus) float64 { return w.BurnLong }))
		m.AddGauge(fmt.Sprintf(`crocuslb_budget_left_ratio{objective=%q}`, row.Name), read(func(w ObjectiveStatus) float64 { return w.BudgetLeft }))
	}
}

// Write writes all metrics and those of the Go runtime and process in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.init().WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (m *Metrics) init() *metrics.Set {
	m.once.Do(func() { m.set = metrics.NewSet() })
	return m.set
}
