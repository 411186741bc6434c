package commander

import (
	"strings"
	"sync"

	"github.com/crocuslb/crocuslb/timer"
)

type (
	// recorder notes every start on a backend server, independently of what crocuslb reports.
	startRecorder struct {
		clock  timer.Clock
		mu     sync.Mutex
		starts []startRecord
	}

	startRecord struct {
		job, task string // the task is the submission's key and an index
		domain    string
		time      timer.Millis
	}
)

// in returns a function that notes the start of a task in the failure domain.
func (r *startRecorder) recordDomain(domain string) func(task string) {
	return func(task string) {
		job, _, _ := strings.Cut(task, "/")
		r.mu.Lock()
		defer r.mu.Unlock()
		r.starts = append(r.starts, startRecord{job: job, task: task, domain: domain, time: r.clock.Now()})
	}
}

// list returns the starts so far in order of time.
func (r *startRecorder) snapshot() []startRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[:len(r.starts):len(r.starts)]
}
