// Command crocuslb dispatches jobs of sub-second tasks to backend servers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/crocuslb/crocuslb/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	p := commander.Program{
		Args: os.Args[1:], Environ: os.Environ(), Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr,
	}
	status := p.Run(ctx)
	stop()
	os.Exit(status)
}
