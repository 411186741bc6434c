package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/crocuslb/crocuslb/platform/platformtest"
)

const (
	// resendPause is how long a caller waits before it sends a job again after it got no answer.
	resendPause = 1300 * time.Millisecond
	maxSends    = 4
	callerWait  = 2 * time.Second
	leaveShare  = 0.05 // of the callers leave early
	estimate    = 400  // ms that callers expect of a task
	keptEvery   = 3    // each third job is a kept one
	// keptTime is the time after the last fault in which all accepted kept jobs end.
	keptTime = 10 * time.Second
)

// sendJobs sends jobs until disturbed ends, each from a goroutine of callers.
func (s *soak) sendJobs(disturbed, ctx context.Context, callers *sync.WaitGroup) { //nolint:revive // the two contexts are equals
	r := rand.New(rand.NewPCG(s.plan.Seed, 5))
	gap := time.Second / time.Duration(s.plan.JobsPerSecond)
	for n := 0; disturbed.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", uint64(n)+1<<20)
		tasks, spec, entry := 1+r.IntN(5), fmt.Sprint(10+r.IntN(200)), r.IntN(s.plan.Entries)
		leaves := r.Float64() < leaveShare
		if n%keptEvery == 0 {
			callers.Go(func() { s.sendKept(ctx, id, tasks, spec, entry) })
		} else {
			callers.Go(func() { s.sendJob(ctx, id, tasks, spec, entry, leaves) })
		}
		time.Sleep(time.Duration(float64(gap) * 2 * r.Float64()))
	}
}

// sendJob sends a job until it is answered, at another entry each time.
func (s *soak) sendJob(ctx context.Context, id string, tasks int, spec string, entry int, leaves bool) {
	var attempts []attempt
	for range maxSends {
		wait := callerWait
		if leaves {
			wait = 50 * time.Millisecond
		}
		status, body := s.post(ctx, entry, id, tasks, spec, wait)
		attempts = append(attempts, attempt{status, body})
		if status != 0 && status != http.StatusGatewayTimeout && status != http.StatusBadGateway || leaves || ctx.Err() != nil {
			break
		}
		time.Sleep(resendPause)
		entry = (entry + 1) % s.plan.Entries
	}
	if ctx.Err() == nil {
		s.checks.onAnswered(id, tasks, attempts)
	}
}

// sendKept hands a kept job in until it is accepted or refused.
func (s *soak) sendKept(ctx context.Context, id string, tasks int, spec string, entry int) {
	unknown := false
	for range maxSends {
		r, err := platformtest.NewDurableJobRequest(s.address(1+entry, callersPort), prefix, id, tasks, spec, estimate, int(callerWait.Milliseconds()))
		if err != nil {
			s.checks.violate("job %s: %v", id, err)
			return
		}
		status, body := s.do(ctx, r, callerWait)
		switch {
		case status == http.StatusOK:
			s.checks.onAccepted(id, tasks)
			return
		case status == http.StatusServiceUnavailable && !unknown:
			s.checks.onAnswered(id, tasks, []attempt{{status, body}})
			return
		}
		unknown = true
		time.Sleep(resendPause)
		entry = (entry + 1) % s.plan.Entries
	}
}

// awaitKept returns what went wrong with the accepted kept jobs: each has an end that every entry knows.
func (s *soak) awaitKept(ctx context.Context) (missed []string) {
	limit := time.Now().Add(keptTime)
	for _, id := range s.checks.acceptedJobs() {
		for i := range s.plan.Entries {
			state := ""
			for state != "succeeded" && state != "failed" && time.Now().Before(limit) && ctx.Err() == nil {
				state = s.state(ctx, i, id)
			}
			if text := s.checks.onState(id, state); text != "" {
				missed = append(missed, fmt.Sprintf("%s (entry %d)", text, i))
			}
		}
	}
	return missed
}

// state returns the state of a kept job, or the whole answer when it has none.
func (s *soak) state(ctx context.Context, entry int, id string) string {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address(1+entry, callersPort)+prefix+id, http.NoBody)
	if err != nil {
		return err.Error()
	}
	r.Host = platformtest.Host
	status, body := s.do(ctx, r, callerWait)
	var m struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &m) != nil {
		return fmt.Sprint(status, " ", body)
	}
	return m.State
}

// post sends a job once. The status is 0 when there was no answer.
func (s *soak) post(ctx context.Context, entry int, id string, tasks int, spec string, wait time.Duration) (int, string) {
	r, err := platformtest.NewJobRequest(s.address(1+entry, callersPort), prefix, id, tasks, spec, estimate, int(callerWait.Milliseconds()))
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
	defer func() { _ = response.Body.Close() }() // the answer is read or lost
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "no answer"
	}
	return response.StatusCode, string(body)
}
