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
	demoLimit    = 24 * time.Second // with the drain at the end, the demo takes less than 30 s
	demoSpan     = 12 * timer.Second
	demoReady    = 8 * timer.Second
	demoWithdraw = demoSpan / 3
	demoReturn   = demoSpan * 2 / 3
	demoBound    = 3 * timer.Second // longest time from the acceptance of a withdrawal to the last start
	demoWait     = 15 * timer.Second
	demoDomain   = "south"
	demoLast     = 9 // jobs in flight when an entry is drained
)

type (
	// demo is one run. Points in time are those of the clock.
	demo struct {
		layout *layout
		clock  timer.Clock
		jobs   []demoJob
		begun  timer.Millis
		mu     sync.Mutex
		calls  []demoCall

		withdrawn, accepted timer.Millis
		returning, returned timer.Millis
		inForce             timer.Millis // from the request to withdraw until all processes obeyed
		messages, wasted    float64      // starts, results and refusals per task
		allMessages         float64      // per task
	}

	// demoCall is one submission of a job and what came back.
	demoCall struct {
		job    *demoJob
		again  bool
		status int
		answer encoder.Answer
		took   timer.Millis
		err    error
	}
)

func runDemo(ctx context.Context, c call) int {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	d := &demo{jobs: demoMix(uint64(c.values.Count("seed")), int(c.values.Count("jobs")), demoEntries, demoSpan)}
	var err error
	if d.layout, err = startLayout(ctx, c.logger()); err != nil {
		return c.fail(err)
	}
	if err = d.layout.ready(ctx, demoReady); err == nil {
		err = d.load(ctx)
	}
	if err != nil {
		return c.fail(trace.NewAggregate(err, d.layout.stop()))
	}
	err = d.layout.stop()
	r := d.report()
	if err != nil {
		r.broken("a planned stop was not graceful: %v", err)
	}
	if err := c.showDemo(r); err != nil {
		return c.fail(err)
	}
	if len(r.Broken) > 0 {
		return ExitFailure
	}
	return ExitSuccess
}

// load submits all jobs, withdraws and returns a failure domain on the way, and drains an entry at the end.
func (d *demo) load(ctx context.Context) error {
	d.begun = d.clock.Now()
	var calls sync.WaitGroup
	for i := range d.jobs {
		j := &d.jobs[i]
		calls.Go(func() { d.submit(ctx, j, j.entry, j.at, false) })
		if j.other >= 0 {
			calls.Go(func() { d.submit(ctx, j, j.other, j.at+j.after, true) })
		}
	}
	err := d.decide(ctx)
	calls.Wait()
	if err != nil {
		return err
	}
	d.countMessages(ctx)
	return d.drain(ctx)
}

// decide withdraws the failure domain and returns it, each through another entry.
func (d *demo) decide(ctx context.Context) error {
	d.until(ctx, demoWithdraw)
	d.withdrawn = d.clock.Now()
	r, err := d.layout.client(0).Withdraw(ctx, demoDomain, "demo")
	if err != nil {
		return err
	}
	p, err := server.DecodePublication(r.Body)
	// The answer waits until the withdrawal is in force, so the time of its acceptance is taken from the answer.
	d.accepted, d.inForce = d.withdrawn+p.Took, p.InForce
	if err != nil || !p.Accepted {
		return trace.Errorf("the withdrawal was not accepted: status %d, %s", r.Status, r.Body)
	}
	d.until(ctx, demoReturn)
	d.returning = d.clock.Now()
	if r, err = d.layout.client(1).Return(ctx, demoDomain, "demo"); err != nil {
		return err
	}
	p, err = server.DecodePublication(r.Body)
	d.returned = d.returning + p.Took
	if err != nil || !p.Accepted {
		return trace.Errorf("the return was not accepted: status %d, %s", r.Status, r.Body)
	}
	return nil
}

// drain stops the last entry while jobs that were submitted to it are in flight. Each caller must get a whole answer.
func (d *demo) drain(ctx context.Context) error {
	last := make([]demoJob, demoLast)
	var calls sync.WaitGroup
	for i := range last {
		last[i] = demoJob{key: fmt.Sprintf("last-%d", i), tasks: []timer.Millis{300, 400}, other: -1}
		calls.Go(func() { d.submit(ctx, &last[i], demoEntries-1, 0, false) })
	}
	d.layout.started(ctx, func(s startRecord) bool { return s.job >= "last-" && s.job < "last-~" }, demoLast)
	err := d.layout.entries[demoEntries-1].stop()
	calls.Wait()
	return err
}

func (d *demo) submit(ctx context.Context, j *demoJob, entry int, at timer.Millis, again bool) {
	d.until(ctx, at)
	c := demoCall{job: j, again: again}
	body, err := server.EncodeJob(j.job(), demoWait)
	if err == nil {
		begun := d.clock.Now()
		var r server.Response
		r, err = d.layout.client(entry).Submit(ctx, j.key, body)
		c.took, c.status = d.clock.Now()-begun, r.Status
		if err == nil {
			c.answer, err = server.DecodeAnswer(r.Body)
		}
	}
	c.err = err
	d.mu.Lock()
	d.calls = append(d.calls, c)
	d.mu.Unlock()
}

// until waits for a point of time after the start of the load.
func (d *demo) until(ctx context.Context, at timer.Millis) {
	wait := d.begun + at - d.clock.Now()
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait.Duration()):
	}
}

// showDemo prints the report as a table or as JSON.
func (c call) showDemo(r demoReport) error {
	if c.json() {
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
	for _, b := range r.Broken {
		_, _ = fmt.Fprintf(w, "BROKEN\t%s\n", b)
	}
	return trace.Wrap(w.Flush())
}
