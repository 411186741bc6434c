//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

type (
	job struct {
		id         string
		bestEffort bool
		steps      []step
		spec       spec
	}

	step struct {
		Count        int
		CPU          int64 `json:"Cpu"`
		MemMb        int
		EstimateMs   int
		After        []int `json:",omitempty"`
		MaxPerServer int   `json:",omitempty"`
	}
)

const (
	clientDeadlineMs = "1500"
	resendDelay      = 1300 * time.Millisecond
	noAnswer         = 0
)

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes a call of a client at an entry. The status is noAnswer if none came in time.
func (c *cluster) call(ctx context.Context, entry int, method, id string, body []byte, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.entries[entry].fields["ListenAddrs.Front"]+prefix+id, bytes.NewReader(body))
	if err != nil {
		return noAnswer, err.Error()
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", clientDeadlineMs)
	response, err := client.Do(r)
	if err != nil {
		return noAnswer, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return noAnswer, err.Error()
	}
	return response.StatusCode, string(text)
}

// submit hands a job in once.
func (c *cluster) submit(ctx context.Context, entry int, j job, wait time.Duration) (int, string) {
	body, _ := json.Marshal(map[string]any{"Spec": j.spec.String(), "Steps": j.steps, "BestEffort": j.bestEffort})
	status, text := c.call(ctx, entry, http.MethodPost, j.id, body, wait)
	c.rec.add("POST %s at entry %d: %d %s", j.id, entry+1, status, text)
	return status, text
}

// accept hands a kept job in, again where it got no answer, and reports whether it was accepted.
func (c *cluster) accept(ctx context.Context, entry int, j job) bool {
	for range 3 {
		status, _ := c.submit(ctx, entry, j, 1500*time.Millisecond)
		switch status {
		case http.StatusOK:
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
			return false
		}
		time.Sleep(resendDelay)
		entry = (entry + 1) % len(c.entries)
	}
	return false
}

// state asks an entry for the state of a job. It returns the status instead where that isn't 200.
func (c *cluster) state(ctx context.Context, entry int, id string) string {
	status, text := c.call(ctx, entry, http.MethodGet, id, nil, 4*time.Second)
	var answer struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil {
		answer.State = fmt.Sprint(status)
	}
	c.rec.add("GET %s at entry %d: %s", id, entry+1, answer.State)
	return answer.State
}

// cancel cancels a job at an entry and returns the status of the answer.
func (c *cluster) cancel(ctx context.Context, entry int, id string) int {
	status, text := c.call(ctx, entry, http.MethodDelete, id, nil, 4*time.Second)
	c.rec.add("DELETE %s at entry %d: %d %s", id, entry+1, status, text)
	return status
}
