package runner

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/explainer"
	"github.com/crocuslb/crocuslb/recorder"
)

const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// Program is one invocation of the platformnode command.
type Program struct {
	Args    []string // without the program name; the first argument is the role
	Environ []string
	Stdin   io.Reader
	Stdout  io.Writer
	Stderr  io.Writer
}

// Run runs the role named by the first argument until ctx is canceled, and returns the exit status.
func (p *Program) Run(ctx context.Context) int {
	if len(p.Args) > 0 && p.Args[0] == roleExplain {
		return (&explainer.Command{Args: p.Args[1:], Stdin: p.Stdin, Stdout: p.Stdout, Stderr: p.Stderr}).Run(ctx)
	}
	rec := &recorder.Handler{Writer: p.Stdout}
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
		_, _ = fmt.Fprintf(p.Stdout, "usage: platformnode %s|%s [flags]\n       platformnode %s [flags]\n\nRuns a crocuslb process on the users' platform (docs/PLATFORM.md),\n"+
			"or explains what the entries would decide about a job (platformnode %s -help).\n\n"+
			"settings (flag, unit, default, variable, meaning):\n%s\nExit status: 0 success, 1 failure, 2 invalid settings.\n",
			roleEntry, roleSidecar, roleExplain, roleExplain, Settings.Text())
		return exitSuccess
	}
	options, logRate, err := LoadOptions(role, args, p.Environ)
	if err != nil {
		logger.WithError(err).Error("settings: cannot start")
		return exitUsage
	}
	rec.RateLimit = logRate
	options.Logger, options.DroppedLogLines = logger, rec.Dropped
	go p.watchHangups(ctx, logger, role, args)
	if role == roleEntry {
		err = (&Entry{Options: options}).Run(ctx)
	} else {
		err = (&Sidecar{Options: options}).Run(ctx)
	}
	if err != nil {
		logger.WithError(err).Error(role + ": terminated with an error")
		return exitFailure
	}
	return exitSuccess
}

// helpRequested reports whether the arguments ask for the usage text. Running without arguments does too.
func helpRequested(args []string) bool {
	return len(args) == 0 || slices.ContainsFunc(args, func(a string) bool {
		return a == "help" || a == "-h" || a == "-help" || a == "--help"
	})
}

// watchHangups validates the settings again on SIGHUP. All of them need a restart to take effect, so only the result of
// the validation is logged.
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
			logger.WithError(err).Error("settings: reload found faults; keeping the current settings")
			continue
		}
		logger.Info("settings: reloaded; changes take effect at the next start")
	}
}
