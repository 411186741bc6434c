// Package auditor reads the logs of an installation and reports the jobs that were lost or late, grouped by cause, with
// a possible improvement for each cause.
package auditor

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

type (
	// Auditor collects the log events of each job. The zero value is ready to use.
	Auditor struct {
		jobs  map[string]*job
		order []string // job IDs in order of their first log line
		lines int
	}

	// Loss is a cause with the jobs that were lost or late because of it.
	Loss struct {
		Cause       string
		Improvement string // what could have avoided the loss
		Jobs        int
		// Late reports that the jobs completed, but later than their estimated run time implies. Estimates are rough,
		// so some of these jobs could not have completed sooner.
		Late   bool
		First  string // ID of the first job
		Queues map[string]int
	}

	// Report is the result of an audit. Losses are sorted by descending number of jobs; lost jobs precede late ones.
	Report struct {
		Lines  int
		Jobs   int
		Done   int // completed in time
		Losses []Loss
	}

	// job is the state of a job according to the logs. A later answer replaces an earlier one, because callers resubmit
	// jobs.
	job struct {
		queue         string
		done          bool
		late          bool
		answerDetail  string // detail of the latest answer other than "done"
		requeueDetail string // end of the attempt before the latest requeue
		granted       bool
	}

	// logLine holds the fields of a log line that the audit uses.
	logLine struct {
		Message    string `json:"message"`
		Job        string `json:"job"`
		Queue      string `json:"queue"`
		Detail     string `json:"detail"`
		TookMs     int64  `json:"tookMs"`
		ExpectedMs int64  `json:"expectedMs"`
	}
)

// Read reads log lines, which may come from several processes. It ignores the text before the first brace of a line and
// skips lines without a job.
func (a *Auditor) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for s.Scan() {
		a.lines++
		text := s.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte(text[start:]), &l) == nil && l.Job != "" {
			a.addLine(&l)
		}
	}
	if err := s.Err(); err != nil {
		return trace.BadParameter("line %d: %v", a.lines+1, err)
	}
	return nil
}

func (a *Auditor) addLine(l *logLine) {
	event, ok := strings.CutPrefix(l.Message, "entry: ")
	if !ok {
		return
	}
	// A request that is refused before it is parsed is logged with its path, whose last segment is the job ID.
	id := l.Job[strings.LastIndexByte(l.Job, '/')+1:]
	j := a.jobs[id]
	if j == nil {
		if a.jobs == nil {
			a.jobs = map[string]*job{}
		}
		j = &job{}
		a.jobs[id] = j
		a.order = append(a.order, id)
	}
	if l.Queue != "" {
		j.queue = l.Queue
	}
	switch event {
	case "grant":
		j.granted = true
	case "requeue":
		j.requeueDetail = l.Detail
	case "refuse", "unanswered":
		j.answerDetail = l.Detail
	case "answer":
		if strings.HasPrefix(l.Detail, "done") {
			j.done, j.late = true, l.ExpectedMs > 0 && l.TookMs > l.ExpectedMs
		} else {
			j.answerDetail = l.Detail
		}
	}
}

// Report returns the audit of the lines read so far.
func (a *Auditor) Report() Report {
	r := Report{Lines: a.lines, Jobs: len(a.jobs)}
	byCause := map[string]*Loss{}
	for _, id := range a.order {
		j := a.jobs[id]
		if j.done && !j.late {
			r.Done++
			continue
		}
		c := causeOf(j)
		l := byCause[c.cause]
		if l == nil {
			l = &Loss{Cause: c.cause, Improvement: c.improvement, Late: j.done, First: id, Queues: map[string]int{}}
			byCause[c.cause] = l
		}
		l.Jobs++
		l.Queues[j.queue]++
	}
	for _, l := range byCause {
		r.Losses = append(r.Losses, *l)
	}
	slices.SortFunc(r.Losses, func(x, y Loss) int {
		switch {
		case x.Late != y.Late && y.Late:
			return -1
		case x.Late != y.Late:
			return 1
		case x.Jobs != y.Jobs:
			return y.Jobs - x.Jobs
		}
		return strings.Compare(x.Cause, y.Cause)
	})
	return r
}

// String formats the report as a Markdown table.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d jobs in %d lines, %d done in time\n\n", r.Jobs, r.Lines, r.Done)
	b.WriteString("| jobs | cause | possible improvement | first job |\n|---|---|---|---|\n")
	for _, l := range r.Losses {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", l.Jobs, l.Cause, l.Improvement, l.First)
	}
	return b.String()
}
