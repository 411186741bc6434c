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
	healthPeriod = time.Second
	healthLimit  = 500 * time.Millisecond
	// maxSilent is the number of unanswered checks after which the backend server counts as leaving. One may be lost
	// to a short overload.
	maxSilent = 2
)

// health checks the backend server, each time on a new connection: an old one may stay silent while new ones work, or
// the other way round.
type health struct {
	target string
	client http.Client
	silent int
	again  chan struct{} // asks for a check at once
}

func newHealth(base *url.URL) *health {
	t := &http.Transport{DisableKeepAlives: true}
	return &health{
		target: base.JoinPath("health").String(),
		client: http.Client{Transport: t, Timeout: healthLimit},
		again:  make(chan struct{}, 1),
	}
}

// check returns nil when the backend server takes work. A check that got no answer counts only when it is the second
// one in a row.
func (h *health) check(ctx context.Context) error {
	err := h.get(ctx)
	var timeout interface{ Timeout() bool }
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		h.silent = 0
		return err
	}
	if h.silent++; h.silent < maxSilent {
		return nil
	}
	return trace.Wrap(err)
}

func (h *health) get(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.target, http.NoBody)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReason)) // only the status counts
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("backend server answered %s to the health check", resp.Status)
	}
	return nil
}

// watch reports each change between healthy and unhealthy until ctx ends, beginning with the first healthy check.
func (h *health) watch(ctx context.Context, report func(err error)) {
	var last error
	for first := true; ; {
		err := h.check(ctx)
		if ctx.Err() != nil {
			return
		}
		if first && err == nil && h.silent == 0 || !first && (err == nil) != (last == nil) {
			report(err)
			first = false
		}
		last = err
		if h.silent == 1 {
			continue // the second check decides; tasks are sent meanwhile
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(healthPeriod):
		case <-h.again:
		}
	}
}

// recheck asks for a check at once. Until a stopped backend server is noticed, its sidecar would go on to attract tasks
// by having free slots.
func (h *health) recheck() {
	select {
	case h.again <- struct{}{}:
	default: // one is asked for already
	}
}
