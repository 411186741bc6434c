package appender

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	firstBackoff = 10 * timer.Millis(1)
	lastBackoff  = 500 * timer.Millis(1)
	readBackWait = 200 * timer.Millis(1)
)

type (
	// Client talks to one log service. Set the fields before first use; a Client must not be copied afterwards. It is
	// safe for concurrent use.
	Client struct {
		// URL is the address of the log service, for example "http://10.0.0.1:7000".
		URL string
		// HTTP sends the requests; nil means a shared client that follows no redirects.
		HTTP *http.Client
		// Clock tells when exchanges begin.
		Clock timer.Clock
		// Timeout bounds an append attempt, the read-back after it, and a read beyond its wait; 0 means 3 s.
		Timeout timer.Millis

		floors floors
	}

	// statusError is an answer of the log other than success.
	statusError struct {
		code        int
		notAppended bool // the log states that the record was not appended
		text        string
	}
)

// shared is used by clients without their own http.Client. A redirected POST could be sent twice, so redirects are
// not followed.
var shared = &http.Client{
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Error implements error.
func (e *statusError) Error() string {
	return "log answered with status " + strconv.Itoa(e.code) + ": " + e.text
}

// Append appends body to the stream under the identifier and returns its offset. Attempts that surely did not take
// effect are repeated until Timeout. After any other failure the record is looked for from the head known before the
// first attempt on; when it is not found, the error satisfies IsUnknown. Append may then be called again with the same
// identifier: it looks for the record before it sends it again.
func (c *Client) Append(ctx context.Context, stream, id string, body []byte) (offset uint64, err error) {
	if len(body) > MaxBody {
		return 0, trace.BadParameter("record body of %d bytes is larger than %d", len(body), MaxBody)
	}
	if id == "" {
		return 0, trace.BadParameter("record needs an identifier")
	}
	k := appendKey{stream: stream, id: id}
	floor, again := c.floors.floorOf(k)
	if again {
		offset, found, err := c.find(ctx, k, floor, false)
		if found {
			return offset, nil
		}
		if err != nil {
			return 0, &unknownError{cause: err}
		}
	} else if floor, err = c.floor(ctx, stream); err != nil {
		return 0, err
	}
	offset, err = c.attempts(ctx, k, body)
	if err == nil {
		c.floors.forget(k)
		return offset, nil
	}
	if definite(err) {
		if again {
			// The earlier attempt under this identifier is still open.
			return 0, &unknownError{cause: err}
		}
		return 0, err
	}
	c.floors.remember(k, floor)
	offset, found, findErr := c.find(ctx, k, floor, true)
	if found {
		return offset, nil
	}
	if findErr != nil {
		err = errors.Join(err, findErr)
	}
	return 0, &unknownError{cause: err}
}

// Head returns the offset of the first retained record and the offset that the next record will get.
func (c *Client) Head(ctx context.Context, stream string) (first, next uint64, err error) {
	p, err := c.Read(ctx, stream, math.MaxInt64, 1, 0)
	return p.First, p.Next, err
}

// Read returns at most limit records from an offset on. When there are none, the log waits for one up to the given
// time. The error satisfies IsTruncated when from lies before the first retained record.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait timer.Millis) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, (c.timeout() + wait).Duration())
	defer cancel()
	q := url.Values{}
	q.Set("from", strconv.FormatUint(from, 10))
	q.Set("limit", strconv.Itoa(min(max(limit, 1), MaxLimit)))
	q.Set("waitMs", strconv.FormatInt(int64(wait), 10))
	body, err := c.exchange(ctx, http.MethodGet, stream, q.Encode(), nil)
	var s *statusError
	if errors.As(err, &s) && s.code == http.StatusGone {
		first, _ := decodeFirst([]byte(s.text))
		return Page{First: first}, &truncatedError{stream: stream, from: from, first: first}
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

// attempts sends the append and repeats it while the failure is definite and time is left.
func (c *Client) attempts(ctx context.Context, k appendKey, body []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout().Duration())
	defer cancel()
	payload := encodeAppend(k.id, body)
	for pause := firstBackoff; ; pause = min(2*pause, lastBackoff) {
		answer, err := c.exchange(ctx, http.MethodPost, k.stream, "", payload)
		if err == nil {
			offset, err := decodeOffset(answer)
			if err != nil {
				return 0, err
			}
			c.floors.saw(k.stream, offset+1)
			return offset, nil
		}
		if !repeatable(err) || !sleep(ctx, pause) {
			return 0, err
		}
	}
}

// find reads the stream from floor on and looks for the identifier. With poll it waits for the record until Timeout,
// because a slow append can take effect after its response was given up; otherwise it stops at the head. A nil error
// means that the head was reached.
func (c *Client) find(ctx context.Context, k appendKey, floor uint64, poll bool) (offset uint64, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout().Duration())
	defer cancel()
	from, wait, pause := floor, timer.Millis(0), firstBackoff
	for {
		p, err := c.Read(ctx, k.stream, from, MaxLimit, wait)
		if IsTruncated(err) {
			return 0, false, err
		}
		if err != nil {
			if !sleep(ctx, pause) {
				return 0, false, err
			}
			pause = min(2*pause, lastBackoff)
			continue
		}
		for _, r := range p.Records {
			if r.ID == k.id {
				c.floors.forget(k)
				return r.Offset, true, nil
			}
			from = r.Offset + 1
		}
		if from >= p.Next {
			if !poll {
				return 0, false, nil
			}
			wait = readBackWait
		}
		if ctx.Err() != nil {
			return 0, false, nil
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
	q, err := http.NewRequestWithContext(ctx, method, u.String(), strings.NewReader(string(payload)))
	if err != nil {
		return nil, trace.BadParameter("log address %q is malformed: %v", c.URL, err)
	}
	q.Header.Set("Content-Type", "application/json")
	h := c.HTTP
	if h == nil {
		h = shared
	}
	a, err := h.Do(q)
	if err != nil {
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
		return nil, &statusError{code: a.StatusCode, notAppended: decodeNotAppended(body), text: string(body[:min(len(body), 200)])}
	}
	return body, nil
}

func (c *Client) timeout() timer.Millis {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultTimeout
}

// definite reports whether a failed append surely did not take effect: the request was never sent, or the log refused
// it. A 503 can also come from a proxy that gave up waiting, so it counts only when the log states that the record was
// not appended.
func definite(err error) bool {
	var (
		op *net.OpError
		s  *statusError
	)
	switch {
	case errors.As(err, &s):
		switch s.code {
		case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
			http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType,
			http.StatusTooManyRequests:
			return true
		}
		return s.notAppended
	case errors.As(err, &op):
		return op.Op == "dial"
	}
	return trace.IsBadParameter(err)
}

// repeatable reports whether an append that failed with err may be sent again at once.
func repeatable(err error) bool {
	var s *statusError
	if errors.As(err, &s) {
		return s.notAppended || s.code == http.StatusTooManyRequests
	}
	return definite(err) && !trace.IsBadParameter(err)
}

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
