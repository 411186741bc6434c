//go:build review

// Command standin-2 starts a small deployment of the project's own programs on loopback, with stand-ins of the platform, plays one
// case of the review on it, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	timeLimit    = 115 * time.Second
	recordHeader = "seconds since the start, then what was sent, answered, run and disrupted"
)

// cases has the scenarios by name. Each returns the violations that it saw.
var cases = map[string]func(f *fleet, trouble bool) (violations []string, err error){}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file to write")
	flag.Parse()
	os.Exit(runCase(*name, *record))
}

func runCase(name, record string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no case has the name", name)
		return exitNotRun
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f, err := newFleet(ctx, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	result := make(chan int, 1)
	go func() { result <- f.play(name, play) }()
	select {
	case status := <-result:
		return status
	case <-ctx.Done():
	case <-time.After(timeLimit):
		fmt.Fprintln(os.Stderr, "the case took too long")
	}
	return exitNotRun
}

func (f *fleet) play(name string, play func(f *fleet, trouble bool) ([]string, error)) int {
	trouble := os.Getenv("TROUBLE") != "0"
	f.rec.add("%s", recordHeader)
	f.rec.add("case %s, disruption %t", name, trouble)
	err := f.start()
	var violations []string
	if err == nil {
		f.rec.add("all processes serve")
		violations, err = play(f, trouble)
	}
	if err != nil {
		f.rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	slices.Sort(violations)
	for _, v := range violations {
		f.rec.add("BROKEN %s", v)
		fmt.Println("broken:", v)
	}
	if len(violations) > 0 {
		return exitBroken
	}
	f.rec.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
