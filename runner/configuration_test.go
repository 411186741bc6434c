package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

// TestAwaitConfiguration guards against rejecting callers right after a restart of all processes, when the first
// configuration has not arrived yet, and against callers that wait for it forever.
func TestAwaitConfiguration(t *testing.T) {
	cases := []struct {
		name           string
		availableAfter time.Duration // when the configuration arrives; 0 for never
		canceledAfter  time.Duration // when the caller cancels; 0 for never
		waiters        int64         // other callers in await
		version        uint64
		waited         timer.Millis
	}{
		{"available already", time.Nanosecond, 0, 0, 7, 0},
		{"arrives in time", 200 * time.Millisecond, 0, 0, 7, 200},
		{"arrives too late", 2 * time.Second, 0, 0, 0, 800},
		{"never arrives", 0, 0, 0, 0, 800},
		{"caller cancels", 0, 100 * time.Millisecond, 0, 0, 100},
		{"too many waiters", 200 * time.Millisecond, 0, maxWaiters, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := configuration{
					logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}, available: make(chan struct{}),
					onChange: func(timer.Millis, router.Snapshot) {},
				}
				cfg.waiters.Store(c.waiters)
				canceled := make(chan struct{})
				if c.canceledAfter > 0 {
					time.AfterFunc(c.canceledAfter, func() { close(canceled) })
				}
				if c.availableAfter > 0 {
					time.AfterFunc(c.availableAfter, func() { cfg.activate(1, router.Snapshot{Version: 7, Offset: 1}, "store") })
				}
				if c.availableAfter == time.Nanosecond {
					time.Sleep(time.Millisecond)
				}
				s, waited := cfg.await(timer.Clock{}, 800, canceled)
				if s.Version != c.version || waited != c.waited {
					t.Errorf("got version %d after %d ms, want %d after %d ms", s.Version, waited, c.version, c.waited)
				}
				time.Sleep(3 * time.Second) // let the late configuration arrive
			})
		})
	}
}
