package launcher_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/launcher"
	"github.com/crocuslb/crocuslb/server"
)

const jobsPerPhase = 12

// TestPath guards the whole path through entries, sidecars, the log and backend servers as separate processes, one of
// each kind killed while jobs run. Every job must end complete with its own results or failed, and no task may start
// twice.
func TestPath(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	directory := t.TempDir()
	if err := launcher.Build(ctx, directory); err != nil {
		t.Fatal(err)
	}
	f := &launcher.Fleet{ProgramDir: directory, Entries: 3, Backends: 4, Domains: 2, Slots: 4}
	defer f.Close()
	if err := f.Launch(ctx); err != nil {
		t.Fatal(err)
	}
	states := map[encoder.JobState]int{}
	phases := []struct {
		name string
		kill string
	}{
		{"nothing killed", ""},
		{"backend server killed", launcher.BackendName(0)},
		{"sidecar killed", launcher.SidecarName(1)},
		{"entry killed", launcher.EntryName(0)},
		{"log killed", "log"},
	}
	for n, phase := range phases {
		answers := runPhase(ctx, f, n, phase.kill)
		for key, a := range answers {
			if a.State != encoder.JobComplete && a.State != encoder.JobFailed {
				t.Errorf("%s: %s: got state %d, want complete or failed", phase.name, key, a.State)
			}
			states[a.State]++
			if n == 0 && a.State != encoder.JobComplete {
				t.Errorf("%s: %s: got %q, want a complete job", phase.name, key, a.Reason)
			}
		}
	}
	t.Logf("complete %d, failed %d", states[encoder.JobComplete], states[encoder.JobFailed])
	if got := states[encoder.JobComplete]; got < jobsPerPhase {
		t.Errorf("got %d complete jobs, want at least %d", got, jobsPerPhase)
	}
	started := map[string]int{}
	for _, s := range f.Starts() {
		if started[s.Task]++; started[s.Task] == 2 {
			t.Errorf("task %s started twice", s.Task)
		}
	}
}

// runPhase submits jobs to all entries, kills a process while they run, and resubmits until each job has a final
// answer.
func runPhase(ctx context.Context, f *launcher.Fleet, n int, kill string) map[string]encoder.Answer {
	var mu sync.Mutex
	answers := map[string]encoder.Answer{}
	var callers sync.WaitGroup
	for i := range jobsPerPhase {
		key := fmt.Sprintf("path-%d-%d", n, i)
		callers.Add(1)
		go func() {
			defer callers.Done()
			answer := submit(ctx, f, key, i)
			mu.Lock()
			defer mu.Unlock()
			answers[key] = answer
		}()
	}
	if kill != "" {
		f.Process(kill).Kill()
	}
	callers.Wait()
	return answers
}

// submit calls the entries in turn until the job has ended. A wrong result is reported as a running job, which fails
// the test.
func submit(ctx context.Context, f *launcher.Fleet, key string, entry int) encoder.Answer {
	tasks := make([]string, 1+entry%4)
	for i := range tasks {
		tasks[i] = fmt.Sprintf(`{"kind":"quote","payload":"{\"runMs\":%d,\"echo\":\"%s/%d\"}"}`, 20+10*entry, key, i)
	}
	body := []byte(`{"team":"a","waitMs":3000,"tasks":[` + strings.Join(tasks, ",") + `]}`)
	for ctx.Err() == nil {
		c := server.Client{URL: f.EntryURL(entry % f.Entries), HTTP: http.DefaultClient}
		entry++
		callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		got, err := c.Submit(callCtx, key, body)
		cancel()
		if err == nil && got.Status != http.StatusServiceUnavailable {
			a, err := server.DecodeAnswer(got.Body)
			if err == nil && a.State == encoder.JobFailed || err == nil && a.State == encoder.JobComplete && hasOwnResults(a, key, len(tasks)) {
				return a
			}
		}
		time.Sleep(100 * time.Millisecond) // delay between calls; no assertion depends on it
	}
	return encoder.Answer{Key: key, State: encoder.JobRunning}
}

func hasOwnResults(a encoder.Answer, key string, tasks int) bool {
	for i, r := range a.Results {
		if string(r.Body) != fmt.Sprintf("%s/%d", key, i) {
			return false
		}
	}
	return len(a.Results) == tasks
}
