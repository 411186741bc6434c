// Package auditor reads the logs of an installation and tells which jobs were lost or late, by cause, and what could have
// done better.
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

// maxLine is the longest log line, in bytes, that is read.
const maxLine = 1 << 20

type (
	// Auditor gathers what the logs say of each job. The zero value is ready to use.
	Auditor struct {
		jobs  map[string]*job
		order []string // identifiers of jobs, by their first line
		lines int
	}

	// Loss is a cause, with the jobs that it cost.
	Loss struct {
		Cause  string
		Better string // what could have done better
		Jobs   int
		// Late says that the jobs were done, later than expected by their estimated run time. Estimates are rough, so
		// some of them were as fast as could be.
		Late   bool
		First  string // identifier of the first job
		Queues map[string]int
	}

	// Report is the outcome of an audit. Losses come with the largest first, jobs that were late behind those that were lost.
	Report struct {
		Lines  int
		Jobs   int
		Done   int // in time
		Losses []Loss
	}

	// job is what is known of a job. A later answer replaces an earlier one: callers send jobs again.
	job struct {
		queue   string
		done    bool
		late    bool
		answer  string // of the latest answer that is not "done"
		requeue string // how the latest repeated attempt had ended
		granted bool
	}

	// line is a log line as far as it matters here.
	line struct {
		Message    string `json:"message"`
		Job        string `json:"job"`
		Queue      string `json:"queue"`
		Detail     string `json:"detail"`
		TookMs     int64  `json:"tookMs"`
		ExpectedMs int64  `json:"expectedMs"`
	}
)

// Read takes log lines of any number of processes. What stands before the first brace of a line is left out, and lines
// without a job are skipped.
func (a *Auditor) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for s.Scan() {
		a.lines++
		text := s.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		var l line
		if json.Unmarshal([]byte(text[begin:]), &l) == nil && l.Job != "" {
			a.add(&l)
		}
	}
	if err := s.Err(); err != nil {
		return trace.BadParameter("line %d: %v", a.lines+1, err)
	}
	return nil
}

func (a *Auditor) add(l *line) {
	what, ok := strings.CutPrefix(l.Message, "entry: ")
	if !ok {
		return
	}
	// A request that is refused before it is understood is logged with its path, which ends with the identifier.
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
	switch what {
	case "grant":
		j.granted = true
	case "requeue":
		j.requeue = l.Detail
	case "refuse", "unanswered":
		j.answer = l.Detail
	case "answer":
		if strings.HasPrefix(l.Detail, "done") {
			j.done, j.late = true, l.ExpectedMs > 0 && l.TookMs > l.ExpectedMs
		} else {
			j.answer = l.Detail
		}
	}
}

// Report returns what was gathered.
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
			l = &Loss{Cause: c.cause, Better: c.better, Late: j.done, First: id, Queues: map[string]int{}}
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

// String returns the report as a Markdown table.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d jobs in %d lines, %d done in time\n\n", r.Jobs, r.Lines, r.Done)
	b.WriteString("| jobs | cause | what could have done better | first one |\n|---|---|---|---|\n")
	for _, l := range r.Losses {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", l.Jobs, l.Cause, l.Better, l.First)
	}
	return b.String()
}
