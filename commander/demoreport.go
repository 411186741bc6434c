package commander

import (
	"context"
	"fmt"
	"strconv"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

type (
	// demoReport is the result of a run. Violations lists the violated guarantees.
	demoReport struct {
		Jobs, Complete, Failed, Running, Resubmitted         int
		Tasks, Starts, StartedTwice, LateStarts              int
		OnceTasks, OnceStarts                                int
		ResponseRatioP50, ResponseRatioP99, ResponseRatioMax float64
		ResponseP50, IdealP50                                float64
		LastStartAfterWithdrawal                             timer.Millis // from the acceptance of the withdrawal to the last start
		WithdrawalAccepted                                   timer.Millis // time to accept the withdrawal
		WithdrawalInForce                                    timer.Millis // time until all processes had applied the withdrawal
		FirstStartAfterReturn                                timer.Millis // from the acceptance of the return to the first start
		AllMessages, TaskMessages, WastedTaskMessages        float64
		Violations                                           []string
	}

	demoWire struct {
		Jobs                       int      `json:"jobs"`
		Complete                   int      `json:"complete"`
		Failed                     int      `json:"failed"`
		Running                    int      `json:"running"`
		Resubmitted                int      `json:"resubmitted"`
		Tasks                      int      `json:"tasks"`
		Starts                     int      `json:"starts"`
		StartedTwice               int      `json:"startedTwice"`
		LateStarts                 int      `json:"lateStarts"`
		OnceTasks                  int      `json:"onceTasks"`
		OnceStarts                 int      `json:"onceStarts"`
		ResponseRatioP50           float64  `json:"responseRatioP50"`
		ResponseRatioP99           float64  `json:"responseRatioP99"`
		ResponseRatioMax           float64  `json:"responseRatioMax"`
		ResponseP50Ms              float64  `json:"responseP50Ms"`
		IdealP50Ms                 float64  `json:"idealP50Ms"`
		WithdrawalAcceptedMs       int64    `json:"withdrawalAcceptedMs"`
		WithdrawalInForceMs        int64    `json:"withdrawalInForceMs"`
		LastStartAfterWithdrawalMs int64    `json:"lastStartAfterWithdrawalMs"`
		FirstStartAfterReturnMs    int64    `json:"firstStartAfterReturnMs"`
		AllMessages                float64  `json:"messagesPerTask"`
		TaskMessages               float64  `json:"taskMessagesPerTask"`
		WastedTaskMessages         float64  `json:"wastedTaskMessagesPerTask"`
		Violations                 []string `json:"broken"`
	}
)

// report compares the answers that the callers received with the starts that the backend servers recorded.
func (d *demo) report() demoReport {
	r := demoReport{Jobs: len(d.jobs), WithdrawalAccepted: d.withdrawAccepted - d.withdrawRequested, WithdrawalInForce: d.propagationTime}
	r.AllMessages, r.TaskMessages, r.WastedTaskMessages = d.allMessages, d.taskMessages, d.wastedMessages
	starts := d.cluster.starts.snapshot()
	r.Starts = len(starts)
	perTask, perJob := map[string]int{}, map[string]int{}
	for _, s := range starts {
		perTask[s.task]++
		perJob[s.job]++
		if perTask[s.task] == 2 {
			r.StartedTwice++
			r.addViolation("task %s started twice", s.task)
		}
	}
	d.checkAnswers(&r, perJob)
	d.checkWithdrawal(&r, starts)
	for _, j := range d.jobs {
		r.Tasks += len(j.runTimes)
		if j.once {
			r.OnceTasks += len(j.runTimes)
			r.OnceStarts += perJob[j.key]
		}
	}
	return r
}

func (r *demoReport) addViolation(format string, args ...any) {
	const maxViolations = 20
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// checkAnswers compares each answer with the job and with the recorded starts.
func (d *demo) checkAnswers(r *demoReport, perJob map[string]int) {
	ideal := map[string]timer.Millis{}
	responses := idealResponses(d.jobs, demoSidecars*demoSlots, outage{
		from: d.withdrawAccepted - d.loadStart, to: d.returnAccepted - d.loadStart, slots: d.cluster.slotCount(demoWithdrawnDomain),
	})
	for i, t := range responses {
		ideal[d.jobs[i].key] = t
	}
	var ratios, took, ideals []float64
	for _, c := range d.submissions {
		key := c.job.key
		if c.resubmitted {
			r.Resubmitted++
		}
		if c.err != nil {
			r.addViolation("%s: the caller received no complete answer: %v", key, c.err)
			continue
		}
		switch {
		case c.answer.Key != key:
			r.addViolation("%s: the caller received the answer to %q", key, c.answer.Key)
		case c.answer.State == encoder.JobComplete:
			d.checkResults(r, c, perJob[key])
		case c.answer.State == encoder.JobRunning:
			r.addViolation("%s: no answer within %v", key, demoAnswerTimeout)
		case c.answer.Outcome == encoder.OutcomeNotRun && perJob[key] > 0:
			r.addViolation("%s: the answer says not run, but %d tasks started (%s)", key, perJob[key], c.answer.Reason)
		}
		if t, ok := ideal[key]; ok && !c.resubmitted {
			r.countAnswer(c)
			if c.answer.State == encoder.JobComplete {
				ratios = append(ratios, float64(c.elapsed)/float64(t))
				took, ideals = append(took, float64(c.elapsed)), append(ideals, float64(t))
			}
		}
	}
	r.ResponseRatioP50, r.ResponseRatioP99, r.ResponseRatioMax = quantile(ratios, 0.5), quantile(ratios, 0.99), quantile(ratios, 1)
	r.ResponseP50, r.IdealP50 = quantile(took, 0.5), quantile(ideals, 0.5)
	if r.Complete == 0 {
		r.addViolation("no job is complete")
	}
}

func (r *demoReport) countAnswer(c demoSubmission) {
	switch c.answer.State {
	case encoder.JobComplete:
		r.Complete++
	case encoder.JobFailed:
		r.Failed++
	default:
		r.Running++
	}
}

// checkResults checks that a complete answer contains the result of each of its tasks, and that each of them was started.
func (d *demo) checkResults(r *demoReport, c demoSubmission, started int) {
	if len(c.answer.Results) != len(c.job.runTimes) || started != len(c.job.runTimes) {
		r.addViolation("%s: complete with %d results and %d starts for %d tasks", c.job.key, len(c.answer.Results), started, len(c.job.runTimes))
		return
	}
	for i, result := range c.answer.Results {
		if want := c.job.result(i); string(result.Body) != want {
			r.addViolation("%s: result %d is %.100q, want %.100q", c.job.key, i, result.Body, want)
		}
	}
}

// checkWithdrawal checks that no task was started in the withdrawn failure domain between 3 s after the acceptance of the
// withdrawal and the request to return the domain, that the withdrawal was applied by all processes, and that tasks were
// started after the return.
func (d *demo) checkWithdrawal(r *demoReport, starts []startRecord) {
	for _, s := range starts {
		switch {
		case s.domain != demoWithdrawnDomain || s.time < d.withdrawAccepted:
		case s.time < d.returnRequested:
			r.LastStartAfterWithdrawal = max(r.LastStartAfterWithdrawal, s.time-d.withdrawAccepted)
			if s.time > d.withdrawAccepted+demoMaxWithdrawalDelay {
				r.LateStarts++
				r.addViolation("task %s started in %s %v after the withdrawal was accepted", s.task, s.domain, s.time-d.withdrawAccepted)
			}
		case r.FirstStartAfterReturn == 0:
			r.FirstStartAfterReturn = max(1, s.time-d.returnAccepted)
		}
	}
	if r.WithdrawalInForce == 0 {
		r.addViolation("the withdrawal was not in force everywhere %v after its acceptance", propagationTimeout)
	}
	if r.FirstStartAfterReturn == 0 {
		r.addViolation("no task started in %s after its return", demoWithdrawnDomain)
	}
}

// countMessages counts all messages that the entries exchanged with sidecars, and those that belong to tasks: each start
// and its result or refusal. It must be called before the first entry stops.
func (d *demo) countMessages(ctx context.Context) {
	var started, refused, all uint64
	for _, e := range d.cluster.entries {
		s := e.entry.Entry.Status(ctx)
		started += s.Counters.Started
		refused += s.Counters.Refused
		all += s.Sent.Sum() + s.Received.Sum()
	}
	if starts := len(d.cluster.starts.snapshot()); starts > 0 {
		d.allMessages = float64(all) / float64(starts)
		d.taskMessages, d.wastedMessages = 2*float64(started)/float64(starts), 2*float64(refused)/float64(starts)
	}
}

func (r demoReport) rows() [][2]string {
	return [][2]string{
		{"jobs", strconv.Itoa(r.Jobs)},
		{"jobs complete", strconv.Itoa(r.Complete)},
		{"jobs failed", strconv.Itoa(r.Failed)},
		{"jobs without an answer", strconv.Itoa(r.Running)},
		{"submitted again to another entry", strconv.Itoa(r.Resubmitted)},
		{"tasks in these jobs", strconv.Itoa(r.Tasks)},
		{"task starts on backend servers", strconv.Itoa(r.Starts)},
		{"tasks started twice", strconv.Itoa(r.StartedTwice)},
		{"tasks of the once job, and their starts", fmt.Sprintf("%d, %d", r.OnceTasks, r.OnceStarts)},
		{"response time over ideal, p50, p99, max", fmt.Sprintf("%.3f, %.3f, %.3f", r.ResponseRatioP50, r.ResponseRatioP99, r.ResponseRatioMax)},
		{"response time p50, ideal p50", fmt.Sprintf("%.0f ms, %.0f ms", r.ResponseP50, r.IdealP50)},
		{"withdrawal accepted after", r.WithdrawalAccepted.String()},
		{"in force on all processes after", r.WithdrawalInForce.String()},
		{"last start in the withdrawn domain after that", r.LastStartAfterWithdrawal.String()},
		{"starts in it more than " + demoMaxWithdrawalDelay.String() + " after that", strconv.Itoa(r.LateStarts)},
		{"first start in it after its return", r.FirstStartAfterReturn.String()},
		{"messages per task, of all types", fmt.Sprintf("%.3f", r.AllMessages)},
		{"of these starts, results and refusals per task", fmt.Sprintf("%.3f", r.TaskMessages)},
		{"of the latter wasted per task", fmt.Sprintf("%.3f", r.WastedTaskMessages)},
		{"violations", strconv.Itoa(len(r.Violations))},
	}
}

func (r demoReport) wire() demoWire {
	w := demoWire{
		Jobs: r.Jobs, Complete: r.Complete, Failed: r.Failed, Running: r.Running, Resubmitted: r.Resubmitted, Tasks: r.Tasks,
		Starts: r.Starts, StartedTwice: r.StartedTwice, LateStarts: r.LateStarts, OnceTasks: r.OnceTasks, OnceStarts: r.OnceStarts,
		ResponseRatioP50: r.ResponseRatioP50, ResponseRatioP99: r.ResponseRatioP99, ResponseRatioMax: r.ResponseRatioMax, ResponseP50Ms: r.ResponseP50, IdealP50Ms: r.IdealP50,
		WithdrawalAcceptedMs: int64(r.WithdrawalAccepted), WithdrawalInForceMs: int64(r.WithdrawalInForce), LastStartAfterWithdrawalMs: int64(r.LastStartAfterWithdrawal), FirstStartAfterReturnMs: int64(r.FirstStartAfterReturn),
		AllMessages: r.AllMessages, TaskMessages: r.TaskMessages, WastedTaskMessages: r.WastedTaskMessages, Violations: r.Violations,
	}
	if w.Violations == nil {
		w.Violations = []string{}
	}
	return w
}
