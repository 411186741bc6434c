package soaker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/crocuslb/crocuslb/launcher"
	"github.com/crocuslb/crocuslb/platform/platformtest"
)

// fault is a way to disturb a run. It returns when it is over.
type fault struct {
	name string
	do   func(s *soak, ctx context.Context, pick int, length time.Duration)
}

// faults are drawn with equal chances. They overlap.
var faults = []fault{
	{"entry killed", func(s *soak, ctx context.Context, pick int, length time.Duration) {
		s.kill(ctx, s.entry(pick), length/4)
	}},
	{"sidecar killed", func(s *soak, ctx context.Context, pick int, length time.Duration) {
		s.kill(ctx, s.sidecar(pick), length/4)
	}},
	{"entry stopped", func(s *soak, ctx context.Context, pick int, _ time.Duration) { s.stop(ctx, s.entry(pick)) }},
	{"sidecar stopped", func(s *soak, ctx context.Context, pick int, _ time.Duration) { s.stop(ctx, s.sidecar(pick)) }},
	{"entry paused", func(s *soak, _ context.Context, pick int, length time.Duration) { s.pause(s.entry(pick), length) }},
	{"sidecar paused", func(s *soak, _ context.Context, pick int, length time.Duration) { s.pause(s.sidecar(pick), length) }},
	{"connections reset", func(s *soak, _ context.Context, pick int, _ time.Duration) { s.entry(pick).front.reset(0.5) }},
	{"connections silent", func(s *soak, _ context.Context, pick int, _ time.Duration) { s.entry(pick).front.silence() }},
	{"link cut", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.entry(pick).front.cut(length, true, true)
	}},
	{"link cut one way", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.entry(pick).front.cut(length, pick%2 == 0, pick%2 == 1)
	}},
	{"link slow", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.entry(pick).front.setDelay(10 * time.Millisecond)
		time.Sleep(length)
		s.entry(pick).front.setDelay(0)
	}},
	{"store cut from a process", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.nodes[pick%len(s.nodes)].toStore.cut(length, true, true)
	}},
	{"store connections silent", func(s *soak, _ context.Context, pick int, _ time.Duration) {
		s.nodes[pick%len(s.nodes)].toStore.silence()
	}},
	{"store silent", func(s *soak, _ context.Context, _ int, length time.Duration) {
		s.storeFault(platformtest.StoreFaults{Unresponsive: true}, length)
	}},
	{"store refuses", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.storeFault(platformtest.StoreFaults{Status: []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[pick%2]}, length)
	}},
	{"store slow", func(s *soak, _ context.Context, _ int, length time.Duration) {
		s.storeFault(platformtest.StoreFaults{Slow: 300 * time.Millisecond}, length)
	}},
	{"store answers lost", func(s *soak, _ context.Context, _ int, length time.Duration) {
		s.storeFault(platformtest.StoreFaults{Lost: 0.4}, length)
	}},
	{"store forgets its history", func(s *soak, _ context.Context, _ int, _ time.Duration) { s.store.Expire("keyed.op", 1<<40) }},
	{"backend server restarted", func(s *soak, _ context.Context, pick int, _ time.Duration) { s.restartBackend(pick) }},
	{"orders carried out late", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.backendFault(pick, platformtest.BackendFaults{Late: 0.15}, length)
	}},
	{"runs stand still", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.backendFault(pick, platformtest.BackendFaults{Stalled: true}, length)
	}},
	{"backend server fails all", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.backendFault(pick, platformtest.BackendFaults{FailRuns: true}, length)
	}},
	{"backend server slow", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.backendFault(pick, platformtest.BackendFaults{DurationFactor: 6}, length)
	}},
	{"backend server leaves", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.backend(pick).Drain()
		time.Sleep(length + drainBound)
		s.restartBackend(pick)
	}},
	{"domain withdrawn", func(s *soak, _ context.Context, pick int, length time.Duration) {
		domain := domainName(pick)
		s.store.SetDomainWithdrawn(domain, true)
		s.checks.onWithdrawn(domain, true)
		time.Sleep(length)
		s.checks.onWithdrawn(domain, false)
		s.store.SetDomainWithdrawn(domain, false)
	}},
	{"configuration changed", func(s *soak, _ context.Context, pick int, _ time.Duration) { s.reconfigure(pick) }},
}

