package commander

import (
	"strings"
	"sync"

	"github.com/crocuslb/crocuslb/timer"
)

type (
	// startRecorder records every start on a backend server, independently of what the entries and sidecars report.
	startRecorder struct {
		clock   timer.Clock
		mu      sync.Mutex
		records []startRecord
	}

	startRecord struct {
		job, task string // the task is identified by the key of the submission and an index
		domain    string
		time      timer.Millis
	}
)

// recordDomain returns a callback that records the start of a task in the failure domain.
func (r *startRecorder) recordDomain(domain string) func(task string) {
	return func(task string) {
		job, _, _ := strings.Cut(task, "/")
		r.mu.Lock()
		defer r.mu.Unlock()
		r.records = append(r.records, startRecord{job: job, task: task, domain: domain, time: r.clock.Now()})
	}
}

// snapshot returns the starts so far in chronological order. The caller must not modify them.
func (r *startRecorder) snapshot() []startRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records[:len(r.records):len(r.records)]
}
