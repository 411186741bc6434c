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
	// Process is a started program. Its output is read line by line.
	Process struct {
		Name string

		command *exec.Cmd
		done    chan struct{}
		code    int

		mu    sync.Mutex
		lines []string
		wait  []lineWait
	}

	lineWait struct {
		prefix string
		found  chan string
	}
)

// maxLines bounds the kept output of one process.
const maxLines = 200_000

// StartProgram runs a program that Build made. It is killed when ctx ends.
func StartProgram(ctx context.Context, name, program string, args ...string) (*Process, error) {
	return start(ctx, name, nil, program, args...)
}

// start runs the program. onLine is called for each line of its standard output.
func start(ctx context.Context, name string, onLine func(line string), program string, args ...string) (*Process, error) {
	p := &Process{Name: name, done: make(chan struct{})}
	p.command = exec.CommandContext(ctx, program, args...) //nolint:gosec // runs the programs that Build made
	p.command.Stderr = &lineWriter{line: func(line string) { p.add(line) }}
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := p.command.Start(); err != nil {
		return nil, trace.Wrap(err)
	}
	go p.read(out, onLine)
	return p, nil
}

func (p *Process) read(out io.Reader, onLine func(line string)) {
	s := bufio.NewScanner(out)
	for s.Scan() {
		p.add(s.Text())
		if onLine != nil {
			onLine(s.Text())
		}
	}
	_ = p.command.Wait() // the exit status is read below
	p.code = p.command.ProcessState.ExitCode()
	p.mu.Lock()
	for _, w := range p.wait {
		close(w.found)
	}
	p.wait = nil
	close(p.done)
	p.mu.Unlock()
}

func (p *Process) add(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lines) < maxLines {
		p.lines = append(p.lines, line)
	}
	kept := p.wait[:0]
	for _, w := range p.wait {
		if strings.Contains(line, w.prefix) {
			w.found <- line
		} else {
			kept = append(kept, w)
		}
	}
	p.wait = kept
}

// WaitLine returns the first line of output that contains text, or an error when the process or ctx ends before.
func (p *Process) WaitLine(ctx context.Context, text string) (string, error) {
	p.mu.Lock()
	for _, l := range p.lines {
		if strings.Contains(l, text) {
			p.mu.Unlock()
			return l, nil
		}
	}
	w := lineWait{text, make(chan string, 1)}
	select {
	case <-p.done:
		p.mu.Unlock()
		return "", trace.NotFound("%s ended without printing %q: %s", p.Name, text, p.Tail(5))
	default:
	}
	p.wait = append(p.wait, w)
	p.mu.Unlock()
	select {
	case l, ok := <-w.found:
		if !ok {
			return "", trace.NotFound("%s ended without printing %q: %s", p.Name, text, p.Tail(5))
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

// PID returns the identifier that the operating system gave to the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Kill ends the process at once.
func (p *Process) Kill() { p.signal(syscall.SIGKILL) }

// Pause stops the process without ending it.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Stop asks the process to end.
func (p *Process) Stop() { p.signal(syscall.SIGTERM) }

// Wait returns the exit status once the process has ended.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.code, nil
	case <-ctx.Done():
		return 0, trace.Wrap(ctx.Err(), "%s did not end: %s", p.Name, p.Tail(5))
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *Process) signal(s os.Signal) {
	_ = p.command.Process.Signal(s) // it has ended when this fails
}

// lineWriter splits what is written to it into lines.
type lineWriter struct {
	line func(line string)
	rest string
}

// Write is part of io.Writer.
func (w *lineWriter) Write(b []byte) (int, error) {
	w.rest += string(b)
	for {
		line, rest, found := strings.Cut(w.rest, "\n")
		if !found {
			return len(b), nil
		}
		w.line(line)
		w.rest = rest
	}
}
