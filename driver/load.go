package driver

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/server"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// waitForAnswer also bounds how long a run goes on after its last arrival.
	waitForAnswer = 10 * timer.Second
	// maxBacklog bounds the arrivals that wait for a free connection.
	maxBacklog = 10_000
	// payloadFrame is the size of a payload beside its filling.
	payloadFrame = 24
)

type (
	// Load submits equal jobs to one or more entries. Set the fields before Run.
	Load struct {
		Seed        uint64
		Prefix      string // of the submission keys
		Length      timer.Millis
		Jobs        int     // bound on the number of jobs
		Rate        float64 // arrivals a second, at random times; 0 lets each connection submit when it is answered
		Connections int
		Tasks       int          // of each job
		RunTime     timer.Millis // of each task
		Payload     int          // bytes of each task, about
		URLs        []string     // of the entries, used in turn
	}

	// Samples is what the callers saw.
	Samples struct {
		Responses []time.Duration // of complete jobs, from the arrival
		Failed    int
		Dropped   int           // arrivals beyond the backlog
		Took      time.Duration // from the first arrival to the last answer
		Reason    string        // of one failure
	}

	arrival struct {
		number int
		due    time.Time // zero when the job is due as soon as a connection is free
	}
)

// Run submits jobs until the time or the number of jobs is reached, and waits for the answers.
func (l Load) Run(ctx context.Context) (Samples, error) {
	payload := fmt.Appendf(nil, `{"runMs":%d,"echo":"%s"}`, l.RunTime, bytes.Repeat([]byte("x"), max(1, l.Payload-payloadFrame)))
	j := encoder.Job{Team: "load", Tasks: make([]encoder.JobTask, l.Tasks)}
	for i := range j.Tasks {
		j.Tasks[i] = encoder.JobTask{Kind: "quote", Payload: payload, RunTime: l.RunTime}
	}
	body, err := server.EncodeJob(j, waitForAnswer)
	if err != nil {
		return Samples{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: l.Connections, MaxConnsPerHost: l.Connections}
	defer transport.CloseIdleConnections()
	caller := &http.Client{Transport: transport}
	backlog := maxBacklog
	if l.Rate == 0 {
		backlog = 0
	}
	arrivals := make(chan arrival, backlog)
	samples := make([]Samples, l.Connections)
	begun := time.Now()
	var callers sync.WaitGroup
	for i := range samples {
		callers.Go(func() {
			for a := range arrivals {
				l.submit(ctx, caller, a, body, &samples[i])
			}
		})
	}
	var total Samples
	total.Dropped = l.arrive(ctx, begun, arrivals)
	close(arrivals)
	callers.Wait()
	total.Took = time.Since(begun)
	for _, s := range samples {
		total.Responses = append(total.Responses, s.Responses...)
		total.Failed += s.Failed
		if s.Reason != "" {
			total.Reason = s.Reason
		}
	}
	return total, nil
}

// arrive produces the arrivals and returns how many found the backlog full.
func (l Load) arrive(ctx context.Context, begun time.Time, arrivals chan<- arrival) (dropped int) {
	r := rand.New(rand.NewPCG(l.Seed, 0))
	end := begun.Add(l.Length.Duration())
	due := begun
	for n := 0; n < l.Jobs && ctx.Err() == nil; n++ {
		if l.Rate == 0 {
			if !time.Now().Before(end) {
				return dropped
			}
			arrivals <- arrival{number: n}
			continue
		}
		due = due.Add(time.Duration(r.ExpFloat64() / l.Rate * float64(time.Second)))
		if !due.Before(end) {
			return dropped
		}
		time.Sleep(time.Until(due))
		select {
		case arrivals <- arrival{number: n, due: due}:
		default:
			dropped++
		}
	}
	return dropped
}

func (l Load) submit(ctx context.Context, caller *http.Client, a arrival, body []byte, s *Samples) {
	if a.due.IsZero() {
		a.due = time.Now()
	}
	c := server.Client{URL: l.URLs[a.number%len(l.URLs)], HTTP: caller}
	got, err := c.Submit(ctx, fmt.Sprintf("%s-%d-%d", l.Prefix, l.Seed, a.number), body)
	took := time.Since(a.due)
	if err == nil && got.Status == http.StatusOK && bytes.Count(got.Body, []byte(`{"body":`)) == l.Tasks {
		s.Responses = append(s.Responses, took)
		return
	}
	s.Failed++
	s.Reason = fmt.Sprintf("status %d, %.200s %v", got.Status, got.Body, err)
}
