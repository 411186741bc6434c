package commander

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/dispatcher"
	"github.com/crocuslb/crocuslb/emulator"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/messenger"
	"github.com/crocuslb/crocuslb/server"
	"github.com/crocuslb/crocuslb/starter"
	"github.com/crocuslb/crocuslb/timer"
)

// The size and layout of the cluster are those of the site Lyhtyöljy, without the latency between its failure domains.
const (
	demoEntries      = 3
	demoSidecars     = 11
	demoSlots        = 8
	demoTaskKind     = "sleep"
	demoDrainTimeout = 4 * timer.Second
	demoAppendDelay  = 4 * timer.Millisecond // a synced write to the log takes several ms
	demoPollInterval = 10 * time.Millisecond
)

type (
	// demoCluster is a cluster in one process, whose entries and sidecars each have their own loopback sockets.
	demoCluster struct {
		starts     startRecorder
		entries    []*demoProcess
		sidecars   []*demoProcess
		httpClient *http.Client
		token      string
		cancel     context.CancelFunc
	}

	// demoProcess is a running entry or sidecar of the cluster.
	demoProcess struct {
		entry  *entryProcess // nil for a sidecar
		url    string        // base URL of an entry; empty for a sidecar
		domain string
		cancel context.CancelFunc
		done   chan error
	}
)

var demoDomains = [...]string{"north", demoWithdrawnDomain, "west"}

func demoDomainAt(i int) string { return demoDomains[i%len(demoDomains)] }

