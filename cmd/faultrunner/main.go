// Command faultrunner runs a fleet of separate processes on loopback under a seeded schedule of kills, pauses, log
// outages and withdrawals, and prints counts. It exits with status 1 when a promise was broken.
//
//	go run ./cmd/faultrunner -seed 1 -seconds 60
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"

	"github.com/crocuslb/crocuslb/injector"
	"github.com/crocuslb/crocuslb/launcher"
	"github.com/crocuslb/crocuslb/timer"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of jobs and faults")
	seconds := flag.Int64("seconds", 30, "time during which faults are injected, in s")
	every := flag.Int64("faultMs", 1000, "mean time between faults, in ms")
	rate := flag.Int("jobs", 20, "jobs submitted per second")
	faults := flag.String("faults", "", "names of faults to draw from, separated by commas; all when empty")
	patience := flag.Int64("patienceMs", 0, "time for which callers resubmit, in ms; 0 for the default of 40000")
	logs := flag.String("logs", "", "directory for the output of the processes; none when empty")
	flag.Parse()
	os.Exit(run(injector.Plan{
		Seed: *seed, Length: timer.Millis(*seconds) * timer.Second, FaultEvery: timer.Millis(*every), JobsPerSecond: *rate,
		Patience: timer.Millis(*patience), Logs: *logs,
		Faults: strings.FieldsFunc(*faults, func(c rune) bool { return c == ',' }),
	}))
}

func run(p injector.Plan) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	directory, err := os.MkdirTemp("", "crocuslb")
	if err == nil {
		defer func() { _ = os.RemoveAll(directory) }() // a leftover in the temporary directory does no harm
		err = launcher.Build(ctx, directory)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultrunner:", err)
		return 1
	}
	p.Directory = directory
	report, err := injector.Run(ctx, p)
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultrunner:", err)
		return 1
	}
	fmt.Print(report)
	if report.Violations() > 0 {
		return 1
	}
	return 0
}
