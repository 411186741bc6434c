package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/server"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	demoTimeout            = 24 * time.Second // the drain at the end comes on top; the whole demo takes less than 30 s
	demoLoadDuration       = 12 * timer.Second
	demoReadyTimeout       = 8 * timer.Second
	demoWithdrawTime       = demoLoadDuration / 3
	demoReturnTime         = demoLoadDuration * 2 / 3
	demoMaxWithdrawalDelay = 3 * timer.Second // longest allowed time from the acceptance of the withdrawal to the last start
	demoAnswerTimeout      = 15 * timer.Second
	demoWithdrawnDomain    = "south"
	demoDrainJobs          = 9 // number of jobs in flight when an entry is drained
)

type (
	// demo is the state of one run. Points in time are readings of clock.
	demo struct {
		cluster     *demoCluster
		clock       timer.Clock
		jobs        []demoJob
		loadStart   timer.Millis
		mu          sync.Mutex
		submissions []demoSubmission

		withdrawRequested, withdrawAccepted timer.Millis
		returnRequested, returnAccepted     timer.Millis
		propagationTime                     timer.Millis // from the withdrawal request until all processes had applied it
		taskMessages, wastedMessages        float64      // messages per task; wasted ones are refused starts and their refusals
		allMessages                         float64      // messages of all types, per task
	}

	// demoSubmission is one submission of a job and its response.
	demoSubmission struct {
		job         *demoJob
		resubmitted bool
		status      int
		answer      encoder.Answer
		elapsed     timer.Millis
		err         error
	}
)

func runDemo(ctx context.Context, c invocation) int {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d := &demo{jobs: generateDemoJobs(uint64(c.values.Count("seed")), int(c.values.Count("jobs")), demoEntries, demoLoadDuration)}
	var err error
	if d.cluster, err = startDemoCluster(ctx, c.logger()); err != nil {
		return c.fail(err)
	}
	if err = d.cluster.awaitReady(ctx, demoReadyTimeout); err == nil {
		err = d.runLoad(ctx)
	}
	if err != nil {
		return c.fail(trace.NewAggregate(err, d.cluster.stop()))
	}
	err = d.cluster.stop()
	report := d.report()
	if err != nil {
		report.addViolation("graceful stop failed: %v", err)
	}
	if err := c.printDemoReport(report); err != nil {
		return c.fail(err)
	}
	if len(report.Violations) > 0 {
		return ExitFailure
	}
	return ExitSuccess
}

// runLoad submits all jobs, withdraws and returns a failure domain meanwhile, and drains an entry at the end.
func (d *demo) runLoad(ctx context.Context) error {
	d.loadStart = d.clock.Now()
	var submissions sync.WaitGroup
	for i := range d.jobs {
		j := &d.jobs[i]
		submissions.Go(func() { d.submit(ctx, j, j.entry, j.arrival, false) })
		if j.resubmitEntry >= 0 {
			submissions.Go(func() { d.submit(ctx, j, j.resubmitEntry, j.arrival+j.resubmitDelay, true) })
		}
	}
	err := d.withdrawAndReturn(ctx)
	submissions.Wait()
	if err != nil {
		return err
	}
	d.countMessages(ctx)
	return d.drainEntry(ctx)
}

// withdrawAndReturn withdraws the failure domain and later returns it through a different entry.
func (d *demo) withdrawAndReturn(ctx context.Context) error {
	d.sleepUntil(ctx, demoWithdrawTime)
	d.withdrawRequested = d.clock.Now()
	r, err := d.cluster.client(0).Withdraw(ctx, demoWithdrawnDomain, "demo")
	if err != nil {
		return err
	}
	p, err := server.DecodePublication(r.Body)
	// The entry responds once the withdrawal has been applied, so the time of acceptance is taken from the response.
	d.withdrawAccepted, d.propagationTime = d.withdrawRequested+p.Elapsed, p.PropagationTime
	if err != nil || !p.Accepted {
		return trace.Errorf("the withdrawal was not accepted: status %d, %s", r.Status, r.Body)
	}
	d.sleepUntil(ctx, demoReturnTime)
	d.returnRequested = d.clock.Now()
	if r, err = d.cluster.client(1).Return(ctx, demoWithdrawnDomain, "demo"); err != nil {
		return err
	}
	p, err = server.DecodePublication(r.Body)
	d.returnAccepted = d.returnRequested + p.Elapsed
	if err != nil || !p.Accepted {
		return trace.Errorf("the return was not accepted: status %d, %s", r.Status, r.Body)
	}
	return nil
}

// drainEntry stops the last entry while jobs submitted to it are in flight. Each caller must receive a complete answer.
func (d *demo) drainEntry(ctx context.Context) error {
	jobs := make([]demoJob, demoDrainJobs)
	var submissions sync.WaitGroup
	for i := range jobs {
		jobs[i] = demoJob{key: fmt.Sprintf("last-%d", i), runTimes: []timer.Millis{300, 400}, resubmitEntry: -1}
		submissions.Go(func() { d.submit(ctx, &jobs[i], demoEntries-1, 0, false) })
	}
	d.cluster.awaitStarts(ctx, func(s startRecord) bool { return s.job >= "last-" && s.job < "last-~" }, demoDrainJobs)
	err := d.cluster.entries[demoEntries-1].stop()
	submissions.Wait()
	return err
}

func (d *demo) submit(ctx context.Context, j *demoJob, entry int, at timer.Millis, resubmitted bool) {
	d.sleepUntil(ctx, at)
	result := demoSubmission{job: j, resubmitted: resubmitted}
	body, err := server.EncodeJob(j.encoderJob(), demoAnswerTimeout)
	if err == nil {
		started := d.clock.Now()
		var r server.Response
		r, err = d.cluster.client(entry).Submit(ctx, j.key, body)
		result.elapsed, result.status = d.clock.Now()-started, r.Status
		if err == nil {
			result.answer, err = server.DecodeAnswer(r.Body)
		}
	}
	result.err = err
	d.mu.Lock()
	d.submissions = append(d.submissions, result)
	d.mu.Unlock()
}

// sleepUntil waits until the given time after the start of the load, or until ctx is done.
func (d *demo) sleepUntil(ctx context.Context, offset timer.Millis) {
	wait := d.loadStart + offset - d.clock.Now()
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait.Duration()):
	}
}

// printDemoReport prints the report as a table, or as JSON with -json.
func (c invocation) printDemoReport(r demoReport) error {
	if c.jsonRequested() {
		body, err := json.MarshalIndent(r.wire(), "", "  ")
		if err != nil {
			return trace.Wrap(err)
		}
		c.printf("%s\n", body)
		return nil
	}
	w := tabwriter.NewWriter(c.Stdout, 0, 4, 2, ' ', 0)
	for _, row := range r.rows() {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", row[0], row[1])
	}
	for _, violation := range r.Violations {
		_, _ = fmt.Fprintf(w, "VIOLATION\t%s\n", violation)
	}
	return trace.Wrap(w.Flush())
}
