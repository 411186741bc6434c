package conductor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

// TestAwait guards against callers that are refused right after all processes were restarted, while the first
// configuration is on its way, and against callers that wait for one without end.
func TestAwait(t *testing.T) {
	cases := []struct {
		name           string
		availableAfter time.Duration // of the configuration; 0 for never
		canceledAfter  time.Duration // of the caller; 0 for never
		waiters        int64         // other callers
		version        uint64
		waited         timer.Millis
	}{
		{"there already", time.Nanosecond, 0, 0, 7, 0},
		{"comes in time", 200 * time.Millisecond, 0, 0, 7, 200},
		{"comes too late", 2 * time.Second, 0, 0, 0, 800},
		{"never comes", 0, 0, 0, 0, 800},
		{"caller leaves", 0, 100 * time.Millisecond, 0, 0, 100},
		{"too many wait", 200 * time.Millisecond, 0, maxWaiters, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := configuration{
					logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}, available: make(chan struct{}),
					onChange: func(timer.Millis, router.Snapshot) {},
				}
				cfg.waiters.Store(c.waiters)
				canceledAfter := make(chan struct{})
				if c.canceledAfter > 0 {
					time.AfterFunc(c.canceledAfter, func() { close(canceledAfter) })
				}
				if c.availableAfter > 0 {
					time.AfterFunc(c.availableAfter, func() { cfg.activate(1, router.Snapshot{Version: 7, Offset: 1}, "store") })
				}
				if c.availableAfter == time.Nanosecond {
					time.Sleep(time.Millisecond)
				}
				s, waited := cfg.await(timer.Clock{}, 800, canceledAfter)
				if s.Version != c.version || waited != c.waited {
					t.Errorf("got version %d after %d ms, want %d after %d ms", s.Version, waited, c.version, c.waited)
				}
				time.Sleep(3 * time.Second) // the configuration of a later time comes, too
			})
		})
	}
}
