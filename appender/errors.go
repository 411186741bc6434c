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
	unknownOutcomeError struct{ cause error }

	truncatedError struct {
		stream              string
		from, firstRetained uint64
	}

	// notSentError means that there was no connection for the request before its time ran out.
	noConnectionError struct{ cause error }

	// statusError is an answer of the log other than success.
	statusError struct {
		code          int
		notAppended   bool   // the log states that the record was not appended
		firstRetained uint64 // with 410, the first retained offset
		message       string
	}
)

// IsUnknown reports whether err means that the append may have taken effect or may yet do so.
func IsUnknown(err error) bool {
	var u *unknownOutcomeError
	return errors.As(err, &u)
}

// IsTruncated reports whether err means that the read began before the first retained record.
func IsTruncated(err error) bool {
	var t *truncatedError
	return errors.As(err, &t)
}

// Error implements error.
func (e *unknownOutcomeError) Error() string {
	return "outcome of the append is unknown: " + e.cause.Error()
}

// Unwrap returns the error that left the outcome open.
func (e *unknownOutcomeError) Unwrap() error { return e.cause }

// Error implements error.
func (e *noConnectionError) Error() string { return "no connection to the log: " + e.cause.Error() }

// Unwrap returns the error of the transport.
func (e *noConnectionError) Unwrap() error { return e.cause }

// Error implements error.
func (e *truncatedError) Error() string {
	return fmt.Sprintf("read of stream %q from offset %d begins before the first retained record %d", e.stream, e.from, e.firstRetained)
}

// Error implements error.
func (e *statusError) Error() string {
	return "log answered with status " + strconv.Itoa(e.code) + ": " + e.message
}

// definite reports whether a failed append surely did not take effect: no connection was made, or the log refused the
// request. Other answers, 503 among them, can come from a proxy that gave up waiting, so they count only when the log
// states that the record was not appended.
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

// repeatable reports whether an append that failed with err may be sent again at once.
func isRetryable(err error) bool {
	var status *statusError
	if errors.As(err, &status) {
		return status.code == http.StatusTooManyRequests || status.code == http.StatusServiceUnavailable && status.notAppended
	}
	return isDefiniteFailure(err) && !trace.IsBadParameter(err)
}
