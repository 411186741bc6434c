package appender

import "fmt"

// Error implements error.
func (e *unknownError) Error() string {
	return "outcome of the append is unknown: " + e.cause.Error()
}

// Unwrap returns the error that left the outcome open.
func (e *unknownError) Unwrap() error { return e.cause }

// Error implements error.
func (e *truncatedError) Error() string {
	return fmt.Sprintf("read of stream %q from offset %d begins before the first retained record %d", e.stream, e.from, e.first)
}
