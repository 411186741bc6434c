package injector

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/server"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	callTimeout = 6 * time.Second
	jobWaitTime = 4 * timer.Second
	// defaultResubmitTimeout is the time for which a caller resubmits a job before giving up.
	defaultResubmitTimeout = 40 * timer.Second
)

// job is a submitted job and the responses that its callers got.
type job struct {
	encoder.Job
	want        []string
	answers     []encoder.Answer // final answers
	calls       int
	lastAttempt string // result of the last call; reported for jobs without a final answer
}

func newJob(n int, seed uint64, r *rand.Rand) *job {
	j := &job{Job: encoder.Job{Key: fmt.Sprintf("job-%d-%d", seed, n), Team: fmt.Sprintf("team-%d", n%5), Once: n%10 == 0}}
	for i := range 1 + r.IntN(8) {
		echo := fmt.Sprintf("%s/%d/%x", j.Key, i, r.Uint64())
		run := 10 + r.IntN(190)
		j.want = append(j.want, echo)
		j.Tasks = append(j.Tasks, encoder.JobTask{
			Kind: "quote", Payload: fmt.Appendf(nil, `{"runMs":%d,"echo":%q}`, run, echo), RunTime: timer.Millis(run),
		})
	}
	return j
}

// submit submits the job from one or two concurrent callers, with equal probability. Each calls entries until it gets a
// final answer or its resubmit timeout passes.
func (u *run) submit(ctx context.Context, j *job, r *rand.Rand) {
	callers := 1 + r.IntN(2)
	seeds := []uint64{r.Uint64(), r.Uint64()}
	done := make(chan struct{})
	for c := range callers {
		go func() {
			u.call(ctx, j, rand.New(rand.NewPCG(seeds[c], 1)))
			done <- struct{}{}
		}()
	}
	for range callers {
		<-done
	}
}

func (u *run) call(ctx context.Context, j *job, r *rand.Rand) {
	body, err := server.EncodeJob(j.Job, jobWaitTime)
	if err != nil {
		panic(err) // a generated job can always be encoded
	}
	for end := time.Now().Add(u.plan.ResubmitTimeout.Duration()); time.Now().Before(end) && ctx.Err() == nil; {
		entry := r.IntN(u.fleet.Entries)
		client := server.Client{URL: u.fleet.EntryURL(entry), HTTP: u.http}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		previousStop := u.lastStop(entry)
		got, err := client.Submit(callCtx, j.Key, body)
		cancel()
		if u.recordResponse(j, got, err, entry, previousStop) {
			return
		}
		time.Sleep(time.Duration(50+r.IntN(300)) * time.Millisecond)
	}
}

// recordResponse records the response to one call and reports whether it is final.
func (u *run) recordResponse(j *job, got server.Response, err error, entry int, previousStop int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.report.Requests++
	j.calls++
	j.lastAttempt = fmt.Sprintf("entry %d: status %d, %.200s %v", entry, got.Status, got.Body, err)
	if err != nil {
		u.checkInterrupted(j, err, entry, previousStop)
		return false
	}
	if got.Status == http.StatusServiceUnavailable || got.Status == http.StatusTooManyRequests || got.Status == http.StatusAccepted {
		return false
	}
	a, err := server.DecodeAnswer(got.Body)
	if err != nil {
		u.report.addViolation(&u.report.WrongAnswers, "%s: status %d, %v", j.Key, got.Status, err)
		return false
	}
	if a.State == encoder.JobRunning {
		return false
	}
	j.answers = append(j.answers, a)
	return true
}
