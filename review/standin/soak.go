//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/crocuslb/crocuslb/platform/platformtest"
)

func init() { cases["soak"] = soak }

const (
	soakTime  = 70 * time.Second
	soakRate  = 14
	finishS   = 14 * time.Second
	soakPause = 2500 * time.Millisecond
)

// sentJob is a kept job as its client knows it.
type sentJob struct {
	job
	accepted  time.Duration
	statuses  []int
	cancel    cancelled
	lastState string
}

// soak: kept jobs of two steps, some that can never be done, some that are cancelled; one kind of disruption, again and again.
func soak(ctx context.Context, c *cluster, trouble bool) error {
	var mu sync.Mutex
	var sent []*sentJob
	var clients sync.WaitGroup
	feedCtx, stopFeed := context.WithCancel(ctx)
	clients.Go(func() {
		rate := soakRate
		if n, err := strconv.Atoi(os.Getenv("RATE")); err == nil {
			rate = n // jobs a second
		}
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-feedCtx.Done():
				return
			case <-ticker.C:
			}
			ms := 60 + rand.IntN(900)
			s := &sentJob{job: job{id: newID(), spec: spec{ms: ms, cpu: 3100, failIndex: -1}}}
			s.steps = []step{{Count: 1 + rand.IntN(4), CPU: 3100, MemMb: 64, EstimateMs: ms}, {Count: 1 + rand.IntN(3), CPU: 3100, MemMb: 64, EstimateMs: ms, After: []int{0}}}
			if rand.IntN(12) == 0 {
				s.spec.failIndex = 0
			}
			cancels := rand.IntN(6) == 0
			if os.Getenv("LOOSE") != "" {
				s.bestEffort, s.spec.failIndex = true, -1
				if rand.IntN(8) != 0 {
					s.spec.ms = 10 + rand.IntN(200)
				}
				s.steps = s.steps[:1]
				s.steps[0].EstimateMs = s.spec.ms
				cancels = false
			}
			mu.Lock()
			sent = append(sent, s)
			mu.Unlock()
			clients.Go(func() { c.soakClient(ctx, rand.IntN(entryCount), s, cancels) })
		}
	})
	time.Sleep(3 * time.Second)
	faults := strings.Split(os.Getenv("FAULTS"), ",")
	var active sync.WaitGroup
	for began := time.Now(); time.Since(began) < soakTime && ctx.Err() == nil; {
		if trouble {
			active.Go(func() { c.inject(faults[rand.IntN(len(faults))]) })
		}
		time.Sleep(time.Duration(float64(soakPause) * (0.3 + 1.4*rand.Float64())))
	}
	stopFeed()
	active.Wait()
	clients.Wait()
	if os.Getenv("LOOSE") == "" {
		time.Sleep(finishS)
	}
	c.checkSoak(ctx, sent)
	return nil
}

func (c *cluster) soakClient(ctx context.Context, entry int, s *sentJob, cancels bool) {
	for range 4 {
		status, _ := c.submit(ctx, entry, s.job, 1500*time.Millisecond)
		s.statuses = append(s.statuses, status)
		if status == http.StatusOK && s.bestEffort {
			return
		}
		if status == http.StatusOK {
			s.accepted = c.rec.now()
			break
		}
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			return
		}
		time.Sleep(resendDelay)
		entry = (entry + 1) % entryCount
	}
	if s.accepted == 0 {
		return
	}
	if cancels {
		time.Sleep(time.Duration(rand.IntN(3500)) * time.Millisecond)
		for range 5 {
			status := c.cancel(ctx, entry, s.id)
			if status == http.StatusOK || status == http.StatusGone {
				s.cancel = cancelled{id: s.id, status: status, entry: entry, at: c.rec.now()}
				return
			}
			time.Sleep(200 * time.Millisecond)
			entry = (entry + 1) % entryCount
		}
		return
	}
	for range 6 {
		time.Sleep(1500 * time.Millisecond)
		s.lastState = c.state(ctx, rand.IntN(entryCount), s.id)
		if s.lastState == "410" {
			c.rec.add("GONE? %s", s.id)
		}
		if s.lastState == "succeeded" || s.lastState == "failed" {
			return
		}
	}
}

