//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["silent"] = playSilent }

// playSilent makes the open connections to the store silent, and asks all entries for a job that is accepted after that.
func playSilent(f *fleet, trouble bool) (violations []string, err error) {
	if trouble {
		for i, p := range f.entries {
			f.rec.add("the open connections of entry %d to the store go silent: %d", i+1, p.store.silence())
		}
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	j := jobSpec{id: newID(), steps: []step{{count: 2}}, taskMs: 12_000}
	var accepted answer
	for range 40 { // a client that is rejected hands in its job anew, as another job
		if accepted = f.submit(0, j); accepted.status == http.StatusOK {
			break
		}
		time.Sleep(200 * time.Millisecond)
		j.id = newID()
	}
	if accepted.status != http.StatusOK {
		return nil, fmt.Errorf("no job was accepted: status %d", accepted.status)
	}
	time.Sleep(time.Until(accepted.at.Add(visibleTime + 200*time.Millisecond)))
	for range 10 {
		for i := range f.entries {
			if a := f.get(i, j.id); a.status == http.StatusGone {
				violations = append(violations, fmt.Sprintf("LOST: job %s, accepted by entry 1, is answered 410 by entry %d, %.1f s after its acknowledgement and %.1f s after the connections went silent",
					j.id, i+1, a.at.Sub(accepted.at).Seconds(), a.at.Sub(accepted.at).Seconds()+contactTime.Seconds()))
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return violations, nil
}
