package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/crocuslb/crocuslb/platform/platformtest"
)

const (
	// resendDelay is the delay before a caller resubmits a job that got no response.
	resendDelay     = 1300 * time.Millisecond
	maxAttempts     = 4
	callTimeout     = 2 * time.Second
	abandonFraction = 0.05 // fraction of the callers that abandon the call early
	taskEstimateMs  = 400  // run time of a short task as estimated by callers, in ms
	durableEvery    = 3    // every third job is durable
	// Fractions of the durable jobs: with tasks that take long, with tasks that all fail, with a limit of tasks on one backend
	// server, and cancelled by their callers.
	longDurableFraction = 0.2
	failingFraction     = 0.07
	limitedFraction     = 0.25
	cancelledFraction   = 0.2
	// twoStepFraction is the fraction of the durable jobs with a second step of up to maxNextTasks tasks.
	twoStepFraction = 0.4
	maxNextTasks    = 5
	// A job is cancelled between these times after its acceptance.
	minCancelDelay = 100 * time.Millisecond
	maxCancelDelay = 4 * time.Second
	// visibleTime is the time from the acceptance of a durable job until no entry may deny it.
	visibleTime = 3 * time.Second
	// durableJobTimeout is the time after the last fault within which all accepted durable jobs must end.
	durableJobTimeout = 10 * time.Second
)

// job is a job of a caller. Its tasks have the same run time.
type job struct {
	id               string
	tasks, runTimeMs int
	timeout          time.Duration // how long the caller waits for the response
	durable          durableChoice
}

// durableChoice is what a caller chooses for a durable job.
type durableChoice struct {
	fails           bool          // all runs of its tasks fail
	cancelAfter     time.Duration // time from its acceptance to its cancellation; 0 for none
	serverTaskLimit int
	nextTasks       int // of a second step; 0 for none
}

// chooseDurable draws the properties of a durable job.
func (j job) chooseDurable(r *rand.Rand) job {
	if r.Float64() < longDurableFraction {
		j.runTimeMs = 1000 + r.IntN(1000)
	}
	j.durable.fails = r.Float64() < failingFraction
	if r.Float64() < limitedFraction {
		j.durable.serverTaskLimit = 1 + j.tasks/3
	}
	if r.Float64() < cancelledFraction {
		j.durable.cancelAfter = minCancelDelay + time.Duration(r.Int64N(int64(maxCancelDelay-minCancelDelay)))
	}
	return j
}

// chooseSteps draws the second step of a durable job.
func (j job) chooseSteps(r *rand.Rand) job {
	if r.Float64() < twoStepFraction {
		j.durable.nextTasks = 1 + r.IntN(maxNextTasks)
	}
	return j
}

// sendJobs submits jobs until faultCtx is canceled, each from a goroutine of callers.
func (s *soak) sendJobs(faultCtx, ctx context.Context, callers *sync.WaitGroup) { //nolint:revive // the two contexts are equals
	r := rand.New(rand.NewPCG(s.plan.Seed, 5))
	choices := rand.New(rand.NewPCG(s.plan.Seed, 6)) // of durable jobs
	steps := rand.New(rand.NewPCG(s.plan.Seed, 7))   // of their steps
	gap := time.Second / time.Duration(s.plan.JobsPerSecond)
	for n := 0; faultCtx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", uint64(n)+1<<20)
		j := job{id: id, tasks: 1 + r.IntN(5), runTimeMs: 10 + r.IntN(200), timeout: callTimeout}
		entry, abandons := r.IntN(s.plan.Entries), r.Float64() < abandonFraction
		if s.plan.CPUShortage && r.Float64() < longTaskFraction {
			j.runTimeMs, j.timeout = minLongTaskMs+r.IntN(maxLongTaskMs-minLongTaskMs), longCallTimeout
		}
		if n%durableEvery == 0 {
			j = j.chooseDurable(choices).chooseSteps(steps)
			if s.plan.FirstDurable {
				entry = int(s.plan.Seed) % s.plan.Entries
			}
			callers.Go(func() { s.sendDurableJob(ctx, j, entry) })
		} else {
			callers.Go(func() { s.sendJob(ctx, j, entry, abandons) })
		}
		time.Sleep(time.Duration(float64(gap) * 2 * r.Float64()))
	}
}

// sendJob submits a job until it gets a response, at another entry each time.
func (s *soak) sendJob(ctx context.Context, j job, entry int, abandons bool) {
	var attempts []attempt
	for range maxAttempts {
		wait := j.timeout
		if abandons {
			wait = 50 * time.Millisecond
		}
		s.checker.events.add("caller of job %s sends it to entry-%d", j.id, entry)
		status, body := s.post(ctx, entry, j, wait)
		s.checker.events.add("caller of job %s at entry-%d: %d %s", j.id, entry, status, body)
		if status == 0 {
			s.checker.onDeparted(j.id)
		}
		attempts = append(attempts, attempt{status, body})
		if status != 0 && status != http.StatusGatewayTimeout && status != http.StatusBadGateway || abandons || ctx.Err() != nil {
			break
		}
		time.Sleep(resendDelay)
		entry = (entry + 1) % s.plan.Entries
	}
	if ctx.Err() == nil {
		s.checker.onResponses(j.id, j.tasks, attempts)
	}
}

