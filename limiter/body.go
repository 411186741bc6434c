package limiter

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	minBodyBuffer = 1 << 10 // bytes
	// decodeCopies is the memory that the decoding of a body takes, as a multiple of its size.
	decodeCopies = 3
	// DefaultBodyTimeout is the time in which at least a byte of a body must arrive.
	DefaultBodyTimeout = 30 * timer.Second
)

// ErrBodyTooLarge is returned for a body over the limit.
var ErrBodyTooLarge = errors.New("the body is too large")

// BodyReader reads bodies of requests and charges them to the accounts of their connections.
type BodyReader struct {
	// Timeout is the time in which at least a byte must arrive; 0 means DefaultBodyTimeout.
	Timeout timer.Millis
	// Report is called when a body meets a limit, and may be nil.
	Report func(e Event)
	Port   string
}

// Read returns the body of a request. The body, and what is decoded from it, is charged until the request ends.
func (br *BodyReader) Read(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, err error) {
	b := &bodyBuffer{limit: limit}
	if c := connOf(r); c != nil {
		b.account = c.account
	}
	err = ErrBodyTooLarge
	if r.ContentLength <= limit {
		err = br.fill(b, w, r)
	}
	if err == nil {
		err = b.reserve(int64(len(b.bytes)) * decodeCopies)
	}
	if err != nil {
		br.reportFailure(b, err)
		b.release(b.charged)
		return nil, err
	}
	if b.account != nil {
		b.account.SetPhase(Serving)
	}
	return b.bytes, nil
}

// fill reads the body until its end.
func (br *BodyReader) fill(b *bodyBuffer, w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength == 0 {
		return nil
	}
	timeout := br.Timeout
	if timeout == 0 {
		timeout = DefaultBodyTimeout
	}
	control := http.NewResponseController(w)
	for {
		if err := b.grow(r.ContentLength); err != nil {
			return err
		}
		_ = control.SetReadDeadline(time.Now().Add(timeout.Duration())) // not supported by all servers of tests
		n, err := r.Body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case errors.Is(err, io.EOF):
			_ = control.SetReadDeadline(time.Time{}) // the wait for the answer has no such limit
			return nil
		case err != nil:
			return err
		}
	}
}

// reportFailure reports the limit that a body has met.
func (br *BodyReader) reportFailure(b *bodyBuffer, err error) {
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		br.report(Event{Limit: LimitBody, Action: ActionRefuse})
	case errors.Is(err, os.ErrDeadlineExceeded):
		br.report(Event{Limit: LimitBodyProgress, Action: ActionClose})
	case errors.Is(err, ErrNoRoom) && !b.account.Evicted(): // otherwise the eviction was reported
		br.report(Event{Limit: LimitMemory, Action: ActionRefuse})
	}
}

func (br *BodyReader) report(e Event) {
	if br.Report != nil {
		e.Port = br.Port
		br.Report(e)
	}
}

// bodyBuffer holds the bytes of a body that have arrived.
type bodyBuffer struct {
	account *Account // nil in tests without a Listener
	limit   int64
	bytes   []byte
	charged int64
}

// grow makes room for at least one byte more. announced is the size of the body, or -1 if the request does not tell.
func (b *bodyBuffer) grow(announced int64) error {
	size := int64(len(b.bytes))
	if size > b.limit {
		return ErrBodyTooLarge
	}
	if size < int64(cap(b.bytes)) {
		return nil
	}
	// The last byte of the buffer is only used for the end of the body, or for one byte too many.
	next := min(max(2*size, minBodyBuffer), b.limit+1)
	if announced >= 0 {
		next = min(next, announced+1)
	}
	if err := b.reserve(next); err != nil {
		return err
	}
	larger := make([]byte, size, next)
	copy(larger, b.bytes)
	b.bytes = larger
	b.release(size)
	return nil
}

func (b *bodyBuffer) reserve(bytes int64) error {
	if b.account != nil && !b.account.Reserve(bytes) {
		return ErrNoRoom
	}
	b.charged += bytes
	return nil
}

func (b *bodyBuffer) release(bytes int64) {
	if b.account != nil {
		b.account.Release(bytes)
	}
	b.charged -= bytes
}
