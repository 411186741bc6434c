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
	// readBackAfter is when the read-back begins beside an append without an answer. A synced write takes several ms,
	// so a response that is later than this may be lost on a silent connection.
	readBackDelay timer.Millis = 300
	readBackWait  timer.Millis = 200
	// secondReadAfter is how late an answer may be before the read is sent again on a new connection.
	readHedgeDelay timer.Millis = 300
)

type (
	// Client talks to one log service. Set the fields before first use; a Client must not be copied afterwards. It is
	// safe for concurrent use.
	Client struct {
		// URL is the address of the log service, for example "http://10.0.0.1:7000".
		URL string
		// HTTP sends the requests; nil means a shared client that uses no proxy and follows no redirects.
		HTTP *http.Client
		// Clock tells when exchanges begin.
		Clock timer.Clock
		// Timeout bounds an append attempt, the read-back after it, and a read beyond its wait; 0 means 3 s.
		Timeout timer.Millis

		appendState appendState
	}

	// reading is the result of a read, and when its exchange began.
	readResult struct {
		page      Page
		startedAt timer.Millis
		err       error
	}

	// outcome is the result of an append attempt or of a read-back.
	appendResult struct {
		offset uint64
		found  bool
		err    error
	}
)

// shared is used by clients without their own http.Client. A redirected POST could be sent twice, so redirects are
// not followed.
var defaultHTTPClient = &http.Client{
	Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Append appends body to the stream under the identifier and returns its offset. Attempts that surely did not take
// effect are repeated until Timeout; when none succeeds, the error is definite. Without an answer the record is looked
// for from the head known before the first attempt on. When it is not found, the error satisfies IsUnknown. Append may
// then be called again with the same identifier: it looks for the record before it sends it again. A delayed first
// attempt can then leave the record in the log twice, so folds must refuse a repeated record.
func (c *Client) Append(ctx context.Context, stream, id string, body []byte) (offset uint64, err error) {
	switch {
	case len(body) > MaxBody:
		return 0, trace.BadParameter("record body of %d bytes is larger than %d", len(body), MaxBody)
	case id == "" || len(id) > MaxIDLen:
		return 0, trace.BadParameter("record identifier of %d bytes is not between 1 and %d bytes long", len(id), MaxIDLen)
	}
	k := appendKey{stream: stream, id: id}
	searchStart, retried := c.appendState.searchStart(k)
	if retried {
		o := c.findRecord(ctx, k, searchStart, false)
		if o.found {
			return o.offset, nil
		}
		if o.err != nil {
			return 0, &unknownOutcomeError{cause: o.err}
		}
	} else if searchStart, err = c.currentHead(ctx, stream); err != nil {
		return 0, trace.Wrap(err, "head of stream %q is not known, nothing was sent", stream)
	}
	if err := ctx.Err(); err != nil && !retried {
		return 0, trace.Wrap(err, "nothing was sent")
	}
	c.appendState.addUnresolved(k, searchStart)
	offset, err = c.resolve(ctx, k, searchStart, body)
	switch {
	case err == nil:
		c.appendState.removeUnresolved(k)
	case IsUnknown(err):
	case retried:
		// The earlier attempt under this identifier is still open.
		err = &unknownOutcomeError{cause: err}
	default:
		c.appendState.removeUnresolved(k)
	}
	return offset, err
}

// Head returns the offset of the first retained record and the offset that the next record will get.
func (c *Client) Head(ctx context.Context, stream string) (first, next uint64, err error) {
	p, err := c.Read(ctx, stream, math.MaxInt64, 1, 0)
	return p.First, p.Next, err
}

// Read returns at most limit records from an offset on. When there are none, the log waits for one up to the given
// time. The error satisfies IsTruncated when from lies before the first retained record.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait timer.Millis) (Page, error) {
	r := c.hedgedRead(ctx, stream, from, limit, wait, c.timeoutOrDefault())
	return r.page, r.err
}

