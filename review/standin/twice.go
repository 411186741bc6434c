//go:build review

package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

func init() { cases["twice"] = twice }

const (
	cutTime      = 5500 * time.Millisecond // node_cut on side machines in the site file
	cutPause     = 3500 * time.Millisecond
	settleTime   = 4 * time.Second
	impatience   = 3800 * time.Millisecond // a client cancels a job that has not ended by then
	twiceTaskMs  = 1500
	twiceCuts    = 6
	twiceJobRate = 24 // a second
)

// twice: kept jobs run; one sidecar is cut off from the entries and heals. Clients cancel jobs that take too long.
func twice(ctx context.Context, c *cluster, trouble bool) error {
	var clients sync.WaitGroup
	feedCtx, stopFeed := context.WithCancel(ctx)
	clients.Go(func() {
		ticker := time.NewTicker(time.Second / twiceJobRate)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-feedCtx.Done():
				return
			case <-ticker.C:
			}
			clients.Go(func() { c.impatientClient(ctx, n%entryCount) })
		}
	})
	time.Sleep(5 * time.Second)
	for range twiceCuts {
		if trouble {
			m := c.busiest()
			c.cutFromEntries(m, true)
			time.AfterFunc(cutTime, func() { c.cutFromEntries(m, false) })
		}
		time.Sleep(cutTime + cutPause)
	}
	stopFeed()
	clients.Wait()
	time.Sleep(settleTime)
	c.rec.eachTask(func(task string, runs []*seenRun) {
		for _, done := range runs {
			if done.how != "done" || !done.countsAsNoted() {
				continue
			}
			for _, r := range runs {
				if r.started > done.ended {
					c.rec.violation("TWICE: run %d of %s ended done on %s at %.3f, taken note of at %.3f; run %d started on %s at %.3f",
						done.number, task, done.machine, done.ended.Seconds(), done.noted.Seconds(), r.number, r.machine, r.started.Seconds())
				}
			}
		}
	})
	return nil
}

// impatientClient hands a kept job in, asks for its state, and cancels it if it has not ended in time.
func (c *cluster) impatientClient(ctx context.Context, entry int) {
	j := job{id: newID(), steps: []step{{Count: 2, CPU: 3100, MemMb: 64, EstimateMs: twiceTaskMs}}, spec: spec{ms: twiceTaskMs, cpu: 3100, failIndex: -1}}
	if !c.accept(ctx, entry, j) {
		return
	}
	accepted := time.Now()
	for _, at := range []time.Duration{twiceTaskMs * time.Millisecond, 2 * twiceTaskMs * time.Millisecond} {
		time.Sleep(at - time.Since(accepted))
		if state := c.state(ctx, entry, j.id); state == "succeeded" || state == "failed" {
			return
		}
	}
	time.Sleep(impatience - time.Since(accepted))
	for range 3 {
		if status := c.cancel(ctx, entry, j.id); status == http.StatusOK || status == http.StatusGone {
			return
		}
	}
}
