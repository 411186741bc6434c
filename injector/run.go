// Package injector runs a fleet of separate processes under a seeded schedule of faults and counts broken promises.
package injector

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/launcher"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// withdrawalBound is the time after an accepted withdrawal from which no task may start.
	withdrawalBound = 3000 // ms
	// drainBound is the time that a stopped entry has for its requests; it is the setting's default.
	drainBound = 30_000 // ms
)

type (
	// Plan says what to run. The zero value of a field stands for its default.
	Plan struct {
		Directory     string // holds the built programs
		Seed          uint64
		Length        timer.Millis // time during which jobs are submitted and faults injected; default 30 s
		JobsPerSecond int          // default 20
		FaultEvery    timer.Millis // mean time between faults; default 1 s
		Faults        []string     // names of the faults to draw from; default all
		Patience      timer.Millis // how long callers resubmit; default 40 s
		Logs          string       // directory for the output of the processes; none when empty
	}

	run struct {
		plan    Plan
		fleet   *launcher.Fleet
		http    *http.Client
		faulted sync.WaitGroup

		mu          sync.Mutex
		report      Report
		jobs        []*job
		withdrawals []withdrawal
		claimed     map[string]bool
		stops       map[int]int64 // last planned stop of an entry, wall clock ms
	}
)

// Run launches a fleet, runs the plan and returns the counts. The fleet ends with the run.
func Run(ctx context.Context, p Plan) (*Report, error) {
	p = p.withDefaults()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	u := &run{
		plan:  p,
		fleet: &launcher.Fleet{Directory: p.Directory, Entries: 3, Backends: 6, Domains: 3, Slots: 4},
		http:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		report: Report{
			Seed: p.Seed, Faults: map[string]int{}, Reasons: map[string]int{},
		},
		claimed: map[string]bool{}, stops: map[int]int64{},
	}
	defer u.fleet.Close()
	if err := u.fleet.Launch(ctx); err != nil {
		return nil, err
	}
	u.work(ctx)
	u.check()
	if p.Logs != "" {
		if err := u.fleet.WriteLogs(p.Logs); err != nil {
			return nil, err
		}
	}
	return &u.report, nil
}

func (p Plan) withDefaults() Plan {
	if p.Length == 0 {
		p.Length = 30 * timer.Second
	}
	if p.JobsPerSecond == 0 {
		p.JobsPerSecond = 20
	}
	if p.Patience == 0 {
		p.Patience = defaultPatience
	}
	if p.FaultEvery == 0 {
		p.FaultEvery = timer.Second
	}
	return p
}

// work submits jobs and injects faults for the length of the plan, then waits until faults have ended and callers are done.
func (u *run) work(ctx context.Context) {
	r := rand.New(rand.NewPCG(u.plan.Seed, 7))
	faultCtx, stopFaults := context.WithTimeout(ctx, u.plan.Length.Duration())
	defer stopFaults()
	u.faulted.Add(1)
	go func() {
		defer u.faulted.Done()
		u.faults(faultCtx, rand.New(rand.NewPCG(u.plan.Seed, 8)))
	}()
	var callers sync.WaitGroup
	for n := 0; faultCtx.Err() == nil; n++ {
		j := newJob(n, u.plan.Seed, r)
		u.mu.Lock()
		u.jobs = append(u.jobs, j)
		u.mu.Unlock()
		own := rand.New(rand.NewPCG(u.plan.Seed, uint64(1000+n)))
		callers.Add(1)
		go func() {
			defer callers.Done()
			u.submit(ctx, j, own)
		}()
		sleep(faultCtx, time.Second/time.Duration(u.plan.JobsPerSecond))
	}
	u.faulted.Wait()
	u.heal()
	callers.Wait()
}

// heal starts every process that is not running, so that the remaining callers can get their answers.
func (u *run) heal() {
	_ = u.fleet.ControlLog(`{"outage":false,"appendDelayMs":4,"readDelayMs":0}`) // checked by the answers that follow
	for i := range u.fleet.Backends {
		u.revive(launcher.BackendName(i), func() error { return u.fleet.StartBackend(i) })
		u.revive(launcher.SidecarName(i), func() error { return u.fleet.StartSidecar(i) })
	}
	for i := range u.fleet.Entries {
		u.revive(launcher.EntryName(i), func() error { return u.fleet.StartEntry(i) })
	}
}

func (u *run) revive(name string, again func() error) {
	p := u.fleet.Process(name)
	p.Resume()
	if p.Running() {
		return
	}
	if err := again(); err != nil {
		u.note("%s did not start again: %v", name, err)
	}
}

