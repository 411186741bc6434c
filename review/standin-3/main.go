//go:build review

// Command standin-3 has the stand-ins and the drivers of the review cases 11 to 15. The drivers start the project's programs with
// the commands of the deploy file, on loopback addresses.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
	// maxRun bounds a case, including its start.
	maxRun = 115 * time.Second
)

// scenario is a case: it returns what it saw that breaks the rule, or nothing. An error means that the case could not run.
type scenario func(ctx context.Context, c *cluster, trouble bool) (violations []string, err error)

// scenarios are the cases by the number of their folder.
var scenarios = map[string]scenario{
	"11": darkServer,
	"12": dealtBack,
	"13": lostServerAndSidecar,
	"14": earlyCancel,
	"15": movedQueue,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx)
	stop()
	os.Exit(status)
}

func run(ctx context.Context) int {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 server FLAGS | standin-3 CASE RECORD")
		return exitNoRun
	}
	if os.Args[1] == "server" {
		return runServer(ctx, os.Args[2:])
	}
	s := scenarios[os.Args[1]]
	if s == nil || len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "no such case, or no path of the record")
		return exitNoRun
	}
	return runScenario(ctx, s, os.Args[2])
}

// runScenario runs a case and returns its exit status.
func runScenario(ctx context.Context, s scenario, path string) int {
	file, err := os.Create(path) //nolint:gosec // the path is the argument of the case's own script
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer func() { _ = file.Close() }() // the record is for readers; its loss does not change the result
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	c := &cluster{record: newRecorder(file)}
	defer c.close()
	trouble := os.Getenv("TROUBLE") != "0"
	c.record.add("trouble: %t", trouble)
	violations, err := s(ctx, c, trouble)
	switch {
	case err != nil:
		c.record.add("could not run: %v", err)
		return exitNoRun
	case len(violations) > 0:
		for _, v := range violations {
			c.record.add("BROKEN: %s", v)
		}
		return exitBroken
	}
	c.record.add("held")
	return exitHeld
}
