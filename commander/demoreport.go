package commander

import (
	"context"
	"fmt"
	"strconv"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

type (
	// demoReport holds the figures of a run. Broken lists the promises that did not hold.
	demoReport struct {
		Jobs, Complete, Failed, Running, Again int
		Tasks, Starts, Twice, Late             int
		OnceTasks, OnceStarts                  int
		RatioP50, RatioP99, RatioMax           float64
		ResponseP50, IdealP50                  float64
		LastStart                              timer.Millis // from the acceptance of the withdrawal to the last start
		Accepted                               timer.Millis // time to accept the withdrawal
		InForce                                timer.Millis // time until all processes obeyed it
		FirstStart                             timer.Millis // from the acceptance of the return to the first start
		AllMessages, Messages, Wasted          float64
		Broken                                 []string
	}

	demoWire struct {
		Jobs         int      `json:"jobs"`
		Complete     int      `json:"complete"`
		Failed       int      `json:"failed"`
		Running      int      `json:"running"`
		Resubmitted  int      `json:"resubmitted"`
		Tasks        int      `json:"tasks"`
		Starts       int      `json:"starts"`
		StartedTwice int      `json:"startedTwice"`
		LateStarts   int      `json:"lateStarts"`
		OnceTasks    int      `json:"onceTasks"`
		OnceStarts   int      `json:"onceStarts"`
		RatioP50     float64  `json:"responseRatioP50"`
		RatioP99     float64  `json:"responseRatioP99"`
		RatioMax     float64  `json:"responseRatioMax"`
		ResponseMs   float64  `json:"responseP50Ms"`
		IdealMs      float64  `json:"idealP50Ms"`
		AcceptedMs   int64    `json:"withdrawalAcceptedMs"`
		InForceMs    int64    `json:"withdrawalInForceMs"`
		LastStartMs  int64    `json:"lastStartAfterWithdrawalMs"`
		FirstStartMs int64    `json:"firstStartAfterReturnMs"`
		AllMessages  float64  `json:"messagesPerTask"`
		Messages     float64  `json:"taskMessagesPerTask"`
		Wasted       float64  `json:"wastedTaskMessagesPerTask"`
		Broken       []string `json:"broken"`
	}
)

// report compares what the callers got with what the backend servers saw.
func (d *demo) report() demoReport {
	r := demoReport{Jobs: len(d.jobs), Accepted: d.accepted - d.withdrawn, InForce: d.inForce}
	r.AllMessages, r.Messages, r.Wasted = d.allMessages, d.messages, d.wasted
	starts := d.layout.recorder.list()
	r.Starts = len(starts)
	perTask, perJob := map[string]int{}, map[string]int{}
	for _, s := range starts {
		perTask[s.task]++
		perJob[s.job]++
		if perTask[s.task] == 2 {
			r.Twice++
			r.broken("task %s started twice", s.task)
		}
	}
	d.checkCalls(&r, perJob)
	d.checkDomain(&r, starts)
	for _, j := range d.jobs {
		r.Tasks += len(j.tasks)
		if j.once {
			r.OnceTasks += len(j.tasks)
			r.OnceStarts += perJob[j.key]
		}
	}
	return r
}

func (r *demoReport) broken(format string, args ...any) {
	const most = 20
	if len(r.Broken) < most {
		r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
	}
}

// checkCalls checks each answer against the job and the starts.
func (d *demo) checkCalls(r *demoReport, perJob map[string]int) {
	ideal := map[string]timer.Millis{}
	responses := idealResponses(d.jobs, demoSidecars*demoSlots, outage{
		from: d.accepted - d.begun, to: d.returned - d.begun, slots: d.layout.slots(demoDomain),
	})
	for i, t := range responses {
		ideal[d.jobs[i].key] = t
	}
	var ratios, took, ideals []float64
	for _, c := range d.calls {
		key := c.job.key
		if c.again {
			r.Again++
		}
		if c.err != nil {
			r.broken("%s: the caller got no whole answer: %v", key, c.err)
			continue
		}
		switch {
		case c.answer.Key != key:
			r.broken("%s: the caller got the answer to %q", key, c.answer.Key)
		case c.answer.State == encoder.JobComplete:
			d.checkResults(r, c, perJob[key])
		case c.answer.State == encoder.JobRunning:
			r.broken("%s: no answer within %v", key, demoWait)
		case c.answer.Outcome == encoder.OutcomeNotRun && perJob[key] > 0:
			r.broken("%s: the answer says not run, but %d tasks started (%s)", key, perJob[key], c.answer.Reason)
		}
		if t, ok := ideal[key]; ok && !c.again {
			r.count(c)
			if c.answer.State == encoder.JobComplete {
				ratios = append(ratios, float64(c.took)/float64(t))
				took, ideals = append(took, float64(c.took)), append(ideals, float64(t))
			}
		}
	}
	r.RatioP50, r.RatioP99, r.RatioMax = quantile(ratios, 0.5), quantile(ratios, 0.99), quantile(ratios, 1)
	r.ResponseP50, r.IdealP50 = quantile(took, 0.5), quantile(ideals, 0.5)
	if r.Complete == 0 {
		r.broken("no job is complete")
	}
}

func (r *demoReport) count(c demoCall) {
	switch c.answer.State {
	case encoder.JobComplete:
		r.Complete++
	case encoder.JobFailed:
		r.Failed++
	default:
		r.Running++
	}
}

// checkResults checks that a complete answer has every result of its own tasks and that all of them started.
func (d *demo) checkResults(r *demoReport, c demoCall, started int) {
	if len(c.answer.Results) != len(c.job.tasks) || started != len(c.job.tasks) {
		r.broken("%s: complete with %d results and %d starts for %d tasks", c.job.key, len(c.answer.Results), started, len(c.job.tasks))
		return
	}
	for i, result := range c.answer.Results {
		if want := c.job.result(i); string(result.Body) != want {
			r.broken("%s: result %d is %.100q, want %.100q", c.job.key, i, result.Body, want)
		}
	}
}

// checkDomain looks for starts in the withdrawn failure domain from 3 s after the acceptance to the request to return it.
func (d *demo) checkDomain(r *demoReport, starts []startRecord) {
	for _, s := range starts {
		switch {
		case s.domain != demoDomain || s.at < d.accepted:
		case s.at < d.returning:
			r.LastStart = max(r.LastStart, s.at-d.accepted)
			if s.at > d.accepted+demoBound {
				r.Late++
				r.broken("task %s started in %s %v after the withdrawal was accepted", s.task, s.domain, s.at-d.accepted)
			}
		case r.FirstStart == 0:
			r.FirstStart = max(1, s.at-d.returned)
		}
	}
	if r.InForce == 0 {
		r.broken("the withdrawal was not in force everywhere %v after its acceptance", forceWait)
	}
	if r.FirstStart == 0 {
		r.broken("no task started in %s after its return", demoDomain)
	}
}

// countMessages counts all messages that the entries sent or got from sidecars, and of these the ones that belong to
// tasks: each start and its result or refusal. It is called before the first entry stops.
func (d *demo) countMessages(ctx context.Context) {
	var started, refused, all uint64
	for _, e := range d.layout.entries {
		s := e.process.Entry.Status(ctx)
		started += s.Counters.Started
		refused += s.Counters.Refused
		all += s.Sent.Sum() + s.Received.Sum()
	}
	if starts := len(d.layout.recorder.list()); starts > 0 {
		d.allMessages = float64(all) / float64(starts)
		d.messages, d.wasted = 2*float64(started)/float64(starts), 2*float64(refused)/float64(starts)
	}
}

func (r demoReport) rows() [][2]string {
	return [][2]string{
		{"jobs", strconv.Itoa(r.Jobs)},
		{"jobs complete", strconv.Itoa(r.Complete)},
		{"jobs failed", strconv.Itoa(r.Failed)},
		{"jobs without an answer", strconv.Itoa(r.Running)},
		{"submitted again to another entry", strconv.Itoa(r.Again)},
		{"tasks in these jobs", strconv.Itoa(r.Tasks)},
		{"task starts on backend servers", strconv.Itoa(r.Starts)},
		{"tasks started twice", strconv.Itoa(r.Twice)},
		{"tasks of the once job, and their starts", fmt.Sprintf("%d, %d", r.OnceTasks, r.OnceStarts)},
		{"response time over ideal, p50, p99, max", fmt.Sprintf("%.3f, %.3f, %.3f", r.RatioP50, r.RatioP99, r.RatioMax)},
		{"response time p50, ideal p50", fmt.Sprintf("%.0f ms, %.0f ms", r.ResponseP50, r.IdealP50)},
		{"withdrawal accepted after", r.Accepted.String()},
		{"in force on all processes after", r.InForce.String()},
		{"last start in the withdrawn domain after that", r.LastStart.String()},
		{"starts in it more than " + demoBound.String() + " after that", strconv.Itoa(r.Late)},
		{"first start in it after its return", r.FirstStart.String()},
		{"messages per task, of all types", fmt.Sprintf("%.3f", r.AllMessages)},
		{"of these starts, results and refusals per task", fmt.Sprintf("%.3f", r.Messages)},
		{"of the latter wasted per task", fmt.Sprintf("%.3f", r.Wasted)},
		{"promises broken", strconv.Itoa(len(r.Broken))},
	}
}

func (r demoReport) wire() demoWire {
	w := demoWire{
		Jobs: r.Jobs, Complete: r.Complete, Failed: r.Failed, Running: r.Running, Resubmitted: r.Again, Tasks: r.Tasks,
		Starts: r.Starts, StartedTwice: r.Twice, LateStarts: r.Late, OnceTasks: r.OnceTasks, OnceStarts: r.OnceStarts,
		RatioP50: r.RatioP50, RatioP99: r.RatioP99, RatioMax: r.RatioMax, ResponseMs: r.ResponseP50, IdealMs: r.IdealP50,
		AcceptedMs: int64(r.Accepted), InForceMs: int64(r.InForce), LastStartMs: int64(r.LastStart), FirstStartMs: int64(r.FirstStart),
		AllMessages: r.AllMessages, Messages: r.Messages, Wasted: r.Wasted, Broken: r.Broken,
	}
	if w.Broken == nil {
		w.Broken = []string{}
	}
	return w
}
