// Command emulator runs an emulated log or an emulated backend server as a process for tests.
//
//	emulator log     [-address 127.0.0.1:0] [-appendDelayMs 4]
//	emulator backend [-address 127.0.0.1:0] [-slots 8]
//
// It prints "listening URL" once it is serving. A backend prints "start MILLIS TASK" for each start, with the wall clock
// in ms since 1970, so that a test knows the starts even after the process was killed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/crocuslb/crocuslb/emulator"
	"github.com/crocuslb/crocuslb/timer"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "emulator:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) == 0 || args[0] != "log" && args[0] != "backend" {
		return fmt.Errorf("the first argument must be log or backend")
	}
	flags := flag.NewFlagSet(args[0], flag.ExitOnError)
	address := flags.String("address", "127.0.0.1:0", "loopback `address` to listen on")
	slots := flags.Int("slots", 8, "tasks that a backend server runs at a time")
	appendDelay := flags.Int64("appendDelayMs", 4, "time before an append takes effect, in ms")
	_ = flags.Parse(args[1:]) // exits on an error
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var url string
	var err error
	if args[0] == "log" {
		l := &emulator.Log{}
		l.UpdateSettings(func(s *emulator.LogSettings) { s.AppendDelay = timer.Millis(*appendDelay) })
		url, err = emulator.ServeLog(ctx, *address, l)
	} else {
		b := &emulator.Backend{Slots: *slots, OnStart: printStart}
		url, err = b.Serve(ctx, *address)
	}
	if err != nil {
		return err
	}
	fmt.Println("listening", url)
	<-ctx.Done()
	return nil
}
