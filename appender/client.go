package appender

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	minBackoff timer.Millis = 10
	maxBackoff timer.Millis = 500
	// readBackDelay is the time after which an append without a response is read back while the client still waits for the
	// response. A synced write takes several ms, so a later response may be lost on a connection that stalled.
	readBackDelay timer.Millis = 300
	// readBackWait is how long one read of a read-back waits at the head.
	readBackWait timer.Millis = 200
	// readHedgeDelay is the time beyond its wait after which a read without a response is sent again on a new connection.
	readHedgeDelay timer.Millis = 300
)

type (
	// Client is a client for one log service. Set the fields before first use; a Client must not be copied afterwards. It
	// is safe for concurrent use.
	Client struct {
		// URL is the address of the log service, for example "http://10.0.0.1:7000".
		URL string
		// HTTP sends the requests; nil means a default client without proxy that follows no redirects.
		HTTP *http.Client
		// Clock provides the start times of reads.
		Clock timer.Clock
		// Timeout bounds the attempts of an append, each read-back, and a read beyond its wait; 0 means 3 s.
		Timeout timer.Millis

		streamState streamState
	}

	// readResult is the result of a read with the start time of its request.
	readResult struct {
		page      Page
		startedAt timer.Millis
		err       error
	}

	// appendResult is the result of the attempts of an append, or of a read-back.
	appendResult struct {
		offset uint64
		found  bool
		err    error
	}
)

// defaultHTTPClient is used by clients whose HTTP is nil. It follows no redirects, because a redirected POST
// could be sent twice.
var defaultHTTPClient = &http.Client{
	Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Append appends body to the stream under the identifier and returns its offset. Attempts that definitely did not take
// effect are repeated until Timeout; if none succeeds, the error is definite. Without a response, the record is searched
// from the head known before the first attempt. If it is not found, the error satisfies IsOutcomeUnknown. Append can then be
// called again with the same identifier: it searches for the record before it sends it again. A delayed first attempt can
// then leave the record in the log twice, so consumers must reject duplicate identifiers.
func (c *Client) Append(ctx context.Context, stream, id string, body []byte) (offset uint64, err error) {
	switch {
	case len(body) > MaxBodyLen:
		return 0, trace.BadParameter("record body of %d bytes is larger than %d", len(body), MaxBodyLen)
	case id == "" || len(id) > MaxIDLen:
		return 0, trace.BadParameter("record identifier of %d bytes is not between 1 and %d bytes long", len(id), MaxIDLen)
	}
	k := appendKey{stream: stream, id: id}
	searchStart, retried := c.streamState.searchStart(k)
	if retried {
		result := c.findRecord(ctx, k, searchStart, false)
		if result.found {
			return result.offset, nil
		}
		if result.err != nil {
			return 0, &unknownOutcomeError{cause: result.err}
		}
	} else if searchStart, err = c.headBeforeAppend(ctx, stream); err != nil {
		return 0, trace.Wrap(err, "cannot read the head of stream %q; the append was not sent", stream)
	}
	if err := ctx.Err(); err != nil && !retried {
		return 0, trace.Wrap(err, "the append was not sent")
	}
	c.streamState.addUnresolved(k, searchStart)
	offset, err = c.resolve(ctx, k, searchStart, body)
	switch {
	case err == nil:
		c.streamState.removeUnresolved(k)
	case IsOutcomeUnknown(err):
	case retried:
		// The outcome of the earlier call with this identifier is still unknown.
		err = &unknownOutcomeError{cause: err}
	default:
		c.streamState.removeUnresolved(k)
	}
	return offset, err
}

// Head returns the offset of the first retained record and the head, which is the offset that the next record will get.
func (c *Client) Head(ctx context.Context, stream string) (first, next uint64, err error) {
	p, err := c.Read(ctx, stream, math.MaxInt64, 1, 0)
	return p.First, p.Next, err
}

// Read returns at most limit records, starting at the offset from. If there are none, the log waits for one up to the time
// wait (long polling). The error satisfies IsTruncated if from is lower than the first retained offset.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait timer.Millis) (Page, error) {
	r := c.hedgedRead(ctx, stream, from, limit, wait, c.timeoutOrDefault())
	return r.page, r.err
}