// check compares answers and starts with the promises.
func (u *run) check() {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := &u.report
	starts := u.fleet.Starts()
	perTask, perJob := map[string]int{}, map[string]int{}
	for _, s := range starts {
		perTask[s.Task]++
		key, _, _ := strings.Cut(s.Task, "/")
		perJob[key]++
		u.checkDomain(s)
	}
	for task, n := range perTask {
		if n > 1 {
			r.violation(&r.StartedTwice, "task %s was started %d times", task, n)
		}
	}
	r.Starts, r.Jobs = len(starts), len(u.jobs)
	for _, j := range u.jobs {
		u.checkJob(j, perJob[j.Key])
	}
}

func (u *run) checkDomain(s launcher.Start) {
	for _, w := range u.withdrawals {
		if u.fleet.Domain(s.Backend) == w.domain && s.Millis > w.accepted+withdrawalBound && s.Millis < w.returned {
			u.report.violation(&u.report.StartedInDomain, "task %s started in %s %d ms after its withdrawal", s.Task, w.domain,
				s.Millis-w.accepted)
		}
	}
}

func (u *run) checkJob(j *job, starts int) {
	r := &u.report
	if len(j.answers) == 0 {
		r.NoAnswer++
		u.detail("%s: no answer after %d calls and %d starts; last: %s", j.Key, j.calls, starts, j.last)
		return
	}
	first := j.answers[0]
	for _, a := range j.answers[1:] {
		// A later "unknown" is allowed: the answer is lost when its owner and the sidecars that kept the results are.
		if a.State != first.State && a.Outcome != encoder.OutcomeUnknown && first.Outcome != encoder.OutcomeUnknown {
			r.violation(&r.ChangedAnswers, "%s: %d (%s), then %d (%s)", j.Key, first.State, first.Reason, a.State, a.Reason)
		}
	}
	for _, a := range j.answers {
		if a.State == encoder.JobComplete && !sameResults(a.Results, j.want) {
			r.violation(&r.WrongAnswers, "%s: %d results, want %d of its own", j.Key, len(a.Results), len(j.want))
		}
		if a.State == encoder.JobFailed && a.Outcome == encoder.OutcomeNotRun && starts > 0 {
			r.violation(&r.UntrueNotRun, "%s: %d starts, answered %q", j.Key, starts, a.Reason)
		}
	}
	if first.State == encoder.JobFailed {
		r.Reasons[first.Reason]++
	}
	switch {
	case first.State == encoder.JobComplete:
		r.Complete++
		r.Tasks += len(j.want)
	case first.Outcome == encoder.OutcomeNotRun:
		r.NotRun++
	case first.Outcome == encoder.OutcomeUnknown:
		r.Unknown++
	default:
		r.Failed++
	}
}

func sameResults(got []encoder.TaskResult, want []string) bool {
	if len(got) != len(want) {
		return false
	}
	for i := range got {
		if string(got[i].Body) != want[i] {
			return false
		}
	}
	return true
}

// checkCutOff counts a request that was open when its entry was asked to stop and that ended without an answer before
// the entry's drain time was over. A request made after that may be refused.
func (u *run) checkCutOff(j *job, err error, entry int, stoppedBefore int64) {
	at := u.stops[entry]
	if at == 0 || at == stoppedBefore || strings.Contains(err.Error(), "refused") {
		return
	}
	if time.Now().UnixMilli()-at < drainBound && u.plan.onlyPlannedStops() {
		u.report.violation(&u.report.CutOff, "%s: request at entry %d cut off by a planned stop: %v", j.Key, entry, err)
	}
}

// onlyPlannedStops reports whether a request can only be cut off by a planned stop. With kills among the faults, a cut-off
// request cannot be told apart from one that a kill ended.
func (p Plan) onlyPlannedStops() bool {
	for _, f := range p.Faults {
		if f != stopEntry && f != stopSidecar && f != withdraw {
			return false
		}
	}
	return len(p.Faults) > 0
}

func (u *run) claim(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.claimed[name] {
		return false
	}
	u.claimed[name] = true
	return true
}

func (u *run) release(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.claimed, name)
}

func (u *run) markStopped(entry int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stops[entry] = time.Now().UnixMilli()
}

func (u *run) stopped(entry int) int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stops[entry]
}

func (u *run) note(format string, args ...any) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.detail(format, args...)
}

// detail adds a line to the report. The caller holds the lock.
func (u *run) detail(format string, args ...any) {
	if len(u.report.Details) < maxDetails {
		u.report.Details = append(u.report.Details, fmt.Sprintf(format, args...))
	}
}
