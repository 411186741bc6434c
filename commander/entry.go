package commander

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"fmt"
	"io"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/dispatcher"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/limiter"
	"github.com/crocuslb/crocuslb/loader"
	"github.com/crocuslb/crocuslb/messenger"
	"github.com/crocuslb/crocuslb/reporter"
	"github.com/crocuslb/crocuslb/server"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	statusTimeout             = time.Second
	propagationPollInterval   = 20 * time.Millisecond
	propagationObserveTimeout = 10 * timer.Second
	maxPropagationObservers   = 8
	// taskReportQueueSize covers 0.27 s of finished tasks at 30,000 tasks/s, while a burn report blocks the reporter.
	taskReportQueueSize = 8192
	// ownRuntimeMemory is the memory, in bytes, for the entry's own state and garbage. With more than that and the clients' memory in
	// use, the Go runtime collects garbage more often.
	ownRuntimeMemory = 80_000_000
)

// entryProcess is an entry with its HTTP API. The exported fields must be set before start is called.
type entryProcess struct {
	Entry            *dispatcher.Entry
	HTTPAddress      string // address of the HTTP listener
	Token            string
	AllowNonLoopback bool
	MaxConnections   int
	ClientMemory     int64 // bytes
	DrainTimeout     timer.Millis
	Reporter         reporter.Reporter

	members        *membership
	reports        chan dispatcher.TaskReport
	droppedReports atomic.Uint64 // task reports dropped because the queue was full
	metrics        reporter.Metrics
	limitLog       limiter.EventLog
	listener       server.Listener
	draining       atomic.Bool
	observerSlots  chan struct{}
	requestsCtx    context.Context // canceled after the drain, so that waiting submissions are answered
	cancelRequests context.CancelFunc
}

func runEntry(ctx context.Context, c invocation) int {
	v, logger := c.values, c.logger()
	tlsConfig, err := c.tlsConfig()
	if err != nil {
		return c.fail(err)
	}
	p := &entryProcess{
		Entry: &dispatcher.Entry{
			ID: idOrRandom(v.Text("id"), roleEntry), Incarnation: uint64(time.Now().UnixMilli()), Listen: v.Text("address"), Advertise: v.Text("advertise"), Domain: v.Text(domainSetting.Name),
			Log: &appender.Client{URL: v.Text("logUrl"), Timeout: v.Millis("logTimeoutMs")},
			TLS: tlsConfig, Logger: logger,
		},
		HTTPAddress: v.Text("httpAddress"), Token: v.Text(tokenSetting.Name), AllowNonLoopback: tlsConfig != nil && v.Text(tokenSetting.Name) != "",
		MaxConnections: int(v.Count("connections")), ClientMemory: limiter.Megabytes(v.Count("clientMemoryMb")), DrainTimeout: v.Millis(drainSetting.Name),
		Reporter: reporter.Reporter{Objectives: objectives(v)},
	}
	debug.SetMemoryLimit(p.ClientMemory + ownRuntimeMemory)
	if p.members, err = c.startMembership(ctx, logger, roleEntry, p.Entry.ID, p.Entry.Incarnation); err != nil {
		return c.fail(err)
	}
	defer p.members.stop()
	address, err := p.start(ctx)
	if err != nil {
		return c.fail(err)
	}
	logger.WithFields(log.Fields{"address": address, "id": p.Entry.ID}).Info("entry: HTTP interface is listening")
	if err := p.serve(ctx); err != nil {
		logger.WithError(err).Error("entry: ended with an error")
		return ExitFailure
	}
	logger.Info("entry: ended")
	return ExitSuccess
}

// tlsConfig returns the TLS configuration of the sessions between processes, with keys derived from the secret. It
// returns nil if there is no secret.
func (c invocation) tlsConfig() (*tls.Config, error) {
	s := c.values.Text(secretSetting.Name)
	if s == "" {
		return nil, nil //nolint:nilnil // without keys the process listens on loopback only
	}
	return messenger.NewTLSConfig(s)
}

