package starter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
)

const (
	healthInterval = time.Second
	healthTimeout  = 500 * time.Millisecond
	// maxTimeouts is the number of consecutive timeouts after which the backend server is unhealthy. A single timeout
	// may be caused by a short overload.
	maxTimeouts = 2
)

// healthChecker checks the health of the backend server. Each check uses a new connection, because an existing one may
// hang while new ones work, or the other way round.
type healthChecker struct {
	target     string
	client     http.Client
	timeouts   int
	recheckNow chan struct{} // requests an immediate check
}

func newHealthChecker(base *url.URL) *healthChecker {
	t := &http.Transport{DisableKeepAlives: true}
	return &healthChecker{
		target:     base.JoinPath("health").String(),
		client:     http.Client{Transport: t, Timeout: healthTimeout},
		recheckNow: make(chan struct{}, 1),
	}
}

// check returns nil if the backend server is healthy. Timeouts are ignored until maxTimeouts occur in a row.
func (h *healthChecker) check(ctx context.Context) error {
	err := h.get(ctx)
	var timeout interface{ Timeout() bool }
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		h.timeouts = 0
		return err
	}
	if h.timeouts++; h.timeouts < maxTimeouts {
		return nil
	}
	return trace.Wrap(err)
}

func (h *healthChecker) get(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.target, http.NoBody)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReasonBytes)) // only the status matters
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("health check of backend server: unexpected status %s", resp.Status)
	}
	return nil
}

// watch checks the health periodically until ctx is done. It reports the first healthy check and every change after it.
func (h *healthChecker) watch(ctx context.Context, report func(err error)) {
	var last error
	for first := true; ; {
		err := h.check(ctx)
		if ctx.Err() != nil {
			return
		}
		if first && err == nil && h.timeouts == 0 || !first && (err == nil) != (last == nil) {
			report(err)
			first = false
		}
		last = err
		if h.timeouts == 1 {
			continue // repeat the check at once; the state does not change before the second timeout
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(healthInterval):
		case <-h.recheckNow:
		}
	}
}

// recheck requests an immediate check. Until the failure of a backend server is detected, its sidecar attracts tasks
// because it has free slots.
func (h *healthChecker) recheck() {
	select {
	case h.recheckNow <- struct{}{}:
	default: // already requested
	}
}
