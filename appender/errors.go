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
	// unknownOutcomeError means that an append may have taken effect or may still do so.
	unknownOutcomeError struct{ cause error }

	// truncatedError means that a read starts before the first retained record.
	truncatedError struct {
		stream              string
		from, firstRetained uint64
	}

	// noConnectionError means that no connection was established before the request failed, so that it was not sent.
	noConnectionError struct{ cause error }

	// statusError is a response with a status other than 200.
	statusError struct {
		code          int
		notAppended   bool   // the response states that the record was not appended
		firstRetained uint64 // with 410, the first retained offset
		message       string
	}
)

// IsOutcomeUnknown reports whether err means that the append may have taken effect or may still do so.
func IsOutcomeUnknown(err error) bool {
	var u *unknownOutcomeError
	return errors.As(err, &u)
}

// IsTruncated reports whether err means that the read starts before the first retained record.
func IsTruncated(err error) bool {
	var t *truncatedError
	return errors.As(err, &t)
}

// Error implements error.
func (e *unknownOutcomeError) Error() string {
	return "outcome of the append is unknown: " + e.cause.Error()
}

// Unwrap returns the reason why the outcome is unknown.
func (e *unknownOutcomeError) Unwrap() error { return e.cause }

// Error implements error.
func (e *noConnectionError) Error() string { return "cannot connect to the log: " + e.cause.Error() }

// Unwrap returns the error of the transport.
func (e *noConnectionError) Unwrap() error { return e.cause }

// Error implements error.
func (e *truncatedError) Error() string {
	return fmt.Sprintf("read of stream %q at offset %d starts before the first retained offset %d", e.stream, e.from, e.firstRetained)
}

// Error implements error.
func (e *statusError) Error() string {
	return "log answered with status " + strconv.Itoa(e.code) + ": " + e.message
}

// isDefiniteFailure reports whether a failed append definitely did not take effect: no connection was established, or the
// log rejected the request. Other statuses, such as 503, can come from a proxy that timed out, so they are definite only if
// the body states that the record was not appended.
func isDefiniteFailure(err error) bool {
	var (
		opErr        *net.OpError
		noConnection *noConnectionError
		status       *statusError
	)
	switch {
	case errors.As(err, &noConnection):
		return true
	case errors.As(err, &status):
		switch status.code {
		case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
			http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType,
			http.StatusTooManyRequests:
			return true
		}
		return status.notAppended
	case errors.As(err, &opErr):
		return opErr.Op == "dial"
	}
	return trace.IsBadParameter(err)
}

// isRetryable reports whether an append that failed with err can be sent again without a read-back.
func isRetryable(err error) bool {
	var status *statusError
	if errors.As(err, &status) {
		return status.code == http.StatusTooManyRequests || status.code == http.StatusServiceUnavailable && status.notAppended
	}
	return isDefiniteFailure(err) && !trace.IsBadParameter(err)
}
