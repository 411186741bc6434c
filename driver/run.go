// Package driver runs load tests against a fleet of processes on loopback and measures latency, CPU time and memory.
package driver

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/launcher"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	readyTimeout       = 60 * time.Second
	readyRetryInterval = 100 * time.Millisecond
	// directRequests is the number of requests sent directly to a backend server as a baseline.
	directRequests     = 100
	maxRate            = 1e6
	startedTasksMetric = "crocuslb_started_tasks_total "
)

// Plan describes a load test. Set every field of Load except Prefix and URLs.
type Plan struct {
	Load

	Directory         string // directory of the built programs
	Entries           int
	Backends          int  // number of backend servers, each with a sidecar process
	SimulatedSidecars int  // number of simulated sidecars in this process; must be 0 if Backends is set
	Slots             int  // slots per sidecar
	UseNonOwner       bool // send the jobs to an entry that is not the owner
}

// Check validates the plan and returns all violations in one error.
func (p Plan) Check() error {
	var errs []error
	for _, c := range []struct {
		name          string
		value, lowest int
		highest       int
	}{
		{"entries", p.Entries, 1, 16},
		{"backends and stand-ins", p.Backends + p.SimulatedSidecars, 1, 200},
		{"slots", p.Slots, 1, 10_000},
		{"connections", p.Connections, 1, 2000},
		{"tasks", p.TasksPerJob, 1, 1000},
		{"jobs", p.Jobs, 1, 10_000_000},
		{"payload", p.PayloadBytes, 0, 1 << 16},
		{"time", int(p.TestDuration), 1, int(10 * timer.Minute)},
		{"run time", int(p.RunTime), 0, int(5 * timer.Second)},
	} {
		if c.value < c.lowest || c.value > c.highest {
			errs = append(errs, trace.BadParameter("%s: got %d, want %d to %d", c.name, c.value, c.lowest, c.highest))
		}
	}
	if p.Rate < 0 || p.Rate > maxRate {
		errs = append(errs, trace.BadParameter("rate: got %g, want 0 to %g", p.Rate, float64(maxRate)))
	}
	if p.Backends > 0 && p.SimulatedSidecars > 0 {
		errs = append(errs, trace.BadParameter("backends and stand-ins cannot be mixed"))
	}
	if p.UseNonOwner && p.Entries == 1 {
		errs = append(errs, trace.BadParameter("-other needs two or more entries: a single entry owns every key"))
	}
	return trace.NewAggregate(errs...)
}

// Run launches the fleet, applies the load and returns the measurements.
func Run(ctx context.Context, p Plan) (*Report, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &launcher.Fleet{ProgramDir: p.Directory, Entries: p.Entries, Backends: p.Backends, Domains: 1, Slots: p.Slots}
	defer f.Close()
	if err := f.Launch(ctx); err != nil {
		return nil, err
	}
	if err := p.connectSimulatedSidecars(ctx, f); err != nil {
		return nil, err
	}
	if err := p.awaitReady(ctx, f); err != nil {
		return nil, err
	}
	owner, err := findOwner(ctx, f)
	if err != nil {
		return nil, err
	}
	r := &Report{Plan: p, Owner: launcher.EntryName(owner)}
	p.URLs = []string{f.EntryURL(owner)}
	if p.UseNonOwner {
		p.URLs[0] = f.EntryURL((owner + 1) % p.Entries)
	}
	if p.Backends > 0 {
		if r.DirectLatencies, err = p.measureDirect(ctx, f.BackendURL(0)); err != nil {
			return nil, err
		}
	}
	before, err := p.processUsage(f)
	if err != nil {
		return nil, err
	}
	p.Prefix = "load"
	if r.Result, err = p.Run(ctx); err != nil {
		return nil, err
	}
	if r.Usage, err = p.processUsage(f); err != nil {
		return nil, err
	}
	for name, u := range before {
		after := r.Usage[name]
		after.CPUTime -= u.CPUTime
		r.Usage[name] = after
	}
	return r, nil
}

func (p Plan) connectSimulatedSidecars(ctx context.Context, f *launcher.Fleet) error {
	keys, err := f.TLSConfig()
	if err != nil {
		return err
	}
	var entries []string
	for i := range p.Entries {
		entries = append(entries, f.EntryAddress(i))
	}
	for i := range p.SimulatedSidecars {
		s := &SimulatedSidecar{ID: simulatedSidecarID(i), Slots: uint32(p.Slots), RunTime: p.RunTime, TLS: keys}
		s.Connect(ctx, entries)
	}
	return nil
}

// awaitReady repeats a small load until none of its jobs fails.
func (p Plan) awaitReady(ctx context.Context, f *launcher.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	warmUp := p.Load
	warmUp.Rate, warmUp.Jobs, warmUp.RunTime = 0, p.Connections, min(p.RunTime, 1)
	for i := range p.Entries {
		warmUp.URLs = append(warmUp.URLs, f.EntryURL(i))
	}
	for n := 0; ; n++ {
		warmUp.Prefix = "warm" + strconv.Itoa(n)
		result, err := warmUp.Run(ctx)
		if err != nil {
			return err
		}
		if result.Failed == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return trace.LimitExceeded("fleet not ready before the timeout: %s", result.FailureReason)
		}
		time.Sleep(readyRetryInterval)
	}
}

// findOwner returns the index of the entry that started the most tasks.
func findOwner(ctx context.Context, f *launcher.Fleet) (int, error) {
	owner, maxStarts := 0, -1
	for i := range f.Entries {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.EntryURL(i)+"/metrics", nil)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		request.Header.Set("Authorization", "Bearer "+launcher.OperatorToken)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		body, err := io.ReadAll(response.Body)
		if err = trace.NewAggregate(err, response.Body.Close()); err != nil {
			return 0, err
		}
		for line := range strings.Lines(string(body)) {
			if value, ok := strings.CutPrefix(line, startedTasksMetric); ok {
				if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n > maxStarts {
					owner, maxStarts = i, n
				}
			}
		}
	}
	if maxStarts < 0 {
		return 0, trace.NotFound("no entry exports the metric crocuslb_started_tasks_total")
	}
	return owner, nil
}

// measureDirect measures requests sent to a backend server without an entry or a sidecar in between.
func (p Plan) measureDirect(ctx context.Context, url string) ([]time.Duration, error) {
	var latencies []time.Duration
	for range directRequests {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/run/quote",
			bytes.NewReader(fmt.Appendf(nil, `{"runMs":%d,"echo":"x"}`, p.RunTime)))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		start := time.Now()
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		_, err = io.Copy(io.Discard, response.Body)
		if err = trace.NewAggregate(err, response.Body.Close()); err != nil {
			return nil, err
		}
		latencies = append(latencies, time.Since(start))
	}
	return latencies, nil
}

// processUsage returns the resource usage of each entry and sidecar process by name.
func (p Plan) processUsage(f *launcher.Fleet) (map[string]Usage, error) {
	var names []string
	for i := range p.Entries {
		names = append(names, launcher.EntryName(i))
	}
	for i := range p.Backends {
		names = append(names, launcher.SidecarName(i))
	}
	usage := map[string]Usage{}
	for _, name := range names {
		u, err := readUsage(f.Process(name).PID())
		if err != nil {
			return nil, trace.Wrap(err, "usage of %s", name)
		}
		usage[name] = u
	}
	return usage, nil
}

func sortedNames(usage map[string]Usage) []string { return slices.Sorted(maps.Keys(usage)) }
