// Command platformnode runs an entry or a sidecar of crocuslb on the users' platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/crocuslb/crocuslb/runner"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	p := runner.Program{Args: os.Args[1:], Environ: os.Environ(), Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	status := p.Run(ctx)
	stop()
	os.Exit(status)
}
