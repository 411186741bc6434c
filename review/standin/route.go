//go:build review

package main

import (
	"context"
	"sync"
	"time"
)

func init() { cases["route"] = route }

const (
	routeRate    = 34 // jobs a second, as stock-check of the site file
	routeTasks   = 8
	routeTaskMs  = 60
	lateShare    = 0.055 // applied_late in the site file
	lateTime     = 5500 * time.Millisecond
	lateTimes    = 3
	maxPerServer = 1
)

// route: jobs of eight tasks may have one of them on each executor. For a while, executors leave a share of the orders unanswered and
// carry them out late.
func route(ctx context.Context, c *cluster, trouble bool) error {
	var clients sync.WaitGroup
	feedCtx, stopFeed := context.WithCancel(ctx)
	clients.Go(func() {
		ticker := time.NewTicker(time.Second / routeRate)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-feedCtx.Done():
				return
			case <-ticker.C:
			}
			j := job{id: newID(), bestEffort: true, spec: spec{ms: routeTaskMs, cpu: 3100, failIndex: -1}}
			j.steps = []step{{Count: routeTasks, CPU: 3100, MemMb: 64, EstimateMs: routeTaskMs, MaxPerServer: maxPerServer}}
			c.limited.Store(j.id, true)
			clients.Go(func() { c.submit(ctx, n%entryCount, j, 1500*time.Millisecond) })
		}
	})
	time.Sleep(3 * time.Second)
	for range lateTimes {
		if trouble {
			c.answerLate(lateShare)
		}
		time.Sleep(lateTime)
		c.answerLate(0)
		time.Sleep(3 * time.Second)
	}
	stopFeed()
	clients.Wait()
	c.checkPerServer()
	return nil
}

func (c *cluster) answerLate(share float64) {
	c.rec.add("share of the orders that get no answer: %g", share)
	for _, x := range c.executors {
		x.setLate(share)
	}
}

// checkPerServer looks for starts on an executor on which another task of the same step runs.
func (c *cluster) checkPerServer() {
	type place struct{ job, machine string }
	byPlace := map[place][]*seenRun{}
	c.rec.eachTask(func(task string, runs []*seenRun) {
		if _, limited := c.limited.Load(jobOf(task)); !limited {
			return
		}
		for _, r := range runs {
			p := place{jobOf(task), r.machine}
			byPlace[p] = append(byPlace[p], r)
		}
	})
	for p, runs := range byPlace {
		for _, r := range runs {
			for _, other := range runs {
				if other.task != r.task && other.started < r.started && (other.ended == 0 || other.ended > r.started) {
					c.rec.violation("ROUTE: run %d of %s started on %s at %.4f, where %s ran since %.4f; MaxPerServer is %d",
						r.number, r.task, p.machine, r.started.Seconds(), other.task, other.started.Seconds(), maxPerServer)
					break
				}
			}
		}
	}
}
