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
		name    string
		comes   time.Duration // of the configuration; 0 for never
		gone    time.Duration // of the caller; 0 for never
		waiting int64         // other callers
		version uint64
		waited  timer.Millis
	}{
		{"there already", time.Nanosecond, 0, 0, 7, 0},
		{"comes in time", 200 * time.Millisecond, 0, 0, 7, 200},
		{"comes too late", 2 * time.Second, 0, 0, 0, 800},
		{"never comes", 0, 0, 0, 0, 800},
		{"caller leaves", 0, 100 * time.Millisecond, 0, 0, 100},
		{"too many wait", 200 * time.Millisecond, 0, maxWaiting, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := configuration{
					logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}, known: make(chan struct{}),
					changed: func(timer.Millis, router.Snapshot) {},
				}
				cfg.waiting.Store(c.waiting)
				gone := make(chan struct{})
				if c.gone > 0 {
					time.AfterFunc(c.gone, func() { close(gone) })
				}
				if c.comes > 0 {
					time.AfterFunc(c.comes, func() { cfg.adopt(1, router.Snapshot{Version: 7, Offset: 1}, "store") })
				}
				if c.comes == time.Nanosecond {
					time.Sleep(time.Millisecond)
				}
				s, waited := cfg.await(timer.Clock{}, 800, gone)
				if s.Version != c.version || waited != c.waited {
					t.Errorf("got version %d after %d ms, want %d after %d ms", s.Version, waited, c.version, c.waited)
				}
				time.Sleep(3 * time.Second) // the configuration of a later time comes, too
			})
		})
	}
}
