package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/crocuslb/crocuslb/launcher"
	"github.com/crocuslb/crocuslb/platform/platformtest"
)

// rebalanceInterval is the mean time between two reassignments of the partitions.
const rebalanceInterval = 2500 * time.Millisecond

// fault is a kind of fault. inject returns when the fault is over.
type fault struct {
	name   string
	inject func(s *soak, ctx context.Context, pick int, length time.Duration)
}

// faults are selected with equal probability. They may overlap.
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
	{"connections reset", func(s *soak, _ context.Context, pick int, _ time.Duration) { s.entry(pick).entryProxy.reset(0.5) }},
	{"connections silent", func(s *soak, _ context.Context, pick int, _ time.Duration) { s.entry(pick).entryProxy.stall() }},
	{"link cut", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.entry(pick).entryProxy.cut(length, true, true)
	}},
	{"link cut one way", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.entry(pick).entryProxy.cut(length, pick%2 == 0, pick%2 == 1)
	}},
	{"link slow", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.entry(pick).entryProxy.setDelay(10 * time.Millisecond)
		time.Sleep(length)
		s.entry(pick).entryProxy.setDelay(0)
	}},
	{"store cut from a process", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.nodes[pick%len(s.nodes)].storeProxy.cut(length, true, true)
	}},
	{"store connections silent", func(s *soak, _ context.Context, pick int, _ time.Duration) {
		s.nodes[pick%len(s.nodes)].storeProxy.stall()
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
		time.Sleep(length + drainStartLimit)
		s.restartBackend(pick)
	}},
	{"domain withdrawn", func(s *soak, _ context.Context, pick int, length time.Duration) {
		domain := domainName(pick)
		s.store.SetDomainWithdrawn(domain, true)
		s.checker.onWithdrawn(domain, true)
		time.Sleep(length)
		s.checker.onWithdrawn(domain, false)
		s.store.SetDomainWithdrawn(domain, false)
	}},
	{"configuration changed", func(s *soak, _ context.Context, pick int, _ time.Duration) { s.reconfigure(pick) }},
}

// FaultNames returns the names of all faults.
func FaultNames() (names []string) {
	for _, f := range slices.Concat(faults, shortageFaults, losses) {
		names = append(names, f.name)
	}
	return names
}

// selectFault selects the next fault.
func (s *soak) selectFault() fault {
	kinds := faults
	switch {
	case len(s.plan.Faults) > 0:
		kinds = slices.DeleteFunc(slices.Concat(faults, shortageFaults, losses), func(f fault) bool { return !slices.Contains(s.plan.Faults, f.name) })
	case s.plan.CPUShortage && s.random.Float64() < shortageFaultFraction:
		kinds = shortageFaults
	}
	return kinds[s.random.IntN(len(kinds))]
}

// inject injects faults until faultCtx is canceled.
func (s *soak) inject(faultCtx, ctx context.Context) { //nolint:revive // the two contexts are equals
	for faultCtx.Err() == nil {
		pause := time.Duration(float64(s.plan.FaultInterval) * (0.2 + 1.6*s.random.Float64()))
		f, pick := s.selectFault(), s.random.IntN(1<<20)
		length := time.Duration(200+s.random.IntN(3500)) * time.Millisecond
		select {
		case <-faultCtx.Done():
			return
		case <-time.After(pause):
		}
		s.start(ctx, f, pick, length)
	}
}

// start starts a fault and notes it.
func (s *soak) start(ctx context.Context, f fault, pick int, length time.Duration) {
	s.mu.Lock()
	s.injectedFaults = append(s.injectedFaults, fmt.Sprintf("%6.2f s %s (%d, %s)", time.Since(s.started).Seconds(), f.name, pick%12, length))
	s.checker.events.add("fault: %s (%d, %s)", f.name, pick%12, length)
	s.mu.Unlock()
	s.faultGroup.Go(func() { f.inject(s, ctx, pick, length) })
}

// rebalance lets the store reassign all partitions of durable jobs now and then until ctx is canceled, beside the other faults. It
// draws from a random source of its own, so that the other faults of a seed remain as they are.
func (s *soak) rebalance(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.plan.Seed, 8))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(2 * r.Float64() * float64(rebalanceInterval))):
		}
		s.checker.events.add("fault: partitions reassigned")
		s.store.Rebalance()
	}
}

// clearFaults ends the faults of the store and of the backend servers.
func (s *soak) clearFaults() {
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

// restartBackend restarts a backend server as a new instance that is not draining.
func (s *soak) restartBackend(pick int) {
	s.backend(pick).Restart()
	s.checker.onRestarted(s.backend(pick).ID)
}

func (s *soak) backendFault(pick int, f platformtest.BackendFaults, d time.Duration) {
	s.backend(pick).SetFaults(f)
	time.Sleep(d)
	s.backend(pick).SetFaults(platformtest.BackendFaults{})
}

// claim reserves a node for a fault that terminates its process. It returns false if another fault has reserved it.
func (n *node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.claimed {
		return false
	}
	n.claimed = true
	return true
}

func (n *node) release() {
	n.mu.Lock()
	n.claimed = false
	n.mu.Unlock()
}

func (s *soak) kill(ctx context.Context, n *node, downtime time.Duration) {
	if !n.claim() {
		return
	}
	defer n.release()
	p := n.current()
	p.Kill()
	// As a supervisor does, restart the program only after it has exited, when its ports are free.
	if _, err := p.Wait(ctx); err != nil && ctx.Err() == nil {
		s.checker.addViolation("%s did not exit after SIGKILL: %v", n.name, err)
	}
	time.Sleep(downtime)
	s.restart(ctx, n)
}

// stop sends SIGTERM to a process and checks that it exits in time with status 0.
func (s *soak) stop(ctx context.Context, n *node) {
	if !n.claim() {
		return
	}
	defer n.release()
	p := n.current()
	p.Stop()
	started := time.Now()
	code, err := s.awaitExit(ctx, n, p, started)
	switch {
	case err != nil && ctx.Err() == nil:
		s.checker.addViolation("%s did not exit within %s of SIGTERM at %s: %v", n.name, stopTimeout, started.Format("05.000"), err)
		p.Kill()
	case err == nil && code != 0:
		s.checker.addViolation("%s exited with status %d after SIGTERM: %s", n.name, code, p.Tail(3))
	}
	s.restart(ctx, n)
}

// awaitExit waits for a process to exit. Time during which the process is paused does not count towards the timeout.
func (s *soak) awaitExit(ctx context.Context, n *node, p *launcher.Process, started time.Time) (int, error) {
	for {
		waitCtx, cancel := context.WithDeadline(ctx, started.Add(stopTimeout+s.pausedSince(n, started)))
		code, err := p.Wait(waitCtx)
		cancel()
		if err == nil || time.Since(started) >= stopTimeout+s.pausedSince(n, started) {
			return code, err
		}
	}
}

func (s *soak) restart(ctx context.Context, n *node) {
	time.Sleep(restartDelay)
	if err := s.startNode(ctx, n); err != nil && ctx.Err() == nil {
		s.checker.addViolation("%s did not restart: %v", n.name, err)
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

// pausedSince returns an upper bound of the time for which the node is paused after at, including the rest of a pause
// that has not ended.
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

// reconfigure publishes a new configuration version, with or without a queue that no caller uses.
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