// Faults returns the names of the faults.
func Faults() (names []string) {
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// inject draws faults until disturbed ends.
func (s *soak) inject(disturbed, ctx context.Context) { //nolint:revive // the two contexts are equals
	for disturbed.Err() == nil {
		pause := time.Duration(float64(s.plan.FaultEvery) * (0.2 + 1.6*s.random.Float64()))
		f, pick := faults[s.random.IntN(len(faults))], s.random.IntN(1<<20)
		length := time.Duration(200+s.random.IntN(3500)) * time.Millisecond
		select {
		case <-disturbed.Done():
			return
		case <-time.After(pause):
		}
		s.mu.Lock()
		s.faults = append(s.faults, fmt.Sprintf("%6.2f s %s (%d, %s)", time.Since(s.started).Seconds(), f.name, pick%12, length))
		s.mu.Unlock()
		s.faulted.Go(func() { f.do(s, ctx, pick, length) })
	}
}

// heal ends what lasts.
func (s *soak) heal() {
	s.store.SetFaults(platformtest.StoreFaults{})
	for _, b := range s.backends {
		b.SetFaults(platformtest.BackendFaults{})
	}
}

func (s *soak) entry(pick int) *node                   { return s.nodes[pick%s.plan.Entries] }
func (s *soak) sidecar(pick int) *node                 { return s.nodes[s.plan.Entries+pick%s.plan.Sidecars] }
func (s *soak) backend(pick int) *platformtest.Backend { return s.backends[pick%len(s.backends)] }
func (s *soak) storeFault(f platformtest.StoreFaults, d time.Duration) {
	s.store.SetFaults(f)
	time.Sleep(d)
	s.store.SetFaults(platformtest.StoreFaults{})
}

// restartBackend begins a new life of a backend server, which does not leave.
func (s *soak) restartBackend(pick int) {
	s.backend(pick).Restart()
	s.checks.onReturned(s.backend(pick).ID)
}

func (s *soak) backendFault(pick int, f platformtest.BackendFaults, d time.Duration) {
	s.backend(pick).SetFaults(f)
	time.Sleep(d)
	s.backend(pick).SetFaults(platformtest.BackendFaults{})
}

// take claims a node for a fault that ends its process. It returns false when another one has it.
func (n *node) take() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return false
	}
	n.stopped = true
	return true
}

func (n *node) release() {
	n.mu.Lock()
	n.stopped = false
	n.mu.Unlock()
}

func (s *soak) kill(ctx context.Context, n *node, down time.Duration) {
	if !n.take() {
		return
	}
	defer n.release()
	p := n.current()
	p.Kill()
	// A supervisor starts a program again once it has ended, when its listeners are free.
	if _, err := p.Wait(ctx); err != nil && ctx.Err() == nil {
		s.checks.violate("%s did not end after SIGKILL: %v", n.name, err)
	}
	time.Sleep(down)
	s.restart(ctx, n)
}

// stop ends a process by plan and checks that it ends by itself, with status 0.
func (s *soak) stop(ctx context.Context, n *node) {
	if !n.take() {
		return
	}
	defer n.release()
	p := n.current()
	p.Stop()
	started := time.Now()
	code, err := s.await(ctx, n, p, started)
	switch {
	case err != nil && ctx.Err() == nil:
		s.checks.violate("%s did not end within %s of SIGTERM at %s: %v", n.name, stopBound, started.Format("05.000"), err)
		p.Kill()
	case err == nil && code != 0:
		s.checks.violate("%s ended with status %d after SIGTERM: %s", n.name, code, p.Tail(3))
	}
	s.restart(ctx, n)
}

// await waits for the end of a process. The time in which the process is paused does not count.
func (s *soak) await(ctx context.Context, n *node, p *launcher.Process, started time.Time) (int, error) {
	for {
		limit, cancel := context.WithDeadline(ctx, started.Add(stopBound+s.pausedSince(n, started)))
		code, err := p.Wait(limit)
		cancel()
		if err == nil || time.Since(started) >= stopBound+s.pausedSince(n, started) {
			return code, err
		}
	}
}

func (s *soak) restart(ctx context.Context, n *node) {
	time.Sleep(restartPause)
	if err := s.startNode(ctx, n); err != nil && ctx.Err() == nil {
		s.checks.violate("%s did not start again: %v", n.name, err)
	}
}

func (s *soak) pause(n *node, d time.Duration) {
	p := n.current()
	s.mu.Lock()
	s.pauses = append(s.pauses, pause{n, time.Now(), d})
	s.mu.Unlock()
	p.Pause()
	time.Sleep(d)
	p.Resume()
}

// pausedSince returns how long the node was or will be paused after a time, at most.
func (s *soak) pausedSince(n *node, at time.Time) (total time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pauses {
		if p.node == n && p.at.Add(p.length).After(at) {
			total += p.length
		}
	}
	return total
}

// reconfigure adds or drops a queue that the callers do not use.
func (s *soak) reconfigure(pick int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + pick%3
	if pick%2 == 0 {
		s.store.PublishConfiguration(s.version, service, prefix, "/other/")
	} else {
		s.store.PublishConfiguration(s.version, service, prefix)
	}
}
