//go:build review

package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// recorder writes what a case sent and saw, with the time since its start.
type recorder struct {
	started time.Time

	mu  sync.Mutex
	out io.Writer
}

func newRecorder(out io.Writer) *recorder { return &recorder{started: time.Now(), out: out} }

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(r.out, line) // the record is for readers; its loss does not change the result
	fmt.Print(line)
}
