//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	entryCount   = 3
	sidecarCount = 11
	service      = "dispatch"
	// formerService serves a queue before the configuration gives it to service. It has one server.
	formerService = "dispatch-former"

	// attemptLimit is the number of failed runs of one task that the queue of the stand-ins allows (MaxAttempts).
	attemptLimit = 2
	// cancelTime and stopTime are the bounds of the rule on cancelled jobs (cancel_ms, StopTimeoutMs).
	cancelTime = 3 * time.Second
	stopTime   = 50 * time.Millisecond
	// calmTime and idleTime are the bounds of the rule on jobs with nothing running: the time without trouble before, and the time with
	// nothing running.
	calmTime = 4 * time.Second
	idleTime = 3 * time.Second
	// watchTime is how long a job is watched after the trouble. It is many times calmTime and idleTime.
	watchTime    = 45 * time.Second
	pollInterval = 3 * time.Second

	// awayTime is how long the store turns an entry away.
	awayTime = 850 * time.Millisecond
	// jobCount is the number of jobs that run while the store reassigns their partitions.
	jobCount = 12
	// lateJobCount is the number of jobs that are handed in while the store turns the entry away.
	lateJobCount = 6

	// roomForTasks is the number of tasks of one core for which the servers have room.
	roomForTasks = 352
	// giveUpAfter is the time after which a client leaves that does not wait for its deadline.
	giveUpAfter = 300 * time.Millisecond
)

// oneTask is a step with one task. Its run time is the job's specification, in milliseconds.
func oneTask(ms int) string {
	return fmt.Sprintf(`{"Count":1,"Cpu":1000,"MemMb":64,"EstimateMs":%d}`, ms)
}

func oneService(int) string { return service }

// publish publishes a configuration with one queue.
func (c *cluster) publish(version int, service string) {
	c.record.add("operator: configuration %d, queue %s is served by %s", version, prefix, service)
	c.store.PublishConfiguration(version, service, prefix)
}

// startJob launches an installation, hands a job with one task in, and returns the server that runs it.
func (c *cluster) startJob(ctx context.Context, job string, ms int) (server int, err error) {
	if err := c.launch(ctx, entryCount, sidecarCount, oneService); err != nil {
		return 0, err
	}
	if !c.submit(ctx, 0, job, oneTask(ms), fmt.Sprint(ms)) {
		return 0, errors.New("the job was not accepted")
	}
	server, ok := c.awaitRunning(ctx, job, time.Time{}, 5*time.Second)
	if !ok {
		return 0, errors.New("the job did not start")
	}
	time.Sleep(500 * time.Millisecond)
	return server, nil
}

// darkServer: the server that runs the only task of an accepted job is lost for good, and its address does not answer.
func darkServer(ctx context.Context, c *cluster, trouble bool) ([]string, error) {
	const job = "5c0e7a21d94b3601"
	server, err := c.startJob(ctx, job, 2000)
	if err != nil {
		return nil, err
	}
	if trouble {
		c.record.add("server %d is lost for good; its address does not answer", server)
		c.proxies[server].goDark()
		c.kill(c.servers[server])
	}
	return c.watch(ctx, job)
}

// lostServerAndSidecar: the server that runs the only task of an accepted job is lost for good. The process beside it is killed at the
// same time, and started again.
func lostServerAndSidecar(ctx context.Context, c *cluster, trouble bool) ([]string, error) {
	const job = "5c0e7a21d94b3603"
	server, err := c.startJob(ctx, job, 2000)
	if err != nil {
		return nil, err
	}
	if trouble {
		c.kill(c.sidecar[server])
		c.kill(c.servers[server])
		time.Sleep(restartDelay)
		c.record.add("%s starts again", c.sidecar[server].name)
		if err := c.start(ctx, c.sidecar[server]); err != nil {
			return nil, err
		}
	}
	return c.watch(ctx, job)
}

