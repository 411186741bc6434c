//go:build review

package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/crocuslb/crocuslb/platform/platformtest"
)

// drainSignal makes a server announce that it drains.
const drainSignal = syscall.SIGUSR1

// startedEvent names the start of a run, beside the ways in which it ends.
const startedEvent = "started"

// runServer runs the project's fake backend server as a process of its own, so that it can be stopped and killed. It prints each
// start and end of a run.
func runServer(ctx context.Context, args []string) int {
	set := flag.NewFlagSet("server", flag.ContinueOnError)
	b := &platformtest.Backend{MemMb: 131072}
	set.StringVar(&b.ID, "id", "", "identifier")
	set.StringVar(&b.Service, "service", "", "service")
	set.StringVar(&b.Zone, "zone", "", "failure domain")
	set.Int64Var(&b.CPU, "cpu", 32000, "capacity in thousandths of a core")
	set.StringVar(&b.Control, "control", "", "address for heartbeats")
	listen := set.String("listen", "", "address for calls")
	if set.Parse(args) != nil {
		return exitNoRun
	}
	var mu sync.Mutex
	b.OnRun = func(task string, run uint64, event string) {
		if event == "" {
			event = startedEvent
		}
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf("RUN %s %d %s %d\n", task, run, event, time.Now().UnixNano())
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // returns at the end of the process
	drains := make(chan os.Signal, 1)
	signal.Notify(drains, drainSignal)
	go func() {
		<-drains
		b.Drain()
	}()
	b.Run(ctx)
	return exitHeld
}