// read reads once, and a second time on a new connection when the first has no answer in time: a connection can go
// silent while new ones work.
func (c *Client) hedgedRead(ctx context.Context, stream string, from uint64, limit int, wait, timeout timer.Millis) readResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results, pending := make(chan readResult, 2), 0
	send := func() {
		pending++
		startedAt := c.Clock.Now()
		go func() {
			p, err := c.readAttempt(ctx, stream, from, limit, wait, timeout)
			results <- readResult{page: p, startedAt: startedAt, err: err}
		}()
	}
	hedgeTimer := time.NewTimer((wait + readHedgeDelay).Duration())
	defer hedgeTimer.Stop()
	send()
	for {
		select {
		case r := <-results:
			pending--
			if r.err == nil || pending == 0 || IsTruncated(r.err) {
				return r
			}
		case <-hedgeTimer.C:
			c.httpClient().CloseIdleConnections()
			send()
		}
	}
}

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
	c.appendState.advanceHead(stream, p.Next)
	return p, nil
}

// floor returns a head of the stream that was known before now.
func (c *Client) currentHead(ctx context.Context, stream string) (uint64, error) {
	if next, ok := c.appendState.knownHead(stream); ok {
		return next, nil
	}
	_, next, err := c.Head(ctx, stream)
	return next, err
}

// resolve sends the record and looks for it when there is no answer in time or a failure that is not definite. Its error
// is either definite or satisfies IsUnknown.
func (c *Client) resolve(ctx context.Context, k appendKey, searchStart uint64, body []byte) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var (
		attemptResult       = make(chan appendResult, 1)
		readBackResult      chan appendResult // nil while no read-back runs
		attemptErr          error             // of the attempts, when they have ended
		startedAfterFailure bool              // the read-back began after that
		readBackTimer       = time.NewTimer(readBackDelay.Duration())
	)
	defer readBackTimer.Stop()
	go func() { attemptResult <- c.appendWithRetry(ctx, k, body) }()
	startReadBack := func() {
		// The connections that are open may be silent; the read-back needs one that works.
		c.httpClient().CloseIdleConnections()
		readBackResult, startedAfterFailure = make(chan appendResult, 1), attemptErr != nil
		go func(result chan<- appendResult) { result <- c.findRecord(ctx, k, searchStart, true) }(readBackResult)
	}
	for {
		select {
		case <-readBackTimer.C:
			if readBackResult == nil && attemptErr == nil {
				startReadBack()
			}
		case o := <-attemptResult:
			if o.err == nil || isDefiniteFailure(o.err) {
				return o.offset, o.err
			}
			attemptErr = o.err
			if readBackResult == nil {
				startReadBack()
			}
		case o := <-readBackResult:
			if o.found {
				return o.offset, nil
			}
			switch readBackResult = nil; {
			case startedAfterFailure:
				// Not joined as causes: a refused read does not make the append definite.
				return 0, &unknownOutcomeError{cause: trace.Errorf("%v; read-back: %v", attemptErr, o.err)}
			case attemptErr != nil:
				startReadBack()
			}
		}
	}
}

// attempts sends the append and repeats it while the failure is definite and time is left.
func (c *Client) appendWithRetry(ctx context.Context, k appendKey, body []byte) appendResult {
	ctx, cancel := context.WithTimeout(ctx, c.timeoutOrDefault().Duration())
	defer cancel()
	payload := encodeAppend(k.id, body)
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		response, err := c.doRequest(ctx, http.MethodPost, k.stream, "", payload)
		if err == nil {
			var offset uint64
			if offset, err = decodeAppendResponse(response); err == nil {
				c.appendState.advanceHead(k.stream, offset+1)
			}
			return appendResult{offset: offset, err: err}
		}
		if !isRetryable(err) || !sleep(ctx, backoff) {
			return appendResult{err: err}
		}
	}
}

// find reads the stream from floor on and looks for the identifier. With poll it waits for the record until Timeout,
// because a slow append can take effect after its response was given up; otherwise it stops at the head. Without an
// error, the record was not there up to the head.
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

// exchange sends one request and returns the body of a successful answer.
func (c *Client) doRequest(ctx context.Context, method, stream, query string, payload []byte) ([]byte, error) {
	u, err := url.Parse(c.URL)
	if err != nil {
		return nil, trace.BadParameter("log address %q is malformed: %v", c.URL, err)
	}
	u = u.JoinPath("v1", "streams", stream, "records")
	u.RawQuery = query
	var connectionWanted, connectionObtained atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { connectionWanted.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connectionObtained.Store(true) },
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
		// A transport that does not report its connections leaves both unset.
		if connectionWanted.Load() && !connectionObtained.Load() {
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
		return nil, trace.LimitExceeded("answer of the log is larger than %d bytes", maxResponseLen)
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

// sleep waits and reports whether the context is still open.
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