// movedQueue: the configuration gives a queue to another service, and the only server of the former service leaves.
func movedQueue(ctx context.Context, c *cluster, trouble bool) ([]string, error) {
	serviceOf := func(i int) string {
		if i == 0 {
			return formerService
		}
		return service
	}
	if err := c.launch(ctx, entryCount, sidecarCount, serviceOf); err != nil {
		return nil, err
	}
	const job = "5c0e7a21d94b3605"
	if !c.submit(ctx, 0, job, chain(3, 1500), "1500") {
		return nil, errors.New("the job was not accepted")
	}
	if trouble {
		c.publish(3, service)
		time.Sleep(300 * time.Millisecond)
		c.leave(0)
	}
	return c.watch(ctx, job)
}

// leave lets a server announce that it drains; it ends 4 s later.
func (c *cluster) leave(server int) {
	c.record.add("server %d drains and leaves", server)
	c.signal(c.servers[server], drainSignal)
	time.Sleep(4 * time.Second)
	c.kill(c.servers[server])
}

// chain returns steps of two tasks each, each of which waits for the one before.
func chain(steps, ms int) string {
	text := fmt.Sprintf(`{"Count":2,"Cpu":1000,"MemMb":64,"EstimateMs":%d}`, ms)
	for n := range steps - 1 {
		text += fmt.Sprintf(`,{"Count":2,"Cpu":1000,"MemMb":64,"EstimateMs":%d,"After":[%d]}`, ms, n)
	}
	return text
}

// watch asks for the state of an accepted job until it has succeeded, and returns how it breaks the rules otherwise.
func (c *cluster) watch(ctx context.Context, job string) ([]string, error) {
	began := time.Now()
	for n := 0; time.Since(began) < watchTime; n++ {
		time.Sleep(pollInterval)
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		switch c.state(ctx, n%entryCount, job) {
		case "succeeded":
			return nil, nil
		case "failed":
			ends := c.count(job, "failed")
			if ends >= attemptLimit {
				return nil, nil
			}
			return []string{fmt.Sprintf("LOST: job %s is shown as failed after %d ends failed; its queue allows %d", job, ends, attemptLimit)}, nil
		}
	}
	for _, e := range c.eventsOf(job) {
		if e.at.After(began.Add(calmTime)) {
			return nil, fmt.Errorf("job %s is not idle: task %s %s", job, e.task, e.what)
		}
	}
	return []string{fmt.Sprintf("LOST: job %s has had nothing running from %s to %s after the trouble (bound %s), with all other servers idle",
		job, calmTime, time.Since(began).Round(time.Second), idleTime)}, nil
}

// count returns the number of events of a kind of the tasks of a job.
func (c *cluster) count(job, what string) (n int) {
	for _, e := range c.eventsOf(job) {
		if e.what == what {
			n++
		}
	}
	return n
}

// earlyCancel: a client gives up on a job that waits for room, and cancels it.
func earlyCancel(ctx context.Context, c *cluster, trouble bool) ([]string, error) {
	if err := c.launch(ctx, entryCount, sidecarCount, oneService); err != nil {
		return nil, err
	}
	const job, filler = "5c0e7a21d94b3604", "5c0e7a21d94b36f0"
	filled := time.Now()
	if !c.submit(ctx, 0, filler, fmt.Sprintf(`{"Count":%d,"Cpu":1000,"MemMb":64,"EstimateMs":6000}`, roomForTasks), "6000") {
		return nil, errors.New("the first job was not accepted")
	}
	if !c.awaitStarts(ctx, filler, roomForTasks, 5*time.Second) {
		return nil, errors.New("the first job does not fill the servers")
	}
	time.Sleep(time.Until(filled.Add(5200 * time.Millisecond)))
	body := fmt.Sprintf(`{"Spec":"1200","Steps":[%s]}`, chain(4, 1200))
	patience := callTimeout
	if trouble {
		patience = giveUpAfter
	}
	if status, _ := c.call(ctx, 0, http.MethodPost, prefix+job, body, patience); trouble == (status == http.StatusOK) {
		return nil, fmt.Errorf("the job was answered %d", status)
	}
	status, _ := c.call(ctx, 0, http.MethodDelete, prefix+job, "", callTimeout)
	cancelled := time.Now()
	if status != http.StatusOK && status != http.StatusGone {
		return nil, fmt.Errorf("the cancelling was answered %d", status)
	}
	time.Sleep(12 * time.Second)
	c.state(ctx, 1, job)
	return c.judgeCancelled(job, cancelled), nil
}