// startDemoCluster starts all entries and sidecars, with a secret and a token generated for this run.
func startDemoCluster(ctx context.Context, logger *log.Logger) (*demoCluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	dc := &demoCluster{
		token: rand.Text(), cancel: cancel,
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	if err := dc.start(ctx, logger); err != nil {
		return nil, trace.NewAggregate(err, dc.stop())
	}
	return dc, nil
}

func (dc *demoCluster) start(ctx context.Context, logger *log.Logger) error {
	tlsConfig, err := messenger.NewTLSConfig(rand.Text() + rand.Text())
	if err != nil {
		return err
	}
	eventLog := &emulator.Log{}
	eventLog.UpdateSettings(func(s *emulator.LogSettings) { s.AppendDelay = demoAppendDelay })
	logURL, err := emulator.ServeLog(ctx, "127.0.0.1:0", eventLog)
	if err != nil {
		return err
	}
	var quicAddresses []string
	for i := range demoEntries {
		quicAddress, err := freeAddress(ctx)
		if err != nil {
			return err
		}
		quicAddresses = append(quicAddresses, quicAddress)
		p := &entryProcess{
			Entry: &dispatcher.Entry{
				ID: fmt.Sprintf("entry-%d", i+1), Listen: quicAddress, Domain: demoDomainAt(i), TLS: tlsConfig, Logger: logger,
				Log: &appender.Client{URL: logURL, Timeout: timer.Second},
			},
			HTTPAddress: "127.0.0.1:0", Token: dc.token, AllowNonLoopback: true, DrainTimeout: demoDrainTimeout,
		}
		httpAddress, err := p.start(ctx)
		if err != nil {
			return err
		}
		dc.entries = append(dc.entries, startProcess(ctx, &demoProcess{entry: p, url: "http://" + httpAddress, domain: p.Entry.Domain}, p.serve))
	}
	for i := range demoSidecars {
		if err := dc.startSidecar(ctx, i, quicAddresses, tlsConfig, logger); err != nil {
			return err
		}
	}
	return nil
}

// startSidecar starts a sidecar and its emulated backend server.
func (dc *demoCluster) startSidecar(ctx context.Context, i int, entries []string, tlsConfig *tls.Config, logger *log.Logger) error {
	domain := demoDomainAt(i)
	backend := &emulator.Backend{Slots: demoSlots, OnStart: dc.starts.recordDomain(domain)}
	url, err := backend.Serve(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	sidecar := &starter.Sidecar{
		ID: fmt.Sprintf("sidecar-%d", i+1), Domain: domain, Worker: fmt.Sprintf("worker-%d", i+1), Slots: demoSlots,
		Backend: url, Entries: entries, TLS: tlsConfig, Log: logger,
	}
	dc.sidecars = append(dc.sidecars, startProcess(ctx, &demoProcess{domain: domain}, func(ctx context.Context) error {
		return serveSidecar(ctx, sidecar, demoDrainTimeout)
	}))
	return nil
}

// startProcess runs serve in a goroutine. Its context is canceled when p is stopped, before that of the cluster.
func startProcess(ctx context.Context, p *demoProcess, serve func(context.Context) error) *demoProcess {
	ctx, p.cancel = context.WithCancel(ctx)
	p.done = make(chan error, 1)
	go func() { p.done <- serve(ctx) }()
	return p
}

// stop shuts the process down gracefully and waits for it. It may be called more than once.
func (p *demoProcess) stop() error {
	p.cancel()
	err := <-p.done
	p.done <- nil
	return err
}

// stop shuts all processes down gracefully, entries last, so that sidecars can deliver results. It may be called more
// than once.
func (dc *demoCluster) stop() error {
	defer dc.cancel()
	var errs []error
	for _, processes := range [][]*demoProcess{dc.sidecars, dc.entries} {
		done := make(chan error, len(processes))
		for _, p := range processes {
			go func() { done <- p.stop() }()
		}
		for range processes {
			errs = append(errs, <-done)
		}
	}
	return trace.NewAggregate(errs...)
}

// awaitReady waits until every entry has joined the roster, is connected to every sidecar and has taken over its keys.
// The takeover after the first start of a cluster may stay "partial", because the previous roster is empty, and so none
// of its members can confirm which sidecars exist.
func (dc *demoCluster) awaitReady(ctx context.Context, timeout timer.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	for ctx.Err() == nil {
		notReady := 0
		for _, e := range dc.entries {
			s := e.entry.Entry.Status(ctx)
			connected := 0
			for _, sidecar := range s.Sidecars {
				if sidecar.Connected {
					connected++
				}
			}
			if len(s.Roster.Entries) < demoEntries || connected < demoSidecars || s.Takeover != "settled" && s.Takeover != "partial" {
				notReady++
			}
		}
		if notReady == 0 {
			return nil
		}
		time.Sleep(demoPollInterval)
	}
	return trace.LimitExceeded("the entries and sidecars were not ready within %v", timeout)
}

// awaitStarts waits until n recorded starts match, or until ctx is done.
func (dc *demoCluster) awaitStarts(ctx context.Context, match func(startRecord) bool, n int) {
	for ctx.Err() == nil {
		matching := 0
		for _, s := range dc.starts.snapshot() {
			if match(s) {
				matching++
			}
		}
		if matching >= n {
			return
		}
		time.Sleep(demoPollInterval)
	}
}

func (dc *demoCluster) client(entry int) server.Client {
	return server.Client{URL: dc.entries[entry].url, Token: dc.token, HTTP: dc.httpClient}
}

// slotCount returns the number of slots of a failure domain.
func (dc *demoCluster) slotCount(domain string) int {
	n := 0
	for _, s := range dc.sidecars {
		if s.domain == domain {
			n += demoSlots
		}
	}
	return n
}

// freeAddress returns a loopback address with a UDP port that is free now. The sidecars and the other entries need the
// addresses of the entries before all of those listen.
func freeAddress(ctx context.Context) (string, error) {
	var lc net.ListenConfig
	c, err := lc.ListenPacket(ctx, "udp", "127.0.0.1:0")
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	return c.LocalAddr().String(), trace.Wrap(c.Close())
}

// encoderJob returns the job in the form in which it is submitted.
func (j *demoJob) encoderJob() encoder.Job {
	out := encoder.Job{Key: j.key, Team: "demo", Once: j.once}
	for i, runTime := range j.runTimes {
		out.Tasks = append(out.Tasks, encoder.JobTask{Kind: demoTaskKind, Payload: j.payload(i), RunTime: runTime})
	}
	return out
}

func (j *demoJob) payload(i int) []byte {
	return fmt.Appendf(nil, `{"runMs":%d,"echo":%q}`, j.runTimes[i], j.result(i))
}

// result returns the expected result of the task, which the emulated backend server echoes.
func (j *demoJob) result(i int) string { return fmt.Sprintf("%s/%d", j.key, i) }
