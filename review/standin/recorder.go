//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

type (
	// recorder writes what was sent, answered and run to the record file, and keeps the runs of each task for the checks.
	recorder struct {
		began time.Time

		mu         sync.Mutex
		file       *os.File
		out        *bufio.Writer
		tasks      map[string][]*seenRun
		violations []string
	}

	// seenRun is a run as its executor has seen it.
	seenRun struct {
		task, machine string
		number        uint64
		started       time.Duration
		ended         time.Duration // 0 while it runs
		how           string        // as listed, or "crashed"
		noted         time.Duration // when LastSeen reached the end; 0 if it has not
		lapsed        bool          // the lease lapsed between the end and noted: the end does not count as taken note of
	}
)

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, out: bufio.NewWriter(file), tasks: map[string][]*seenRun{}}, nil
}

func (r *recorder) now() time.Duration { return time.Since(r.began) }

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *recorder) addLocked(format string, args ...any) {
	if r.out != nil {
		_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{r.now().Seconds()}, args...)...)
	}
}

func (r *recorder) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, text)
	r.addLocked("BROKEN %s", text)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
	r.out = nil
}

func (r *recorder) started(machine, task string, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tasks[task] = append(r.tasks[task], &seenRun{task: task, machine: machine, number: number, started: r.now()})
	r.addLocked("run %s %d starts on %s", task, number, machine)
}

func (r *recorder) find(machine, task string, number uint64) *seenRun {
	for _, s := range slices.Backward(r.tasks[task]) {
		if s.machine == machine && s.number == number {
			return s
		}
	}
	return &seenRun{}
}

func (r *recorder) ended(machine, task string, number uint64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.find(machine, task, number)
	s.ended, s.how = r.now(), how
	r.addLocked("run %s %d ends %s on %s", task, number, how, machine)
}

func (r *recorder) gone(machine, task string, number uint64) {
	r.ended(machine, task, number, "crashed")
}

func (r *recorder) noted(machine string, e *end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.find(machine, e.task, e.run)
	s.noted, s.lapsed = r.now(), e.lapsed
	suffix := ""
	if e.lapsed {
		suffix = ", after its lease lapsed"
	}
	r.addLocked("end %d (%s %d %s) is taken note of on %s%s", e.number, e.task, e.run, e.how, machine, suffix)
}

// countsAsNoted reports whether an end was taken note of, at any time, with no lapse of the lease between.
func (s *seenRun) countsAsNoted() bool { return s.noted > 0 && !s.lapsed }

// eachTask calls f with the runs of each task, ordered by their start.
func (r *recorder) eachTask(f func(task string, runs []*seenRun)) {
	r.mu.Lock()
	names := make([]string, 0, len(r.tasks))
	for task := range r.tasks {
		names = append(names, task)
	}
	r.mu.Unlock()
	slices.Sort(names)
	for _, task := range names {
		r.mu.Lock()
		runs := slices.Clone(r.tasks[task])
		r.mu.Unlock()
		f(task, runs)
	}
}

// jobOf returns the job of a task name ID.K.STEP.INDEX.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// running returns the number of runs that a machine's executor has at present.
func (r *recorder) running(machine string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, runs := range r.tasks {
		for _, s := range runs {
			if s.machine == machine && s.ended == 0 {
				n++
			}
		}
	}
	return n
}