// awaitStarts waits until as many tasks of a job have started.
func (c *cluster) awaitStarts(ctx context.Context, job string, tasks int, limit time.Duration) bool {
	for at := time.Now(); time.Since(at) < limit && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		started := map[string]bool{}
		for _, e := range c.eventsOf(job) {
			started[e.task] = started[e.task] || e.what == startedEvent
		}
		if len(started) >= tasks {
			return true
		}
	}
	return false
}

// judgeCancelled returns the runs of a cancelled job that began or went on too late.
func (c *cluster) judgeCancelled(job string, cancelled time.Time) (violations []string) {
	for _, e := range c.eventsOf(job) {
		after := e.at.Sub(cancelled).Round(time.Millisecond)
		switch {
		case e.what == startedEvent && after > cancelTime:
			violations = append(violations, fmt.Sprintf("UNASKED: task %s starts %s after the cancelling of its job was acknowledged", e.task, after))
		case e.what != startedEvent && after > cancelTime+stopTime:
			violations = append(violations, fmt.Sprintf("UNASKED: task %s ran on until %s after the cancelling of its job was acknowledged (%s)", e.task, after, e.what))
		}
	}
	return violations
}

// dealtBack: the store turns an entry away for a short time and gives its partitions to the others at once; then it deals all
// partitions anew. Accepted jobs run all the while.
func dealtBack(ctx context.Context, c *cluster, trouble bool) ([]string, error) {
	if err := c.launch(ctx, entryCount, sidecarCount, oneService); err != nil {
		return nil, err
	}
	var jobs []string
	for n := range jobCount {
		job := fmt.Sprintf("5c0e7a21d94b37%02x", n)
		if !c.submit(ctx, n%entryCount, job, chain(2, 2500), "2500") {
			return nil, errors.New("a job was not accepted")
		}
		jobs = append(jobs, job)
	}
	time.Sleep(time.Second)
	began := time.Now()
	if trouble {
		c.dealer.turnAway(c.entries[0].name)
	}
	time.Sleep(awayTime / 2)
	for n := range lateJobCount {
		job := fmt.Sprintf("5c0e7a21d94b38%02x", n)
		body := fmt.Sprintf(`{"Spec":"2500","Steps":[%s]}`, chain(2, 2500))
		if status, _ := c.call(ctx, 1, http.MethodPost, prefix+job, body, callTimeout); status == http.StatusOK {
			jobs = append(jobs, job)
		}
	}
	if trouble {
		time.Sleep(time.Until(began.Add(awayTime)))
		c.dealer.rebalance()
	}
	return c.watchAll(ctx, jobs)
}

// watchAll asks for the states of accepted jobs until all have succeeded, and returns how they break the rules otherwise.
func (c *cluster) watchAll(ctx context.Context, jobs []string) (violations []string, err error) {
	var open map[string]string
	began := time.Now()
	for n := 0; time.Since(began) < watchTime; n++ {
		time.Sleep(pollInterval)
		open = map[string]string{}
		for _, job := range jobs {
			if s := c.state(ctx, n%entryCount, job); s != "succeeded" {
				open[job] = s
			}
		}
		if err := ctx.Err(); err != nil || len(open) == 0 {
			return nil, err
		}
	}
	for _, job := range jobs {
		if open[job] == "" {
			continue
		}
		last := began
		if list := c.eventsOf(job); len(list) > 0 {
			last = list[len(list)-1].at
		}
		idle := time.Since(last)
		if idle < calmTime+idleTime {
			return nil, fmt.Errorf("job %s is not idle", job)
		}
		violations = append(violations, fmt.Sprintf("LOST: accepted job %s: the last answer is %q, and nothing of it has run for %s (bound %s), with over half of the capacity free",
			job, open[job], idle.Round(time.Second), idleTime))
	}
	return violations, nil
}