func (c *cluster) inject(name string) {
	e, m, x := c.entries[rand.IntN(entryCount)], c.sidecars[rand.IntN(sidecarCount)], c.executors[rand.IntN(sidecarCount)]
	short := 200*time.Millisecond + rand.N(3300*time.Millisecond)
	c.rec.add("FAULT %s %s %s %s", name, e.name, m.name, short)
	restart := func(m *machine, s syscall.Signal, down time.Duration) {
		if !m.claimed.CompareAndSwap(false, true) {
			return
		}
		defer m.claimed.Store(false)
		m.signal(s)
		m.awaitEnd()
		time.Sleep(down)
		if err := m.start(); err != nil {
			c.rec.add("%v", err)
		}
	}
	freeze := func(m *machine) {
		if !m.claimed.CompareAndSwap(false, true) {
			return
		}
		defer m.claimed.Store(false)
		m.signal(syscall.SIGSTOP)
		time.Sleep(short)
		m.signal(syscall.SIGCONT)
	}
	storeFault := func(f platformtest.StoreFaults) {
		c.store.SetFaults(f)
		time.Sleep(short + time.Second)
		c.store.SetFaults(platformtest.StoreFaults{Slow: storeLatency})
	}
	switch name {
	case "entryKill":
		restart(e, syscall.SIGKILL, short)
	case "entryKillFast":
		restart(e, syscall.SIGKILL, 50*time.Millisecond)
	case "sideKill":
		restart(m, syscall.SIGKILL, short)
	case "sideKillFast":
		restart(m, syscall.SIGKILL, 50*time.Millisecond)
	case "roll":
		restart(e, syscall.SIGTERM, processReturn)
	case "rollSide":
		restart(m, syscall.SIGTERM, processReturn)
	case "entryFreeze":
		freeze(e)
	case "sideFreeze":
		freeze(m)
	case "sideCut":
		c.cutFromEntries(m, true)
		time.Sleep(short + 2*time.Second)
		c.cutFromEntries(m, false)
	case "entryCut":
		c.cutEntry(e, true)
		time.Sleep(short + 2*time.Second)
		c.cutEntry(e, false)
	case "storeCut":
		c.cutFromStore(e, true)
		time.Sleep(short + 2*time.Second)
		c.cutFromStore(e, false)
	case "storeDown":
		storeFault(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	case "storeSilent":
		storeFault(platformtest.StoreFaults{Unresponsive: true})
	case "storeSlow":
		storeFault(platformtest.StoreFaults{Slow: 240 * time.Millisecond})
	case "storeLost":
		storeFault(platformtest.StoreFaults{Slow: storeLatency, Lost: 0.35})
	case "rebalance":
		c.store.Rebalance()
	case "crash":
		x.crash()
		time.Sleep(short)
		_ = x.boot()
	case "shrink":
		x.setCPU(executorCPU / 3)
		time.Sleep(short + 5*time.Second)
		x.setCPU(executorCPU)
	case "hang":
		x.setHangs(true)
		time.Sleep(short + time.Second)
		x.setHangs(false)
	case "late":
		c.answerLate(lateShare)
		time.Sleep(short + 2*time.Second)
		c.answerLate(0)
	case "lateMany":
		c.answerLate(0.4)
		time.Sleep(short + 2*time.Second)
		c.answerLate(0)
	default:
		panic("no fault " + name)
	}
}

// cutEntry cuts an entry off from all other processes of the project, or ends that.
func (c *cluster) cutEntry(e *machine, cut bool) {
	c.rec.add("%s is cut off from all machines: %t", e.name, cut)
	for _, m := range append(append([]*machine{}, c.entries...), c.sidecars...) {
		e.entryProxy.setCut(m.name, cut)
	}
	for _, other := range c.entries {
		other.entryProxy.setCut(e.name, cut)
	}
}

func (c *cluster) checkSoak(ctx context.Context, sent []*sentJob) {
	jobs := map[string]*sentJob{}
	for _, s := range sent {
		jobs[s.id] = s
	}
	doneAt := map[string]time.Duration{} // first end done, by task
	failed := map[string]int{}           // noted ends failed, by task
	starts := map[string]int{}
	c.rec.eachTask(func(task string, runs []*seenRun) {
		starts[jobOf(task)] += len(runs)
		for _, r := range runs {
			if r.how == "done" && (doneAt[task] == 0 || r.ended < doneAt[task]) {
				doneAt[task] = r.ended
			}
			if r.how == "failed" {
				failed[task]++
			}
		}
	})
	c.rec.eachTask(func(task string, runs []*seenRun) {
		s := jobs[jobOf(task)]
		if s == nil {
			return
		}
		for _, r := range runs {
			fails := 0
			for _, o := range runs {
				if o != r && o.started <= r.started && (o.ended == 0 || o.ended > r.started) && (o.machine != r.machine || o.number != r.number) {
					c.rec.violation("TWICE: run %d of %s started on %s at %.3f, while run %d on %s ran from %.3f to %.3f (%s)", r.number, task, r.machine, r.started.Seconds(), o.number, o.machine, o.started.Seconds(), o.ended.Seconds(), o.how)
				}
				if o.how == "done" && !s.bestEffort && o.countsAsNoted() && r.started > o.ended {
					c.rec.violation("TWICE: run %d of %s started on %s at %.3f, after run %d on %s had ended done at %.3f, noted at %.3f", r.number, task, r.machine, r.started.Seconds(), o.number, o.machine, o.ended.Seconds(), o.noted.Seconds())
				}
				if o.how == "failed" && o.countsAsNoted() && r.started > o.ended {
					fails++
				}
			}
			if fails >= maxAttempts {
				c.rec.violation("BUDGET: run %d of %s started on %s at %.3f after %d noted failures", r.number, task, r.machine, r.started.Seconds(), fails)
			}
			if s.cancel.status != 0 && r.started > s.cancel.at+cancelMs {
				c.rec.violation("UNASKED: run %d of %s started on %s at %.3f, cancel acknowledged with %d at %.3f", r.number, task, r.machine, r.started.Seconds(), s.cancel.status, s.cancel.at.Seconds())
			}
			if strings.Contains(task, ".0.1.") {
				for i := range s.steps[0].Count {
					at := doneAt[fmt.Sprintf("%s.0.0.%d", s.id, i)]
					if at == 0 || at > r.started {
						c.rec.violation("ORDER: run %d of %s started on %s at %.3f before task %d of the first step was done", r.number, task, r.machine, r.started.Seconds(), i)
					}
				}
			}
		}
	})
	notEnded := 0
	for n, s := range sent {
		rejected := len(s.statuses) > 0
		for _, status := range s.statuses {
			rejected = rejected && (status == 503 || status == 429)
		}
		if rejected && starts[s.id] > 0 {
			c.rec.violation("REFUSED: %s was rejected (%v), and %d runs started", s.id, s.statuses, starts[s.id])
		}
		if s.accepted == 0 {
			continue
		}
		state := c.state(ctx, n%entryCount, s.id)
		maxFailed := 0
		for step := range s.steps {
			for i := range s.steps[step].Count {
				task := fmt.Sprintf("%s.0.%d.%d", s.id, step, i)
				maxFailed = max(maxFailed, failed[task])
				if state == "succeeded" && doneAt[task] == 0 {
					c.rec.violation("MIXED: %s is shown as succeeded, and task %s has not ended done", s.id, task)
				}
			}
		}
		switch {
		case state == "failed" && maxFailed < maxAttempts:
			c.rec.violation("LOST: %s is shown as failed, %d ends failed", s.id, maxFailed)
		case state == "cancelled" && s.cancel.status == 0:
			c.rec.violation("LOST: %s is shown as cancelled", s.id)
		case state != "succeeded" && state != "failed" && state != "cancelled":
			notEnded++
			c.rec.violation("LOST: %s is shown as %s at the end", s.id, state)
		}
	}
	c.rec.add("jobs %s, not ended %d", strconv.Itoa(len(sent)), notEnded)
}
