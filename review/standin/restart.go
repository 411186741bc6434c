//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["restart"] = restart }

const (
	restarts       = 2
	restartedEntry = 0
	jobsPerRestart = 12
	connectRetry   = 20 * time.Millisecond
	restartDelay   = 300 * time.Millisecond
)

// restart: kept jobs are in use everywhere. One entry is cut off from the store and started again meanwhile. Clients of its zone
// cancel jobs; one whose connection is refused or breaks tries again.
func restart(ctx context.Context, c *cluster, trouble bool) error {
	var list []cancelled
	var mu sync.Mutex
	if !c.accept(ctx, 0, chainJob()) {
		return fmt.Errorf("no kept job is accepted")
	}
	time.Sleep(4 * time.Second)
	for range restarts {
		var jobs []job
		for n := range jobsPerRestart {
			if j := chainJob(); c.accept(ctx, n%entryCount, j) {
				jobs = append(jobs, j)
			}
		}
		time.Sleep(time.Second)
		if trouble {
			c.cutFromStore(c.entries[restartedEntry], true)
			time.AfterFunc(coreCutTime, func() { c.cutFromStore(c.entries[restartedEntry], false) })
			c.entries[restartedEntry].kill()
		}
		calm := c.rec.now() + coreCutTime + contactTime
		var clients sync.WaitGroup
		for _, j := range jobs {
			clients.Go(func() {
				for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(connectRetry) {
					if status := c.cancel(ctx, restartedEntry, j.id); status != noAnswer {
						mu.Lock()
						defer mu.Unlock()
						list = append(list, cancelled{id: j.id, status: status, at: c.rec.now(), calm: calm})
						return
					}
				}
			})
		}
		time.Sleep(restartDelay)
		if trouble {
			if err := c.entries[restartedEntry].start(); err != nil {
				return err
			}
		}
		clients.Wait()
		time.Sleep(coreCutTime + contactTime + 3*time.Second)
	}
	if len(list) == 0 {
		return fmt.Errorf("no job was cancelled")
	}
	c.checkCancelled(list)
	return nil
}
