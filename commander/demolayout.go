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

// The layout is that of Lyhtyöljy, without the delays between its failure domains.
const (
	demoEntries  = 3
	demoSidecars = 11
	demoSlots    = 8
	demoKind     = "sleep"
	demoDrain    = 4 * timer.Second
	demoAppend   = 4 * timer.Millisecond // a synced write of the log takes several ms
	demoPeriod   = 10 * time.Millisecond
)

type (
	// layout is an installation in one process: every part has its own loopback sockets.
	layout struct {
		recorder recorder
		entries  []*part
		sidecars []*part
		web      *http.Client
		token    string
		cancel   context.CancelFunc
	}

	// part is a running entry or sidecar.
	part struct {
		process *entryProcess // of entries
		url     string        // of entries
		domain  string
		cancel  context.CancelFunc
		done    chan error
	}
)

var demoDomains = [...]string{"north", demoDomain, "west"}

func demoDomainOf(i int) string { return demoDomains[i%len(demoDomains)] }

// startLayout starts all parts with keys that are made for this run.
func startLayout(ctx context.Context, logger *log.Logger) (*layout, error) {
	ctx, cancel := context.WithCancel(ctx)
	l := &layout{
		token: rand.Text(), cancel: cancel,
		web: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	if err := l.start(ctx, logger); err != nil {
		return nil, trace.NewAggregate(err, l.stop())
	}
	return l, nil
}

func (l *layout) start(ctx context.Context, logger *log.Logger) error {
	keys, err := messenger.Keys(rand.Text() + rand.Text())
	if err != nil {
		return err
	}
	platform := &emulator.Log{}
	platform.Change(func(s *emulator.LogSettings) { s.AppendDelay = demoAppend })
	logURL, err := emulator.ServeLog(ctx, "127.0.0.1:0", platform)
	if err != nil {
		return err
	}
	var addresses []string
	for i := range demoEntries {
		address, err := freeAddress(ctx)
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
		p := &entryProcess{
			Entry: &dispatcher.Entry{
				ID: fmt.Sprintf("entry-%d", i+1), Listen: address, Domain: demoDomainOf(i), TLS: keys, Logger: logger,
				Log: &appender.Client{URL: logURL, Timeout: timer.Second},
			},
			Address: "127.0.0.1:0", Token: l.token, Guarded: true, Drain: demoDrain,
		}
		web, err := p.start(ctx)
		if err != nil {
			return err
		}
		l.entries = append(l.entries, launch(ctx, &part{process: p, url: "http://" + web, domain: p.Entry.Domain}, p.serve))
	}
	for i := range demoSidecars {
		if err := l.startSidecar(ctx, i, addresses, keys, logger); err != nil {
			return err
		}
	}
	return nil
}

// startSidecar starts a sidecar with its backend server.
func (l *layout) startSidecar(ctx context.Context, i int, entries []string, keys *tls.Config, logger *log.Logger) error {
	domain := demoDomainOf(i)
	backend := &emulator.Backend{Slots: demoSlots, OnStart: l.recorder.in(domain)}
	url, err := backend.Serve(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	sidecar := &starter.Sidecar{
		ID: fmt.Sprintf("sidecar-%d", i+1), Domain: domain, Worker: fmt.Sprintf("worker-%d", i+1), Slots: demoSlots,
		Backend: url, Entries: entries, TLS: keys, Log: logger,
	}
	l.sidecars = append(l.sidecars, launch(ctx, &part{domain: domain}, func(ctx context.Context) error {
		return serveSidecar(ctx, sidecar, demoDrain)
	}))
	return nil
}

// launch starts a part; its context ends when the part is stopped, before that of the layout.
func launch(ctx context.Context, p *part, serve func(context.Context) error) *part {
	ctx, p.cancel = context.WithCancel(ctx)
	p.done = make(chan error, 1)
	go func() { p.done <- serve(ctx) }()
	return p
}

// stop ends the part gracefully and waits for it. It may be called again.
func (p *part) stop() error {
	p.cancel()
	err := <-p.done
	p.done <- nil
	return err
}

// stop ends all parts gracefully, entries last, so that sidecars can deliver results. It may be called again.
func (l *layout) stop() error {
	defer l.cancel()
	var errs []error
	for _, list := range [][]*part{l.sidecars, l.entries} {
		ended := make(chan error, len(list))
		for _, p := range list {
			go func() { ended <- p.stop() }()
		}
		for range list {
			errs = append(errs, <-ended)
		}
	}
	return trace.NewAggregate(errs...)
}

// ready waits until every entry has joined the roster, knows every sidecar and works. After a first start it works with
// partial evidence ("partial"), since no member of the former, empty roster can vouch for the sidecars.
func (l *layout) ready(ctx context.Context, within timer.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, within.Duration())
	defer cancel()
	for ctx.Err() == nil {
		waiting := 0
		for _, e := range l.entries {
			s := e.process.Entry.Status(ctx)
			connected := 0
			for _, c := range s.Sidecars {
				if c.Connected {
					connected++
				}
			}
			if len(s.Roster.Entries) < demoEntries || connected < demoSidecars || s.Takeover != "settled" && s.Takeover != "partial" {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
		time.Sleep(demoPeriod)
	}
	return trace.LimitExceeded("the entries and sidecars did not find each other within %v", within)
}

// started waits until n recorded starts match.
func (l *layout) started(ctx context.Context, match func(startRecord) bool, n int) {
	for ctx.Err() == nil {
		found := 0
		for _, s := range l.recorder.list() {
			if match(s) {
				found++
			}
		}
		if found >= n {
			return
		}
		time.Sleep(demoPeriod)
	}
}

func (l *layout) client(entry int) server.Client {
	return server.Client{URL: l.entries[entry].url, Token: l.token, HTTP: l.web}
}

// slots returns the number of slots in a failure domain.
func (l *layout) slots(domain string) int {
	n := 0
	for _, s := range l.sidecars {
		if s.domain == domain {
			n += demoSlots
		}
	}
	return n
}

// freeAddress finds a UDP port on loopback that is free now; the entries need each other's addresses before they listen.
func freeAddress(ctx context.Context) (string, error) {
	var lc net.ListenConfig
	c, err := lc.ListenPacket(ctx, "udp", "127.0.0.1:0")
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	return c.LocalAddr().String(), trace.Wrap(c.Close())
}

// job returns the job as it is submitted.
func (j *demoJob) job() encoder.Job {
	out := encoder.Job{Key: j.key, Team: "demo", Once: j.once}
	for i, run := range j.tasks {
		out.Tasks = append(out.Tasks, encoder.JobTask{Kind: demoKind, Payload: j.payload(i), RunTime: run})
	}
	return out
}

func (j *demoJob) payload(i int) []byte {
	return fmt.Appendf(nil, `{"runMs":%d,"echo":%q}`, j.tasks[i], j.result(i))
}

// result is what the backend server answers for the task.
func (j *demoJob) result(i int) string { return fmt.Sprintf("%s/%d", j.key, i) }
