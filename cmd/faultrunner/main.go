// Command faultrunner runs a fleet of separate processes on loopback under a seeded schedule of kills, pauses, log
// outages and withdrawals, and prints counts. It exits with status 1 when a promise was broken. With -platform it soaks
// the processes of the users' platform, with proxies between them, for several seeds.
//
//	go run ./cmd/faultrunner -seed 1 -seconds 60
//	go run ./cmd/faultrunner -platform -seed 1 -seeds 50 -seconds 15
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuslb/crocuslb/injector"
	"github.com/crocuslb/crocuslb/launcher"
	"github.com/crocuslb/crocuslb/soaker"
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
	platform := flag.Bool("platform", false, "soak the processes of the users' platform")
	seeds := flag.Int("seeds", 1, "number of seeds, from -seed on; with -platform only")
	at := flag.Int("parallel", 1, "seeds that run at a time; with -platform only")
	entries := flag.Int("entries", 3, "entries; with -platform only")
	sidecars := flag.Int("sidecars", 6, "sidecars; with -platform only")
	flag.Parse()
	if *platform {
		os.Exit(soak(soaker.Plan{
			Seed: *seed, Length: time.Duration(*seconds) * time.Second, FaultEvery: time.Duration(*every) * time.Millisecond,
			JobsPerSecond: *rate, Entries: *entries, Sidecars: *sidecars, Logs: *logs,
		}, *seeds, *at))
	}
	os.Exit(run(injector.Plan{
		Seed: *seed, Length: timer.Millis(*seconds) * timer.Second, FaultEvery: timer.Millis(*every), JobsPerSecond: *rate,
		Patience: timer.Millis(*patience), Logs: *logs,
		Faults: strings.FieldsFunc(*faults, func(c rune) bool { return c == ',' }),
	}))
}

// withPrograms builds the programs into a temporary directory and calls do with it. It returns the exit status.
func withPrograms(do func(ctx context.Context, directory string) (broken bool, err error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	directory, err := os.MkdirTemp("", "crocuslb")
	if err == nil {
		defer func() { _ = os.RemoveAll(directory) }() // a leftover in the temporary directory does no harm
		err = launcher.Build(ctx, directory)
	}
	broken := false
	if err == nil {
		broken, err = do(ctx, directory)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultrunner:", err)
	}
	if err != nil || broken {
		return 1
	}
	return 0
}

// soak runs the plan for several seeds, some at a time.
func soak(p soaker.Plan, seeds, parallel int) int {
	return withPrograms(func(ctx context.Context, directory string) (bool, error) {
		p.Program = filepath.Join(directory, "platformnode")
		var (
			running sync.WaitGroup
			bad     atomic.Int64
		)
		slots := make(chan struct{}, max(parallel, 1))
		for i := range seeds {
			slots <- struct{}{}
			running.Go(func() {
				defer func() { <-slots }()
				plan := p
				plan.Seed += uint64(i)
				report, err := soaker.Run(ctx, plan)
				if err != nil {
					fmt.Fprintf(os.Stderr, "faultrunner: seed %d: %v\n", plan.Seed, err)
					bad.Add(1)
					return
				}
				fmt.Print(report)
				bad.Add(int64(len(report.Violations)))
			})
		}
		running.Wait()
		return bad.Load() > 0, nil
	})
}

func run(p injector.Plan) int {
	return withPrograms(func(ctx context.Context, directory string) (bool, error) {
		p.Directory = directory
		report, err := injector.Run(ctx, p)
		if err != nil {
			return false, err
		}
		fmt.Print(report)
		return report.Violations() > 0, nil
	})
}
