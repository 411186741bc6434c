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
	// responseTimeout also limits how long a run continues after the last arrival.
	responseTimeout = 10 * timer.Second
	// maxBacklog limits the number of arrivals that wait for a free connection.
	maxBacklog = 10_000
	// payloadOverhead is the size of a payload without its padding.
	payloadOverhead = 24
)

type (
	// Load submits identical jobs to one or more entries. Set the fields before Run.
	Load struct {
		Seed         uint64
		Prefix       string // prefix of the submission keys
		TestDuration timer.Millis
		Jobs         int     // maximum number of jobs
		Rate         float64 // mean arrivals per second, exponentially spaced; 0 runs a closed loop on each connection
		Connections  int
		TasksPerJob  int          // tasks per job
		RunTime      timer.Millis // run time of each task
		PayloadBytes int          // approximate payload size of each task in bytes
		URLs         []string     // entry URLs, used round-robin
	}

	// LoadResult holds the measurements of the HTTP client.
	LoadResult struct {
		Latencies     []time.Duration // from the arrival to the response, complete jobs only
		Failed        int
		Dropped       int           // arrivals that found the backlog full
		Elapsed       time.Duration // from the start of the run to the last response
		FailureReason string        // reason of an arbitrary failure
	}

	arrival struct {
		index int
		due   time.Time // zero if the job is due as soon as a connection is free
	}
)

// Run submits jobs until TestDuration has passed or Jobs is reached, and waits for the responses.
func (l Load) Run(ctx context.Context) (LoadResult, error) {
	payload := fmt.Appendf(nil, `{"runMs":%d,"echo":"%s"}`, l.RunTime, bytes.Repeat([]byte("x"), max(1, l.PayloadBytes-payloadOverhead)))
	j := encoder.Job{Team: "load", Tasks: make([]encoder.JobTask, l.TasksPerJob)}
	for i := range j.Tasks {
		j.Tasks[i] = encoder.JobTask{Kind: "quote", Payload: payload, RunTime: l.RunTime}
	}
	body, err := server.EncodeJob(j, responseTimeout)
	if err != nil {
		return LoadResult{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: l.Connections, MaxConnsPerHost: l.Connections}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	backlog := maxBacklog
	if l.Rate == 0 {
		backlog = 0
	}
	arrivals := make(chan arrival, backlog)
	results := make([]LoadResult, l.Connections)
	start := time.Now()
	var workers sync.WaitGroup
	for i := range results {
		workers.Go(func() {
			for a := range arrivals {
				l.submit(ctx, client, a, body, &results[i])
			}
		})
	}
	var total LoadResult
	total.Dropped = l.generateArrivals(ctx, start, arrivals)
	close(arrivals)
	workers.Wait()
	total.Elapsed = time.Since(start)
	for _, s := range results {
		total.Latencies = append(total.Latencies, s.Latencies...)
		total.Failed += s.Failed
		if s.FailureReason != "" {
			total.FailureReason = s.FailureReason
		}
	}
	return total, nil
}

// generateArrivals sends the arrivals to the channel and returns the number dropped because the backlog was full.
func (l Load) generateArrivals(ctx context.Context, start time.Time, arrivals chan<- arrival) (dropped int) {
	r := rand.New(rand.NewPCG(l.Seed, 0))
	end := start.Add(l.TestDuration.Duration())
	due := start
	for n := 0; n < l.Jobs && ctx.Err() == nil; n++ {
		if l.Rate == 0 {
			if !time.Now().Before(end) {
				return dropped
			}
			arrivals <- arrival{index: n}
			continue
		}
		due = due.Add(time.Duration(r.ExpFloat64() / l.Rate * float64(time.Second)))
		if !due.Before(end) {
			return dropped
		}
		time.Sleep(time.Until(due))
		select {
		case arrivals <- arrival{index: n, due: due}:
		default:
			dropped++
		}
	}
	return dropped
}

func (l Load) submit(ctx context.Context, httpClient *http.Client, a arrival, body []byte, result *LoadResult) {
	if a.due.IsZero() {
		a.due = time.Now()
	}
	c := server.Client{URL: l.URLs[a.index%len(l.URLs)], HTTP: httpClient}
	got, err := c.Submit(ctx, fmt.Sprintf("%s-%d-%d", l.Prefix, l.Seed, a.index), body)
	latency := time.Since(a.due)
	if err == nil && got.Status == http.StatusOK && bytes.Count(got.Body, []byte(`{"body":`)) == l.TasksPerJob {
		result.Latencies = append(result.Latencies, latency)
		return
	}
	result.Failed++
	result.FailureReason = fmt.Sprintf("status %d, %.200s %v", got.Status, got.Body, err)
}
