// Command faultrunner runs a fleet of separate processes on loopback under a seeded schedule of kills, pauses, log
// outages and withdrawals, and prints counts. It exits with status 1 if a guarantee was violated. With -platform it runs
// soak tests of the processes of the users' platform, with proxies between them, for several seeds.
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

// firstDurableEvery is the number of seeds of which one plays the first durable jobs of an installation.
const firstDurableEvery = 3

func main() {
	seed := flag.Uint64("seed", 1, "seed of jobs and faults")
	seconds := flag.Int64("seconds", 30, "time during which faults are injected, in s")
	faultInterval := flag.Int64("faultMs", 1000, "mean time between faults, in ms")
	rate := flag.Int("jobs", 20, "jobs submitted per second")
	faults := flag.String("faults", "", "names of faults to draw from, separated by commas; all when empty")
	resubmitPeriod := flag.Int64("patienceMs", 0, "time for which callers resubmit, in ms; 0 for the default of 40000")
	logs := flag.String("logs", "", "directory for the output of the processes; none when empty")
	platform := flag.Bool("platform", false, "soak the processes of the users' platform")
	seeds := flag.Int("seeds", 1, "number of seeds, from -seed on; with -platform only")
	parallel := flag.Int("parallel", 1, "seeds that run at a time; with -platform only")
	entries := flag.Int("entries", 3, "entries; with -platform only")
	sidecars := flag.Int("sidecars", 6, "sidecars; with -platform only")
	shortage := flag.Bool("cpuShortage", false, "add long tasks and faults of processes that lack processor time; with -platform only")
	losses := flag.Bool("losses", true, "add servers that are lost and silent, and a store that serves only some entries; with -platform only")
	flag.Parse()
	if *platform {
		os.Exit(runSoak(soaker.Plan{
			Seed: *seed, Duration: time.Duration(*seconds) * time.Second, FaultInterval: time.Duration(*faultInterval) * time.Millisecond,
			JobsPerSecond: *rate, Entries: *entries, Sidecars: *sidecars, LogDir: *logs, CPUShortage: *shortage, Losses: *losses,
			Faults: splitNames(*faults),
		}, *seeds, *parallel))
	}
	os.Exit(runInjector(injector.Plan{
		Seed: *seed, Duration: timer.Millis(*seconds) * timer.Second, FaultInterval: timer.Millis(*faultInterval), JobsPerSecond: *rate,
		ResubmitTimeout: timer.Millis(*resubmitPeriod), LogDir: *logs,
		Faults: splitNames(*faults),
	}))
}

func splitNames(list string) []string {
	return strings.FieldsFunc(list, func(c rune) bool { return c == ',' })
}

// withBinaries builds the programs into a temporary directory and calls fn with it. It returns the exit status, which is
// 1 if the build fails, or if fn returns an error or reports a failure.
func withBinaries(fn func(ctx context.Context, directory string) (failed bool, err error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	directory, err := os.MkdirTemp("", "crocuslb")
	if err == nil {
		defer func() { _ = os.RemoveAll(directory) }() // files left over in the temporary directory do no harm
		err = launcher.Build(ctx, directory)
	}
	failed := false
	if err == nil {
		failed, err = fn(ctx, directory)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultrunner:", err)
	}
	if err != nil || failed {
		return 1
	}
	return 0
}

// runSoak runs the plan for several consecutive seeds, at most parallel at a time, and returns the exit status.
func runSoak(p soaker.Plan, seeds, parallel int) int {
	return withBinaries(func(ctx context.Context, directory string) (bool, error) {
		p.Program = filepath.Join(directory, "platformnode")
		var (
			wg       sync.WaitGroup
			failures atomic.Int64
		)
		semaphore := make(chan struct{}, max(parallel, 1))
		for i := range seeds {
			semaphore <- struct{}{}
			wg.Go(func() {
				defer func() { <-semaphore }()
				plan := p
				plan.Seed += uint64(i)
				plan.FirstDurable = plan.Seed%firstDurableEvery == 0
				report, err := soaker.Run(ctx, plan)
				if err != nil {
					fmt.Fprintf(os.Stderr, "faultrunner: seed %d: %v\n", plan.Seed, err)
					failures.Add(1)
					return
				}
				fmt.Print(report)
				failures.Add(int64(len(report.Violations)))
			})
		}
		wg.Wait()
		return failures.Load() > 0, nil
	})
}

func runInjector(p injector.Plan) int {
	return withBinaries(func(ctx context.Context, directory string) (bool, error) {
		p.ProgramDir = directory
		report, err := injector.Run(ctx, p)
		if err != nil {
			return false, err
		}
		fmt.Print(report)
		return report.Violations() > 0, nil
	})
}
