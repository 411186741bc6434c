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
	firstBackoff timer.Millis = 10
	lastBackoff  timer.Millis = 500
	// readBackAfter is when the read-back begins beside an append without an answer. A synced write takes several ms,
	// so a response that is later than this may be lost on a silent connection.
	readBackAfter timer.Millis = 300
	readBackWait  timer.Millis = 200
	// secondReadAfter is how late an answer may be before the read is sent again on a new connection.
	secondReadAfter timer.Millis = 300
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

		floors floors
	}

	// reading is the result of a read, and when its exchange began.
	reading struct {
		page  Page
		began timer.Millis
		err   error
	}

	// outcome is the result of an append attempt or of a read-back.
	outcome struct {
		offset uint64
		found  bool
		err    error
	}
)

// shared is used by clients without their own http.Client. A redirected POST could be sent twice, so redirects are
// not followed.
var shared = &http.Client{
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
	case id == "" || len(id) > MaxID:
		return 0, trace.BadParameter("record identifier of %d bytes is not between 1 and %d bytes long", len(id), MaxID)
	}
	k := appendKey{stream: stream, id: id}
	floor, again := c.floors.floorOf(k)
	if again {
		o := c.find(ctx, k, floor, false)
		if o.found {
			return o.offset, nil
		}
		if o.err != nil {
			return 0, &unknownError{cause: o.err}
		}
	} else if floor, err = c.floor(ctx, stream); err != nil {
		return 0, trace.Wrap(err, "head of stream %q is not known, nothing was sent", stream)
	}
	if err := ctx.Err(); err != nil && !again {
		return 0, trace.Wrap(err, "nothing was sent")
	}
	c.floors.remember(k, floor)
	offset, err = c.resolve(ctx, k, floor, body)
	switch {
	case err == nil:
		c.floors.forget(k)
	case IsUnknown(err):
	case again:
		// The earlier attempt under this identifier is still open.
		err = &unknownError{cause: err}
	default:
		c.floors.forget(k)
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
	r := c.read(ctx, stream, from, limit, wait, c.timeout())
	return r.page, r.err
}

// read reads once, and a second time on a new connection when the first has no answer in time: a connection can go
// silent while new ones work.
func (c *Client) read(ctx context.Context, stream string, from uint64, limit int, wait, timeout timer.Millis) reading {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results, open := make(chan reading, 2), 0
	send := func() {
		open++
		began := c.Clock.Now()
		go func() {
			p, err := c.readOnce(ctx, stream, from, limit, wait, timeout)
			results <- reading{page: p, began: began, err: err}
		}()
	}
	late := time.NewTimer((wait + secondReadAfter).Duration())
	defer late.Stop()
	send()
	for {
		select {
		case r := <-results:
			open--
			if r.err == nil || open == 0 || IsTruncated(r.err) {
				return r
			}
		case <-late.C:
			c.client().CloseIdleConnections()
			send()
		}
	}
}

func (c *Client) readOnce(ctx context.Context, stream string, from uint64, limit int, wait, timeout timer.Millis) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, (timeout + wait).Duration())
	defer cancel()
	q := url.Values{}
	q.Set("from", strconv.FormatUint(from, 10))
	q.Set("limit", strconv.Itoa(min(max(limit, 1), MaxLimit)))
	q.Set("waitMs", strconv.FormatInt(int64(wait), 10))
	body, err := c.exchange(ctx, http.MethodGet, stream, q.Encode(), nil)
	var s *statusError
	if errors.As(err, &s) && s.code == http.StatusGone {
		return Page{First: s.first}, &truncatedError{stream: stream, from: from, first: s.first}
	}
	if err != nil {
		return Page{}, err
	}
	p, err := decodePage(body, from)
	if err != nil {
		return Page{}, err
	}
	c.floors.saw(stream, p.Next)
	return p, nil
}

// floor returns a head of the stream that was known before now.
func (c *Client) floor(ctx context.Context, stream string) (uint64, error) {
	if next, ok := c.floors.head(stream); ok {
		return next, nil
	}
	_, next, err := c.Head(ctx, stream)
	return next, err
}

