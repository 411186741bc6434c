//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["unasked"] = unasked }

const (
	cancelMs    = 3000 * time.Millisecond // cancel_ms
	coreCutTime = 5500 * time.Millisecond // core_cut in the site file
	contactTime = 3 * time.Second         // ContactMs
	chainSteps  = 24
	chainTaskMs = 700
)

// cancelled is a job whose cancelling was acknowledged.
type cancelled struct {
	id     string
	status int
	entry  int
	at     time.Duration
	calm   time.Duration // from then on all machines are in touch
}

// unasked: one entry of three is cut off from the store while the first kept job of the installation is accepted at another entry.
// A client cancels the job at the entry that is cut off.
func unasked(ctx context.Context, c *cluster, trouble bool) error {
	if trouble {
		c.cutFromStore(c.entries[0], true)
	}
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	var list []cancelled
	var mu sync.Mutex
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() {
			j := chainJob()
			if !c.accept(ctx, 1+n%2, j) {
				return
			}
			time.Sleep(time.Second)
			status := c.cancel(ctx, 0, j.id)
			mu.Lock()
			defer mu.Unlock()
			list = append(list, cancelled{id: j.id, status: status, at: c.rec.now()})
		})
	}
	clients.Wait()
	if len(list) == 0 {
		return fmt.Errorf("no job was accepted")
	}
	time.Sleep(time.Until(began.Add(coreCutTime)))
	if trouble {
		c.cutFromStore(c.entries[0], false)
	}
	calm := c.rec.now() + contactTime
	time.Sleep(contactTime + 6*time.Second)
	for i := range list {
		list[i].calm = calm
		for entry := range c.entries {
			c.state(ctx, entry, list[i].id)
		}
	}
	c.checkCancelled(list)
	return nil
}

// chainJob returns a job of many steps that follow each other.
func chainJob() job {
	j := job{id: newID(), spec: spec{ms: chainTaskMs, cpu: 3100, failIndex: -1}}
	for n := range chainSteps {
		s := step{Count: 1, CPU: 3100, MemMb: 64, EstimateMs: chainTaskMs}
		if n > 0 {
			s.After = []int{n - 1}
		}
		j.steps = append(j.steps, s)
	}
	return j
}

// checkCancelled looks for starts later than cancel_ms after the acknowledgement, and after calm.
func (c *cluster) checkCancelled(list []cancelled) {
	for _, j := range list {
		if j.status != http.StatusGone && j.status/100 != 2 {
			continue
		}
		c.rec.eachTask(func(task string, runs []*seenRun) {
			for _, r := range runs {
				if jobOf(task) == j.id && r.started > max(j.at+cancelMs, j.calm) {
					c.rec.violation("UNASKED: the cancelling of %s was acknowledged with %d by entry %d at %.3f; run %d of %s started on %s at %.3f",
						j.id, j.status, j.entry+1, j.at.Seconds(), r.number, task, r.machine, r.started.Seconds())
				}
			}
		})
	}
}
