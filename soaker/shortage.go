package soaker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// longTaskFraction is the fraction of the jobs with long tasks when processes lack processor time. Such a task can run
	// when its caller resubmits the job.
	longTaskFraction = 0.3
	minLongTaskMs    = 900
	maxLongTaskMs    = 2700
	// longCallTimeout is how long the caller of a job with long tasks waits for the response.
	longCallTimeout = 8 * time.Second
	// Each step of a process that lacks processor time is a stop followed by a short time in which it runs.
	minStepStop = 90 * time.Millisecond
	maxStepStop = 160 * time.Millisecond
	minStepRun  = 5 * time.Millisecond
	maxStepRun  = 25 * time.Millisecond
	// minShortage is the minimum duration of a shortage, so that callers resubmit during it.
	minShortage = 3 * time.Second
	// shortageFaultFraction is the fraction of the faults that are selected from shortageFaults.
	shortageFaultFraction = 0.7
	// minLoss is how long an entry is lost at least, so that its callers resubmit before it is back.
	minLoss = 2 * time.Second
	// shortageLead is how long processes lack processor time before another fault is added.
	shortageLead = 600 * time.Millisecond
)

// shortageFaults are injected when Plan.CPUShortage is set: callers' connections that end, and processes that lack
// processor time, alone and together.
var shortageFaults = []fault{
	{"callers reset", func(s *soak, _ context.Context, pick int, _ time.Duration) { s.entry(pick).callerProxy.reset(1) }},
	{"callers and sessions reset", func(s *soak, _ context.Context, pick int, _ time.Duration) {
		s.entry(pick).callerProxy.reset(1)
		s.entry(pick).entryProxy.reset(1)
	}},
	{"entry killed", func(s *soak, ctx context.Context, pick int, length time.Duration) {
		s.kill(ctx, s.entry(pick), length/4)
	}},
	{"entry paused with callers reset", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.entry(pick).callerProxy.reset(1)
		s.pause(s.entry(pick), length)
	}},
	{"entry starved", func(s *soak, _ context.Context, pick int, length time.Duration) { s.starve(s.entry(pick), length) }},
	{"callers reset while entry starved", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.duringShortage([]*node{s.entry(pick)}, length, func() { s.entry(pick).callerProxy.reset(1) })
	}},
	{"callers and sessions reset while entry starved", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.duringShortage([]*node{s.entry(pick)}, length, func() {
			s.entry(pick).callerProxy.reset(1)
			s.entry(pick).entryProxy.reset(1)
		})
	}},
	{"sidecars starved", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.duringShortage(s.someSidecars(pick), length, func() {})
	}},
	{"callers reset while sidecars starved", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.duringShortage(s.someSidecars(pick), length, func() { s.entry(pick).callerProxy.reset(1) })
	}},
	{"entry killed while sidecars starved", func(s *soak, ctx context.Context, pick int, length time.Duration) {
		s.duringShortage(s.someSidecars(pick), length, func() { s.kill(ctx, s.entry(pick), length/4) })
	}},
	{"entry paused with callers reset while sidecars starved", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.duringShortage(s.someSidecars(pick), length, func() {
			s.entry(pick).callerProxy.reset(1)
			s.pause(s.entry(pick), length)
		})
	}},
	{"entry lost while all sidecars starved", func(s *soak, ctx context.Context, pick int, length time.Duration) {
		loss := max(length, minLoss)
		s.duringShortage(s.nodes[s.plan.Entries:], shortageLead+loss, func() {
			if pick%2 == 0 {
				s.kill(ctx, s.entry(pick), loss)
				return
			}
			s.entry(pick).callerProxy.reset(1)
			s.pause(s.entry(pick), loss)
		})
	}},
	{"callers reset while sidecars and entry starved", func(s *soak, _ context.Context, pick int, length time.Duration) {
		s.duringShortage(append(s.someSidecars(pick), s.entry(pick)), length, func() { s.entry(pick).callerProxy.reset(1) })
	}},
}

// someSidecars returns two thirds of the sidecars.
func (s *soak) someSidecars(pick int) (nodes []*node) {
	for i := range (2*s.plan.Sidecars + 2) / 3 {
		nodes = append(nodes, s.sidecar(pick+i))
	}
	return nodes
}

// duringShortage starves processes for length, at least minShortage, and calls fn when it has lasted for shortageLead.
func (s *soak) duringShortage(nodes []*node, length time.Duration, fn func()) {
	var group sync.WaitGroup
	for _, n := range nodes {
		group.Go(func() { s.starve(n, length) })
	}
	time.Sleep(shortageLead)
	fn()
	group.Wait()
}

// starve stops and resumes a process in short steps for length, at least minShortage, as if it had to wait for processor
// time. A process that is started meanwhile is starved too.
func (s *soak) starve(n *node, length time.Duration) {
	length = max(length, minShortage)
	s.mu.Lock()
	s.pauses = append(s.pauses, pause{n, time.Now(), length})
	s.mu.Unlock()
	for end := time.Now().Add(length); time.Now().Before(end); {
		p := n.current()
		p.Pause()
		time.Sleep(minStepStop + rand.N(maxStepStop-minStepStop))
		p.Resume()
		time.Sleep(minStepRun + rand.N(maxStepRun-minStepRun))
	}
}