// hedgedRead sends a read, and a second one on a new connection if the first is not answered within readHedgeDelay: an open
// connection can stall while new ones work.
func (c *Client) hedgedRead(ctx context.Context, stream string, from uint64, limit int, wait, timeout timer.Millis) readResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results, pending := make(chan readResult, 2), 0
	startAttempt := func() {
		pending++
		startedAt := c.Clock.Now()
		go func() {
			p, err := c.readAttempt(ctx, stream, from, limit, wait, timeout)
			results <- readResult{page: p, startedAt: startedAt, err: err}
		}()
	}
	hedgeTimer := time.NewTimer((wait + readHedgeDelay).Duration())
	defer hedgeTimer.Stop()
	startAttempt()
	for {
		select {
		case r := <-results:
			pending--
			if r.err == nil || pending == 0 || IsTruncated(r.err) {
				return r
			}
		case <-hedgeTimer.C:
			c.httpClient().CloseIdleConnections()
			startAttempt()
		}
	}
}

// readAttempt sends one read request.
func (c *Client) readAttempt(ctx context.Context, stream string, from uint64, limit int, wait, timeout timer.Millis) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, (timeout + wait).Duration())
	defer cancel()
	q := url.Values{}
	q.Set("from", strconv.FormatUint(from, 10))
	q.Set("limit", strconv.Itoa(min(max(limit, 1), MaxReadRecords)))
	q.Set("waitMs", strconv.FormatInt(int64(wait), 10))
	body, err := c.doRequest(ctx, http.MethodGet, stream, q.Encode(), nil)
	var s *statusError
	if errors.As(err, &s) && s.code == http.StatusGone {
		return Page{First: s.firstRetained}, &truncatedError{stream: stream, from: from, firstRetained: s.firstRetained}
	}
	if err != nil {
		return Page{}, err
	}
	p, err := decodeReadResponse(body, from)
	if err != nil {
		return Page{}, err
	}
	c.streamState.advanceHead(stream, p.Next)
	return p, nil
}

// headBeforeAppend returns the highest known head of the stream, and requests it from the log if none is known.
func (c *Client) headBeforeAppend(ctx context.Context, stream string) (uint64, error) {
	if next, ok := c.streamState.knownHead(stream); ok {
		return next, nil
	}
	_, next, err := c.Head(ctx, stream)
	return next, err
}

// resolve sends the record, and reads it back if there is no response in time or the failure is not definite. Its error is
// either definite or satisfies IsOutcomeUnknown.
func (c *Client) resolve(ctx context.Context, k appendKey, searchStart uint64, body []byte) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var (
		attemptResult       = make(chan appendResult, 1)
		readBackResult      chan appendResult // nil if no read-back is in progress
		attemptErr          error             // set when the attempts have failed without a definite outcome
		startedAfterFailure bool              // the read-back started after attemptErr was set
		readBackTimer       = time.NewTimer(readBackDelay.Duration())
	)
	defer readBackTimer.Stop()
	go func() { attemptResult <- c.appendWithRetry(ctx, k, body) }()
	startReadBack := func() {
		// Open connections may have stalled; the read-back needs a new one.
		c.httpClient().CloseIdleConnections()
		readBackResult, startedAfterFailure = make(chan appendResult, 1), attemptErr != nil
		go func(done chan<- appendResult) { done <- c.findRecord(ctx, k, searchStart, true) }(readBackResult)
	}
	for {
		select {
		case <-readBackTimer.C:
			if readBackResult == nil && attemptErr == nil {
				startReadBack()
			}
		case outcome := <-attemptResult:
			if outcome.err == nil || isDefiniteFailure(outcome.err) {
				return outcome.offset, outcome.err
			}
			attemptErr = outcome.err
			if readBackResult == nil {
				startReadBack()
			}
		case outcome := <-readBackResult:
			if outcome.found {
				return outcome.offset, nil
			}
			switch readBackResult = nil; {
			case startedAfterFailure:
				// Formatted instead of wrapped: the error of a rejected read must not make the append definite.
				return 0, &unknownOutcomeError{cause: trace.Errorf("%v; read-back: %v", attemptErr, outcome.err)}
			case attemptErr != nil:
				startReadBack()
			}
		}
	}
}

