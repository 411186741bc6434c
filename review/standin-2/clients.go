//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

type (
	jobSpec struct {
		id         string
		steps      []step
		taskMs     int
		bestEffort bool
		deadlineMs int    // 0 for clientTimeout
		prefix     string // of the route; prefix if empty
	}

	step struct {
		count     int
		after     []int
		perServer int    // MaxPerServer
		label     string // RequiredLabel
	}

	// answer is the response to a request. The status is 0 if there was none.
	answer struct {
		status int
		state  string
		at     time.Time
	}

	// recorder writes what was sent, answered and run.
	recorder struct {
		mu      sync.Mutex
		file    *os.File
		started time.Time
		starts  map[string][]run // by job
	}

	// run is a run of a task as its backend server saw it.
	run struct {
		backend, task, event string
		number               uint64
		at, ended            time.Time
	}
)

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, started: time.Now(), starts: map[string][]run{}}, nil
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *recorder) addLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) onRun(backend, task string, number uint64, event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	if event == "" {
		r.starts[job] = append(r.starts[job], run{backend: backend, task: task, number: number, at: time.Now()})
		r.addLocked("run    %s %s run %d starts", backend, task, number)
		return
	}
	for i := range r.starts[job] {
		if s := &r.starts[job][i]; s.backend == backend && s.task == task && s.number == number && s.ended.IsZero() {
			s.ended, s.event = time.Now(), event
		}
	}
	r.addLocked("run    %s %s run %d ends: %s", backend, task, number, event)
}

// runsOf returns the runs of a job.
func (r *recorder) runsOf(job string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run{}, r.starts[job]...)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (j jobSpec) body() string {
	var steps []string
	for _, s := range j.steps {
		text := fmt.Sprintf(`{"Count":%d,"Cpu":1000,"MemMb":64,"EstimateMs":%d`, s.count, j.taskMs)
		if len(s.after) > 0 {
			after, _ := json.Marshal(s.after)
			text += `,"After":` + string(after)
		}
		if s.perServer > 0 {
			text += fmt.Sprintf(`,"MaxPerServer":%d`, s.perServer)
		}
		if s.label != "" {
			text += fmt.Sprintf(`,"RequiredLabel":%q`, s.label)
		}
		steps = append(steps, text+"}")
	}
	best := ""
	if j.bestEffort {
		best = `,"BestEffort":true`
	}
	return fmt.Sprintf(`{"Spec":"%d","Steps":[%s]%s}`, j.taskMs, strings.Join(steps, ","), best)
}

func (f *fleet) post(entry int, j jobSpec) answer {
	path := prefix + j.id
	if j.prefix != "" {
		path = j.prefix + j.id
	}
	return f.request(context.Background(), entry, http.MethodPost, path, j.body(), j.deadlineMs)
}

// submit sends a durable job again, as clients do, until it is accepted or rejected.
func (f *fleet) submit(entry int, j jobSpec) answer {
	for {
		a := f.post(entry, j)
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return a
		}
		time.Sleep(1300 * time.Millisecond)
		entry = (entry + 1) % entryCount
	}
}

func (f *fleet) get(entry int, id string) answer {
	return f.request(context.Background(), entry, http.MethodGet, prefix+id, "", 0)
}

func (f *fleet) delete(entry int, id string) answer {
	return f.request(context.Background(), entry, http.MethodDelete, prefix+id, "", 0)
}

func (f *fleet) request(ctx context.Context, entry int, method, path, body string, deadlineMs int) (a answer) {
	if deadlineMs == 0 {
		deadlineMs = clientTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(deadlineMs)*time.Millisecond)
	defer cancel()
	f.rec.add("client %s %s at entry %d %s", method, path, entry+1, body)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.addr(1+entry, frontPort)+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "jobs.example"
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadlineMs))
	defer func() {
		a.at = time.Now()
		f.rec.add("answer %s %s at entry %d: %d %s", method, path, entry+1, a.status, a.state)
	}()
	resp, err := f.client.Do(r)
	if err != nil {
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return a
	}
	var m struct{ State string }
	_ = json.Unmarshal(content, &m)
	a.status, a.state = resp.StatusCode, m.State
	return a
}

// acceptOne hands in a job until one is accepted, each time as another job. The first durable job of an installation is
// rejected.
func (f *fleet) acceptOne(j *jobSpec) (a answer, ok bool) {
	for i := range 40 {
		if a = f.submit(i%entryCount, *j); a.status == http.StatusOK {
			return a, true
		}
		time.Sleep(200 * time.Millisecond)
		j.id = newID()
	}
	return a, false
}
