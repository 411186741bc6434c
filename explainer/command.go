package explainer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/loader"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/platform"
)

const (
	exitRuns    = 0
	exitError   = 1
	exitRefused = 3

	// answerTimeout bounds the wait for the entry's answer, which itself waits for the placing entry for at most 1 s.
	answerTimeout = 5 * time.Second
	// maxAnswerBytes bounds the entry's answer.
	maxAnswerBytes = 4 << 20
)

const helpText = `usage: platformnode explain -entry IP:PORT -queue QUEUE (-runMs MS [flags] | -file PATH)

Prints what the system would decide now about a job: whether it would run, wait or be refused, by which limit or forecast,
which workers come first and why, which are excluded and why, and how old the data of the decision is. It submits no job,
changes no state and reserves no resources. Any entry can be asked; it forwards the question to the entry that places tasks.

flags (flag, unit, default, meaning):
%s
Durations are in ms, or have the unit ms, s, m or h. An entry answers at most 10 questions per second of 64 KiB each.

Exit status: 0 the job would run, at once or after a wait; 3 the job would be refused; 1 error.
`

// settings are the flags of the explain subcommand.
var settings = loader.Set{
	Settings: []loader.Setting{
		{Name: "entry", Unit: loader.UnitAddress, Required: true, Description: "metrics address of an entry"},
		{Name: "queue", Required: true, Description: "name of the queue, or the host and path that callers use, such as jobs.example/a/"},
		{Name: "file", Description: "path of a job as callers send it, in JSON; - for standard input; instead of the flags that describe a job"},
		{Name: "tasks", Unit: loader.UnitCount, Max: 1_000_000, Default: "1", Description: "number of tasks"},
		{Name: "cpu", Unit: loader.UnitCount, Max: 1_000_000_000, Default: "1000", Description: "processor share of each task, in thousandths of a core"},
		{Name: "memoryMb", Unit: loader.UnitMegabytes, Max: 1_000_000_000, Default: "0", Description: "memory of each task"},
		{Name: "accelerators", Unit: loader.UnitCount, Max: 1_000_000, Default: "0", Description: "number of accelerators of each task"},
		{Name: "runMs", Unit: loader.UnitMillis, Default: "0", Description: "run time of a task as the caller states it; required without -file"},
		{Name: "label", Description: "label that the backend server must have"},
		{Name: "rack", Description: "rack with the tasks' data"},
		{Name: "serverTasks", Unit: loader.UnitCount, Max: 1_000_000, Default: "0", Description: "maximum number of tasks on one backend server; 0 for no limit"},
		{Name: "deadlineMs", Unit: loader.UnitMillis, Default: "0", Description: "how long the caller waits for the answer; 0 if it does not say"},
		{Name: "json", Unit: loader.UnitBool, Default: "false", Description: "print a JSON document"},
	},
	Rules: []loader.Rule{{Names: []string{"file", "runMs", "tasks"}, Check: checkJob}},
}

// jobFlags are the flags that describe a job in place of a file.
var jobFlags = []string{"tasks", "cpu", "memoryMb", "accelerators", "runMs", "label", "rack", "serverTasks"}

// Command is one invocation of the explain subcommand.
type Command struct {
	Args           []string
	Stdin          io.Reader
	Stdout, Stderr io.Writer
}

// checkJob reports a job that is not described, or described twice.
func checkJob(v loader.Values) []loader.Finding {
	given := slices.DeleteFunc(slices.Clone(jobFlags), func(name string) bool { return v.Source(name) == "default" })
	switch {
	case v.Text("file") == "" && v.Millis("runMs") <= 0:
		return []loader.Finding{{Location: "-runMs", Reason: "the run time of a task is required, or a job with -file"}}
	case v.Text("file") != "" && len(given) > 0:
		return []loader.Finding{{Location: "-" + given[0], Reason: "contradicts -file, which describes the whole job"}}
	}
	return nil
}

// Run asks an entry, prints the explanation and returns the exit status.
func (c *Command) Run(ctx context.Context) int {
	loaded := settings.Load(c.Args, nil)
	if loaded.Help || len(c.Args) == 0 {
		_, _ = fmt.Fprintf(c.Stdout, helpText, flagTable())
		return exitRuns
	}
	for _, argument := range loaded.Args {
		loaded.Findings = append(loaded.Findings, loader.Finding{Location: argument, Reason: "is not a flag"})
	}
	if len(loaded.Findings) > 0 {
		for _, f := range loaded.Findings {
			_, _ = fmt.Fprintln(c.Stderr, f.String())
		}
		return exitError
	}
	body, err := c.ask(ctx, loaded.Values)
	if err != nil {
		return c.fail(err)
	}
	d, err := decode(body)
	if err != nil {
		return c.fail(err)
	}
	if loaded.Values.Bool("json") {
		_, _ = c.Stdout.Write(body)
	} else {
		_, _ = io.WriteString(c.Stdout, text(&d))
	}
	if d.Verdict == marshaler.VerdictRefused.String() {
		return exitRefused
	}
	return exitRuns
}

// flagTable lists the flags. They have no environment variables.
func flagTable() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	for _, s := range settings.Settings {
		value := "default " + s.Default
		if s.Required {
			value = "required"
		} else if s.Default == "" {
			value = "no default"
		}
		_, _ = fmt.Fprintf(w, "  -%s\t%s\t%s\t%s\n", s.Name, s.Unit, value, s.Description) // a strings.Builder never fails
	}
	_ = w.Flush()
	return b.String()
}

func (c *Command) fail(err error) int {
	_, _ = fmt.Fprintln(c.Stderr, "explain: "+trace.UserMessage(err))
	return exitError
}

// ask sends the question and returns the entry's explanation.
func (c *Command) ask(ctx context.Context, v loader.Values) ([]byte, error) {
	job, err := c.job(v)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	r, err := platform.NewExplainRequest(ctx, v.Text("entry"), v.Text("queue"), v.Millis("deadlineMs"), job)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s does not answer: %v", v.Text("entry"), err)
	}
	defer func() { _ = response.Body.Close() }() // the body is read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "the answer of %s ends early: %v", v.Text("entry"), err)
	}
	if response.StatusCode != http.StatusOK {
		reason := decodeError(body)
		if reason == "" {
			reason = "the process has no explanations; -entry wants the metrics address of an entry"
		}
		return nil, trace.BadParameter("status %d: %s", response.StatusCode, reason)
	}
	return body, nil
}

// job returns the body of the job's submission.
func (c *Command) job(v loader.Values) ([]byte, error) {
	in := c.Stdin
	switch path := v.Text("file"); path {
	case "":
		return platform.EncodeJob(&marshaler.Step{
			Tasks: uint64(max(v.Count("tasks"), 0)), Estimate: v.Millis("runMs"), Label: v.Text("label"), Rack: v.Text("rack"), ServerTaskLimit: uint64(max(v.Count("serverTasks"), 0)),
			Resources: marshaler.Resources{CPU: v.Count("cpu"), MemoryMB: v.Count("memoryMb"), Accelerators: v.Count("accelerators")},
		})
	case "-":
	default:
		f, err := os.Open(path) //nolint:gosec // the user names the file
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		defer func() { _ = f.Close() }() // only read
		in = f
	}
	body, err := io.ReadAll(io.LimitReader(in, maxQuestionBytes+1))
	if err == nil && len(body) > maxQuestionBytes {
		err = trace.LimitExceeded("the job exceeds %d bytes", maxQuestionBytes)
	}
	return body, trace.Wrap(err)
}