// appendWithRetry sends the append and repeats it until Timeout while its failure is retryable.
func (c *Client) appendWithRetry(ctx context.Context, k appendKey, body []byte) appendResult {
	ctx, cancel := context.WithTimeout(ctx, c.timeoutOrDefault().Duration())
	defer cancel()
	payload := encodeAppend(k.id, body)
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		response, err := c.doRequest(ctx, http.MethodPost, k.stream, "", payload)
		if err == nil {
			var offset uint64
			if offset, err = decodeAppendResponse(response); err == nil {
				c.streamState.advanceHead(k.stream, offset+1)
			}
			return appendResult{offset: offset, err: err}
		}
		if !isRetryable(err) || !sleep(ctx, backoff) {
			return appendResult{err: err}
		}
	}
}

// findRecord searches the stream for the identifier, starting at searchStart. With poll it waits for the record until
// Timeout, because a slow append can take effect after the client stopped waiting for its response; otherwise it stops at
// the head. A result that is not found and has no error means that there is no such record below the head.
func (c *Client) findRecord(ctx context.Context, k appendKey, searchStart uint64, poll bool) appendResult {
	ctx, cancel := context.WithTimeout(ctx, c.timeoutOrDefault().Duration())
	defer cancel()
	from, wait, backoff := searchStart, timer.Millis(0), minBackoff
	for {
		p, err := c.Read(ctx, k.stream, from, MaxReadRecords, wait)
		if IsTruncated(err) {
			return appendResult{err: err}
		}
		if err != nil {
			if !sleep(ctx, backoff) {
				return appendResult{err: err}
			}
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		for _, r := range p.Records {
			if r.ID == k.id {
				return appendResult{offset: r.Offset, found: true}
			}
			from = r.Offset + 1
		}
		if from >= p.Next {
			if !poll {
				return appendResult{}
			}
			wait = readBackWait
		}
	}
}

// doRequest sends one request and returns the body of a successful response.
func (c *Client) doRequest(ctx context.Context, method, stream, query string, payload []byte) ([]byte, error) {
	u, err := url.Parse(c.URL)
	if err != nil {
		return nil, trace.BadParameter("log address %q is malformed: %v", c.URL, err)
	}
	u = u.JoinPath("v1", "streams", stream, "records")
	u.RawQuery = query
	var connecting, connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { connecting.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(payload))
	if err != nil {
		return nil, trace.BadParameter("log address %q is malformed: %v", c.URL, err)
	}
	if method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.httpClient().Do(request)
	if err != nil {
		// A transport without support for httptrace sets neither flag.
		if connecting.Load() && !connected.Load() {
			return nil, &noConnectionError{cause: err}
		}
		return nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseLen+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(content) > maxResponseLen {
		return nil, trace.LimitExceeded("response of the log exceeds %d bytes", maxResponseLen)
	}
	if response.StatusCode != http.StatusOK {
		return nil, decodeErrorResponse(response.StatusCode, content)
	}
	return content, nil
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultHTTPClient
}

func (c *Client) timeoutOrDefault() timer.Millis { return orDefault(c.Timeout, defaultTimeout) }

// sleep waits for d and reports whether it elapsed before the context ended.
func sleep(ctx context.Context, d timer.Millis) bool {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
