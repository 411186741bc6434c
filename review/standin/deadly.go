//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["deadly"] = deadly }

const (
	crashTime      = 4500 * time.Millisecond // srv_crash in the site file
	deadlyTime     = 45 * time.Second
	deadlyTaskMs   = 200
	crashesAllowed = 3 // BUDGET: after three executors have crashed under a task
	startsAllowed  = 2 // it may not be started three more times
)

// deadly: beside a light load, one kept job has a task that crashes each executor that starts it, before the start is answered.
func deadly(ctx context.Context, c *cluster, trouble bool) error {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go c.lightLoad(loadCtx)
	j := job{id: newID(), steps: []step{{Count: 1, CPU: 3100, MemMb: 64, EstimateMs: deadlyTaskMs}}}
	j.spec = spec{ms: deadlyTaskMs, cpu: 3100, failIndex: -1, deadly: trouble}
	if !c.accept(ctx, 0, j) {
		return fmt.Errorf("the job was not accepted")
	}
	time.Sleep(deadlyTime)
	c.state(ctx, 0, j.id)
	c.rec.eachTask(func(task string, runs []*seenRun) {
		if jobOf(task) != j.id {
			return
		}
		crashed := map[string]bool{}
		more := 0
		for _, r := range runs {
			if len(crashed) >= crashesAllowed {
				more++
			}
			if r.how == "crashed" {
				crashed[r.machine] = true
			}
		}
		if more > startsAllowed {
			c.rec.violation("BUDGET: task %s was started %d more times after %d executors had crashed under it, in %s; %d executors crashed", task, more, crashesAllowed, deadlyTime, len(crashed))
		}
	})
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
		j := job{id: newID(), bestEffort: true, steps: []step{{Count: 2, CPU: 3100, MemMb: 64, EstimateMs: 200}}, spec: spec{ms: 200, cpu: 3100, failIndex: -1}}
		go c.submit(ctx, n%entryCount, j, 1500*time.Millisecond)
	}
}
