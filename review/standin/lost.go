//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["lost"] = lost }

const (
	crashTime  = 4500 * time.Millisecond // srv_crash in the site file
	crashes    = 3
	longTaskMs = 7000 // the EstimateMs of the example in PROTOCOL.md
	crashAfter = 2 * time.Second
	endLimit   = 60 * time.Second
)

// lost: a kept job has one long task among a light load. Three times an executor crashes under it: one of eleven at a time.
func lost(ctx context.Context, c *cluster, trouble bool) error {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go c.lightLoad(loadCtx)
	j := job{id: newID(), steps: []step{{Count: 1, CPU: 3100, MemMb: 64, EstimateMs: longTaskMs}}, spec: spec{longTaskMs, 3100, -1}}
	if !c.accept(ctx, 0, j) {
		return fmt.Errorf("the job was not accepted")
	}
	task := j.id + ".0.0.0"
	for range crashes {
		if !trouble {
			break
		}
		x := c.awaitRun(ctx, task)
		if x == nil {
			break
		}
		time.Sleep(crashAfter)
		x.crash()
		time.AfterFunc(crashTime, func() {
			if err := x.boot(); err != nil {
				c.rec.add("executor %s does not come back: %v", x.machine, err)
			}
		})
	}
	state := ""
	for began := time.Now(); time.Since(began) < endLimit && ctx.Err() == nil && state != "succeeded" && state != "failed"; time.Sleep(time.Second) {
		state = c.state(ctx, 1, j.id)
	}
	time.Sleep(crashTime)
	for entry := range c.entries {
		state = c.state(ctx, entry, j.id)
		failures := 0
		c.rec.eachTask(func(name string, runs []*seenRun) {
			for _, r := range runs {
				if name == task && r.how == "failed" {
					failures++
				}
			}
		})
		if state == "failed" && failures < maxAttempts {
			c.rec.violation("LOST: job %s is shown as failed by entry %d; %d of its runs ended failed, MaxAttempts is %d", j.id, entry+1, failures, maxAttempts)
		}
	}
	return nil
}

// awaitRun returns the executor on which a task runs, once it does, or nil if the task isn't started within the time that it
// takes to restart an executor.
func (c *cluster) awaitRun(ctx context.Context, task string) *executor {
	for began := time.Now(); time.Since(began) < 2*crashTime && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		for _, x := range c.executors {
			if c.rec.runsOn(x.machine, task) {
				return x
			}
		}
	}
	return nil
}

// lightLoad hands in jobs that need not be kept, of the size of order-confirm.
func (c *cluster) lightLoad(ctx context.Context) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		j := job{id: newID(), bestEffort: true, steps: []step{{Count: 2, CPU: 3100, MemMb: 64, EstimateMs: 200}}, spec: spec{200, 3100, -1}}
		go c.submit(ctx, n%entryCount, j, 1500*time.Millisecond)
	}
}
