//go:build review

package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/crocuslb/crocuslb/platform/platformtest"
)

func init() { cases["budget"] = budget }

const (
	budgetRate   = 60 // jobs a second
	budgetTaskMs = 250
	poisonEvery  = 15                      // one job of 15 (0.067, poison in the site file) can never be done: one of its tasks always fails
	downTime     = 4500 * time.Millisecond // platform_down in the site file
	outages      = 4
	outagePause  = 7 * time.Second
)

// budget: kept jobs run, of which a few can never be done. The store is down for a while: it answers 503.
func budget(ctx context.Context, c *cluster, trouble bool) error {
	var clients sync.WaitGroup
	feedCtx, stopFeed := context.WithCancel(ctx)
	clients.Go(func() {
		ticker := time.NewTicker(time.Second / budgetRate)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-feedCtx.Done():
				return
			case <-ticker.C:
			}
			j := job{id: newID(), steps: []step{{Count: 2, CPU: 3100, MemMb: 64, EstimateMs: budgetTaskMs}}, spec: spec{ms: budgetTaskMs, cpu: 3100, failIndex: -1}}
			if n%poisonEvery == 0 {
				j.spec.failIndex = 1
			}
			clients.Go(func() { c.accept(ctx, n%entryCount, j) })
		}
	})
	time.Sleep(5 * time.Second)
	for range outages {
		if trouble {
			c.rec.add("the store answers 503")
			c.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable, Slow: storeLatency})
		}
		time.Sleep(downTime)
		c.rec.add("the store serves")
		c.store.SetFaults(platformtest.StoreFaults{Slow: storeLatency})
		time.Sleep(outagePause)
	}
	stopFeed()
	clients.Wait()
	time.Sleep(settleTime)
	c.rec.eachTask(func(task string, runs []*seenRun) {
		for _, r := range runs {
			failed := 0
			for _, f := range runs {
				if f.how == "failed" && f.ended < r.started && f.countsAsNoted() {
					failed++
				}
			}
			if failed >= maxAttempts {
				c.rec.violation("BUDGET: run %d of %s started on %s at %.3f, after %d runs had ended failed that are taken note of; MaxAttempts is %d",
					r.number, task, r.machine, r.started.Seconds(), failed, maxAttempts)
			}
		}
	})
	return nil
}