// idOrRandom returns id, or a random identifier with the prefix if id is empty.
func idOrRandom(id, prefix string) string {
	if id == "" {
		return prefix + "-" + strings.ToLower(rand.Text()[:10])
	}
	return id
}

func objectives(v loader.Values) reporter.Objectives {
	return reporter.Objectives{
		ResponseRatio: v.Number("responseRatio"), ResponseTarget: v.Number("responseTarget"), SuccessTarget: v.Number("successTarget"),
		WithdrawalLimit: v.Millis("withdrawalMs"), WithdrawalTarget: v.Number("withdrawalTarget"),
		Short: v.Millis("burnShortMs"), Long: v.Millis("burnLongMs"),
	}
}

// start sets up the HTTP API, binds its listener and returns the bound address. It must be called before serve.
func (p *entryProcess) start(ctx context.Context) (string, error) {
	p.observerSlots = make(chan struct{}, maxPropagationObservers)
	p.requestsCtx, p.cancelRequests = context.WithCancel(context.WithoutCancel(ctx))
	p.reports = make(chan dispatcher.TaskReport, taskReportQueueSize)
	p.Entry.OnTask = p.enqueueTaskReport
	p.metrics.AddBurnRates(&p.Reporter, p.Entry.Clock)
	s := &server.Server{
		Submit: p.submit, Get: p.Entry.Get, Cancel: p.Entry.Cancel,
		Publish: p.publish, History: p.history, Withdraw: p.withdraw, Return: p.returnDomain, Status: p.status,
		Burn: func(w io.Writer, format string) error {
			return p.Reporter.Report(p.Entry.Clock.Now()).Write(w, format)
		},
		Metrics: p.writeMetrics, Ready: p.ready, OnResponse: p.metrics.CountRequest, Clock: p.Entry.Clock, Token: p.Token,
		Bodies: limiter.BodyReader{Port: server.PortHTTP, Report: p.onClientLimit},
	}
	h, err := s.Handler()
	if err != nil {
		return "", err
	}
	p.listener = server.Listener{
		Handler: h, MaxConnections: p.MaxConnections, ClientMemory: p.ClientMemory, OnLimit: p.onClientLimit, AllowNonLoopback: p.AllowNonLoopback,
		OnError: func(text string) { p.Entry.Logger.Warn("entry: HTTP server: " + text) },
	}
	return p.listener.Listen(ctx, p.HTTPAddress)
}

// onClientLimit counts and logs a client's meeting with a limit. It does not block.
func (p *entryProcess) onClientLimit(e limiter.Event) {
	p.metrics.CountLimit(e.Port, string(e.Limit), string(e.Action))
	if count := p.limitLog.Add(e); count > 0 {
		p.Entry.Logger.WithFields(log.Fields{"limit": string(e.Limit), "action": string(e.Action), "count": count}).Warn("entry: a client met a limit")
	}
}

// serve runs the entry until ctx is canceled, and then drains it within the drain timeout: new jobs are rejected,
// submissions are handed over, and requests in flight are answered. Requests that still wait after four fifths of the
// timeout are answered with "running", because their connections would be closed at the timeout.
func (p *entryProcess) serve(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	entryDone, httpDone := make(chan error, 1), make(chan error, 1)
	go p.observeTaskReports(runCtx)
	go func() { entryDone <- p.Entry.Run(runCtx) }()
	go func() { httpDone <- p.listener.Serve() }()
	var err error
	select {
	case err = <-entryDone:
		entryDone <- nil
	case err = <-httpDone:
		httpDone <- nil
	case <-ctx.Done():
		p.draining.Store(true)
		p.Entry.Logger.Info("entry: draining")
	}
	shutdownCtx, cancel := context.WithTimeout(runCtx, p.DrainTimeout.Duration())
	defer cancel()
	drainCtx, cancel := context.WithTimeout(shutdownCtx, (p.DrainTimeout * 4 / 5).Duration())
	defer cancel()
	errs := []error{err}
	if err == nil {
		errs = append(errs, p.Entry.Drain(drainCtx))
	}
	p.cancelRequests()
	errs = append(errs, p.listener.Shutdown(shutdownCtx))
	stop()
	return trace.NewAggregate(append(errs, <-entryDone, <-httpDone)...)
}

