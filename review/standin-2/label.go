//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	relayPort     = 8171
	labelRounds   = 3
	labelPause    = 8 * time.Second
	storeDownTime = 950 * time.Millisecond
	submitDelay   = 50 * time.Millisecond  // from the loss of the store until the jobs are sent
	crashDelay    = 150 * time.Millisecond // from there until executors crash
	crashTime     = 250 * time.Millisecond
	labelledJobs  = 28
	crashesAtOnce = 2
	calmTime      = 2 * time.Second
	kindA         = "a"
	kindB         = "b"
)

func init() { cases["label"] = playLabel }

// labelRelay passes the heartbeats of a backend server on, with the label of its present kind.
type labelRelay struct {
	target string
	mu     sync.Mutex
	label  string
}

func (r *labelRelay) set(label string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.label = label
}

func (r *labelRelay) get() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.label
}

func (r *labelRelay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	var m map[string]any
	if err != nil || json.Unmarshal(body, &m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m["Labels"] = []string{r.get()}
	body, _ = json.Marshal(m) // decoded from JSON
	resp, err := http.Post("http://"+r.target+req.URL.Path, "application/json", bytes.NewReader(body))
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	_ = resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
}

// playLabel sends jobs that require executors of kind a while the store is down for a moment. Meanwhile executors crash and start again
// as another kind.
func playLabel(f *fleet, trouble bool) (violations []string, err error) {
	first := jobSpec{id: newID(), steps: []step{{count: 1}}, taskMs: 50}
	if a, ok := f.acceptOne(&first); !ok {
		return nil, fmt.Errorf("no job was accepted: status %d", a.status)
	}
	time.Sleep(firstJobDelay)
	var mu sync.Mutex
	var accepted []string
	kinds := map[string][]string{} // kinds of the lives of an executor, by identifier
	since := map[string][]time.Time{}
	note := func(b *backend, label string) {
		b.relay.set(label)
		kinds[b.fake.ID], since[b.fake.ID] = append(kinds[b.fake.ID], label), append(since[b.fake.ID], time.Now())
		f.rec.add("executor %s is of kind %s", b.fake.ID, label)
	}
	for _, b := range f.backends {
		note(b, b.relay.get())
	}
	for range labelRounds {
		usual, err := f.busiest(kindA) // calm traffic shows which executors the jobs usually go to
		if err != nil {
			return nil, err
		}
		var clients sync.WaitGroup
		if trouble {
			f.rec.add("the store answers all calls with 503")
			f.storeServer.setDown(true)
		}
		time.Sleep(submitDelay)
		for n := range labelledJobs {
			clients.Go(func() {
				j := jobSpec{id: newID(), steps: []step{{count: 1, label: kindA}}, taskMs: 100}
				if a := f.submit(n%entryCount, j); a.status == http.StatusOK {
					mu.Lock()
					accepted = append(accepted, j.id)
					mu.Unlock()
				}
			})
		}
		if trouble {
			time.Sleep(crashDelay)
			var crashes sync.WaitGroup
			for _, b := range usual[:crashesAtOnce] { // one of seven is left in the end
				note(b, kindB)
				crashes.Go(func() {
					if err := b.crash(crashTime); err != nil {
						f.rec.add("executor %s did not start again: %v", b.fake.ID, err)
					}
				})
			}
			time.Sleep(storeDownTime - submitDelay - crashDelay)
			f.storeServer.setDown(false)
			f.rec.add("the store answers again")
			crashes.Wait()
		}
		clients.Wait()
		time.Sleep(labelPause)
	}
	if len(accepted) < labelRounds {
		return nil, fmt.Errorf("only %d jobs were accepted", len(accepted))
	}
	for _, id := range accepted {
		for _, r := range f.rec.runsOf(id) {
			i, _ := slices.BinarySearchFunc(since[r.backend], r.at, time.Time.Compare)
			if kind := kinds[r.backend][i-1]; kind != kindA {
				violations = append(violations, fmt.Sprintf("ROUTE: task %s requires label %s and starts on %s, an executor of kind %s", r.task, kindA, r.backend, kind))
			}
		}
	}
	fmt.Printf("%d jobs accepted\n", len(accepted))
	return violations, nil
}

// busiest sends jobs that require a label, and returns the executors of that kind, those with the most starts first.
func (f *fleet) busiest(label string) (found []*backend, err error) {
	var clients sync.WaitGroup
	ids := make([]string, labelledJobs)
	for n := range ids {
		ids[n] = newID()
		clients.Go(func() {
			f.submit(n%entryCount, jobSpec{id: ids[n], steps: []step{{count: 1, label: label}}, taskMs: 100})
		})
	}
	clients.Wait()
	time.Sleep(calmTime)
	starts := map[string]int{}
	for _, id := range ids {
		for _, r := range f.rec.runsOf(id) {
			starts[r.backend]++
		}
	}
	for _, b := range f.backends {
		if b.relay.get() == label {
			found = append(found, b)
		}
	}
	if len(found) <= crashesAtOnce {
		return nil, fmt.Errorf("too few executors of kind %s", label)
	}
	slices.SortStableFunc(found, func(a, b *backend) int { return starts[b.fake.ID] - starts[a.fake.ID] })
	return found, nil
}