// sendDurableJob submits a durable job until it is accepted or rejected.
func (s *soak) sendDurableJob(ctx context.Context, j job, entry int) {
	unknown := false
	s.checker.onSubmitted(j.id, durableJob{
		tasks: j.tasks, nextTasks: j.durable.nextTasks, serverTaskLimit: j.durable.serverTaskLimit, fails: j.durable.fails,
	})
	for range maxAttempts {
		r, err := j.durableRequest(s.address(1+entry, callerProxyPort))
		if err != nil {
			s.checker.addViolation("job %s: %v", j.id, err)
			return
		}
		status, body := s.do(ctx, r, j.timeout)
		s.checker.events.add("caller of durable job %s at entry-%d: %d %s", j.id, entry, status, body)
		switch {
		case status == http.StatusOK:
			s.checker.onAccepted(j.id)
			accepted := time.Now()
			s.cancelLater(ctx, j, entry)
			time.Sleep(time.Until(accepted.Add(visibleTime)))
			s.checkVisible(ctx, j.id)
			return
		case status == http.StatusServiceUnavailable && !unknown:
			s.checker.onResponses(j.id, j.tasks, []attempt{{status, body}})
			return
		}
		unknown = true
		time.Sleep(resendDelay)
		entry = (entry + 1) % s.plan.Entries
	}
}

func (j job) durableRequest(address string) (*http.Request, error) {
	spec := fmt.Sprint(j.runTimeMs)
	if j.durable.fails {
		spec = "fail " + spec
	}
	return platformtest.JobRequest{
		Address: address, Prefix: prefix, ID: j.id, Durable: true, Tasks: j.tasks, NextTasks: j.durable.nextTasks, Spec: spec, EstimateMs: j.estimateMs(),
		DeadlineMs: int(j.timeout.Milliseconds()), ServerTaskLimit: j.durable.serverTaskLimit,
	}.HTTP()
}

// cancelLater cancels a durable job if its caller has chosen that.
func (s *soak) cancelLater(ctx context.Context, j job, entry int) {
	if j.durable.cancelAfter == 0 {
		return
	}
	time.Sleep(j.durable.cancelAfter)
	s.checker.onCancelRequested(j.id)
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+s.address(1+entry, callerProxyPort)+prefix+j.id, http.NoBody)
	if err != nil {
		s.checker.addViolation("job %s: %v", j.id, err)
		return
	}
	r.Host = platformtest.Host
	status, body := s.do(ctx, r, callTimeout)
	s.checker.events.add("caller of durable job %s cancels it at entry-%d: %d %s", j.id, entry, status, body)
	if status == http.StatusOK {
		s.checker.onCancelled(j.id)
	}
}

// checkVisible checks that no entry denies an accepted job. An entry that cannot know answers otherwise, or not at all.
func (s *soak) checkVisible(ctx context.Context, id string) {
	for i := range s.plan.Entries {
		if state := s.jobState(ctx, i, id); strings.HasPrefix(state, strconv.Itoa(http.StatusGone)) {
			s.checker.addViolation("durable job %s was accepted over %s ago, but entry-%d answers %s", id, visibleTime, i, state)
		}
	}
}

// estimateMs returns the run time that the caller declares for a task, in ms.
func (j job) estimateMs() int { return max(taskEstimateMs, j.runTimeMs) }

// awaitDurableJobs waits until every entry reports an end of each accepted durable job, and returns the failures.
func (s *soak) awaitDurableJobs(ctx context.Context) (failures []string) {
	deadline := time.Now().Add(durableJobTimeout)
	for _, id := range s.checker.acceptedJobs() {
		for i := range s.plan.Entries {
			state := ""
			for state != "succeeded" && state != "failed" && state != "cancelled" && time.Now().Before(deadline) && ctx.Err() == nil {
				state = s.jobState(ctx, i, id)
			}
			if text := s.checker.checkState(id, state); text != "" {
				failures = append(failures, fmt.Sprintf("%s (entry %d)", text, i))
			}
		}
	}
	return failures
}

// jobState returns the state of a durable job, or the status and body of the response if it has no state.
func (s *soak) jobState(ctx context.Context, entry int, id string) string {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address(1+entry, callerProxyPort)+prefix+id, http.NoBody)
	if err != nil {
		return err.Error()
	}
	r.Host = platformtest.Host
	status, body := s.do(ctx, r, callTimeout)
	var m struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &m) != nil {
		return fmt.Sprint(status, " ", body)
	}
	return m.State
}

// post submits a job once. The status is 0 if there was no response.
func (s *soak) post(ctx context.Context, entry int, j job, wait time.Duration) (int, string) {
	r, err := platformtest.NewJobRequest(s.address(1+entry, callerProxyPort), prefix, j.id, j.tasks, fmt.Sprint(j.runTimeMs), j.estimateMs(), int(j.timeout.Milliseconds()))
	if err != nil {
		return 0, err.Error()
	}
	return s.do(ctx, r, wait)
}

func (s *soak) do(ctx context.Context, r *http.Request, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	response, err := s.client.Do(r.WithContext(ctx))
	if err != nil {
		return 0, "no answer"
	}
	defer func() { _ = response.Body.Close() }() // the body has been read or the read has failed
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "no answer"
	}
	return response.StatusCode, string(body)
}
