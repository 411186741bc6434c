// Package driver loads a fleet of processes on loopback with jobs and measures latency, processor time and memory.
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
	readyTimeout = 60 * time.Second
	readyPause   = 100 * time.Millisecond
	// directCalls is the number of calls that are sent straight to a backend server for comparison.
	directCalls  = 100
	maxRate      = 1e6
	startedTotal = "crocuslb_started_tasks_total "
)

// Plan describes a run. Every field of Load but Prefix and URLs is to be set.
type Plan struct {
	Load

	Directory string // holds the built programs
	Entries   int
	Backends  int  // backend servers with real sidecars
	StandIns  int  // sidecars in this process, without backend servers; at most one of the two may be set
	Slots     int  // of each sidecar
	Other     bool // send the jobs to an entry that is not the owner
}

// Check returns an error that lists what is wrong with the plan.
func (p Plan) Check() error {
	var errs []error
	for _, c := range []struct {
		name          string
		value, lowest int
		highest       int
	}{
		{"entries", p.Entries, 1, 16},
		{"backends and stand-ins", p.Backends + p.StandIns, 1, 200},
		{"slots", p.Slots, 1, 10_000},
		{"connections", p.Connections, 1, 2000},
		{"tasks", p.Tasks, 1, 1000},
		{"jobs", p.Jobs, 1, 10_000_000},
		{"payload", p.Payload, 0, 1 << 16},
		{"time", int(p.Length), 1, int(10 * timer.Minute)},
		{"run time", int(p.RunTime), 0, int(5 * timer.Second)},
	} {
		if c.value < c.lowest || c.value > c.highest {
			errs = append(errs, trace.BadParameter("%s: got %d, want %d to %d", c.name, c.value, c.lowest, c.highest))
		}
	}
	if p.Rate < 0 || p.Rate > maxRate {
		errs = append(errs, trace.BadParameter("rate: got %g, want 0 to %g", p.Rate, float64(maxRate)))
	}
	if p.Backends > 0 && p.StandIns > 0 {
		errs = append(errs, trace.BadParameter("backends and stand-ins cannot be mixed"))
	}
	if p.Other && p.Entries == 1 {
		errs = append(errs, trace.BadParameter("a single entry is the owner of every key"))
	}
	return trace.NewAggregate(errs...)
}

// Run launches the fleet, sends the load and returns the measurements.
func Run(ctx context.Context, p Plan) (*Report, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &launcher.Fleet{Directory: p.Directory, Entries: p.Entries, Backends: p.Backends, Domains: 1, Slots: p.Slots}
	defer f.Close()
	if err := f.Launch(ctx); err != nil {
		return nil, err
	}
	if err := p.standIns(ctx, f); err != nil {
		return nil, err
	}
	if err := p.ready(ctx, f); err != nil {
		return nil, err
	}
	owner, err := ownerOf(ctx, f)
	if err != nil {
		return nil, err
	}
	r := &Report{Plan: p, Owner: launcher.EntryName(owner)}
	p.URLs = []string{f.EntryURL(owner)}
	if p.Other {
		p.URLs[0] = f.EntryURL((owner + 1) % p.Entries)
	}
	if p.Backends > 0 {
		if r.Direct, err = p.direct(ctx, f.BackendURL(0)); err != nil {
			return nil, err
		}
	}
	before, err := p.usage(f)
	if err != nil {
		return nil, err
	}
	p.Prefix = "load"
	if r.Samples, err = p.Run(ctx); err != nil {
		return nil, err
	}
	if r.Usage, err = p.usage(f); err != nil {
		return nil, err
	}
	for name, u := range before {
		after := r.Usage[name]
		after.Processor -= u.Processor
		r.Usage[name] = after
	}
	return r, nil
}

func (p Plan) standIns(ctx context.Context, f *launcher.Fleet) error {
	keys, err := f.Keys()
	if err != nil {
		return err
	}
	var entries []string
	for i := range p.Entries {
		entries = append(entries, f.EntryAddress(i))
	}
	for i := range p.StandIns {
		s := &StandIn{ID: standInName(i), Slots: uint32(p.Slots), RunTime: p.RunTime, TLS: keys}
		s.Connect(ctx, entries)
	}
	return nil
}

// ready warms the fleet up: it repeats a small load until no job of it fails.
func (p Plan) ready(ctx context.Context, f *launcher.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	w := p.Load
	w.Rate, w.Jobs, w.RunTime = 0, p.Connections, min(p.RunTime, 1)
	for i := range p.Entries {
		w.URLs = append(w.URLs, f.EntryURL(i))
	}
	for n := 0; ; n++ {
		w.Prefix = "warm" + strconv.Itoa(n)
		s, err := w.Run(ctx)
		if err != nil {
			return err
		}
		if s.Failed == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return trace.LimitExceeded("the fleet was not ready: %s", s.Reason)
		}
		time.Sleep(readyPause)
	}
}

// ownerOf returns the entry that started the most tasks.
func ownerOf(ctx context.Context, f *launcher.Fleet) (int, error) {
	owner, most := 0, -1
	for i := range f.Entries {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, f.EntryURL(i)+"/metrics", nil)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		q.Header.Set("Authorization", "Bearer "+launcher.Token)
		a, err := http.DefaultClient.Do(q)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		body, err := io.ReadAll(a.Body)
		if err = trace.NewAggregate(err, a.Body.Close()); err != nil {
			return 0, err
		}
		for line := range strings.Lines(string(body)) {
			if text, ok := strings.CutPrefix(line, startedTotal); ok {
				if n, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && n > most {
					owner, most = i, n
				}
			}
		}
	}
	if most < 0 {
		return 0, trace.NotFound("no entry reports the number of tasks that it started")
	}
	return owner, nil
}

// direct measures calls to a backend server without the path.
func (p Plan) direct(ctx context.Context, url string) ([]time.Duration, error) {
	var list []time.Duration
	for range directCalls {
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/run/quote",
			bytes.NewReader(fmt.Appendf(nil, `{"runMs":%d,"echo":"x"}`, p.RunTime)))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		begun := time.Now()
		a, err := http.DefaultClient.Do(q)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		_, err = io.Copy(io.Discard, a.Body)
		if err = trace.NewAggregate(err, a.Body.Close()); err != nil {
			return nil, err
		}
		list = append(list, time.Since(begun))
	}
	return list, nil
}

// usage returns the usage of each process of the product by name.
func (p Plan) usage(f *launcher.Fleet) (map[string]Usage, error) {
	var names []string
	for i := range p.Entries {
		names = append(names, launcher.EntryName(i))
	}
	for i := range p.Backends {
		names = append(names, launcher.SidecarName(i))
	}
	list := map[string]Usage{}
	for _, name := range names {
		u, err := readUsage(f.Process(name).PID())
		if err != nil {
			return nil, trace.Wrap(err, "usage of %s", name)
		}
		list[name] = u
	}
	return list, nil
}

func sortedNames(list map[string]Usage) []string { return slices.Sorted(maps.Keys(list)) }
