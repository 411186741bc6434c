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
	// MaxBody is the maximum size of a result body in bytes. Tasks with larger results fail.
	MaxBody = 1 << 20
	// TaskHeader is the request header that identifies the task by submission key and index.
	TaskHeader = "Crocus-Task"
	// StartedHeader is the response header that the backend server sets to "false" in a response with status 503 to
	// guarantee that it did not start the task.
	StartedHeader = "Crocus-Started"

	defaultRunTimeout = 5 * timer.Minute // same as the timeout of entries
	dialTimeout       = 500 * time.Millisecond
	// maxIdleTime is the maximum idle time of a connection that is reused. An idle connection may have become
	// unresponsive, which a POST would reveal only by losing a task, whereas a new one costs one round trip on the same
	// worker.
	maxIdleTime = 100 * timer.Millisecond
	// maxReasonBytes limits how much of the body of a failed response is reported.
	maxReasonBytes = 256
)

type (
	// runner sends tasks to the backend server. It has its own connection pool, because the pool of http.Transport
	// would reuse idle connections of any age and retry requests that it considers unread by the server.
	runner struct {
		base      *url.URL
		clock     timer.Clock
		timeout   timer.Millis
		transport *http.Transport

		mu   sync.Mutex
		idle []idleConn // the most recently used one is last
	}

	idleConn struct {
		conn      *http.ClientConn
		idleSince timer.Millis
	}
)

func newRunner(base *url.URL, clock timer.Clock, timeout timer.Millis) *runner {
	d := &net.Dialer{Timeout: dialTimeout}
	return &runner{
		base: base, clock: clock, timeout: orDefault(timeout, defaultRunTimeout),
		// Compression would hide the Content-Length, which is needed to detect truncation.
		transport: &http.Transport{DialContext: d.DialContext, DisableCompression: true},
	}
}

// run sends a task to the backend server and waits for its outcome. The task is canceled when ctx is done.
func (r *runner) run(ctx context.Context, t Run) Outcome {
	timeout := r.timeout
	if t.Timeout > 0 {
		timeout = min(timeout, t.Timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	req, err := r.newRequest(ctx, t)
	if err != nil {
		return notStarted(fmt.Errorf("build request: %w", err))
	}
	conn, err := r.acquireConn(ctx)
	if err != nil {
		return notStarted(fmt.Errorf("connect to backend server: %w", err))
	}
	startTime := r.clock.Now()
	if startTime >= t.NotAfter || ctx.Err() != nil {
		r.releaseConn(conn)
		return notStarted(errors.New("the right to start ended before the request was sent"))
	}
	o, reusable := roundTrip(conn, req)
	o.RunTime = r.clock.Now() - startTime
	if reusable {
		r.releaseConn(conn)
	} else {
		_ = conn.Close() // the outcome is already determined
	}
	return o
}

// newRequest builds the request for t. It has no GetBody, so that net/http cannot retry it.
func (r *runner) newRequest(ctx context.Context, t Run) (*http.Request, error) {
	if t.Kind == "" || t.Kind == "." || t.Kind == ".." {
		return nil, fmt.Errorf("kind %q is not a path segment", t.Kind)
	}
	u := r.base.JoinPath("run", url.PathEscape(t.Kind))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(t.Payload))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set(TaskHeader, taskHeaderValue(t.Task))
	return req, nil
}

// acquireConn returns an idle connection that is not older than maxIdleTime, or a new one.
func (r *runner) acquireConn(ctx context.Context) (*http.ClientConn, error) {
	now := r.clock.Now()
	r.mu.Lock()
	var stale []idleConn
	for len(r.idle) > 0 {
		last := r.idle[len(r.idle)-1]
		if now-last.idleSince > maxIdleTime {
			stale, r.idle = r.idle, nil // the remaining ones have been idle even longer
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

func (r *runner) releaseConn(c *http.ClientConn) {
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

// roundTrip sends the request and reads the whole response. After an error, the outcome of the task is unknown, because
// the backend server may have received the request.
func roundTrip(conn *http.ClientConn, req *http.Request) (o Outcome, reusable bool) {
	resp, err := conn.RoundTrip(req)
	if err != nil {
		return unknown(fmt.Errorf("exchange with backend server: %w", err)), false
	}
	defer func() { _ = resp.Body.Close() }() // the needed part of the body was read
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
	switch {
	case err != nil:
		return unknown(fmt.Errorf("read answer of backend server: %w", err)), false
	case len(body) > MaxBody:
		return Outcome{Status: encoder.StatusFailed, Reason: fmt.Sprintf("result is larger than %d bytes", MaxBody)}, false
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return unknown(errors.New("the answer of the backend server declares no length, so it may be truncated")), false
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(StartedHeader) == "false":
		return notStarted(fmt.Errorf("backend server did not start the task: %s", body[:min(len(body), maxReasonBytes)])), true
	case resp.StatusCode < 200 || resp.StatusCode > 299:
		reason := fmt.Sprintf("backend server answered %s: %s", resp.Status, body[:min(len(body), maxReasonBytes)])
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

// taskHeaderValue formats a task key for TaskHeader. Submission keys with control or non-ASCII characters are escaped.
func taskHeaderValue(t encoder.TaskKey) string {
	key := t.Job
	if strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r > '~' }) {
		key = url.PathEscape(key)
	}
	return fmt.Sprintf("%s/%d", key, t.Index)
}
