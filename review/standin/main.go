//go:build review

// Command standin plays one case of the review: it starts the project's programs as processes on loopback addresses, with
// stand-ins for the store, executors, operator and clients, and checks a rule from what these see.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	playLimit  = 110 * time.Second
)

// cases has the body of each case. It returns an error if the case could not run.
var cases = map[string]func(ctx context.Context, c *cluster, trouble bool) error{}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file that gets what was sent, answered and run")
	logs := flag.String("logs", "", "directory for settings and logs of the processes; a temporary one if empty")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitNotRun
	}
	dir := *logs
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %t", *name, trouble)
	ctx, cancel := context.WithTimeout(context.Background(), playLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	c, err := newCluster(rec, dir)
	if err == nil {
		defer c.stop()
		result := make(chan error, 1)
		go func() {
			err := c.start(ctx)
			if err == nil {
				err = run(ctx, c, trouble)
			}
			result <- err
		}()
		select {
		case err = <-result:
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case len(rec.violations) > 0:
		fmt.Printf("%s: broken %d times, first: %s\n", *name, len(rec.violations), rec.violations[0])
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println(*name + ": held")
	return exitHeld
}
