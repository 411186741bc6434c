package commander

import (
	"context"
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/dispatcher"
	"github.com/crocuslb/crocuslb/encoder"
)

// Task ends must blame the worker and the failure domain that burn, and must not change the objectives, which count jobs.
func TestTaskReportsBlameWorkers(t *testing.T) {
	const done, failed, unknown = encoder.StatusDone, encoder.StatusFailed, encoder.StatusUnknown
	tests := []struct {
		name string
		r    dispatcher.TaskReport
		want string // culprits of response and success
	}{
		{"good", dispatcher.TaskReport{Domain: "d", Worker: "w", Status: done, Ran: 112, Expected: 100}, "[] [] [] []"},
		{"slow", dispatcher.TaskReport{Domain: "d", Worker: "w", Status: done, Ran: 113, Expected: 100}, "[{d 1 1 1}] [{w 1 1 1}] [] []"},
		{"no expectation", dispatcher.TaskReport{Domain: "d", Worker: "w", Status: done, Ran: 113}, "[] [] [] []"},
		{"failed", dispatcher.TaskReport{Domain: "d", Worker: "w", Status: failed, Ran: 9}, "[] [] [{d 1 1 1}] [{w 1 1 1}]"},
		{"unknown", dispatcher.TaskReport{Domain: "d", Worker: "w", Status: unknown}, "[] [] [{d 1 1 1}] [{w 1 1 1}]"},
		{"asked to stop", dispatcher.TaskReport{Domain: "d", Worker: "w", Status: failed, Canceled: true}, "[] [] [] []"},
		{"unknown place", dispatcher.TaskReport{Status: unknown}, "[] [] [] []"},
	}
	for _, tc := range tests {
		p := entryProcess{Entry: &dispatcher.Entry{}, tasks: make(chan dispatcher.TaskReport)}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { p.observeTasks(ctx); close(ended) }()
		p.tasks <- tc.r // it is unbuffered, so the report is observed before ctx is read again
		cancel()
		<-ended
		p.reportTask(tc.r)
		rows := p.Reporter.Report(p.Entry.Clock.Now()).Rows
		got := fmt.Sprint(rows[0].Domains, rows[0].Workers, rows[1].Domains, rows[1].Workers)
		if got != tc.want || rows[0].Total+rows[1].Total != 0 || p.unseen.Load() != 1 {
			t.Errorf("%s: got %s, %d jobs, %d dropped; want %s, none, 1", tc.name, got, rows[0].Total+rows[1].Total, p.unseen.Load(), tc.want)
		}
	}
}
