package runner

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/crocuslb/crocuslb/platform/platformtest"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/timer"
)

// silentTransport serves requests by a store. Long polls that begin before silentUntil get no response, as on a connection that
// has gone silent without a reset.
type silentTransport struct {
	store       *platformtest.Store
	silentUntil time.Time
}

func (s *silentTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == "/log-read" && time.Now().Before(s.silentUntil) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	response := httptest.NewRecorder()
	s.store.ServeHTTP(response, r)
	return response.Result(), nil
}

// TestSilentConfigurationRead guards against an entry that runs jobs on a dropped queue when it is in touch again, 3 s after its
// connection to the store went silent, because its read of the configuration still waits on that connection.
func TestSilentConfigurationRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		backing := &platformtest.Store{}
		backing.PublishConfiguration(1, "svc", "/dropped/")
		store := newStore("store", configurationPollTimeout)
		store.Client = &http.Client{Transport: &silentTransport{backing, time.Now().Add(time.Second)}}
		c := configuration{
			logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}, available: make(chan struct{}),
			onChange: func(timer.Millis, router.Snapshot) {},
		}
		loop := newEventLoop()
		loop.flush, loop.tick = func(timer.Millis) {}, func(timer.Millis) {}
		go func() { _ = loop.run(ctx) }()
		go c.follow(ctx, loop, store)
		time.Sleep(500 * time.Millisecond)
		if got := c.current().Version; got != 1 {
			t.Fatalf("got version %d before the change, want 1", got)
		}
		backing.PublishConfiguration(2, "svc", "/added/")
		time.Sleep(2500 * time.Millisecond) // 3 s after the connection went silent
		if got := c.current().Version; got != 2 {
			t.Errorf("got version %d 3 s after the connection went silent, want 2", got)
		}
	})
}