// resolve sends the record and looks for it when there is no answer in time or a failure that is not definite. Its error
// is either definite or satisfies IsUnknown.
func (c *Client) resolve(ctx context.Context, k appendKey, floor uint64, body []byte) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var (
		sent  = make(chan outcome, 1)
		back  chan outcome // nil while no read-back runs
		fault error        // of the attempts, when they have ended
		fresh bool         // the read-back began after that
		late  = time.NewTimer(readBackAfter.Duration())
	)
	defer late.Stop()
	go func() { sent <- c.attempts(ctx, k, body) }()
	look := func() {
		// The connections that are open may be silent; the read-back needs one that works.
		c.client().CloseIdleConnections()
		back, fresh = make(chan outcome, 1), fault != nil
		go func(result chan<- outcome) { result <- c.find(ctx, k, floor, true) }(back)
	}
	for {
		select {
		case <-late.C:
			if back == nil && fault == nil {
				look()
			}
		case o := <-sent:
			if o.err == nil || definite(o.err) {
				return o.offset, o.err
			}
			fault = o.err
			if back == nil {
				look()
			}
		case o := <-back:
			if o.found {
				return o.offset, nil
			}
			switch back = nil; {
			case fresh:
				// Not joined as causes: a refused read does not make the append definite.
				return 0, &unknownError{cause: trace.Errorf("%v; read-back: %v", fault, o.err)}
			case fault != nil:
				look()
			}
		}
	}
}

// attempts sends the append and repeats it while the failure is definite and time is left.
func (c *Client) attempts(ctx context.Context, k appendKey, body []byte) outcome {
	ctx, cancel := context.WithTimeout(ctx, c.timeout().Duration())
	defer cancel()
	payload := encodeAppend(k.id, body)
	for pause := firstBackoff; ; pause = min(2*pause, lastBackoff) {
		answer, err := c.exchange(ctx, http.MethodPost, k.stream, "", payload)
		if err == nil {
			var offset uint64
			if offset, err = decodeOffset(answer); err == nil {
				c.floors.saw(k.stream, offset+1)
			}
			return outcome{offset: offset, err: err}
		}
		if !repeatable(err) || !sleep(ctx, pause) {
			return outcome{err: err}
		}
	}
}

// find reads the stream from floor on and looks for the identifier. With poll it waits for the record until Timeout,
// because a slow append can take effect after its response was given up; otherwise it stops at the head. Without an
// error, the record was not there up to the head.
func (c *Client) find(ctx context.Context, k appendKey, floor uint64, poll bool) outcome {
	ctx, cancel := context.WithTimeout(ctx, c.timeout().Duration())
	defer cancel()
	from, wait, pause := floor, timer.Millis(0), firstBackoff
	for {
		p, err := c.Read(ctx, k.stream, from, MaxLimit, wait)
		if IsTruncated(err) {
			return outcome{err: err}
		}
		if err != nil {
			if !sleep(ctx, pause) {
				return outcome{err: err}
			}
			pause = min(2*pause, lastBackoff)
			continue
		}
		for _, r := range p.Records {
			if r.ID == k.id {
				return outcome{offset: r.Offset, found: true}
			}
			from = r.Offset + 1
		}
		if from >= p.Next {
			if !poll {
				return outcome{}
			}
			wait = readBackWait
		}
	}
}

// exchange sends one request and returns the body of a successful answer.
func (c *Client) exchange(ctx context.Context, method, stream, query string, payload []byte) ([]byte, error) {
	u, err := url.Parse(c.URL)
	if err != nil {
		return nil, trace.BadParameter("log address %q is malformed: %v", c.URL, err)
	}
	u = u.JoinPath("v1", "streams", stream, "records")
	u.RawQuery = query
	var tried, connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { tried.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	q, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(payload))
	if err != nil {
		return nil, trace.BadParameter("log address %q is malformed: %v", c.URL, err)
	}
	if method == http.MethodPost {
		q.Header.Set("Content-Type", "application/json")
	}
	a, err := c.client().Do(q)
	if err != nil {
		// A transport that does not report its connections leaves both unset.
		if tried.Load() && !connected.Load() {
			return nil, &notSentError{cause: err}
		}
		return nil, trace.Wrap(err)
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxPage+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(body) > maxPage {
		return nil, trace.LimitExceeded("answer of the log is larger than %d bytes", maxPage)
	}
	if a.StatusCode != http.StatusOK {
		return nil, decodeStatus(a.StatusCode, body)
	}
	return body, nil
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return shared
}

func (c *Client) timeout() timer.Millis { return orDefault(c.Timeout, defaultTimeout) }

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