func (p *entryProcess) submit(ctx context.Context, j encoder.Job) encoder.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.requestsCtx, cancel)()
	started := p.Entry.Clock.Now()
	a := p.Entry.Submit(ctx, j)
	now := p.Entry.Clock.Now()
	sent, received := 0, 0
	for _, t := range j.Tasks {
		sent += len(t.Payload)
	}
	for _, r := range a.Results {
		received += len(r.Body)
	}
	p.metrics.CountJob(a.State.String(), len(j.Tasks), sent, received, now-started)
	if countsForSLO(a) {
		p.Reporter.Observe(now, reporter.Observation{
			Response: now - started, Ideal: idealResponse(j), Failed: a.State == encoder.JobFailed,
		})
	}
	return a
}

// countsForSLO reports whether an answer counts towards the service-level objectives. Failures caused by the caller do
// not.
func countsForSLO(a encoder.Answer) bool {
	if a.State == encoder.JobComplete {
		return true
	}
	switch a.Code {
	case encoder.CodeTaskFailed, encoder.CodeUnknown, encoder.CodeDeadline, encoder.CodeOverload, encoder.CodeUnavailable:
		return a.State == encoder.JobFailed
	}
	return false
}

// idealResponse returns the response time of a job with a free slot for each task and no network latency, which is the
// longest declared run time. It returns 0, which means unknown, if a task declares none.
func idealResponse(j encoder.Job) timer.Millis {
	var longest timer.Millis
	for _, t := range j.Tasks {
		if t.RunTime == 0 {
			return 0
		}
		longest = max(longest, t.RunTime)
	}
	return longest
}

func (p *entryProcess) ready() bool {
	if p.draining.Load() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return p.Entry.Status(ctx).Joined
}

func (p *entryProcess) writeMetrics(w io.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s := p.Entry.Status(ctx)
	for name, value := range map[string]int{
		"crocuslb_queued_tasks": s.Queued, "crocuslb_open_submissions": s.Submissions, "crocuslb_kept_answers": s.CachedAnswers,
		"crocuslb_kept_answers_bytes": s.CachedAnswerBytes, "crocuslb_sidecars": len(s.Sidecars), "crocuslb_roster_entries": len(s.Roster.Entries),
		"crocuslb_lagging_processes": s.Lagging,
	} {
		p.metrics.SetGauge(name, float64(value))
	}
	n := s.Counters
	for name, value := range map[string]uint64{
		"crocuslb_submitted_jobs_total": n.Submitted, "crocuslb_complete_jobs_total": n.Complete, "crocuslb_failed_jobs_total": n.Failed,
		"crocuslb_started_tasks_total": n.Started, "crocuslb_refused_starts_total": n.Refused, "crocuslb_requeued_tasks_total": n.Requeued,
		"crocuslb_ignored_messages_total": n.Ignored, "crocuslb_forwarded_requests_total": n.Forwarded, "crocuslb_takeovers_total": n.Takeovers,
	} {
		p.metrics.SetTotal(name, value)
	}
	p.members.updateMetrics(&p.metrics)
	for i := 1; i < encoder.TypeCount; i++ {
		label := fmt.Sprintf("{type=%q}", encoder.Type(i))
		p.metrics.SetTotal("crocuslb_sent_messages_total"+label, s.Sent[i])
		p.metrics.SetTotal("crocuslb_received_messages_total"+label, s.Received[i])
	}
	p.metrics.SetTotal("crocuslb_unobserved_tasks_total", p.droppedReports.Load())
	p.metrics.Write(w)
}
