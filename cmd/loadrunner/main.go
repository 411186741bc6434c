// Command loadrunner launches a fleet of separate processes on loopback, sends jobs for a bounded time, and prints the
// throughput, the latency added by entries and sidecars, processor time and memory.
//
//	go run ./cmd/loadrunner -seconds 10 -backends 4 -tasks 1 -runMs 50 -connections 1
//	go run ./cmd/loadrunner -seconds 10 -standIns 8 -slots 500 -tasks 100 -runMs 0 -connections 32
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"

	"github.com/crocuslb/crocuslb/driver"
	"github.com/crocuslb/crocuslb/launcher"
	"github.com/crocuslb/crocuslb/timer"
)

func main() {
	var p driver.Plan
	flag.Uint64Var(&p.Seed, "seed", 1, "seed of the arrivals")
	seconds := flag.Int64("seconds", 10, "time during which jobs arrive, in s")
	flag.IntVar(&p.Jobs, "jobs", 1_000_000, "largest number of jobs")
	flag.Float64Var(&p.Rate, "rate", 0, "jobs that arrive in a second; 0 lets each connection submit when it is answered")
	flag.IntVar(&p.Connections, "connections", 1, "connections of callers")
	flag.IntVar(&p.TasksPerJob, "tasks", 1, "tasks of each job")
	runTime := flag.Int64("runMs", 0, "run time of each task, in ms")
	flag.IntVar(&p.PayloadBytes, "payload", 64, "payload of each task, in bytes")
	flag.IntVar(&p.Entries, "entries", 1, "entries")
	flag.IntVar(&p.Backends, "backends", 0, "backend servers, each with a sidecar process")
	flag.IntVar(&p.SimulatedSidecars, "standIns", 0, "sidecars without backend servers, in this process")
	flag.IntVar(&p.Slots, "slots", 8, "slots of each sidecar")
	flag.BoolVar(&p.UseNonOwner, "other", false, "send the jobs to an entry that is not the owner")
	flag.Parse()
	p.TestDuration, p.RunTime = timer.Millis(*seconds)*timer.Second, timer.Millis(*runTime)
	if err := runBenchmark(p); err != nil {
		fmt.Fprintln(os.Stderr, "loadrunner:", err)
		os.Exit(1)
	}
}

func runBenchmark(p driver.Plan) error {
	if err := p.Check(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	directory, err := os.MkdirTemp("", "crocuslb")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }() // files left over in the temporary directory do no harm
	if err := launcher.Build(ctx, directory); err != nil {
		return err
	}
	p.Directory = directory
	report, err := driver.Run(ctx, p)
	if err != nil {
		return err
	}
	fmt.Print(report)
	return nil
}
