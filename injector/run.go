// Package injector runs a fleet of separate processes under a seeded schedule of faults and counts violations of the
// guarantees.
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
	// withdrawalDeadline is the time after the acceptance of a withdrawal from which no task may start in the domain.
	withdrawalDeadline = 3000 // ms
	// drainTimeout is the time that a stopping entry has to finish its requests. It equals the default of the setting.
	drainTimeout = 30_000 // ms
)

type (
	// Plan configures a run. A zero value selects the default of the field.
	Plan struct {
		ProgramDir      string // directory of the built programs
		Seed            uint64
		Duration        timer.Millis // time during which jobs are submitted and faults injected; default 30 s
		JobsPerSecond   int          // default 20
		FaultInterval   timer.Millis // mean time between faults; default 1 s
		Faults          []string     // names of the faults to select from; default all
		ResubmitTimeout timer.Millis // time for which callers resubmit a job; default 40 s
		LogDir          string       // directory for the output of the processes; not written if empty
	}

	run struct {
		plan       Plan
		fleet      *launcher.Fleet
		http       *http.Client
		faultGroup sync.WaitGroup

		mu          sync.Mutex
		report      Report
		jobs        []*job
		withdrawals []withdrawal
		claimed     map[string]bool
		stopTimes   map[int]int64 // time of the last planned stop by entry, wall clock in ms
	}
)

// Run launches a fleet, executes the plan and returns the counts. The fleet is killed when Run returns.
func Run(ctx context.Context, p Plan) (*Report, error) {
	p = p.withDefaults()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	u := &run{
		plan:  p,
		fleet: &launcher.Fleet{ProgramDir: p.ProgramDir, Entries: 3, Backends: 6, Domains: 3, Slots: 4},
		http:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		report: Report{
			Seed: p.Seed, Faults: map[string]int{}, Reasons: map[string]int{},
		},
		claimed: map[string]bool{}, stopTimes: map[int]int64{},
	}
	defer u.fleet.Close()
	if err := u.fleet.Launch(ctx); err != nil {
		return nil, err
	}
	u.runWorkload(ctx)
	u.check()
	if p.LogDir != "" {
		if err := u.fleet.WriteLogs(p.LogDir); err != nil {
			return nil, err
		}
	}
	return &u.report, nil
}

func (p Plan) withDefaults() Plan {
	if p.Duration == 0 {
		p.Duration = 30 * timer.Second
	}
	if p.JobsPerSecond == 0 {
		p.JobsPerSecond = 20
	}
	if p.ResubmitTimeout == 0 {
		p.ResubmitTimeout = defaultResubmitTimeout
	}
	if p.FaultInterval == 0 {
		p.FaultInterval = timer.Second
	}
	return p
}

// runWorkload submits jobs and injects faults for the duration of the plan, then waits for the faults to end and for
// the callers to finish.
func (u *run) runWorkload(ctx context.Context) {
	r := rand.New(rand.NewPCG(u.plan.Seed, 7))
	faultCtx, stopFaults := context.WithTimeout(ctx, u.plan.Duration.Duration())
	defer stopFaults()
	u.faultGroup.Add(1)
	go func() {
		defer u.faultGroup.Done()
		u.injectFaults(faultCtx, rand.New(rand.NewPCG(u.plan.Seed, 8)))
	}()
	var callers sync.WaitGroup
	for n := 0; faultCtx.Err() == nil; n++ {
		j := newJob(n, u.plan.Seed, r)
		u.mu.Lock()
		u.jobs = append(u.jobs, j)
		u.mu.Unlock()
		jobRand := rand.New(rand.NewPCG(u.plan.Seed, uint64(1000+n)))
		callers.Add(1)
		go func() {
			defer callers.Done()
			u.submit(ctx, j, jobRand)
		}()
		sleep(faultCtx, time.Second/time.Duration(u.plan.JobsPerSecond))
	}
	u.faultGroup.Wait()
	u.restoreFleet()
	callers.Wait()
}

