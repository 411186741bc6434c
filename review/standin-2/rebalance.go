//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	rounds        = 6
	roundTime     = 8 * time.Second
	jobsPerRound  = 6
	roundTaskMs   = 1500
	lostBegin     = 1400 * time.Millisecond // from the start of a round; the first tasks end soon after it
	lostEnd       = 1700 * time.Millisecond
	lostShare     = 0.35
	idleTime      = 3 * time.Second
	maxInUse      = sidecarCount * backendCPU / 1000 / 2 // tasks; under half of the service's capacity
	firstJobDelay = 3 * time.Second
)

func init() { cases["rebalance"] = playRebalance }

// playRebalance hands in jobs of a narrow step and a wide one. Around the end of the narrow step some answers of the store are lost,
// and then the store deals all partitions anew. After the traffic every accepted job must end.
func playRebalance(f *fleet, trouble bool) (violations []string, err error) {
	first := jobSpec{id: newID(), steps: []step{{count: 1}}, taskMs: 50}
	if a, ok := f.acceptOne(&first); !ok {
		return nil, fmt.Errorf("no job was accepted: status %d", a.status)
	}
	time.Sleep(firstJobDelay)
	accepted := []string{first.id}
	for range rounds {
		started := time.Now()
		accepted = append(accepted, f.sendWideJobs()...)
		if trouble {
			time.Sleep(time.Until(started.Add(lostBegin)))
			f.rec.add("%.0f%% of the appends get no answer and are done 1 to 6 s later", lostShare*100)
			f.storeServer.setLost(lostShare)
			time.Sleep(time.Until(started.Add(lostEnd)))
			f.storeServer.setLost(0)
			f.rec.add("the store answers all calls again, and deals all partitions anew")
			f.store.Rebalance()
		}
		time.Sleep(time.Until(started.Add(roundTime)))
		if f.anyIdle(accepted) {
			break // a further change of the owner may hide it
		}
	}
	f.rec.add("the traffic ends")
	if len(accepted) < rounds {
		return nil, fmt.Errorf("only %d jobs were accepted", len(accepted))
	}
	time.Sleep(finishTime)
	f.rec.add("jobs are asked for, %s after the traffic", finishTime)
	var open []string
	for i, id := range accepted {
		if a := f.get(i%entryCount, id); a.state != "succeeded" {
			open = append(open, id)
		}
	}
	inUse := f.tasksInUse()
	time.Sleep(idleTime + 200*time.Millisecond)
	for i, id := range open {
		a, idle := f.get(i%entryCount, id), f.idleTime(id)
		if a.state != "succeeded" && idle > idleTime && max(inUse, f.tasksInUse()) < maxInUse {
			violations = append(violations, fmt.Sprintf("LOST: job %s is shown as %q (%d), nothing of it has run for %.1f s, and %d tasks run on all executors", id, a.state, a.status, idle.Seconds(), inUse))
		}
	}
	fmt.Printf("%d jobs accepted, %d not succeeded\n", len(accepted), len(open))
	return violations, nil
}

// sendWideJobs hands in the jobs of a round and returns those that were accepted.
func (f *fleet) sendWideJobs() (accepted []string) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for n := range jobsPerRound {
		clients.Go(func() {
			j := jobSpec{id: newID(), steps: []step{{count: 1}, {count: 2 * sidecarCount, after: []int{0}, perServer: 1}}, taskMs: roundTaskMs}
			if a := f.submit(n%entryCount, j); a.status == http.StatusOK {
				mu.Lock()
				accepted = append(accepted, j.id)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return accepted
}

// anyIdle reports whether an accepted job has not ended and nothing of it has run for a while.
func (f *fleet) anyIdle(accepted []string) bool {
	for i, id := range accepted {
		if f.idleTime(id) > idleTime && f.get(i%entryCount, id).state != "succeeded" {
			return true
		}
	}
	return false
}

// tasksInUse returns the number of runs on all executors.
func (f *fleet) tasksInUse() (n int) {
	for _, b := range f.backends {
		b.mu.Lock()
		n += len(b.running)
		b.mu.Unlock()
	}
	return n
}

// idleTime returns for how long nothing of a job has run.
func (f *fleet) idleTime(id string) time.Duration {
	var last time.Time
	for _, r := range f.rec.runsOf(id) {
		if r.ended.IsZero() {
			return 0
		}
		if r.ended.After(last) {
			last = r.ended
		}
	}
	return time.Since(last)
}
