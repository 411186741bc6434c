//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/crocuslb/crocuslb/platform/platformtest"
)

// callTimeout is how long clients wait for a response, if they do not leave before.
const callTimeout = 1500 * time.Millisecond

// call sends a request to an entry and returns the status and the body; the status is 0 if there was no response. The client
// leaves after patience, which is usually the deadline that it states.
func (c *cluster) call(ctx context.Context, entry int, method, path, body string, patience time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.address(firstEntry+entry, callersPort)+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = platformtest.Host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	c.record.add("%s %s at entry %d", method, path, entry)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		c.record.add("%s %s at entry %d: no response: %v", method, path, entry, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.record.add("%s %s at entry %d: response broken off: %v", method, path, entry, err)
		return 0, ""
	}
	c.record.add("%s %s at entry %d: %d %s", method, path, entry, response.StatusCode, data)
	return response.StatusCode, string(data)
}

// submit hands a durable job in and repeats the call as the pages allow. It reports whether the job was accepted.
func (c *cluster) submit(ctx context.Context, entry int, id, steps, spec string) bool {
	body := fmt.Sprintf(`{"Spec":%q,"Steps":[%s]}`, spec, steps)
	for range 10 {
		if status, _ := c.call(ctx, entry, http.MethodPost, prefix+id, body, callTimeout); status == http.StatusOK {
			return true
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return false
}

// state returns the state of a job, or the status if it is not shown.
func (c *cluster) state(ctx context.Context, entry int, id string) string {
	status, body := c.call(ctx, entry, http.MethodGet, prefix+id, "", callTimeout)
	for _, s := range []string{"pending", "running", "succeeded", "failed", "cancelled"} {
		if status == http.StatusOK && strings.Contains(body, `"`+s+`"`) {
			return s
		}
	}
	return fmt.Sprint(status)
}

// awaitRunning returns the server that runs a task of the job, and false if there is none in time.
func (c *cluster) awaitRunning(ctx context.Context, job string, after time.Time, limit time.Duration) (server int, ok bool) {
	for at := time.Now(); time.Since(at) < limit && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		list := c.eventsOf(job)
		if len(list) == 0 {
			continue
		}
		if last := list[len(list)-1]; last.what == startedEvent && last.at.After(after) {
			return last.server, true
		}
	}
	return 0, false
}
