package reviewer

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

const (
	// playTimeout is longer than the stand-ins' own limits, of two minutes at most.
	playTimeout = 200 * time.Second
	// stopTimeout is how long a script may take to end after SIGTERM.
	stopTimeout = 10 * time.Second
	// exitUnknown stands for a script that was killed or could not be started.
	exitUnknown = -1
)

type (
	// Play is one run of a case.
	Play struct {
		Case    Case
		Trouble bool // with the disruption
		Number  int  // of the run, from 1
	}

	// Result is the outcome of a Play.
	Result struct {
		Play     Play
		Exit     int // exit status: 0 if the rule held
		Duration time.Duration
		Output   string
		Record   string // what the case has recorded; empty if the rule held
	}
)

// Held reports whether the case ran to its end and the rule held.
func (r *Result) Held() bool { return r.Exit == 0 }

// environ returns the variable that tells a script whether to play the disruption.
func (p *Play) environ() string {
	if p.Trouble {
		return "TROUBLE=1"
	}
	return "TROUBLE=0"
}

// Plays returns the plays of cases, one after another, each with and without the disruption.
func Plays(cases []Case, troubles []bool, repeat int) (plays []Play) {
	for n := range repeat {
		for _, c := range cases {
			for _, trouble := range troubles {
				plays = append(plays, Play{Case: c, Trouble: trouble, Number: n + 1})
			}
		}
	}
	return plays
}

// Run plays cases, a few at a time, and calls done after each. The results have the order of the plays.
func Run(ctx context.Context, root string, plays []Play, parallel int, done func(r Result)) []Result {
	results := make([]Result, len(plays))
	next := make(chan int)
	var (
		group sync.WaitGroup
		mu    sync.Mutex
	)
	for range max(parallel, 1) {
		group.Go(func() {
			for i := range next {
				results[i] = run(ctx, root, plays[i])
				mu.Lock()
				done(results[i])
				mu.Unlock()
			}
		})
	}
	for i := range plays {
		next <- i
	}
	close(next)
	group.Wait()
	return results
}

// run plays a case in a copy of its own.
func run(ctx context.Context, root string, p Play) Result {
	r := Result{Play: p, Exit: exitUnknown}
	started := time.Now()
	dir, err := newCopy(root)
	if err != nil {
		r.Output = err.Error()
		return r
	}
	defer func() { _ = os.RemoveAll(dir) }() // files left over in the temporary directory do no harm
	ctx, cancel := context.WithTimeout(ctx, playTimeout)
	defer cancel()
	var output bytes.Buffer
	command := newCommand(ctx, dir, filepath.Join(reviewDir, p.Case.Name, scriptName), &output)
	command.Env = append(os.Environ(), p.environ())
	if err := command.Run(); err != nil && command.ProcessState == nil {
		r.Output = trace.Wrap(err).Error()
		return r
	}
	r.Exit, r.Duration, r.Output = command.ProcessState.ExitCode(), time.Since(started), output.String()
	if !r.Held() {
		record, _ := os.ReadFile(filepath.Join(dir, reviewDir, p.Case.Name, recordName)) //nolint:gosec // written by the case; it may have failed before
		r.Record = string(record)
	}
	return r
}

// newCommand returns a command that gets SIGTERM when the context ends. The processes of a stand-in end with it.
func newCommand(ctx context.Context, dir, path string, output *bytes.Buffer, args ...string) *exec.Cmd {
	command := exec.CommandContext(ctx, filepath.Join(dir, path), args...) //nolint:gosec // a script of the repository, or its stand-in
	command.Dir, command.Stdout, command.Stderr = dir, output, output
	command.Cancel = func() error { return command.Process.Signal(syscall.SIGTERM) }
	command.WaitDelay = stopTimeout
	return command
}
