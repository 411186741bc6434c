package starter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// MaxBody is the largest result body in bytes. Larger results count as failures.
	MaxBody = 1 << 20
	// TaskHeader names the task in a request to the backend server, as submission key and index.
	TaskHeader = "Crocus-Task"
	// StartedHeader is "false" in an answer with status 503 by which the backend server promises that it did not start
	// the task.
	StartedHeader = "Crocus-Started"

	defaultRunLimit = 5 * timer.Minute // as long as entries wait
	dialLimit       = 500 * time.Millisecond
	// A connection is used again only within this time after its last response. An idle one may have gone silent,
	// which a POST would find out only by a lost task; a new one costs a round trip on the same worker.
	maxIdle = 100 * timer.Millisecond
	// maxReason bounds the part of a failed response that is reported.
	maxReason = 256
)

type (
	// runner runs tasks on the backend server. It keeps its own connections: http.Transport's pool would reuse idle
	// ones of any age, and would send a request again when it believes that the first was not read.
	runner struct {
		base      *url.URL
		clock     timer.Clock
		limit     timer.Millis
		transport *http.Transport

		mu   sync.Mutex
		idle []idleConn // the most recently used one is last
	}

	idleConn struct {
		conn  *http.ClientConn
		since timer.Millis
	}
)

func newRunner(base *url.URL, clock timer.Clock, limit timer.Millis) *runner {
	d := &net.Dialer{Timeout: dialLimit}
	return &runner{
		base: base, clock: clock, limit: orDefault(limit, defaultRunLimit),
		// Compression would hide the declared length, which shows truncation.
		transport: &http.Transport{DialContext: d.DialContext, DisableCompression: true},
	}
}

// run sends a task to the backend server and waits for its end. ctx cancels it.
func (r *runner) run(ctx context.Context, t Run) Outcome {
	limit := r.limit
	if t.Limit > 0 {
		limit = min(limit, t.Limit)
	}
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	req, err := r.request(ctx, t)
	if err != nil {
		return notStarted(fmt.Errorf("build request: %w", err))
	}
	conn, err := r.take(ctx)
	if err != nil {
		return notStarted(fmt.Errorf("connect to backend server: %w", err))
	}
	begun := r.clock.Now()
	if begun >= t.NotAfter || ctx.Err() != nil {
		r.put(conn)
		return notStarted(errors.New("the right to start ended before the request was sent"))
	}
	o, reusable := exchange(conn, req)
	o.Ran = r.clock.Now() - begun
	if reusable {
		r.put(conn)
	} else {
		_ = conn.Close() // the outcome is known or lost already
	}
	return o
}

// request builds the request for t. It has no GetBody, so that net/http cannot send it twice.
func (r *runner) request(ctx context.Context, t Run) (*http.Request, error) {
	if t.Kind == "" || t.Kind == "." || t.Kind == ".." {
		return nil, fmt.Errorf("kind %q is not a path segment", t.Kind)
	}
	u := r.base.JoinPath("run", url.PathEscape(t.Kind))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(t.Payload))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set(TaskHeader, headerKey(t.Task))
	return req, nil
}

// take returns a connection that was in use a moment ago, or a new one.
func (r *runner) take(ctx context.Context) (*http.ClientConn, error) {
	now := r.clock.Now()
	r.mu.Lock()
	var stale []idleConn
	for len(r.idle) > 0 {
		last := r.idle[len(r.idle)-1]
		if now-last.since > maxIdle {
			stale, r.idle = r.idle, nil // the others are older
			break
		}
		r.idle = r.idle[:len(r.idle)-1]
		if last.conn.Err() == nil && last.conn.Available() > 0 {
			r.mu.Unlock()
			return last.conn, nil
		}
		stale = append(stale, last)
	}
	r.mu.Unlock()
	for _, i := range stale {
		_ = i.conn.Close() // unused
	}
	return r.transport.NewClientConn(ctx, r.base.Scheme, r.base.Host)
}

func (r *runner) put(c *http.ClientConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idle = append(r.idle, idleConn{c, r.clock.Now()})
}

// close closes the idle connections.
func (r *runner) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.idle {
		_ = i.conn.Close() // unused
	}
	r.idle = nil
}

// exchange sends the request and reads the whole answer. Any error after this point leaves the outcome unknown.
func exchange(conn *http.ClientConn, req *http.Request) (o Outcome, reusable bool) {
	resp, err := conn.RoundTrip(req)
	if err != nil {
		return unknown(fmt.Errorf("exchange with backend server: %w", err)), false
	}
	defer func() { _ = resp.Body.Close() }() // the body was read as far as it is needed
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
	switch {
	case err != nil:
		return unknown(fmt.Errorf("read answer of backend server: %w", err)), false
	case len(body) > MaxBody:
		return Outcome{Status: encoder.StatusFailed, Reason: fmt.Sprintf("result is larger than %d bytes", MaxBody)}, false
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return unknown(errors.New("the answer of the backend server declares no length, so it may be truncated")), false
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(StartedHeader) == "false":
		return notStarted(fmt.Errorf("backend server did not start the task: %s", body[:min(len(body), maxReason)])), true
	case resp.StatusCode < 200 || resp.StatusCode > 299:
		reason := fmt.Sprintf("backend server answered %s: %s", resp.Status, body[:min(len(body), maxReason)])
		return Outcome{Status: encoder.StatusFailed, Reason: reason}, true
	}
	return Outcome{Status: encoder.StatusDone, Body: body}, true
}

func notStarted(err error) Outcome {
	return Outcome{Status: encoder.StatusNotStarted, Reason: err.Error()}
}

func unknown(err error) Outcome {
	return Outcome{Status: encoder.StatusUnknown, Reason: err.Error()}
}

// headerKey returns the task key for the header. Submission keys with control or non-ASCII bytes are escaped.
func headerKey(t encoder.TaskKey) string {
	key := t.Job
	if strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r > '~' }) {
		key = url.PathEscape(key)
	}
	return fmt.Sprintf("%s/%d", key, t.Index)
}
