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
	callTimeout   = 6 * time.Second
	waitForAnswer = 4 * timer.Second
	// defaultPatience is how long a caller resubmits a job before it gives up.
	defaultPatience = 40 * timer.Second
)

// job is one submission and what its callers saw.
type job struct {
	encoder.Job
	want    []string
	answers []encoder.Answer // final answers
	calls   int
	last    string // what the last call without a final answer got
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

// submit calls entries until one gives a final answer or the caller's patience ends. Half of the jobs are submitted by a
// second caller at the same time.
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
	body, err := server.EncodeJob(j.Job, waitForAnswer)
	if err != nil {
		panic(err) // a job made here is always encodable
	}
	for end := time.Now().Add(u.plan.Patience.Duration()); time.Now().Before(end) && ctx.Err() == nil; {
		entry := r.IntN(u.fleet.Entries)
		client := server.Client{URL: u.fleet.EntryURL(entry), HTTP: u.http}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		stopped := u.stopped(entry)
		got, err := client.Submit(callCtx, j.Key, body)
		cancel()
		if u.final(j, got, err, entry, stopped) {
			return
		}
		time.Sleep(time.Duration(50+r.IntN(300)) * time.Millisecond)
	}
}

// final notes the answer to one call and reports whether the caller is done.
func (u *run) final(j *job, got server.Response, err error, entry int, stopped int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.report.Requests++
	j.calls++
	j.last = fmt.Sprintf("entry %d: status %d, %.200s %v", entry, got.Status, got.Body, err)
	if err != nil {
		u.checkCutOff(j, err, entry, stopped)
		return false
	}
	if got.Status == http.StatusServiceUnavailable || got.Status == http.StatusTooManyRequests || got.Status == http.StatusAccepted {
		return false
	}
	a, err := server.DecodeAnswer(got.Body)
	if err != nil {
		u.report.violation(&u.report.WrongAnswers, "%s: status %d, %v", j.Key, got.Status, err)
		return false
	}
	if a.State == encoder.JobRunning {
		return false
	}
	j.answers = append(j.answers, a)
	return true
}
