package launcher

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"

	"github.com/gravitational/trace"
)

type (
	// Process is a started program whose output is read line by line.
	Process struct {
		Name string

		command  *exec.Cmd
		done     chan struct{}
		exitCode int

		mu      sync.Mutex
		lines   []string
		waiters []lineWaiter
	}

	lineWaiter struct {
		text string
		line chan string
	}
)

// maxLines limits the number of output lines kept per process.
const maxLines = 200_000

// StartProgram runs a program built by Build. The process is killed when ctx is canceled.
func StartProgram(ctx context.Context, name, program string, args ...string) (*Process, error) {
	return startProcess(ctx, name, nil, program, args...)
}

// startProcess runs the program and calls onLine for each line of its standard output.
func startProcess(ctx context.Context, name string, onLine func(line string), program string, args ...string) (*Process, error) {
	p := &Process{Name: name, done: make(chan struct{})}
	p.command = exec.CommandContext(ctx, program, args...) //nolint:gosec // runs only programs built by Build
	p.command.Stderr = &lineWriter{onLine: func(line string) { p.addLine(line) }}
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := p.command.Start(); err != nil {
		return nil, trace.Wrap(err)
	}
	go p.readOutput(out, onLine)
	return p, nil
}

func (p *Process) readOutput(out io.Reader, onLine func(line string)) {
	s := bufio.NewScanner(out)
	for s.Scan() {
		p.addLine(s.Text())
		if onLine != nil {
			onLine(s.Text())
		}
	}
	_ = p.command.Wait() // the exit code is read below
	p.exitCode = p.command.ProcessState.ExitCode()
	p.mu.Lock()
	for _, w := range p.waiters {
		close(w.line)
	}
	p.waiters = nil
	close(p.done)
	p.mu.Unlock()
}

func (p *Process) addLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lines) < maxLines {
		p.lines = append(p.lines, line)
	}
	remaining := p.waiters[:0]
	for _, w := range p.waiters {
		if strings.Contains(line, w.text) {
			w.line <- line
		} else {
			remaining = append(remaining, w)
		}
	}
	p.waiters = remaining
}

// WaitForLine returns the first line of output that contains text, or an error if the process exits or ctx is canceled
// first.
func (p *Process) WaitForLine(ctx context.Context, text string) (string, error) {
	p.mu.Lock()
	for _, l := range p.lines {
		if strings.Contains(l, text) {
			p.mu.Unlock()
			return l, nil
		}
	}
	w := lineWaiter{text, make(chan string, 1)}
	select {
	case <-p.done:
		p.mu.Unlock()
		return "", trace.NotFound("%s exited without printing %q: %s", p.Name, text, p.Tail(5))
	default:
	}
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	select {
	case l, ok := <-w.line:
		if !ok {
			return "", trace.NotFound("%s exited without printing %q: %s", p.Name, text, p.Tail(5))
		}
		return l, nil
	case <-ctx.Done():
		return "", trace.Wrap(ctx.Err(), "%s did not print %q: %s", p.Name, text, p.Tail(5))
	}
}

// Tail returns the last n lines of output.
func (p *Process) Tail(n int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines[max(0, len(p.lines)-n):], "\n")
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Kill sends SIGKILL.
func (p *Process) Kill() { p.signal(syscall.SIGKILL) }

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Stop requests termination with SIGTERM.
func (p *Process) Stop() { p.signal(syscall.SIGTERM) }

// Wait waits for the process to exit and returns its exit code.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.exitCode, nil
	case <-ctx.Done():
		return 0, trace.Wrap(ctx.Err(), "%s did not exit: %s", p.Name, p.Tail(5))
	}
}

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *Process) signal(s os.Signal) {
	_ = p.command.Process.Signal(s) // fails only if the process has already exited
}

// lineWriter calls onLine for each complete line written to it.
type lineWriter struct {
	onLine  func(line string)
	partial string
}

// Write implements io.Writer.
func (w *lineWriter) Write(b []byte) (int, error) {
	w.partial += string(b)
	for {
		line, rest, found := strings.Cut(w.partial, "\n")
		if !found {
			return len(b), nil
		}
		w.onLine(line)
		w.partial = rest
	}
}
