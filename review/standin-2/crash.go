//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	crashDown  = 3 * time.Second
	maxCrashes = 3
)

func init() { cases["crash"] = playCrash }

// playCrash crashes the backend server on which the only task of a job runs, one at a time, up to three times.
func playCrash(f *fleet, trouble bool) (violations []string, err error) {
	j := jobSpec{id: newID(), steps: []step{{count: 1}}, taskMs: 8000}
	if a, ok := f.acceptOne(&j); !ok {
		return nil, fmt.Errorf("no job was accepted: status %d", a.status)
	}
	state := ""
	crashes := 0
	for started := time.Now(); time.Since(started) < 60*time.Second && state != "succeeded" && state != "failed" && state != "cancelled"; time.Sleep(250 * time.Millisecond) {
		if a := f.get(crashes%entryCount, j.id); a.status == http.StatusOK {
			state = a.state
		}
		if !trouble || crashes >= maxCrashes {
			continue
		}
		for _, b := range f.backends {
			if !b.runs(j.id) {
				continue
			}
			time.Sleep(time.Second)
			crashes++
			if err := b.crash(crashDown); err != nil {
				return nil, err
			}
		}
	}
	failedEnds := 0
	for _, r := range f.rec.runsOf(j.id) {
		if r.event == "failed" {
			failedEnds++
		}
	}
	f.rec.add("job %s is shown as %q after %d crashes of its executors; %d runs ended as failed", j.id, state, crashes, failedEnds)
	if state != "succeeded" {
		violations = append(violations, fmt.Sprintf("LOST: job %s is shown as %q, though nobody cancelled it and %d of its runs ended as failed", j.id, state, failedEnds))
	}
	return violations, nil
}
