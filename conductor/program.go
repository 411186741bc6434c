package conductor

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/recorder"
)

const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// Program is one run of a process on the users' platform.
type Program struct {
	Args    []string // without the program's name; the first one is the role
	Environ []string
	Stdout  io.Writer
}

// Run runs the role that the first argument names until ctx ends, and returns the exit status.
func (p *Program) Run(ctx context.Context) int {
	rec := &recorder.Recorder{Writer: p.Stdout}
	logger := &log.Logger{Handler: rec, Level: log.InfoLevel}
	stopRecorder, recorderDone := make(chan struct{}), make(chan struct{})
	go func() {
		rec.Run(stopRecorder)
		close(recorderDone)
	}()
	defer func() {
		close(stopRecorder)
		<-recorderDone
	}()
	role, args := "", p.Args
	if len(args) > 0 {
		role, args = args[0], args[1:]
	}
	if helpRequested(p.Args) {
		_, _ = fmt.Fprintf(p.Stdout, "usage: platformnode %s|%s [flags]\n\nRuns a process of crocuslb on the users' platform (docs/PLATFORM.md).\n\n"+
			"settings (flag, unit, default, variable, meaning):\n%s\nExit status: 0 success, 1 failure, 2 wrong settings.\n",
			roleEntry, roleSidecar, Settings.Text())
		return exitSuccess
	}
	options, logRate, err := LoadOptions(role, args, p.Environ)
	if err != nil {
		logger.WithError(err).Error("settings: cannot start")
		return exitUsage
	}
	rec.Rate = logRate
	options.Logger, options.DroppedLogLines = logger, rec.Dropped
	go p.watchHangups(ctx, logger, role, args)
	if role == roleEntry {
		err = (&Entry{Options: options}).Run(ctx)
	} else {
		err = (&Sidecar{Options: options}).Run(ctx)
	}
	if err != nil {
		logger.WithError(err).Error(role + ": ended with an error")
		return exitFailure
	}
	return exitSuccess
}

// asksForHelp reports whether a run is for the list of settings.
func helpRequested(args []string) bool {
	return len(args) == 0 || slices.ContainsFunc(args, func(a string) bool {
		return a == "help" || a == "-h" || a == "-help" || a == "--help"
	})
}

// reload checks the settings again at SIGHUP. All of them need a restart, so a change is only reported.
func (p *Program) watchHangups(ctx context.Context, logger *log.Logger, role string, args []string) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		if _, _, err := LoadOptions(role, args, p.Environ); err != nil {
			logger.WithError(err).Error("settings: reload found faults; the earlier ones stay in force")
			continue
		}
		logger.Info("settings: reloaded; addresses and names change at the next start only")
	}
}