// restoreFleet restarts every process that is not running, so that the remaining callers can get their answers.
func (u *run) restoreFleet() {
	// An error shows in the job answers that follow.
	_ = u.fleet.ControlLog(`{"outage":false,"appendDelayMs":4,"readDelayMs":0}`)
	for i := range u.fleet.Backends {
		u.ensureRunning(launcher.BackendName(i), func() error { return u.fleet.StartBackend(i) })
		u.ensureRunning(launcher.SidecarName(i), func() error { return u.fleet.StartSidecar(i) })
	}
	for i := range u.fleet.Entries {
		u.ensureRunning(launcher.EntryName(i), func() error { return u.fleet.StartEntry(i) })
	}
}

func (u *run) ensureRunning(name string, start func() error) {
	p := u.fleet.Process(name)
	p.Resume()
	if p.Running() {
		return
	}
	if err := start(); err != nil {
		u.addDetail("%s did not restart: %v", name, err)
	}
}

// check verifies the guarantees against the answers and the starts.
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
			r.addViolation(&r.StartedTwice, "task %s was started %d times", task, n)
		}
	}
	r.Starts, r.Jobs = len(starts), len(u.jobs)
	for _, j := range u.jobs {
		u.checkJob(j, perJob[j.Key])
	}
}

func (u *run) checkDomain(s launcher.TaskStart) {
	for _, w := range u.withdrawals {
		if u.fleet.Domain(s.Backend) == w.domain && s.UnixMillis > w.acceptedAt+withdrawalDeadline && s.UnixMillis < w.returnedAt {
			u.report.addViolation(&u.report.StartedInWithdrawnDomain, "task %s started in %s %d ms after its withdrawal",
				s.Task, w.domain, s.UnixMillis-w.acceptedAt)
		}
	}
}

func (u *run) checkJob(j *job, starts int) {
	r := &u.report
	if len(j.answers) == 0 {
		r.NoAnswer++
		u.addDetailLocked("%s: no answer after %d calls and %d starts; last: %s", j.Key, j.calls, starts, j.lastAttempt)
		return
	}
	first := j.answers[0]
	for _, a := range j.answers[1:] {
		// A later "unknown" is allowed: the answer is lost if its owner and the sidecars that kept the results are
		// lost.
		if a.State != first.State && a.Outcome != encoder.OutcomeUnknown && first.Outcome != encoder.OutcomeUnknown {
			r.addViolation(&r.ChangedAnswers, "%s: %d (%s), then %d (%s)", j.Key, first.State, first.Reason, a.State, a.Reason)
		}
	}
	for _, a := range j.answers {
		if a.State == encoder.JobComplete && !sameResults(a.Results, j.want) {
			r.addViolation(&r.WrongAnswers, "%s: %d results, want %d of its own", j.Key, len(a.Results), len(j.want))
		}
		if a.State == encoder.JobFailed && a.Outcome == encoder.OutcomeNotRun && starts > 0 {
			r.addViolation(&r.FalseNotRun, "%s: %d starts, answered %q", j.Key, starts, a.Reason)
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

// checkInterrupted counts a request that was open when its entry was asked to stop and that failed before the entry's
// drain timeout. An entry may refuse connections after it was asked to stop, so refused ones are not counted.
func (u *run) checkInterrupted(j *job, err error, entry int, previousStop int64) {
	stoppedAt := u.stopTimes[entry]
	if stoppedAt == 0 || stoppedAt == previousStop || strings.Contains(err.Error(), "refused") {
		return
	}
	if time.Now().UnixMilli()-stoppedAt < drainTimeout && u.plan.onlyPlannedStops() {
		u.report.addViolation(&u.report.InterruptedRequests, "%s: request at entry %d interrupted by a planned stop: %v",
			j.Key, entry, err)
	}
}

// onlyPlannedStops reports whether planned stops are the only faults that can interrupt a request. If the faults
// include kills, an interrupted request cannot be attributed to a planned stop.
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

func (u *run) recordStop(entry int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopTimes[entry] = time.Now().UnixMilli()
}

func (u *run) lastStop(entry int) int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stopTimes[entry]
}

func (u *run) addDetail(format string, args ...any) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.addDetailLocked(format, args...)
}

// addDetailLocked adds a line to the report. The caller holds the lock.
func (u *run) addDetailLocked(format string, args ...any) {
	if len(u.report.Details) < maxDetails {
		u.report.Details = append(u.report.Details, fmt.Sprintf(format, args...))
	}
}
