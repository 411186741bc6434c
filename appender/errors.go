package appender

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"
)

type (
	unknownError struct{ cause error }

	truncatedError struct {
		stream      string
		from, first uint64
	}

	// notSentError means that there was no connection for the request before its time ran out.
	notSentError struct{ cause error }

	// statusError is an answer of the log other than success.
	statusError struct {
		code        int
		notAppended bool   // the log states that the record was not appended
		first       uint64 // with 410, the first retained offset
		text        string
	}
)

// IsUnknown reports whether err means that the append may have taken effect or may yet do so.
func IsUnknown(err error) bool {
	var u *unknownError
	return errors.As(err, &u)
}

// IsTruncated reports whether err means that the read began before the first retained record.
func IsTruncated(err error) bool {
	var t *truncatedError
	return errors.As(err, &t)
}

// Error implements error.
func (e *unknownError) Error() string {
	return "outcome of the append is unknown: " + e.cause.Error()
}

// Unwrap returns the error that left the outcome open.
func (e *unknownError) Unwrap() error { return e.cause }

// Error implements error.
func (e *notSentError) Error() string { return "no connection to the log: " + e.cause.Error() }

// Unwrap returns the error of the transport.
func (e *notSentError) Unwrap() error { return e.cause }

// Error implements error.
func (e *truncatedError) Error() string {
	return fmt.Sprintf("read of stream %q from offset %d begins before the first retained record %d", e.stream, e.from, e.first)
}

// Error implements error.
func (e *statusError) Error() string {
	return "log answered with status " + strconv.Itoa(e.code) + ": " + e.text
}

// definite reports whether a failed append surely did not take effect: no connection was made, or the log refused the
// request. Other answers, 503 among them, can come from a proxy that gave up waiting, so they count only when the log
// states that the record was not appended.
func definite(err error) bool {
	var (
		op *net.OpError
		n  *notSentError
		s  *statusError
	)
	switch {
	case errors.As(err, &n):
		return true
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
		return s.code == http.StatusTooManyRequests || s.code == http.StatusServiceUnavailable && s.notAppended
	}
	return definite(err) && !trace.IsBadParameter(err)
}
