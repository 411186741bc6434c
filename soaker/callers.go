package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/crocuslb/crocuslb/platform/standin"
)

const (
	// resendPause is how long a caller waits before it sends a job again after it got no answer.
	resendPause = 1300 * time.Millisecond
	maxSends    = 4
	callerWait  = 2 * time.Second
	leaveShare  = 0.05 // of the callers leave early
	estimate    = 400  // ms that callers expect of a task
)

// sendJobs sends jobs until disturbed ends, each from a goroutine of callers.
func (s *soak) sendJobs(disturbed, ctx context.Context, callers *sync.WaitGroup) { //nolint:revive // the two contexts are equals
	r := rand.New(rand.NewPCG(s.plan.Seed, 5))
	gap := time.Second / time.Duration(s.plan.JobsPerSecond)
	for n := 0; disturbed.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", uint64(n)+1<<20)
		tasks, spec, entry := 1+r.IntN(5), fmt.Sprint(10+r.IntN(200)), r.IntN(s.plan.Entries)
		leaves := r.Float64() < leaveShare
		callers.Go(func() { s.sendJob(ctx, id, tasks, spec, entry, leaves) })
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

// post sends a job once. The status is 0 when there was no answer.
func (s *soak) post(ctx context.Context, entry int, id string, tasks int, spec string, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r, err := standin.Submission(s.address(1+entry, callersPort), prefix, id, tasks, spec, estimate, int(callerWait.Milliseconds()))
	if err != nil {
		return 0, err.Error()
	}
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
